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
 * What a gateway of a large fleet is told of the list: changes alone, also where discovery tells the list whole; and where
 * there is a subset, only of its nodes. A list is looked at piece by piece and comes out in portions, each asked for by
 * {@link #next}, so that whoever asks can do other work between two. Without input or output.
 */
public final class ListChanges {
    /** So many in one portion: a fraction of a millisecond of the loop. */
    private static final int PORTION = 256;

    private final Map<String, Endpoint> known = new HashMap<>();
    private final Subset subset;
    /** Those told to drain, whose end is still to be told. */
    private final Set<String> draining = new HashSet<>();
    /** What is to be looked at, and what has come of it and is to be told, first things first. */
    private final ArrayDeque<Runnable> pieces = new ArrayDeque<>();
    private final ArrayDeque<EndpointList> ready = new ArrayDeque<>();

    /** Of an empty list; {@code subset} may be null. */
    public ListChanges(Subset subset) {
        this.subset = subset;
    }

    /** Takes in a list; {@link #next} looks at it, after those that were told before. */
    public void tell(EndpointList list) {
        for (int i = 0; i < list.endpoints().size(); i += PORTION) {
            List<Endpoint> piece = list.endpoints().subList(i, Math.min(list.endpoints().size(), i + PORTION));
            pieces.add(() -> told(list.index(), piece));
        }
        if (list.snapshot()) {
            pieces.add(() -> toldOnly(list));
        }
    }

    /** Whether {@link #next} has something to look at or to tell. */
    public boolean waits() {
        return !ready.isEmpty() || !pieces.isEmpty();
    }

    /** The next portion, or null where the piece that was looked at tells nothing new. */
    public EndpointList next() {
        if (ready.isEmpty() && !pieces.isEmpty()) {
            pieces.poll().run();
        }
        return ready.poll();
    }

    /** All that waits at once, for who has no other work yet. */
    public List<EndpointList> rest() {
        List<EndpointList> all = new ArrayList<>();
        while (waits()) {
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
            if (endpoint.gone() ? known.remove(id) != null : !endpoint.equals(known.put(id, endpoint))) {
                changed.put(id, endpoint);
            }
        }
        comeTo(index, changed);
    }

    /** What a list told whole no longer names is gone. */
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

    /** How an attempt at a member ended, or a request that none could take. */
    public void ended(boolean well) {
        subset.ended(well);
    }

    /** Widens or narrows the subset where it is time; what this comes to is told in its turn. */
    public void tick(long now) {
        List<Endpoint> moved = new ArrayList<>();
        for (Subset.Move move : subset.tick(now)) {
            Endpoint endpoint = known.get(move.node());
            moved.add(move.enters() ? endpoint : gone(endpoint));
        }
        makeReady(0, moved);
    }

    /** Whether there is a subset. */
    public boolean ofSubset() {
        return subset != null;
    }

    /** How many gateways share each node; with a subset alone. */
    public int sharers() {
        return subset.sharers();
    }

    /** The nodes that are used and those that are known, and how wide the subset is. */
    public String summary() {
        return subset.size() + " of " + known.size() + " nodes" + (subset.width() > 1
                ? ", " + subset.width() + " times as wide as usual" : "");
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
            // One that drains is told as it is: it keeps what it has in work.
            out.add(move.enters() || others.contains(id) ? endpoint : gone(endpoint));
            keep(draining, id, !move.enters() && others.contains(id) && !endpoint.gone());
        }
        changed.forEach((id, endpoint) -> {
            if (!moved.contains(id) && (subset.has(id) || draining.contains(id))) {
                boolean away = !subset.has(id) && endpoint.info().readiness() == Readiness.READY;
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
        return new Endpoint(new ServerInfo(i.id(), i.zone(), i.kind(), i.cell(), Readiness.GONE, i.capacityHint(),
                i.startedAtNanos()), null);
    }

    /** A piece's portions come before all that the next pieces come to: a later word must not be overtaken. */
    private void makeReady(long index, List<Endpoint> endpoints) {
        for (int i = 0; i < endpoints.size(); i += PORTION) {
            ready.add(new EndpointList(index, false, endpoints.subList(i, Math.min(endpoints.size(), i + PORTION))));
        }
    }
}
