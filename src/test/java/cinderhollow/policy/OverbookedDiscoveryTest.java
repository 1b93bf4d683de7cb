package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.RULES;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.server;
import static cinderhollow.policy.Fleet.settings;
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
class OverbookedDiscoveryTest {
    private static final int GATEWAYS = 14;
    private static final long DOWN = 6 * SECOND, WINDOW = 50 * MS;

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final List<Long> calls = new ArrayList<>();
    private int listed;
    private long now;
    private long sequence;

    private record Due(long at, long sequence, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private void later(long delay, Runnable work) {
        due.add(new Due(now + delay, sequence++, work));
    }

    private final class Gateway implements Actions {
        private final LoadBalancer choice;

        Gateway(long seed) {
            choice = new LoadBalancer(settings(true, GATEWAYS, List.of(), List.of(READ)), seed, this);
            tell(new ListReceived(ListKind.CACHED, List.of(server("s0"))));
        }

        private void tell(Event event) {
            choice.handle(now, event);
        }

        @Override
        public void subscribe() {
            calls.add(now);
            later(MS, () -> {
                boolean served = now >= DOWN;
                listed += served ? 1 : 0;
                tell(new ListReceived(served ? ListKind.WHOLE : ListKind.FAILED, served ? List.of(server("s0")) : List.of()));
            });
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            later(delayNanos, () -> tell(new TimerFired(token)));
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
    void allAreToldSoonAfterItIsBackAndNeitherInStepNorInAStorm(long seed) {
        for (int g = 0; g < GATEWAYS; g++) {
            new Gateway(seed * GATEWAYS + g);
        }
        for (Due next = due.poll(); next != null && next.at < DOWN + RULES.askWithinNanos(); next = due.poll()) {
            now = next.at;
            next.work.run();
        }
        assertEquals(GATEWAYS, listed);
        // Backoff: a fifth of a second, doubled each time; a constant fifth would make 30 calls in six seconds.
        assertTrue(calls.size() <= GATEWAYS * 10, calls.size() + " calls");
        // Jitter: only the first calls, which the release itself makes simultaneous, coincide.
        long most = calls.stream().filter(at -> at > SECOND).mapToLong(at ->
                calls.stream().filter(other -> other >= at && other < at + WINDOW).count()).max().orElse(0);
        assertTrue(most <= GATEWAYS / 2, most + " calls at once");
        assertTrue(calls.get(calls.size() - 1) <= DOWN + RULES.askWithinNanos() / 2 + SECOND, "the last at " + calls.get(calls.size() - 1));
    }
}
