package cinderhollow.emulator;

import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** A node that works on one request at a time and holds so many connections; cold after its start, and it may fall over. */
final class Node {
    /** What the sender hears of it. */
    enum Fate { DONE, FULL, BROKEN }

    static final class Job {
        private final double work;
        private final Consumer<Fate> told;
        private boolean dropped;

        private Job(double work, Consumer<Fate> told) {
            this.work = work;
            this.told = told;
        }
    }

    private record Sent(long at, double work) { }

    private static final long REPORT_NANOS = 250_000_000L;
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
    /** Whether the list names it as one to use. */
    boolean listed = true;
    /** Whether it was pushed over while cold. */
    boolean fallen;
    /** What it did in the report's period, and the report as it was last made. */
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

    void slow(double factor) {
        slowness = factor;
    }

    void silent(boolean on) {
        silent = on;
        if (!on && running == null) {
            next();
        }
    }

    /** Its process dies: what it has is reset. */
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

    /** A new process at the same place, cold. */
    void start() {
        down = false;
        silent = false;
        slowness = 1;
        workDone = 0;
        window.clear();
        inWindow = 0;
        info = new ServerInfo(info.id(), info.zone(), info.kind(), info.cell(), Readiness.READY, 1, time.now());
    }

    boolean isDown() {
        return down || fallen;
    }

    int generation() {
        return generation;
    }

    /** Takes up one more connection, if there is a place for it. */
    boolean connect() {
        if (isDown() || connections >= scenario.shapes().connections()) {
            return false;
        }
        connections++;
        return true;
    }

    void disconnect(int fromGeneration) {
        connections -= fromGeneration == generation ? 1 : 0;
    }

    int connections() {
        return connections;
    }

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

    /** Work done a nanosecond now. */
    private double pace() {
        double full = Math.min(1, (double) connections / scenario.shapes().connections());
        return speed * warmth() * (1 - scenario.shapes().fullTax() * full) / slowness;
    }

    /** A request of so much work has come whole; what becomes of it is told once. */
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

    /** The rule on cold nodes, by work sent within its window. */
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

    /** Its sender has gone: what waits is dropped, what runs runs on. */
    void drop(Job job) {
        job.dropped = true;
        queue.remove(job);
    }

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

    /** As it was last made. */
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
