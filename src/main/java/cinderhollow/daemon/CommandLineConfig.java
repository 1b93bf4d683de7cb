package cinderhollow.daemon;

import cinderhollow.core.Json;
import cinderhollow.membership.EndpointList;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The configuration of a gateway without the platform's JSON file: the command line of {@code run}, and for everything else
 * defaults that suit a few nodes.
 */
public final class CommandLineConfig {
    /** A class of requests; its name is the first segment of the path. */
    private record ClassSpec(String name, String effect, long aimNanos, long deadlineNanos) { }

    private static final long DEFAULT_AIM_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long DEFAULT_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MAX_CLASS_TIME_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final long DEDUP_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_DESCRIPTORS = 1024, MAX_CLASS_PARTS = 4;
    private static final String CLASS_SYNTAX = "NAME:safe|unsafe|keyed[:AIM[:DEADLINE]], as in submit:unsafe:100ms:300ms";

    private final String listenAddress;
    private final String discoveryAddress;
    private final List<String> nodes;
    private final String operatorFile;
    private final List<ClassSpec> classSpecs = new ArrayList<>();

    /**
     * Creates the configuration. Invalid input causes an {@link IllegalArgumentException} with a one-line message.
     *
     * @param listenAddress address that clients connect to
     * @param discoveryAddress address of discovery, from which the list of nodes is watched, or null
     * @param nodes addresses of the nodes, where there is no discovery
     * @param classes each as {@code NAME:safe|unsafe|keyed[:AIM[:DEADLINE]]}
     * @param operatorFile path of the operator's file, or null
     */
    public CommandLineConfig(String listenAddress, String discoveryAddress, List<String> nodes, List<String> classes,
            String operatorFile) {
        this.listenAddress = listenAddress;
        this.discoveryAddress = discoveryAddress;
        this.nodes = List.copyOf(nodes);
        this.operatorFile = operatorFile;
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("no class of requests: give at least one --class " + CLASS_SYNTAX);
        }
        for (String text : classes) {
            ClassSpec classSpec = parseClass(text);
            if (classSpecs.stream().anyMatch(other -> other.name.equals(classSpec.name))) {
                throw new IllegalArgumentException("class " + classSpec.name + " is given twice");
            }
            classSpecs.add(classSpec);
        }
        if (nodes.stream().distinct().count() != nodes.size()) {
            throw new IllegalArgumentException("a node is given twice");
        }
    }

    private static ClassSpec parseClass(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length < 2 || parts.length > MAX_CLASS_PARTS || !parts[0].matches("[A-Za-z0-9._~-]+")
                || !List.of("safe", "unsafe", "keyed").contains(parts[1])) {
            throw new IllegalArgumentException("can't read the class '" + text + "': " + CLASS_SYNTAX);
        }
        long aim = parts.length > 2 ? parseNanos(parts[2], text) : DEFAULT_AIM_NANOS;
        long deadline = parts.length > 3 ? parseNanos(parts[3], text) : Math.max(aim, DEFAULT_DEADLINE_NANOS);
        if (aim > deadline) {
            throw new IllegalArgumentException("the class '" + text + "' has an aim later than its deadline");
        }
        return new ClassSpec(parts[0], parts[1], aim, deadline);
    }

    /** Parses a time with its unit, such as {@code 150ms} or {@code 2s}. */
    private static long parseNanos(String text, String classText) {
        boolean millis = text.matches("[0-9]{1,7}ms");
        if (!millis && !text.matches("[0-9]{1,4}s")) {
            throw new IllegalArgumentException("the class '" + classText + "' has no readable time in '" + text
                    + "': a whole number of ms or s");
        }
        long value = Long.parseLong(text.replaceAll("[a-z]", ""));
        long nanos = millis ? TimeUnit.MILLISECONDS.toNanos(value) : TimeUnit.SECONDS.toNanos(value);
        if (nanos <= 0 || nanos > MAX_CLASS_TIME_NANOS) {
            throw new IllegalArgumentException("the class '" + classText + "' has a time out of range: " + text);
        }
        return nanos;
    }

    /** Returns the configuration that the platform would otherwise provide. */
    GatewayConfig toGatewayConfig() {
        try {
            SocketAddress discoverySocketAddress = discoveryAddress == null ? null : EndpointList.parseAddress(discoveryAddress);
            return GatewayConfig.read(Json.of(buildJson()), EndpointList.parseAddress(listenAddress), discoverySocketAddress,
                    operatorFile);
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private Map<String, Object> buildJson() {
        List<Map<String, Object>> endpoints = new ArrayList<>();
        for (String node : nodes) {
            EndpointList.parseAddress(node);
            endpoints.add(Map.of("name", node, "address", node, "status", "up", "weight", 1.0));
        }
        return Map.of("seed", Long.toHexString(System.nanoTime()), "limits", Map.of("sockets", MAX_DESCRIPTORS),
                "known", Map.of("index", 0, "snapshot", true, "endpoints", endpoints), "settings", buildSettings());
    }

    private Map<String, Object> buildSettings() {
        List<Map<String, Object>> classSettings = new ArrayList<>();
        for (ClassSpec classSpec : classSpecs) {
            classSettings.add(Map.of("name", classSpec.name, "semantics", classSpec.effect, "aim_ns", classSpec.aimNanos,
                    "deadline_ns", classSpec.deadlineNanos, "window_ns", DEDUP_WINDOW_NANOS));
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("group_size", 1);
        settings.put("my_number", 0);
        settings.put("discovery", discoveryAddress == null ? "automatic" : "subscribe");
        settings.put("resolution_ns", 1_000_000);
        settings.put("grades", classSettings);
        settings.put("allowed", Map.of("max_attempts", 3, "may_cancel", true, "may_duplicate", true,
                "retry_after", true, "max_retry_after_ns", TimeUnit.SECONDS.toNanos(60), "dial_timeout_ns",
                TimeUnit.MILLISECONDS.toNanos(500), "conn_idle_ns", TimeUnit.SECONDS.toNanos(15)));
        settings.put("obligations", Map.of("drain_grace_ns", TimeUnit.SECONDS.toNanos(1),
                "ask_within_ns", TimeUnit.SECONDS.toNanos(10), "cold_from", 0.3,
                "warm_up_ns", TimeUnit.SECONDS.toNanos(10), "overload_factor", 2.5,
                "overload_for_ns", TimeUnit.MILLISECONDS.toNanos(1_500)));
        return settings;
    }

    /** Returns where the gateway listens, its classes, and the nodes or discovery. */
    @Override
    public String toString() {
        return "http://" + listenAddress + ", classes " + String.join(", ", classSpecs.stream().map(ClassSpec::name).toList())
                + (discoveryAddress == null ? ", nodes " + String.join(", ", nodes) : ", nodes told by " + discoveryAddress);
    }
}
