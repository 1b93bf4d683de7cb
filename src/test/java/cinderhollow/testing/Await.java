package cinderhollow.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for conditions, with a bound: a test's verdict hangs on no machine's speed. */
public final class Await {
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(60), LOOK_MILLIS = 2;

    private Await() { }

    /** Returns when the condition holds, and fails the test with these words where it does not in time. */
    public static void until(String what, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + PATIENCE_NANOS;
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, () -> "not in time: " + what);
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
    }
}
