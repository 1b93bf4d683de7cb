package cinderhollow.policy;

import static cinderhollow.policy.Fleet.FILE;
import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.*;
import cinderhollow.routes.RouteCourse;
import cinderhollow.routes.Terms.Allowance;
import cinderhollow.routes.Terms.Copy;
import cinderhollow.routes.Terms;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Route policies, in simulated time: hedges, timeouts, retries and their budgets. */
class CourseTest {
    private static final Allowance ALL = new Allowance(1, 1000), NONE = new Allowance(0, 0);
    private static final Set<Outcome> ANY = EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.ERROR,
            Outcome.RESET, Outcome.TIMED_OUT);

    private static RoutePolicy copies(long after) {
        return new RouteCourse(0, new Terms(2 * SECOND, 2 * SECOND, 4, ANY, 0, 0, ALL, new Copy(after, 0, 1, ALL), 0));
    }

    private static RoutePolicy tries(long attempt, long backoff, Allowance budget) {
        return new RouteCourse(0, new Terms(2 * SECOND, attempt, 4, ANY, backoff, 8 * backoff, budget, null, 30 * MS));
    }

    private final Fleet fleet = new Fleet().with(3);

    private String ask(RequestClass c, RoutePolicy course) {
        return fleet.ask(c, null, c.deadlineNanos(), course);
    }

    /**
     * Lets time pass and fires the timers of single requests that are due by then. The timers of sweeps and updates are left to
     * the test.
     */
    private List<Recorder.Action> pass(List<Recorder.Action> actions, long nanos) {
        fleet.now += nanos;
        actions.stream().filter(a -> a.what().equals("setTimer") && Long.parseLong(a.id()) > Fleet.ASK
                && a.number() <= nanos).forEach(a -> fleet.fire(Long.parseLong(a.id())));
        return fleet.host.take();
    }

    private static List<Recorder.Action> only(String what, List<Recorder.Action> actions) {
        return actions.stream().filter(a -> a.what().equals(what)).toList();
    }

    @Test
    void aSecondCopyGoesElsewhereWhenTheFirstIsSlowAndTheLoserIsCalledOff() {
        fleet.host.take();
        String id = ask(READ, copies(80 * MS));
        List<Recorder.Action> asked = fleet.host.take();
        String first = only("send", asked).get(0).server();
        List<Recorder.Action> copied = only("send", pass(asked, 80 * MS));
        assertEquals(1, copied.size());
        assertNotEquals(first, copied.get(0).server());
        fleet.now += 5 * MS;
        fleet.end(id, 1, copied.get(0).server(), Outcome.SERVED, 5 * MS);
        List<Recorder.Action> after = fleet.host.take();
        assertEquals(List.of(0L), only("cancel", after).stream().map(Recorder.Action::number).toList());
        assertTrue(only("refuse", after).isEmpty() && only("fail", after).isEmpty(), "the hedge gave the answer");
        fleet.end(id, 0, first, Outcome.CANCELLED, 85 * MS, true);
        assertTrue(only("send", fleet.host.take()).isEmpty());
    }

    /**
     * An attempt and its hedge are answered at the same instant: each in-flight place is released once, and no request is
     * answered twice.
     */
    @Test
    void twoCopiesThatAnswerInTheSameInstantGiveBackBothPlacesAndOneAnswer() {
        int before = new Fleet().with(3).inFlightAtMost();
        for (int i = 0; i < 50; i++) {
            String id = ask(READ, copies(10 * MS));
            List<Recorder.Action> asked = fleet.host.take();
            if (only("send", asked).isEmpty()) {
                continue;
            }
            String first = only("send", asked).get(0).server();
            List<Recorder.Action> copied = only("send", pass(asked, 10 * MS));
            fleet.end(id, 0, first, Outcome.SERVED, 10 * MS, true);
            if (!copied.isEmpty()) {
                fleet.end(id, 1, copied.get(0).server(), Outcome.SERVED, 0, true);
                // A second end of an attempt that has ended must be ignored.
                fleet.end(id, 1, copied.get(0).server(), Outcome.CANCELLED, 0, true);
            }
            List<Recorder.Action> after = fleet.host.take();
            assertTrue(only("refuse", after).isEmpty() && only("fail", after).isEmpty());
        }
        assertTrue(fleet.inFlightAtMost() >= before, "no in-flight place was lost");
    }

    @Test
    void noSecondCopyOfWhatMustNotRunTwiceWhateverTheCourseSays() {
        ask(ORDER, copies(10 * MS));
        assertTrue(only("send", pass(fleet.host.take(), 500 * MS)).isEmpty());
    }

    @Test
    void aKeyedCopyStaysInItsGroup() {
        Fleet two = new Fleet();
        two.list(ListKind.CACHED, server("a0"), server("b0", "b", Readiness.READY, 0));
        for (int i = 0; i < 20; i++) {
            two.ask(FILE, null, FILE.deadlineNanos(), copies(10 * MS));
        }
        List<Recorder.Action> asked = two.host.take();
        two.now += 20 * MS;
        asked.stream().filter(a -> a.what().equals("setTimer") && Long.parseLong(a.id()) > Fleet.ASK)
                .forEach(a -> two.fire(Long.parseLong(a.id())));
        assertTrue(only("send", two.host.take()).stream().noneMatch(copy -> asked.stream().anyMatch(
                first -> first.what().equals("send") && copy.id().equals(first.id()))), "the other zone drops no repeat");
    }

    @Test
    void noSecondCopyWithoutAnotherWarmReadyServerWithTimeLeft() {
        Fleet lone = new Fleet().with(1);
        Fleet cold = new Fleet();
        cold.list(ListKind.CACHED, server("s0"), server("s1", "a", Readiness.READY, cold.now - SECOND));
        Fleet draining = new Fleet();
        draining.list(ListKind.CACHED, server("s0"), server("s1", "a", Readiness.DRAINING, 0));
        for (Fleet each : List.of(lone, cold, draining)) {
            String id = null;
            List<Recorder.Action> asked = List.of();
            for (int i = 0; i < 40 && (id == null || !"s0".equals(only("send", asked).get(0).server())); i++) {
                String next = each.ask(READ, null, READ.deadlineNanos(), copies(50 * MS));
                List<Recorder.Action> actions = each.host.take();
                if (!only("send", actions).isEmpty()) {
                    id = next;
                    asked = actions;
                }
            }
            each.now += 50 * MS;
            asked.stream().filter(a -> a.what().equals("setTimer") && Long.parseLong(a.id()) > Fleet.ASK)
                    .forEach(a -> each.fire(Long.parseLong(a.id())));
            String asker = id;
            assertTrue(only("send", each.host.take()).stream().noneMatch(a -> a.id().equals(asker)));
        }
        String late = fleet.ask(READ, null, 60 * MS, copies(50 * MS));
        assertTrue(only("send", pass(fleet.host.take(), 50 * MS)).stream().noneMatch(a -> a.id().equals(late)),
                "10 ms are too short for a hedge");
    }

    @Test
    void copiesStayWithinTheirBudget() {
        RoutePolicy course = new RouteCourse(0, new Terms(2 * SECOND, 2 * SECOND, 4, ANY, 0, 0, ALL,
                new Copy(10 * MS, 0, 1, new Allowance(0.1, 0)), 0));
        int sent = 0;
        int copied = 0;
        for (int i = 0; i < 500; i++) {
            String id = ask(READ, course);
            List<Recorder.Action> asked = fleet.host.take();
            List<Recorder.Action> first = only("send", asked);
            List<Recorder.Action> copy = only("send", pass(asked, 10 * MS));
            sent += first.size();
            copied += copy.size();
            if (!first.isEmpty()) {
                fleet.end(id, 0, first.get(0).server(), Outcome.SERVED, 10 * MS, true);
            }
            if (!copy.isEmpty()) {
                fleet.end(id, 1, copy.get(0).server(), Outcome.CANCELLED, 0, true);
            }
            fleet.host.take();
        }
        assertTrue(sent >= 450 && copied >= 40 && copied <= 51, sent + " and " + copied);
    }

    /**
     * All servers fail for 10 s: in each second at most (1 + budget) times the requests that arrive are sent, and no request is
     * open at the end.
     */
    @Test
    void aRetryStormStaysWithinTheBudgetAndEndsAtOnce() {
        RoutePolicy course = tries(2 * SECOND, 0, new Allowance(0.2, 0));
        Map<Long, Integer> sends = new HashMap<>();
        long begin = fleet.now;
        for (int i = 0; i < 1100; i++) {
            boolean failing = fleet.now - begin < 10 * SECOND;
            String id = ask(READ, course);
            for (List<Recorder.Action> out = only("send", fleet.host.take()); !out.isEmpty();
                    out = only("send", fleet.host.take())) {
                sends.merge((fleet.now - begin) / SECOND, out.size(), Integer::sum);
                for (Recorder.Action a : out) {
                    int attempt = attempt(a, id);
                    fleet.end(a.id(), attempt, a.server(), failing ? Outcome.ERROR : Outcome.SERVED, 5 * MS);
                }
            }
            fleet.now += 10 * MS;
            fleet.fire(Fleet.SWEEP);
        }
        sends.forEach((second, count) -> assertTrue(count <= (second < 10 ? 121 : 101), count + " in second " + second));
        assertTrue(sends.get(10L) >= 90, "recovered: " + sends);
    }

    private final Map<String, Integer> attempts = new HashMap<>();

    private int attempt(Recorder.Action send, String newest) {
        return attempts.merge(send.id(), 1, Integer::sum) - 1;
    }

    @Test
    void anAttemptHasItsOwnTimeOutAndNeverMoreThanWhatIsLeft() {
        ask(READ, tries(300 * MS, 0, ALL));
        assertEquals(300 * MS, only("send", fleet.host.take()).get(0).number());
        fleet.ask(READ, null, 200 * MS, tries(300 * MS, 0, ALL));
        assertEquals(200 * MS, only("send", fleet.host.take()).get(0).number());
    }

    /** The client of this request waits 100 ms, while the operator's attempts would take 600 ms. */
    @Test
    void triesThatWouldOutlastTheClientAreCutAndItsAnswerComesInTime() {
        String id = fleet.ask(READ, null, 100 * MS, tries(60 * MS, 50 * MS, ALL));
        String server = fleet.sentTo();
        fleet.now += 60 * MS;
        fleet.end(id, 0, server, Outcome.TIMED_OUT, 60 * MS);
        List<Recorder.Action> actions = fleet.host.take();
        boolean answered = !only("refuse", actions).isEmpty();
        boolean waits = only("setTimer", actions).stream().anyMatch(a -> Long.parseLong(a.id()) > Fleet.ASK
                && a.number() < 40 * MS);
        assertTrue(answered || waits, actions::toString);
        if (!answered) {
            List<Recorder.Action> later = pass(actions, 39 * MS);
            assertTrue(only("send", later).stream().allMatch(a -> a.number() <= 40 * MS), later::toString);
        }
    }

    @Test
    void aBackOffIsWaitedForAndARefusalTellsWhenToComeBack() {
        String id = ask(READ, tries(500 * MS, 40 * MS, ALL));
        String first = fleet.sentTo();
        fleet.end(id, 0, first, Outcome.ERROR, 5 * MS);
        List<Recorder.Action> actions = fleet.host.take();
        assertTrue(only("send", actions).isEmpty(), "the retry waits for its backoff");
        Recorder.Action timer = only("setTimer", actions).stream().filter(a -> Long.parseLong(a.id()) > Fleet.ASK)
                .findFirst().orElseThrow();
        assertTrue(timer.number() >= 20 * MS && timer.number() <= 40 * MS, timer::toString);
        assertEquals(1, only("send", pass(actions, 40 * MS)).size());
        Fleet empty = new Fleet();
        empty.list(ListKind.CACHED);
        String refused = empty.ask(READ, null, 1 * MS, tries(500 * MS, 0, ALL));
        assertEquals(List.of(30 * MS), empty.host.take("refuse").stream().filter(a -> a.id().equals(refused))
                .map(Recorder.Action::number).toList());
    }

    @Test
    void aClientThatLeavesDuringTheBackOffIsForgotten() {
        String id = ask(READ, tries(500 * MS, 40 * MS, ALL));
        fleet.end(id, 0, fleet.sentTo(), Outcome.ERROR, 5 * MS);
        List<Recorder.Action> actions = fleet.host.take();
        fleet.choice.handle(fleet.now, new ClientLeft(id));
        assertTrue(only("send", pass(actions, 40 * MS)).isEmpty());
    }

    @Test
    void withoutABudgetThereIsNoSecondTry() {
        String id = ask(READ, tries(500 * MS, 0, NONE));
        fleet.end(id, 0, fleet.sentTo(), Outcome.ERROR, 5 * MS);
        assertNull(fleet.sentTo());
    }

    /** One route times out after 8 ms, the other waits. The servers are alike, so their shares must stay alike. */
    @Test
    void aShortTimeOutOfOneRouteSpoilsNoServersShare() {
        RoutePolicy hasty = tries(8 * MS, 0, NONE);
        RoutePolicy patient = tries(2 * SECOND, 0, NONE);
        Map<String, Integer> drawn = new HashMap<>();
        for (int i = 0; i < 6000; i++) {
            boolean first = i % 2 == 0;
            String id = ask(READ, first ? hasty : patient);
            String server = fleet.sentTo();
            if (server != null) {
                // One server gets all timeouts of the route with the short timeout; they only show that answers take longer
                // than 8 ms.
                boolean timesOut = first && server.equals("s0");
                fleet.end(id, 0, server, timesOut ? Outcome.TIMED_OUT : Outcome.SERVED, timesOut ? 8 * MS : 20 * MS);
                if (!first && i > 3000) {
                    drawn.merge(server, 1, Integer::sum);
                }
            }
            fleet.host.take();
            fleet.now += 5 * MS;
            if (i % 200 == 199) {
                fleet.fire(Fleet.STEP);
            }
        }
        int all = drawn.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(drawn.getOrDefault("s0", 0) > all / 4 && drawn.get("s0") < all * 5 / 12, drawn::toString);
    }
}
