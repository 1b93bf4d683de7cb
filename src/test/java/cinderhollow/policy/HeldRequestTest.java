package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SWEEP_TOKEN;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Held requests in small fleets. Clients got answers only after half of their aim (five seconds, where one system call in ten
 * failed), while both servers were idle.
 */
class HeldRequestTest {
    /** A time far below half of the aims used here. */
    private static final long SOON_MILLIS = 100;
    private static final int SERVERS = 2;
    private static final long SWEEP_MILLIS = 10;

    private GatewayHarness gateway = new GatewayHarness().withServers(SERVERS);

    /** Returns the module's actions within this time from now. */
    private List<Recorder.Action> runSweeps() {
        List<Recorder.Action> actions = new ArrayList<>(gateway.recorder.take());
        for (long waited = 0; waited < SOON_MILLIS; waited += SWEEP_MILLIS) {
            gateway.now += SWEEP_MILLIS * MS;
            gateway.fireTimer(SWEEP_TOKEN);
            actions.addAll(gateway.recorder.take());
        }
        return actions;
    }

    private List<Recorder.Action> filterByCall(List<Recorder.Action> actions, String... calls) {
        return actions.stream().filter(action -> List.of(calls).contains(action.call())).toList();
    }

    /** Submits a request, ends an attempt at each server with this outcome, and returns the request's id. */
    private String submitAndEndAtAllServers(Protocol.RequestClass requestClass, Outcome outcome) {
        String id = gateway.submit(requestClass);
        for (int attempt = 0; attempt < SERVERS; attempt++) {
            String server = gateway.takeSendTarget();
            assertNotNull(server, "attempt " + attempt);
            gateway.endAttempt(id, attempt, server, outcome, MS);
        }
        return id;
    }

    @Test
    void aRequestThatReachedNoServerIsTriedAgainSoon() {
        for (Protocol.RequestClass requestClass : List.of(READ, ORDER)) {
            gateway = new GatewayHarness().withServers(SERVERS); // a gateway whose servers have no failures yet
            String id = submitAndEndAtAllServers(requestClass, Outcome.CONNECT_FAILED);
            assertNull(gateway.takeSendTarget(), "not retried at the same instant");
            List<Recorder.Action> next = filterByCall(runSweeps(), "send");
            assertEquals(List.of(id), next.stream().map(Recorder.Action::id).toList());
        }
    }

    @Test
    void aRequestThatNoServerCanConnectForIsRefusedSoonAndAfterTheAllowedAttempts() {
        String id = submitAndEndAtAllServers(ORDER, Outcome.CONNECT_FAILED);
        List<Recorder.Action> seen = new ArrayList<>();
        for (int attempt = SERVERS; attempt < GatewayHarness.UPSTREAM_OPTIONS.maxAttempts(); attempt++) {
            List<Recorder.Action> next = filterByCall(runSweeps(), "send");
            assertEquals(1, next.size(), "attempt " + attempt);
            seen.addAll(next);
            gateway.endAttempt(id, attempt, next.get(0).server(), Outcome.CONNECT_FAILED, MS);
        }
        assertEquals(List.of(id), filterByCall(gateway.recorder.take(), "refuse").stream().map(Recorder.Action::id).toList());
    }

    /** Each server has failed the request or turned it away, so none may have it again. */
    @Test
    void aRequestThatNoServerMayHaveAgainIsAnsweredAtOnce() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.FULL)) {
            gateway = new GatewayHarness().withServers(SERVERS);
            for (int i = 0; i < 20; i++) {
                gateway.submitAndEnd(READ, Outcome.SERVED, MS); // fills the budget of retries that may repeat work
            }
            String id = submitAndEndAtAllServers(READ, outcome);
            List<Recorder.Action> actions = gateway.recorder.take();
            assertTrue(filterByCall(actions, "refuse", "fail").stream().anyMatch(action -> action.id().equals(id)),
                    actions::toString);
        }
    }

    /** A request of higher priority that waits for its retry must not block another request. */
    @Test
    void aRequestThatCannotBeSentDoesNotDelayOthers() {
        submitAndEndAtAllServers(ORDER, Outcome.CONNECT_FAILED);
        String other = gateway.submit(READ);
        assertEquals(List.of(other), filterByCall(gateway.recorder.take(), "send").stream().map(Recorder.Action::id).toList());
    }
}
