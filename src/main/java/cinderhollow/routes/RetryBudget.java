package cinderhollow.routes;

import cinderhollow.routes.RouteSettings.BudgetSettings;

/**
 * Token bucket for retries or hedges of a route. Each request that arrives adds a fraction of a token, and each second adds a
 * minimum number of tokens. The capacity is one second's minimum, and at least one token, so that a long quiet period does
 * not save up tokens for a retry storm.
 */
final class RetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;
    /** The capacity is at least one token; otherwise fractions of few requests would never add up to one. */
    private static final double MIN_CAPACITY_TOKENS = 1;
    /** Tolerance for rounding: in floating point, ten times 0.1 adds up to slightly less than 1. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final BudgetSettings settings;
    private final double maxTokens;
    private double tokens;
    private long lastRefillNanos;
    private boolean refilledBefore;

    RetryBudget(BudgetSettings settings) {
        this.settings = settings;
        maxTokens = Math.max(MIN_CAPACITY_TOKENS, settings.minPerSecond());
        tokens = settings.minPerSecond() > 0 ? MIN_CAPACITY_TOKENS : 0;
    }

    /** Adds the fraction of a token for a request that has arrived at {@code now}, in nanoseconds. */
    void deposit(long now) {
        refill(now);
        tokens = Math.min(maxTokens, tokens + settings.requestFraction());
    }

    /** Withdraws one token and returns true, or returns false if there is none at {@code now}, in nanoseconds. */
    boolean tryWithdraw(long now) {
        refill(now);
        if (tokens < 1 - ROUNDING_TOLERANCE) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    private void refill(long now) {
        if (refilledBefore) {
            tokens = Math.min(maxTokens, tokens
                    + Math.max(0, now - lastRefillNanos) / NANOS_PER_SECOND * settings.minPerSecond());
        }
        refilledBefore = true;
        lastRefillNanos = now;
    }
}
