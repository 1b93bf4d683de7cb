package cinderhollow.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RequestLifecycleTest {
    private static final long DEADLINE = 1_000;
    private static final BooleanSupplier AVAILABLE = () -> true;
    private static final Supplier<ClientPresence> PRESENT = () -> ClientPresence.PRESENT, GONE = () -> ClientPresence.GONE;

    private final List<String> log = new ArrayList<>();
    private final TransitionMonitor monitor = new TransitionMonitor(log::add);

    private RequestLifecycle pending() {
        return RequestLifecycle.pending("r", DEADLINE, monitor);
    }

    @Test
    void anAttemptMayBeSentWhileItsClientWaits() {
        assertEquals(SendDecision.SEND, pending().decideSend(DEADLINE - 1, PRESENT, AVAILABLE));
        assertEquals(List.of(), log);
    }

    @Test
    void anAttemptIsWithheldFromTheDeadlineOnAndOnceItsClientHasLeftOrItsServerDrains() {
        assertEquals(SendDecision.DEADLINE_PASSED, pending().decideSend(DEADLINE, PRESENT, AVAILABLE));
        assertEquals(SendDecision.CLIENT_GONE, pending().decideSend(0, GONE, AVAILABLE));
        assertEquals(SendDecision.SERVER_UNAVAILABLE, pending().decideSend(0, PRESENT, () -> false));
        assertEquals(1, monitor.withheld(SendDecision.CLIENT_GONE));
        assertEquals(3, log.size());
    }

    @Test
    void anAttemptIsWithheldWhileItsClientMayHaveLeftUnseen() {
        assertEquals(SendDecision.CLIENT_UNREAD, pending().decideSend(0, () -> ClientPresence.UNKNOWN, AVAILABLE));
    }

    @ParameterizedTest
    @EnumSource(value = RequestState.class, names = {"RESPONDING", "COMPLETED", "ABANDONED"})
    void noAttemptIsSentOnceTheAnswerHasBegunOrTheClientHasLeft(RequestState state) {
        RequestLifecycle lifecycle = pending();
        lifecycle.transitionTo(state);
        assertEquals(SendDecision.REQUEST_OVER, lifecycle.decideSend(0, PRESENT, AVAILABLE));
    }

    @Test
    void theDeadlineOfABodyOnTheWayIsUnknownUntilItHasCome() {
        RequestLifecycle lifecycle = RequestLifecycle.receiving("r", monitor);
        assertEquals(SendDecision.SEND, lifecycle.decideSend(DEADLINE, PRESENT, AVAILABLE));
        lifecycle.received(DEADLINE);
        assertEquals(SendDecision.DEADLINE_PASSED, lifecycle.decideSend(DEADLINE, PRESENT, AVAILABLE));
    }

    /** Tests run with {@link TransitionMonitor#STRICT_PROPERTY}, so that a forbidden transition also throws an exception. */
    @ParameterizedTest
    @EnumSource(RequestState.class)
    void aCompletedRequestGoesOverToNothingElse(RequestState next) {
        RequestLifecycle lifecycle = pending();
        lifecycle.transitionTo(RequestState.COMPLETED);
        assertThrows(IllegalStateException.class, () -> lifecycle.transitionTo(next));
        assertEquals(RequestState.COMPLETED, lifecycle.state());
        assertEquals(1, monitor.forbidden());
        assertTrue(log.get(0).contains("request r: COMPLETED to " + next), log.get(0));
    }

    @Test
    void anAttemptMayHaveRunOnceTheSystemHasItsLastByte() {
        AttemptLifecycle attempt = new AttemptLifecycle("r", monitor);
        attempt.transitionTo(AttemptState.WRITING);
        assertFalse(attempt.mayHaveRun());
        attempt.transitionTo(AttemptState.WRITTEN);
        attempt.transitionTo(AttemptState.ENDED);
        assertTrue(attempt.mayHaveRun() && attempt.isEnded());
    }

    @Test
    void anAttemptThatEndedWhileItWaitedNeverRanAndIsNeverWritten() {
        AttemptLifecycle attempt = new AttemptLifecycle("r", monitor);
        attempt.transitionTo(AttemptState.ENDED);
        assertFalse(attempt.mayHaveRun());
        assertThrows(IllegalStateException.class, () -> attempt.transitionTo(AttemptState.WRITING));
    }
}
