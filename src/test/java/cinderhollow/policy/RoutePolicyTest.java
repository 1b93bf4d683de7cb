package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.FILE;
import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.*;
import cinderhollow.routes.BudgetedRoutePolicy;
import cinderhollow.routes.RouteSettings;
import cinderhollow.routes.RouteSettings.BudgetSettings;
import cinderhollow.routes.RouteSettings.HedgeSettings;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Route policies, in simulated time: hedges, timeouts, retries and their budgets. */
class RoutePolicyTest {
    private static final BudgetSettings UNLIMITED = new BudgetSettings(1, 1000), NO_BUDGET = new BudgetSettings(0, 0);
    private static final Set<Outcome> ALL_FAILURES = EnumSet.of(Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.ERROR,
            Outcome.RESET, Outcome.TIMED_OUT);

    private static RoutePolicy hedging(long after) {
        return new BudgetedRoutePolicy(0,
                new RouteSettings(2 * SECOND, 2 * SECOND, 4, ALL_FAILURES, 0, 0, UNLIMITED,
                new HedgeSettings(after, 0, 1, UNLIMITED), 0));
    }

    private static RoutePolicy retrying(long attempt, long backoff, BudgetSettings budget) {
        return new BudgetedRoutePolicy(0,
                new RouteSettings(2 * SECOND, attempt, 4, ALL_FAILURES, backoff, 8 * backoff, budget, null, 30 * MS));
    }

    private final GatewayHarness gateway = new GatewayHarness().withServers(3);

    private String submit(RequestClass c, RoutePolicy routePolicy) {
        return gateway.submit(c, null, c.deadlineNanos(), routePolicy);
    }

    /**
     * Lets time pass and fires the timers of single requests that are due by then. The timers of sweeps and updates are left to
     * the test.
     */
    private List<Recorder.Action> advance(List<Recorder.Action> actions, long nanos) {
        gateway.now += nanos;
        actions.stream().filter(a -> a.call().equals("setTimer") && Long.parseLong(a.id()) > GatewayHarness.SUBSCRIBE_TOKEN
                && a.value() <= nanos).forEach(a -> gateway.fireTimer(Long.parseLong(a.id())));
        return gateway.recorder.take();
    }

    private static List<Recorder.Action> filterByCall(String call, List<Recorder.Action> actions) {
        return actions.stream().filter(a -> a.call().equals(call)).toList();
    }

    @Test
    void aHedgeGoesToAnotherServerWhenTheFirstAttemptIsSlowAndTheLoserIsCancelled() {
        gateway.recorder.take();
        String id = submit(READ, hedging(80 * MS));
        List<Recorder.Action> asked = gateway.recorder.take();
        String first = filterByCall("send", asked).get(0).server();
        List<Recorder.Action> hedges = filterByCall("send", advance(asked, 80 * MS));
        assertEquals(1, hedges.size());
        assertNotEquals(first, hedges.get(0).server());
        gateway.now += 5 * MS;
        gateway.endAttempt(id, 1, hedges.get(0).server(), Outcome.SERVED, 5 * MS);
        List<Recorder.Action> after = gateway.recorder.take();
        assertEquals(List.of(0L), filterByCall("cancel", after).stream().map(Recorder.Action::value).toList());
        assertTrue(filterByCall("refuse", after).isEmpty() && filterByCall("fail", after).isEmpty(), "the hedge gave the answer");
        gateway.endAttempt(id, 0, first, Outcome.CANCELLED, 85 * MS, true);
        assertTrue(filterByCall("send", gateway.recorder.take()).isEmpty());
    }

