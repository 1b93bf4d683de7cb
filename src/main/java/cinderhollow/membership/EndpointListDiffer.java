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
    private static final int MAX_PORTION_ENDPOINTS = 256;

    private final Map<String, Endpoint> knownEndpoints = new HashMap<>();
    private final Subset subset;
    /** Ids of servers that were reported as draining and whose removal is still to be reported. */
    private final Set<String> drainingIds = new HashSet<>();
    /** The steps of the comparison that are still to be run, and the portions that are ready to be returned, both in order. */
    private final ArrayDeque<Runnable> pendingSteps = new ArrayDeque<>();
    private final ArrayDeque<EndpointList> readyPortions = new ArrayDeque<>();

    /** Creates an empty list; {@code subset} is null if the gateway uses all servers. */
    public EndpointListDiffer(Subset subset) {
        this.subset = subset;
    }

    /** Queues a list; {@link #next} compares it after those that were added before. */
    public void add(EndpointList list) {
        for (int i = 0; i < list.endpoints().size(); i += MAX_PORTION_ENDPOINTS) {
            List<Endpoint> piece = list.endpoints().subList(i, Math.min(list.endpoints().size(), i + MAX_PORTION_ENDPOINTS));
            pendingSteps.add(() -> applyPiece(list.index(), piece));
        }
        if (list.snapshot()) {
            pendingSteps.add(() -> removeUnlisted(list));
        }
    }

    /** Returns whether {@link #next} has something left to compare or to return. */
    public boolean hasPending() {
        return !readyPortions.isEmpty() || !pendingSteps.isEmpty();
    }

    /** Returns the next portion of changes, after comparing one more piece if none is ready; null if it has no changes. */
    public EndpointList next() {
        if (readyPortions.isEmpty() && !pendingSteps.isEmpty()) {
            pendingSteps.poll().run();
        }
        return readyPortions.poll();
    }

    /** Returns all remaining portions at once, for a caller that has no other work yet. */
    public List<EndpointList> takeAll() {
        List<EndpointList> portions = new ArrayList<>();
        while (hasPending()) {
            EndpointList portion = next();
            if (portion != null) {
                portions.add(portion);
            }
        }
        return portions;
    }

    private void applyPiece(long index, List<Endpoint> piece) {
        Map<String, Endpoint> changed = new LinkedHashMap<>();
        for (Endpoint endpoint : piece) {
            String id = endpoint.info().id();
            if (endpoint.isGone() ? knownEndpoints.remove(id) != null : !endpoint.equals(knownEndpoints.put(id, endpoint))) {
                changed.put(id, endpoint);
            }
        }
        addChanges(index, changed);
    }

    /** Removes the endpoints that a snapshot no longer lists. */
    private void removeUnlisted(EndpointList list) {
        Set<String> listedIds = new HashSet<>(2 * list.endpoints().size());
        list.endpoints().forEach(endpoint -> listedIds.add(endpoint.info().id()));
        Map<String, Endpoint> changed = new LinkedHashMap<>();
        knownEndpoints.values().removeIf(endpoint -> {
            boolean missing = !listedIds.contains(endpoint.info().id());
            if (missing) {
                changed.put(endpoint.info().id(), asGone(endpoint));
            }
            return missing;
        });
        addChanges(list.index(), changed);
    }

    private void addChanges(long index, Map<String, Endpoint> changed) {
        enqueuePortions(index, subset == null ? List.copyOf(changed.values()) : filterBySubset(changed));
    }

    /**
     * Records how an attempt at a server of the subset ended; a request that no server of the subset could take counts as failed.
     * Only with a subset.
     */
    public void recordOutcome(boolean success) {
        subset.recordOutcome(success);
    }

    /** Widens or narrows the subset if that is due, and queues the resulting changes. Only with a subset. */
    public void tick(long now) {
        List<Endpoint> changed = new ArrayList<>();
        for (Subset.Change change : subset.tick(now)) {
            Endpoint endpoint = knownEndpoints.get(change.serverId());
            changed.add(change.added() ? endpoint : asGone(endpoint));
        }
        enqueuePortions(0, changed);
    }

    /** Returns whether the gateway uses a subset of the servers. */
    public boolean hasSubset() {
        return subset != null;
    }

    /** Returns how many gateways use each server. Only with a subset. */
    public int gatewaysPerServer() {
        return subset.gatewaysPerServer();
    }

    /** Returns a log text: how many of the known servers are used, and how much the subset is widened. Only with a subset. */
    public String summary() {
        return subset.size() + " of " + knownEndpoints.size() + " servers" + (subset.width() > 1
                ? ", " + subset.width() + " times the usual width" : "");
    }

    private List<Endpoint> filterBySubset(Map<String, Endpoint> changed) {
        Map<String, String> usable = new LinkedHashMap<>();
        Set<String> unusable = new LinkedHashSet<>();
        changed.forEach((id, endpoint) -> {
            if (endpoint.info().readiness() == Readiness.READY) {
                usable.put(id, endpoint.info().zone());
            } else {
                unusable.add(id);
            }
        });
        List<Endpoint> result = new ArrayList<>();
        Set<String> subsetChanges = new HashSet<>();
        for (Subset.Change change : subset.update(usable, unusable)) {
            String id = change.serverId();
            Endpoint endpoint = changed.containsKey(id) ? changed.get(id) : knownEndpoints.get(id);
            subsetChanges.add(id);
            // A draining server is reported as draining, not as gone: it completes the requests that it has.
            result.add(change.added() || unusable.contains(id) ? endpoint : asGone(endpoint));
            setContained(drainingIds, id, !change.added() && unusable.contains(id) && !endpoint.isGone());
        }
        changed.forEach((id, endpoint) -> {
            if (!subsetChanges.contains(id) && (subset.contains(id) || drainingIds.contains(id))) {
                boolean outsideSubset = !subset.contains(id) && endpoint.info().readiness() == Readiness.READY;
                result.add(outsideSubset ? asGone(endpoint) : endpoint);
                setContained(drainingIds, id, endpoint.info().readiness() == Readiness.DRAINING);
            }
        });
        return result;
    }

    private static void setContained(Set<String> set, String id, boolean contained) {
        if (contained) {
            set.add(id);
        } else {
            set.remove(id);
        }
    }

    private static Endpoint asGone(Endpoint endpoint) {
        ServerInfo info = endpoint.info();
        return new Endpoint(new ServerInfo(info.id(), info.zone(), info.machineType(), info.cell(), Readiness.GONE,
                info.capacityHint(),
                info.startedAtNanos()), null);
    }

    /**
     * Splits changes into portions and queues them. Those of one piece precede those of all later pieces, so that an older state
     * of a server never follows a newer one.
     */
    private void enqueuePortions(long index, List<Endpoint> endpoints) {
        for (int i = 0; i < endpoints.size(); i += MAX_PORTION_ENDPOINTS) {
            readyPortions.add(new EndpointList(index, false,
                    endpoints.subList(i, Math.min(endpoints.size(), i + MAX_PORTION_ENDPOINTS))));
        }
    }
}
