package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.RULES;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.server;
import static cinderhollow.policy.GatewayHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.TimerFired;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A release starts all gateways at the same instant while the discovery service that they share rejects every call: their
 * retries must back off and spread.
 */
class DiscoveryOverloadTest {
    private static final int GATEWAYS = 14;
    private static final long DISCOVERY_DOWN_NANOS = 6 * SECOND, CALL_WINDOW_NANOS = 50 * MS;

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private final List<Long> calls = new ArrayList<>();
    private int listsReceived;
    private long now;
    private long sequence;

    private record ScheduledTask(long dueAt, long sequence, Runnable work) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    private void schedule(long delay, Runnable work) {
        tasks.add(new ScheduledTask(now + delay, sequence++, work));
    }

    private final class Gateway implements Actions {
        private final LoadBalancer balancer;

        Gateway(long seed) {
            balancer = new LoadBalancer(settings(true, GATEWAYS, List.of(), List.of(READ)), seed, this);
            deliver(new ListReceived(ListKind.CACHED, List.of(server("s0"))));
        }

        private void deliver(Event event) {
            balancer.handle(now, event);
        }

        @Override
        public void subscribe() {
            calls.add(now);
            schedule(MS, () -> {
                boolean served = now >= DISCOVERY_DOWN_NANOS;
                listsReceived += served ? 1 : 0;
                deliver(new ListReceived(served ? ListKind.WHOLE : ListKind.FAILED, served ? List.of(server("s0")) : List.of()));
            });
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            schedule(delayNanos, () -> deliver(new TimerFired(token)));
        }

        @Override
        public void send(String request, String server, long timeoutNanos) { }

        @Override
        public void refuse(String request, long pauseNanos) { }

        @Override
        public void fail(String request) { }

        @Override
        public void cancel(String request, int attempt) { }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void allGatewaysGetTheListSoonAfterRecoveryNeitherInStepNorInAStorm(long seed) {
        for (int g = 0; g < GATEWAYS; g++) {
            new Gateway(seed * GATEWAYS + g);
        }
        for (ScheduledTask next = tasks.poll(); next != null && next.dueAt < DISCOVERY_DOWN_NANOS
                + RULES.discoveryRetryWithinNanos(); next = tasks.poll()) {
            now = next.dueAt;
            next.work.run();
        }
        assertEquals(GATEWAYS, listsReceived);
        // Backoff: a fifth of a second, doubled each time; a constant fifth would make 30 calls in six seconds.
        assertTrue(calls.size() <= GATEWAYS * 10, calls.size() + " calls");
        // Jitter: only the first calls, which the release itself makes simultaneous, coincide.
        long maxCallsInWindow = calls.stream().filter(at -> at > SECOND).mapToLong(at ->
                calls.stream().filter(other -> other >= at && other < at + CALL_WINDOW_NANOS).count()).max().orElse(0);
        assertTrue(maxCallsInWindow <= GATEWAYS / 2, maxCallsInWindow + " calls at once");
        assertTrue(calls.get(calls.size() - 1) <= DISCOVERY_DOWN_NANOS + RULES.discoveryRetryWithinNanos() / 2 + SECOND,
                "the last at " + calls.get(calls.size() - 1));
    }
}
