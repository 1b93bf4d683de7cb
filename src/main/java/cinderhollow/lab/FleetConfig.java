package cinderhollow.lab;

import cinderhollow.lab.Auditor.Effect;
import cinderhollow.lab.Auditor.RequestSemantics;
import cinderhollow.lab.Auditor.Scope;
import cinderhollow.lab.NodeModel.Machine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Configuration of a fleet: its size, its load and the settings of its gateways.
 *
 * @param nodes number of stand-in nodes
 * @param gateways number of gateways
 * @param rate first tries a second, over all gateways
 * @param seconds duration of the arrivals
 * @param seed seed of all random draws
 * @param classes classes of the requests
 * @param abandonFraction fraction of the clients that leave before their answer
 * @param maxRetries maximum number of retries of a client
 * @param maxDescriptors limit of file descriptors that each gateway is configured with
 * @param nodeParameters parameters of the nodes' starts and drains
 * @param operatorFile the operator's file of the gateways, or null
 */
public record FleetConfig(int nodes, int gateways, double rate, long seconds, long seed, List<RequestClass> classes,
                   double abandonFraction, int maxRetries, int maxDescriptors, NodeParameters nodeParameters,
                   OperatorFile operatorFile) {
    static final List<String> ZONES = List.of("ostim", "sincan", "golbasi");
    private static final int NODES_PER_CELL = 3;
    private static final double SLOW_MACHINE_FRACTION = 0.34;

    /**
     * A class of requests as in the gateways' settings, with its mean work and its share of the load.
     *
     * @param name name of the class, which is also the first segment of its path
     * @param effect effect: safe, keyed or unsafe
     * @param dedupScope which nodes drop a repeat of a keyed request: all, zone or cell
     * @param dedupWindowMillis how long repeats are dropped
     * @param aimMillis target latency
     * @param deadlineMillis how long a client waits, over all its tries
     * @param meanWorkMillis mean work of a request, in milliseconds of a reference machine (relative speed 1)
     * @param share its share of the requests, relative to those of the other classes
     * @param worth worth of an answer
     */
    public record RequestClass(String name, String effect, String dedupScope, long dedupWindowMillis, long aimMillis,
                               long deadlineMillis, double meanWorkMillis, double share, double worth) { }

    /**
     * Parameters of the nodes' starts and drains, some of which the auditor's rules use too.
     *
     * @param coldCapacityFraction fraction of its capacity that a node has just after its start
     * @param warmUpMillis time after which a started node is warm at the latest
     * @param overloadFactor a cold node crashes when it is sent more than this many times its current capacity
     * @param overloadWindowMillis time over which the overload factor counts
     * @param drainGraceMillis how long after the notification of a drain a gateway may still send to the node
     * @param instantAnswers whether nodes answer at once, to measure gateways
     */
    public record NodeParameters(double coldCapacityFraction, long warmUpMillis, double overloadFactor, long overloadWindowMillis,
                          long drainGraceMillis, boolean instantAnswers) { }

    /** An operator's file that all gateways get or, to compare both cases within one run, every second one. */
    public record OperatorFile(String path, boolean everySecondGateway) { }

    /** The node parameters that the documentation of the first deployment states. */
    public static final NodeParameters DEFAULT_NODE_PARAMETERS = new NodeParameters(0.31, 8_400, 2.5, 1_500, 1_000, false);
    private static final long ANSWER_SLACK_MILLIS = 50, IDLE_TIMEOUT_MILLIS = 15_000, CONNECT_TIMEOUT_MILLIS = 250;

    /**
     * Checks the sizes, so that a run does not fail later.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public FleetConfig {
        classes = List.copyOf(classes);
        require(nodes >= 1 && nodes <= 10_000, "nodes", nodes, "1 to 10000");
        require(gateways >= 1 && gateways <= 50, "gateways", gateways, "1 to 50");
        require(rate > 0 && rate <= 50_000, "rate", rate, "above 0, up to 50000");
        require(seconds >= 1 && seconds <= 86_400, "seconds", seconds, "1 to 86400");
        require(!classes.isEmpty(), "classes", 0, "at least one");
    }

    private static void require(boolean valid, String name, Number value, String allowed) {
        if (!valid) {
            throw new IllegalArgumentException(name + " can't be " + value + "; allowed: " + allowed);
        }
    }

    /** Returns the classes of the first deployment. */
    public static List<RequestClass> defaultClasses() {
        return List.of(new RequestClass("status", "safe", "all", 0, 150, 750, 20, 0.51, 1),
                new RequestClass("submit", "unsafe", "all", 0, 100, 300, 10, 0.49, 5));
    }

    /** Returns a fleet with the default classes and node parameters. */
    public static FleetConfig withDefaults(int nodes, int gateways, double rate, long seconds, long seed) {
        return new FleetConfig(nodes, gateways, rate, seconds, seed, defaultClasses(), 0.01, 2, 1024, DEFAULT_NODE_PARAMETERS,
                null);
    }

    /** Returns a copy with another fraction of clients that leave before their answer. */
    public FleetConfig withAbandonFraction(double fraction) {
        return new FleetConfig(nodes, gateways, rate, seconds, seed, classes, fraction, maxRetries, maxDescriptors,
                nodeParameters, operatorFile);
    }

    /** Returns a copy with other classes. */
    public FleetConfig withClasses(List<RequestClass> others) {
        return new FleetConfig(nodes, gateways, rate, seconds, seed, others, abandonFraction, maxRetries, maxDescriptors,
                nodeParameters, operatorFile);
    }

    /** Returns a copy with another limit of file descriptors for each gateway. */
    public FleetConfig withMaxDescriptors(int limit) {
        return new FleetConfig(nodes, gateways, rate, seconds, seed, classes, abandonFraction, maxRetries, limit,
                nodeParameters, operatorFile);
    }

    /** Returns a copy with an operator's file. */
    public FleetConfig withOperatorFile(OperatorFile file) {
        return new FleetConfig(nodes, gateways, rate, seconds, seed, classes, abandonFraction, maxRetries, maxDescriptors,
                nodeParameters, file);
    }

    /** Returns the path of this gateway's operator file, or null if it has none. */
    String operatorFileOf(int gateway) {
        return operatorFile == null || operatorFile.everySecondGateway() && gateway % 2 == 0 ? null : operatorFile.path();
    }

    /** Returns the effect and dedup of each class by its name. */
    Map<String, RequestSemantics> semanticsByClass() {
        Map<String, RequestSemantics> semantics = new HashMap<>();
        for (RequestClass c : classes) {
            semantics.put(c.name(), new RequestSemantics(Effect.valueOf(c.effect().toUpperCase(Locale.ROOT)),
                    Scope.valueOf(c.dedupScope().toUpperCase(Locale.ROOT)),
                    TimeUnit.MILLISECONDS.toNanos(c.dedupWindowMillis())));
        }
        return semantics;
    }

    /** Returns the zone and cell of each node. Nodes are assigned to the zones in turn, and to cells of three within a zone. */
    List<Auditor.NodeLocation> nodeLocations() {
        List<Auditor.NodeLocation> locations = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            locations.add(new Auditor.NodeLocation(ZONES.get(i % ZONES.size()),
                    i % ZONES.size() + ZONES.size() * (i / ZONES.size() / NODES_PER_CELL)));
        }
        return locations;
    }

    /** Returns the time limits that the auditor checks. */
    Auditor.Limits limits() {
        return new Auditor.Limits(TimeUnit.MILLISECONDS.toNanos(ANSWER_SLACK_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(nodeParameters.drainGraceMillis()));
    }

    /** Returns a machine for each node, of two kinds, with speeds drawn from the seed. */
    List<Machine> machines() {
        SplittableRandom random = new SplittableRandom(seed);
        List<Machine> machines = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            double speed = random.nextDouble() < SLOW_MACHINE_FRACTION ? random.nextDouble(0.64, 0.86)
                    : random.nextDouble(0.85, 1.1);
            machines.add(new Machine(1, speed, 400, nodeParameters.coldCapacityFraction(),
                    TimeUnit.MILLISECONDS.toNanos(nodeParameters.warmUpMillis()), nodeParameters.overloadFactor(),
                    TimeUnit.MILLISECONDS.toNanos(nodeParameters.overloadWindowMillis())));
        }
        return machines;
    }

    /** Returns the index of the zone of the node or gateway with this number. */
    static int zoneOf(int number) {
        return number % ZONES.size();
    }

    /** Returns what all nodes allow and cost, beyond their machines. */
    StandInNode.Profile nodeProfile() {
        Map<String, Double> meanWorkNanos = new HashMap<>();
        classes.forEach(c -> meanWorkNanos.put(c.name(), c.meanWorkMillis() * TimeUnit.MILLISECONDS.toNanos(1)));
        return new StandInNode.Profile(160, TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MILLIS),
                nodeParameters.instantAnswers() ? 0 : TimeUnit.MILLISECONDS.toNanos(3), meanWorkNanos,
                nodeParameters.instantAnswers());
    }

    /** Returns the longest deadline of the classes. */
    long maxDeadlineMillis() {
        return classes.stream().mapToLong(RequestClass::deadlineMillis).max().orElseThrow();
    }

    /** Returns the settings of one gateway, in the form of the platform's JSON configuration file. */
    Map<String, Object> settings(int gateway) {
        List<Map<String, Object>> classSettings = new ArrayList<>();
        for (RequestClass c : classes) {
            Map<String, Object> classSetting = new LinkedHashMap<>();
            classSetting.put("name", c.name());
            classSetting.put("semantics", c.effect());
            classSetting.put("dedup_scope", c.dedupScope());
            classSetting.put("window_ns", TimeUnit.MILLISECONDS.toNanos(c.dedupWindowMillis()));
            classSetting.put("aim_ns", TimeUnit.MILLISECONDS.toNanos(c.aimMillis()));
            classSetting.put("deadline_ns", TimeUnit.MILLISECONDS.toNanos(c.deadlineMillis()));
            classSetting.put("value", c.worth());
            classSettings.add(classSetting);
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("group_size", gateways);
        settings.put("my_number", gateway);
        settings.put("zone", ZONES.get(gateway % ZONES.size()));
        settings.put("discovery", "subscribe");
        settings.put("resolution_ns", 1_000_000);
        settings.put("grades", classSettings);
        settings.put("allowed", Map.of("max_attempts", 5, "may_cancel", true, "may_duplicate", true,
                "retry_after", true, "max_retry_after_ns", 400_000_000,
                "dial_timeout_ns", TimeUnit.MILLISECONDS.toNanos(CONNECT_TIMEOUT_MILLIS),
                "conn_idle_ns", TimeUnit.MILLISECONDS.toNanos(IDLE_TIMEOUT_MILLIS)));
        settings.put("obligations", Map.of("answer_slack_ns", TimeUnit.MILLISECONDS.toNanos(ANSWER_SLACK_MILLIS),
                "drain_grace_ns", TimeUnit.MILLISECONDS.toNanos(nodeParameters.drainGraceMillis()),
                "ask_within_ns", TimeUnit.SECONDS.toNanos(10), "cold_from", nodeParameters.coldCapacityFraction(),
                "warm_up_ns", TimeUnit.MILLISECONDS.toNanos(nodeParameters.warmUpMillis()),
                "overload_factor", nodeParameters.overloadFactor(),
                "overload_for_ns", TimeUnit.MILLISECONDS.toNanos(nodeParameters.overloadWindowMillis())));
        return settings;
    }
}
