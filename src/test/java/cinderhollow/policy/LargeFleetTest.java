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

/** Draws in large fleets, which don't scan all servers, have the same distribution as the scan, which serves as the reference. */
class LargeFleetTest {
    private static final int DRAWS = 60_000;

    private static Request fresh(Fleet fleet) {
        return new Request("probe", fleet.choice.kind("read"), false, null, fleet.now, fleet.now + 2 * SECOND, 4);
    }

    private static Map<String, Integer> counts(Function<Request, Server> draw, Fleet fleet) {
        Map<String, Integer> counts = new HashMap<>();
        Request r = fresh(fleet);
        for (int i = 0; i < DRAWS; i++) {
            counts.merge(draw.apply(r).info.id(), 1, Integer::sum);
        }
        return counts;
    }

    /**
     * Returns a fleet with unlike shares, attempts in flight, suspect and cold servers and two zones, where each server gets
     * this many quarters of a request a tick.
     */
    private static Fleet random(long seed, int servers, int perServer) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(Fleet.settings(false), seed);
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, random.nextInt(3) == 0 ? "b" : "a", Readiness.READY,
                    random.nextInt(10) == 0 ? fleet.now - random.nextLong(5 * SECOND, 19 * SECOND) : 0));
        }
        fleet.list(ListKind.CACHED, list);
        for (int round = 0; round < 12; round++) {
            for (int i = 0; i < servers * perServer / 4; i++) {
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
        Fleet fleet = random(seed, servers, 8);
        assertTrue(assertSameLaw(seed, fleet) > servers / 3);
    }

    /**
     * Where a server gets about one request in four ticks, servers with a reusable connection are drawn far more often than the
     * others.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void theLawIsThatOfTheWalkWhereTrafficIsThin(long seed) {
        Fleet fleet = random(seed, 65 + (int) seed * 20, 1);
        assertSameLaw(seed, fleet);
    }

    /** Connections become reusable and stop being so in every way in which an in-flight place is taken and released. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void theLawIsThatOfTheWalkWhileKeptOnesComeAndGo(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = random(seed, 300, 1);
        List<String[]> out = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            out.add(new String[] {fleet.ask(READ), fleet.sentTo()});
            if (random.nextInt(3) > 0) {
                String[] one = out.remove(random.nextInt(out.size()));
                fleet.end(one[0], 0, one[1], List.of(Outcome.SERVED, Outcome.SERVED, Outcome.NOT_SENT, Outcome.CONNECT_FAILED)
                        .get(random.nextInt(4)), 20 * MS, true);
            }
            if (i % 20 == 0) {
                fleet.list(ListKind.CHANGES, server("s" + random.nextInt(300), "a",
                        random.nextBoolean() ? Readiness.READY : Readiness.GONE, 0));
            }
            fleet.now += 2 * MS;
            fleet.host.take();
        }
        fleet.fire(Fleet.SWEEP);
        assertSameLaw(seed, fleet);
    }

    /**
     * The number of servers that a draw examines depends neither on the size of the fleet nor on how many servers answered
     * lately; it is counted, not timed. At a request for four servers a tick and less, servers that answered lately are
     * preferred.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.25, 0.9, 1.5})
    void aDrawLooksAtFewHoweverManyAnsweredLately(double perServer) {
        int servers = 5_000;
        Fleet fleet = new Fleet().with(servers);
        int asked = 0;
        long before = 0;
        for (int tick = 0; tick < 6; tick++) {
            before = tick == 2 ? fleet.choice.looks : before;
            for (int i = 0; i < servers * perServer; i++) {
                fleet.serve(READ, Outcome.SERVED, 5 * MS);
                fleet.host.take();
                asked += tick >= 2 ? 1 : 0;
            }
            fleet.now += SECOND;
            fleet.fire(Fleet.STEP);
            fleet.fire(Fleet.SWEEP);
        }
        double looks = (fleet.choice.looks - before) / (double) asked;
        System.out.println(perServer + " requests a server and tick: " + looks + " servers looked at a draw");
        assertTrue(looks < 16, perServer + " requests a server and tick: " + looks + " servers looked at a draw");
    }

    /** Draws both ways, compares them by chi-square and returns how many servers were drawn. */
    private static int assertSameLaw(long seed, Fleet fleet) {
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
        assertTrue(chiSquare < freedom + 4.5 * Math.sqrt(2 * freedom), "seed " + seed + ": " + chiSquare + ", " + freedom);
        return both.size();
    }

    /** The one server with room among thousands is found, and after that no more than the scan would find. */
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

    /** Half of 10,000 servers drain at once, and all are replaced by new ids: nothing is sent to servers that are gone. */
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

    /** Hundreds of changes, applied one by one, lead to the same fleet and the same distribution as the whole list. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void changesAddUpToTheWholeList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(Fleet.settings(false), seed).with(300, "b");
        Map<String, ServerInfo> told = new HashMap<>();
        fleet.choice.ready().forEach(s -> told.put(s.info.id(), s.info));
        Map<String, String> out = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            List<ServerInfo> changes = new ArrayList<>();
            for (int j = random.nextInt(1, 6); j > 0; j--) {
                Readiness readiness = Readiness.values()[random.nextInt(3)];
                long started = random.nextInt(2) == 0 ? 0 : fleet.now - random.nextLong(25 * SECOND);
                changes.add(server("s" + random.nextInt(400), random.nextInt(3) == 0 ? "b" : "a", readiness, started));
            }
            fleet.list(ListKind.CHANGES, changes);
            for (ServerInfo info : changes) {
                told.put(info.id(), info);
                if (info.readiness() != Readiness.READY) {
                    told.remove(info.id());
                }
            }
            fleet.now += 5 * MS;
            if (i % 10 == 0) {
                fleet.fire(Fleet.SWEEP);
            }
            fleet.ask(READ);
            for (Recorder.Action send : fleet.host.take("send")) {
                assertTrue(told.containsKey(send.server()), send.server());
                out.put(send.id(), send.server());
                if (i % 3 > 0) {
                    fleet.end(send.id(), 0, send.server(), Outcome.SERVED, 5 * MS, true);
                }
            }
        }
        out.forEach((id, at) -> fleet.end(id, 0, at, Outcome.SERVED, 5 * MS, true));
        Set<ServerInfo> ready = new HashSet<>();
        fleet.choice.ready().forEach(s -> assertTrue(ready.add(s.info), s.info::id));
        assertEquals(new HashSet<>(told.values()), ready);
        assertSameLaw(seed, fleet);
    }

    /** One zone of three is lost, and all other servers are replaced by new ids within a minute. */
    @Test
    void aZoneIsLostAndTheRestReplacedWithinAMinute() {
        Fleet fleet = new Fleet();
        List<ServerInfo> all = new ArrayList<>();
        for (int i = 0; i < 9_000; i++) {
            all.add(server("s" + i, List.of("a", "b", "c").get(i % 3), Readiness.READY, 0));
        }
        fleet.list(ListKind.CACHED, all);
        fleet.list(ListKind.CHANGES, all.stream().filter(s -> s.zone().equals("a"))
                .map(s -> server(s.id(), "a", Readiness.GONE, 0)).toList());
        Set<String> live = new HashSet<>();
        all.stream().filter(s -> !s.zone().equals("a")).forEach(s -> live.add(s.id()));
        int served = 0;
        for (int i = 0; i < 6_000; i++) {
            ServerInfo old = all.get(i / 2 * 3 + 1 + i % 2);
            ServerInfo next = server("t" + i, old.zone(), Readiness.READY, fleet.now);
            fleet.list(ListKind.CHANGES, server(old.id(), old.zone(), Readiness.GONE, 0), next);
            live.remove(old.id());
            live.add(next.id());
            fleet.now += 10 * MS;
            if (i % 100 == 0) {
                fleet.fire(Fleet.STEP);
                fleet.fire(Fleet.SWEEP);
            }
            String id = fleet.ask(READ);
            String at = fleet.sentTo();
            if (at != null) {
                assertTrue(live.contains(at), at);
                fleet.end(id, 0, at, Outcome.SERVED, 5 * MS, true);
                served++;
            }
            fleet.host.take();
        }
        assertEquals(6_000, served, "with most of them cold there is room all the time");
    }

    /**
     * A server with a thousandth of the share of the others is drawn that seldom, and servers with equal shares are drawn
     * equally often.
     */
    @Test
    void unlikeAndEqualSharesKeepTheLaw() {
        assertSameLaw(1, new Fleet().with(300));
        Fleet fleet = new Fleet().with(5_000);
        Server least = fleet.choice.ready().get(77);
        Shares shares = new Shares();
        for (Server s : fleet.choice.ready()) {
            s.share = s == least ? 1e-3 : 1;
        }
        shares.build(fleet.choice.ready());
        SplittableRandom random = new SplittableRandom(5);
        int hits = 0;
        for (int i = 0; i < 5_000_000; i++) {
            hits += shares.pick(random, false, 1) == least ? 1 : 0;
        }
        // The expected count is 1: a Poisson count of more than 13 has a probability below one in a hundred million.
        assertTrue(hits <= 13, hits + " hits");
    }

    /** Only one server may take the request: it is found at once, after the picks by share have failed. */
    @Test
    void theOnlyOpenGateIsFound() {
        Fleet fleet = new Fleet().with(10_000);
        fleet.choice.ready().forEach(s -> s.ready = s.info.id().equals("s8191"));
        fleet.ask(READ);
        assertEquals("s8191", fleet.sentTo());
    }

    /**
     * Hundreds of requests are held without room; when all servers have room they are sent by priority, and among equals the
     * newest first.
     */
    @Test
    void heldRequestsGoOutByWorthAndNewestFirst() {
        Fleet fleet = new Fleet().with(100);
        Map<String, String> out = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            String id = fleet.ask(READ);
            out.put(id, fleet.sentTo());
        }
        List<String> orders = new ArrayList<>();
        List<String> reads = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            reads.add(0, fleet.ask(READ));
            orders.add(0, fleet.ask(ORDER));
        }
        fleet.host.take();
        List<String> expected = new ArrayList<>(orders);
        expected.addAll(reads);
        List<String> sent = new ArrayList<>();
        out.forEach((id, at) -> fleet.end(id, 0, at, Outcome.SERVED, 5 * MS, true));
        for (List<Recorder.Action> sends = fleet.host.take("send"); !sends.isEmpty(); sends = fleet.host.take("send")) {
            for (Recorder.Action send : sends) {
                sent.add(send.id());
                fleet.end(send.id(), 0, send.server(), Outcome.SERVED, 5 * MS, true);
            }
        }
        assertEquals(expected, sent);
    }
}
