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
 * What the platform tells a gateway at its start: the environment, and the JSON file that it names.
 *
 * @param discovery where changes to the list are told, or null where the list stays as it is
 * @param sockets the descriptors that the process may hold
 * @param dialTimeoutNanos how long a connection to a host may take to come up
 * @param idleNanos when at the latest a host closes a connection that stands idle
 * @param routes what an operator's file has set, or null where there is none
 * @param scale how an operator's file lets the process grow, or null
 * @param bookkeeping how an operator's file has account kept, or null
 * @param admin where figures are told, or null
 * @param door where operators call, or null where the platform names no such address
 * @param peering how an operator's file lets it talk with other gateways, or null
 * @param inherited the clients' listener where the platform holds it, or null where it is bound here
 */
record GatewayConfig(SocketAddress listen, SocketAddress discovery, long seed, int sockets,
                     long dialTimeoutNanos, long idleNanos, Settings settings, EndpointList known, List<Route> routes,
                     Scale scale, Bookkeeping bookkeeping, SocketAddress admin, Peering peering,
                     SocketAddress door, Inherited inherited) {
    private static final int USUAL_SOCKETS = 1024;
    private static final long LOOP_SEED = 0x9e3779b97f4a7c15L;

    /** Reads both, the file being parsed; whatever is wrong ends as an {@link IllegalArgumentException} with one plain line. */
    static GatewayConfig read(Map<String, String> environment, Json file) {
        String door = environment.getOrDefault("LB_OPS", file.field("ops").text());
        GatewayConfig config = read(file, EndpointList.address(variable(environment, "LB_LISTEN")),
                EndpointList.address(variable(environment, "LB_DISCOVERY")), environment.get("LB_OPERATOR"))
                .withDoor(door.isEmpty() ? null : EndpointList.address(door));
        String descriptor = environment.getOrDefault("LB_INHERITED_FD", "");
        return descriptor.isEmpty() ? config : config.withListener(descriptor, environment.get("TMPDIR"));
    }

    /** The file that the environment names. */
    static Json file(Map<String, String> environment) {
        String file = variable(environment, "LB_CONFIG");
        try {
            return Json.read(Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read LB_CONFIG " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""), e);
        }
    }

    /** The same from the parsed file, the two addresses and the operator's file or null. */
    static GatewayConfig read(Json json, SocketAddress listen, SocketAddress discovery, String operator) {
        SettingsReader settings = settings(json);
        Operator.Read read = operator == null ? null : Operator.read(operator, settings);
        return new GatewayConfig(listen, discovery, seed(json.field("seed").text()),
                json.field("limits").field("sockets").number(USUAL_SOCKETS).intValue(),
                settings.number("allowed.dial_timeout_ns"), settings.number("allowed.conn_idle_ns"),
                settings.read(), known(json.field("known")), read == null ? null : read.routes(),
                read == null ? null : read.scale(), read == null ? null : read.bookkeeping(),
                read == null ? null : read.admin(),
                read == null || read.fellows() == null ? null : Operator.peering(read.fellows(), settings, json), null, null);
    }

    /** The same with a door for operators. */
    GatewayConfig withDoor(SocketAddress address) {
        return new GatewayConfig(listen, discovery, seed, sockets, dialTimeoutNanos, idleNanos, settings, known, routes,
                scale, bookkeeping, admin, peering, address, inherited);
    }

    /** The same with a listener that the platform holds, which is not taken over before all else was read. */
    private GatewayConfig withListener(String descriptor, String folder) {
        if (scale != null && scale.eachListens()) {
            throw new IllegalArgumentException("LB_INHERITED_FD gives one listener, and the operator's file wants one a loop");
        }
        return new GatewayConfig(listen, discovery, seed, sockets, dialTimeoutNanos, idleNanos, settings, known, routes,
                scale, bookkeeping, admin, peering, door, Inherited.take(descriptor, folder));
    }

    /**
     * The same for one of several event loops: one gateway more among all, with its part of the descriptors. Guards
     * against a node holding many times the idle connections that it held for one loop: each loop asks it so much more
     * rarely, and closes what isn't used so much sooner.
     */
    GatewayConfig loop(int number) {
        int loops = scale.loops();
        Settings s = settings;
        Settings own = new Settings(s.gateways() * loops, s.gatewayNumber() * loops + number, s.zone(),
                s.subscribe() && number == 0, s.resolutionNanos(), s.classes(), s.tenants(), s.overShareWorth(),
                s.allowed(), s.rules());
        return new GatewayConfig(listen, number == 0 ? discovery : null, seed + number * LOOP_SEED, sockets / loops,
                dialTimeoutNanos, idleNanos / loops, own, known, routes, scale.of(number),
                bookkeeping == null ? null : bookkeeping.of(number, loops), null, null, door, inherited);
    }

    /** The settings in a configuration's JSON, in the form of the simulator's pairs. */
    static SettingsReader settings(Json json) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", json.field("settings"), pairs);
        return new SettingsReader(pairs);
    }

    /** A gateway that never had a list starts with an empty one. */
    private static EndpointList known(Json json) {
        return json.value() == null ? new EndpointList(0, true, List.of()) : EndpointList.read(json);
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number: '" + hex + "'", e);
        }
    }

    /** Writes nested settings as the simulator's pairs of path and value. */
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

    private static String variable(Map<String, String> environment, String name) {
        String value = environment.get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("the environment lacks " + name);
        }
        return value;
    }
}
