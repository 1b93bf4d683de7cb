package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.STEP;
import static cinderhollow.policy.Fleet.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.LearnedState.ClassEntry;
import cinderhollow.policy.LearnedState.ServerEntry;
import cinderhollow.policy.Protocol.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The learned state that one process passes to the next, and how both count while they overlap, in simulated time. */
class RecalledTest {
    /** Returns a module that has seen one slow and one failing server among three. */
    private static Fleet experienced() {
        Fleet fleet = new Fleet().with(3);
        for (int i = 0; i < 200; i++) {
            String id = fleet.ask(READ);
            String to = fleet.sentTo();
            if (to != null) {
                fleet.end(id, 0, to, to.equals("s2") ? Outcome.ERROR : Outcome.SERVED, to.equals("s1") ? 90 * MS : 30 * MS, true);
            }
            fleet.now += 20 * MS;
            if (i % 50 == 49) {
                fleet.fire(STEP);
            }
        }
        return fleet;
    }

    @Test
    void aSuccessorGoesOnWhereItsPredecessorStood() {
        Fleet old = experienced();
        Fleet next = new Fleet().with(3);
        next.now = old.now;
        next.choice.handle(next.now, new LearnedStateReceived(old.choice.learnedState()));
        assertEquals(old.choice.learnedState().classes(), next.choice.learnedState().classes());
        for (int i = 0; i < 3; i++) {
            assertEquals(old.choice.ready().get(i).share, next.choice.ready().get(i).share, 1e-9);
            assertEquals(old.choice.ready().get(i).limit, next.choice.ready().get(i).limit, 1e-9);
        }
        assertEquals(2, next.choice.usableServerCount(), "it avoids the failing server from its first request on");
        assertEquals(old.choice.usableServerCount(), next.choice.usableServerCount());
    }

    /** Each invalid entry is dropped by itself, and nothing is restored for a server that has restarted since. */
    @Test
    void whatIsDoubtfulIsDroppedAlone() {
        Fleet next = new Fleet().with(3);
        List<ServerEntry> servers = new ArrayList<>();
        servers.add(new ServerEntry("s0", 0, Double.NaN, 1, 1, 0, false));
        servers.add(new ServerEntry("s1", 77, 0.9, 1, 1, 0, false));
        servers.add(new ServerEntry("s2", 0, 0.6, 2.5, 1, 0, false));
        servers.add(new ServerEntry("unheard-of", 0, 0.1, 1, 1, 0, false));
        next.choice.handle(next.now, new LearnedStateReceived(new LearnedState(0, 0, 5, servers,
                List.of(new ClassEntry("read", -1, 0, 5), new ClassEntry("order", 40 * MS, 30 * MS, 5), new ClassEntry("gone", 1, 1, 1)))));
        double total = 1 / 3.0 + 1 / 3.0 + 0.6;
        assertEquals(1 / 3.0 / total, next.choice.ready().get(0).share, 1e-9);
        assertEquals(1 / 3.0 / total, next.choice.ready().get(1).share, 1e-9);
        assertEquals(0.6 / total, next.choice.ready().get(2).share, 1e-9);
        assertEquals(2.5, next.choice.ready().get(2).limit);
        assertEquals(100 * MS, next.choice.kind("read").latency, "a fifth of the aim, as at a plain start");
        assertEquals(40 * MS, next.choice.kind("order").latency);
        LearnedState wrong = new LearnedState(Double.NaN, 0, 5, servers, List.of());
        Fleet plain = new Fleet().with(3);
        plain.choice.handle(plain.now, new LearnedStateReceived(wrong));
        assertEquals(1 / 3.0, plain.choice.ready().get(2).share, 1e-9);
    }

    /** Returns how many requests a cold server gets in a second from a module that is offered far more than it may send. */
    private static int sentToCold(Fleet fleet, int perSecond) {
        int sent = 0;
        for (int i = 0; i < perSecond; i++) {
            String id = fleet.ask(ORDER);
            String to = fleet.sentTo();
            if (to != null) {
                sent += to.equals("cold") ? 1 : 0;
                fleet.end(id, 0, to, Outcome.SERVED, MS, true);
            }
            fleet.now += SECOND / perSecond;
        }
        return sent;
    }

    private static Fleet withCold(boolean overlapping) {
        Fleet fleet = new Fleet().with(1);
        sentToCold(fleet, 100);
        fleet.fire(STEP);
        if (overlapping) {
            fleet.choice.handle(fleet.now, new ProcessOverlapChanged(true));
        }
        fleet.choice.handle(fleet.now, new ListReceived(ListKind.CHANGES, List.of(server("cold", "a", Readiness.READY, fleet.now))));
        return fleet;
    }

    /** Two processes that each know the whole request rate would otherwise give a cold server twice what one gateway may. */
    @Test
    void bothTogetherGiveAColdServerWhatOneMay() {
        Fleet one = withCold(false);
        Fleet first = withCold(true);
        Fleet second = withCold(true);
        int alone = sentToCold(one, 400) + sentToCold(one, 400);
        int both = sentToCold(first, 400) + sentToCold(first, 400) + sentToCold(second, 400) + sentToCold(second, 400);
        assertTrue(alone > 10, alone + " alone");
        assertTrue(both <= alone * 1.2 + 2, both + " by both, and " + alone + " alone");
        first.choice.handle(first.now, new ProcessOverlapChanged(false));
        assertTrue(sentToCold(first, 400) > 0);
    }

    /** A server that was cold for the predecessor has already got its budget. */
    @Test
    void aColdServerIsOwedNothingAtTheHandOver() {
        Fleet old = withCold(false);
        Fleet next = withCold(true);
        next.choice.handle(next.now, new LearnedStateReceived(old.choice.learnedState()));
        assertEquals(0, next.choice.ready().stream().filter(s -> s.info.id().equals("cold")).findFirst().orElseThrow().cold.tokens);
    }
}
