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
    private static final int SECONDS = 4, PATIENCE_SECONDS = 300, MOST_RUNS = 8, SEEDS = 8;
    private static final double CALM_MILLIS = 60;
    private static final ExecutorService BESIDE = Executors.newFixedThreadPool(4, work -> {
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
    private static final Map<Flaw, Rule> NAMED = new EnumMap<>(Map.of(Flaw.RESENDS_AFTER_A_RESET, Rule.RAN_TWICE,
            Flaw.ANSWERS_TWICE, Rule.ANSWERED_TWICE, Flaw.SWAPS_ANSWERS, Rule.FOREIGN_ANSWER, Flaw.LOSES_AT_THE_END,
            Rule.LOST, Flaw.SENDS_TO_DRAINED, Rule.SENT_AFTER_DRAIN, Flaw.FLOODS_THE_COLD, Rule.PUSHED_OVER,
            Flaw.REFUSES_WHAT_RAN, Rule.REFUSED_THOUGH_RAN));
    private static final Map<Flaw, CompletableFuture<Report>> RUNS = new EnumMap<>(Flaw.class);
    private static final Map<Long, CompletableFuture<Report>> CORRECT = new TreeMap<>();

    /** Runs some labs in parallel, since each mostly waits. */
    @BeforeAll
    static void start() {
        for (Flaw flaw : Flaw.values()) {
            RUNS.put(flaw, beside(() -> play(flaw)));
        }
        for (long seed = 1; seed <= SEEDS; seed++) {
            long drawn = seed;
            CORRECT.put(seed, beside(() -> correct(drawn)));
        }
    }

    private static CompletableFuture<Report> beside(Callable<Report> work) {
        CompletableFuture<Report> run = new CompletableFuture<>();
        BESIDE.execute(() -> {
            try {
                // The scripted gateways run in the lab's process. A run in which that stalled, because of code not compiled
                // yet or a busy machine, says nothing about them and is repeated.
                Report report = work.call();
                for (int i = 1; i < MOST_RUNS && (report.fallsNotJudged() > 0 || report.worstLatenessMillis() > CALM_MILLIS);
                        i++) {
                    report = work.call();
                }
                run.complete(report);
            } catch (Exception e) {
                run.completeExceptionally(e);
            }
        });
        return run;
    }

    private static Report correct(long seed) throws Exception {
        FleetConfig site = new FleetConfig(8, 2, 60, SECONDS, seed, FleetConfig.usualClasses(), 0.05, 2, 1024, FleetConfig.USUAL, null);
        FaultPlan plan = FaultPlan.draw(seed, SECONDS + 2, 8, 2, List.of("crash", "drain", "silent", "slow", "errors",
                "reset-before", "reset-after", "kill-gateway", "stop-gateway"));
        try (Lab lab = new Lab(site, plan, ScriptedGateway.with(Flaw.NONE), second -> { })) {
            return lab.run();
        }
    }

    private static Report play(Flaw flaw) throws Exception {
        // At the shutdown some requests must be open, and the load must suffice to overload a cold node in its first seconds.
        FleetConfig site = new FleetConfig(6, 2, 150, SECONDS, 11, FleetConfig.usualClasses(), 0, 1, 1024,
                new FleetConfig.Figures(0.31, 8_400, 2.5, 1_500, 500, false), null);
        String plan = flaw == Flaw.LOSES_AT_THE_END
                ? PLAN + "at 1500ms stop-gateway gw-0 for 1ms size 1\nat 2500ms stop-gateway gw-1 for 1ms size 1\n" : PLAN;
        try (Lab lab = new Lab(site, FaultPlan.parse(plan, 6, 2), ScriptedGateway.with(flaw), second -> { })) {
            return lab.run();
        }
    }

    @ParameterizedTest
    @EnumSource(Flaw.class)
    void theBreachIsNamedAndNoOther(Flaw flaw) throws Exception {
        Report report = RUNS.get(flaw).get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        Set<Rule> named = report.breaches().stream().map(Breach::rule).collect(Collectors.toSet());
        Set<Rule> expected = Arrays.stream(Flaw.values()).filter(flaw::equals).filter(NAMED::containsKey).map(NAMED::get)
                .collect(Collectors.toSet());
        assertEquals(expected, named, report::toString);
        assertTrue(report.served() > report.requests() / 10, report::toString);
    }

    @Test
    void aCorrectGatewayIsCleanOnEverySeed() throws Exception {
        for (Map.Entry<Long, CompletableFuture<Report>> run : CORRECT.entrySet()) {
            Report report = run.getValue().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertTrue(report.isClean(), () -> "seed " + run.getKey() + "\n" + report);
            assertTrue(report.served() > report.requests() / 2, () -> "seed " + run.getKey() + "\n" + report);
        }
    }
}
