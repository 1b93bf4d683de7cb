package cinderhollow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that lists are turned into portions of changes, limited to the gateway's subset if there is one. */
class ListChangesTest {
    private static Endpoint endpoint(int number, Readiness readiness, long startedAt) {
        return new Endpoint(new ServerInfo("n" + number, number % 2 == 0 ? "a" : "b", "std", 0, readiness, 1, startedAt),
                readiness == Readiness.GONE ? null : InetSocketAddress.createUnresolved("n", 1 + number));
    }

    private static Endpoint up(int number) {
        return endpoint(number, Readiness.READY, 0);
    }

    private static EndpointList list(boolean snapshot, List<Endpoint> endpoints) {
        return new EndpointList(1, snapshot, endpoints);
    }

    private static List<Endpoint> many(int from, int to) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = from; i < to; i++) {
            list.add(up(i));
        }
        return list;
    }

    private static List<Endpoint> told(EndpointListDiffer changes, EndpointList list) {
        List<Endpoint> all = new ArrayList<>();
        changes.add(list);
        for (EndpointList portion : changes.takeAll()) {
            assertTrue(!portion.snapshot() && portion.endpoints().size() <= 256, "a portion is small and no snapshot");
            all.addAll(portion.endpoints());
        }
        return all;
    }

    @Test
    void aListToldWholeAgainComesToWhatDiffers() {
        EndpointListDiffer changes = new EndpointListDiffer(null);
        assertEquals(10_000, told(changes, list(true, many(0, 10_000))).size());
        assertEquals(List.of(), told(changes, list(true, many(0, 10_000))));
        List<Endpoint> next = many(1, 10_000);
        next.set(41, endpoint(42, Readiness.DRAINING, 0));
        next.set(76, endpoint(77, Readiness.READY, 5));
        next.add(up(10_000));
        assertEquals(Set.of(endpoint(42, Readiness.DRAINING, 0), endpoint(77, Readiness.READY, 5), up(10_000),
                endpoint(0, Readiness.GONE, 0)), new HashSet<>(told(changes, list(true, next))));
    }

    @Test
    void changesAreToldOnceAndWhatNobodyKnowsIsNotTakenAway() {
        EndpointListDiffer changes = new EndpointListDiffer(null);
        told(changes, list(true, many(0, 3)));
        assertEquals(List.of(), told(changes, list(false, List.of(up(1), endpoint(9, Readiness.GONE, 0)))));
        assertEquals(List.of(endpoint(1, Readiness.GONE, 0)), told(changes, list(false, List.of(endpoint(1, Readiness.GONE, 0)))));
    }

    /** After any changes of the list, the reported changes add up to the subset's part of it, plus draining servers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatIsToldAddsUpToTheSubsetsPartOfTheList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Subset subset = new Subset(new Subset.FleetPosition(30, Map.of("a", 20, "b", 15), "b", 4));
        EndpointListDiffer changes = new EndpointListDiffer(subset);
        Map<String, Endpoint> list = new LinkedHashMap<>();
        Map<String, Endpoint> held = new HashMap<>();
        long now = 0;
        for (int round = 0; round < 300; round++) {
            boolean whole = random.nextInt(10) == 0;
            List<Endpoint> moved = new ArrayList<>();
            for (int i = random.nextInt(1, 20); i > 0; i--) {
                Endpoint endpoint = endpoint(random.nextInt(400), Readiness.values()[random.nextInt(3)], random.nextInt(3));
                moved.add(endpoint);
                list.put(endpoint.info().id(), endpoint);
                if (endpoint.isGone()) {
                    list.remove(endpoint.info().id());
                }
            }
            hear(held, told(changes, whole ? list(true, List.copyOf(list.values())) : list(false, moved)));
            if (random.nextInt(20) == 0) {
                for (int i = 0; i < 40; i++) {
                    changes.recordOutcome(random.nextInt(4) == 0);
                }
                now += 1_000_000_000L;
                changes.tick(now);
                changes.takeAll().forEach(portion -> hear(held, portion.endpoints()));
            }
            list.forEach((id, endpoint) -> {
                if (subset.contains(id)) {
                    assertEquals(endpoint, held.get(id), id);
                } else if (held.containsKey(id)) {
                    assertEquals(Readiness.DRAINING, held.get(id).info().readiness(), id + " is not in the subset");
                }
            });
            held.keySet().forEach(id -> assertTrue(list.containsKey(id), id + " is gone"));
        }
        assertTrue(held.size() > 10, "servers in the view: " + held.size());
    }

    private static void hear(Map<String, Endpoint> held, List<Endpoint> told) {
        for (Endpoint endpoint : told) {
            if (endpoint.isGone()) {
                held.remove(endpoint.info().id());
            } else {
                held.put(endpoint.info().id(), endpoint);
            }
        }
    }
}
