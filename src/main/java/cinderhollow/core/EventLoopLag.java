package cinderhollow.core;

import java.util.concurrent.TimeUnit;

/**
 * How late an event loop is, from a beat that should come at known times: how old what it knows of its sockets may be, and when
 * what it reads may have come. A process that gets no core for a while, or is stopped, acts on what it knew before, and takes
 * what has lain unread since for new. Without input or output and without a clock: told the time, on the loop's thread. All
 * times are nanoseconds of one clock.
 *
 * <p>Between two beats the loop looks at all of its sockets at least once, and what stands behind the bytes that one look reads
 * (the end of a connection, mostly) is read by the next look. So whatever reached a socket three beats ago has been read by now.
 */
public final class EventLoopLag {
    /** How far apart the beats are: what was read may have waited for so long unseen. */
    public static final long BEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** A beat that is no later than this is on time: timers are coarse, and each task ahead takes a moment. */
    private static final long ON_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** What was seen counts half after so long. */
    private static final double HALF_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Three beats that are on time lie within this. */
    private static final long FRESH_NANOS = 3 * BEAT_NANOS + 2 * ON_TIME_NANOS;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long due = Long.MAX_VALUE;
    private long newestBeat = NEVER;
    private long secondBeat = NEVER;
    private long thirdBeat = NEVER;
    private double latest;
    private long latestAt;

    /** The next beat is due at this time. */
    public void expect(long at) {
        due = at;
    }

    /** The beat that was due has come now; how late it is. */
    public long beat(long now) {
        thirdBeat = secondBeat;
        secondBeat = newestBeat;
        newestBeat = now;
        double late = now - due;
        if (late >= latest(now)) {
            latest = late;
            latestAt = now;
        }
        return now - due;
    }

    /**
     * The longest lateness of the last seconds, which counts half after three: for who has to doubt what it sees while it is late
     * itself.
     */
    public long recent(long now) {
        return (long) latest(now);
    }

    private double latest(long now) {
        return latest * Math.pow(2, (latestAt - now) / HALF_NANOS);
    }

    /**
     * The earliest time at which what is read now may have come: now itself while the beats are on time. The loop may run the
     * overdue beat before it looks at its sockets again (a wait that was interrupted ends so), and what it reads behind such a beat
     * has waited as long as what it reads before it.
     */
    public long earliestArrival(long now) {
        boolean newestWasLate = secondBeat != NEVER && newestBeat - secondBeat > BEAT_NANOS + ON_TIME_NANOS;
        if (newestWasLate) {
            return secondBeat;
        }
        boolean overdue = due != Long.MAX_VALUE && now - due > ON_TIME_NANOS;
        return overdue ? due - BEAT_NANOS : now;
    }

    /**
     * The same of what is read on a connection that was accepted now: it may have stood in the backlog, with bytes on it, since
     * before a time in which the loop was late.
     */
    public long earliestArrivalOnNewConnection(long now) {
        return isStale(now) && thirdBeat != NEVER ? thirdBeat : earliestArrival(now);
    }

    /** Whether the sockets were looked at so long ago that a connection's end may lie there unread. */
    public boolean isStale(long now) {
        return now - thirdBeat > FRESH_NANOS;
    }
}
