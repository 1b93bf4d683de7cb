package cinderhollow.lab;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * How late a loop of the lab runs, by a heartbeat. Guards against taking the lab's own lateness, or that of the
 * machine under it, for the gateway's.
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

    /** Watches this loop from now on; the worst so far is kept in {@code worst}, in nanoseconds. */
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
