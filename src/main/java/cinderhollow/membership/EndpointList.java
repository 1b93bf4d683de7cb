package cinderhollow.membership;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.Json;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The list of hosts, or changes to it, in discovery's form. */
public record EndpointList(long index, boolean snapshot, List<Endpoint> endpoints) {

    /** A host: what the module is told of it, and where this gateway reaches it. */
    public record Endpoint(ServerInfo info, SocketAddress address) {
        /** Whether it has been removed. */
        public boolean gone() {
            return info.readiness() == Readiness.GONE;
        }
    }

    /** Keeps a copy. */
    public EndpointList {
        endpoints = List.copyOf(endpoints);
    }

    /** Reads a list; what can't be read ends as an {@link IllegalArgumentException}. */
    public static EndpointList read(Json json) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Json entry : json.required("endpoints").entries()) {
            endpoints.add(endpoint(entry));
        }
        return new EndpointList(json.required("index").number(0).longValue(), json.field("snapshot").isTrue(), endpoints);
    }

    /** What the module is told of each. */
    public List<ServerInfo> servers() {
        return endpoints.stream().map(Endpoint::info).toList();
    }

    private static Endpoint endpoint(Json entry) {
        Readiness readiness = readiness(entry.required("status").text());
        ServerInfo info = new ServerInfo(entry.required("name").text(), entry.field("zone").text(),
                entry.field("type").text(), entry.field("group").number(0).intValue(), readiness,
                entry.field("weight").number(1).doubleValue(),
                GatewayClock.ofUnixMillis(entry.field("since_ms").number(0).longValue()));
        // One that is removed may come without an address: nothing goes there any more.
        SocketAddress address = readiness == Readiness.GONE ? null
                : address(entry.required("address").text());
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

    /** An address of the form {@code 10.1.0.18:8080}. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'", e);
        }
    }
}
