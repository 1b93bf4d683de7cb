package cinderhollow.cli;

import cinderhollow.lab.Site;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The fleet of a lab: what the commands that play one have in common. */
final class FleetOptions {
    @Option(names = "--rate", defaultValue = "300", description = "requests a second (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--nodes", defaultValue = "9", description = "stand-in nodes (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--gateways", defaultValue = "3", description = "gateways, each a process (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--operator", paramLabel = "FILE", description = "the gateways' operator's file")
    private Path operator;

    @Option(names = "--every-second", description = "only gw-1, gw-3, ... have it, to compare within one run")
    private boolean everySecond;

    @Option(names = "--json", paramLabel = "FILE", description = "keep the report for programs")
    private Path json;

    Site site(long seconds, long seed) {
        Site site = Site.usual(nodes, gateways, rate, seconds, seed);
        return operator == null ? site
                : site.under(new Site.Governed(operator.toAbsolutePath().toString(), everySecond));
    }

    int nodes() {
        return nodes;
    }

    int gateways() {
        return gateways;
    }

    Path json() {
        return json;
    }
}
