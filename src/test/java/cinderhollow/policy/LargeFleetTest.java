package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.server;
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

    private static Request newRequest(GatewayHarness gateway) {
        return new Request("probe", gateway.balancer.classState("read"), false, null, gateway.now, gateway.now + 2 * SECOND, 4);
    }

    private static Map<String, Integer> countDraws(Function<Request, Server> draw, GatewayHarness gateway) {
        Map<String, Integer> counts = new HashMap<>();
        Request r = newRequest(gateway);
        for (int i = 0; i < DRAWS; i++) {
            counts.merge(draw.apply(r).info.id(), 1, Integer::sum);
        }
        return counts;
    }

    /**
     * Returns a fleet with unlike shares, attempts in flight, suspect and cold servers and two zones, where each server gets
     * this many quarters of a request a tick.
     */
    private static GatewayHarness randomGateway(long seed, int servers, int quarterRequestsPerServer) {
        SplittableRandom random = new SplittableRandom(seed);
        GatewayHarness gateway = new GatewayHarness(GatewayHarness.settings(false), seed);
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, random.nextInt(3) == 0 ? "b" : "a", Readiness.READY,
                    random.nextInt(10) == 0 ? gateway.now - random.nextLong(5 * SECOND, 19 * SECOND) : 0));
        }
        gateway.receiveList(ListKind.CACHED, list);
        for (int round = 0; round < 12; round++) {
            for (int i = 0; i < servers * quarterRequestsPerServer / 4; i++) {
                String id = gateway.submit(random.nextInt(4) == 0 ? ORDER : READ);
                String server = gateway.takeSendTarget();
                if (server != null && (round < 11 || i % 4 > 0)) {
                    Outcome outcome = server.hashCode() % 17 == 0 ? Outcome.ERROR : Outcome.SERVED;
                    gateway.endAttempt(id, 0, server, outcome, (1 + Math.floorMod(server.hashCode(), 9)) * 5 * MS, true);
                }
                gateway.recorder.take();
            }
            gateway.now += SECOND;
            gateway.fireTimer(GatewayHarness.SHARE_UPDATE_TOKEN);
            gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
            gateway.recorder.take();
        }
        return gateway;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void drawsAreDistributedAsByScan(long seed) {
        int servers = 65 + (int) seed * 20;
        GatewayHarness gateway = randomGateway(seed, servers, 8);
        assertTrue(assertSameDistribution(seed, gateway) > servers / 3);
    }

    /**
     * Where a server gets about one request in four ticks, servers with a reusable connection are drawn far more often than the
     * others.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void drawsAreDistributedAsByScanWhereTrafficIsSparse(long seed) {
        GatewayHarness gateway = randomGateway(seed, 65 + (int) seed * 20, 1);
        assertSameDistribution(seed, gateway);
    }

    /** Connections become reusable and stop being so in every way in which an in-flight place is taken and released. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void drawsAreDistributedAsByScanWhileReusableConnectionsChange(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GatewayHarness gateway = randomGateway(seed, 300, 1);
        List<String[]> inFlight = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            inFlight.add(new String[] {gateway.submit(READ), gateway.takeSendTarget()});
            if (random.nextInt(3) > 0) {
                String[] one = inFlight.remove(random.nextInt(inFlight.size()));
                gateway.endAttempt(one[0], 0, one[1],
                        List.of(Outcome.SERVED, Outcome.SERVED, Outcome.NOT_SENT, Outcome.CONNECT_FAILED)
                        .get(random.nextInt(4)), 20 * MS, true);
            }
            if (i % 20 == 0) {
                gateway.receiveList(ListKind.CHANGES, server("s" + random.nextInt(300), "a",
                        random.nextBoolean() ? Readiness.READY : Readiness.GONE, 0));
            }
            gateway.now += 2 * MS;
            gateway.recorder.take();
        }
        gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
        assertSameDistribution(seed, gateway);
    }

    /**
     * The number of servers that a draw examines depends neither on the size of the fleet nor on how many servers answered
     * lately; it is counted, not timed. At a request for four servers a tick and less, servers that answered lately are
     * preferred.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.25, 0.9, 1.5})
    void aDrawExaminesFewServersHoweverManyAnsweredLately(double perServer) {
        int servers = 5_000;
        GatewayHarness gateway = new GatewayHarness().withServers(servers);
        int asked = 0;
        long before = 0;
        for (int tick = 0; tick < 6; tick++) {
            before = tick == 2 ? gateway.balancer.examinedServers : before;
            for (int i = 0; i < servers * perServer; i++) {
                gateway.submitAndEnd(READ, Outcome.SERVED, 5 * MS);
                gateway.recorder.take();
                asked += tick >= 2 ? 1 : 0;
            }
            gateway.now += SECOND;
            gateway.fireTimer(GatewayHarness.SHARE_UPDATE_TOKEN);
            gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
        }
        double examinedPerDraw = (gateway.balancer.examinedServers - before) / (double) asked;
        System.out.println(perServer + " requests a server and tick: " + examinedPerDraw + " servers looked at a draw");
        assertTrue(examinedPerDraw < 16, perServer + " requests a server and tick: " + examinedPerDraw
                + " servers looked at a draw");
    }

    /** Draws both ways, compares them by chi-square and returns how many servers were drawn. */
    private static int assertSameDistribution(long seed, GatewayHarness gateway) {
        Map<String, Integer> drawn = countDraws(gateway.balancer::draw, gateway);
        Map<String, Integer> scanned = countDraws(r -> gateway.balancer.drawByScan(r, gateway.balancer.readyServers()), gateway);
        Set<String> both = new HashSet<>(drawn.keySet());
        both.addAll(scanned.keySet());
        double chiSquare = 0;
        for (String id : both) {
            double a = drawn.getOrDefault(id, 0);
            double b = scanned.getOrDefault(id, 0);
            chiSquare += (a - b) * (a - b) / (a + b);
        }
        double degreesOfFreedom = both.size() - 1;
        assertTrue(chiSquare < degreesOfFreedom + 4.5 * Math.sqrt(2 * degreesOfFreedom), "seed " + seed + ": " + chiSquare
                + ", " + degreesOfFreedom);
        return both.size();
    }

    /** The one server with room among thousands is found, and after that no more than the scan would find. */
    @Test
    void theLastServerWithRoomIsFound() {
        GatewayHarness gateway = new GatewayHarness().withServers(2000);
        Set<String> sent = new HashSet<>();
        for (int i = 0; i < 2000; i++) {
            gateway.submit(READ);
            String server = gateway.takeSendTarget();
            assertNotNull(server, "request " + i);
            assertTrue(sent.add(server), server + " has one already");
        }
        gateway.submit(READ);
        assertEquals(0, gateway.recorder.take("send").size());
    }

    @Test
    void aServerThatEndsAnAttemptIsFoundAtOnceWhereNoOtherHasRoom() {
        GatewayHarness gateway = new GatewayHarness().withServers(500);
        Map<String, String> inFlight = new HashMap<>();
        for (int i = 0; i < 500; i++) {
            String id = gateway.submit(READ);
            inFlight.put(gateway.takeSendTarget(), id);
        }
        List<String> held = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            held.add(gateway.submit(READ));
        }
        gateway.recorder.take();
        gateway.endAttempt(inFlight.get("s17"), 0, "s17", Outcome.SERVED, 5 * MS);
        List<Recorder.Action> sends = gateway.recorder.take("send");
        assertTrue(!sends.isEmpty() && sends.stream().allMatch(a -> a.server().equals("s17")), sends::toString);
        assertEquals(held.get(299), sends.get(0).id(), "the newest of equals first, as with few servers");
    }

    /** Half of 10,000 servers drain at once, and all are replaced by new ids: nothing is sent to servers that are gone. */
    @Test
    void aListOfThousandsChangesAtOnce() {
        GatewayHarness gateway = new GatewayHarness().withServers(10_000);
        List<ServerInfo> half = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            half.add(server("s" + i, "a", Readiness.DRAINING, 0));
        }
        gateway.receiveList(ListKind.CHANGES, half);
        for (int i = 0; i < 2_000; i++) {
            String server = gateway.submitAndEnd(READ, Outcome.SERVED, 5 * MS);
            assertTrue(Integer.parseInt(server.substring(1)) >= 5_000, server);
        }
        List<ServerInfo> others = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            others.add(server("t" + i));
        }
        gateway.receiveList(ListKind.WHOLE, others);
        for (int i = 0; i < 2_000; i++) {
            assertTrue(gateway.submitAndEnd(READ, Outcome.SERVED, 5 * MS).startsWith("t"));
        }
    }

    /** Hundreds of changes, applied one by one, lead to the same fleet and the same distribution as the whole list. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void changesAddUpToTheWholeList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        GatewayHarness gateway = new GatewayHarness(GatewayHarness.settings(false), seed).withServers(300, "b");
        Map<String, ServerInfo> listed = new HashMap<>();
        gateway.balancer.readyServers().forEach(s -> listed.put(s.info.id(), s.info));
        Map<String, String> inFlight = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            List<ServerInfo> changes = new ArrayList<>();
            for (int j = random.nextInt(1, 6); j > 0; j--) {
                Readiness readiness = Readiness.values()[random.nextInt(3)];
                long started = random.nextInt(2) == 0 ? 0 : gateway.now - random.nextLong(25 * SECOND);
                changes.add(server("s" + random.nextInt(400), random.nextInt(3) == 0 ? "b" : "a", readiness, started));
            }
            gateway.receiveList(ListKind.CHANGES, changes);
            for (ServerInfo info : changes) {
                listed.put(info.id(), info);
                if (info.readiness() != Readiness.READY) {
                    listed.remove(info.id());
                }
            }
            gateway.now += 5 * MS;
            if (i % 10 == 0) {
                gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
            }
            gateway.submit(READ);
            for (Recorder.Action send : gateway.recorder.take("send")) {
                assertTrue(listed.containsKey(send.server()), send.server());
                inFlight.put(send.id(), send.server());
                if (i % 3 > 0) {
                    gateway.endAttempt(send.id(), 0, send.server(), Outcome.SERVED, 5 * MS, true);
                }
            }
        }
        inFlight.forEach((id, at) -> gateway.endAttempt(id, 0, at, Outcome.SERVED, 5 * MS, true));
        Set<ServerInfo> ready = new HashSet<>();
        gateway.balancer.readyServers().forEach(s -> assertTrue(ready.add(s.info), s.info::id));
        assertEquals(new HashSet<>(listed.values()), ready);
        assertSameDistribution(seed, gateway);
    }

    /** One zone of three is lost, and all other servers are replaced by new ids within a minute. */
    @Test
    void aZoneIsLostAndTheRestReplacedWithinAMinute() {
        GatewayHarness gateway = new GatewayHarness();
        List<ServerInfo> all = new ArrayList<>();
        for (int i = 0; i < 9_000; i++) {
            all.add(server("s" + i, List.of("a", "b", "c").get(i % 3), Readiness.READY, 0));
        }
        gateway.receiveList(ListKind.CACHED, all);
        gateway.receiveList(ListKind.CHANGES, all.stream().filter(s -> s.zone().equals("a"))
                .map(s -> server(s.id(), "a", Readiness.GONE, 0)).toList());
        Set<String> live = new HashSet<>();
        all.stream().filter(s -> !s.zone().equals("a")).forEach(s -> live.add(s.id()));
        int served = 0;
        for (int i = 0; i < 6_000; i++) {
            ServerInfo old = all.get(i / 2 * 3 + 1 + i % 2);
            ServerInfo next = server("t" + i, old.zone(), Readiness.READY, gateway.now);
            gateway.receiveList(ListKind.CHANGES, server(old.id(), old.zone(), Readiness.GONE, 0), next);
            live.remove(old.id());
            live.add(next.id());
            gateway.now += 10 * MS;
            if (i % 100 == 0) {
                gateway.fireTimer(GatewayHarness.SHARE_UPDATE_TOKEN);
                gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
            }
            String id = gateway.submit(READ);
            String server = gateway.takeSendTarget();
            if (server != null) {
                assertTrue(live.contains(server), server);
                gateway.endAttempt(id, 0, server, Outcome.SERVED, 5 * MS, true);
                served++;
            }
            gateway.recorder.take();
        }
        assertEquals(6_000, served, "with most of them cold there is room all the time");
    }

    /**
     * A server with a thousandth of the share of the others is drawn that seldom, and servers with equal shares are drawn
     * equally often.
     */
    @Test
    void equalAndUnequalSharesAreDrawnInProportion() {
        assertSameDistribution(1, new GatewayHarness().withServers(300));
        GatewayHarness gateway = new GatewayHarness().withServers(5_000);
        Server least = gateway.balancer.readyServers().get(77);
        Shares shares = new Shares();
        for (Server s : gateway.balancer.readyServers()) {
            s.share = s == least ? 1e-3 : 1;
        }
        shares.build(gateway.balancer.readyServers());
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
    void theOnlyUsableServerIsFound() {
        GatewayHarness gateway = new GatewayHarness().withServers(10_000);
        gateway.balancer.readyServers().forEach(s -> s.ready = s.info.id().equals("s8191"));
        gateway.submit(READ);
        assertEquals("s8191", gateway.takeSendTarget());
    }

    /**
     * Hundreds of requests are held without room; when all servers have room they are sent by priority, and among equals the
     * newest first.
     */
    @Test
    void heldRequestsAreSentByPriorityAndNewestFirst() {
        GatewayHarness gateway = new GatewayHarness().withServers(100);
        Map<String, String> inFlight = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            String id = gateway.submit(READ);
            inFlight.put(id, gateway.takeSendTarget());
        }
        List<String> orders = new ArrayList<>();
        List<String> reads = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            reads.add(0, gateway.submit(READ));
            orders.add(0, gateway.submit(ORDER));
        }
        gateway.recorder.take();
        List<String> expected = new ArrayList<>(orders);
        expected.addAll(reads);
        List<String> sent = new ArrayList<>();
        inFlight.forEach((id, at) -> gateway.endAttempt(id, 0, at, Outcome.SERVED, 5 * MS, true));
        for (List<Recorder.Action> sends = gateway.recorder.take("send"); !sends.isEmpty(); sends =
                gateway.recorder.take("send")) {
            for (Recorder.Action send : sends) {
                sent.add(send.id());
                gateway.endAttempt(send.id(), 0, send.server(), Outcome.SERVED, 5 * MS, true);
            }
        }
        assertEquals(expected, sent);
    }
}
