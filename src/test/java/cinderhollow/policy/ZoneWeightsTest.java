package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A zone is left and returns by a weight set from outside; the module still chooses each server. */
class ZoneWeightsTest {
    private static GatewayHarness newGateway(int servers) {
        GatewayHarness gateway = new GatewayHarness();
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, List.of("a", "b", "c").get(i % 3), Readiness.READY, 0));
        }
        gateway.receiveList(ListKind.CACHED, list);
        return gateway;
    }

    /** Returns how many of a thousand requests go to each zone. */
    private static int[] countServedByZone(GatewayHarness gateway) {
        int[] zones = new int[3];
        for (int i = 0; i < 1_000; i++) {
            String server = gateway.submitAndEnd(READ, Outcome.SERVED, 5 * MS);
            assertNotNull(server, "request " + i);
            zones[Integer.parseInt(server.substring(1)) % 3]++;
            gateway.now += MS;
        }
        return zones;
    }

    /**
     * Nothing goes to a zone of weight 0, be it the own one, and all requests are served; with weight 1 again all is as before.
     */
    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void aZoneOfWeightZeroGetsNothing(int servers) {
        GatewayHarness gateway = newGateway(servers);
        int[] usual = countServedByZone(gateway);
        assertTrue(usual[0] > 900, "own zone first: " + usual[0]);
        gateway.balancer.handle(gateway.now, new ZoneWeightsChanged(Map.of("a", 0.0)));
        int[] firstZoneLeft = countServedByZone(gateway);
        assertEquals(0, firstZoneLeft[0]);
        assertTrue(firstZoneLeft[1] > 100 && firstZoneLeft[2] > 100, firstZoneLeft[1] + " and " + firstZoneLeft[2]);
        gateway.balancer.handle(gateway.now, new ZoneWeightsChanged(Map.of("a", 0.0, "b", 0.0)));
        int[] twoZonesLeft = countServedByZone(gateway);
        assertEquals(1_000, twoZonesLeft[2]);
        gateway.balancer.handle(gateway.now, new ZoneWeightsChanged(Map.of()));
        assertTrue(countServedByZone(gateway)[0] > 900);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void whereAllZonesHaveWeightZeroAllAreUsed(int servers) {
        GatewayHarness gateway = newGateway(servers);
        gateway.balancer.handle(gateway.now, new ZoneWeightsChanged(Map.of("a", 0.0, "b", 0.0, "c", 0.0)));
        countServedByZone(gateway);
    }

    /** A server that is listed while its zone is left gets nothing either. */
    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void aNewServerInAZoneOfWeightZeroGetsNothing(int servers) {
        GatewayHarness gateway = newGateway(servers);
        gateway.balancer.handle(gateway.now, new ZoneWeightsChanged(Map.of("b", 0.0)));
        gateway.receiveList(ListKind.CHANGES, server("s" + (3 * servers + 1), "b", Readiness.READY, 0));
        assertEquals(0, countServedByZone(gateway)[1]);
    }

    /** Servers that were suspect while their zone was lost need no single trials when the zone returns. */
    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void aZoneWhoseWeightRisesAgainHasNoSuspects(int servers) {
        GatewayHarness gateway = newGateway(servers);
        for (int i = 0; i < 20 * servers; i++) {
            String id = gateway.submit(READ);
            String server = gateway.takeSendTarget();
            if (server != null) {
                boolean lost = Integer.parseInt(server.substring(1)) % 3 == 0;
                gateway.endAttempt(id, 0, server, lost ? Outcome.RESET : Outcome.SERVED, 5 * MS, true);
            }
            gateway.recorder.take();
            gateway.now += MS;
        }
        gateway.balancer.handle(gateway.now, new ZoneWeightsChanged(Map.of("a", 0.0)));
        countServedByZone(gateway);
        gateway.balancer.handle(gateway.now, new ZoneWeightsChanged(Map.of("a", 1.0)));
        gateway.now += 10 * MS;
        gateway.fireTimer(GatewayHarness.SWEEP_TOKEN);
        assertTrue(countServedByZone(gateway)[0] > 500, "its servers are still in doubt");
    }

    /** The budget of a cold server follows the rate that the fleet saw a warm server bear. */
    @ParameterizedTest
    @ValueSource(doubles = {20, 200})
    void aColdServersBudgetFollowsTheReportedWarmServerRate(double perSecond) {
        GatewayHarness gateway = new GatewayHarness();
        gateway.now += 100 * SECOND;
        gateway.receiveList(ListKind.CACHED, server("s0", "a", Readiness.READY, 0),
                server("s1", "a", Readiness.READY, gateway.now));
        gateway.balancer.handle(gateway.now, new WarmServerRateReceived(perSecond));
        int cold = 0;
        for (int i = 0; i < 20_000; i++) {
            cold += "s1".equals(gateway.submitAndEnd(READ, Outcome.SERVED, 5 * MS)) ? 1 : 0;
            gateway.now += SECOND / 10_000;
        }
        Rules rules = GatewayHarness.settings(false).rules();
        double seconds = 2;
        double allowed = 0.5 * rules.overloadFactor() * perSecond * seconds;
        assertTrue(cold <= allowed + 5, cold + " of " + allowed);
        assertTrue(cold >= allowed * rules.coldCapacityFraction() / 2, cold + " of " + allowed);
    }
}
