package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.settings;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.bench.FleetSimulation;
import cinderhollow.bench.FleetSimulation.Way;
import cinderhollow.policy.Protocol.Outcome;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Sparse traffic, where each of many gateways sends a server about one request a second: what was learned must outlast a tick.
 */
class ThinTrafficTest {
    private static final int GATEWAYS = 14;
    private static final int SERVERS = 60;
    private static final int DRAWS = 600;

    private static Fleet one(int servers) {
        return new Fleet(settings(false, GATEWAYS, List.of(), List.of(READ)), 7).with(servers);
    }

    private static double share(Fleet fleet, String server) {
        return fleet.choice.ready().stream().filter(s -> s.info.id().equals(server)).findFirst().orElseThrow().share
                * fleet.choice.ready().size();
    }

    /** Each server gives one answer a tick, too few to show anything alone; one server takes four times as long. */
    @Test
    void aSlowServerLosesShareByWhatSeveralTicksTellTogether() {
        Fleet fleet = one(SERVERS);
        String slow = null;
        for (int answers = 0; answers < 5;) {
            for (int i = 0; i < SERVERS; i++) {
                String id = fleet.ask(READ);
                String to = fleet.sentTo();
                slow = slow == null ? to : slow;
                answers += to.equals(slow) ? 1 : 0;
                fleet.end(id, 0, to, Outcome.SERVED, (to.equals(slow) ? 400 : 100) * MS);
                fleet.now += 20 * SECOND;
            }
            fleet.fire(Fleet.STEP);
        }
        assertTrue(share(fleet, slow) < 0.3, "share " + share(fleet, slow));
    }

    /** Shares do not change within a tick, but a server that was just slow is avoided for some seconds. */
    @Test
    void theLastAnswerSpeaksOfTheNextUntilItIsOld() {
        Fleet fleet = one(2);
        
        fleet.end(fleet.ask(READ), 0, fleet.sentTo(), Outcome.SERVED, 100 * MS);
        String id = fleet.ask(READ);
        String slow = fleet.sentTo();
        fleet.end(id, 0, slow, Outcome.SERVED, 300 * MS);
        int after = drawn(fleet, slow);
        assertTrue(after < DRAWS / 5, "drawn " + after);
        fleet.now += 100 * SECOND;
        int later = drawn(fleet, slow);
        assertTrue(later > DRAWS / 3, "drawn " + later);
    }

    /** Counts how often a server is drawn, with outcomes from which nothing is learned. */
    private static int drawn(Fleet fleet, String server) {
        int drawn = 0;
        for (int i = 0; i < DRAWS; i++) {
            String id = fleet.ask(READ);
            String to = fleet.sentTo();
            drawn += to.equals(server) ? 1 : 0;
            fleet.end(id, 0, to, Outcome.NOT_SENT, 0, true);
        }
        return drawn;
    }

    /** The whole fleet in simulated time, with nodes of two speeds that each work on one request at a time. */
    @Test
    void aBusyFleetOfManyGatewaysServesInTime() {
        double inTime = LongStream.rangeClosed(1, 4).mapToDouble(seed -> {
            FleetSimulation.Result result = new FleetSimulation(Way.ALL, GATEWAYS, SERVERS, SERVERS, 0.75, 20, seed).run();
            System.out.println("seed " + seed + ": " + result);
            return result.inTime();
        }).average().orElseThrow();
        assertTrue(inTime > 0.978, "in time " + inTime);
    }
}
