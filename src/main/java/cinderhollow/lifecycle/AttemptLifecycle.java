package cinderhollow.lifecycle;

/**
 * The state machine of one attempt, which is one sending of a request to one server. Not thread-safe.
 */
public final class AttemptLifecycle {
    private final String requestId;
    private final TransitionMonitor monitor;
    private AttemptState state = AttemptState.WAITING;
    private boolean lastByteWritten;

    /** Creates an attempt of the request with this id, in state {@code WAITING}; the monitor records forbidden transitions. */
    public AttemptLifecycle(String requestId, TransitionMonitor monitor) {
        this.requestId = requestId;
        this.monitor = monitor;
    }

    /** Returns the current state. */
    public AttemptState state() {
        return state;
    }

    /**
     * Changes to the state and returns true. A transition that {@link AttemptState} does not allow is reported to the monitor;
     * then the state stays as it is, and the result is false.
     */
    public boolean transitionTo(AttemptState next) {
        if (!state.canTransitionTo(next)) {
            monitor.reportForbidden("an attempt of request " + requestId, state, next);
            return false;
        }
        state = next;
        lastByteWritten |= next == AttemptState.WRITTEN;
        return true;
    }

    /** Returns whether the attempt has ended: its outcome is known, or nobody waits for it any more. */
    public boolean isEnded() {
        return state == AttemptState.ENDED;
    }

    /** Returns whether bytes of the attempt have been passed to its connection; false again once the attempt has ended. */
    public boolean isWritingOrWritten() {
        return state == AttemptState.WRITING || state == AttemptState.WRITTEN;
    }

    /** Returns whether the operating system accepted the last byte before the attempt ended: the server may have run it. */
    public boolean mayHaveRun() {
        return lastByteWritten;
    }
}
