package cinderhollow.emulator;

import java.util.PriorityQueue;

/** Made-up time in nanoseconds: what is due comes in order, and of one instant in the order in which it was planned. */
final class Timeline {
    private record Due(long at, long turn, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(turn, other.turn);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long now;
    private long turns;

    Timeline(long start) {
        now = start;
    }

    long now() {
        return now;
    }

    /** Does this at that time, or now where that is over. */
    void at(long time, Runnable work) {
        due.add(new Due(Math.max(now, time), turns++, work));
    }

    void after(long nanos, Runnable work) {
        at(now + nanos, work);
    }

    /** Plays all that is due before the end; how many events that was. */
    long playUntil(long end) {
        long played = 0;
        while (!due.isEmpty() && due.peek().at < end) {
            Due next = due.poll();
            now = next.at;
            next.work.run();
            played++;
        }
        now = Math.max(now, end);
        return played;
    }
}
