package cinderhollow.lifecycle;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The states of one client's request in the gateway. */
public enum RequestState {
    /** Its head has been read, and its body is on the way. */
    RECEIVING,
    /** It has come whole, and is owed its final answer. */
    PENDING,
    /** The final answer has begun and is forwarded as it comes. */
    RESPONDING,
    /** The final answer has been handed to the client's connection, whole or broken off. */
    COMPLETED,
    /** The client left before its answer was whole. */
    ABANDONED;

    private static final Map<RequestState, Set<RequestState>> NEXT = new EnumMap<>(Map.of(
            RECEIVING, EnumSet.of(PENDING, RESPONDING, COMPLETED, ABANDONED),
            PENDING, EnumSet.of(RESPONDING, COMPLETED, ABANDONED),
            RESPONDING, EnumSet.of(COMPLETED, ABANDONED),
            COMPLETED, EnumSet.noneOf(RequestState.class),
            ABANDONED, EnumSet.noneOf(RequestState.class)));

    /** Whether the state may follow this one. */
    public boolean mayBecome(RequestState next) {
        return NEXT.get(this).contains(next);
    }

    /** Whether the request still lacks its final answer. */
    public boolean isUnanswered() {
        return this == RECEIVING || this == PENDING;
    }
}
