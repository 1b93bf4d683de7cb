package cinderhollow.cli;

import cinderhollow.lab.FaultPlan;
import cinderhollow.lab.FleetConfig;
import cinderhollow.lab.GatewayProcess;
import cinderhollow.lab.Lab;
import cinderhollow.lab.Report;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a fleet with some faults on the loopback addresses of this machine, and reports whether a rule was broken. */
@Command(name = "demo", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Start nodes, gateways and clients on this machine, let some nodes fail, and check the four rules.",
            "Exit code 0 only if none was broken."})
final class DemoCommand implements Callable<Integer> {
    static final int EXIT_RULES_BROKEN = 3;

    @Option(names = "--seconds", defaultValue = "20", description = "length of the run in seconds (default: ${DEFAULT-VALUE})")
    private long seconds;

    @Option(names = "--seed", description = "the same seed gives the same plan and arrivals (default: random, and printed)")
    private Long seed;

    @Option(names = "--plan", paramLabel = "FILE", description = "the plan of the faults; a printed plan shows the format")
    private Path planFile;

    @Mixin
    private FleetOptions fleet = new FleetOptions();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        long effectiveSeed = seed == null ? System.nanoTime() & 0xffff_ffffL : seed;
        FleetConfig site = fleet.buildSite(seconds, effectiveSeed);
        FaultPlan plan = planFile == null ? FaultPlan.demo(effectiveSeed, seconds, fleet.nodes())
                : FaultPlan.parse(Files.readString(planFile), fleet.nodes(), fleet.gateways());
        return runLab(spec, site, plan, fleet.reportFile());
    }

    /**
     * Runs the lab, prints one line per second and the report, and writes the report to the file unless that is null.
     *
     * @return the exit code
     */
    static int runLab(CommandSpec spec, FleetConfig site, FaultPlan plan, Path reportFile)
            throws IOException, InterruptedException, ExecutionException {
        Commands.print(spec, "seed " + site.seed() + ", " + site.nodes() + " nodes, " + site.gateways() + " gateways, "
                + site.rate() + " requests a second; what will go wrong:");
        Commands.print(spec, plan.faults().isEmpty() ? "nothing" : plan.toString().stripTrailing());
        // On a terminal each second's line overwrites the previous one; otherwise each is printed as a line of its own.
        boolean onTerminal = System.console() != null;
        try (Lab lab = new Lab(site, plan, GatewayProcess.launcher(GatewayProcess.DEPLOYMENT_JVM_FLAGS), second -> {
            if (onTerminal) {
                System.out.print("\r\u001b[K" + second);
                System.out.flush();
            } else {
                Commands.print(spec, second);
            }
        })) {
            Commands.closeOnExit(lab);
            Report report = lab.run();
            Commands.print(spec, (onTerminal ? "\n" : "") + report);
            if (reportFile != null) {
                Files.writeString(reportFile, report.toJson());
            }
            return report.isClean() ? 0 : EXIT_RULES_BROKEN;
        }
    }
}