    /**
     * An attempt and its hedge are answered at the same instant: each in-flight place is released once, and no request is
     * answered twice.
     */
    @Test
    void twoAttemptsThatAnswerInTheSameInstantFreeBothPlacesAndGiveOneAnswer() {
        int before = new GatewayHarness().withServers(3).measureMaxInFlight();
        for (int i = 0; i < 50; i++) {
            String id = submit(READ, hedging(10 * MS));
            List<Recorder.Action> asked = gateway.recorder.take();
            if (filterByCall("send", asked).isEmpty()) {
                continue;
            }
            String first = filterByCall("send", asked).get(0).server();
            List<Recorder.Action> hedges = filterByCall("send", advance(asked, 10 * MS));
            gateway.endAttempt(id, 0, first, Outcome.SERVED, 10 * MS, true);
            if (!hedges.isEmpty()) {
                gateway.endAttempt(id, 1, hedges.get(0).server(), Outcome.SERVED, 0, true);
                // A second end of an attempt that has ended must be ignored.
                gateway.endAttempt(id, 1, hedges.get(0).server(), Outcome.CANCELLED, 0, true);
            }
            List<Recorder.Action> after = gateway.recorder.take();
            assertTrue(filterByCall("refuse", after).isEmpty() && filterByCall("fail", after).isEmpty());
        }
        assertTrue(gateway.measureMaxInFlight() >= before, "no in-flight place was lost");
    }

    @Test
    void anUnsafeRequestIsNeverHedgedWhateverTheRoutePolicySays() {
        submit(ORDER, hedging(10 * MS));
        assertTrue(filterByCall("send", advance(gateway.recorder.take(), 500 * MS)).isEmpty());
    }

    @Test
    void aKeyedHedgeStaysInItsDedupGroup() {
        GatewayHarness two = new GatewayHarness();
        two.receiveList(ListKind.CACHED, server("a0"), server("b0", "b", Readiness.READY, 0));
        for (int i = 0; i < 20; i++) {
            two.submit(FILE, null, FILE.deadlineNanos(), hedging(10 * MS));
        }
        List<Recorder.Action> asked = two.recorder.take();
        two.now += 20 * MS;
        asked.stream().filter(a -> a.call().equals("setTimer") && Long.parseLong(a.id()) > GatewayHarness.SUBSCRIBE_TOKEN)
                .forEach(a -> two.fireTimer(Long.parseLong(a.id())));
        assertTrue(filterByCall("send", two.recorder.take()).stream().noneMatch(copy -> asked.stream().anyMatch(
                first -> first.call().equals("send") && copy.id().equals(first.id()))), "the other zone drops no repeat");
    }

    @Test
    void noHedgeWithoutAnotherWarmReadyServerAndTimeLeft() {
        GatewayHarness lone = new GatewayHarness().withServers(1);
        GatewayHarness cold = new GatewayHarness();
        cold.receiveList(ListKind.CACHED, server("s0"), server("s1", "a", Readiness.READY, cold.now - SECOND));
        GatewayHarness draining = new GatewayHarness();
        draining.receiveList(ListKind.CACHED, server("s0"), server("s1", "a", Readiness.DRAINING, 0));
        for (GatewayHarness each : List.of(lone, cold, draining)) {
            String id = null;
            List<Recorder.Action> asked = List.of();
            for (int i = 0; i < 40 && (id == null || !"s0".equals(filterByCall("send", asked).get(0).server())); i++) {
                String next = each.submit(READ, null, READ.deadlineNanos(), hedging(50 * MS));
                List<Recorder.Action> actions = each.recorder.take();
                if (!filterByCall("send", actions).isEmpty()) {
                    id = next;
                    asked = actions;
                }
            }
            each.now += 50 * MS;
            asked.stream().filter(a -> a.call().equals("setTimer") && Long.parseLong(a.id()) > GatewayHarness.SUBSCRIBE_TOKEN)
                    .forEach(a -> each.fireTimer(Long.parseLong(a.id())));
            String asker = id;
            assertTrue(filterByCall("send", each.recorder.take()).stream().noneMatch(a -> a.id().equals(asker)));
        }
        String late = gateway.submit(READ, null, 60 * MS, hedging(50 * MS));
        assertTrue(filterByCall("send", advance(gateway.recorder.take(), 50 * MS)).stream().noneMatch(a -> a.id().equals(late)),
                "10 ms are too short for a hedge");
    }

