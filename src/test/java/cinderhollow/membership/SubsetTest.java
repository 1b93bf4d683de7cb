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

    private static Map<String, String> nodes(int from, int to) {
        Map<String, String> nodes = new LinkedHashMap<>();
        for (int i = from; i < to; i++) {
            nodes.put("node-" + i, ZONES.get(i % ZONES.size()));
        }
        return nodes;
    }

    /** Returns the subsets of all gateways of a fleet whose gateways are assigned to the zones in turn. */
    private static List<Subset> fleet(int gateways, int size, Map<String, String> nodes) {
        Map<String, Integer> byZone = new HashMap<>();
        for (int g = 0; g < gateways; g++) {
            byZone.merge(ZONES.get(g % ZONES.size()), 1, Integer::sum);
        }
        List<Subset> fleet = new ArrayList<>();
        for (int g = 0; g < gateways; g++) {
            Subset subset = new Subset(new Subset.FleetPosition(size, byZone, ZONES.get(g % ZONES.size()), g / ZONES.size()));
            subset.update(nodes, List.of());
            fleet.add(subset);
        }
        return fleet;
    }

    private static Map<String, Integer> gatewaysOf(List<Subset> fleet, Map<String, String> nodes) {
        Map<String, Integer> counts = new HashMap<>();
        nodes.keySet().forEach(id -> counts.put(id, (int) fleet.stream().filter(s -> s.contains(id)).count()));
        return counts;
    }

    private static Set<String> pairs(List<Subset> fleet, Map<String, String> nodes) {
        Set<String> pairs = new HashSet<>();
        for (int g = 0; g < fleet.size(); g++) {
            for (String id : nodes.keySet()) {
                if (fleet.get(g).contains(id)) {
                    pairs.add(g + " " + id);
                }
            }
        }
        return pairs;
    }

    private static long moved(Set<String> before, Set<String> after) {
        return before.stream().filter(p -> !after.contains(p)).count() + after.stream().filter(p -> !before.contains(p)).count();
    }

    @ParameterizedTest
    @CsvSource({"60, 2000, 200", "500, 3000, 30", "30, 1000, 10", "7, 300, 50", "3, 40, 20"})
    void noNodeHasMoreThanAQuarterMoreGatewaysThanTheMean(int gateways, int count, int size) {
        Map<String, String> nodes = nodes(0, count);
        List<Subset> fleet = fleet(gateways, size, nodes);
        Map<String, Integer> of = gatewaysOf(fleet, nodes);
        double mean = of.values().stream().mapToInt(Integer::intValue).average().orElseThrow();
        int most = of.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        int least = of.values().stream().mapToInt(Integer::intValue).min().orElseThrow();
        assertTrue(most <= 1.25 * mean, most + " exceeds 1.25 times the mean of " + mean);
        assertTrue(least >= 1 && most - least <= 2, least + " to " + most);
        double sizes = fleet.stream().mapToInt(Subset::size).average().orElseThrow();
        assertTrue(sizes >= size * 0.95, "mean size " + sizes);
    }

    @Test
    void subsetsAreOfTheirSizeAndSpreadOverZones() {
        Map<String, String> nodes = nodes(0, 6_000);
        for (Subset subset : fleet(90, 300, nodes)) {
            assertTrue(subset.size() > 230 && subset.size() < 370, "size " + subset.size());
            for (String zone : ZONES) {
                long here = nodes.entrySet().stream().filter(e -> e.getValue().equals(zone) && subset.contains(e.getKey())).count();
                // About 150 of its own zone and 75 of each other zone.
                assertTrue(here >= 40 && here <= 200, zone + " has " + here);
            }
        }
    }

    /** An added or removed server must change no pairs of a gateway and a server but its own. */
    @Test
    void aNodeThatComesOrGoesMovesItsOwnPicksAlone() {
        Map<String, String> nodes = nodes(0, 3_000);
        List<Subset> fleet = fleet(100, 300, nodes);
        Set<String> before = pairs(fleet, nodes);
        Map<String, String> more = nodes(0, 3_001);
        fleet.forEach(s -> s.update(Map.of("node-3000", "a"), List.of()));
        Set<String> with = pairs(fleet, more);
        assertTrue(with.containsAll(before));
        assertTrue(with.size() - before.size() <= 11, "pairs added: " + (with.size() - before.size()));
        fleet.forEach(s -> s.update(Map.of(), List.of("node-17")));
        Set<String> without = pairs(fleet, more);
        assertTrue(without.stream().noneMatch(p -> p.endsWith(" node-17")));
        assertEquals(with.stream().filter(p -> !p.endsWith(" node-17")).toList().size(), without.size());
        assertTrue(with.containsAll(without));
    }

    /** A gateway added to 100 must take over at least its own subset, which the others give up; not much more may change. */
    @Test
    void aGatewayThatComesMovesAboutItsOwnSubset() {
        Map<String, String> nodes = nodes(0, 3_000);
        List<Subset> before = fleet(100, 300, nodes);
        List<Subset> after = fleet(101, 300, nodes);
        long own = after.get(100).size();
        long moved = moved(pairs(before, nodes), pairs(after, nodes));
        assertTrue(moved <= 4 * own, moved + " pairs changed; size of the new subset: " + own);
    }

    @Test
    void manyNodesMoreMoveNoMoreThanTheirPart() {
        Map<String, String> nodes = nodes(0, 3_000);
        Map<String, String> more = nodes(0, 3_300);
        List<Subset> fleet = fleet(100, 300, nodes);
        Set<String> before = pairs(fleet, more);
        fleet.forEach(s -> s.update(nodes(3_000, 3_300), List.of()));
        Set<String> after = pairs(fleet, more);
        // The minimum: the new servers' share of all pairs is removed from the other servers and added to the new ones.
        double least = 2.0 * after.size() * 300 / 3_300;
        assertTrue(moved(before, after) <= 1.3 * least, moved(before, after) + " pairs changed; minimum: " + least);
    }

    /** The subset depends on the current list only, not on the order or number of its updates or on servers removed before. */
    @Test
    void equalListsGiveEqualSubsets() {
        Map<String, String> nodes = nodes(0, 1_000);
        Subset whole = fleet(50, 100, nodes).get(7);
        Subset again = fleet(50, 100, nodes(1_000, 1_700)).get(7);
        again.update(Map.of(), nodes(1_000, 1_700).keySet());
        List<String> ids = new ArrayList<>(nodes.keySet());
        Collections.reverse(ids);
        ids.forEach(id -> again.update(Map.of(id, nodes.get(id)), List.of()));
        nodes.keySet().forEach(id -> assertEquals(whole.contains(id), again.contains(id), id));
    }

    @Test
    void theLossOfAZoneFillsTheSubsetFromTheOthers() {
        Map<String, String> nodes = nodes(0, 3_000);
        List<String> lost = nodes.keySet().stream().filter(id -> nodes.get(id).equals("a")).toList();
        for (Subset subset : fleet(99, 150, nodes)) {
            subset.update(Map.of(), lost);
            assertTrue(subset.size() >= 75, "size " + subset.size());
            assertTrue(lost.stream().noneMatch(subset::contains));
        }
    }

    /** If all servers of a subset fail while the others are healthy, it doubles until most attempts succeed. */
    @Test
    void aFailingSubsetWidensAndNarrowsAgain() {
        Map<String, String> nodes = nodes(0, 2_000);
        Subset subset = fleet(50, 100, nodes).get(3);
        int usual = subset.size();
        Set<String> sick = new HashSet<>(nodes.keySet().stream().filter(subset::contains).toList());
        long now = SECOND;
        subset.tick(now);
        for (int second = 0; second < 4; second++) {
            int before = subset.size();
            List<String> members = nodes.keySet().stream().filter(subset::contains).toList();
            for (int i = 0; i < 100; i++) {
                subset.ended(!sick.contains(members.get(i * members.size() / 100)));
            }
            now += SECOND;
            subset.tick(now);
            assertTrue(second > 0 || subset.size() > 1.5 * before, before + " to " + subset.size());
        }
        assertTrue(subset.size() >= 2 * usual - 10, subset.size() + " servers; initially " + usual);
        assertTrue(2 * sick.size() <= subset.size() + 10, sick.size() + " of " + subset.size());
        assertTrue(nodes.keySet().stream().filter(sick::contains).allMatch(subset::contains), "servers leave a subset that widens");
        for (int second = 0; second < 120; second++) {
            for (int i = 0; i < 100; i++) {
                subset.ended(true);
            }
            now += SECOND;
            subset.tick(now);
        }
        assertEquals(usual, subset.size());
        assertEquals(1, subset.width());
    }

    @Test
    void fewFailuresDoNotWiden() {
        Map<String, String> nodes = nodes(0, 500);
        Subset subset = fleet(50, 100, nodes).get(3);
        int usual = subset.size();
        for (int second = 1; second < 10; second++) {
            for (int i = 0; i < 9; i++) {
                subset.ended(false);
            }
            subset.tick(second * SECOND);
        }
        assertEquals(usual, subset.size());
    }

    @Test
    void aPlaceThatIsNoneIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Subset.FleetPosition(10, Map.of("a", 3), "a", 3));
        assertThrows(IllegalArgumentException.class, () -> new Subset.FleetPosition(10, Map.of("a", 3), "b", 0));
        assertThrows(IllegalArgumentException.class, () -> new Subset.FleetPosition(0, Map.of("a", 3), "a", 0));
    }
}
