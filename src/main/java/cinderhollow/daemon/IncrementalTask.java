package cinderhollow.daemon;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs long work on an event loop in steps, and lets the loop poll its sockets after each, so that the loop does not stall.
 * One queued task per step would not do: the loop runs all tasks that are due before it polls; hence the short delay between
 * steps. Used only on the loop's thread.
 */
final class IncrementalTask {
    private static final long PAUSE_MILLIS = 1;

    private final EventLoop loop;
    private final BooleanSupplier hasWork;
    private final Runnable step;
    private boolean scheduled;

    /** Creates the task; it runs {@code step} repeatedly for as long as {@code hasWork} returns true. */
    IncrementalTask(EventLoop loop, BooleanSupplier hasWork, Runnable step) {
        this.loop = loop;
        this.hasWork = hasWork;
        this.step = step;
    }

    /** Runs the next step now, or when it is due if one is already scheduled. */
    void resume() {
        if (!scheduled && hasWork.getAsBoolean()) {
            scheduled = true;
            // Scheduled before the step runs, so that a step that throws does not stop all later ones.
            loop.schedule(() -> {
                scheduled = false;
                resume();
            }, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            step.run();
        }
    }
}
