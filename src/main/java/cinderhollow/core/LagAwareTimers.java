package cinderhollow.core;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Timeouts of one event loop. The loop runs all tasks that are due before it polls its sockets again; after a time without CPU it
 * would first time out operations whose input has already arrived and has only not been read. A timer that fires late
 * therefore runs its task only after the loop has polled its sockets once more.
 */
public record LagAwareTimers(EventLoop loop, GatewayClock clock) {
    /** A timer that fires later than this, in nanoseconds, is late because the event loop was busy or the process had no CPU. */
    private static final long LATE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** The event loop polls its sockets at least once before a task with this delay runs. */
    private static final long NEXT_POLL_DELAY_MILLIS = 1;

    /**
     * Runs the task on the event loop after this many nanoseconds. Cancelling the result has no effect once the timer has fired,
     * also if the task still waits for the next poll.
     */
    public ScheduledFuture<?> schedule(long nanos, Runnable task) {
        long dueAt = clock.nanos() + nanos;
        return loop.schedule(() -> {
            if (clock.nanos() - dueAt > LATE_THRESHOLD_NANOS) {
                runAfterNextPoll(task);
            } else {
                task.run();
            }
        }, nanos, TimeUnit.NANOSECONDS);
    }

    /** Runs the task after the event loop has polled its sockets once more. */
    public void runAfterNextPoll(Runnable task) {
        loop.schedule(task, NEXT_POLL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
