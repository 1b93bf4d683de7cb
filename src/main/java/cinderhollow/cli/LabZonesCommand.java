package cinderhollow.cli;

import cinderhollow.lab.FaultPlan;
import cinderhollow.lab.FleetConfig;
import cinderhollow.lab.GatewayProcess;
import cinderhollow.lab.Lab;
import cinderhollow.lab.Report;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a fleet of real processes in three zones, of which one fails. */
@Command(name = "zones", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Start gateways, each a process, and nodes in three zones with a network between them, let one zone fail,",
            "and report when the gateways left it, what was lost and whether the four rules held. Exit code 0 only if they did."})
final class LabZonesCommand implements Callable<Integer> {
    @Option(names = "--seed", defaultValue = "1", description =
            "seed of the fault and of the arrivals (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--without", description = "the gateways exchange no gossip, for comparison")
    private boolean withoutPeering;

    @Option(names = "--fault", defaultValue = "zone-silent", paramLabel = "KIND",
            description = "zone-silent, zone-crash, zone-slow, zone-cut, zone-cut-out, zone-mute (default: ${DEFAULT-VALUE})")
    private String fault;

    @Option(names = "--for", defaultValue = "6", paramLabel = "SECONDS", description =
            "how long the fault lasts (default: ${DEFAULT-VALUE})")
    private long faultSeconds;

    @Option(names = "--size", defaultValue = "8", description =
            "how many times slower a slow zone is (default: ${DEFAULT-VALUE})")
    private double size;

    @Option(names = "--killed", defaultValue = "0", description =
            "number of gateways killed while the fleet decides (default: ${DEFAULT-VALUE})")
    private int killed;

    @Option(names = "--asleep", defaultValue = "0", description =
            "number of gateways paused for 5 s, from shortly before the fault on (default: ${DEFAULT-VALUE})")
    private int asleep;

    @Option(names = "--gateways", defaultValue = "24", description = "how many (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--nodes", defaultValue = "45", description = "how many (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--rate", defaultValue = "1100",
            description = "requests a second; a rate above 1000 is ramped up over some seconds (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--seconds", defaultValue = "26", description =
            "length of the whole run in seconds (default: ${DEFAULT-VALUE})")
    private long seconds;

    @Option(names = "--delay", defaultValue = "1", paramLabel = "MS", description =
            "network delay between zones, each way (default: ${DEFAULT-VALUE})")
    private long delayMillis;

    @Option(names = "--loss", defaultValue = "0.01", description =
            "fraction of the datagrams between zones that are lost (default: ${DEFAULT-VALUE})")
    private double loss;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        FleetConfig site = FleetConfig.withDefaults(nodes, gateways, rate, seconds, seed);
        FaultPlan plan = FaultPlan.zoneFault(seed, fault, faultSeconds, size, gateways, killed, asleep);
        Commands.print(spec, "seed " + seed + ", " + plan.toString().strip().replace("\n", ", ")
                + (withoutPeering ? ", without talk" : ""));
        try (Lab lab = new Lab(site, plan, GatewayProcess.launcher(GatewayProcess.DEPLOYMENT_JVM_FLAGS),
                second -> Commands.print(spec, second),
                new Lab.ZoneNetworkOptions(!withoutPeering, delayMillis, loss))) {
            Commands.closeOnExit(lab);
            Report report = lab.run();
            Commands.print(spec, report);
            Commands.print(spec, String.format(Locale.ROOT,
                    "verdict: seed %d %s%s: %s; %d not served in their aim from the trouble on; %s", seed, fault,
                    withoutPeering ? " without" : "", report.isClean() ? "clean" : "rules broken", lab.missedAimSinceFault(),
                    lab.evacuationSummary()));
            return report.isClean() ? 0 : DemoCommand.EXIT_RULES_BROKEN;
        }
    }
}
