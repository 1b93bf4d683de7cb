package cinderhollow.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Result of a run: statistics of the clients, the auditor's verdict and the gateways' CPU time. */
public final class Report {
    /**
     * Summary of one second of a run.
     *
     * @param second number of the second, from 1
     * @param served requests served in it
     * @param refused requests refused in it
     * @param failed requests that failed or ended without an answer in it
     * @param retries retries of clients in it
     * @param p50Millis median latency of the served requests
     * @param p99Millis 99th percentile of that latency
     * @param nodesUp nodes that are up at its end
     * @param nodes all nodes
     * @param activeFaults faults that are active at its end
     */
    public record Progress(long second, long served, long refused, long failed, long retries, double p50Millis,
                         double p99Millis, long nodesUp, long nodes, List<String> activeFaults) {
        /** Returns the summary as one line with columns of fixed width. */
        @Override
        public String toString() {
            return String.format(Locale.ROOT,
                    "%4ds  served %5d  refused %4d  failed %4d  retries %4d  p50 %6.1fms  p99 %6.1fms  nodes %d/%d  %s",
                    second, served, refused, failed, retries, p50Millis, p99Millis, nodesUp, nodes,
                    activeFaults.isEmpty() ? "" : String.join(", ", activeFaults)).stripTrailing();
        }
    }

    private static final int LATENESS_NOTE_MILLIS = 50;

    private final FleetConfig fleetConfig;
    private final FaultPlan plan;
    private final Map<String, Map<String, Object>> byClass = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> byGateway = new LinkedHashMap<>();
    private final Map<String, Object> totals;
    private final long openMalformedConnections;
    private final Auditor.Counts auditCounts;
    private final List<Breach> breaches;
    private final long breachCount;
    private final long answeredLate;
    private final double worstLatenessMillis;
    private final double gatewayCpuSeconds;

    Report(FleetConfig fleetConfig, FaultPlan plan, RequestStats totals, Map<String, RequestStats> byClass, Map<String,
            RequestStats> byGateway, long openMalformedConnections,
           Auditor.Counts auditCounts, Map<String, Long> attemptCounts, List<Breach> breaches, long breachCount,
           long answeredLate, long worstLatenessNanos,
           double gatewayCpuSeconds) {
        this.answeredLate = answeredLate;
        this.fleetConfig = fleetConfig;
        this.plan = plan;
        this.totals = totals.toMap();
        byClass.forEach((name, stats) -> this.byClass.put(name, stats.toMap()));
        byGateway.forEach((name, stats) -> {
            Map<String, Object> row = stats.toMap();
            row.put("sends", attemptCounts.getOrDefault(name, 0L));
            this.byGateway.put(name, row);
        });
        this.openMalformedConnections = openMalformedConnections;
        this.auditCounts = auditCounts;
        this.breaches = List.copyOf(breaches);
        this.breachCount = breachCount;
        worstLatenessMillis = worstLatenessNanos / 1e6;
        this.gatewayCpuSeconds = gatewayCpuSeconds;
    }

    /** Returns whether no rule was broken and every request could be checked. */
    public boolean isClean() {
        return breachCount == 0 && auditCounts.unaudited() == 0;
    }

    /** Returns the number of overload crashes of cold nodes that were not judged because the lab itself ran too late. */
    public long unjudgedOverloadCrashes() {
        return auditCounts.unjudgedOverloadCrashes();
    }

    /** Returns the first breaches, up to a bound. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** Returns the fraction of the requests that were served within their aim. */
    public double inAimFraction() {
        return figureOf(totals, "in_aim") / Math.max(1, figureOf(totals, "asked"));
    }

    /** Returns the number of requests of all clients, each counted once however often it was tried. */
    public long requests() {
        return (long) figureOf(totals, "asked");
    }

    /** Returns the number of requests that were answered with 200. */
    public long served() {
        return (long) figureOf(totals, "served");
    }

    /** Returns the number of connections with a malformed request that got neither an error nor a close. */
    public long openMalformedConnections() {
        return openMalformedConnections;
    }

    /** Returns the worst lateness of the lab itself, in milliseconds. */
    public double worstLatenessMillis() {
        return worstLatenessMillis;
    }

    /** Returns the number of answers after their client's deadline and the slack; from half a second late they count as lost. */
    public long answeredLate() {
        return answeredLate;
    }

