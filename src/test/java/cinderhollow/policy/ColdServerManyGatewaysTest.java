package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.RULES;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.server;
import static cinderhollow.policy.GatewayHarness.settings;
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
class ColdServerManyGatewaysTest {
    private static final int GATEWAYS = 40;
    private static final int REQUESTS_PER_SECOND = 240;
    private static final int WARM_SERVERS = 2;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void allGatewaysTogetherDontOverloadAColdServerWhileTheWarmOnesAreFull(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<GatewayHarness> gateways = new ArrayList<>();
        long start = 100 * SECOND;
        for (int g = 0; g < GATEWAYS; g++) {
            GatewayHarness gateway = new GatewayHarness(settings(false, GATEWAYS, List.of(), List.of(ORDER)),
                    seed * GATEWAYS + g);
            gateway.receiveList(ListKind.CACHED, server("s0"), server("s1"),
                    server("cold", "a", Readiness.READY, start));
            gateways.add(gateway);
        }
        ArrayDeque<Long> window = new ArrayDeque<>();
        int maxInWindow = 0;
        for (int i = 0; i < 4 * REQUESTS_PER_SECOND; i++) {
            long now = start + i * SECOND / REQUESTS_PER_SECOND;
            GatewayHarness gateway = gateways.get(random.nextInt(GATEWAYS));
            gateway.now = now;
            gateway.submit(ORDER);
            int attempt = 0;
            for (List<Recorder.Action> out = gateway.recorder.take("send"); !out.isEmpty();
                    out = gateway.recorder.take("send")) {
                Recorder.Action sent = out.get(0);
                boolean cold = sent.server().equals("cold");
                if (cold) {
                    window.add(now);
                }
                gateway.endAttempt(sent.id(), attempt++, sent.server(), cold ? Outcome.SERVED : Outcome.FULL, MS);
            }
            while (!window.isEmpty() && window.peek() < now - RULES.overloadWindowNanos()) {
                window.poll();
            }
            maxInWindow = Math.max(maxInWindow, window.size());
        }
        // The load that a warm server would get, times the capacity of a server four seconds after its start.
        double capacity = RULES.coldCapacityFraction() + (1 - RULES.coldCapacityFraction()) * 4 * SECOND / RULES.warmUpNanos();
        double seconds = RULES.overloadWindowNanos() / (double) SECOND;
        double bound = RULES.overloadFactor() * capacity * REQUESTS_PER_SECOND / (WARM_SERVERS + 1.0) * seconds;
        assertTrue(maxInWindow > 0 && maxInWindow <= bound, "in one window " + maxInWindow + " of " + bound);
    }
}
