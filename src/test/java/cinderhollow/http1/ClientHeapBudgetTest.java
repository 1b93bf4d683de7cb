package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ClientHeapBudgetTest {
    private static final int CONNECTIONS = 480;
    private static final long MAX_BYTES = 16 << 20, RESERVED_BYTES = MAX_BYTES / 2 / CONNECTIONS;

    private final ClientHeapBudget budget = new ClientHeapBudget(MAX_BYTES, CONNECTIONS);

    @Test
    void aSingleConnectionMayHoldALargePart() {
        assertTrue(budget.allows(MAX_BYTES / 4));
        assertFalse(budget.allows(MAX_BYTES / 4 + 1));
    }

    /** Guards against connections that together hold more than the bound, however many of them take all that they may. */
    @Test
    void allConnectionsTogetherStayWithinTheBound() {
        for (int i = 0; i < CONNECTIONS; i++) {
            long held = 0;
            while (budget.allows(held + 1024)) {
                held += 1024;
                budget.add(ClientHeapUse.WAITING_INPUT, 1024);
            }
        }
        assertTrue(budget.heldBytes() <= MAX_BYTES, () -> budget.heldBytes() + " bytes");
    }

    @Test
    void theReservedPartIsAllowedThoughOthersHoldEverything() {
        budget.add(ClientHeapUse.WAITING_INPUT, MAX_BYTES);
        assertTrue(budget.allows(RESERVED_BYTES));
        assertFalse(budget.allows(RESERVED_BYTES + 1));
    }
}
