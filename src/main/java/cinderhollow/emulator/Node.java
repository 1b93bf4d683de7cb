package cinderhollow.emulator;

import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * A node that works on one request at a time, with a bounded queue and a bounded number of connections. After a start during
 * the run it is cold: it has only part of its capacity, and it crashes if it gets too much work.
 */
final class Node {
    /** What became of a job, as the gateway sees it: completed, refused because the queue was full, or reset. */
    enum JobResult { DONE, FULL, RESET }

    /** A request at the node, with its work in nanoseconds on a machine of speed 1 and the callback for its result. */
    static final class Job {
        private final double workNanos;
        private final Consumer<JobResult> callback;
        private boolean dropped;

        private Job(double workNanos, Consumer<JobResult> callback) {
            this.workNanos = workNanos;
            this.callback = callback;
        }
    }

    /** Work that arrived at a cold node, and when. */
    private record ArrivedWork(long arrivedAt, double workNanos) { }

    /** Shortest time between two load reports. */
    private static final long REPORT_INTERVAL_NANOS = 250_000_000L;
    /**
     * Units in nanoseconds; the part of its capacity during the warm-up after which a node is warm even before the warm-up time
     * has passed; and the number of mean requests that a cold node accepts beyond its overload limit.
     */
    private static final double SECOND = 1e9, MS = 1e6, WARM_UP_WORK_FRACTION = 0.5, OVERLOAD_SLACK_REQUESTS = 5;

    private final VirtualTimeScheduler scheduler;
    private final Scenario scenario;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<ArrivedWork> recentWork = new ArrayDeque<>();
    final double speed;
    ServerInfo info;
    private double slowdown = 1;
    private boolean silent;
    private boolean down;
    private Job runningJob;
    private int generation;
    private int connections;
    private double workDoneNanos;
    private double recentWorkNanos;
    /** Whether the server list has it as usable. */
    boolean listed = true;
    /** Whether it crashed by overload while cold; such a node stays down. */
    boolean crashedByOverload;
    /** Busy time in nanoseconds and jobs completed within the current report period, its start, and the latest report. */
    private double busyNanos;
    private int completedJobs;
    private long reportPeriodStart;
    private LoadReport lastReport = new LoadReport(0, 0, 0, 0, 0, 0);

    Node(VirtualTimeScheduler scheduler, Scenario scenario, String id, String zone, double speed, long startedAt) {
        this.scheduler = scheduler;
        this.scenario = scenario;
        this.speed = speed;
        info = new ServerInfo(id, zone, speed < 0.8 ? "eco" : "std", 0, Readiness.READY, 1, startedAt);
        reportPeriodStart = scheduler.now();
    }

    /** Makes the node slower than usual by this factor; 1 is the usual speed. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Starts or ends silence: a silent node starts no job and reports no result, but keeps its connections and queue. */
    void setSilent(boolean enabled) {
        silent = enabled;
        if (!enabled && runningJob == null) {
            startNextJob();
        }
    }

    /** Stops the node's process: running and queued jobs are reset, and all connections are closed. */
    void stop() {
        down = true;
        generation++;
        ArrayDeque<Job> resetJobs = new ArrayDeque<>(queue);
        if (runningJob != null) {
            resetJobs.addFirst(runningJob);
        }
        runningJob = null;
        queue.clear();
        connections = 0;
        resetJobs.forEach(job -> job.callback.accept(JobResult.RESET));
    }

    /** Starts a new process on the same node; it is cold. */
    void start() {
        down = false;
        silent = false;
        slowdown = 1;
        workDoneNanos = 0;
        recentWork.clear();
        recentWorkNanos = 0;
        info = new ServerInfo(info.id(), info.zone(), info.machineType(), info.cell(), Readiness.READY, 1, scheduler.now());
    }

    boolean isDown() {
        return down || crashedByOverload;
    }

    /** Returns the number of stops so far; a connection is valid only in the generation in which it was made. */
    int generation() {
        return generation;
    }

    /** Accepts one more connection and returns true, or returns false if the node is down or at its connection limit. */
    boolean connect() {
        if (isDown() || connections >= scenario.nodeSettings().maxConnections()) {
            return false;
        }
        connections++;
        return true;
    }

    /** Closes a connection of the given generation; it has no effect if that generation has ended. */
    void disconnect(int fromGeneration) {
        connections -= fromGeneration == generation ? 1 : 0;
    }

