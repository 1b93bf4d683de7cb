package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.settings;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.bench.FleetSimulation;
import cinderhollow.bench.FleetSimulation.ServerSelection;
import cinderhollow.policy.Protocol.Outcome;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Sparse traffic, where each of many gateways sends a server about one request a second: what was learned must outlast a tick.
 */
class SparseTrafficTest {
    private static final int GATEWAYS = 14;
    private static final int SERVERS = 60;
    private static final int DRAWS = 600;

    private static GatewayHarness newGateway(int servers) {
        return new GatewayHarness(settings(false, GATEWAYS, List.of(), List.of(READ)), 7).withServers(servers);
    }

    private static double relativeShare(GatewayHarness gateway, String server) {
        return gateway.balancer.readyServers().stream().filter(s -> s.info.id().equals(server)).findFirst().orElseThrow().share
                * gateway.balancer.readyServers().size();
    }

    /** Each server gives one answer a tick, too few to show anything alone; one server takes four times as long. */
    @Test
    void aSlowServerLosesShareBySamplesOfSeveralTicks() {
        GatewayHarness gateway = newGateway(SERVERS);
        String slow = null;
        for (int answers = 0; answers < 5;) {
            for (int i = 0; i < SERVERS; i++) {
                String id = gateway.submit(READ);
                String to = gateway.takeSendTarget();
                slow = slow == null ? to : slow;
                answers += to.equals(slow) ? 1 : 0;
                gateway.endAttempt(id, 0, to, Outcome.SERVED, (to.equals(slow) ? 400 : 100) * MS);
                gateway.now += 20 * SECOND;
            }
            gateway.fireTimer(GatewayHarness.SHARE_UPDATE_TOKEN);
        }
        assertTrue(relativeShare(gateway, slow) < 0.3, "share " + relativeShare(gateway, slow));
    }

    /** Shares do not change within a tick, but a server that was just slow is avoided for some seconds. */
    @Test
    void aSlowLastAnswerLowersTheDrawWeightUntilItDecays() {
        GatewayHarness gateway = newGateway(2);
        
        gateway.endAttempt(gateway.submit(READ), 0, gateway.takeSendTarget(), Outcome.SERVED, 100 * MS);
        String id = gateway.submit(READ);
        String slow = gateway.takeSendTarget();
        gateway.endAttempt(id, 0, slow, Outcome.SERVED, 300 * MS);
        int after = countDrawn(gateway, slow);
        assertTrue(after < DRAWS / 5, "drawn " + after);
        gateway.now += 100 * SECOND;
        int later = countDrawn(gateway, slow);
        assertTrue(later > DRAWS / 3, "drawn " + later);
    }

    /** Counts how often a server is drawn, with outcomes from which nothing is learned. */
    private static int countDrawn(GatewayHarness gateway, String server) {
        int drawn = 0;
        for (int i = 0; i < DRAWS; i++) {
            String id = gateway.submit(READ);
            String to = gateway.takeSendTarget();
            drawn += to.equals(server) ? 1 : 0;
            gateway.endAttempt(id, 0, to, Outcome.NOT_SENT, 0, true);
        }
        return drawn;
    }

    /** The whole fleet in simulated time, with nodes of two speeds that each work on one request at a time. */
    @Test
    void aBusyFleetOfManyGatewaysServesInTime() {
        double inTime = LongStream.rangeClosed(1, 4).mapToDouble(seed -> {
            FleetSimulation.Result result = new FleetSimulation(ServerSelection.ALL, GATEWAYS, SERVERS, SERVERS, 0.75, 20, seed)
                    .run();
            System.out.println("seed " + seed + ": " + result);
            return result.inTimeRatio();
        }).average().orElseThrow();
        assertTrue(inTime > 0.978, "in time " + inTime);
    }
}
