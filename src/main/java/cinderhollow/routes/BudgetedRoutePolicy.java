package cinderhollow.routes;

import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RoutePolicy;
import cinderhollow.routes.RouteSettings.HedgeSettings;

/**
 * Route policy that applies the {@link RouteSettings} of a route, with the state of its budgets and its latency percentile. Used by one
 * thread only.
 */
public final class BudgetedRoutePolicy implements RoutePolicy {
    private final int index;
    private final RouteSettings settings;
    private final RetryBudget retryBudget;
    private final RetryBudget hedgeBudget;
    private final Quantile latencies;

    /** Creates the policy of a route that has had no requests yet; {@code index} is its index among the routes. */
    public BudgetedRoutePolicy(int index, RouteSettings settings) {
        this.index = index;
        this.settings = settings;
        retryBudget = new RetryBudget(settings.retryBudget());
        HedgeSettings hedge = settings.hedge();
        hedgeBudget = hedge == null ? null : new RetryBudget(hedge.budget());
        latencies = hedge == null || hedge.percentile() == 0 ? null : new Quantile(hedge.percentile(), hedge.sampleCount());
    }

    /** Returns the index of the route among the operator's routes, from 0. */
    public int index() {
        return index;
    }

    @Override
    public long totalTimeoutNanos() {
        return settings.totalTimeoutNanos();
    }

    @Override
    public long attemptTimeoutNanos() {
        return settings.attemptTimeoutNanos();
    }

    @Override
    public int maxAttempts() {
        return settings.maxAttempts();
    }

    @Override
    public void recordRequest(long now) {
        retryBudget.deposit(now);
        if (hedgeBudget != null) {
            hedgeBudget.deposit(now);
        }
    }

    @Override
    public void recordServed(long nanos) {
        if (latencies != null) {
            latencies.add(nanos);
        }
    }

    @Override
    public boolean tryWithdrawRetry(Outcome outcome, long now) {
        return settings.retryOn().contains(outcome) && retryBudget.tryWithdraw(now);
    }

    @Override
    public long backoffNanos(int retry) {
        long doubledNanos = settings.baseBackoffNanos() << Math.min(20, Math.max(0, retry - 1));
        return Math.min(settings.maxBackoffNanos(), doubledNanos);
    }

    @Override
    public long hedgeDelayNanos() {
        return hedgeBudget == null ? 0 : latencies == null ? settings.hedge().delayNanos() : latencies.valueNanos();
    }

    @Override
    public boolean tryWithdrawHedge(long now) {
        return hedgeBudget != null && hedgeBudget.tryWithdraw(now);
    }

    @Override
    public long retryAfterNanos() {
        return settings.retryAfterNanos();
    }
}
