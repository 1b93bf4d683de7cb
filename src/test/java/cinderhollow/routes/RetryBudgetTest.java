package cinderhollow.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.routes.RouteSettings.BudgetSettings;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Retry budgets and latency percentiles, in simulated time. */
class RetryBudgetTest {
    private static final long MILLISECOND_NANOS = 1_000_000L, SECOND_NANOS = 1000 * MILLISECOND_NANOS;

    /** Guards against tokens saved up in a quiet period: in each second of a retry storm only that second's share is allowed. */
    @Test
    void inEverySecondOfARetryStormRetriesStayWithinTheirFraction() {
        RetryBudget budget = new RetryBudget(new BudgetSettings(0.1, 0));
        for (int i = 0; i < 100_000; i++) {
            budget.deposit(i * MILLISECOND_NANOS);
        }
        for (int second = 100; second < 110; second++) {
            int withdrawn = 0;
            for (int i = 0; i < 1000; i++) {
                long now = second * SECOND_NANOS + i * MILLISECOND_NANOS;
                budget.deposit(now);
                withdrawn += budget.tryWithdraw(now) ? 1 : 0;
            }
            assertTrue(withdrawn >= 99 && withdrawn <= 101, withdrawn + " withdrawn in second " + second);
        }
    }

    @Test
    void withFewRequestsTheMinimumRateStillAllowsSome() {
        RetryBudget budget = new RetryBudget(new BudgetSettings(0, 2));
        int withdrawn = 0;
        for (int i = 0; i < 100; i++) {
            budget.deposit(i * 100 * MILLISECOND_NANOS);
            withdrawn += budget.tryWithdraw(i * 100 * MILLISECOND_NANOS) ? 1 : 0;
        }
        assertTrue(withdrawn >= 19 && withdrawn <= 21, "withdrawn " + withdrawn);
    }

    @Test
    void anEmptyBudgetAllowsNone() {
        RetryBudget budget = new RetryBudget(new BudgetSettings(0, 0));
        for (int i = 0; i < 1000; i++) {
            budget.deposit(i * SECOND_NANOS);
            assertFalse(budget.tryWithdraw(i * SECOND_NANOS));
        }
    }

    @Test
    void aPercentileIsUnknownUntilAllSamplesHaveCome() {
        Quantile quantile = new Quantile(90, 100);
        for (int i = 0; i < 99; i++) {
            quantile.add(10 * MILLISECOND_NANOS);
        }
        assertEquals(0, quantile.valueNanos());
        quantile.add(10 * MILLISECOND_NANOS);
        assertEquals(10 * MILLISECOND_NANOS, quantile.valueNanos(), 1.3 * MILLISECOND_NANOS);
    }

    @Test
    void aPercentileEqualsTheExactOneWithinABucket() {
        long seed = 3;
        SplittableRandom random = new SplittableRandom(seed);
        for (double percentile : new double[] {1, 50, 90, 99}) {
            Quantile quantile = new Quantile(percentile, 500);
            long[] recentNanos = new long[500];
            for (int i = 0; i < 5000; i++) {
                long nanos = Math.round(-Math.log(1 - random.nextDouble()) * 20 * MILLISECOND_NANOS) + 1000;
                recentNanos[i % 500] = nanos;
                quantile.add(nanos);
                if (i >= 500 && i % 97 == 0) {
                    long[] sorted = recentNanos.clone();
                    Arrays.sort(sorted);
                    long exact = sorted[(int) Math.ceil(percentile / 100 * 500) - 1];
                    double ratio = quantile.valueNanos() / (double) exact;
                    assertTrue(ratio >= 0.999 && ratio < 1.1, "seed " + seed + ": " + quantile.valueNanos() + ", exact " + exact);
                }
            }
        }
    }

    /** Guards against a percentile that does not follow a tenfold change, up or down, within the remembered samples. */
    @Test
    void aPercentileThatMovesTenfoldIsFollowed() {
        Quantile quantile = new Quantile(95, 200);
        for (long nanos : new long[] {10 * MILLISECOND_NANOS, 100 * MILLISECOND_NANOS, 10 * MILLISECOND_NANOS}) {
            for (int i = 0; i < 200; i++) {
                quantile.add(nanos);
            }
            assertEquals(nanos, quantile.valueNanos(), 0.1 * nanos);
        }
    }
}
