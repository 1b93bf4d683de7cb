package cinderhollow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PunctualityTest {
    private static final long MS = 1_000_000L;
    private final Punctuality punctuality = new Punctuality();
    private long now = 100_000 * MS;

    private void beat(long late) {
        punctuality.expect(now + Punctuality.BEAT_NANOS);
        now += Punctuality.BEAT_NANOS + late;
        punctuality.beat(now);
        punctuality.expect(now + Punctuality.BEAT_NANOS);
    }

    @Test
    void aLoopThatIsOnTimeReservesNothing() {
        for (int i = 0; i < 100; i++) {
            beat(i % 3 * MS);
            assertEquals(0, punctuality.reserve(now));
        }
        now += Punctuality.BEAT_NANOS / 2;
        assertEquals(0, punctuality.reserve(now), "the next beat is not due yet");
    }

    /** While the loop was busy what it reads now may have come at any time since. */
    @Test
    void aBeatThatIsOverdueTellsHowLongItMayHaveWaitedUnread() {
        beat(0);
        now += Punctuality.BEAT_NANOS + 300 * MS;
        assertEquals(300 * MS, punctuality.reserve(now));
    }

    @Test
    void whatWasSeenLatelyCountsForSomeSeconds() {
        beat(300 * MS);
        assertEquals(300 * MS, punctuality.reserve(now));
        beat(100 * MS);
        assertTrue(punctuality.reserve(now) > 280 * MS, "the longest counts, not the last");
        long before = punctuality.reserve(now);
        now += 3_000 * MS;
        punctuality.expect(now);
        assertEquals(before / 2, punctuality.reserve(now), MS);
        now += 20_000 * MS;
        punctuality.expect(now);
        assertEquals(0, punctuality.reserve(now));
    }

    @Test
    void beforeTheFirstBeatNothingIsKnown() {
        assertEquals(0, punctuality.reserve(now));
    }
}