    @Test
    void hedgesStayWithinTheirBudget() {
        RoutePolicy routePolicy = new BudgetedRoutePolicy(0, new RouteSettings(2 * SECOND, 2 * SECOND, 4, ALL_FAILURES, 0, 0,
                UNLIMITED,
                new HedgeSettings(10 * MS, 0, 1, new BudgetSettings(0.1, 0)), 0));
        int sent = 0;
        int hedged = 0;
        for (int i = 0; i < 500; i++) {
            String id = submit(READ, routePolicy);
            List<Recorder.Action> asked = gateway.recorder.take();
            List<Recorder.Action> first = filterByCall("send", asked);
            List<Recorder.Action> hedge = filterByCall("send", advance(asked, 10 * MS));
            sent += first.size();
            hedged += hedge.size();
            if (!first.isEmpty()) {
                gateway.endAttempt(id, 0, first.get(0).server(), Outcome.SERVED, 10 * MS, true);
            }
            if (!hedge.isEmpty()) {
                gateway.endAttempt(id, 1, hedge.get(0).server(), Outcome.CANCELLED, 0, true);
            }
            gateway.recorder.take();
        }
        assertTrue(sent >= 450 && hedged >= 40 && hedged <= 51, sent + " and " + hedged);
    }

    /**
     * All servers fail for 10 s: in each second at most (1 + budget) times the requests that arrive are sent, and no request is
     * open at the end.
     */
    @Test
    void aRetryStormStaysWithinTheBudgetAndEndsAtOnce() {
        RoutePolicy routePolicy = retrying(2 * SECOND, 0, new BudgetSettings(0.2, 0));
        Map<Long, Integer> sends = new HashMap<>();
        long begin = gateway.now;
        for (int i = 0; i < 1100; i++) {
            boolean failing = gateway.now - begin < 10 * SECOND;
            String id = submit(READ, routePolicy);
            for (List<Recorder.Action> out = filterByCall("send", gateway.recorder.take()); !out.isEmpty();
                    out = filterByCall("send", gateway.recorder.take())) {
                sends.merge((gateway.now - begin) / SECOND, out.size(), Integer::sum);
                for (Recorder.Action a : out) {
                    int attempt = nextAttemptNumber(a, id);
                    gateway.endAttempt(a.id(), attempt, a.server(), failing ? Outcome.ERROR : Outcome.SERVED, 5 * MS);
                }
            }
            gateway.now += 10 * MS;
            gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
        }
        sends.forEach((second, count) -> assertTrue(count <= (second < 10 ? 121 : 101), count + " in second " + second));
        assertTrue(sends.get(10L) >= 90, "recovered: " + sends);
    }

    private final Map<String, Integer> attemptCounts = new HashMap<>();

    private int nextAttemptNumber(Recorder.Action send, String newest) {
        return attemptCounts.merge(send.id(), 1, Integer::sum) - 1;
    }

    @Test
    void anAttemptHasItsOwnTimeOutAndNeverMoreThanWhatIsLeft() {
        submit(READ, retrying(300 * MS, 0, UNLIMITED));
        assertEquals(300 * MS, filterByCall("send", gateway.recorder.take()).get(0).value());
        gateway.submit(READ, null, 200 * MS, retrying(300 * MS, 0, UNLIMITED));
        assertEquals(200 * MS, filterByCall("send", gateway.recorder.take()).get(0).value());
    }

    /** The client of this request waits 100 ms, while the operator's attempts would take 600 ms. */
    @Test
    void retriesThatWouldOutlastTheClientAreCutAndItsAnswerComesInTime() {
        String id = gateway.submit(READ, null, 100 * MS, retrying(60 * MS, 50 * MS, UNLIMITED));
        String server = gateway.takeSendTarget();
        gateway.now += 60 * MS;
        gateway.endAttempt(id, 0, server, Outcome.TIMED_OUT, 60 * MS);
        List<Recorder.Action> actions = gateway.recorder.take();
        boolean answered = !filterByCall("refuse", actions).isEmpty();
        boolean waits = filterByCall("setTimer", actions).stream()
                .anyMatch(a -> Long.parseLong(a.id()) > GatewayHarness.SUBSCRIBE_TOKEN
                && a.value() < 40 * MS);
        assertTrue(answered || waits, actions::toString);
        if (!answered) {
            List<Recorder.Action> later = advance(actions, 39 * MS);
            assertTrue(filterByCall("send", later).stream().allMatch(a -> a.value() <= 40 * MS), later::toString);
        }
    }

