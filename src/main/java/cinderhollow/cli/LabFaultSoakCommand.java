package cinderhollow.cli;

import cinderhollow.lab.GatewayProcess;
import cinderhollow.lab.Lab;
import cinderhollow.lab.Plan;
import cinderhollow.lab.Report;
import cinderhollow.lab.Site;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A randomized soak: many seeds of faults that overlap in time, between real processes. */
@Command(name = "fault-soak", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"For each seed start gateways, each a process, and nodes, and let faults drawn from the seed overlap:",
            "paused, killed and restarted gateways, nodes in any trouble, bad clients, clients that leave, failing discovery.",
            "The auditor holds each request against the rules. Exit code 0 only if no seed broke one."})
final class LabFaultSoakCommand implements Callable<Integer> {
    private static final String RANGE = "\\d+\\.\\.\\d+";

    @Option(names = "--seeds", defaultValue = "1..10", paramLabel = "A..B", description = "which (default: ${DEFAULT-VALUE})")
    private String seeds;

    @Option(names = "--gateways", defaultValue = "12", description = "how many (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--nodes", defaultValue = "18", description = "how many (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--rate", defaultValue = "300", description = "requests a second (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--seconds", defaultValue = "15", description = "how long each seed is (default: ${DEFAULT-VALUE})")
    private long seconds;

    @Option(names = "--impatient", defaultValue = "0.1", description = "the part of clients that leave early (default: ${DEFAULT-VALUE})")
    private double impatient;

    @Option(names = "--preload", paramLabel = "LIBRARY", description = "a library that lets the gateways' system calls fail "
            + "(src/test/c/syscall_faults.c)")
    private Path library;

    @Option(names = "--percent", defaultValue = "5", description = "of the calls fail with it (default: ${DEFAULT-VALUE})")
    private int percent;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        if (!seeds.matches(RANGE)) {
            throw new IllegalArgumentException("seeds are a range such as 1..10, not '" + seeds + "'");
        }
        String[] range = seeds.split("\\.\\.");
        List<Long> broken = new ArrayList<>();
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            if (!play(seed)) {
                broken.add(seed);
            }
        }
        Commands.print(spec, broken.isEmpty() ? "fault soak: no rule broken with seeds " + seeds : "fault soak: rules broken with seeds " + broken);
        return broken.isEmpty() ? 0 : DemoCommand.EXIT_NOT_CLEAN;
    }

    private boolean play(long seed) throws IOException, InterruptedException, ExecutionException {
        Site site = Site.usual(nodes, gateways, rate, seconds, seed).withImpatient(impatient);
        Plan plan = Plan.overlapping(seed, seconds, nodes, gateways);
        try (Lab lab = new Lab(site, plan, GatewayProcess.with(GatewayProcess.DEPLOYED, variables(seed)), second -> { })) {
            Commands.closeOnExit(lab);
            Report report = lab.run();
            Commands.print(spec, String.format(Locale.ROOT, "seed %d: %s; %d asked, %d served, %d bad clients not ended", seed,
                    report.isClean() ? "clean" : "rules broken", report.asked(), report.served(), report.rudeLeft()));
            if (!report.isClean()) {
                Commands.print(spec, plan);
                Commands.print(spec, report);
            }
            return report.isClean() && report.rudeLeft() == 0;
        }
    }

    private Map<String, String> variables(long seed) {
        Map<String, String> variables = new HashMap<>();
        if (library != null) {
            variables.put("LD_PRELOAD", library.toAbsolutePath().toString());
            variables.put("SYSCALL_FAULTS_PERCENT", String.valueOf(percent));
            variables.put("SYSCALL_FAULTS_SEED", String.valueOf(seed));
        }
        return variables;
    }
}
