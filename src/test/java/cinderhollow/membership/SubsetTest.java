package cinderhollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the subsets of many gateways are even, stable, spread over zones, and wider while their servers fail. */
class SubsetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private static Map<String, String> makeServers(int from, int to) {
        Map<String, String> servers = new LinkedHashMap<>();
        for (int i = from; i < to; i++) {
            servers.put("node-" + i, ZONES.get(i % ZONES.size()));
        }
        return servers;
    }

    /** Returns the subsets of all gateways of a fleet whose gateways are assigned to the zones in turn. */
    private static List<Subset> fleet(int gateways, int size, Map<String, String> servers) {
        Map<String, Integer> byZone = new HashMap<>();
        for (int g = 0; g < gateways; g++) {
            byZone.merge(ZONES.get(g % ZONES.size()), 1, Integer::sum);
        }
        List<Subset> fleet = new ArrayList<>();
        for (int g = 0; g < gateways; g++) {
            Subset subset = new Subset(new Subset.FleetPosition(size, byZone, ZONES.get(g % ZONES.size()), g / ZONES.size()));
            subset.update(servers, List.of());
            fleet.add(subset);
        }
        return fleet;
    }

    private static Map<String, Integer> gatewaysPerServer(List<Subset> fleet, Map<String, String> servers) {
        Map<String, Integer> counts = new HashMap<>();
        servers.keySet().forEach(id -> counts.put(id, (int) fleet.stream().filter(s -> s.contains(id)).count()));
        return counts;
    }

    private static Set<String> gatewayServerPairs(List<Subset> fleet, Map<String, String> servers) {
        Set<String> pairs = new HashSet<>();
        for (int g = 0; g < fleet.size(); g++) {
            for (String id : servers.keySet()) {
                if (fleet.get(g).contains(id)) {
                    pairs.add(g + " " + id);
                }
            }
        }
        return pairs;
    }

    private static long countChangedPairs(Set<String> before, Set<String> after) {
        return before.stream().filter(p -> !after.contains(p)).count() + after.stream().filter(p -> !before.contains(p)).count();
    }

    @ParameterizedTest
    @CsvSource({"60, 2000, 200", "500, 3000, 30", "30, 1000, 10", "7, 300, 50", "3, 40, 20"})
    void noServerHasMoreThanAQuarterMoreGatewaysThanTheMean(int gateways, int count, int size) {
        Map<String, String> servers = makeServers(0, count);
        List<Subset> fleet = fleet(gateways, size, servers);
        Map<String, Integer> gatewayCounts = gatewaysPerServer(fleet, servers);
        double mean = gatewayCounts.values().stream().mapToInt(Integer::intValue).average().orElseThrow();
        int max = gatewayCounts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        int min = gatewayCounts.values().stream().mapToInt(Integer::intValue).min().orElseThrow();
        assertTrue(max <= 1.25 * mean, max + " exceeds 1.25 times the mean of " + mean);
        assertTrue(min >= 1 && max - min <= 2, min + " to " + max);
        double meanSize = fleet.stream().mapToInt(Subset::size).average().orElseThrow();
        assertTrue(meanSize >= size * 0.95, "mean size " + meanSize);
    }

    @Test
    void subsetsAreOfTheirSizeAndSpreadOverZones() {
        Map<String, String> servers = makeServers(0, 6_000);
        for (Subset subset : fleet(90, 300, servers)) {
            assertTrue(subset.size() > 230 && subset.size() < 370, "size " + subset.size());
            for (String zone : ZONES) {
                long here = servers.entrySet().stream().filter(e -> e.getValue().equals(zone) && subset.contains(e.getKey()))
                        .count();
                // About 150 of its own zone and 75 of each other zone.
                assertTrue(here >= 40 && here <= 200, zone + " has " + here);
            }
        }
    }

    /** An added or removed server must change no pairs of a gateway and a server but its own. */
    @Test
    void addingOrRemovingAServerChangesItsOwnPicksAlone() {
        Map<String, String> servers = makeServers(0, 3_000);
        List<Subset> fleet = fleet(100, 300, servers);
        Set<String> before = gatewayServerPairs(fleet, servers);
        Map<String, String> moreServers = makeServers(0, 3_001);
        fleet.forEach(s -> s.update(Map.of("node-3000", "a"), List.of()));
        Set<String> withAdded = gatewayServerPairs(fleet, moreServers);
        assertTrue(withAdded.containsAll(before));
        assertTrue(withAdded.size() - before.size() <= 11, "pairs added: " + (withAdded.size() - before.size()));
        fleet.forEach(s -> s.update(Map.of(), List.of("node-17")));
        Set<String> withoutRemoved = gatewayServerPairs(fleet, moreServers);
        assertTrue(withoutRemoved.stream().noneMatch(p -> p.endsWith(" node-17")));
        assertEquals(withAdded.stream().filter(p -> !p.endsWith(" node-17")).toList().size(), withoutRemoved.size());
        assertTrue(withAdded.containsAll(withoutRemoved));
    }

    /** A gateway added to 100 must take over at least its own subset, which the others give up; not much more may change. */
    @Test
    void addingAGatewayMovesAboutItsOwnSubset() {
        Map<String, String> servers = makeServers(0, 3_000);
        List<Subset> before = fleet(100, 300, servers);
        List<Subset> after = fleet(101, 300, servers);
        long newSubsetSize = after.get(100).size();
        long changedPairs = countChangedPairs(gatewayServerPairs(before, servers), gatewayServerPairs(after, servers));
        assertTrue(changedPairs <= 4 * newSubsetSize, changedPairs + " pairs changed; size of the new subset: " + newSubsetSize);
    }

    @Test
    void addingManyServersMovesLittleMoreThanTheirShare() {
        Map<String, String> servers = makeServers(0, 3_000);
        Map<String, String> moreServers = makeServers(0, 3_300);
        List<Subset> fleet = fleet(100, 300, servers);
        Set<String> before = gatewayServerPairs(fleet, moreServers);
        fleet.forEach(s -> s.update(makeServers(3_000, 3_300), List.of()));
        Set<String> after = gatewayServerPairs(fleet, moreServers);
        // The minimum: the new servers' share of all pairs is removed from the other servers and added to the new ones.
        double minChangedPairs = 2.0 * after.size() * 300 / 3_300;
        assertTrue(countChangedPairs(before, after) <= 1.3 * minChangedPairs, countChangedPairs(before, after)
                + " pairs changed; minimum: " + minChangedPairs);
    }

    /** The subset depends on the current list only, not on the order or number of its updates or on servers removed before. */
    @Test
    void equalListsGiveEqualSubsets() {
        Map<String, String> servers = makeServers(0, 1_000);
        Subset updatedAtOnce = fleet(50, 100, servers).get(7);
        Subset updatedStepwise = fleet(50, 100, makeServers(1_000, 1_700)).get(7);
        updatedStepwise.update(Map.of(), makeServers(1_000, 1_700).keySet());
        List<String> ids = new ArrayList<>(servers.keySet());
        Collections.reverse(ids);
        ids.forEach(id -> updatedStepwise.update(Map.of(id, servers.get(id)), List.of()));
        servers.keySet().forEach(id -> assertEquals(updatedAtOnce.contains(id), updatedStepwise.contains(id), id));
    }

    @Test
    void theLossOfAZoneFillsTheSubsetFromTheOthers() {
        Map<String, String> servers = makeServers(0, 3_000);
        List<String> lost = servers.keySet().stream().filter(id -> servers.get(id).equals("a")).toList();
        for (Subset subset : fleet(99, 150, servers)) {
            subset.update(Map.of(), lost);
            assertTrue(subset.size() >= 75, "size " + subset.size());
            assertTrue(lost.stream().noneMatch(subset::contains));
        }
    }

    /** If all servers of a subset fail while the others are healthy, it doubles until most attempts succeed. */
    @Test
    void aFailingSubsetWidensAndNarrowsAgain() {
        Map<String, String> servers = makeServers(0, 2_000);
        Subset subset = fleet(50, 100, servers).get(3);
        int initialSize = subset.size();
        Set<String> failing = new HashSet<>(servers.keySet().stream().filter(subset::contains).toList());
        long now = SECOND;
        subset.tick(now);
        for (int second = 0; second < 4; second++) {
            int before = subset.size();
            List<String> members = servers.keySet().stream().filter(subset::contains).toList();
            for (int i = 0; i < 100; i++) {
                subset.recordOutcome(!failing.contains(members.get(i * members.size() / 100)));
            }
            now += SECOND;
            subset.tick(now);
            assertTrue(second > 0 || subset.size() > 1.5 * before, before + " to " + subset.size());
        }
        assertTrue(subset.size() >= 2 * initialSize - 10, subset.size() + " servers; initially " + initialSize);
        assertTrue(2 * failing.size() <= subset.size() + 10, failing.size() + " of " + subset.size());
        assertTrue(servers.keySet().stream().filter(failing::contains).allMatch(subset::contains),
                "servers leave a subset that widens");
        for (int second = 0; second < 120; second++) {
            for (int i = 0; i < 100; i++) {
                subset.recordOutcome(true);
            }
            now += SECOND;
            subset.tick(now);
        }
        assertEquals(initialSize, subset.size());
        assertEquals(1, subset.width());
    }

    @Test
    void fewFailuresDoNotWiden() {
        Map<String, String> servers = makeServers(0, 500);
        Subset subset = fleet(50, 100, servers).get(3);
        int initialSize = subset.size();
        for (int second = 1; second < 10; second++) {
            for (int i = 0; i < 9; i++) {
                subset.recordOutcome(false);
            }
            subset.tick(second * SECOND);
        }
        assertEquals(initialSize, subset.size());
    }

    @Test
    void anInvalidPositionIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new Subset.FleetPosition(10, Map.of("a", 3), "a", 3));
        assertThrows(IllegalArgumentException.class, () -> new Subset.FleetPosition(10, Map.of("a", 3), "b", 0));
        assertThrows(IllegalArgumentException.class, () -> new Subset.FleetPosition(0, Map.of("a", 3), "a", 0));
    }
}