    /** Returns a figure of a class's tries at a gateway, by its name in the rows of {@code --json}, such as {@code sends}. */
    public double gatewayFigure(int gateway, String requestClass, String figure) {
        return figureOf(byGateway.get(LabNames.gatewayClassKey(gateway, requestClass)), figure);
    }

    /** Returns the CPU time of all gateways, divided by the number of clients' requests, in microseconds. */
    public double cpuMicrosPerRequest() {
        return gatewayCpuSeconds * 1e6 / Math.max(1, figureOf(totals, "asked"));
    }

    private static double figureOf(Map<String, Object> row, String name) {
        return ((Number) row.get(name)).doubleValue();
    }

    /** Returns the report as a map, for programs. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("seed", fleetConfig.seed());
        map.put("nodes", fleetConfig.nodes());
        map.put("gateways", fleetConfig.gateways());
        map.put("rate", fleetConfig.rate());
        map.put("seconds", fleetConfig.seconds());
        map.put("plan", plan.faults().stream().map(Fault::toString).toList());
        map.put("all", totals);
        map.put("classes", byClass);
        map.put("gateways_tries", byGateway);
        map.put("gateway_cpu_us_per_request", cpuMicrosPerRequest());
        map.put("rude_left", openMalformedConnections);
        Map<String, Object> audit = new LinkedHashMap<>();
        audit.put("tries", auditCounts.requests());
        audit.put("excused_by_kills", auditCounts.excused());
        audit.put("unaudited", auditCounts.unaudited());
        audit.put("falls_not_judged", auditCounts.unjudgedOverloadCrashes());
        audit.put("answered_late", answeredLate);
        audit.put("lab_late_ms", worstLatenessMillis);
        audit.put("breaches", breachCount);
        audit.put("first_breaches", breaches.stream().map(Breach::toString).toList());
        map.put("audit", audit);
        map.put("clean", isClean());
        return map;
    }

    /** Returns {@link #toMap} as JSON. */
    public String toJson() {
        return StandInDiscovery.toJson(toMap());
    }

    /** Returns the report for people: a table by class and by gateway, and the verdict. */
    @Override
    public String toString() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(Locale.ROOT, "%-12s %9s %9s %9s %8s %8s %6s %7s %8s %8s %8s", "requests", "asked", "served",
                "in aim", "refused", "failed", "left", "broken", "retries", "p50 ms", "p99 ms"));
        byClass.forEach((name, row) -> lines.add(formatRow(name, row)));
        lines.add(formatRow("all", totals));
        lines.add(String.format(Locale.ROOT, "%-12s (tries; a try that is refused may be served elsewhere)", "gateways"));
        byGateway.forEach((name, row) -> lines.add(formatRow(name, row) + "   sends " + row.get("sends")));
        lines.add(String.format(Locale.ROOT, "gateways' CPU for a request: %.0f us", cpuMicrosPerRequest()));
        if (openMalformedConnections > 0) {
            lines.add(openMalformedConnections + " rude connections got neither an error nor a close");
        }
        if (worstLatenessMillis > LATENESS_NOTE_MILLIS) {
            lines.add(String.format(Locale.ROOT, "the lab itself ran up to %.0f ms late; limits of time were judged with "
                    + "that in mind", worstLatenessMillis));
        }
        if (answeredLate > 0) {
            lines.add(answeredLate + " answers came after their client's time");
        }
        breaches.forEach(breach -> lines.add(breach.toString()));
        String auditSummary = auditCounts.requests() + " tries, " + auditCounts.excused() + " excused by kills, "
                + auditCounts.unaudited()
                + " not looked at" + (auditCounts.unjudgedOverloadCrashes() > 0 ? ", " + auditCounts.unjudgedOverloadCrashes()
                + " falls not judged" : "");
        lines.add(isClean() ? "auditor: clean (" + auditSummary + ")"
                : "auditor: " + breachCount + " breaches of the rules (" + auditSummary + ")");
        return String.join("\n", lines);
    }

    private static String formatRow(String name, Map<String, Object> row) {
        return String.format(Locale.ROOT, "%-12s %9s %9s %9s %8s %8s %6s %7s %8s %8.1f %8.1f", name, row.get("asked"),
                row.get("served"), row.get("in_aim"), row.get("refused"), row.get("failed"), row.get("left"),
                row.get("broken"), row.get("retries"), row.get("p50_ms"), row.get("p99_ms"));
    }
}