    @Test
    void aBackoffIsWaitedForAndARefusalTellsWhenToRetry() {
        String id = submit(READ, retrying(500 * MS, 40 * MS, UNLIMITED));
        String first = gateway.takeSendTarget();
        gateway.endAttempt(id, 0, first, Outcome.ERROR, 5 * MS);
        List<Recorder.Action> actions = gateway.recorder.take();
        assertTrue(filterByCall("send", actions).isEmpty(), "the retry waits for its backoff");
        Recorder.Action timer = filterByCall("setTimer", actions).stream()
                .filter(a -> Long.parseLong(a.id()) > GatewayHarness.SUBSCRIBE_TOKEN)
                .findFirst().orElseThrow();
        assertTrue(timer.value() >= 20 * MS && timer.value() <= 40 * MS, timer::toString);
        assertEquals(1, filterByCall("send", advance(actions, 40 * MS)).size());
        GatewayHarness empty = new GatewayHarness();
        empty.receiveList(ListKind.CACHED);
        String refused = empty.submit(READ, null, 1 * MS, retrying(500 * MS, 0, UNLIMITED));
        assertEquals(List.of(30 * MS), empty.recorder.take("refuse").stream().filter(a -> a.id().equals(refused))
                .map(Recorder.Action::value).toList());
    }

    @Test
    void aClientThatLeavesDuringTheBackOffIsForgotten() {
        String id = submit(READ, retrying(500 * MS, 40 * MS, UNLIMITED));
        gateway.endAttempt(id, 0, gateway.takeSendTarget(), Outcome.ERROR, 5 * MS);
        List<Recorder.Action> actions = gateway.recorder.take();
        gateway.balancer.handle(gateway.now, new ClientLeft(id));
        assertTrue(filterByCall("send", advance(actions, 40 * MS)).isEmpty());
    }

    @Test
    void withoutABudgetThereIsNoRetry() {
        String id = submit(READ, retrying(500 * MS, 0, NO_BUDGET));
        gateway.endAttempt(id, 0, gateway.takeSendTarget(), Outcome.ERROR, 5 * MS);
        assertNull(gateway.takeSendTarget());
    }

    /** One route times out after 8 ms, the other waits. The servers are alike, so their shares must stay alike. */
    @Test
    void aShortTimeoutOfOneRouteDoesNotLowerAServersShare() {
        RoutePolicy shortTimeout = retrying(8 * MS, 0, NO_BUDGET);
        RoutePolicy longTimeout = retrying(2 * SECOND, 0, NO_BUDGET);
        Map<String, Integer> drawn = new HashMap<>();
        for (int i = 0; i < 6000; i++) {
            boolean first = i % 2 == 0;
            String id = submit(READ, first ? shortTimeout : longTimeout);
            String server = gateway.takeSendTarget();
            if (server != null) {
                // One server gets all timeouts of the route with the short timeout; they only show that answers take longer
                // than 8 ms.
                boolean timesOut = first && server.equals("s0");
                gateway.endAttempt(id, 0, server, timesOut ? Outcome.TIMED_OUT : Outcome.SERVED, timesOut ? 8 * MS : 20 * MS);
                if (!first && i > 3000) {
                    drawn.merge(server, 1, Integer::sum);
                }
            }
            gateway.recorder.take();
            gateway.now += 5 * MS;
            if (i % 200 == 199) {
                gateway.fireTimer(GatewayHarness.SHARE_UPDATE_TOKEN);
            }
        }
        int all = drawn.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(drawn.getOrDefault("s0", 0) > all / 4 && drawn.get("s0") < all * 5 / 12, drawn::toString);
    }
}
