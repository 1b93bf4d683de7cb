package cinderhollow.routes;

import cinderhollow.policy.Protocol.Outcome;
import java.util.Set;

/**
 * Settings of a route: what the operator allows the decision module to do for its requests. Times are in nanoseconds.
 *
 * @param totalTimeoutNanos maximum time until the final answer; the timeout that the client sends may be shorter
 * @param attemptTimeoutNanos timeout of an attempt
 * @param maxAttempts maximum number of attempts for a request, including the first one and hedges
 * @param retryOn outcomes of an attempt after which a retry is allowed
 * @param baseBackoffNanos backoff before the first retry; it doubles with each further retry, up to {@code maxBackoffNanos}
 * @param maxBackoffNanos maximum backoff
 * @param retryBudget budget of retries for all requests of the route
 * @param hedge when a hedge is sent while the first attempt is still in flight, or null for never
 * @param retryAfterNanos value of {@code Retry-After} in a refusal, or 0 to send none
 */
public record RouteSettings(long totalTimeoutNanos, long attemptTimeoutNanos, int maxAttempts, Set<Outcome> retryOn,
        long baseBackoffNanos,
                    long maxBackoffNanos, BudgetSettings retryBudget, HedgeSettings hedge, long retryAfterNanos) {
    /** Copies the set. */
    public RouteSettings {
        retryOn = Set.copyOf(retryOn);
    }

    /**
     * Size of a budget of retries or hedges.
     *
     * @param requestFraction retries or hedges allowed per request, as a fraction
     * @param minPerSecond retries or hedges per second that are allowed even where requests are few
     */
    public record BudgetSettings(double requestFraction, double minPerSecond) { }

    /**
     * When a hedge is sent.
     *
     * @param delayNanos delay after the first attempt, or 0 where the percentile determines it
     * @param percentile percentile of recent latencies that is the delay, from 0 to 100, or 0 if {@code delayNanos} is set
     * @param sampleCount number of latencies remembered for the percentile
     * @param budget budget of hedges for all requests of the route
     */
    public record HedgeSettings(long delayNanos, double percentile, int sampleCount, BudgetSettings budget) { }
}
