package cinderhollow.routes;

import cinderhollow.policy.Protocol.Outcome;
import java.util.Set;

/**
 * What an operator lets the module do for the requests of a route. Times are nanoseconds.
 *
 * @param totalNanos the most time until the final answer; the client's own time may be less
 * @param attemptNanos when an attempt is given up
 * @param attempts how many a request may have, the first and second copies among them
 * @param retryOn after which ends of an attempt another one may follow
 * @param backoffNanos the wait before the first retry; it doubles with each, up to {@code mostBackoffNanos}
 * @param retries how many retries the route's requests may have together
 * @param copy when a second copy goes out while the first is still open, or null for never
 * @param adviceNanos what a refusal says as {@code Retry-After}, or 0 for nothing
 */
public record Terms(long totalNanos, long attemptNanos, int attempts, Set<Outcome> retryOn, long backoffNanos,
                    long mostBackoffNanos, Allowance retries, Copy copy, long adviceNanos) {
    /** Keeps a copy. */
    public Terms {
        retryOn = Set.copyOf(retryOn);
    }

    /** A share of the requests, and a floor of so many a second where requests are few. */
    public record Allowance(double share, double floorPerSecond) { }

    /**
     * When a second copy goes out.
     *
     * @param afterNanos so long after the first, or 0 where a percentile decides
     * @param percentile of the last answers' times, from 0 to 100, or 0
     * @param samples how many answers are remembered for the percentile
     * @param allowance how many copies the route's requests may have together
     */
    public record Copy(long afterNanos, double percentile, int samples, Allowance allowance) { }
}
