package cinderhollow.ledger;

/** How a request that was taken ended; each ends once. */
public enum End {
    /** A node's answer went to the client. */
    SERVED,
    /** The final answer said that trying again is harmless. */
    REFUSED,
    /** The final answer said that it may have run. */
    FAILED,
    /** The client left before any final answer. */
    ABANDONED
}
