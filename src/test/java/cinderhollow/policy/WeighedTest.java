package cinderhollow.policy;

import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.server;
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
class WeighedTest {
    private static Fleet fleet(int servers) {
        Fleet fleet = new Fleet();
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, List.of("a", "b", "c").get(i % 3), Readiness.READY, 0));
        }
        fleet.list(ListKind.CACHED, list);
        return fleet;
    }

    /** Returns how many of a thousand requests go to each zone. */
    private static int[] served(Fleet fleet) {
        int[] zones = new int[3];
        for (int i = 0; i < 1_000; i++) {
            String at = fleet.serve(READ, Outcome.SERVED, 5 * MS);
            assertNotNull(at, "request " + i);
            zones[Integer.parseInt(at.substring(1)) % 3]++;
            fleet.now += MS;
        }
        return zones;
    }

    /**
     * Nothing goes to a zone of weight 0, be it the own one, and all requests are served; with weight 1 again all is as before.
     */
    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void whatIsLeftGetsNothing(int servers) {
        Fleet fleet = fleet(servers);
        int[] usual = served(fleet);
        assertTrue(usual[0] > 900, "own zone first: " + usual[0]);
        fleet.choice.handle(fleet.now, new ZoneWeightsChanged(Map.of("a", 0.0)));
        int[] left = served(fleet);
        assertEquals(0, left[0]);
        assertTrue(left[1] > 100 && left[2] > 100, left[1] + " and " + left[2]);
        fleet.choice.handle(fleet.now, new ZoneWeightsChanged(Map.of("a", 0.0, "b", 0.0)));
        int[] both = served(fleet);
        assertEquals(1_000, both[2]);
        fleet.choice.handle(fleet.now, new ZoneWeightsChanged(Map.of()));
        assertTrue(served(fleet)[0] > 900);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void whereAllAreLeftNoneIs(int servers) {
        Fleet fleet = fleet(servers);
        fleet.choice.handle(fleet.now, new ZoneWeightsChanged(Map.of("a", 0.0, "b", 0.0, "c", 0.0)));
        served(fleet);
    }

    /** A server that is listed while its zone is left gets nothing either. */
    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void aNewServerOfALeftZoneGetsNothing(int servers) {
        Fleet fleet = fleet(servers);
        fleet.choice.handle(fleet.now, new ZoneWeightsChanged(Map.of("b", 0.0)));
        fleet.list(ListKind.CHANGES, server("s" + (3 * servers + 1), "b", Readiness.READY, 0));
        assertEquals(0, served(fleet)[1]);
    }

    /** Servers that were suspect while their zone was lost need no single trials when the zone returns. */
    @ParameterizedTest
    @ValueSource(ints = {9, 300})
    void aZoneThatIsBackBeginsAnew(int servers) {
        Fleet fleet = fleet(servers);
        for (int i = 0; i < 20 * servers; i++) {
            String id = fleet.ask(READ);
            String at = fleet.sentTo();
            if (at != null) {
                boolean lost = Integer.parseInt(at.substring(1)) % 3 == 0;
                fleet.end(id, 0, at, lost ? Outcome.RESET : Outcome.SERVED, 5 * MS, true);
            }
            fleet.host.take();
            fleet.now += MS;
        }
        fleet.choice.handle(fleet.now, new ZoneWeightsChanged(Map.of("a", 0.0)));
        served(fleet);
        fleet.choice.handle(fleet.now, new ZoneWeightsChanged(Map.of("a", 1.0)));
        fleet.now += 10 * MS;
        fleet.fire(Fleet.SWEEP);
        assertTrue(served(fleet)[0] > 500, "its servers are still in doubt");
    }

    /** The budget of a cold server follows the rate that the fleet saw a warm server bear. */
    @ParameterizedTest
    @ValueSource(doubles = {20, 200})
    void aColdServerGetsWhatTheFleetSaysItBears(double perSecond) {
        Fleet fleet = new Fleet();
        fleet.now += 100 * SECOND;
        fleet.list(ListKind.CACHED, server("s0", "a", Readiness.READY, 0), server("s1", "a", Readiness.READY, fleet.now));
        fleet.choice.handle(fleet.now, new WarmServerRateReceived(perSecond));
        int cold = 0;
        for (int i = 0; i < 20_000; i++) {
            cold += "s1".equals(fleet.serve(READ, Outcome.SERVED, 5 * MS)) ? 1 : 0;
            fleet.now += SECOND / 10_000;
        }
        Rules rules = Fleet.settings(false).rules();
        double seconds = 2;
        double allowed = 0.5 * rules.overloadFactor() * perSecond * seconds;
        assertTrue(cold <= allowed + 5, cold + " of " + allowed);
        assertTrue(cold >= allowed * rules.coldFrom() / 2, cold + " of " + allowed);
    }
}
