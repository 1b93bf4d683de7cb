package cinderhollow.http1;

import cinderhollow.core.EventLoopLag;
import cinderhollow.core.GatewayClock;
import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Lets the client connections of one event loop take turns: once their input has been handled for a while, what is left waits for
 * the next poll of the sockets, and is then handled in small portions, one connection after the other. The time between two polls
 * is a period.
 */
final class ClientTurns {
    /** A connection with input that waits for its turn. */
    interface Participant {
        /** Handles a portion of what waits. If more is left, the participant awaits its next turn. */
        void takeTurn();
    }

    /** Size in bytes of a read whose input has to wait for its turn, and is held meanwhile. */
    private static final int WAITING_READ_BYTES = 4 * 1024;

    /**
     * Turns between two polls, however long they take: while the process gets a part of a core, the time may be over after a
     * single one, and each of many participants would wait for as many polls.
     */
    private static final int MIN_TURNS = 64;

    private final EventLoop loop;
    private final GatewayClock clock;
    private final EventLoopLag lag;
    private final ClientWorkLimit limit = new ClientWorkLimit();
    /** Participants that await their turn, in its order. */
    private final Set<Participant> waiting = new LinkedHashSet<>();
    private boolean scheduled;
    /** Whether a turn is being taken, which only its own limit ends. */
    private boolean turnRunning;
    private long period;
    private long periodTickAt;

    ClientTurns(EventLoop loop, GatewayClock clock, EventLoopLag lag) {
        this.loop = loop;
        this.clock = clock;
        this.lag = lag;
    }

    /** Returns the number of the current period. */
    long period() {
        return period;
    }

    /** Records that input is handled from now on, until {@link #exit}. Calls may be nested. */
    void enter() {
        // Between two ticks the loop has polled its sockets.
        if (!limit.isRunning() && lag.lastTickAt() != periodTickAt) {
            startPeriod();
        }
        limit.enter(clock.nanos());
    }

    /** Records the end of what the last {@link #enter} began. */
    void exit() {
        limit.exit(clock.nanos());
    }

    /** Returns whether no more input may be handled in this period. */
    boolean isOver() {
        return !turnRunning && limit.isReached(clock.nanos());
    }

    /** Returns how much of a connection may be read at once at present, in bytes. */
    int maxReadBytes() {
        return isOver() ? WAITING_READ_BYTES : BodyMemoryBudget.MAX_ALLOWANCE_BYTES;
    }

    /** Lets a participant have a turn after the next poll of the sockets. */
    void await(Participant participant) {
        waiting.add(participant);
        schedule();
    }

    /** Removes a participant, which has been closed. */
    void remove(Participant participant) {
        waiting.remove(participant);
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            // The loop takes scheduled tasks that are due only right after a poll.
            loop.schedule(this::runTurns, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void runTurns() {
        scheduled = false;
        startPeriod();
        for (int turns = 0; !waiting.isEmpty() && (turns < MIN_TURNS || !isOver()); turns++) {
            Participant next = waiting.iterator().next();
            waiting.remove(next);
            turnRunning = true;
            try {
                next.takeTurn();
            } finally {
                turnRunning = false;
            }
        }
        if (!waiting.isEmpty()) {
            schedule();
        }
    }

    private void startPeriod() {
        period++;
        periodTickAt = lag.lastTickAt();
        limit.reset();
    }
}
