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
class EndpointListDifferTest {
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

    private static List<Endpoint> upEndpoints(int from, int to) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = from; i < to; i++) {
            list.add(up(i));
        }
        return list;
    }

    private static List<Endpoint> addAndTakeAll(EndpointListDiffer changes, EndpointList list) {
        List<Endpoint> endpoints = new ArrayList<>();
        changes.add(list);
        for (EndpointList portion : changes.takeAll()) {
            assertTrue(!portion.snapshot() && portion.endpoints().size() <= 256, "a portion is small and no snapshot");
            endpoints.addAll(portion.endpoints());
        }
        return endpoints;
    }

    @Test
    void aRepeatedSnapshotYieldsOnlyDifferences() {
        EndpointListDiffer changes = new EndpointListDiffer(null);
        assertEquals(10_000, addAndTakeAll(changes, list(true, upEndpoints(0, 10_000))).size());
        assertEquals(List.of(), addAndTakeAll(changes, list(true, upEndpoints(0, 10_000))));
        List<Endpoint> next = upEndpoints(1, 10_000);
        next.set(41, endpoint(42, Readiness.DRAINING, 0));
        next.set(76, endpoint(77, Readiness.READY, 5));
        next.add(up(10_000));
        assertEquals(Set.of(endpoint(42, Readiness.DRAINING, 0), endpoint(77, Readiness.READY, 5), up(10_000),
                endpoint(0, Readiness.GONE, 0)), new HashSet<>(addAndTakeAll(changes, list(true, next))));
    }

    @Test
    void changesAreReportedOnceAndRemovalsOfUnknownServersAreIgnored() {
        EndpointListDiffer changes = new EndpointListDiffer(null);
        addAndTakeAll(changes, list(true, upEndpoints(0, 3)));
        assertEquals(List.of(), addAndTakeAll(changes, list(false, List.of(up(1), endpoint(9, Readiness.GONE, 0)))));
        assertEquals(List.of(endpoint(1, Readiness.GONE, 0)),
                addAndTakeAll(changes, list(false, List.of(endpoint(1, Readiness.GONE, 0)))));
    }

    /** After any changes of the list, the reported changes add up to the subset's part of it, plus draining servers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void reportedChangesAddUpToTheSubsetOfTheList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Subset subset = new Subset(new Subset.FleetPosition(30, Map.of("a", 20, "b", 15), "b", 4));
        EndpointListDiffer changes = new EndpointListDiffer(subset);
        Map<String, Endpoint> list = new LinkedHashMap<>();
        Map<String, Endpoint> view = new HashMap<>();
        long now = 0;
        for (int round = 0; round < 300; round++) {
            boolean snapshot = random.nextInt(10) == 0;
            List<Endpoint> changed = new ArrayList<>();
            for (int i = random.nextInt(1, 20); i > 0; i--) {
                Endpoint endpoint = endpoint(random.nextInt(400), Readiness.values()[random.nextInt(3)], random.nextInt(3));
                changed.add(endpoint);
                list.put(endpoint.info().id(), endpoint);
                if (endpoint.isGone()) {
                    list.remove(endpoint.info().id());
                }
            }
            apply(view, addAndTakeAll(changes, snapshot ? list(true, List.copyOf(list.values())) : list(false, changed)));
            if (random.nextInt(20) == 0) {
                for (int i = 0; i < 40; i++) {
                    changes.recordOutcome(random.nextInt(4) == 0);
                }
                now += 1_000_000_000L;
                changes.tick(now);
                changes.takeAll().forEach(portion -> apply(view, portion.endpoints()));
            }
            list.forEach((id, endpoint) -> {
                if (subset.contains(id)) {
                    assertEquals(endpoint, view.get(id), id);
                } else if (view.containsKey(id)) {
                    assertEquals(Readiness.DRAINING, view.get(id).info().readiness(), id + " is not in the subset");
                }
            });
            view.keySet().forEach(id -> assertTrue(list.containsKey(id), id + " is gone"));
        }
        assertTrue(view.size() > 10, "servers in the view: " + view.size());
    }

    private static void apply(Map<String, Endpoint> view, List<Endpoint> changedEndpoints) {
        for (Endpoint endpoint : changedEndpoints) {
            if (endpoint.isGone()) {
                view.remove(endpoint.info().id());
            } else {
                view.put(endpoint.info().id(), endpoint);
            }
        }
    }
}
