package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.lab.Breach.Rule;
import cinderhollow.lab.ScriptedGateway.Flaw;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs gateways that each break one rule, on real sockets: the auditor must report this rule and no other. */
class BrokenGatewayTest {
    private static final int SECONDS = 4, TIMEOUT_SECONDS = 300, MAX_RUNS = 8, SEED_COUNT = 8;
    private static final double MAX_LATENESS_MILLIS = 60;
    private static final ExecutorService EXECUTOR = Executors.newFixedThreadPool(4, work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    private static final String PLAN = """
            at 200ms drain node-0 for 3700ms size 1
            at 300ms crash node-1 for 300ms size 1
            at 300ms reset-before node-2 for 3000ms size 0.2
            at 300ms reset-after node-3 for 3000ms size 0.2
            """;
    private static final Map<Flaw, Rule> RULE_BY_FLAW = new EnumMap<>(Map.of(Flaw.RESENDS_AFTER_A_RESET, Rule.RAN_TWICE,
            Flaw.ANSWERS_TWICE, Rule.ANSWERED_TWICE, Flaw.SWAPS_ANSWERS, Rule.FOREIGN_ANSWER, Flaw.LOSES_REQUESTS_AT_SHUTDOWN,
            Rule.LOST, Flaw.SENDS_TO_DRAINING, Rule.SENT_AFTER_DRAIN, Flaw.OVERLOADS_COLD_NODES, Rule.PUSHED_OVER,
            Flaw.REFUSES_AFTER_EXECUTION, Rule.REFUSED_THOUGH_RAN));
    private static final Map<Flaw, CompletableFuture<Report>> RUNS_BY_FLAW = new EnumMap<>(Flaw.class);
    private static final Map<Long, CompletableFuture<Report>> CORRECT_RUNS_BY_SEED = new TreeMap<>();

    /** Runs some labs in parallel, since each mostly waits. */
    @BeforeAll
    static void start() {
        for (Flaw flaw : Flaw.values()) {
            RUNS_BY_FLAW.put(flaw, runAsync(() -> runFlawed(flaw)));
        }
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            long runSeed = seed;
            CORRECT_RUNS_BY_SEED.put(seed, runAsync(() -> runCorrect(runSeed)));
        }
    }

    private static CompletableFuture<Report> runAsync(Callable<Report> task) {
        CompletableFuture<Report> run = new CompletableFuture<>();
        EXECUTOR.execute(() -> {
            try {
                // The scripted gateways run in the lab's process. A run in which that stalled, because of code not compiled
                // yet or a busy machine, says nothing about them and is repeated.
                Report report = task.call();
                for (int i = 1; i < MAX_RUNS && (report.unjudgedOverloadCrashes() > 0
                        || report.worstLatenessMillis() > MAX_LATENESS_MILLIS);
                        i++) {
                    report = task.call();
                }
                run.complete(report);
            } catch (Exception e) {
                run.completeExceptionally(e);
            }
        });
        return run;
    }

    private static Report runCorrect(long seed) throws Exception {
        FleetConfig site = new FleetConfig(8, 2, 60, SECONDS, seed, FleetConfig.defaultClasses(), 0.05, 2, 1024,
                FleetConfig.DEFAULT_NODE_PARAMETERS, null);
        FaultPlan plan = FaultPlan.draw(seed, SECONDS + 2, 8, 2, List.of("crash", "drain", "silent", "slow", "errors",
                "reset-before", "reset-after", "kill-gateway", "stop-gateway"));
        try (Lab lab = new Lab(site, plan, ScriptedGateway.launcher(Flaw.NONE), second -> { })) {
            return lab.run();
        }
    }

    private static Report runFlawed(Flaw flaw) throws Exception {
        // At the shutdown some requests must be open, and the load must suffice to overload a cold node in its first seconds.
        FleetConfig site = new FleetConfig(6, 2, 150, SECONDS, 11, FleetConfig.defaultClasses(), 0, 1, 1024,
                new FleetConfig.NodeParameters(0.31, 8_400, 2.5, 1_500, 500, false), null);
        String plan = flaw == Flaw.LOSES_REQUESTS_AT_SHUTDOWN
                ? PLAN + "at 1500ms stop-gateway gw-0 for 1ms size 1\nat 2500ms stop-gateway gw-1 for 1ms size 1\n" : PLAN;
        try (Lab lab = new Lab(site, FaultPlan.parse(plan, 6, 2), ScriptedGateway.launcher(flaw), second -> { })) {
            return lab.run();
        }
    }

    @ParameterizedTest
    @EnumSource(Flaw.class)
    void onlyTheExpectedRuleIsReported(Flaw flaw) throws Exception {
        Report report = RUNS_BY_FLAW.get(flaw).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        Set<Rule> reported = report.breaches().stream().map(Breach::rule).collect(Collectors.toSet());
        Set<Rule> expected = Arrays.stream(Flaw.values()).filter(flaw::equals).filter(RULE_BY_FLAW::containsKey)
                .map(RULE_BY_FLAW::get)
                .collect(Collectors.toSet());
        assertEquals(expected, reported, report::toString);
        assertTrue(report.served() > report.requests() / 10, report::toString);
    }

    @Test
    void aCorrectGatewayIsCleanOnEverySeed() throws Exception {
        for (Map.Entry<Long, CompletableFuture<Report>> run : CORRECT_RUNS_BY_SEED.entrySet()) {
            Report report = run.getValue().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(report.isClean(), () -> "seed " + run.getKey() + "\n" + report);
            assertTrue(report.served() > report.requests() / 2, () -> "seed " + run.getKey() + "\n" + report);
        }
    }
}
