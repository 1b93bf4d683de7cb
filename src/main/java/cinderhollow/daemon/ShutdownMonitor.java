package cinderhollow.daemon;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Decides when a process that shuts down may end: once each event loop has either ended its shutdown or does not run any more. How
 * long a shutdown takes is decided by what the loops have pending, each part of which has a bound of its own; a loop that does not
 * run could never report its end.
 *
 * <p>A loop counts as stalled if its tick count has stayed the same over many checks. The number of checks counts and not the time
 * between them: in a process that is paused no loop runs, and none is to be given up for that.
 */
final class ShutdownMonitor {
    /**
     * State of one event loop.
     *
     * @param shutDown whether its shutdown has ended
     * @param tickCount number of periodic ticks that it has run so far
     */
    record LoopState(boolean shutDown, long tickCount) { }

    /** Time in milliseconds, of which the process has not been paused, after which a loop that has not run is given up. */
    static final long STALL_TIMEOUT_MILLIS = 3_600;
    static final long CHECK_INTERVAL_MILLIS = 20;
    private static final int MAX_CHECKS_WITHOUT_TICK = (int) (STALL_TIMEOUT_MILLIS / CHECK_INTERVAL_MILLIS);

    private final long[] lastTickCounts;
    private final int[] checksWithoutTick;

    ShutdownMonitor(int loopCount) {
        lastTickCounts = new long[loopCount];
        checksWithoutTick = new int[loopCount];
    }

    /**
     * Waits until the process may end. Returns whether all loops have ended their shutdown; otherwise those that have not are
     * stalled.
     */
    static boolean awaitEnd(Supplier<List<LoopState>> loopStates) throws InterruptedException {
        ShutdownMonitor monitor = new ShutdownMonitor(loopStates.get().size());
        for (List<LoopState> states = loopStates.get(); !states.stream().allMatch(LoopState::shutDown); states = loopStates.get()) {
            if (!monitor.check(states)) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
        }
        return true;
    }

    /** Checks the states of all loops. Returns whether the end of any shutdown is still to be expected. */
    boolean check(List<LoopState> states) {
        boolean endExpected = false;
        for (int i = 0; i < states.size(); i++) {
            LoopState state = states.get(i);
            checksWithoutTick[i] = state.tickCount() == lastTickCounts[i] ? checksWithoutTick[i] + 1 : 0;
            lastTickCounts[i] = state.tickCount();
            endExpected |= !state.shutDown() && checksWithoutTick[i] < MAX_CHECKS_WITHOUT_TICK;
        }
        return endExpected;
    }
}
