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
 * Model of a stand-in node without sockets: slots that run requests, a queue, a cold start after which the node warms up with
 * time and with work, and a crash when a cold node is overloaded. Times are in nanoseconds and must not decrease.
 */
final class NodeModel {
    /**
     * A kind of machine.
     *
     * @param slots how many requests run at a time
     * @param speed speed of a warm slot relative to a slot of the reference machine (speed 1)
     * @param queue how many requests may wait for a slot; further ones are rejected without being run
     * @param coldFrom fraction of its capacity that a node has just after its start
     * @param warmUpNanos time after which a started node is warm at the latest
     * @param overloadFactor a cold node crashes when it receives more work than this many times its current capacity
     * @param overloadForNanos time over which the overload factor counts
     */
    record Machine(int slots, double speed, int queue, double coldFrom, long warmUpNanos, double overloadFactor,
                   long overloadForNanos) { }

    /** A request that runs or waits in the node. */
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

    /** Work that a gateway sent to the node within the overload window. */
    private record Sent(long at, int sender, double work) { }

    /** The figures of the load report; the utilisation is the fraction of the slots' time that was busy. */
    record Load(double requestsPerSecond, double utilisation, double errorsPerSecond) { }

    /** A node is warm once it has done this fraction of the work that it could do during its warm-up. */
    private static final double WARMING_WORK = 0.5;
    /** A random cluster of requests is no overload: the budget has room for this many more requests of mean work. */
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

    /** Creates a node that is warm. The listener is notified whenever a slot begins a request. */
    NodeModel(Machine machine, long reportPeriodNanos, double noise, long seed, long now, Consumer<Job> begun) {
        this.machine = machine;
        this.begun = begun;
        this.reportPeriodNanos = reportPeriodNanos;
        this.noise = noise;
        random = new SplittableRandom(seed);
        startedAt = now;
        periodStart = now;
    }

    /** Restarts the node: it is cold and has no requests. */
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

    /** Sets the factor, at least 1, by which the node works slower. Requests that already run finish as they would have. */
    void slowness(double factor) {
        slowness = Math.max(1, factor);
    }

    /** Returns the fraction of its full capacity that the node has now. */
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

    /** Returns whether the node has crashed from overload; it then stays down until it is restarted. */
    boolean hasFallen() {
        return fallen;
    }

    /**
     * Offers a request from a gateway to the node, with its work in nanoseconds of the reference machine. Returns null if the
     * node rejects the request without running it, or crashes from overload.
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

    /** Adds the work to a cold node's overload window, whether or not the request is then rejected, and checks the budget. */
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

    /** Returns the work within the overload window, in nanoseconds, above which a cold node crashes. */
    private double budget(long now) {
        double able = machine.slots() * machine.speed() * capacity(now);
        return machine.overloadFactor() * able * machine.overloadForNanos() + SLACK_REQUESTS * workSeen / jobsSeen;
    }

    /** Returns the work from each gateway within the overload window, in nanoseconds. */
    Map<Integer, Double> pressure() {
        Map<Integer, Double> bySender = new HashMap<>();
        window.forEach(sent -> bySender.merge(sent.sender, sent.work, Double::sum));
        return bySender;
    }

    /** Puts a request into a slot. */
    private void begin(long now, Job job) {
        double took = job.work * slowness / (machine.speed() * capacity(now));
        job.endsAt = now + Math.max(1, Math.round(took));
        busyNanos += took;
        running.add(job);
        begun.accept(job);
    }

    /** Handles that the sender of a request has gone: a waiting request is removed, a running one keeps its slot to the end. */
    void drop(Job job) {
        job.dropped = true;
        waiting.remove(job);
    }

    /** Returns the time at which the next request finishes, or {@link Long#MAX_VALUE} if none runs. */
    long nextAt() {
        return running.isEmpty() ? Long.MAX_VALUE : running.peek().endsAt;
    }

    /** Removes the requests that have finished by now, and returns those whose sender still waits. */
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

    /** Counts an answer that was an error, for the load report. */
    void failed() {
        errors++;
    }

    /** Returns the number of requests that run or wait. */
    int inWork() {
        return running.size() + waiting.size();
    }

    /** Returns the load report as of the last refresh. It lags by up to a report period or more, and its figures have noise. */
    Load report(long now) {
        advance(now);
        return load;
    }

    /** Refreshes the load report if the current period is over. */
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
