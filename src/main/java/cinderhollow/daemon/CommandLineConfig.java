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
    private record Grade(String name, String semantics, long aimNanos, long deadlineNanos) { }

    private static final long AIM_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LONGEST_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final long KEY_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int SOCKETS = 1024, MOST_PARTS = 4;
    private static final String EXPECTED = "NAME:safe|unsafe|keyed[:AIM[:DEADLINE]], as in submit:unsafe:100ms:300ms";

    private final String listen;
    private final String discovery;
    private final List<String> nodes;
    private final String operator;
    private final List<Grade> grades = new ArrayList<>();

    /**
     * Creates the configuration. Invalid input causes an {@link IllegalArgumentException} with a one-line message.
     *
     * @param listen address that clients connect to
     * @param discovery address of discovery, from which the list of nodes is watched, or null
     * @param nodes addresses of the nodes, where there is no discovery
     * @param classes each as {@code NAME:safe|unsafe|keyed[:AIM[:DEADLINE]]}
     * @param operator path of the operator's file, or null
     */
    public CommandLineConfig(String listen, String discovery, List<String> nodes, List<String> classes, String operator) {
        this.listen = listen;
        this.discovery = discovery;
        this.nodes = List.copyOf(nodes);
        this.operator = operator;
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("no class of requests: give at least one --class " + EXPECTED);
        }
        for (String text : classes) {
            Grade grade = grade(text);
            if (grades.stream().anyMatch(other -> other.name.equals(grade.name))) {
                throw new IllegalArgumentException("class " + grade.name + " is given twice");
            }
            grades.add(grade);
        }
        if (nodes.stream().distinct().count() != nodes.size()) {
            throw new IllegalArgumentException("a node is given twice");
        }
    }

    private static Grade grade(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length < 2 || parts.length > MOST_PARTS || !parts[0].matches("[A-Za-z0-9._~-]+")
                || !List.of("safe", "unsafe", "keyed").contains(parts[1])) {
            throw new IllegalArgumentException("can't read the class '" + text + "': " + EXPECTED);
        }
        long aim = parts.length > 2 ? nanos(parts[2], text) : AIM_NANOS;
        long deadline = parts.length > 3 ? nanos(parts[3], text) : Math.max(aim, DEADLINE_NANOS);
        if (aim > deadline) {
            throw new IllegalArgumentException("the class '" + text + "' has an aim later than its deadline");
        }
        return new Grade(parts[0], parts[1], aim, deadline);
    }

    /** Parses a time with its unit, such as {@code 150ms} or {@code 2s}. */
    private static long nanos(String text, String of) {
        boolean millis = text.matches("[0-9]{1,7}ms");
        if (!millis && !text.matches("[0-9]{1,4}s")) {
            throw new IllegalArgumentException("the class '" + of + "' has no readable time in '" + text
                    + "': a whole number of ms or s");
        }
        long figure = Long.parseLong(text.replaceAll("[a-z]", ""));
        long nanos = millis ? TimeUnit.MILLISECONDS.toNanos(figure) : TimeUnit.SECONDS.toNanos(figure);
        if (nanos <= 0 || nanos > LONGEST_NANOS) {
            throw new IllegalArgumentException("the class '" + of + "' has a time out of range: " + text);
        }
        return nanos;
    }

    /** Returns the configuration that the platform would otherwise provide. */
    GatewayConfig config() {
        try {
            SocketAddress watched = discovery == null ? null : EndpointList.parseAddress(discovery);
            return GatewayConfig.read(Json.of(whole()), EndpointList.parseAddress(listen), watched, operator);
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private Map<String, Object> whole() {
        List<Map<String, Object>> endpoints = new ArrayList<>();
        for (String node : nodes) {
            EndpointList.parseAddress(node);
            endpoints.add(Map.of("name", node, "address", node, "status", "up", "weight", 1.0));
        }
        return Map.of("seed", Long.toHexString(System.nanoTime()), "limits", Map.of("sockets", SOCKETS),
                "known", Map.of("index", 0, "snapshot", true, "endpoints", endpoints), "settings", settings());
    }

    private Map<String, Object> settings() {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Grade grade : grades) {
            list.add(Map.of("name", grade.name, "semantics", grade.semantics, "aim_ns", grade.aimNanos,
                    "deadline_ns", grade.deadlineNanos, "window_ns", KEY_WINDOW_NANOS));
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("group_size", 1);
        settings.put("my_number", 0);
        settings.put("discovery", discovery == null ? "automatic" : "subscribe");
        settings.put("resolution_ns", 1_000_000);
        settings.put("grades", list);
        settings.put("allowed", Map.of("max_attempts", 3, "may_cancel", true, "may_duplicate", true,
                "retry_after", true, "max_retry_after_ns", TimeUnit.SECONDS.toNanos(60), "dial_timeout_ns", TimeUnit.MILLISECONDS.toNanos(500), "conn_idle_ns", TimeUnit.SECONDS.toNanos(15)));
        settings.put("obligations", Map.of("drain_grace_ns", TimeUnit.SECONDS.toNanos(1),
                "ask_within_ns", TimeUnit.SECONDS.toNanos(10), "cold_from", 0.3,
                "warm_up_ns", TimeUnit.SECONDS.toNanos(10), "overload_factor", 2.5,
                "overload_for_ns", TimeUnit.MILLISECONDS.toNanos(1_500)));
        return settings;
    }

    /** Returns where the gateway listens, its classes, and the nodes or discovery. */
    @Override
    public String toString() {
        return "http://" + listen + ", classes " + String.join(", ", grades.stream().map(Grade::name).toList())
                + (discovery == null ? ", nodes " + String.join(", ", nodes) : ", nodes told by " + discovery);
    }
}
