package cinderhollow.routes;

import cinderhollow.policy.Protocol.Outcome;
import java.util.Set;

/**
 * Settings of a route: what the operator allows the decision module to do for its requests. Times are in nanoseconds.
 *
 * @param totalNanos maximum time until the final answer; the timeout that the client sends may be shorter
 * @param attemptNanos timeout of an attempt
 * @param attempts maximum number of attempts for a request, including the first one and hedges
 * @param retryOn outcomes of an attempt after which a retry is allowed
 * @param backoffNanos backoff before the first retry; it doubles with each further retry, up to {@code maxBackoffNanos}
 * @param mostBackoffNanos maximum backoff
 * @param retries budget of retries for all requests of the route
 * @param copy when a hedge is sent while the first attempt is still in flight, or null for never
 * @param adviceNanos value of {@code Retry-After} in a refusal, or 0 to send none
 */
public record Terms(long totalNanos, long attemptNanos, int attempts, Set<Outcome> retryOn, long backoffNanos,
                    long mostBackoffNanos, Allowance retries, Copy copy, long adviceNanos) {
    /** Copies the set. */
    public Terms {
        retryOn = Set.copyOf(retryOn);
    }

    /**
     * Size of a budget of retries or hedges.
     *
     * @param share retries or hedges allowed per request, as a fraction
     * @param floorPerSecond retries or hedges per second that are allowed even where requests are few
     */
    public record Allowance(double share, double floorPerSecond) { }

    /**
     * When a hedge is sent.
     *
     * @param afterNanos delay after the first attempt, or 0 where the percentile determines it
     * @param percentile percentile of recent latencies that is the delay, from 0 to 100, or 0 if {@code delayNanos} is set
     * @param samples number of latencies remembered for the percentile
     * @param allowance budget of hedges for all requests of the route
     */
    public record Copy(long afterNanos, double percentile, int samples, Allowance allowance) { }
}
