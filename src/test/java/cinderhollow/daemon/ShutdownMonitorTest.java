package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.ShutdownMonitor.LoopState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When a process whose event loops shut down may end. */
class ShutdownMonitorTest {
    private static final long CHECKS = ShutdownMonitor.STALL_TIMEOUT_MILLIS / ShutdownMonitor.CHECK_INTERVAL_MILLIS;

    /** Guards against an end by a fixed time: a loop that runs is waited for. */
    @Test
    void aLoopThatRunsIsWaitedForHoweverLongItTakes() {
        ShutdownMonitor monitor = new ShutdownMonitor(1);
        for (long i = 0; i < 100 * CHECKS; i++) {
            assertTrue(monitor.check(List.of(new LoopState(false, i / 2))));
        }
    }

    /** Guards against a process that never ends: a stalled loop is given up, but not while another loop has answers to finish. */
    @Test
    void aStalledLoopIsGivenUpOnceTheOthersAreDone() {
        ShutdownMonitor monitor = new ShutdownMonitor(2);
        for (long i = 0; i < 3 * CHECKS; i++) {
            assertTrue(monitor.check(List.of(new LoopState(false, 7), new LoopState(false, i))));
        }
        assertFalse(monitor.check(List.of(new LoopState(false, 7), new LoopState(true, 3 * CHECKS))));
    }

    @Test
    void aStalledLoopIsGivenUpAfterItsTimeAndNotBefore() {
        ShutdownMonitor monitor = new ShutdownMonitor(1);
        int checks = 0;
        while (monitor.check(List.of(new LoopState(false, 7)))) {
            checks++;
        }
        // The first check only learns the count.
        assertEquals(CHECKS, checks);
    }

    /** A tick after a long gap, such as behind a pause of the process or on a busy machine, starts the count anew. */
    @Test
    void aLoopThatRunsAgainIsNotGivenUp() {
        ShutdownMonitor monitor = new ShutdownMonitor(1);
        for (int tick = 1; tick < 10; tick++) {
            for (int i = 0; i < CHECKS; i++) {
                assertTrue(monitor.check(List.of(new LoopState(false, tick))));
            }
        }
    }
}
