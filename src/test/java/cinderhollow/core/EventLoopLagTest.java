package cinderhollow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EventLoopLagTest {
    private static final long MS = 1_000_000L;
    private final EventLoopLag lag = new EventLoopLag();
    private long now = 100_000 * MS;

    private void tick(long late) {
        lag.expectTick(now + EventLoopLag.TICK_INTERVAL_NANOS);
        now += EventLoopLag.TICK_INTERVAL_NANOS + late;
        lag.recordTick(now);
        lag.expectTick(now + EventLoopLag.TICK_INTERVAL_NANOS);
    }

    @Test
    void inputReadByALoopThatIsOnTimeArrivedJustNow() {
        for (int i = 0; i < 100; i++) {
            tick(i % 3 * MS);
            assertEquals(now, lag.earliestArrival(now));
            assertTrue(lag.recentPeakLag(now) <= 2 * MS);
        }
        now += EventLoopLag.TICK_INTERVAL_NANOS / 2;
        assertEquals(now, lag.earliestArrival(now), "the next tick is not due yet");
    }

    /** Input read by a loop that was busy may have arrived at any time since the last tick. */
    @Test
    void anOverdueTickBoundsHowLongInputMayHaveWaitedUnread() {
        tick(0);
        long last = now;
        now += EventLoopLag.TICK_INTERVAL_NANOS + 300 * MS;
        assertEquals(last, lag.earliestArrival(now));
    }

    /** When a stopped process continues, the loop's wait is interrupted, and the late tick runs before the sockets are polled. */
    @Test
    void inputReadAfterALateTickMayHaveArrivedSinceTheTickBefore() {
        tick(0);
        tick(0);
        long last = now;
        tick(300 * MS);
        assertEquals(last, lag.earliestArrival(now));
        tick(0);
        assertEquals(now, lag.earliestArrival(now));
    }

    @Test
    void peakLagDecaysOverSomeSeconds() {
        tick(300 * MS);
        assertEquals(300 * MS, lag.recentPeakLag(now));
        tick(100 * MS);
        assertTrue(lag.recentPeakLag(now) > 280 * MS, "the largest lag counts, not the last");
        long before = lag.recentPeakLag(now);
        now += 3_000 * MS;
        assertEquals(before / 2, lag.recentPeakLag(now), MS);
        now += 200_000 * MS;
        assertEquals(0, lag.recentPeakLag(now));
    }

    @Test
    void noLagIsReportedBeforeTheFirstTick() {
        assertEquals(0, lag.recentPeakLag(now));
        assertEquals(now, lag.earliestArrival(now));
    }

    /** Only input that arrived three ticks ago has certainly been read, together with what followed it. */
    @Test
    void socketStateIsFreshWhileTicksAreOnTimeAndStaleUntilThreeHaveCome() {
        for (int i = 0; i < 3; i++) {
            assertTrue(lag.isStale(now));
            tick(0);
        }
        assertFalse(lag.isStale(now));
        assertEquals(now, lag.earliestArrival(now));
        long stalled = now;
        now += 700 * MS;
        assertTrue(lag.isStale(now));
        assertEquals(stalled, lag.earliestArrival(now));
        assertTrue(lag.earliestArrivalOnNewConnection(now) <= stalled);
    }

    /** What a connection brought before it was accepted is read by the polls of three ticks after the accept. */
    @Test
    void whatHadArrivedHasBeenReadAfterThreeTicks() {
        for (int i = 0; i < 10; i++) {
            tick(0);
        }
        long acceptedAt = now + MS;
        for (int i = 0; i < 3; i++) {
            assertFalse(lag.hasReadAllUntil(acceptedAt));
            tick(0);
        }
        assertTrue(lag.hasReadAllUntil(acceptedAt));
    }
}
