package cinderhollow.membership;

import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Turns the lists that discovery sends into the changes since the last one, also if discovery sends a snapshot of all endpoints.
 * Used by gateways of large fleets; if there is a {@link Subset}, only changes of its servers are returned. Each call of
 * {@link #next} compares one piece of a list and returns one portion of changes, so that the event loop can do other work between
 * two calls. Does no input or output.
 */
public final class EndpointListDiffer {
    /** Size limit of a piece or portion in endpoints; it takes the event loop a fraction of a millisecond. */
    private static final int PORTION = 256;

    private final Map<String, Endpoint> known = new HashMap<>();
    private final Subset subset;
    /** Ids of servers that were reported as draining and whose removal is still to be reported. */
    private final Set<String> draining = new HashSet<>();
    /** The steps of the comparison that are still to be run, and the portions that are ready to be returned, both in order. */
    private final ArrayDeque<Runnable> pieces = new ArrayDeque<>();
    private final ArrayDeque<EndpointList> ready = new ArrayDeque<>();

    /** Creates an empty list; {@code subset} is null if the gateway uses all servers. */
    public EndpointListDiffer(Subset subset) {
        this.subset = subset;
    }

    /** Queues a list; {@link #next} compares it after those that were added before. */
    public void add(EndpointList list) {
        for (int i = 0; i < list.endpoints().size(); i += PORTION) {
            List<Endpoint> piece = list.endpoints().subList(i, Math.min(list.endpoints().size(), i + PORTION));
            pieces.add(() -> told(list.index(), piece));
        }
        if (list.snapshot()) {
            pieces.add(() -> toldOnly(list));
        }
    }

    /** Returns whether {@link #next} has something left to compare or to return. */
    public boolean hasPending() {
        return !ready.isEmpty() || !pieces.isEmpty();
    }

    /** Returns the next portion of changes, after comparing one more piece if none is ready; null if it has no changes. */
    public EndpointList next() {
        if (ready.isEmpty() && !pieces.isEmpty()) {
            pieces.poll().run();
        }
        return ready.poll();
    }

    /** Returns all remaining portions at once, for a caller that has no other work yet. */
    public List<EndpointList> takeAll() {
        List<EndpointList> all = new ArrayList<>();
        while (hasPending()) {
            EndpointList portion = next();
            if (portion != null) {
                all.add(portion);
            }
        }
        return all;
    }

    private void told(long index, List<Endpoint> piece) {
        Map<String, Endpoint> changed = new LinkedHashMap<>();
        for (Endpoint endpoint : piece) {
            String id = endpoint.info().id();
            if (endpoint.isGone() ? known.remove(id) != null : !endpoint.equals(known.put(id, endpoint))) {
                changed.put(id, endpoint);
            }
        }
        comeTo(index, changed);
    }

    /** Removes the endpoints that a snapshot no longer lists. */
    private void toldOnly(EndpointList list) {
        Set<String> named = new HashSet<>(2 * list.endpoints().size());
        list.endpoints().forEach(endpoint -> named.add(endpoint.info().id()));
        Map<String, Endpoint> changed = new LinkedHashMap<>();
        known.values().removeIf(endpoint -> {
            boolean missing = !named.contains(endpoint.info().id());
            if (missing) {
                changed.put(endpoint.info().id(), gone(endpoint));
            }
            return missing;
        });
        comeTo(list.index(), changed);
    }

    private void comeTo(long index, Map<String, Endpoint> changed) {
        makeReady(index, subset == null ? List.copyOf(changed.values()) : ofSubset(changed));
    }

    /**
     * Records how an attempt at a server of the subset ended; a request that no server of the subset could take counts as failed.
     * Only with a subset.
     */
    public void recordOutcome(boolean well) {
        subset.ended(well);
    }

    /** Widens or narrows the subset if that is due, and queues the resulting changes. Only with a subset. */
    public void tick(long now) {
        List<Endpoint> moved = new ArrayList<>();
        for (Subset.Move move : subset.tick(now)) {
            Endpoint endpoint = known.get(move.node());
            moved.add(move.enters() ? endpoint : gone(endpoint));
        }
        makeReady(0, moved);
    }

    /** Returns whether the gateway uses a subset of the servers. */
    public boolean hasSubset() {
        return subset != null;
    }

    /** Returns how many gateways use each server. Only with a subset. */
    public int gatewaysPerServer() {
        return subset.sharers();
    }

    /** Returns a log text: how many of the known servers are used, and how much the subset is widened. Only with a subset. */
    public String summary() {
        return subset.size() + " of " + known.size() + " servers" + (subset.width() > 1
                ? ", " + subset.width() + " times the usual width" : "");
    }

    private List<Endpoint> ofSubset(Map<String, Endpoint> changed) {
        Map<String, String> usable = new LinkedHashMap<>();
        Set<String> others = new LinkedHashSet<>();
        changed.forEach((id, endpoint) -> {
            if (endpoint.info().readiness() == Readiness.READY) {
                usable.put(id, endpoint.info().zone());
            } else {
                others.add(id);
            }
        });
        List<Endpoint> out = new ArrayList<>();
        Set<String> moved = new HashSet<>();
        for (Subset.Move move : subset.update(usable, others)) {
            String id = move.node();
            Endpoint endpoint = changed.containsKey(id) ? changed.get(id) : known.get(id);
            moved.add(id);
            // A draining server is reported as draining, not as gone: it completes the requests that it has.
            out.add(move.enters() || others.contains(id) ? endpoint : gone(endpoint));
            keep(draining, id, !move.enters() && others.contains(id) && !endpoint.isGone());
        }
        changed.forEach((id, endpoint) -> {
            if (!moved.contains(id) && (subset.contains(id) || draining.contains(id))) {
                boolean away = !subset.contains(id) && endpoint.info().readiness() == Readiness.READY;
                out.add(away ? gone(endpoint) : endpoint);
                keep(draining, id, endpoint.info().readiness() == Readiness.DRAINING);
            }
        });
        return out;
    }

    private static void keep(Set<String> set, String id, boolean in) {
        if (in) {
            set.add(id);
        } else {
            set.remove(id);
        }
    }

    private static Endpoint gone(Endpoint endpoint) {
        ServerInfo i = endpoint.info();
        return new Endpoint(new ServerInfo(i.id(), i.zone(), i.machineType(), i.cell(), Readiness.GONE, i.capacityHint(),
                i.startedAtNanos()), null);
    }

    /**
     * Splits changes into portions and queues them. Those of one piece precede those of all later pieces, so that an older state
     * of a server never follows a newer one.
     */
    private void makeReady(long index, List<Endpoint> endpoints) {
        for (int i = 0; i < endpoints.size(); i += PORTION) {
            ready.add(new EndpointList(index, false, endpoints.subList(i, Math.min(endpoints.size(), i + PORTION))));
        }
    }
}
