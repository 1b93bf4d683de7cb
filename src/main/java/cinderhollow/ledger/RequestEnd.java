package cinderhollow.ledger;

/** How a request that a gateway has taken ended. Each request ends exactly once. */
public enum RequestEnd {
    /** A server's answer was forwarded to the client. */
    SERVED,
    /** The final answer said that the request had no effect, so a retry is harmless. */
    REFUSED,
    /** The final answer said that the request failed and may have run on a server. */
    FAILED,
    /** The client disconnected before it got a final answer. */
    ABANDONED
}
