package cinderhollow.emulator;

import java.util.PriorityQueue;

/**
 * Runs tasks in virtual time (nanoseconds), in the order of their times; tasks of one instant run in the order in which they were
 * scheduled.
 */
final class VirtualTimeScheduler {
    /** A task, the virtual time at which it runs, and its sequence number among the tasks of that time. */
    private record ScheduledTask(long atNanos, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private long now;
    private long nextSequence;

    VirtualTimeScheduler(long start) {
        now = start;
    }

    long now() {
        return now;
    }

    /** Schedules the task at the given time, or at the current time if that is in the past. */
    void scheduleAt(long atNanos, Runnable task) {
        scheduledTasks.add(new ScheduledTask(Math.max(now, atNanos), nextSequence++, task));
    }

    /** Schedules the task after a delay in nanoseconds. */
    void scheduleAfter(long nanos, Runnable task) {
        scheduleAt(now + nanos, task);
    }

    /** Runs all tasks that are due before the end, sets the time to the end, and returns the number of tasks run. */
    long runUntil(long end) {
        long executed = 0;
        while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atNanos < end) {
            ScheduledTask next = scheduledTasks.poll();
            now = next.atNanos;
            next.task.run();
            executed++;
        }
        now = Math.max(now, end);
        return executed;
    }
}
