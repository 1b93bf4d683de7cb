package cinderhollow.routes;

import cinderhollow.policy.Protocol.RoutePolicy;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.routes.RouteSettings.HedgeSettings;

/**
 * Route policy that applies the {@link RouteSettings} of a route, with the state of its budgets and its latency percentile. Used by one
 * thread only.
 */
public final class BudgetedRoutePolicy implements RoutePolicy {
    private final int index;
    private final RouteSettings terms;
    private final Budget retries;
    private final Budget copies;
    private final Quantile times;

    /** Creates the policy of a route that has had no requests yet; {@code index} is its index among the routes. */
    public BudgetedRoutePolicy(int number, RouteSettings terms) {
        this.index = number;
        this.terms = terms;
        retries = new Budget(terms.retryBudget());
        HedgeSettings copy = terms.hedge();
        copies = copy == null ? null : new Budget(copy.budget());
        times = copy == null || copy.percentile() == 0 ? null : new Quantile(copy.percentile(), copy.sampleCount());
    }

    /** Returns the index of the route among the operator's routes, from 0. */
    public int index() {
        return index;
    }

    @Override
    public long totalTimeoutNanos() {
        return terms.totalTimeoutNanos();
    }

    @Override
    public long attemptTimeoutNanos() {
        return terms.attemptTimeoutNanos();
    }

    @Override
    public int maxAttempts() {
        return terms.maxAttempts();
    }

    @Override
    public void recordRequest(long now) {
        retries.arrived(now);
        if (copies != null) {
            copies.arrived(now);
        }
    }

    @Override
    public void recordServed(long nanos) {
        if (times != null) {
            times.add(nanos);
        }
    }

    @Override
    public boolean tryWithdrawRetry(Outcome outcome, long now) {
        return terms.retryOn().contains(outcome) && retries.take(now);
    }

    @Override
    public long backoffNanos(int retry) {
        long doubled = terms.baseBackoffNanos() << Math.min(20, Math.max(0, retry - 1));
        return Math.min(terms.maxBackoffNanos(), doubled);
    }

    @Override
    public long hedgeDelayNanos() {
        return copies == null ? 0 : times == null ? terms.hedge().delayNanos() : times.nanos();
    }

    @Override
    public boolean tryWithdrawHedge(long now) {
        return copies != null && copies.take(now);
    }

    @Override
    public long retryAfterNanos() {
        return terms.retryAfterNanos();
    }
}
