package cinderhollow.lifecycle;

/** The state machine of one attempt. */
public final class AttemptLifecycle {
    private final String request;
    private final TransitionMonitor monitor;
    private AttemptState state = AttemptState.WAITING;
    private boolean lastByteTaken;

    /** A new attempt of the request with this id. */
    public AttemptLifecycle(String request, TransitionMonitor monitor) {
        this.request = request;
        this.monitor = monitor;
    }

    /** Its state now. */
    public AttemptState state() {
        return state;
    }

    /** Goes over to this state; what the table forbids is reported, and leaves the state as it is. */
    public boolean become(AttemptState next) {
        if (!state.mayBecome(next)) {
            monitor.forbidden("an attempt of request " + request, state, next);
            return false;
        }
        state = next;
        lastByteTaken |= next == AttemptState.WRITTEN;
        return true;
    }

    /** Whether its outcome is known. */
    public boolean isEnded() {
        return state == AttemptState.ENDED;
    }

    /** Whether bytes of it have been handed to its connection. */
    public boolean hasBegun() {
        return state == AttemptState.WRITING || state == AttemptState.WRITTEN;
    }

    /** Whether the system took its last byte before it ended: then the server may have run it. */
    public boolean mayHaveRun() {
        return lastByteTaken;
    }
}
