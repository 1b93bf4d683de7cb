package cinderhollow.routes;

import cinderhollow.routes.Terms.Allowance;

/**
 * A budget of extra sends (retries, or second copies): a part of the requests that arrive, and a floor a second. What
 * is not used is not saved up: guards against a storm that a long calm has paid for.
 */
final class Budget {
    private static final double SECOND_NANOS = 1e9;
    /** One may always be saved, or a small share of few requests would never come to one. */
    private static final double LEAST_SAVED = 1;
    /** Ten tenths add up to a little less than one. */
    private static final double ROUNDING = 1e-9;

    private final Allowance allowance;
    private final double most;
    private double tokens;
    private long at;
    private boolean begun;

    Budget(Allowance allowance) {
        this.allowance = allowance;
        most = Math.max(LEAST_SAVED, allowance.floorPerSecond());
        tokens = allowance.floorPerSecond() > 0 ? LEAST_SAVED : 0;
    }

    /** A request has arrived. */
    void arrived(long now) {
        refill(now);
        tokens = Math.min(most, tokens + allowance.share());
    }

    /** Takes one extra send if there is one. */
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
            tokens = Math.min(most, tokens + Math.max(0, now - at) / SECOND_NANOS * allowance.floorPerSecond());
        }
        begun = true;
        at = now;
    }
}
