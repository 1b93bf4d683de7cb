package cinderhollow.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Selects the servers of a large fleet that one of many gateways uses. Each server picks its gateways by rendezvous hashing
 * (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998) over the gateways of each zone. So the
 * numbers of gateways of any two servers differ by one at most, and a server or gateway that is added or removed changes no more
 * than its own picks. All gateways compute the same picks without communication: they need only the list of servers and the
 * numbers of gateways. Does no input or output and reads no clock: the time is a parameter. Not thread-safe.
 */
public final class Subset {
    /** Minimum number of gateways per server: from 4 on, one more than the mean's whole part is at most 1.25 times the mean. */
    private static final double LEAST_PICKS = 4;
    /** Fraction of a server's picks in its own zone, if there are other zones; the rest remains when a zone is lost. */
    private static final double OWN_PART = 0.5;
    /** The picks per server are rounded to powers of this, so that not all servers pick anew whenever a server is added. */
    private static final double STEP = 1.05;
    /** A zone has enough gateways for its servers if its gateways per server are at least those of the fleet divided by this. */
    private static final double EQUALLY_CROWDED = 1.25;
    /** A window of 1 s is bad if it has at least {@code MIN_FAILED_ATTEMPTS}, and more failed than successful attempts. */
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final int LEAST_FAILED = 10;
    /** Up to this fraction of failed attempts a window is healthy; a subset widens or narrows by this factor. */
    private static final double CALM_PART = 0.1, WIDER = 2;
    /** A widened subset narrows by a step after this healthy time, which doubles, up to the maximum, if that was too early. */
    private static final long CALM_NANOS = 30 * WINDOW_NANOS, LONGEST_CALM_NANOS = 20 * CALM_NANOS;

    /**
     * A gateway's position in the fleet.
     *
     * @param subsetSize approximate number of servers that a gateway uses
     * @param gatewaysByZone number of gateways by zone; a single entry of any name if there are no zones
     * @param zone the gateway's own zone
     * @param number the gateway's number within its zone, from 0
     */
    public record FleetPosition(int subsetSize, Map<String, Integer> gatewaysByZone, String zone, int number) {
        /** Checks the position; throws an {@link IllegalArgumentException} if there is no such gateway or the size is below 1. */
        public FleetPosition {
            gatewaysByZone = Map.copyOf(gatewaysByZone);
            Integer here = gatewaysByZone.get(zone);
            if (subsetSize < 1 || here == null || number < 0 || number >= here) {
                throw new IllegalArgumentException("subset: no gateway " + number + " of zone '" + zone + "' among "
                        + gatewaysByZone + ", or a size below 1");
            }
        }
    }

    /**
     * A server that enters or leaves the subset.
     *
     * @param node id of the server
     * @param enters whether it enters; otherwise it leaves
     */
    public record Move(String node, boolean enters) { }

    /** A usable server of the fleet. */
    private static final class Node {
        private final String zone;
        /** Number of gateways of this gateway's zone that the server prefers to this gateway. */
        private final int rank;
        /** Offset in [0, 1) by which the server's picks are rounded to whole numbers. */
        private final double rounding;
        /** Whether the server is in the subset. */
        private boolean in;

        Node(String zone, int rank, double rounding) {
            this.zone = zone;
            this.rank = rank;
            this.rounding = rounding;
        }
    }

    /**
     * The picks of each server of one zone, not rounded, added up over the gateways' zones in their order.
     *
     * @param before the sum before this gateway's zone
     * @param with the sum including this gateway's zone
     */
    private record Picks(double before, double with) {
        /** Returns how many gateways of this gateway's zone a server with this rounding offset picks. */
        int of(double rounding) {
            return (int) (Math.floor(with + rounding) - Math.floor(before + rounding));
        }
    }

    private final FleetPosition place;
    private final TreeMap<String, Integer> gateways;
    private final int allGateways;
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, Integer> counts = new HashMap<>();
    private Map<String, Picks> picks = Map.of();
    private int members;
    private double width = 1;
    private int failed;
    private int others;
    private long windowEnds;
    private long calmSince;
    private long calmNanos = CALM_NANOS;