    int connections() {
        return connections;
    }

    /** Returns the part of its capacity that the node has now; it warms up by time or by work done, whichever is ahead. */
    private double capacityFraction() {
        if (info.startedAtNanos() == 0) {
            return 1;
        }
        double warmUpNanos = scenario.nodeSettings().warmUpMillis() * MS;
        double timeProgress = (scheduler.now() - info.startedAtNanos()) / warmUpNanos;
        double warmUpCapacityNanos = speed * warmUpNanos * (1 + scenario.nodeSettings().coldCapacityFraction()) / 2;
        double progress = Math.min(1, Math.max(timeProgress, workDoneNanos / (warmUpCapacityNanos * WARM_UP_WORK_FRACTION)));
        return scenario.nodeSettings().coldCapacityFraction() + (1 - scenario.nodeSettings().coldCapacityFraction()) * progress;
    }

    /** Returns the work done per nanosecond now; open connections and a slowdown reduce it. */
    private double effectiveSpeed() {
        double connectionUtilisation = Math.min(1, (double) connections / scenario.nodeSettings().maxConnections());
        return speed * capacityFraction() * (1 - scenario.nodeSettings()
                .connectionOverheadFraction() * connectionUtilisation) / slowdown;
    }

    /** Receives a complete request with this work in nanoseconds at speed 1; the callback gets its result at most once. */
    Job offer(double workNanos, Consumer<JobResult> callback) {
        Job job = new Job(workNanos, callback);
        if (isDown()) {
            callback.accept(JobResult.RESET);
            return job;
        }
        checkColdOverload(workNanos);
        if (crashedByOverload) {
            stop();
            callback.accept(JobResult.RESET);
        } else if (queue.size() >= scenario.nodeSettings().maxQueuedRequests()) {
            callback.accept(JobResult.FULL);
        } else {
            queue.add(job);
            if (runningJob == null) {
                startNextJob();
            }
        }
        return job;
    }

    /** Crashes a cold node if the work that arrived within the overload window exceeds the limit for its current capacity. */
    private void checkColdOverload(double workNanos) {
        if (capacityFraction() >= 1) {
            recentWork.clear();
            recentWorkNanos = 0;
            return;
        }
        double overloadWindowNanos = scenario.nodeSettings().overloadWindowMillis() * MS;
        recentWork.add(new ArrivedWork(scheduler.now(), workNanos));
        recentWorkNanos += workNanos;
        while (recentWork.peekFirst().arrivedAt <= scheduler.now() - overloadWindowNanos) {
            recentWorkNanos -= recentWork.pollFirst().workNanos;
        }
        crashedByOverload = recentWorkNanos > scenario.nodeSettings()
                .overloadFactor() * speed * capacityFraction() * overloadWindowNanos
                + OVERLOAD_SLACK_REQUESTS * scenario.meanWorkNanos();
    }

    /** Drops a job whose sender has left: a queued job is removed, a running one continues but its completion is not reported. */
    void drop(Job job) {
        job.dropped = true;
        queue.remove(job);
    }

    /** Starts the next job of the queue, if there is one and the node is not silent. */
    private void startNextJob() {
        runningJob = silent ? null : queue.poll();
        if (runningJob == null) {
            return;
        }
        Job job = runningJob;
        int startedGeneration = generation;
        double durationNanos = job.workNanos / effectiveSpeed();
        scheduler.scheduleAfter(Math.max(1, Math.round(durationNanos)), () -> {
            if (generation != startedGeneration) {
                return;
            }
            busyNanos += durationNanos;
            completedJobs++;
            workDoneNanos += job.workNanos;
            if (!job.dropped && !silent) {
                job.callback.accept(JobResult.DONE);
            }
            startNextJob();
        });
    }

    /** Returns the latest load report; it is renewed first if the shortest time between reports has passed. */
    LoadReport report() {
        double elapsedNanos = scheduler.now() - reportPeriodStart;
        if (elapsedNanos >= REPORT_INTERVAL_NANOS) {
            lastReport = new LoadReport(completedJobs * SECOND / elapsedNanos, Math.min(1, busyNanos / elapsedNanos), 0,
                    Double.NaN, Double.NaN, Double.NaN);
            busyNanos = 0;
            completedJobs = 0;
            reportPeriodStart = scheduler.now();
        }
        return lastReport;
    }
}
