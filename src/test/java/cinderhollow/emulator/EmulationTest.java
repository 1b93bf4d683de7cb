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
        Scenario day = Scenario.thin(20, 13, 6, 0.5);
        assertEquals(new Emulation(day, 7).run(), new Emulation(day, 7).run());
        assertNotEquals(new Emulation(day, 7).run(), new Emulation(day, 8).run());
    }

    @Test
    void aScenarioThatCannotBeIsRefusedByName() {
        String told = assertThrows(IllegalArgumentException.class, () -> Scenario.thin(0, 13, 6, 0.5)).getMessage();
        assertTrue(told.startsWith("gateways"), told);
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Scenario.thin(2, 13, 6, Double.NaN)).getMessage()
                .startsWith("load"));
        assertTrue(assertThrows(IllegalArgumentException.class,
                () -> new Scenario.Fault(Scenario.Kind.LOST, 4, Double.NaN, 0.5, 1)).getMessage().startsWith("seconds"));
    }

    /** With 65 nodes for each of 100 gateways a pair meets once in some seconds: a new connection each time, or nearly so. */
    @Test
    void manyGatewaysWithLittleTrafficEachKeepToTheConnectionsThatTheyHave() {
        for (int nodes : new int[] {60, 65}) {
            double handshakes = 0;
            double inTime = 0;
            for (long seed = 1; seed <= 3; seed++) {
                Emulation.Result result = new Emulation(Scenario.thin(100, nodes, 20, 0.3), seed).run();
                System.out.println(nodes + " nodes, seed " + seed + ": " + result);
                handshakes += result.handshakes() / 3;
                inTime += result.inTime() / 3;
            }
            assertTrue(handshakes < 0.15, handshakes + " new connections a request");
            assertTrue(inTime > 0.82, "in time " + inTime);
        }
    }

    /** Whatever goes wrong, each gateway keeps the rules, nodes that come back cold stand, and nothing is left open. */
    @ParameterizedTest
    @EnumSource
    void noRuleIsBrokenAndNothingIsLeftOpen(Scenario.Kind kind) {
        for (long seed = 1; seed <= 2; seed++) {
            Emulation.Result result = new Emulation(Scenario.thin(60, 65, 16, 0.5)
                    .with(new Scenario.Fault(kind, 4, 5, 0.4, 5)), seed).run();
            assertTrue(result.isClean(), kind + ", seed " + seed + ": " + result);
            assertTrue(result.inTime() > 0.5, kind + ", seed " + seed + ": " + result);
        }
    }

    /** Eight in ten are lost at a load of 0.8 and back cold: their budget goes by what warm ones bore, not by what came. */
    @Test
    void aFleetThatIsBackColdIsNotPushedOver() {
        Emulation.Result result = new Emulation(Scenario.thin(100, 65, 25, 0.8)
                .with(new Scenario.Fault(Scenario.Kind.LOST, 4, 5, 0.8, 1)), 1).run();
        assertEquals(0, result.fallen(), result::toString);
    }

    /** A silent zone is left by all 100 gateways within 3 s, and none is left on a quiet day; the rules are asserted at each step. */
    @Test
    void aHundredGatewaysLeaveASilentZoneAndNoOther() {
        Scenario day = Scenario.thin(100, 65, 16, 0.5).talking();
        Emulation quiet = new Emulation(day, 1);
        assertTrue(quiet.run().isClean());
        assertEquals(0, quiet.leaving(0, 16).left() + quiet.leaving(0, 16).elsewhere());
        Emulation silent = new Emulation(day.with(new Scenario.Fault(Scenario.Kind.SILENT, 8, 6, 0.34, 1)), 1);
        assertTrue(silent.run().isClean());
        Emulation.Leaving leaving = silent.leaving(8, 6);
        assertTrue(leaving.left() == 100 && leaving.last() < 3 && leaving.elsewhere() == 0, leaving::toString);
    }
}
