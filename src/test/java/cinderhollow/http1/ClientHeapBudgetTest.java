package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;

class ClientHeapBudgetTest {
    private static final int CONNECTIONS = 480;
    private static final long MAX_BYTES = 16 << 20, RESERVED_BYTES = MAX_BYTES / 2 / CONNECTIONS;

    private static final int STEP_BYTES = 256;

    private final ClientHeapBudget budget = new ClientHeapBudget(MAX_BYTES, CONNECTIONS);

    @Test
    void aSingleConnectionMayHoldALargePart() {
        assertTrue(budget.allowsRequest(MAX_BYTES / 4));
        assertFalse(budget.allowsRequest(MAX_BYTES / 4 + 1));
    }

    /** Guards against connections that together hold more than the bound, however many of them take all that they may. */
    @Test
    void allConnectionsTogetherStayWithinTheBound() {
        for (int i = 0; i < CONNECTIONS; i++) {
            holdAllThatIsAllowed(ClientHeapUse.OPEN_REQUESTS, budget::allowsRequest);
            holdAllThatIsAllowed(ClientHeapUse.WAITING_INPUT, bytes -> bytes <= budget.inputAllowance());
            holdAllThatIsAllowed(ClientHeapUse.UNREAD_ANSWERS, budget::allowsAnswers);
        }
        assertTrue(budget.heldBytes() <= MAX_BYTES, () -> budget.heldBytes() + " bytes");
    }

    /** Guards against two processes of an upgrade that together hold twice what one may. */
    @Test
    void twoProcessesTogetherStayWithinTheBoundOfOne() {
        budget.setDivided(true);
        assertTrue(budget.allowsRequest(MAX_BYTES / 8));
        assertFalse(budget.allowsRequest(MAX_BYTES / 8 + 1));
        for (int i = 0; i < CONNECTIONS / 2; i++) {
            holdAllThatIsAllowed(ClientHeapUse.OPEN_REQUESTS, budget::allowsRequest);
            holdAllThatIsAllowed(ClientHeapUse.WAITING_INPUT, bytes -> bytes <= budget.inputAllowance());
            holdAllThatIsAllowed(ClientHeapUse.UNREAD_ANSWERS, budget::allowsAnswers);
        }
        assertTrue(budget.heldBytes() <= MAX_BYTES / 2, () -> budget.heldBytes() + " bytes");
    }

    @Test
    void theReservedPartIsAllowedThoughOthersHoldEverything() {
        budget.add(ClientHeapUse.WAITING_INPUT, MAX_BYTES);
        assertTrue(budget.allowsRequest(RESERVED_BYTES * 5 / 8));
        assertFalse(budget.allowsRequest(RESERVED_BYTES * 5 / 8 + 1));
        assertEquals(RESERVED_BYTES * 2 / 8, budget.inputAllowance());
        assertTrue(budget.allowsAnswers(RESERVED_BYTES / 8));
        assertFalse(budget.allowsAnswers(RESERVED_BYTES / 8 + 1));
    }

    private void holdAllThatIsAllowed(ClientHeapUse use, LongPredicate allowed) {
        long held = 0;
        while (allowed.test(held + STEP_BYTES)) {
            held += STEP_BYTES;
            budget.add(use, STEP_BYTES);
        }
    }
}
