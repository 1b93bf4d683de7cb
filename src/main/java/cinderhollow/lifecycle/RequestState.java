package cinderhollow.lifecycle;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** The states of one client request in the gateway, and the transitions between them. */
public enum RequestState {
    /** The request's head has been read; its body is being received. */
    RECEIVING,
    /** The request has been received completely; its final answer has not begun. */
    PENDING,
    /** The final answer has begun and is forwarded as it is received from the server. */
    RESPONDING,
    /** The final answer has been passed to the client's connection, completely or cut short. */
    COMPLETED,
    /** The client closed its connection, or the connection broke, before the answer was complete. */
    ABANDONED;

    private static final Map<RequestState, Set<RequestState>> ALLOWED_TRANSITIONS = new EnumMap<>(Map.of(
            RECEIVING, EnumSet.of(PENDING, RESPONDING, COMPLETED, ABANDONED),
            PENDING, EnumSet.of(RESPONDING, COMPLETED, ABANDONED),
            RESPONDING, EnumSet.of(COMPLETED, ABANDONED),
            COMPLETED, EnumSet.noneOf(RequestState.class),
            ABANDONED, EnumSet.noneOf(RequestState.class)));

    /** Returns whether a transition from this state to {@code next} is allowed. */
    public boolean canTransitionTo(RequestState next) {
        return ALLOWED_TRANSITIONS.get(this).contains(next);
    }

    /** Returns whether the final answer of the request has not begun yet. */
    public boolean isUnanswered() {
        return this == RECEIVING || this == PENDING;
    }
}
