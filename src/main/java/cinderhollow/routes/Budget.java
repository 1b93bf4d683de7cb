package cinderhollow.routes;

import cinderhollow.routes.RouteSettings.BudgetSettings;

/**
 * Token bucket for retries or hedges of a route. Each request that arrives adds a fraction of a token, and each second adds a
 * minimum number of tokens. The capacity is one second's minimum, and at least one token, so that a long quiet period does
 * not save up tokens for a retry storm.
 */
final class Budget {
    private static final double SECOND_NANOS = 1e9;
    /** The capacity is at least one token; otherwise fractions of few requests would never add up to one. */
    private static final double LEAST_SAVED = 1;
    /** Tolerance for rounding: in floating point, ten times 0.1 adds up to slightly less than 1. */
    private static final double ROUNDING = 1e-9;

    private final BudgetSettings allowance;
    private final double most;
    private double tokens;
    private long at;
    private boolean begun;

    Budget(BudgetSettings allowance) {
        this.allowance = allowance;
        most = Math.max(LEAST_SAVED, allowance.minPerSecond());
        tokens = allowance.minPerSecond() > 0 ? LEAST_SAVED : 0;
    }

    /** Adds the fraction of a token for a request that has arrived at {@code now}, in nanoseconds. */
    void arrived(long now) {
        refill(now);
        tokens = Math.min(most, tokens + allowance.requestFraction());
    }

    /** Withdraws one token and returns true, or returns false if there is none at {@code now}, in nanoseconds. */
    boolean take(long now) {
        refill(now);
        if (tokens < 1 - ROUNDING) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    private void refill(long now) {
        if (begun) {
            tokens = Math.min(most, tokens + Math.max(0, now - at) / SECOND_NANOS * allowance.minPerSecond());
        }
        begun = true;
        at = now;
    }
}
