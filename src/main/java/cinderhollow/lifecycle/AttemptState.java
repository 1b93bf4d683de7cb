package cinderhollow.lifecycle;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The states of one attempt to have a request served by one server. */
public enum AttemptState {
    /** It waits for a connection; no byte of it has been written. */
    WAITING,
    /** Its first byte has been handed to the connection, its last byte has not been taken by the system. */
    WRITING,
    /** The system has taken its last byte: the server may run it. */
    WRITTEN,
    /** Its outcome is known, or nobody waits for it any more. */
    ENDED;

    private static final Map<AttemptState, Set<AttemptState>> NEXT = new EnumMap<>(Map.of(
            WAITING, EnumSet.of(WRITING, ENDED),
            WRITING, EnumSet.of(WRITTEN, ENDED),
            WRITTEN, EnumSet.of(ENDED),
            ENDED, EnumSet.noneOf(AttemptState.class)));

    /** Whether the state may follow this one. */
    public boolean mayBecome(AttemptState next) {
        return NEXT.get(this).contains(next);
    }
}
