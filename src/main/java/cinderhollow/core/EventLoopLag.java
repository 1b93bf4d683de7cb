package cinderhollow.core;

import java.util.concurrent.TimeUnit;

/**
 * Measures how late an event loop is, by a periodic timer task (the tick) that is due at known times. From it follow how old the
 * loop's knowledge of its sockets may be, and since when input that is read now may have been waiting. A process that gets no CPU
 * for a while, or is stopped, otherwise acts on outdated knowledge, and takes input that has been waiting unread for new. Does no
 * input or output and reads no clock: the time is a parameter. Used on the event loop's thread only. All times are nanoseconds of
 * one clock.
 *
 * <p>Between two ticks the event loop polls all of its sockets at least once. Whatever follows the bytes that one poll reads
 * (mostly the end of a connection) is read by the next poll. So whatever reached a socket before the third last tick has been
 * read.
 */
public final class EventLoopLag {
    /** Time between two ticks; input may have been waiting in a socket for as long before it is read. */
    public static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** A tick that is late by no more than this is on time: timers are coarse, and each task before it takes some time. */
    private static final long ON_TIME_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Half-life of the decaying peak lag. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Three ticks that are on time lie within this time; if the third last tick is older, the known socket state is stale. */
    private static final long STALE_AFTER_NANOS = 3 * TICK_INTERVAL_NANOS + 2 * ON_TIME_TOLERANCE_NANOS;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long nextTickDueAt = Long.MAX_VALUE;
    private long lastTickAt = NEVER;
    private long secondLastTickAt = NEVER;
    private long thirdLastTickAt = NEVER;
    private double peakLag;
    private long peakLagAt;

    /** Sets when the next tick is due. */
    public void expectTick(long at) {
        nextTickDueAt = at;
    }

    /** Records that the due tick has come now, and returns how late it is. */
    public long recordTick(long now) {
        thirdLastTickAt = secondLastTickAt;
        secondLastTickAt = lastTickAt;
        lastTickAt = now;
        double late = now - nextTickDueAt;
        if (late >= peakLag(now)) {
            peakLag = late;
            peakLagAt = now;
        }
        return now - nextTickDueAt;
    }

    /** Returns the time of the last tick, or a time long ago if there was none. */
    public long lastTickAt() {
        return lastTickAt;
    }

    /**
     * Returns the largest lag of the last seconds, which decays with a half-life of 3 s. It is for code that must not trust its
     * own observations while the event loop itself is late.
     */
    public long recentPeakLag(long now) {
        return (long) peakLag(now);
    }

    private double peakLag(long now) {
        return peakLag * Math.pow(2, (peakLagAt - now) / HALF_LIFE_NANOS);
    }

    /**
     * Returns the earliest time at which input that is read now may have arrived: {@code now} while the ticks are on time.
     * The event loop may run an overdue tick before it polls its sockets again (it does so after an interrupted wait). Input that
     * is read after such a tick may therefore have been waiting as long as input that is read before it.
     */
    public long earliestArrival(long now) {
        boolean lastTickWasLate = secondLastTickAt != NEVER && lastTickAt - secondLastTickAt > TICK_INTERVAL_NANOS
                + ON_TIME_TOLERANCE_NANOS;
        if (lastTickWasLate) {
            return secondLastTickAt;
        }
        boolean overdue = nextTickDueAt != Long.MAX_VALUE && now - nextTickDueAt > ON_TIME_TOLERANCE_NANOS;
        return overdue ? nextTickDueAt - TICK_INTERVAL_NANOS : now;
    }

    /**
     * Returns the same for input that is read on a connection that has just been accepted: it may have been waiting in the
     * listener's backlog, with bytes received, since before a time in which the event loop was late.
     */
    public long earliestArrivalOnNewConnection(long now) {
        return isStale(now) && thirdLastTickAt != NEVER ? thirdLastTickAt : earliestArrival(now);
    }

    /** Returns whether everything that had reached a socket by this time has been read since. */
    public boolean hasReadAllUntil(long at) {
        return at < thirdLastTickAt;
    }

    /** Returns whether the sockets were polled so long ago that the end of a connection may be waiting there unread. */
    public boolean isStale(long now) {
        return now - thirdLastTickAt > STALE_AFTER_NANOS;
    }
}
