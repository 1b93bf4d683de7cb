package cinderhollow.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.routes.RouteSettings.BudgetSettings;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Retry budgets and latency percentiles, in simulated time. */
class BudgetTest {
    private static final long MS = 1_000_000L, SECOND = 1000 * MS;

    /** Guards against tokens saved up in a quiet period: in each second of a retry storm only that second's share is allowed. */
    @Test
    void inEverySecondOfAStormExtrasStayWithinTheShare() {
        Budget budget = new Budget(new BudgetSettings(0.1, 0));
        for (int i = 0; i < 100_000; i++) {
            budget.arrived(i * MS);
        }
        for (int second = 100; second < 110; second++) {
            int taken = 0;
            for (int i = 0; i < 1000; i++) {
                long now = second * SECOND + i * MS;
                budget.arrived(now);
                taken += budget.take(now) ? 1 : 0;
            }
            assertTrue(taken >= 99 && taken <= 101, taken + " withdrawn in second " + second);
        }
    }

    @Test
    void whereRequestsAreFewTheFloorLetsSomeOut() {
        Budget budget = new Budget(new BudgetSettings(0, 2));
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            budget.arrived(i * 100 * MS);
            taken += budget.take(i * 100 * MS) ? 1 : 0;
        }
        assertTrue(taken >= 19 && taken <= 21, "withdrawn " + taken);
    }

    @Test
    void nothingIsNothing() {
        Budget budget = new Budget(new BudgetSettings(0, 0));
        for (int i = 0; i < 1000; i++) {
            budget.arrived(i * SECOND);
            assertFalse(budget.take(i * SECOND));
        }
    }

    @Test
    void aPercentileIsUnknownUntilAllSamplesHaveCome() {
        Quantile quantile = new Quantile(90, 100);
        for (int i = 0; i < 99; i++) {
            quantile.add(10 * MS);
        }
        assertEquals(0, quantile.nanos());
        quantile.add(10 * MS);
        assertEquals(10 * MS, quantile.nanos(), 1.3 * MS);
    }

    @Test
    void aPercentileIsTheSortedOneWithinABucket() {
        long seed = 3;
        SplittableRandom random = new SplittableRandom(seed);
        for (double percentile : new double[] {1, 50, 90, 99}) {
            Quantile quantile = new Quantile(percentile, 500);
            long[] last = new long[500];
            for (int i = 0; i < 5000; i++) {
                long nanos = Math.round(-Math.log(1 - random.nextDouble()) * 20 * MS) + 1000;
                last[i % 500] = nanos;
                quantile.add(nanos);
                if (i >= 500 && i % 97 == 0) {
                    long[] sorted = last.clone();
                    Arrays.sort(sorted);
                    long exact = sorted[(int) Math.ceil(percentile / 100 * 500) - 1];
                    double ratio = quantile.nanos() / (double) exact;
                    assertTrue(ratio >= 0.999 && ratio < 1.1, "seed " + seed + ": " + quantile.nanos() + ", exact " + exact);
                }
            }
        }
    }

    /** Guards against a percentile that does not follow a tenfold change, up or down, within the remembered samples. */
    @Test
    void aPercentileThatMovesTenfoldIsFollowed() {
        Quantile quantile = new Quantile(95, 200);
        for (long nanos : new long[] {10 * MS, 100 * MS, 10 * MS}) {
            for (int i = 0; i < 200; i++) {
                quantile.add(nanos);
            }
            assertEquals(nanos, quantile.nanos(), 0.1 * nanos);
        }
    }
}
