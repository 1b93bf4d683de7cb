package cinderhollow.core;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Timers of one event loop for what is given up because something did not come. The loop runs all tasks that are due before it
 * looks at its sockets again, so that after a time without a core the first it does is to give up what lies there and has only
 * not been read. A timer that comes late therefore waits for one more look.
 */
public record LagAwareTimers(EventLoop loop, GatewayClock clock) {
    /** Later than this nothing but a busy loop makes a timer, in nanoseconds. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long LOOK_MILLIS = 1;

    /** Runs the task on the loop after so many nanoseconds; a task that is past cancelling runs on after a cancel. */
    public ScheduledFuture<?> in(long nanos, Runnable task) {
        long due = clock.nanos() + nanos;
        return loop.schedule(() -> {
            if (clock.nanos() - due > LATE_NANOS) {
                afterALook(task);
            } else {
                task.run();
            }
        }, nanos, TimeUnit.NANOSECONDS);
    }

    /** Runs the task once the sockets have been looked at. */
    public void afterALook(Runnable task) {
        loop.schedule(task, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }
}
