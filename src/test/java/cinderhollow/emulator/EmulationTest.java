package cinderhollow.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EmulationTest {
    @Test
    void whatIsDueInOneInstantComesInTheOrderOfItsPlanning() {
        Timeline time = new Timeline(0);
        List<Integer> played = new ArrayList<>();
        time.at(5, () -> played.add(2));
        time.at(3, () -> {
            played.add(1);
            time.after(2, () -> played.add(4));
            time.at(0, () -> played.add(0));
        });
        time.at(5, () -> played.add(3));
        assertEquals(5, time.playUntil(6));
        assertEquals(List.of(1, 0, 2, 3, 4), played);
        assertEquals(6, time.now());
    }

    @Test
    void theSameSeedGivesTheSameDayAndAnotherSeedAnother() {
        Scenario day = Scenario.sparseTraffic(20, 13, 6, 0.5);
        assertEquals(new Emulation(day, 7).run(), new Emulation(day, 7).run());
        assertNotEquals(new Emulation(day, 7).run(), new Emulation(day, 8).run());
    }

    @Test
    void aScenarioThatCannotBeIsRefusedByName() {
        String told = assertThrows(IllegalArgumentException.class, () -> Scenario.sparseTraffic(0, 13, 6, 0.5)).getMessage();
        assertTrue(told.startsWith("gateways"), told);
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Scenario.sparseTraffic(2, 13, 6, Double.NaN)).getMessage()
                .startsWith("load"));
        assertTrue(assertThrows(IllegalArgumentException.class,
                () -> new Scenario.Fault(Scenario.FaultKind.LOST, 4, Double.NaN, 0.5, 1)).getMessage().startsWith("seconds"));
    }

    /**
     * Guards against a new connection for almost every request: if each of 100 gateways used all 65 nodes, it would return to a
     * node only once in several seconds.
     */
    @Test
    void manyGatewaysWithLittleTrafficEachKeepToTheConnectionsThatTheyHave() {
        for (int nodes : new int[] {60, 65}) {
            double handshakes = 0;
            double inTime = 0;
            for (long seed = 1; seed <= 3; seed++) {
                Emulation.Result result = new Emulation(Scenario.sparseTraffic(100, nodes, 20, 0.3), seed).run();
                System.out.println(nodes + " nodes, seed " + seed + ": " + result);
                handshakes += result.handshakes() / 3;
                inTime += result.inTime() / 3;
            }
            assertTrue(handshakes < 0.15, handshakes + " new connections per request");
            assertTrue(inTime > 0.82, "in-time ratio " + inTime);
        }
    }

    /** Under each kind of fault, gateways break no rule, cold nodes don't crash by overload, and no request is left open. */
    @ParameterizedTest
    @EnumSource
    void noRuleIsBrokenAndNothingIsLeftOpen(Scenario.FaultKind kind) {
        for (long seed = 1; seed <= 2; seed++) {
            Emulation.Result result = new Emulation(Scenario.sparseTraffic(60, 65, 16, 0.5)
                    .withFault(new Scenario.Fault(kind, 4, 5, 0.4, 5)), seed).run();
            assertTrue(result.isClean(), kind + ", seed " + seed + ": " + result);
            assertTrue(result.inTime() > 0.5, kind + ", seed " + seed + ": " + result);
        }
    }

    /**
     * Guards against overloading cold nodes: 80 % of the nodes are lost at a load of 0.8 and return cold. Their budget must
     * follow the load that warm nodes handled, not the traffic that arrived.
     */
    @Test
    void aFleetThatIsBackColdIsNotPushedOver() {
        Emulation.Result result = new Emulation(Scenario.sparseTraffic(100, 65, 25, 0.8)
                .withFault(new Scenario.Fault(Scenario.FaultKind.LOST, 4, 5, 0.8, 1)), 1).run();
        assertEquals(0, result.fallen(), result::toString);
    }

    /** All 100 gateways leave a silent zone within 3 s, and no zone without a fault; each step is checked against the rules. */
    @Test
    void aHundredGatewaysLeaveASilentZoneAndNoOther() {
        Scenario day = Scenario.sparseTraffic(100, 65, 16, 0.5).withEvacuation();
        Emulation quiet = new Emulation(day, 1);
        assertTrue(quiet.run().isClean());
        assertEquals(0, quiet.measureEvacuation(0, 16).left() + quiet.measureEvacuation(0, 16).elsewhere());
        Emulation silent = new Emulation(day.withFault(new Scenario.Fault(Scenario.FaultKind.SILENT, 8, 6, 0.34, 1)), 1);
        assertTrue(silent.run().isClean());
        Emulation.EvacuationReport leaving = silent.measureEvacuation(8, 6);
        assertTrue(leaving.left() == 100 && leaving.last() < 3 && leaving.elsewhere() == 0, leaving::toString);
    }
}
