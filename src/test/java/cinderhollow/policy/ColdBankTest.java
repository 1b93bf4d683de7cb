package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.RULES;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.server;
import static cinderhollow.policy.Fleet.settings;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Gateways that know nothing of each other send to the same cold server: together they must not overload it. */
class ColdBankTest {
    private static final int GATEWAYS = 40;
    private static final int PER_SECOND = 240;
    private static final int WARM = 2;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void allGatewaysTogetherDontToppleAColdServerWhileTheWarmOnesAreFull(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fleet> bank = new ArrayList<>();
        long start = 100 * SECOND;
        for (int g = 0; g < GATEWAYS; g++) {
            Fleet fleet = new Fleet(settings(false, GATEWAYS, List.of(), List.of(ORDER)),
                    seed * GATEWAYS + g);
            fleet.list(ListKind.CACHED, server("s0"), server("s1"),
                    server("cold", "a", Readiness.READY, start));
            bank.add(fleet);
        }
        ArrayDeque<Long> window = new ArrayDeque<>();
        int most = 0;
        for (int i = 0; i < 4 * PER_SECOND; i++) {
            long now = start + i * SECOND / PER_SECOND;
            Fleet fleet = bank.get(random.nextInt(GATEWAYS));
            fleet.now = now;
            fleet.ask(ORDER);
            int attempt = 0;
            for (List<Recorder.Action> out = fleet.host.take("send"); !out.isEmpty();
                    out = fleet.host.take("send")) {
                Recorder.Action sent = out.get(0);
                boolean cold = sent.server().equals("cold");
                if (cold) {
                    window.add(now);
                }
                fleet.end(sent.id(), attempt++, sent.server(), cold ? Outcome.SERVED : Outcome.FULL, MS);
            }
            while (!window.isEmpty() && window.peek() < now - RULES.overloadForNanos()) {
                window.poll();
            }
            most = Math.max(most, window.size());
        }
        // The load that a warm server would get, times the capacity of a server four seconds after its start.
        double capacity = RULES.coldFrom() + (1 - RULES.coldFrom()) * 4 * SECOND / RULES.warmUpNanos();
        double seconds = RULES.overloadForNanos() / (double) SECOND;
        double bound = RULES.overloadFactor() * capacity * PER_SECOND / (WARM + 1.0) * seconds;
        assertTrue(most > 0 && most <= bound, "in one window " + most + " of " + bound);
    }
}
