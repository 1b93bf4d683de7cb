package cinderhollow.http1;

/** What the heap that clients make the process hold is used for. */
public enum ClientHeapUse {
    /** Fields of heads, or of trailers, whose end has not been received. */
    UNFINISHED_HEADS("unfinished heads"),
    /** Input that waits to be decoded. */
    WAITING_INPUT("waiting input"),
    /** Requests whose answer has not begun. */
    OPEN_REQUESTS("open requests"),
    /** What connections hold whose last answer has been written and that are not closed yet. */
    CLOSING_CONNECTIONS("refused or ended connections not yet closed"),
    /** Answers that their clients have not read. */
    UNREAD_ANSWERS("unread answers"),
    /** Ids of requests whose clients left and that may have run. */
    ABANDONED_IDS("ids of abandoned requests");

    private final String description;

    ClientHeapUse(String description) {
        this.description = description;
    }

    /** Returns the plural noun phrase by which the log calls it. */
    String description() {
        return description;
    }
}
