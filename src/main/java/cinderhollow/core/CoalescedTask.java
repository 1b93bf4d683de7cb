package cinderhollow.core;

import io.netty.channel.EventLoop;

/** A task of one event loop that is queued at most once, however often it is requested before it runs. */
public final class CoalescedTask {
    private final EventLoop loop;
    private final Runnable task;
    private boolean queued;

    /** Creates the task, which is not queued yet. */
    public CoalescedTask(EventLoop loop, Runnable task) {
        this.loop = loop;
        this.task = task;
    }

    /** Queues the task, unless it is queued already. Must be called on the event loop. */
    public void request() {
        if (!queued) {
            queued = true;
            loop.execute(this::run);
        }
    }

    private void run() {
        queued = false;
        task.run();
    }
}
