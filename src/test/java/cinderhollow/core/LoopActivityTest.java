package cinderhollow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.LoopActivity.Handler;
import org.junit.jupiter.api.Test;

/** What the log tells about an event loop between two ticks. */
class LoopActivityTest {
    private static final int READ_BYTES = 4096, END_OF_STREAM = -1;
    private static final String COUNTED = "1 accepts, 2 reads of 4 KiB, 2 handlers, the longest client_read with 70 us";

    private final LoopActivity activity = new LoopActivity();

    @Test
    void eachIntervalIsCountedByItself() {
        activity.startInterval();
        activity.recordAccept();
        activity.recordRead(READ_BYTES);
        activity.recordRead(END_OF_STREAM);
        activity.recordHandler(Handler.CLIENT_READ, 70_000);
        activity.recordHandler(Handler.SWEEP, 60_000);
        assertTrue(activity.describe().endsWith(COUNTED), activity.describe());
        activity.startInterval();
        assertTrue(activity.describe().endsWith(", 0 accepts, 0 reads of 0 KiB, 0 handlers"), activity.describe());
    }

    @Test
    void withoutAnIntervalTheTimesAreUnknown() {
        assertEquals("CPU time unknown, 0 accepts, 0 reads of 0 KiB, 0 handlers", activity.describe());
    }
}
