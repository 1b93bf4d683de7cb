package cinderhollow.lab;

import java.util.Map;

/**
 * Something that the lab observed at a client, a node, discovery or a gateway's process. {@code atNanos} is the time of the lab's
 * monotonic clock ({@link System#nanoTime}).
 */
sealed interface Sighting {
    /** Returns the time of the observation, in nanoseconds of the lab's clock. */
    long at();

    /** A client is about to write a complete request and waits {@code timeoutNanos} for its answer. */
    record Asked(long at, String id, int gateway, String requestClass, long withinNanos) implements Sighting { }

    /** A client has read a complete answer. */
    record Answered(long at, String id, int status, String body) implements Sighting { }

    /** A client received more than one answer to a request. */
    record Surplus(long at, String id) implements Sighting { }

    /** The gateway closed the connection without a complete answer to a request. */
    record Broke(long at, String id) implements Sighting { }

    /** The client closed its connection because no answer had come long after its deadline. */
    record GaveUp(long at, String id) implements Sighting { }

    /** The client abandoned its request and closed its connection before the answer came. */
    record Left(long at, String id) implements Sighting { }

    /** The last byte of an attempt has arrived at a node. */
    record Received(long at, String id, int node) implements Sighting { }

    /** A node has begun to execute a request. */
    record Ran(long at, String id, int node) implements Sighting { }

    /** A node is about to answer that it has not executed a request and never will. */
    record TurnedAway(long at, String id, int node) implements Sighting { }

    /** A node is about to write an answer with this body to a request. */
    record Made(long at, String id, int node, String body) implements Sighting { }

    /** Discovery has notified a gateway whether a node accepts new requests. */
    record Told(long at, int gateway, int node, boolean up) implements Sighting { }

    /** Discovery has notified a gateway of the time at which a node last started. */
    record ToldStart(long at, int gateway, int node) implements Sighting { }

    /** A node's process has restarted. */
    record Started(long at, int node) implements Sighting { }

    /** A cold node crashed from overload; the map holds the work from each gateway, in nanoseconds, in the overload window. */
    record Fell(long at, int node, Map<Integer, Double> pressure) implements Sighting { }

    /** The lab is pausing a gateway's process (SIGSTOP), or has resumed it (SIGCONT). */
    record Paused(long at, int gateway, boolean on) implements Sighting { }

    /** The lab is about to kill a gateway. Requests that it has not answered are excused, and their clients may retry them. */
    record Killed(long at, int gateway) implements Sighting { }

    /**
     * The lab is about to kill a gateway that received SIGTERM, at the earliest time at which the platform may kill it. The
     * gateway must have answered every request that it has accepted by then.
     */
    record KilledAtEnd(long at, int gateway) implements Sighting { }

    /** A gateway is about to be started. Its new process does not know what discovery notified the previous one of. */
    record Began(long at, int gateway) implements Sighting { }

    /** A gateway's process exited unexpectedly, failed to start, or did not exit after SIGTERM. */
    record Ended(long at, int gateway, String how) implements Sighting { }

    /** An event loop of the lab ran late, because of the lab itself or the machine that it runs on. */
    record Late(long at, long byNanos) implements Sighting { }
}
