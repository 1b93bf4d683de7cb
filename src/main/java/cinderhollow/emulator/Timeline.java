package cinderhollow.emulator;

import java.util.PriorityQueue;

/**
 * Runs tasks in virtual time (nanoseconds), in the order of their times; tasks of one instant run in the order in which they were
 * scheduled.
 */
final class Timeline {
    /** A task, the virtual time at which it runs, and its sequence number among the tasks of that time. */
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

    /** Schedules the task at the given time, or at the current time if that is in the past. */
    void at(long time, Runnable work) {
        due.add(new Due(Math.max(now, time), turns++, work));
    }

    /** Schedules the task after a delay in nanoseconds. */
    void after(long nanos, Runnable work) {
        at(now + nanos, work);
    }

    /** Runs all tasks that are due before the end, sets the time to the end, and returns the number of tasks run. */
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
