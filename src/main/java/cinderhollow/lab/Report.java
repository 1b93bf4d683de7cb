package cinderhollow.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a run came to. */
public final class Report {
    /** One second of it. */
    public record Second(long second, long served, long refused, long failed, long retries, double p50Millis,
                         double p99Millis, long nodesUp, long nodes, List<String> goingOn) {
        /** One line, in which columns keep their places. */
        @Override
        public String toString() {
            return String.format(Locale.ROOT,
                    "%4ds  served %5d  refused %4d  failed %4d  retries %4d  p50 %6.1fms  p99 %6.1fms  nodes %d/%d  %s",
                    second, served, refused, failed, retries, p50Millis, p99Millis, nodesUp, nodes,
                    goingOn.isEmpty() ? "" : String.join(", ", goingOn)).stripTrailing();
        }
    }

    private static final int LATE_MILLIS = 50;

    private final Site site;
    private final Plan plan;
    private final Map<String, Map<String, Object>> byClass = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> byGateway = new LinkedHashMap<>();
    private final Map<String, Object> all;
    private final long rudeLeft;
    private final Auditor.Counts counts;
    private final List<Breach> breaches;
    private final long breachCount;
    private final long answeredLate;
    private final double worstLateMillis;
    private final double cpuSeconds;

    Report(Site site, Plan plan, Tally all, Map<String, Tally> byClass, Map<String, Tally> byGateway, long rudeLeft,
           Auditor.Counts counts, Map<String, Long> sends, List<Breach> breaches, long breachCount, long answeredLate, long lateNanos,
           double cpuSeconds) {
        this.answeredLate = answeredLate;
        this.site = site;
        this.plan = plan;
        this.all = all.row();
        byClass.forEach((name, tally) -> this.byClass.put(name, tally.row()));
        byGateway.forEach((name, tally) -> {
            Map<String, Object> row = tally.row();
            row.put("sends", sends.getOrDefault(name, 0L));
            this.byGateway.put(name, row);
        });
        this.rudeLeft = rudeLeft;
        this.counts = counts;
        this.breaches = List.copyOf(breaches);
        this.breachCount = breachCount;
        worstLateMillis = lateNanos / 1e6;
        this.cpuSeconds = cpuSeconds;
    }

    /** Whether no rule was broken, and everything was looked at. */
    public boolean isClean() {
        return breachCount == 0 && counts.unaudited() == 0;
    }

    /** Falls of cold nodes that could not be judged since the lab itself ran too late. */
    public long fallsNotJudged() {
        return counts.unjudgedFalls();
    }

    /** The breaches, the first ones of many. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** The part of the requests that were served within their aim. */
    public double inAim() {
        return number(all, "in_aim") / Math.max(1, number(all, "asked"));
    }

    /** Requests that clients asked for, and of these the served. */
    public long asked() {
        return (long) number(all, "asked");
    }

    /** Those with a 200 answer. */
    public long served() {
        return (long) number(all, "served");
    }

    /** Rude connections with neither an error nor a close. */
    public long rudeLeft() {
        return rudeLeft;
    }

    /** The worst that the lab itself was late, in milliseconds. */
    public double worstLateMillis() {
        return worstLateMillis;
    }

    /** Answers that came after their client's time: they earn nothing, and are lost from half a second on. */
    public long answeredLate() {
        return answeredLate;
    }

    /** A figure of the tries of one class at one gateway: a name of {@code --json}'s rows, or {@code sends}. */
    public double ofGateway(int gateway, String requestClass, String figure) {
        return number(byGateway.get(Names.gatewayAndClass(gateway, requestClass)), figure);
    }

    /** CPU time of all gateways for one request that a client asked for, in microseconds. */
    public double cpuMicrosPerRequest() {
        return cpuSeconds * 1e6 / Math.max(1, number(all, "asked"));
    }

    private static double number(Map<String, Object> row, String name) {
        return ((Number) row.get(name)).doubleValue();
    }

    /** For programs. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("seed", site.seed());
        map.put("nodes", site.nodes());
        map.put("gateways", site.gateways());
        map.put("rate", site.rate());
        map.put("seconds", site.seconds());
        map.put("plan", plan.faults().stream().map(Fault::toString).toList());
        map.put("all", all);
        map.put("classes", byClass);
        map.put("gateways_tries", byGateway);
        map.put("gateway_cpu_us_per_request", cpuMicrosPerRequest());
        map.put("rude_left", rudeLeft);
        Map<String, Object> audit = new LinkedHashMap<>();
        audit.put("tries", counts.asked());
        audit.put("excused_by_kills", counts.excused());
        audit.put("unaudited", counts.unaudited());
        audit.put("falls_not_judged", counts.unjudgedFalls());
        audit.put("answered_late", answeredLate);
        audit.put("lab_late_ms", worstLateMillis);
        audit.put("breaches", breachCount);
        audit.put("first_breaches", breaches.stream().map(Breach::toString).toList());
        map.put("audit", audit);
        map.put("clean", isClean());
        return map;
    }

    /** The same as JSON. */
    public String toJson() {
        return StandInDiscovery.json(toMap());
    }

    /** For people: a table by class and by gateway, and the verdict. */
    @Override
    public String toString() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(Locale.ROOT, "%-12s %9s %9s %9s %8s %8s %6s %7s %8s %8s %8s", "requests", "asked", "served",
                "in aim", "refused", "failed", "left", "broken", "retries", "p50 ms", "p99 ms"));
        byClass.forEach((name, row) -> lines.add(line(name, row)));
        lines.add(line("all", all));
        lines.add(String.format(Locale.ROOT, "%-12s (tries; a try that is refused may be served elsewhere)", "gateways"));
        byGateway.forEach((name, row) -> lines.add(line(name, row) + "   sends " + row.get("sends")));
        lines.add(String.format(Locale.ROOT, "gateways' CPU for a request: %.0f us", cpuMicrosPerRequest()));
        if (rudeLeft > 0) {
            lines.add(rudeLeft + " rude connections got neither an error nor a close");
        }
        if (worstLateMillis > LATE_MILLIS) {
            lines.add(String.format(Locale.ROOT, "the lab itself ran up to %.0f ms late; limits of time were judged with "
                    + "that in mind", worstLateMillis));
        }
        if (answeredLate > 0) {
            lines.add(answeredLate + " answers came after their client's time");
        }
        breaches.forEach(breach -> lines.add(breach.toString()));
        String looked = counts.asked() + " tries, " + counts.excused() + " excused by kills, " + counts.unaudited()
                + " not looked at" + (counts.unjudgedFalls() > 0 ? ", " + counts.unjudgedFalls() + " falls not judged" : "");
        lines.add(isClean() ? "auditor: clean (" + looked + ")"
                : "auditor: " + breachCount + " breaches of the rules (" + looked + ")");
        return String.join("\n", lines);
    }

    private static String line(String name, Map<String, Object> row) {
        return String.format(Locale.ROOT, "%-12s %9s %9s %9s %8s %8s %6s %7s %8s %8.1f %8.1f", name, row.get("asked"),
                row.get("served"), row.get("in_aim"), row.get("refused"), row.get("failed"), row.get("left"),
                row.get("broken"), row.get("retries"), row.get("p50_ms"), row.get("p99_ms"));
    }
}
