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
 * than its own picks, except when it changes the picks per server (which are rounded to steps) or their split among the zones.
 * All gateways compute the same picks without communication: they need only the list of servers and the numbers of gateways.
 * Does no input or output and reads no clock: the time is a parameter. Not thread-safe.
 */
public final class Subset {
    /** Minimum number of gateways per server: from 4 on, one more than the mean's whole part is at most 1.25 times the mean. */
    private static final double MIN_PICKS_PER_SERVER = 4;
    /** Fraction of a server's picks in its own zone, if there are other zones; the rest remains when a zone is lost. */
    private static final double OWN_ZONE_FRACTION = 0.5;
    /** The picks per server are rounded to powers of this, so that not all servers pick anew whenever a server is added. */
    private static final double PICKS_STEP_RATIO = 1.05;
    /** A zone has enough gateways for its servers if its gateways per server are at least those of the fleet divided by this. */
    private static final double CROWDING_TOLERANCE_RATIO = 1.25;
    /** A window of 1 s is bad if it has at least {@code MIN_FAILED_ATTEMPTS}, and more failed than successful attempts. */
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final int MIN_FAILED_ATTEMPTS = 10;
    /** Up to this fraction of failed attempts a window is healthy; a subset widens or narrows by this factor. */
    private static final double MAX_HEALTHY_FAILED_FRACTION = 0.1, WIDTH_STEP_RATIO = 2;
    /**
     * A widened subset narrows by a step after this healthy time. The time doubles, up to the maximum, whenever failures widen
     * the subset from width 1, the first time included, and never falls again.
     */
    private static final long MIN_NARROW_DELAY_NANOS = 30 * WINDOW_NANOS, MAX_NARROW_DELAY_NANOS = 20 * MIN_NARROW_DELAY_NANOS;

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
                        + gatewaysByZone + ", or a subset size below 1");
            }
        }
    }

    /**
     * A server that enters or leaves the subset.
     *
     * @param serverId id of the server
     * @param added whether it enters; otherwise it leaves
     */
    public record Change(String serverId, boolean added) { }

    /** A usable server of the fleet. */
    private static final class Server {
        private final String zone;
        /** Number of gateways of this gateway's zone that the server prefers to this gateway. */
        private final int rank;
        /** Offset in [0, 1) by which the server's picks are rounded to whole numbers. */
        private final double roundingOffset;
        /** Whether the server is in the subset. */
        private boolean selected;

        Server(String zone, int rank, double roundingOffset) {
            this.zone = zone;
            this.rank = rank;
            this.roundingOffset = roundingOffset;
        }
    }

    /**
     * The picks of each server of one zone, not rounded, added up over the gateways' zones in their order.
     *
     * @param start the sum before this gateway's zone
     * @param end the sum including this gateway's zone
     */
    private record PickRange(double start, double end) {
        /** Returns how many gateways of this gateway's zone a server with this rounding offset picks. */
        int countPicks(double roundingOffset) {
            return (int) (Math.floor(end + roundingOffset) - Math.floor(start + roundingOffset));
        }
    }

    private final FleetPosition position;
    private final TreeMap<String, Integer> gatewaysByZone;
    private final int totalGateways;
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<String, Integer> serverCountByZone = new HashMap<>();
    private Map<String, PickRange> pickRanges = Map.of();
    private int selectedCount;
    private double width = 1;
    private int failed;
    private int succeeded;
    private long windowEndsAt;
    private long healthySince;
    private long narrowDelayNanos = MIN_NARROW_DELAY_NANOS;

    /** Creates the empty subset of the gateway in this position. */
    public Subset(FleetPosition position) {
        this.position = position;
        gatewaysByZone = new TreeMap<>(position.gatewaysByZone);
        totalGateways = gatewaysByZone.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Updates the servers of the fleet and returns which ones enter and leave the subset.
     *
     * @param usable zones by server id of servers that may be used; those known before and not named stay
     * @param unusable ids of servers that may not be used any more
     */
    public List<Change> update(Map<String, String> usable, Collection<String> unusable) {
        List<Change> changes = new ArrayList<>();
        unusable.forEach(id -> remove(id, changes));
        usable.forEach((id, zone) -> {
            Server old = servers.get(id);
            if (old == null || !old.zone.equals(zone)) {
                remove(id, changes);
                servers.put(id, newServer(id, zone));
                serverCountByZone.merge(zone, 1, Integer::sum);
            }
        });
        Map<String, PickRange> newRanges = pickRanges();
        if (!newRanges.equals(pickRanges)) {
            pickRanges = newRanges;
            reselectAll(changes);
        } else {
            usable.keySet().forEach(id -> reselect(id, servers.get(id), changes));
        }
        return changes;
    }

    /** Records how an attempt at a server of the subset ended; a request that no server of it could take counts as failed. */
    public void recordOutcome(boolean success) {
        if (success) {
            succeeded++;
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
    public List<Change> tick(long now) {
        if (now < windowEndsAt) {
            return List.of();
        }
        List<Change> changes = new ArrayList<>();
        boolean bad = failed >= MIN_FAILED_ATTEMPTS && failed > succeeded;
        if (bad && selectedCount < servers.size()) {
            // At width 1, the last narrowing was too early, if there was one: waits longer the next time, in either case.
            narrowDelayNanos = width == 1 && healthySince > 0 ? Math.min(MAX_NARROW_DELAY_NANOS, 2 * narrowDelayNanos)
                    : narrowDelayNanos;
            width *= WIDTH_STEP_RATIO;
            reselectAll(changes);
        } else if (!bad && width > 1 && failed <= MAX_HEALTHY_FAILED_FRACTION * (failed + succeeded)
                && now - healthySince >= narrowDelayNanos) {
            width = Math.max(1, width / WIDTH_STEP_RATIO);
            healthySince = now;
            reselectAll(changes);
        }
        healthySince = bad || healthySince == 0 || failed > MAX_HEALTHY_FAILED_FRACTION * (failed + succeeded) ? now
                : healthySince;
        failed = 0;
        succeeded = 0;
        windowEndsAt = now + WINDOW_NANOS;
        return changes;
    }

    /** Returns whether the server is in the subset. */
    public boolean contains(String id) {
        Server server = servers.get(id);
        return server != null && server.selected;
    }

    /** Returns the number of servers in the subset. */
    public int size() {
        return selectedCount;
    }

    /** Returns the factor by which the subset is widened; 1 if it is not. */
    public double width() {
        return width;
    }

    private void remove(String id, List<Change> changes) {
        Server old = servers.remove(id);
        if (old != null) {
            serverCountByZone.computeIfPresent(old.zone, (zone, n) -> n == 1 ? null : n - 1);
            if (old.selected) {
                selectedCount--;
                changes.add(new Change(id, false));
            }
        }
    }

    private Server newServer(String id, String zone) {
        long seed = mix(hash(id));
        long ownScore = score(seed, position.zone, position.number);
        int rank = 0;
        int ownZoneGateways = gatewaysByZone.get(position.zone);
        long salt = hash(position.zone);
        for (int i = 0; i < ownZoneGateways; i++) {
            rank += mix(seed ^ mix(salt + i)) > ownScore ? 1 : 0;
        }
        return new Server(zone, rank, (mix(seed + 1) >>> 11) * 0x1p-53);
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

    private Map<String, PickRange> pickRanges() {
        Map<String, PickRange> ranges = new HashMap<>();
        serverCountByZone.forEach((zone, zoneServers) ->
                ranges.put(zone, pickRange(zone, zoneServers, servers.size(), meanPicksPerServer())));
        return ranges;
    }

    private double meanPicksPerServer() {
        double rounded = roundToStep((double) totalGateways * position.subsetSize / Math.max(1, servers.size()));
        return Math.min(totalGateways, Math.max(MIN_PICKS_PER_SERVER, rounded));
    }

    /** Returns how many gateways each server picks, rounded to a whole number; its in-flight limits are derived from this. */
    public int gatewaysPerServer() {
        return (int) Math.round(meanPicksPerServer());
    }

    private static double roundToStep(double value) {
        return Math.pow(PICKS_STEP_RATIO, Math.rint(Math.log(value) / Math.log(PICKS_STEP_RATIO)));
    }

    /**
     * Returns the pick range of the servers of one zone, which is not always this gateway's: they pick about half of their
     * gateways in their own zone, the rest elsewhere.
     */
    private PickRange pickRange(String serverZone, int zoneServers, int allServers, double picksPerServer) {
        double serverZonePicks = 0;
        int zoneGateways = gatewaysByZone.getOrDefault(serverZone, 0);
        if (zoneGateways == totalGateways) {
            serverZonePicks = picksPerServer;
        } else if (zoneGateways > 0) {
            // If the zone has few gateways for its servers, each of them would otherwise get too many servers.
            double relativeDensity = (double) zoneGateways / zoneServers * allServers / totalGateways;
            double serverZoneFraction = relativeDensity * CROWDING_TOLERANCE_RATIO >= 1 ? OWN_ZONE_FRACTION
                    : OWN_ZONE_FRACTION * roundToStep(relativeDensity);
            serverZonePicks = Math.min(zoneGateways, picksPerServer * serverZoneFraction);
        }
        double picksPerRemoteGateway = (picksPerServer - serverZonePicks) / Math.max(1, totalGateways - zoneGateways);
        double start = 0;
        for (Map.Entry<String, Integer> other : gatewaysByZone.entrySet()) {
            double zonePicks = other.getKey().equals(serverZone) ? serverZonePicks : picksPerRemoteGateway * other.getValue();
            if (other.getKey().equals(position.zone)) {
                return new PickRange(start, start + zonePicks);
            }
            start += zonePicks;
        }
        throw new IllegalStateException("no gateways in zone " + position.zone);
    }

    /** Decides for every server whether it is selected; widens the subset while it is smaller than half of its intended size. */
    private void reselectAll(List<Change> changes) {
        servers.forEach((id, server) -> reselect(id, server, changes));
        while (2 * selectedCount < Math.min(position.subsetSize, servers.size())) {
            width *= WIDTH_STEP_RATIO;
            servers.forEach((id, server) -> reselect(id, server, changes));
        }
    }

    private void reselect(String id, Server server, List<Change> changes) {
        PickRange range = pickRanges.get(server.zone);
        int picks = range.countPicks(server.roundingOffset);
        boolean select = server.rank < (width == 1 ? picks
                : Math.max(picks, Math.ceil(width * (range.end - range.start))));
        if (select != server.selected) {
            server.selected = select;
            selectedCount += select ? 1 : -1;
            changes.add(new Change(id, select));
        }
    }
}
