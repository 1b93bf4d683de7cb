package cinderhollow.lifecycle;

/** What is known of whether the client of a request still waits for its answer. */
public enum ClientPresence {
    /** Its connection is open, and everything that it has sent has been read. */
    PRESENT,
    /** Its connection has ended. */
    GONE,
    /** More of what it has sent lies unread, and the end of its connection may lie behind that. */
    UNKNOWN
}
