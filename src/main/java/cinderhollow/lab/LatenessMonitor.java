package cinderhollow.lab;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Measures by a heartbeat how late an event loop of the lab runs, and reports it to the observer, so that lateness of the lab or
 * of its machine is not attributed to the gateway.
 */
final class LatenessMonitor {
    private static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long MIN_REPORTED_LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final EventLoop loop;
    private final Consumer<Observation> observer;
    private final AtomicLong worstNanos;
    private long dueAtNanos;

    private LatenessMonitor(EventLoop loop, Consumer<Observation> observer, AtomicLong worstNanos) {
        this.loop = loop;
        this.observer = observer;
        this.worstNanos = worstNanos;
    }

    /** Starts the heartbeat on this loop; {@code worstNanos} is raised to the worst lateness, in nanoseconds. */
    static void watch(EventLoop loop, Consumer<Observation> observer, AtomicLong worstNanos) {
        LatenessMonitor monitor = new LatenessMonitor(loop, observer, worstNanos);
        loop.execute(monitor::scheduleLagTick);
    }

    private void scheduleLagTick() {
        dueAtNanos = System.nanoTime() + HEARTBEAT_INTERVAL_NANOS;
        loop.schedule(this::onHeartbeat, HEARTBEAT_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void onHeartbeat() {
        long nowNanos = System.nanoTime();
        long latenessNanos = nowNanos - dueAtNanos;
        if (latenessNanos > MIN_REPORTED_LATENESS_NANOS) {
            worstNanos.accumulateAndGet(latenessNanos, Math::max);
            observer.accept(new Observation.LabLate(nowNanos, latenessNanos));
        }
        scheduleLagTick();
    }
}
