package cinderhollow.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for conditions, up to a time limit, so that the result of a test does not depend on the speed of the machine. */
public final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60), POLL_INTERVAL_MILLIS = 2;

    private Await() { }

    /** Returns when the condition holds; fails the test, with {@code description} in the message, if it does not hold in time. */
    public static void until(String description, Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadlineNanos, () -> "not in time: " + description);
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}
