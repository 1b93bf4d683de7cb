package cinderhollow.cli;

import cinderhollow.lab.FaultPlan;
import cinderhollow.lab.FaultSoak;
import cinderhollow.lab.GatewayProcess;
import cinderhollow.lab.Lab;
import cinderhollow.lab.Report;
import java.io.IOException;
import java.nio.file.Files;
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

/** Runs a randomized soak test with real processes: for each of many seeds, faults that overlap in time. */
@Command(name = "fault-soak", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"For each seed start gateways, each a process, and nodes, and inject overlapping faults that the seed determines:",
            "paused, killed and restarted gateways, series of signals, node faults of all kinds, bad clients, bursts of load, clients that",
            "leave, clients that keep using the connections of a gateway that shuts down, until the platform kills it, failing discovery.",
            "The auditor checks each request against the rules. Exit code 0 only if no seed broke one."})
final class LabFaultSoakCommand implements Callable<Integer> {
    private static final String SEED_RANGE_PATTERN = "\\d+\\.\\.\\d+";

    @Option(names = "--seeds", defaultValue = "1..10", paramLabel = "A..B", description =
            "the range of seeds (default: ${DEFAULT-VALUE})")
    private String seeds;

    @Option(names = "--gateways", defaultValue = "12", description = "how many (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--nodes", defaultValue = "18", description = "how many (default: ${DEFAULT-VALUE})")
    private int nodes;

    @Option(names = "--rate", defaultValue = "300", description = "requests a second (default: ${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--seconds", defaultValue = "20", description =
            "length of the run for each seed, in seconds (default: ${DEFAULT-VALUE})")
    private long seconds;

    @Option(names = "--impatient", defaultValue = "0.1", description =
            "fraction of the clients that leave early (default: ${DEFAULT-VALUE})")
    private double impatient;

    @Option(names = "--preload", paramLabel = "LIBRARY", description = "a library that makes system calls of the gateways fail "
            + "(src/test/c/syscall_faults.c)")
    private Path preloadLibrary;

    @Option(names = "--percent", defaultValue = "5", description =
            "with --preload: percentage of the calls that fail (default: ${DEFAULT-VALUE})")
    private int percent;

    @Option(names = "--out", paramLabel = "FOLDER", description =
            "where to write the plan, the report and the gateways' logs of each seed "
            + "that breaks a rule")
    private Path outputDirectory;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException, ExecutionException {
        if (!seeds.matches(SEED_RANGE_PATTERN)) {
            throw new IllegalArgumentException("--seeds must be a range such as 1..10, not '" + seeds + "'");
        }
        String[] range = seeds.split("\\.\\.");
        List<Long> failedSeeds = new ArrayList<>();
        for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
            if (!runSeed(seed)) {
                failedSeeds.add(seed);
            }
        }
        Commands.print(spec, failedSeeds.isEmpty() ? "fault soak: no rule broken with seeds " + seeds
                : "fault soak: rules broken with seeds " + failedSeeds);
        return failedSeeds.isEmpty() ? 0 : DemoCommand.EXIT_RULES_BROKEN;
    }

    private boolean runSeed(long seed) throws IOException, InterruptedException, ExecutionException {
        FaultSoak soak = new FaultSoak(nodes, gateways, rate, seconds, impatient);
        FaultPlan plan = soak.plan(seed);
        try (Lab lab = new Lab(soak.fleetConfig(seed), plan,
                GatewayProcess.launcher(GatewayProcess.DEPLOYMENT_JVM_FLAGS, buildEnvironment(seed)), second -> { })) {
            Commands.closeOnExit(lab);
            Report report = lab.run();
            boolean passed = report.isClean() && report.openMalformedConnections() == 0;
            Commands.print(spec, String.format(Locale.ROOT,
                    "seed %d: %s; %d asked, %d served, %d late, %d bad clients not ended, "
                    + "lab late by %.0f ms", seed, passed ? "clean" : "rules broken", report.requests(), report.served(),
                    report.answeredLate(),
                    report.openMalformedConnections(), report.worstLatenessMillis()));
            if (!passed) {
                Commands.print(spec, report);
                Commands.print(spec, "again: " + rerunCommand(seed));
                saveArtifacts(lab, seed, plan, report);
            }
            return passed;
        }
    }

    private String rerunCommand(long seed) {
        return String.format(Locale.ROOT,
                "lab fault-soak --seeds %d..%d --gateways %d --nodes %d --rate %s --seconds %d --impatient %s",
                seed, seed, gateways, nodes, rate, seconds, impatient)
                + (preloadLibrary == null ? "" : " --preload " + preloadLibrary + " --percent " + percent);
    }

    private void saveArtifacts(Lab lab, long seed, FaultPlan plan, Report report) throws IOException {
        if (outputDirectory == null) {
            return;
        }
        Path directory = Files.createDirectories(outputDirectory.resolve("seed-" + seed));
        Files.writeString(directory.resolve("plan.txt"), plan.toString());
        Files.writeString(directory.resolve("report.txt"), report + "\n");
        Files.writeString(directory.resolve("again.txt"), rerunCommand(seed) + "\n");
        lab.copyLogs(directory);
    }

    private Map<String, String> buildEnvironment(long seed) {
        Map<String, String> environment = new HashMap<>();
        if (preloadLibrary != null) {
            environment.put("LD_PRELOAD", preloadLibrary.toAbsolutePath().toString());
            environment.put("SYSCALL_FAULTS_PERCENT", String.valueOf(percent));
            environment.put("SYSCALL_FAULTS_SEED", String.valueOf(seed));
        }
        return environment;
    }
}
