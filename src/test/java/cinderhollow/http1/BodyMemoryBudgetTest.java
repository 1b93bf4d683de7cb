package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BodyMemoryBudgetTest {
    private static final long SEED = 59;
    private static final int STEPS = 200_000, BODIES_PER_CONNECTION = 2;

    private long bytesInUse;

    private BodyMemoryBudget createBudget(long maxBytes, int connections) {
        return new BodyMemoryBudget(maxBytes, connections, () -> bytesInUse);
    }

    @Test
    void aSingleBodyMayHoldTheMaximum() {
        assertEquals(BodyMemoryBudget.MAX_ALLOWANCE_BYTES, createBudget(8 << 20, 480).allowanceBytes());
    }

    @Test
    void theAllowanceShrinksAsTheMemoryFillsAndGrowsAgain() {
        BodyMemoryBudget budget = createBudget(8 << 20, 480);
        bytesInUse = 4 << 20;
        budget.recordRead(4 << 20);
        assertEquals(2048, budget.allowanceBytes(), "the reserved part: 4 MiB over 480 connections and 4 pieces");
        bytesInUse = 0;
        budget.recordRead(4 << 20);
        assertEquals(BodyMemoryBudget.MAX_ALLOWANCE_BYTES, budget.allowanceBytes());
    }

    /** Guards against two processes of an upgrade that together hold twice what one may. */
    @Test
    void aDividedBudgetSharesHalf() {
        BodyMemoryBudget budget = createBudget(1 << 20, 10);
        budget.setDivided(true);
        assertEquals(32 * 1024, budget.allowanceBytes(), "an eighth of a quarter of a megabyte");
        budget.setDivided(false);
        assertEquals(64 * 1024, budget.allowanceBytes(), "an eighth of half a megabyte");
    }

    @Test
    void readsCountUntilTheMemoryIsMeasuredAgain() {
        BodyMemoryBudget budget = createBudget(1 << 20, 10);
        budget.recordRead(100_000);
        assertEquals(32 * 1024, budget.allowanceBytes(), "an eighth of what is left of half a megabyte");
    }

    /**
     * Guards against memory that is bounded for each connection but not in sum: all connections have a body in each direction,
     * none of them is ever sent on, and each holds all that it may.
     */
    @ParameterizedTest
    @CsvSource({"8388608, 480", "8388608, 2016", "1572864, 480", "8388608, 5"})
    void theSumOverAllConnectionsStaysWithinTheBudget(long maxBytes, int connections) {
        BodyMemoryBudget budget = createBudget(maxBytes, connections);
        int[] heldBytes = new int[BODIES_PER_CONNECTION * connections];
        Random random = new Random(SEED);
        for (int step = 0; step < STEPS; step++) {
            int body = random.nextInt(heldBytes.length);
            if (heldBytes[body] < budget.allowanceBytes()) {
                int read = 1 + random.nextInt(budget.allowanceBytes());
                heldBytes[body] += read;
                bytesInUse += read;
                budget.recordRead(read);
            }
            assertTrue(bytesInUse <= maxBytes, "step " + step + ": " + bytesInUse);
        }
    }
}
