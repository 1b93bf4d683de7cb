package cinderhollow.daemon;

import cinderhollow.core.FaultTolerantEventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.util.function.Consumer;

/**
 * Logs the faults of the process's event loops, and ends the process when one has ended by them: its connections have ended with
 * it, which a supervisor must be able to see.
 */
final class EventLoopFaults implements FaultTolerantEventLoopGroup.Listener {
    private final Consumer<String> log;
    private final Runnable exit;
    private volatile boolean loopEnded;

    /** {@code exit} ends the process, and may block; it is called on a thread of its own. */
    EventLoopFaults(Consumer<String> log, Runnable exit) {
        this.log = log;
        this.exit = exit;
    }

    /** Returns whether an event loop has ended by its faults. */
    boolean hasLoopEnded() {
        return loopEnded;
    }

    @Override
    public void onFault(Throwable fault) {
        logIfPossible("unexpected fault of an event loop, which goes on: ", fault);
    }

    @Override
    public void onLoopEnding(EventExecutor loop, Throwable fault) {
        loopEnded = true;
        logIfPossible("an event loop has ended by its faults, and with it this process: ", fault);
        // Only then the loop takes no more tasks, which a shutdown would wait for.
        loop.terminationFuture().addListener(terminated -> startExit());
    }

    private void startExit() {
        Thread exitThread = new Thread(exit, "exit-after-fault");
        exitThread.setDaemon(true);
        exitThread.start();
    }

    private void logIfPossible(String line, Throwable fault) {
        try {
            log.accept(line + fault);
        } catch (OutOfMemoryError ignored) {
            // The line takes more memory than there is; what is done about the fault does not depend on it.
        }
    }
}
