package cinderhollow.lifecycle;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The state machine of one client request: its state, its deadline, and whether an attempt of it may be sent. Times are
 * nanoseconds of one clock. Not thread-safe.
 */
public final class RequestLifecycle {
    private final String id;
    private final TransitionMonitor monitor;
    private RequestState state;
    /** When the client stops waiting; {@link Long#MAX_VALUE} while the body is being received and its last byte is to come. */
    private long deadline = Long.MAX_VALUE;

    /** Creates the state machine of a completely received request whose client waits until the deadline. */
    public static RequestLifecycle pending(String id, long deadline, TransitionMonitor monitor) {
        RequestLifecycle lifecycle = new RequestLifecycle(id, RequestState.PENDING, monitor);
        lifecycle.deadline = deadline;
        return lifecycle;
    }

    /** Creates the state machine of a request whose body is still being received. */
    public static RequestLifecycle receiving(String id, TransitionMonitor monitor) {
        return new RequestLifecycle(id, RequestState.RECEIVING, monitor);
    }

    private RequestLifecycle(String id, RequestState state, TransitionMonitor monitor) {
        this.id = id;
        this.state = state;
        this.monitor = monitor;
    }

    /** Returns the current state. */
    public RequestState state() {
        return state;
    }

    /** Returns when the client stops waiting, or {@link Long#MAX_VALUE} if that is not known yet. */
    public long deadline() {
        return deadline;
    }

    /**
     * Records that the body's last byte may have been sent though it has not been read, so that the client waits until this
     * deadline; {@link Long#MAX_VALUE} if it is known to be still to come.
     */
    public void unread(long newDeadline) {
        if (state == RequestState.RECEIVING) {
            deadline = newDeadline;
        }
    }

    /** Records that the whole body has been received, and that the client waits until this deadline. */
    public void received(long newDeadline) {
        if (transitionTo(RequestState.PENDING)) {
            deadline = newDeadline;
        }
    }

    /**
     * Changes to the state and returns true. A transition that {@link RequestState} does not allow is reported to the monitor;
     * then the state stays as it is, and the result is false.
     */
    public boolean transitionTo(RequestState next) {
        if (!state.canTransitionTo(next)) {
            monitor.reportForbidden("request " + id, state, next);
            return false;
        }
        state = next;
        return true;
    }

    /**
     * Returns whether the first byte of an attempt may be written now. {@code clientPresence} checks whether the client's
     * connection is still open, {@code serverAvailable} whether the server takes new requests according to discovery; both are
     * called last, as a check may cost a system call. An attempt that is not sent is counted and logged by the monitor.
     */
    public SendDecision decideSend(long now, Supplier<ClientPresence> clientPresence, BooleanSupplier serverAvailable) {
        SendDecision decision = !state.isUnanswered() ? SendDecision.REQUEST_OVER
                : now >= deadline ? SendDecision.DEADLINE_PASSED
                : switch (clientPresence.get()) {
                    case GONE -> SendDecision.CLIENT_GONE;
                    case UNKNOWN -> SendDecision.CLIENT_UNREAD;
                    case PRESENT -> serverAvailable.getAsBoolean() ? SendDecision.SEND : SendDecision.SERVER_UNAVAILABLE;
                };
        if (decision != SendDecision.SEND) {
            monitor.reportWithheld(id, decision);
        }
        return decision;
    }
}
