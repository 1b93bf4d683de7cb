package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The limits on what is handled of clients' input between two polls, in made-up time. */
class ClientWorkLimitTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int CONNECTIONS = 10, REQUEST_FIELDS = 3, REQUESTS_IN_BURST = 8, READ_PARTS = 8;

    private final ClientWorkLimit limit = new ClientWorkLimit();
    private long now;

    private void handleFor(long nanos) {
        limit.enter(now);
        now += nanos;
        limit.exit(now);
    }

    /** Guards against a limit that each of many connections keeps by itself. */
    @Test
    void theTimeOfAllConnectionsCountsTogether() {
        for (int i = 1; i < CONNECTIONS; i++) {
            handleFor(MILLISECOND);
            assertFalse(limit.isReached(now), "after " + i + " ms");
            now += MILLISECOND;
        }
        handleFor(MILLISECOND);
        assertTrue(limit.isReached(now));
        limit.reset();
        assertFalse(limit.isReached(now));
    }

    @Test
    void aHandlerThatStillRunsCountsAndOneWithinAnotherCountsOnce() {
        limit.enter(now);
        now += 6 * MILLISECOND;
        handleFor(3 * MILLISECOND);
        assertFalse(limit.isReached(now));
        now += MILLISECOND;
        assertTrue(limit.isReached(now));
    }

    /** Guards against bodies of which a part of each read waits, and is taken for the unread end of the body. */
    @Test
    void theLargestReadOfABodyIsHandledAtOnce() {
        BurstLimit burst = new BurstLimit();
        for (int i = 0; i < READ_PARTS; i++) {
            assertFalse(burst.isReached(1), "part " + i);
            burst.count(BurstLimit.partCost(BodyMemoryBudget.MAX_ALLOWANCE_BYTES / READ_PARTS), 1);
        }
        assertFalse(burst.isReached(1));
    }

    /** Guards against a burst that is counted anew while the sockets have not been polled. */
    @Test
    void aBurstLastsUntilThePollOrTheNextTurn() {
        BurstLimit burst = new BurstLimit();
        for (int i = 0; i < REQUESTS_IN_BURST; i++) {
            assertFalse(burst.isReached(1), "request " + i);
            burst.count(BurstLimit.requestCost(REQUEST_FIELDS), 1);
        }
        assertTrue(burst.isReached(1));
        assertFalse(burst.isReached(2), "after a poll");
        burst.startNext();
        assertFalse(burst.isReached(1), "in its turn");
    }
}
