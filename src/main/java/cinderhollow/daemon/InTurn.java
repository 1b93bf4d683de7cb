package cinderhollow.daemon;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Long work on an event loop, one step at a time, with a look at the sockets after each. Guards against a stall: a task
 * for each step would not do, since the loop runs all tasks that are due before it looks; hence the short wait. On the
 * loop's thread alone.
 */
final class InTurn {
    private static final long PAUSE_MILLIS = 1;

    private final EventLoop loop;
    private final BooleanSupplier waits;
    private final Runnable step;
    private boolean due;

    /** Does a step at a time for as long as one waits. */
    InTurn(EventLoop loop, BooleanSupplier waits, Runnable step) {
        this.loop = loop;
        this.waits = waits;
        this.step = step;
    }

    /** Goes on at once, or when the next step is due. */
    void goOn() {
        if (!due && waits.getAsBoolean()) {
            due = true;
            // Before the step, whose fault must not be the end of all that come after it.
            loop.schedule(() -> {
                due = false;
                goOn();
            }, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            step.run();
        }
    }
}
