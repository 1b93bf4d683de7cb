package cinderhollow.membership;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.Json;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The list of endpoints, or changes to it, as discovery sends it.
 *
 * @param index version of the list
 * @param snapshot whether these are all endpoints; otherwise only those that changed
 * @param endpoints the endpoints; one that has been removed has the readiness {@code GONE}
 */
public record EndpointList(long index, boolean snapshot, List<Endpoint> endpoints) {

    /**
     * An endpoint of the list.
     *
     * @param info what the decision module is told about the server
     * @param address where this gateway reaches the server; null if it has been removed
     */
    public record Endpoint(ServerInfo info, SocketAddress address) {
        /** Returns whether the endpoint has been removed. */
        public boolean isGone() {
            return info.readiness() == Readiness.GONE;
        }
    }

    /** Copies the endpoints. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
    }

    /** Reads a list; throws an {@link IllegalArgumentException} if it is malformed. */
    public static EndpointList read(Json json) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Json entry : json.required("endpoints").entries()) {
            endpoints.add(readEndpoint(entry));
        }
        return new EndpointList(json.required("index").number(0).longValue(), json.field("snapshot").isTrue(), endpoints);
    }

    /** Returns the server information of all endpoints, which is the decision module's input. */
    public List<ServerInfo> servers() {
        return endpoints.stream().map(Endpoint::info).toList();
    }

    private static Endpoint readEndpoint(Json entry) {
        Readiness readiness = parseReadiness(entry.required("status").text());
        ServerInfo info = new ServerInfo(entry.required("name").text(), entry.field("zone").text(),
                entry.field("type").text(), entry.field("group").number(0).intValue(), readiness,
                entry.field("weight").number(1).doubleValue(),
                GatewayClock.ofUnixMillis(entry.field("since_ms").number(0).longValue()));
        // A removed endpoint may have no address, as no request is sent there any more.
        SocketAddress address = readiness == Readiness.GONE ? null
                : parseAddress(entry.required("address").text());
        return new Endpoint(info, address);
    }

    private static Readiness parseReadiness(String status) {
        return switch (status) {
            case "up" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            case "removed" -> Readiness.GONE;
            default -> throw new IllegalArgumentException("unknown endpoint status '" + status + "'");
        };
    }

    /** Parses an address of the form {@code 10.1.0.18:8080}; throws an {@link IllegalArgumentException} on any other. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not an address of the form host:port: '" + text + "'", e);
        }
    }
}
