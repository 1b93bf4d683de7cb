package cinderhollow.net;

import cinderhollow.Protocol.Readiness;
import cinderhollow.Protocol.ServerInfo;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The list of hosts, or changes to it, in discovery's form. */
record EndpointList(long index, boolean snapshot, List<Endpoint> endpoints) {

    /** A host: what the module is told of it, and where this gateway reaches it. */
    record Endpoint(ServerInfo info, SocketAddress address) {
        boolean gone() {
            return info.readiness() == Readiness.GONE;
        }
    }

    EndpointList {
        endpoints = List.copyOf(endpoints);
    }

    /** Reads a list; what can't be read ends as an {@link IllegalArgumentException}. */
    static EndpointList read(JsonNode json) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonNode entry : required(json, "endpoints")) {
            endpoints.add(endpoint(entry));
        }
        return new EndpointList(required(json, "index").asLong(), json.path("snapshot").asBoolean(), endpoints);
    }

    List<ServerInfo> servers() {
        return endpoints.stream().map(Endpoint::info).toList();
    }

    private static Endpoint endpoint(JsonNode entry) {
        Readiness readiness = readiness(required(entry, "status").asText());
        ServerInfo info = new ServerInfo(required(entry, "name").asText(), entry.path("zone").asText(),
                entry.path("type").asText(), entry.path("group").asInt(), readiness,
                entry.path("weight").asDouble(1), GatewayClock.ofUnixMillis(entry.path("since_ms").asLong()));
        // One that is removed may come without an address: nothing goes there any more.
        SocketAddress address = readiness == Readiness.GONE ? null
                : address(required(entry, "address").asText());
        return new Endpoint(info, address);
    }

    private static Readiness readiness(String status) {
        return switch (status) {
            case "up" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            case "removed" -> Readiness.GONE;
            default -> throw new IllegalArgumentException("unknown status '" + status + "'");
        };
    }

    private static JsonNode required(JsonNode json, String name) {
        JsonNode value = json.get(name);
        if (value == null || value.isNull()) {
            throw new IllegalArgumentException("the list lacks " + name);
        }
        return value;
    }

    /** An address of the form {@code 10.1.0.18:8080}. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'", e);
        }
    }
}
