package cinderhollow.lifecycle;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The states of one attempt, which is one sending of a request to one server, and the transitions between them. */
public enum AttemptState {
    /** The attempt waits for a connection; no byte of it has been written. */
    WAITING,
    /** The first byte has been passed to the connection; the operating system has not yet accepted the last byte. */
    WRITING,
    /** The operating system has accepted the last byte: the server may run the request. */
    WRITTEN,
    /** The outcome of the attempt is known, or nobody waits for it any more. */
    ENDED;

    private static final Map<AttemptState, Set<AttemptState>> ALLOWED_TRANSITIONS = new EnumMap<>(Map.of(
            WAITING, EnumSet.of(WRITING, ENDED),
            WRITING, EnumSet.of(WRITTEN, ENDED),
            WRITTEN, EnumSet.of(ENDED),
            ENDED, EnumSet.noneOf(AttemptState.class)));

    /** Returns whether a transition from this state to {@code next} is allowed. */
    public boolean canTransitionTo(AttemptState next) {
        return ALLOWED_TRANSITIONS.get(this).contains(next);
    }
}
