package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.SHARE_UPDATE_TOKEN;
import static cinderhollow.policy.GatewayHarness.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.LearnedState.ClassEntry;
import cinderhollow.policy.LearnedState.ServerEntry;
import cinderhollow.policy.Protocol.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The learned state that one process passes to the next, and how both count while they overlap, in simulated time. */
class LearnedStateTest {
    /** Returns a module that has seen one slow and one failing server among three. */
    private static GatewayHarness withLearnedState() {
        GatewayHarness gateway = new GatewayHarness().withServers(3);
        for (int i = 0; i < 200; i++) {
            String id = gateway.submit(READ);
            String to = gateway.takeSendTarget();
            if (to != null) {
                gateway.endAttempt(id, 0, to, to.equals("s2") ? Outcome.ERROR : Outcome.SERVED, to.equals("s1") ? 90 * MS
                        : 30 * MS, true);
            }
            gateway.now += 20 * MS;
            if (i % 50 == 49) {
                gateway.fireTimer(SHARE_UPDATE_TOKEN);
            }
        }
        return gateway;
    }

    @Test
    void aSuccessorStartsWithItsPredecessorsLearnedState() {
        GatewayHarness old = withLearnedState();
        GatewayHarness next = new GatewayHarness().withServers(3);
        next.now = old.now;
        next.balancer.handle(next.now, new LearnedStateReceived(old.balancer.learnedState()));
        assertEquals(old.balancer.learnedState().classes(), next.balancer.learnedState().classes());
        for (int i = 0; i < 3; i++) {
            assertEquals(old.balancer.readyServers().get(i).share, next.balancer.readyServers().get(i).share, 1e-9);
            assertEquals(old.balancer.readyServers().get(i).inFlightLimit, next.balancer.readyServers().get(i).inFlightLimit,
                    1e-9);
        }
        assertEquals(2, next.balancer.usableServerCount(), "it avoids the failing server from its first request on");
        assertEquals(old.balancer.usableServerCount(), next.balancer.usableServerCount());
    }

    /** Each invalid entry is dropped by itself, and nothing is restored for a server that has restarted since. */
    @Test
    void invalidEntriesAreDroppedOneByOne() {
        GatewayHarness next = new GatewayHarness().withServers(3);
        List<ServerEntry> servers = new ArrayList<>();
        servers.add(new ServerEntry("s0", 0, Double.NaN, 1, 1, 0, false));
        servers.add(new ServerEntry("s1", 77, 0.9, 1, 1, 0, false));
        servers.add(new ServerEntry("s2", 0, 0.6, 2.5, 1, 0, false));
        servers.add(new ServerEntry("unheard-of", 0, 0.1, 1, 1, 0, false));
        next.balancer.handle(next.now, new LearnedStateReceived(new LearnedState(0, 0, 5, servers,
                List.of(new ClassEntry("read", -1, 0, 5), new ClassEntry("order", 40 * MS, 30 * MS, 5),
                new ClassEntry("gone", 1, 1, 1)))));
        double total = 1 / 3.0 + 1 / 3.0 + 0.6;
        assertEquals(1 / 3.0 / total, next.balancer.readyServers().get(0).share, 1e-9);
        assertEquals(1 / 3.0 / total, next.balancer.readyServers().get(1).share, 1e-9);
        assertEquals(0.6 / total, next.balancer.readyServers().get(2).share, 1e-9);
        assertEquals(2.5, next.balancer.readyServers().get(2).inFlightLimit);
        assertEquals(100 * MS, next.balancer.classState("read").meanLatencyNanos, "a fifth of the aim, as at a plain start");
        assertEquals(40 * MS, next.balancer.classState("order").meanLatencyNanos);
        LearnedState wrong = new LearnedState(Double.NaN, 0, 5, servers, List.of());
        GatewayHarness plain = new GatewayHarness().withServers(3);
        plain.balancer.handle(plain.now, new LearnedStateReceived(wrong));
        assertEquals(1 / 3.0, plain.balancer.readyServers().get(2).share, 1e-9);
    }

    /** Returns how many requests a cold server gets in a second from a module that is offered far more than it may send. */
    private static int countSentToCold(GatewayHarness gateway, int perSecond) {
        int sent = 0;
        for (int i = 0; i < perSecond; i++) {
            String id = gateway.submit(ORDER);
            String to = gateway.takeSendTarget();
            if (to != null) {
                sent += to.equals("cold") ? 1 : 0;
                gateway.endAttempt(id, 0, to, Outcome.SERVED, MS, true);
            }
            gateway.now += SECOND / perSecond;
        }
        return sent;
    }

    private static GatewayHarness withColdServer(boolean overlapping) {
        GatewayHarness gateway = new GatewayHarness().withServers(1);
        countSentToCold(gateway, 100);
        gateway.fireTimer(SHARE_UPDATE_TOKEN);
        if (overlapping) {
            gateway.balancer.handle(gateway.now, new ProcessOverlapChanged(true));
        }
        gateway.balancer.handle(gateway.now,
                new ListReceived(ListKind.CHANGES, List.of(server("cold", "a", Readiness.READY, gateway.now))));
        return gateway;
    }

    /** Two processes that each know the whole request rate would otherwise give a cold server twice what one gateway may. */
    @Test
    void twoOverlappingProcessesSendAColdServerWhatOneMay() {
        GatewayHarness one = withColdServer(false);
        GatewayHarness first = withColdServer(true);
        GatewayHarness second = withColdServer(true);
        int alone = countSentToCold(one, 400) + countSentToCold(one, 400);
        int both = countSentToCold(first, 400) + countSentToCold(first, 400) + countSentToCold(second, 400)
                + countSentToCold(second, 400);
        assertTrue(alone > 10, alone + " alone");
        assertTrue(both <= alone * 1.2 + 2, both + " by both, and " + alone + " alone");
        first.balancer.handle(first.now, new ProcessOverlapChanged(false));
        assertTrue(countSentToCold(first, 400) > 0);
    }

    /** A server that was cold for the predecessor has already got its budget. */
    @Test
    void aColdServerHasNoTokensAfterTheHandover() {
        GatewayHarness old = withColdServer(false);
        GatewayHarness next = withColdServer(true);
        next.balancer.handle(next.now, new LearnedStateReceived(old.balancer.learnedState()));
        assertEquals(0, next.balancer.readyServers().stream().filter(s -> s.info.id().equals("cold")).findFirst()
                .orElseThrow().coldBucket.tokens);
    }
}
