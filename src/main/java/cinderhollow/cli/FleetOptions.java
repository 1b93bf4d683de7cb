package cinderhollow.cli;

import cinderhollow.lab.FleetConfig;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options for the fleet of a lab, shared by the commands that run one. */
final class FleetOptions {
    @Option(names = "--rate", defaultValue = "300", description = "requests a second (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--nodes", defaultValue = "9", description = "stand-in nodes (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--gateways", defaultValue = "3", description =
            "gateways, each a process of its own (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--operator", paramLabel = "FILE", description = "the operator's file for the gateways")
    private Path operatorFile;

    @Option(names = "--every-second", description = "give the operator's file only to gw-1, gw-3, ..., to compare within one run")
    private boolean everySecondGateway;

    @Option(names = "--json", paramLabel = "FILE", description = "write the report to this file as JSON")
    private Path reportFile;

    FleetConfig buildSite(long seconds, long seed) {
        FleetConfig site = FleetConfig.withDefaults(nodes, gateways, rate, seconds, seed);
        return operatorFile == null ? site
                : site.withOperatorFile(new FleetConfig.OperatorFile(operatorFile.toAbsolutePath().toString(),
                everySecondGateway));
    }

    int nodes() {
        return nodes;
    }

    int gateways() {
        return gateways;
    }

    Path reportFile() {
        return reportFile;
    }
}
