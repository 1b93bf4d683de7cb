package cinderhollow.lifecycle;

/** Whether the first byte of an attempt may be written now, and if not, why. */
public enum SendDecision {
    /** The attempt may be sent. */
    SEND("may be sent"),
    /** The final answer of the request has begun or is complete, or the request has been abandoned. */
    REQUEST_OVER("the request is over"),
    /** The client has closed its connection, or the connection broke. */
    CLIENT_GONE("the client has left"),
    /** What the client has sent could not be read to its end, where the end of its connection may lie. */
    CLIENT_UNREAD("its client may have left behind what it sent"),
    /** The server is draining, is gone, or has restarted since the attempt was started. */
    SERVER_UNAVAILABLE("the server takes nothing new"),
    /** The client no longer waits: the deadline of the request has passed. */
    DEADLINE_PASSED("the deadline has passed");

    private final String reason;

    SendDecision(String reason) {
        this.reason = reason;
    }

    /** Returns the reason in words, for log lines. */
    public String reason() {
        return reason;
    }
}
