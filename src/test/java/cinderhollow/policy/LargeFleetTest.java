package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.*;
import cinderhollow.policy.State.Request;
import cinderhollow.policy.State.Server;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Draws that don't walk the fleet: the same law as the walk, which stays as the reference. */
class LargeFleetTest {
    private static final int DRAWS = 60_000;

    private static Request fresh(Fleet fleet) {
        return new Request("probe", fleet.choice.kind("read"), false, null, fleet.now, fleet.now + 2 * SECOND);
    }

    private static Map<String, Integer> counts(Function<Request, Server> draw, Fleet fleet) {
        Map<String, Integer> counts = new HashMap<>();
        Request r = fresh(fleet);
        for (int i = 0; i < DRAWS; i++) {
            counts.merge(draw.apply(r).info.id(), 1, Integer::sum);
        }
        return counts;
    }

    /** A fleet with unlike shares, requests out, doubtful and cold servers and two zones. */
    private static Fleet random(long seed, int servers) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(Fleet.settings(false), seed);
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, random.nextInt(3) == 0 ? "b" : "a", Readiness.READY,
                    random.nextInt(10) == 0 ? fleet.now - random.nextLong(5 * SECOND, 19 * SECOND) : 0));
        }
        fleet.list(ListKind.CACHED, list);
        for (int round = 0; round < 12; round++) {
            for (int i = 0; i < 2 * servers; i++) {
                String id = fleet.ask(random.nextInt(4) == 0 ? ORDER : READ);
                String at = fleet.sentTo();
                if (at != null && (round < 11 || i % 4 > 0)) {
                    Outcome outcome = at.hashCode() % 17 == 0 ? Outcome.ERROR : Outcome.SERVED;
                    fleet.end(id, 0, at, outcome, (1 + Math.floorMod(at.hashCode(), 9)) * 5 * MS, true);
                }
                fleet.host.take();
            }
            fleet.now += SECOND;
            fleet.fire(Fleet.STEP);
            fleet.fire(Fleet.SWEEP);
            fleet.host.take();
        }
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theLawIsThatOfTheWalk(long seed) {
        int servers = 65 + (int) seed * 20;
        Fleet fleet = random(seed, servers);
        Map<String, Integer> quick = counts(fleet.choice::draw, fleet);
        Map<String, Integer> walked = counts(r -> fleet.choice.walk(r, fleet.choice.ready()), fleet);
        Set<String> both = new HashSet<>(quick.keySet());
        both.addAll(walked.keySet());
        double chiSquare = 0;
        for (String id : both) {
            double a = quick.getOrDefault(id, 0);
            double b = walked.getOrDefault(id, 0);
            chiSquare += (a - b) * (a - b) / (a + b);
        }
        double freedom = both.size() - 1;
        assertTrue(both.size() > servers / 3, "drawn " + both.size());
        assertTrue(chiSquare < freedom + 4.5 * Math.sqrt(2 * freedom), "seed " + seed + ": " + chiSquare + ", " + freedom);
    }

    /** The one server with room among thousands is found, and then no more than the walk would find. */
    @Test
    void theLastServerWithRoomIsFound() {
        Fleet fleet = new Fleet().with(2000);
        Set<String> sent = new HashSet<>();
        for (int i = 0; i < 2000; i++) {
            fleet.ask(READ);
            String at = fleet.sentTo();
            assertNotNull(at, "request " + i);
            assertTrue(sent.add(at), at + " has one already");
        }
        fleet.ask(READ);
        assertEquals(0, fleet.host.take("send").size());
    }

    @Test
    void whoEndsAnAttemptIsFoundAtOnceWhereNobodyElseHasRoom() {
        Fleet fleet = new Fleet().with(500);
        Map<String, String> out = new HashMap<>();
        for (int i = 0; i < 500; i++) {
            String id = fleet.ask(READ);
            out.put(fleet.sentTo(), id);
        }
        List<String> held = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            held.add(fleet.ask(READ));
        }
        fleet.host.take();
        fleet.end(out.get("s17"), 0, "s17", Outcome.SERVED, 5 * MS);
        List<Recorder.Action> sends = fleet.host.take("send");
        assertTrue(!sends.isEmpty() && sends.stream().allMatch(a -> a.server().equals("s17")), sends::toString);
        assertEquals(held.get(299), sends.get(0).id(), "the newest of equals first, as with few servers");
    }

    /** Half of 10,000 drain at once, and all are replaced by new ids: nothing goes to who has gone. */
    @Test
    void aListOfThousandsChangesAtOnce() {
        Fleet fleet = new Fleet().with(10_000);
        List<ServerInfo> half = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            half.add(server("s" + i, "a", Readiness.DRAINING, 0));
        }
        fleet.list(ListKind.CHANGES, half);
        for (int i = 0; i < 2_000; i++) {
            String at = fleet.serve(READ, Outcome.SERVED, 5 * MS);
            assertTrue(Integer.parseInt(at.substring(1)) >= 5_000, at);
        }
        List<ServerInfo> others = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            others.add(server("t" + i));
        }
        fleet.list(ListKind.WHOLE, others);
        for (int i = 0; i < 2_000; i++) {
            assertTrue(fleet.serve(READ, Outcome.SERVED, 5 * MS).startsWith("t"));
        }
    }
}
