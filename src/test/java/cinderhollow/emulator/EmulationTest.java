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
    void tasksOfOneInstantRunInTheOrderOfTheirScheduling() {
        VirtualTimeScheduler scheduler = new VirtualTimeScheduler(0);
        List<Integer> executed = new ArrayList<>();
        scheduler.scheduleAt(5, () -> executed.add(2));
        scheduler.scheduleAt(3, () -> {
            executed.add(1);
            scheduler.scheduleAfter(2, () -> executed.add(4));
            scheduler.scheduleAt(0, () -> executed.add(0));
        });
        scheduler.scheduleAt(5, () -> executed.add(3));
        assertEquals(5, scheduler.runUntil(6));
        assertEquals(List.of(1, 0, 2, 3, 4), executed);
        assertEquals(6, scheduler.now());
    }

    @Test
    void theSameSeedGivesTheSameResultAndAnotherSeedAnother() {
        Scenario scenario = Scenario.sparseTraffic(20, 13, 6, 0.5);
        assertEquals(new Emulation(scenario, 7).run(), new Emulation(scenario, 7).run());
        assertNotEquals(new Emulation(scenario, 7).run(), new Emulation(scenario, 8).run());
    }

    @Test
    void errorsNameTheInvalidScenarioParameter() {
        String message = assertThrows(IllegalArgumentException.class, () -> Scenario.sparseTraffic(0, 13, 6, 0.5)).getMessage();
        assertTrue(message.startsWith("gateways"), message);
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
    void manyGatewaysWithSparseTrafficReuseTheirConnections() {
        for (int nodes : new int[] {60, 65}) {
            double handshakesPerRequest = 0;
            double inTimeRatio = 0;
            for (long seed = 1; seed <= 3; seed++) {
                Emulation.Result result = new Emulation(Scenario.sparseTraffic(100, nodes, 20, 0.3), seed).run();
                System.out.println(nodes + " nodes, seed " + seed + ": " + result);
                handshakesPerRequest += result.handshakesPerRequest() / 3;
                inTimeRatio += result.inTimeRatio() / 3;
            }
            assertTrue(handshakesPerRequest < 0.15, handshakesPerRequest + " new connections per request");
            assertTrue(inTimeRatio > 0.82, "in-time ratio " + inTimeRatio);
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
            assertTrue(result.inTimeRatio() > 0.5, kind + ", seed " + seed + ": " + result);
        }
    }

    /**
     * Guards against overloading cold nodes: 80 % of the nodes are lost at a load of 0.8 and return cold. Their budget must
     * follow the load that warm nodes handled, not the traffic that arrived.
     */
    @Test
    void aFleetThatReturnsColdIsNotOverloaded() {
        Emulation.Result result = new Emulation(Scenario.sparseTraffic(100, 65, 25, 0.8)
                .withFault(new Scenario.Fault(Scenario.FaultKind.LOST, 4, 5, 0.8, 1)), 1).run();
        assertEquals(0, result.overloadCrashes(), result::toString);
    }

    /** All 100 gateways leave a silent zone within 3 s, and no zone without a fault; each step is checked against the rules. */
    @Test
    void aHundredGatewaysLeaveASilentZoneAndNoOther() {
        Scenario scenario = Scenario.sparseTraffic(100, 65, 16, 0.5).withEvacuation();
        Emulation quiet = new Emulation(scenario, 1);
        assertTrue(quiet.run().isClean());
        assertEquals(0, quiet.measureEvacuation(0, 16).evacuatedGateways() + quiet.measureEvacuation(0, 16)
                .otherZoneReductions());
        Emulation silent = new Emulation(scenario.withFault(new Scenario.Fault(Scenario.FaultKind.SILENT, 8, 6, 0.34, 1)), 1);
        assertTrue(silent.run().isClean());
        Emulation.EvacuationReport report = silent.measureEvacuation(8, 6);
        assertTrue(report.evacuatedGateways() == 100 && report.maxSeconds() < 3 && report.otherZoneReductions() == 0,
                report::toString);
    }
}
