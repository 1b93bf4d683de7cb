package cinderhollow.lab;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Measures by a heartbeat how late an event loop of the lab runs, and reports it to the observer, so that lateness of the lab or
 * of its machine is not attributed to the gateway.
 */
final class Lateness {
    private static final long BEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long WORTH_TELLING_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final EventLoop loop;
    private final Consumer<Sighting> auditor;
    private final AtomicLong worst;
    private long dueAt;

    private Lateness(EventLoop loop, Consumer<Sighting> auditor, AtomicLong worst) {
        this.loop = loop;
        this.auditor = auditor;
        this.worst = worst;
    }

    /** Starts the heartbeat on this loop; {@code worstNanos} is raised to the worst lateness, in nanoseconds. */
    static void watch(EventLoop loop, Consumer<Sighting> auditor, AtomicLong worst) {
        Lateness lateness = new Lateness(loop, auditor, worst);
        loop.execute(lateness::next);
    }

    private void next() {
        dueAt = System.nanoTime() + BEAT_NANOS;
        loop.schedule(this::beat, BEAT_NANOS, TimeUnit.NANOSECONDS);
    }

    private void beat() {
        long at = System.nanoTime();
        long by = at - dueAt;
        if (by > WORTH_TELLING_NANOS) {
            worst.accumulateAndGet(by, Math::max);
            auditor.accept(new Sighting.Late(at, by));
        }
        next();
    }
}
