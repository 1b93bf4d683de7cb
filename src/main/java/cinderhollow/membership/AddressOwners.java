package cinderhollow.membership;

import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds servers whose address has passed to another one. An address has one process at a time, so of two servers that are listed
 * with one address, the one that started earlier is gone, though discovery has not removed it yet. Otherwise requests for the
 * earlier server, as one that is warm or that has an earlier attempt, would reach the process of the later one. Servers that
 * started at the same time, or whose starts are unknown, leave each other alone. Performs no input or output.
 */
public final class AddressOwners {
    /** The servers at each address, by name. */
    private final Map<SocketAddress, Map<String, ServerInfo>> serversByAddress = new HashMap<>();
    private final Map<String, SocketAddress> addresses = new HashMap<>();

    /** Returns the list, or changes to it, with those servers as removed whose address has passed to another server. */
    public EndpointList resolve(EndpointList list) {
        if (list.snapshot()) {
            serversByAddress.clear();
            addresses.clear();
        }
        list.endpoints().forEach(this::record);
        Map<String, Endpoint> replaced = new LinkedHashMap<>();
        list.endpoints().stream().map(Endpoint::address).distinct()
                .forEach(address -> findReplaced(address).forEach(info -> replaced.put(info.id(), toRemoved(info))));
        if (replaced.isEmpty()) {
            return list;
        }
        replaced.keySet().forEach(this::forget);
        List<Endpoint> resolved = new ArrayList<>();
        list.endpoints().stream().filter(endpoint -> !replaced.containsKey(endpoint.info().id())).forEach(resolved::add);
        resolved.addAll(replaced.values());
        return new EndpointList(list.index(), list.snapshot(), resolved);
    }

    private void record(Endpoint endpoint) {
        String name = endpoint.info().id();
        forget(name);
        if (!endpoint.isGone()) {
            addresses.put(name, endpoint.address());
            serversByAddress.computeIfAbsent(endpoint.address(), address -> new HashMap<>(2)).put(name, endpoint.info());
        }
    }

    private void forget(String name) {
        SocketAddress address = addresses.remove(name);
        if (address != null) {
            serversByAddress.computeIfPresent(address, (same, servers) -> {
                servers.remove(name);
                return servers.isEmpty() ? null : servers;
            });
        }
    }

    /** Returns the servers at an address that another one has replaced there; none if {@code address} is null. */
    private List<ServerInfo> findReplaced(SocketAddress address) {
        Map<String, ServerInfo> servers = serversByAddress.getOrDefault(address, Map.of());
        if (servers.size() < 2) {
            return List.of();
        }
        long latestStart = servers.values().stream().mapToLong(ServerInfo::startedAtNanos).max().orElseThrow();
        return servers.values().stream().filter(info -> info.startedAtNanos() < latestStart).toList();
    }

    private static Endpoint toRemoved(ServerInfo info) {
        return new Endpoint(new ServerInfo(info.id(), info.zone(), info.machineType(), info.cell(), Readiness.GONE,
                info.capacityHint(), info.startedAtNanos()), null);
    }
}
