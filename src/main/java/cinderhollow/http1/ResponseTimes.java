package cinderhollow.http1;

import java.util.concurrent.TimeUnit;

/** When the parts of a server's response were received. Times are nanoseconds of the gateway's clock. */
final class ResponseTimes {
    private static final long NOT_RECEIVED = Long.MIN_VALUE;

    private long headAt = NOT_RECEIVED;
    private long bodyAt = NOT_RECEIVED;
    private boolean lengthKnown;

    /** Records the head of the response. */
    void recordHead(long at, boolean announcesLength) {
        headAt = at;
        lengthKnown = announcesLength;
    }

    /** Records a part of the body; only the first one counts. */
    void recordBody(long at) {
        if (bodyAt == NOT_RECEIVED) {
            bodyAt = at;
        }
    }

    /** Returns when the head was received. Must be called only once it has been. */
    long headAt() {
        return headAt;
    }

    /**
     * Returns a description of a response that was not passed on, with the times since the given one; empty if no head was
     * received.
     */
    String describeHeld(long since) {
        if (headAt == NOT_RECEIVED) {
            return "";
        }
        String head = " (its head came after " + millis(since, headAt) + " ms, ";
        if (bodyAt == NOT_RECEIVED) {
            return head + "no part of its body; held until its body begins)";
        }
        return head + "the first part of its body after " + millis(since, bodyAt) + " ms; held "
                + (lengthKnown ? "until its end, as it is short)" : "since it has no length and may be short)");
    }

    private static long millis(long since, long at) {
        return TimeUnit.NANOSECONDS.toMillis(at - since);
    }
}
