package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SWEEP;
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

    private Fleet fleet = new Fleet().with(SERVERS);

    /** Returns the module's actions within this time from now. */
    private List<Recorder.Action> soon() {
        List<Recorder.Action> actions = new ArrayList<>(fleet.host.take());
        for (long waited = 0; waited < SOON_MILLIS; waited += SWEEP_MILLIS) {
            fleet.now += SWEEP_MILLIS * MS;
            fleet.fire(SWEEP);
            actions.addAll(fleet.host.take());
        }
        return actions;
    }

    private List<Recorder.Action> only(List<Recorder.Action> actions, String... what) {
        return actions.stream().filter(action -> List.of(what).contains(action.what())).toList();
    }

    /** Submits a request, ends an attempt at each server with this outcome, and returns the request's id. */
    private String askedOfAll(Protocol.RequestClass requestClass, Outcome outcome) {
        String id = fleet.ask(requestClass);
        for (int attempt = 0; attempt < SERVERS; attempt++) {
            String server = fleet.sentTo();
            assertNotNull(server, "attempt " + attempt);
            fleet.end(id, attempt, server, outcome, MS);
        }
        return id;
    }

    @Test
    void aRequestThatReachedNoServerIsTriedAgainSoon() {
        for (Protocol.RequestClass requestClass : List.of(READ, ORDER)) {
            fleet = new Fleet().with(SERVERS); // a gateway whose servers have no failures yet
            String id = askedOfAll(requestClass, Outcome.CONNECT_FAILED);
            assertNull(fleet.sentTo(), "not retried at the same instant");
            List<Recorder.Action> next = only(soon(), "send");
            assertEquals(List.of(id), next.stream().map(Recorder.Action::id).toList());
        }
    }

    @Test
    void aRequestThatNoServerCanConnectForIsRefusedSoonAndAfterTheAllowedAttempts() {
        String id = askedOfAll(ORDER, Outcome.CONNECT_FAILED);
        List<Recorder.Action> seen = new ArrayList<>();
        for (int attempt = SERVERS; attempt < Fleet.ALL_ALLOWED.maxAttempts(); attempt++) {
            List<Recorder.Action> next = only(soon(), "send");
            assertEquals(1, next.size(), "attempt " + attempt);
            seen.addAll(next);
            fleet.end(id, attempt, next.get(0).server(), Outcome.CONNECT_FAILED, MS);
        }
        assertEquals(List.of(id), only(fleet.host.take(), "refuse").stream().map(Recorder.Action::id).toList());
    }

    /** Each server has failed the request or turned it away, so none may have it again. */
    @Test
    void aRequestThatNoServerMayHaveAgainIsAnsweredAtOnce() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.FULL)) {
            fleet = new Fleet().with(SERVERS);
            for (int i = 0; i < 20; i++) {
                fleet.serve(READ, Outcome.SERVED, MS); // fills the budget of retries that may repeat work
            }
            String id = askedOfAll(READ, outcome);
            List<Recorder.Action> actions = fleet.host.take();
            assertTrue(only(actions, "refuse", "fail").stream().anyMatch(action -> action.id().equals(id)), actions::toString);
        }
    }

    /** A request of higher priority that waits for its retry must not block another request. */
    @Test
    void aRequestThatCannotBeSentHoldsUpNoOther() {
        askedOfAll(ORDER, Outcome.CONNECT_FAILED);
        String other = fleet.ask(READ);
        assertEquals(List.of(other), only(fleet.host.take(), "send").stream().map(Recorder.Action::id).toList());
    }
}
