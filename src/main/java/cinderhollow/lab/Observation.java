package cinderhollow.lab;

import java.util.Map;

/**
 * Something that the lab observed at a client, a node, discovery or a gateway's process. {@code atNanos} is the time of the lab's
 * monotonic clock ({@link System#nanoTime}).
 */
sealed interface Observation {
    /** Returns the time of the observation, in nanoseconds of the lab's clock. */
    long atNanos();

    /** A client is about to write a complete request and waits {@code timeoutNanos} for its answer. */
    record RequestSent(long atNanos, String id, int gateway, String requestClass, long timeoutNanos) implements Observation { }

    /** A client has read a complete answer. */
    record AnswerReceived(long atNanos, String id, int status, String body) implements Observation { }

    /** A client received more than one answer to a request. */
    record SurplusAnswer(long atNanos, String id) implements Observation { }

    /** The gateway closed the connection without a complete answer to a request. */
    record ConnectionAborted(long atNanos, String id) implements Observation { }

    /** The client closed its connection because no answer had come long after its deadline. */
    record ClientTimedOut(long atNanos, String id) implements Observation { }

    /** The client abandoned its request and closed its connection before the answer came. */
    record RequestAbandoned(long atNanos, String id) implements Observation { }

    /** The last byte of an attempt has arrived at a node. */
    record AttemptReceived(long atNanos, String id, int node) implements Observation { }

    /** A node has begun to execute a request. */
    record ExecutionStarted(long atNanos, String id, int node) implements Observation { }

    /** A node is about to answer that it has not executed a request and never will. */
    record AttemptRejected(long atNanos, String id, int node) implements Observation { }

    /** A node is about to write an answer with this body to a request. */
    record AnswerProduced(long atNanos, String id, int node, String body) implements Observation { }

    /** Discovery has notified a gateway whether a node accepts new requests. */
    record ReadinessNotified(long atNanos, int gateway, int node, boolean up) implements Observation { }

    /** Discovery has notified a gateway of the time at which a node last started. */
    record StartNotified(long atNanos, int gateway, int node) implements Observation { }

    /** A node's process has restarted. */
    record NodeStarted(long atNanos, int node) implements Observation { }

    /** A cold node crashed from overload; the map holds the work from each gateway, in nanoseconds, in the overload window. */
    record OverloadCrash(long atNanos, int node, Map<Integer, Double> workByGateway) implements Observation { }

    /** The lab is pausing a gateway's process (SIGSTOP), or has resumed it (SIGCONT). */
    record GatewayPauseChanged(long atNanos, int gateway, boolean paused) implements Observation { }

    /** The lab is about to kill a gateway. Requests that it has not answered are excused, and their clients may retry them. */
    record GatewayKilled(long atNanos, int gateway) implements Observation { }

    /**
     * The lab is about to kill a gateway that received SIGTERM, at the earliest time at which the platform may kill it. The
     * gateway must have answered every request that it has accepted by then.
     */
    record GatewayKilledAtShutdown(long atNanos, int gateway) implements Observation { }

    /** A gateway is about to be started. Its new process does not know what discovery notified the previous one of. */
    record GatewayStarting(long atNanos, int gateway) implements Observation { }

    /** A gateway's process exited unexpectedly, failed to start, or did not exit after SIGTERM. */
    record GatewayExited(long atNanos, int gateway, String reason) implements Observation { }

    /** An event loop of the lab ran late, because of the lab itself or the machine that it runs on. */
    record LabLate(long atNanos, long latenessNanos) implements Observation { }
}
