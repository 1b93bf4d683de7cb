package cinderhollow.core;

/** What became of the requests of one class, counted where it happens; of one event loop's thread. */
public final class RequestCounters {
    private static final int SERVED = 200, UNAVAILABLE = 503, TOO_MANY = 429;

    private long fulfilled;
    private long throttled;
    private long faulted;
    private long relayed;

    /** A request's one final answer has gone out with this status. */
    public void answered(int status) {
        if (status == SERVED) {
            fulfilled++;
        } else if (status == UNAVAILABLE || status == TOO_MANY) {
            throttled++;
        } else {
            faulted++;
        }
    }

    /** An answer that had begun could not be ended. */
    public void brokenOff() {
        faulted++;
    }

    /** An attempt's last byte was written to a host. */
    public void relayed() {
        relayed++;
    }

    /** What it has counted by now. */
    public Counts counts() {
        return new Counts(fulfilled, throttled, faulted, relayed);
    }

    /** Requests served, refused and failed, and attempts written whole. */
    public record Counts(long fulfilled, long throttled, long faulted, long relayed) {
        /** Both together. */
        public Counts plus(Counts other) {
            return new Counts(fulfilled + other.fulfilled, throttled + other.throttled, faulted + other.faulted,
                    relayed + other.relayed);
        }
    }
}
