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
     * @param relativeSpeed speed of a warm slot relative to a slot of the reference machine (speed 1)
     * @param maxQueued how many requests may wait for a slot; further ones are rejected without being run
     * @param coldCapacityFraction fraction of its capacity that a node has just after its start
     * @param warmUpNanos time after which a started node is warm at the latest
     * @param overloadFactor a cold node crashes when it receives more work than this many times its current capacity
     * @param overloadWindowNanos time over which the overload factor counts
     */
    record Machine(int slots, double relativeSpeed, int maxQueued, double coldCapacityFraction, long warmUpNanos,
            double overloadFactor,
                   long overloadWindowNanos) { }

    /** A request that runs or waits in the node. */
    static final class Job {
        final String id;
        final double workNanos;
        private long endsAtNanos;
        private boolean abandoned;

        private Job(String id, double workNanos) {
            this.id = id;
            this.workNanos = workNanos;
        }
    }

    /** Work that a gateway sent to the node within the overload window. */
    private record ReceivedWork(long atNanos, int gateway, double workNanos) { }

    /** The figures of the load report; the utilisation is the fraction of the slots' time that was busy. */
    record LoadReport(double requestsPerSecond, double utilisation, double errorsPerSecond) { }

    /** A node is warm once it has done this fraction of the work that it could do during its warm-up. */
    private static final double WARM_UP_WORK_FRACTION = 0.5;
    /** A random cluster of requests is no overload: the budget has room for this many more requests of mean work. */
    private static final double OVERLOAD_SLACK_REQUESTS = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Machine machine;
    private final Consumer<Job> startListener;
    private final long reportPeriodNanos;
    private final double reportNoiseFraction;
    private final SplittableRandom random;
    private final PriorityQueue<Job> runningJobs = new PriorityQueue<>((a, b) -> Long.compare(a.endsAtNanos, b.endsAtNanos));
    private final ArrayDeque<Job> queuedJobs = new ArrayDeque<>();
    private final ArrayDeque<ReceivedWork> overloadWindow = new ArrayDeque<>();
    private long startedAtNanos;
    private boolean cold;
    private double completedWorkNanos;
    private double workInWindowNanos;
    private double receivedWorkNanos;
    private long receivedJobs;
    private double slowdownFactor = 1;
    private boolean crashedFromOverload;
    private long periodStartNanos;
    private double busyNanos;
    private long finishedInPeriod;
    private long errorsInPeriod;
    private LoadReport loadReport = new LoadReport(0, 0, 0);

    /** Creates a node that is warm. The listener is notified whenever a slot begins a request. */
    NodeModel(Machine machine, long reportPeriodNanos, double reportNoiseFraction, long seed, long now,
            Consumer<Job> startListener) {
        this.machine = machine;
        this.startListener = startListener;
        this.reportPeriodNanos = reportPeriodNanos;
        this.reportNoiseFraction = reportNoiseFraction;
        random = new SplittableRandom(seed);
        startedAtNanos = now;
        periodStartNanos = now;
    }

    /** Restarts the node: it is cold and has no requests. */
    void restart(long now) {
        startedAtNanos = now;
        cold = true;
        crashedFromOverload = false;
        completedWorkNanos = 0;
        slowdownFactor = 1;
        runningJobs.clear();
        queuedJobs.clear();
        overloadWindow.clear();
        workInWindowNanos = 0;
        periodStartNanos = now;
        loadReport = new LoadReport(0, 0, 0);
    }

    /** Sets the factor, at least 1, by which the node works slower. Requests that already run finish as they would have. */
    void setSlowdownFactor(double factor) {
        slowdownFactor = Math.max(1, factor);
    }

    /** Returns the fraction of its full capacity that the node has now. */
    double capacityFraction(long now) {
        if (!cold) {
            return 1;
        }
        double timeFraction = (double) (now - startedAtNanos) / Math.max(1, machine.warmUpNanos());
        double warmUpWorkNanos = machine.slots() * machine.relativeSpeed() * machine.warmUpNanos() * (1
                + machine.coldCapacityFraction()) / 2;
        double warmFraction = Math.max(timeFraction, completedWorkNanos / Math.max(1, warmUpWorkNanos * WARM_UP_WORK_FRACTION));
        if (warmFraction >= 1) {
            cold = false;
            return 1;
        }
        return machine.coldCapacityFraction() + (1 - machine.coldCapacityFraction()) * warmFraction;
    }

    /** Returns whether the node has crashed from overload; it then stays down until it is restarted. */
    boolean hasCrashedFromOverload() {
        return crashedFromOverload;
    }

    /**
     * Offers a request from a gateway to the node, with its work in nanoseconds of the reference machine. Returns null if the
     * node rejects the request without running it, or crashes from overload.
     */
    Job offer(long now, String id, int gateway, double workNanos) {
        refreshReport(now);
        trackOverload(now, gateway, workNanos);
        if (crashedFromOverload) {
            return null;
        }
        Job job = new Job(id, workNanos);
        if (runningJobs.size() < machine.slots()) {
            startJob(now, job);
        } else if (queuedJobs.size() < machine.maxQueued()) {
            queuedJobs.add(job);
        } else {
            return null;
        }
        return job;
    }

    /** Adds the work to a cold node's overload window, whether or not the request is then rejected, and checks the budget. */
    private void trackOverload(long now, int gateway, double workNanos) {
        receivedWorkNanos += workNanos;
        receivedJobs++;
        if (capacityFraction(now) >= 1) {
            overloadWindow.clear();
            workInWindowNanos = 0;
            return;
        }
        overloadWindow.add(new ReceivedWork(now, gateway, workNanos));
        workInWindowNanos += workNanos;
        while (overloadWindow.peekFirst().atNanos <= now - machine.overloadWindowNanos()) {
            workInWindowNanos -= overloadWindow.pollFirst().workNanos;
        }
        crashedFromOverload |= workInWindowNanos > overloadBudgetNanos(now);
    }

    /** Returns the work within the overload window, in nanoseconds, above which a cold node crashes. */
    private double overloadBudgetNanos(long now) {
        double currentCapacity = machine.slots() * machine.relativeSpeed() * capacityFraction(now);
        return machine.overloadFactor() * currentCapacity * machine.overloadWindowNanos()
                + OVERLOAD_SLACK_REQUESTS * receivedWorkNanos / receivedJobs;
    }

    /** Returns the work from each gateway within the overload window, in nanoseconds. */
    Map<Integer, Double> workByGateway() {
        Map<Integer, Double> totals = new HashMap<>();
        overloadWindow.forEach(sent -> totals.merge(sent.gateway, sent.workNanos, Double::sum));
        return totals;
    }

    /** Puts a request into a slot. */
    private void startJob(long now, Job job) {
        double durationNanos = job.workNanos * slowdownFactor / (machine.relativeSpeed() * capacityFraction(now));
        job.endsAtNanos = now + Math.max(1, Math.round(durationNanos));
        busyNanos += durationNanos;
        runningJobs.add(job);
        startListener.accept(job);
    }

    /** Handles that the sender of a request has gone: a waiting request is removed, a running one keeps its slot to the end. */
    void abandon(Job job) {
        job.abandoned = true;
        queuedJobs.remove(job);
    }

    /** Returns the time at which the next request finishes, or {@link Long#MAX_VALUE} if none runs. */
    long nextFinishAtNanos() {
        return runningJobs.isEmpty() ? Long.MAX_VALUE : runningJobs.peek().endsAtNanos;
    }

    /** Removes the requests that have finished by now, and returns those whose sender still waits. */
    List<Job> takeFinished(long now) {
        List<Job> finishedJobs = new ArrayList<>();
        while (!runningJobs.isEmpty() && runningJobs.peek().endsAtNanos <= now) {
            Job job = runningJobs.poll();
            completedWorkNanos += job.workNanos;
            finishedInPeriod++;
            if (!job.abandoned) {
                finishedJobs.add(job);
            }
            Job next = queuedJobs.poll();
            if (next != null) {
                startJob(Math.max(job.endsAtNanos, startedAtNanos), next);
            }
        }
        return finishedJobs;
    }

    /** Counts an answer that was an error, for the load report. */
    void recordError() {
        errorsInPeriod++;
    }

    /** Returns the number of requests that run or wait. */
    int jobCount() {
        return runningJobs.size() + queuedJobs.size();
    }

    /** Returns the load report as of the last refresh. It lags by up to a report period or more, and its figures have noise. */
    LoadReport report(long now) {
        refreshReport(now);
        return loadReport;
    }

    /** Refreshes the load report if the current period is over. */
    private void refreshReport(long now) {
        long elapsedNanos = now - periodStartNanos;
        if (elapsedNanos >= reportPeriodNanos) {
            double seconds = elapsedNanos / NANOS_PER_SECOND;
            loadReport = new LoadReport(addNoise(finishedInPeriod / seconds),
                    Math.min(1, addNoise(busyNanos / (elapsedNanos * (double) machine.slots()))),
                    addNoise(errorsInPeriod / seconds));
            finishedInPeriod = 0;
            errorsInPeriod = 0;
            busyNanos = 0;
            periodStartNanos = now;
        }
    }

    private double addNoise(double value) {
        return Math.max(0, value * (1 + reportNoiseFraction * (2 * random.nextDouble() - 1)));
    }
}
