package cinderhollow.daemon;

import cinderhollow.core.Json;
import cinderhollow.membership.EndpointList;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.SettingsReader;
import cinderhollow.routes.Route;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a gateway process, from the environment and the JSON file that it names.
 *
 * @param listenAddress address that clients connect to
 * @param discoveryAddress address of discovery, from which changes to the endpoint list come, or null where the list never changes
 * @param seed seed of the policy's random numbers
 * @param maxDescriptors number of file descriptors that the process may hold
 * @param dialTimeoutNanos time limit for connecting to a server, in nanoseconds
 * @param idleTimeoutNanos time after which, at the latest, a server closes an idle connection, in nanoseconds
 * @param settings settings of the policy
 * @param knownEndpoints endpoint list as known at the start
 * @param routes routes of the operator's file, or null where there is no file
 * @param eventLoops event loops and subset of the operator's file, or null
 * @param ledger ledger of the operator's file, or null
 * @param adminAddress address of the admin listener, or null
 * @param peering peers of the operator's file, or null
 * @param opsAddress address of the operators' socket, or null where the platform names none
 * @param inheritedListener the clients' listener where the platform provides it, or null where it is bound here
 */
record GatewayConfig(SocketAddress listenAddress, SocketAddress discoveryAddress, long seed, int maxDescriptors,
                     long dialTimeoutNanos, long idleTimeoutNanos, Settings settings, EndpointList knownEndpoints,
                     List<Route> routes,
                     EventLoopConfig eventLoops, LoopLedgerConfig ledger, SocketAddress adminAddress, Peering peering,
                     SocketAddress opsAddress, InheritedListener inheritedListener) {
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;
    private static final long LOOP_SEED_STEP = 0x9e3779b97f4a7c15L;

    /**
     * Reads the configuration from the environment and the parsed file. Invalid input causes an {@link
     * IllegalArgumentException} with a one-line message.
     */
    static GatewayConfig read(Map<String, String> environment, Json file) {
        String opsAddress = environment.getOrDefault("LB_OPS", file.field("ops").text());
        GatewayConfig config = read(file, EndpointList.parseAddress(requireVariable(environment, "LB_LISTEN")),
                EndpointList.parseAddress(requireVariable(environment, "LB_DISCOVERY")), environment.get("LB_OPERATOR"))
                .withOpsAddress(opsAddress.isEmpty() ? null : EndpointList.parseAddress(opsAddress));
        String descriptor = environment.getOrDefault("LB_INHERITED_FD", "");
        return descriptor.isEmpty() ? config : config.withInheritedListener(descriptor, environment.get("TMPDIR"));
    }

    /** Reads and parses the file that the environment names. */
    static Json readFile(Map<String, String> environment) {
        String file = requireVariable(environment, "LB_CONFIG");
        try {
            return Json.read(Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read LB_CONFIG " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""), e);
        }
    }

    /** Reads the configuration from the parsed file, the two addresses, and the path of the operator's file or null. */
    static GatewayConfig read(Json json, SocketAddress listenAddress, SocketAddress discoveryAddress, String operatorFile) {
        SettingsReader settings = settings(json);
        OperatorConfigLoader.LoadedConfig operatorConfig = operatorFile == null ? null
                : OperatorConfigLoader.read(operatorFile, settings);
        return new GatewayConfig(listenAddress, discoveryAddress, seed(json.field("seed").text()),
                json.field("limits").field("sockets").number(DEFAULT_MAX_DESCRIPTORS).intValue(),
                settings.number("allowed.dial_timeout_ns"), settings.number("allowed.conn_idle_ns"),
                settings.read(), knownEndpoints(json.field("known")), operatorConfig == null ? null : operatorConfig.routes(),
                operatorConfig == null ? null : operatorConfig.eventLoops(), operatorConfig == null ? null
                : operatorConfig.ledger(),
                operatorConfig == null ? null : operatorConfig.adminAddress(),
                operatorConfig == null || operatorConfig.peers() == null ? null
                : OperatorConfigLoader.readPeering(operatorConfig.peers(), settings, json), null, null);
    }

    /** Returns a copy with the address of an operators' socket. */
    GatewayConfig withOpsAddress(SocketAddress address) {
        return new GatewayConfig(listenAddress, discoveryAddress, seed, maxDescriptors, dialTimeoutNanos, idleTimeoutNanos,
                settings, knownEndpoints, routes,
                eventLoops, ledger, adminAddress, peering, address, inheritedListener);
    }

    /** Returns a copy with a listener provided by the platform, which is adopted only after everything else was read. */
    private GatewayConfig withInheritedListener(String descriptor, String handoverDirectory) {
        if (eventLoops != null && eventLoops.listenerPerLoop()) {
            throw new IllegalArgumentException("LB_INHERITED_FD gives one listener, the operator's file wants one per loop");
        }
        return new GatewayConfig(listenAddress, discoveryAddress, seed, maxDescriptors, dialTimeoutNanos, idleTimeoutNanos,
                settings, knownEndpoints, routes,
                eventLoops, ledger, adminAddress, peering, opsAddress, InheritedListener.adopt(descriptor, handoverDirectory));
    }

    /**
     * Returns the configuration for one of several event loops: each counts as one more gateway among all, and has its part
     * of the file descriptors. The idle timeout is divided by the number of loops: otherwise a server would hold many times
     * the idle connections that it holds for one loop. Each loop sends it correspondingly fewer requests, and closes unused
     * connections correspondingly sooner.
     */
    GatewayConfig forLoop(int number) {
        int loops = eventLoops.loopCount();
        Settings s = settings;
        Settings loopSettings = new Settings(s.gateways() * loops, s.gatewayNumber() * loops + number, s.zone(),
                s.subscribe() && number == 0, s.timerResolutionNanos(), s.classes(), s.tenants(), s.overQuotaWorth(),
                s.upstreamOptions(), s.rules());
        return new GatewayConfig(listenAddress, number == 0 ? discoveryAddress : null, seed + number * LOOP_SEED_STEP,
                maxDescriptors / loops,
                dialTimeoutNanos, idleTimeoutNanos / loops, loopSettings, knownEndpoints, routes, eventLoops.forLoop(number),
                ledger == null ? null : ledger.forLoop(number, loops), null, null, opsAddress, inheritedListener);
    }

    /** Returns the settings of a configuration's JSON as the pairs of path and value that the simulator uses. */
    static SettingsReader settings(Json json) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", json.field("settings"), pairs);
        return new SettingsReader(pairs);
    }

    /** Returns the known endpoint list; empty for a gateway that has never had one. */
    private static EndpointList knownEndpoints(Json json) {
        return json.value() == null ? new EndpointList(0, true, List.of()) : EndpointList.read(json);
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number: '" + hex + "'", e);
        }
    }

    /** Flattens nested settings into the simulator's pairs of path and value. */
    private static void flatten(String path, Json json, Map<String, String> pairs) {
        if (json.isObject()) {
            json.fields().forEach((name, value) ->
                    flatten(path.isEmpty() ? name.toString() : path + "." + name, new Json(value), pairs));
        } else if (json.isArray()) {
            List<Json> entries = json.entries();
            pairs.put(path + ".count", String.valueOf(entries.size()));
            for (int i = 0; i < entries.size(); i++) {
                flatten(path + "." + i, entries.get(i), pairs);
            }
        } else if (json.value() != null) {
            pairs.put(path, json.text());
        }
    }

    private static String requireVariable(Map<String, String> environment, String name) {
        String value = environment.get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("missing environment variable " + name);
        }
        return value;
    }
}
