package cinderhollow.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * How a stand-in node works, without sockets: slots that run requests, a waiting room, a cold start that warms with
 * time and with work, and a fall where a cold node is pushed over. Times are nanoseconds and never go back.
 */
final class NodeModel {
    /**
     * A kind of machine.
     *
     * @param slots how many requests run at a time
     * @param speed work done a second by a warm slot, of a yardstick machine's
     * @param queue how many wait beyond the slots; more are turned away unseen
     * @param coldFrom the share of its capacity that a node has just after its start
     * @param warmUpNanos when it is warm at the latest
     * @param overloadFactor a cold node that is sent more than so many times its present capacity
     * @param overloadForNanos within so long, falls over
     */
    record Machine(int slots, double speed, int queue, double coldFrom, long warmUpNanos, double overloadFactor,
                   long overloadForNanos) { }

    /** One request as it stands in the node. */
    static final class Job {
        final String id;
        final double work;
        private long endsAt;
        private boolean dropped;

        private Job(String id, double work) {
            this.id = id;
            this.work = work;
        }
    }

    /** What came within the window of the overload rule. */
    private record Sent(long at, int sender, double work) { }

    /** Requests a second, the part of the slots that were busy, errors a second: the load report's figures. */
    record Load(double requestsPerSecond, double utilisation, double errorsPerSecond) { }

    /** Half of the work that a node could do while warming makes it warm. */
    private static final double WARMING_WORK = 0.5;
    /** Some requests above the budget are chance: so many of the usual size. */
    private static final double SLACK_REQUESTS = 5;
    private static final double NANOS = 1e9;

    private final Machine machine;
    private final Consumer<Job> begun;
    private final long reportPeriodNanos;
    private final double noise;
    private final SplittableRandom random;
    private final PriorityQueue<Job> running = new PriorityQueue<>((a, b) -> Long.compare(a.endsAt, b.endsAt));
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<Sent> window = new ArrayDeque<>();
    private long startedAt;
    private boolean cold;
    private double workDone;
    private double sentInWindow;
    private double workSeen;
    private long jobsSeen;
    private double slowness = 1;
    private boolean fallen;
    private long periodStart;
    private double busyNanos;
    private long served;
    private long errors;
    private Load load = new Load(0, 0, 0);

    /** A node that has long been up; it tells of each request that a slot takes up. */
    NodeModel(Machine machine, long reportPeriodNanos, double noise, long seed, long now, Consumer<Job> begun) {
        this.machine = machine;
        this.begun = begun;
        this.reportPeriodNanos = reportPeriodNanos;
        this.noise = noise;
        random = new SplittableRandom(seed);
        startedAt = now;
        periodStart = now;
    }

    /** The process starts anew: cold, with nothing in work. */
    void restart(long now) {
        startedAt = now;
        cold = true;
        fallen = false;
        workDone = 0;
        slowness = 1;
        running.clear();
        waiting.clear();
        window.clear();
        sentInWindow = 0;
        periodStart = now;
        load = new Load(0, 0, 0);
    }

    /** Works slower by this factor from now on; what is in a slot already ends as it would have. */
    void slowness(double factor) {
        slowness = Math.max(1, factor);
    }

    /** The share of its full capacity that the node has now. */
    double capacity(long now) {
        if (!cold) {
            return 1;
        }
        double byTime = (double) (now - startedAt) / Math.max(1, machine.warmUpNanos());
        double whole = machine.slots() * machine.speed() * machine.warmUpNanos() * (1 + machine.coldFrom()) / 2;
        double warm = Math.max(byTime, workDone / Math.max(1, whole * WARMING_WORK));
        if (warm >= 1) {
            cold = false;
            return 1;
        }
        return machine.coldFrom() + (1 - machine.coldFrom()) * warm;
    }

    /** Whether it was pushed over: it stays down until it is started anew. */
    boolean hasFallen() {
        return fallen;
    }

    /**
     * A request of so much work, in nanoseconds of a yardstick machine, has reached the node from this gateway.
     * Null where the node turns it away unseen, or falls over.
     */
    Job offer(long now, String id, int sender, double work) {
        advance(now);
        press(now, sender, work);
        if (fallen) {
            return null;
        }
        Job job = new Job(id, work);
        if (running.size() < machine.slots()) {
            begin(now, job);
        } else if (waiting.size() < machine.queue()) {
            waiting.add(job);
        } else {
            return null;
        }
        return job;
    }

    /** Counts what reaches a cold node, whether or not it is turned away. */
    private void press(long now, int sender, double work) {
        workSeen += work;
        jobsSeen++;
        if (capacity(now) >= 1) {
            window.clear();
            sentInWindow = 0;
            return;
        }
        window.add(new Sent(now, sender, work));
        sentInWindow += work;
        while (window.peekFirst().at <= now - machine.overloadForNanos()) {
            sentInWindow -= window.pollFirst().work;
        }
        fallen |= sentInWindow > budget(now);
    }

    private double budget(long now) {
        double able = machine.slots() * machine.speed() * capacity(now);
        return machine.overloadFactor() * able * machine.overloadForNanos() + SLACK_REQUESTS * workSeen / jobsSeen;
    }

    /** The work of each gateway within the window that the node fell in. */
    Map<Integer, Double> pressure() {
        Map<Integer, Double> bySender = new HashMap<>();
        window.forEach(sent -> bySender.merge(sent.sender, sent.work, Double::sum));
        return bySender;
    }

    private void begin(long now, Job job) {
        double took = job.work * slowness / (machine.speed() * capacity(now));
        job.endsAt = now + Math.max(1, Math.round(took));
        busyNanos += took;
        running.add(job);
        begun.accept(job);
    }

    /** The sender has gone: what waits is dropped, what runs runs on. */
    void drop(Job job) {
        job.dropped = true;
        waiting.remove(job);
    }

    /** The next moment at which {@link #finished} has something, or {@link Long#MAX_VALUE}. */
    long nextAt() {
        return running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAt;
    }

    /** Those that have run to their end by now and whose sender still waits. */
    List<Job> finished(long now) {
        List<Job> ended = new ArrayList<>();
        while (!running.isEmpty() && running.peek().endsAt <= now) {
            Job job = running.poll();
            workDone += job.work;
            served++;
            if (!job.dropped) {
                ended.add(job);
            }
            Job next = waiting.poll();
            if (next != null) {
                begin(Math.max(job.endsAt, startedAt), next);
            }
        }
        return ended;
    }

    /** An answer that was an error, for the load report. */
    void failed() {
        errors++;
    }

    /** Those that run or wait. */
    int inWork() {
        return running.size() + waiting.size();
    }

    /** The report as it was last refreshed: late, and a little noisy. */
    Load report(long now) {
        advance(now);
        return load;
    }

    private void advance(long now) {
        long past = now - periodStart;
        if (past >= reportPeriodNanos) {
            double seconds = past / NANOS;
            load = new Load(noisy(served / seconds), Math.min(1, noisy(busyNanos / (past * (double) machine.slots()))),
                    noisy(errors / seconds));
            served = 0;
            errors = 0;
            busyNanos = 0;
            periodStart = now;
        }
    }

    private double noisy(double value) {
        return Math.max(0, value * (1 + noise * (2 * random.nextDouble() - 1)));
    }
}
