package cinderhollow.core;

/** Counts the final answers and the attempts of the requests of one class. Used by the thread of one event loop only. */
public final class RequestCounters {
    private static final int STATUS_OK = 200, STATUS_UNAVAILABLE = 503, STATUS_TOO_MANY_REQUESTS = 429;

    private long fulfilled;
    private long throttled;
    private long faulted;
    private long relayed;

    /** Counts the final answer of a request, which was sent with this HTTP status. */
    public void answered(int status) {
        if (status == STATUS_OK) {
            fulfilled++;
        } else if (status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS) {
            throttled++;
        } else {
            faulted++;
        }
    }

    /** Counts an answer that had begun and could not be completed as a failed request. */
    public void answerAborted() {
        faulted++;
    }

    /** Counts an attempt whose last byte was written to a server. */
    public void recordRelayed() {
        relayed++;
    }

    /** Returns the current counts. */
    public Counts counts() {
        return new Counts(fulfilled, throttled, faulted, relayed);
    }

    /**
     * A copy of the counts.
     *
     * @param fulfilled requests served (status 200)
     * @param throttled requests refused (status 503 or 429)
     * @param faulted requests failed: any other status, or an answer that could not be completed
     * @param relayed attempts written completely
     */
    public record Counts(long fulfilled, long throttled, long faulted, long relayed) {
        /** Returns the sum of both counts. */
        public Counts plus(Counts other) {
            return new Counts(fulfilled + other.fulfilled, throttled + other.throttled, faulted + other.faulted,
                    relayed + other.relayed);
        }
    }
}
