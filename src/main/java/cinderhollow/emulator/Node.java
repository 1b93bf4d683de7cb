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
    enum Fate { DONE, FULL, BROKEN }

    /** A request at the node, with its work in nanoseconds on a machine of speed 1 and the callback for its result. */
    static final class Job {
        private final double work;
        private final Consumer<Fate> told;
        private boolean dropped;

        private Job(double work, Consumer<Fate> told) {
            this.work = work;
            this.told = told;
        }
    }

    /** Work that arrived at a cold node, and when. */
    private record Sent(long at, double work) { }

    /** Shortest time between two load reports. */
    private static final long REPORT_NANOS = 250_000_000L;
    /**
     * Units in nanoseconds; the part of its capacity during the warm-up after which a node is warm even before the warm-up time
     * has passed; and the number of mean requests that a cold node accepts beyond its overload limit.
     */
    private static final double SECOND = 1e9, MS = 1e6, WARMING_WORK = 0.5, SLACK_REQUESTS = 5;

    private final Timeline time;
    private final Scenario scenario;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<Sent> window = new ArrayDeque<>();
    final double speed;
    ServerInfo info;
    private double slowness = 1;
    private boolean silent;
    private boolean down;
    private Job running;
    private int generation;
    private int connections;
    private double workDone;
    private double inWindow;
    /** Whether the server list has it as usable. */
    boolean listed = true;
    /** Whether it crashed by overload while cold; such a node stays down. */
    boolean fallen;
    /** Busy time in nanoseconds and jobs completed within the current report period, its start, and the latest report. */
    private double busy;
    private int done;
    private long periodStart;
    private LoadReport report = new LoadReport(0, 0, 0, 0, 0, 0);

    Node(Timeline time, Scenario scenario, String id, String zone, double speed, long startedAt) {
        this.time = time;
        this.scenario = scenario;
        this.speed = speed;
        info = new ServerInfo(id, zone, speed < 0.8 ? "eco" : "std", 0, Readiness.READY, 1, startedAt);
        periodStart = time.now();
    }

    /** Makes the node slower than usual by this factor; 1 is the usual speed. */
    void slow(double factor) {
        slowness = factor;
    }

    /** Starts or ends silence: a silent node starts no job and reports no result, but keeps its connections and queue. */
    void silent(boolean on) {
        silent = on;
        if (!on && running == null) {
            next();
        }
    }

    /** Stops the node's process: running and queued jobs are reset, and all connections are closed. */
    void stop() {
        down = true;
        generation++;
        ArrayDeque<Job> lost = new ArrayDeque<>(queue);
        if (running != null) {
            lost.addFirst(running);
        }
        running = null;
        queue.clear();
        connections = 0;
        lost.forEach(job -> job.told.accept(Fate.BROKEN));
    }

    /** Starts a new process on the same node; it is cold. */
    void start() {
        down = false;
        silent = false;
        slowness = 1;
        workDone = 0;
        window.clear();
        inWindow = 0;
        info = new ServerInfo(info.id(), info.zone(), info.machineType(), info.cell(), Readiness.READY, 1, time.now());
    }

    boolean isDown() {
        return down || fallen;
    }

    /** Returns the number of stops so far; a connection is valid only in the generation in which it was made. */
    int generation() {
        return generation;
    }

    /** Accepts one more connection and returns true, or returns false if the node is down or at its connection limit. */
    boolean connect() {
        if (isDown() || connections >= scenario.shapes().connections()) {
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
    private double warmth() {
        if (info.startedAtNanos() == 0) {
            return 1;
        }
        double warmUp = scenario.shapes().warmUpMillis() * MS;
        double byTime = (time.now() - info.startedAtNanos()) / warmUp;
        double whole = speed * warmUp * (1 + scenario.shapes().coldFrom()) / 2;
        double warm = Math.min(1, Math.max(byTime, workDone / (whole * WARMING_WORK)));
        return scenario.shapes().coldFrom() + (1 - scenario.shapes().coldFrom()) * warm;
    }

    /** Returns the work done per nanosecond now; open connections and a slowdown reduce it. */
    private double pace() {
        double full = Math.min(1, (double) connections / scenario.shapes().connections());
        return speed * warmth() * (1 - scenario.shapes().fullTax() * full) / slowness;
    }

    /** Receives a complete request with this work in nanoseconds at speed 1; the callback gets its result at most once. */
    Job offer(double work, Consumer<Fate> told) {
        Job job = new Job(work, told);
        if (isDown()) {
            told.accept(Fate.BROKEN);
            return job;
        }
        press(work);
        if (fallen) {
            stop();
            told.accept(Fate.BROKEN);
        } else if (queue.size() >= scenario.shapes().queue()) {
            told.accept(Fate.FULL);
        } else {
            queue.add(job);
            if (running == null) {
                next();
            }
        }
        return job;
    }

    /** Crashes a cold node if the work that arrived within the overload window exceeds the limit for its current capacity. */
    private void press(double work) {
        if (warmth() >= 1) {
            window.clear();
            inWindow = 0;
            return;
        }
        double forNanos = scenario.shapes().overloadForMillis() * MS;
        window.add(new Sent(time.now(), work));
        inWindow += work;
        while (window.peekFirst().at <= time.now() - forNanos) {
            inWindow -= window.pollFirst().work;
        }
        fallen = inWindow > scenario.shapes().overloadFactor() * speed * warmth() * forNanos
                + SLACK_REQUESTS * scenario.meanWork();
    }

    /** Drops a job whose sender has left: a queued job is removed, a running one continues but its completion is not reported. */
    void drop(Job job) {
        job.dropped = true;
        queue.remove(job);
    }

    /** Starts the next job of the queue, if there is one and the node is not silent. */
    private void next() {
        running = silent ? null : queue.poll();
        if (running == null) {
            return;
        }
        Job job = running;
        int now = generation;
        double took = job.work / pace();
        time.after(Math.max(1, Math.round(took)), () -> {
            if (generation != now) {
                return;
            }
            busy += took;
            done++;
            workDone += job.work;
            if (!job.dropped && !silent) {
                job.told.accept(Fate.DONE);
            }
            next();
        });
    }

    /** Returns the latest load report; it is renewed first if the shortest time between reports has passed. */
    LoadReport report() {
        double past = time.now() - periodStart;
        if (past >= REPORT_NANOS) {
            report = new LoadReport(done * SECOND / past, Math.min(1, busy / past), 0, Double.NaN, Double.NaN, Double.NaN);
            busy = 0;
            done = 0;
            periodStart = time.now();
        }
        return report;
    }
}