    /** Creates the empty subset of the gateway in this position. */
    public Subset(FleetPosition place) {
        this.place = place;
        gateways = new TreeMap<>(place.gatewaysByZone);
        allGateways = gateways.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Updates the servers of the fleet and returns which ones enter and leave the subset.
     *
     * @param usable zones by server id of servers that may be used; those known before and not named stay
     * @param gone ids of servers that may not be used any more
     */
    public List<Move> update(Map<String, String> usable, Collection<String> gone) {
        List<Move> moves = new ArrayList<>();
        gone.forEach(id -> remove(id, moves));
        usable.forEach((id, zone) -> {
            Node old = nodes.get(id);
            if (old == null || !old.zone.equals(zone)) {
                remove(id, moves);
                nodes.put(id, node(id, zone));
                counts.merge(zone, 1, Integer::sum);
            }
        });
        Map<String, Picks> now = picks();
        if (!now.equals(picks)) {
            picks = now;
            fill(moves);
        } else {
            usable.keySet().forEach(id -> settle(id, nodes.get(id), moves));
        }
        return moves;
    }

    /** Records how an attempt at a server of the subset ended; a request that no server of it could take counts as failed. */
    public void ended(boolean well) {
        if (well) {
            others++;
        } else {
            failed++;
        }
    }

    /**
     * Evaluates the window of 1 s if it is over, and returns which servers enter and leave the subset. A subset whose servers
     * fail is widened, as the rest of the fleet may be healthy; a widened one is narrowed again after a healthy time. If the
     * whole fleet fails, widening leads to connections to all servers; the harm is limited, as these are opened one by one,
     * when requests need them, and closed when idle.
     */
    public List<Move> tick(long now) {
        if (now < windowEnds) {
            return List.of();
        }
        List<Move> moves = new ArrayList<>();
        boolean bad = failed >= LEAST_FAILED && failed > others;
        if (bad && members < nodes.size()) {
            // If the subset had been narrowed, that was too early: waits longer the next time.
            calmNanos = width == 1 && calmSince > 0 ? Math.min(LONGEST_CALM_NANOS, 2 * calmNanos) : calmNanos;
            width *= WIDER;
            fill(moves);
        } else if (!bad && width > 1 && failed <= CALM_PART * (failed + others) && now - calmSince >= calmNanos) {
            width = Math.max(1, width / WIDER);
            calmSince = now;
            fill(moves);
        }
        calmSince = bad || calmSince == 0 || failed > CALM_PART * (failed + others) ? now : calmSince;
        failed = 0;
        others = 0;
        windowEnds = now + WINDOW_NANOS;
        return moves;
    }

    /** Returns whether the server is in the subset. */
    public boolean contains(String id) {
        Node node = nodes.get(id);
        return node != null && node.in;
    }

    /** Returns the number of servers in the subset. */
    public int size() {
        return members;
    }

    /** Returns the factor by which the subset is widened; 1 if it is not. */
    public double width() {
        return width;
    }

    private void remove(String id, List<Move> moves) {
        Node old = nodes.remove(id);
        if (old != null) {
            counts.computeIfPresent(old.zone, (zone, n) -> n == 1 ? null : n - 1);
            if (old.in) {
                members--;
                moves.add(new Move(id, false));
            }
        }
    }

    private Node node(String id, String zone) {
        long seed = mix(hash(id));
        long own = score(seed, place.zone, place.number);
        int rank = 0;
        int here = gateways.get(place.zone);
        long salt = hash(place.zone);
        for (int i = 0; i < here; i++) {
            rank += mix(seed ^ mix(salt + i)) > own ? 1 : 0;
        }
        return new Node(zone, rank, (mix(seed + 1) >>> 11) * 0x1p-53);
    }

    private static long score(long seed, String zone, int number) {
        return mix(seed ^ mix(hash(zone) + number));
    }

    /** Returns the 64-bit FNV-1a hash (Fowler, Noll, Vo) of the characters. */
    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** Mixes the bits by the finalizer of SplitMix64 (Steele, Lea, Flood, 2014). */
    private static long mix(long bits) {
        long z = bits + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private Map<String, Picks> picks() {
        Map<String, Picks> picks = new HashMap<>();
        counts.forEach((zone, n) -> picks.put(zone, picks(zone, n, nodes.size(), each())));
        return picks;
    }

    private double each() {
        double each = stepped((double) allGateways * place.subsetSize / Math.max(1, nodes.size()));
        return Math.min(allGateways, Math.max(LEAST_PICKS, each));
    }

    /** Returns how many gateways each server picks, rounded to a whole number; its in-flight limits are derived from this. */
    public int sharers() {
        return (int) Math.round(each());
    }

    private static double stepped(double value) {
        return Math.pow(STEP, Math.rint(Math.log(value) / Math.log(STEP)));
    }

    /** Returns the pick range of a zone's servers, which pick about half of their gateways in that zone, the rest elsewhere. */
    private Picks picks(String zone, int n, int all, double each) {
        double near = 0;
        int neighbours = gateways.getOrDefault(zone, 0);
        if (neighbours == allGateways) {
            near = each;
        } else if (neighbours > 0) {
            // If the zone has few gateways for its servers, each of them would otherwise get too many servers.
            double crowd = (double) neighbours / n * all / allGateways;
            double part = crowd * EQUALLY_CROWDED >= 1 ? OWN_PART : OWN_PART * stepped(crowd);
            near = Math.min(neighbours, each * part);
        }
        double rest = (each - near) / Math.max(1, allGateways - neighbours);
        double before = 0;
        for (Map.Entry<String, Integer> other : gateways.entrySet()) {
            double own = other.getKey().equals(zone) ? near : rest * other.getValue();
            if (other.getKey().equals(place.zone)) {
                return new Picks(before, before + own);
            }
            before += own;
        }
        throw new IllegalStateException("no gateways in zone " + place.zone);
    }

    /** Decides for every server whether it is selected; widens the subset while it is smaller than half of its intended size. */
    private void fill(List<Move> moves) {
        nodes.forEach((id, node) -> settle(id, node, moves));
        while (2 * members < Math.min(place.subsetSize, nodes.size())) {
            width *= WIDER;
            nodes.forEach((id, node) -> settle(id, node, moves));
        }
    }

    private void settle(String id, Node node, List<Move> moves) {
        Picks of = picks.get(node.zone);
        int own = of.of(node.rounding);
        boolean in = node.rank < (width == 1 ? own : Math.max(own, Math.ceil(width * (of.with - of.before))));
        if (in != node.in) {
            node.in = in;
            members += in ? 1 : -1;
            moves.add(new Move(id, in));
        }
    }
}
