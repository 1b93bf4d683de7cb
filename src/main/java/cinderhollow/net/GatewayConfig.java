package cinderhollow.net;

import cinderhollow.Protocol.Settings;
import cinderhollow.SettingsReader;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
 * @param sockets the descriptors that the process may hold
 * @param dialTimeoutNanos how long a connection to a host may take to come up
 * @param idleNanos when at the latest a host closes a connection that stands idle
 */
record GatewayConfig(SocketAddress listen, SocketAddress discovery, long seed, int sockets,
                     long dialTimeoutNanos, long idleNanos, Settings settings, EndpointList known) {
    private static final int USUAL_SOCKETS = 1024;

    /** Reads both; whatever is wrong ends as an {@link IllegalArgumentException} with one plain line. */
    static GatewayConfig read(Map<String, String> environment) {
        return read(file(environment), EndpointList.address(variable(environment, "LB_LISTEN")),
                EndpointList.address(variable(environment, "LB_DISCOVERY")));
    }

    /** What may change while a gateway runs: discovery's address, which the file has and not the environment. */
    static SocketAddress readDiscovery(Map<String, String> environment) {
        JsonNode address = file(environment).path("discovery");
        if (!address.isTextual()) {
            throw new IllegalArgumentException("the configuration lacks discovery");
        }
        return EndpointList.address(address.asText());
    }

    private static JsonNode file(Map<String, String> environment) {
        String file = variable(environment, "LB_CONFIG");
        try {
            return new ObjectMapper().readTree(Files.readAllBytes(Path.of(file)));
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read LB_CONFIG " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""), e);
        }
    }

    static GatewayConfig read(JsonNode json, SocketAddress listen, SocketAddress discovery) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", json.path("settings"), pairs);
        SettingsReader settings = new SettingsReader(pairs);
        return new GatewayConfig(listen, discovery, seed(json.path("seed").asText()),
                json.path("limits").path("sockets").asInt(USUAL_SOCKETS),
                settings.number("allowed.dial_timeout_ns"), settings.number("allowed.conn_idle_ns"),
                settings.read(), known(json.path("known")));
    }

    /** A gateway that never had a list starts with an empty one. */
    private static EndpointList known(JsonNode json) {
        return json.isMissingNode() || json.isNull() ? new EndpointList(0, true, List.of()) : EndpointList.read(json);
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number: '" + hex + "'", e);
        }
    }

    /** Writes nested settings as the simulator's pairs of path and value. */
    private static void flatten(String path, JsonNode json, Map<String, String> pairs) {
        if (json.isObject()) {
            json.properties().forEach(e ->
                    flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), pairs));
        } else if (json.isArray()) {
            pairs.put(path + ".count", String.valueOf(json.size()));
            for (int i = 0; i < json.size(); i++) {
                flatten(path + "." + i, json.get(i), pairs);
            }
        } else if (!json.isNull()) {
            pairs.put(path, json.asText());
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
