package cinderhollow.lifecycle;

import java.util.function.BooleanSupplier;

/** The state machine of one request: which state it is in, and whether an attempt of it may be sent. Times are nanoseconds. */
public final class RequestLifecycle {
    private final String id;
    private final TransitionMonitor monitor;
    private RequestState state;
    /** When the client stops waiting; not known while its body is on the way. */
    private long deadline = Long.MAX_VALUE;

    /** A request that has come whole, and whose client waits until the deadline. */
    public static RequestLifecycle pending(String id, long deadline, TransitionMonitor monitor) {
        RequestLifecycle lifecycle = new RequestLifecycle(id, RequestState.PENDING, monitor);
        lifecycle.deadline = deadline;
        return lifecycle;
    }

    /** A request whose body is on the way. */
    public static RequestLifecycle receiving(String id, TransitionMonitor monitor) {
        return new RequestLifecycle(id, RequestState.RECEIVING, monitor);
    }

    private RequestLifecycle(String id, RequestState state, TransitionMonitor monitor) {
        this.id = id;
        this.state = state;
        this.monitor = monitor;
    }

    /** Its state now. */
    public RequestState state() {
        return state;
    }

    /** When the client stops waiting, or {@link Long#MAX_VALUE} where that is not known yet. */
    public long deadline() {
        return deadline;
    }

    /** Its body has come whole, and its client waits until the deadline from now on. */
    public void received(long newDeadline) {
        if (become(RequestState.PENDING)) {
            deadline = newDeadline;
        }
    }

    /** Goes over to this state; what the table forbids is reported, and leaves the state as it is. */
    public boolean become(RequestState next) {
        if (!state.mayBecome(next)) {
            monitor.forbidden("request " + id, state, next);
            return false;
        }
        state = next;
        return true;
    }

    /**
     * Whether an attempt may begin now. {@code clientPresent} looks at the client's connection, {@code serverAvailable} at what
     * discovery has told of the server; they are asked last, as a look may cost a system call. What is withheld is counted and
     * logged.
     */
    public SendDecision decideSend(long now, BooleanSupplier clientPresent, BooleanSupplier serverAvailable) {
        SendDecision decision = !state.isUnanswered() ? SendDecision.REQUEST_OVER
                : now >= deadline ? SendDecision.DEADLINE_PASSED
                : !clientPresent.getAsBoolean() ? SendDecision.CLIENT_GONE
                : !serverAvailable.getAsBoolean() ? SendDecision.SERVER_UNAVAILABLE
                : SendDecision.SEND;
        if (decision != SendDecision.SEND) {
            monitor.withheld(id, decision);
        }
        return decision;
    }
}
