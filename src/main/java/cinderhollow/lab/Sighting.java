package cinderhollow.lab;

import java.util.Map;

/** What the lab saw at a client, at a node, in discovery or of a gateway's process; {@code at} is its clock's time. */
sealed interface Sighting {
    long at();

    /** A client is about to write a whole request, for whose answer it waits so long. */
    record Asked(long at, String id, int gateway, String requestClass, long withinNanos) implements Sighting { }

    /** A client has read a whole answer. */
    record Answered(long at, String id, int status, String body) implements Sighting { }

    /** A client was sent more than one answer to this request. */
    record Surplus(long at, String id) implements Sighting { }

    /** The gateway ended the connection with no whole answer to this request. */
    record Broke(long at, String id) implements Sighting { }

    /** The client closed its connection, since no answer had come long after its time. */
    record GaveUp(long at, String id) implements Sighting { }

    /** The client gave up, and closed its connection, before its answer came. */
    record Left(long at, String id) implements Sighting { }

    /** The last byte of a request has come to a node. */
    record Received(long at, String id, int node) implements Sighting { }

    /** A node has begun to run a request. */
    record Ran(long at, String id, int node) implements Sighting { }

    /** A node is about to say that it has not run, and never will run, this request. */
    record TurnedAway(long at, String id, int node) implements Sighting { }

    /** A node is about to write this answer to this request. */
    record Made(long at, String id, int node, String body) implements Sighting { }

    /** Discovery has written to a gateway whether a node wants new requests. */
    record Told(long at, int gateway, int node, boolean up) implements Sighting { }

    /** Discovery has written to a gateway when a node last started. */
    record ToldStart(long at, int gateway, int node) implements Sighting { }

    /** A node's process has started anew. */
    record Started(long at, int node) implements Sighting { }

    /** A cold node fell over, under so much work from each gateway. */
    record Fell(long at, int node, Map<Integer, Double> pressure) implements Sighting { }

    /** The lab has stopped a gateway where it is, or lets it go on. */
    record Paused(long at, int gateway, boolean on) implements Sighting { }

    /** The lab is about to kill a gateway: what it holds falls to its clients. */
    record Killed(long at, int gateway) implements Sighting { }

    /**
     * The lab is about to kill a gateway that was told to end, as early as the platform may: all that it has taken needs an answer
     * by now.
     */
    record KilledAtEnd(long at, int gateway) implements Sighting { }

    /** A gateway is about to start anew: what its process before was told, it does not know. */
    record Began(long at, int gateway) implements Sighting { }

    /** A gateway's process ended and nobody had asked it to. */
    record Ended(long at, int gateway, String how) implements Sighting { }

    /** The lab itself, or the machine under it, ran late by so much. */
    record Late(long at, long byNanos) implements Sighting { }
}
