package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How long a client may need for what was written to it, in made-up time. */
class UnreadOutputTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int BYTES_PER_SECOND = UnreadOutput.MIN_CLIENT_BYTES_PER_MILLI * 1_000;

    @Test
    void whatIsWrittenTogetherIsReadOneAfterTheOther() {
        UnreadOutput output = new UnreadOutput();
        assertEquals(0, output.remainingNanos(0));
        output.add(BYTES_PER_SECOND, 0);
        output.add(BYTES_PER_SECOND, SECOND / 2);
        assertEquals(3 * SECOND / 2, output.remainingNanos(SECOND / 2));
        assertEquals(0, output.remainingNanos(2 * SECOND));
        output.add(BYTES_PER_SECOND, 10 * SECOND);
        assertEquals(SECOND, output.remainingNanos(10 * SECOND));
    }

    /** The client has read whatever the send buffer cannot hold; what the buffer held before it was limited stays in it. */
    @Test
    void noMoreThanTheSendBufferIsUnread() {
        UnreadOutput output = new UnreadOutput();
        output.add(100L * BYTES_PER_SECOND, 0);
        output.limitSendBuffer(40L * BYTES_PER_SECOND, 4L * BYTES_PER_SECOND, 0);
        assertEquals(40 * SECOND, output.remainingNanos(0));
        assertEquals(39 * SECOND, output.remainingNanos(SECOND));
        output.add(1, SECOND);
        assertEquals(4 * SECOND, output.remainingNanos(SECOND));
    }
}
