package cinderhollow.lifecycle;

/** Whether the first byte of an attempt may be written now, or why not. */
public enum SendDecision {
    SEND("may be sent"),
    /** The request has its final answer already. */
    REQUEST_OVER("the request is over"),
    /** The client has closed its connection, or its connection broke. */
    CLIENT_GONE("the client has left"),
    /** The server drains, is gone, or has started anew since the attempt was started. */
    SERVER_UNAVAILABLE("the server takes nothing new"),
    /** Nothing is left of the time for which the client waits. */
    DEADLINE_PASSED("the deadline has passed");

    private final String reason;

    SendDecision(String reason) {
        this.reason = reason;
    }

    /** The reason in words, for logs. */
    public String reason() {
        return reason;
    }
}
