package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.lab.Fault.Kind;
import cinderhollow.lab.Fault.Target;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks parsing, printing and drawing of fault plans, and the draw of arrivals. */
class FaultPlanTest {
    private static final List<String> ALL_KINDS = Arrays.stream(Kind.values()).map(Kind::keyword).toList();

    @Test
    void theSameSeedGivesTheSamePlanAndAnotherOneAnother() {
        assertEquals(FaultPlan.draw(7, 120, 9, 3, ALL_KINDS), FaultPlan.draw(7, 120, 9, 3, ALL_KINDS));
        assertTrue(!FaultPlan.draw(7, 120, 9, 3, ALL_KINDS).equals(FaultPlan.draw(8, 120, 9, 3, ALL_KINDS)));
        assertEquals(FaultPlan.demo(7, 20, 9), FaultPlan.demo(7, 20, 9));
    }

    /** Guards against printed plans that can't be parsed to repeat a run. */
    @Test
    void aPrintedPlanParsesToTheSamePlan() {
        for (long seed = 0; seed < 50; seed++) {
            FaultPlan plan = FaultPlan.draw(seed, 60, 9, 3, ALL_KINDS);
            assertEquals(plan, FaultPlan.parse(plan.toString(), 9, 3), "seed " + seed);
        }
    }

    @Test
    void aDrawnPlanLeavesMostNodesAndAllButOneGatewayAlone() {
        LongStream.range(0, 50).forEach(seed -> {
            List<Fault> faults = FaultPlan.draw(seed, 120, 9, 3, ALL_KINDS).faults();
            assertTrue(faults.size() > 20, "seed " + seed);
            for (Fault fault : faults) {
                long concurrent = faults.stream().filter(o -> o != fault && o.kind().target() == fault.kind().target()
                        && o.atMillis() <= fault.atMillis() && o.atMillis() + o.durationMillis() > fault.atMillis()).count();
                assertTrue(concurrent <= (fault.kind().target() == Target.NODE ? 1 : 0), "seed " + seed + ": " + fault);
            }
        });
    }

    /** Checks that some seeds together have shutdowns, every kind of signal round them, and crowds if requested. */
    @Test
    void overlappingPlansHaveSignalsRoundEachEndAndAreReadAsTheyArePrinted() {
        Set<Kind> seen = EnumSet.noneOf(Kind.class);
        for (long seed = 0; seed < 20; seed++) {
            FaultPlan plan = FaultPlan.overlapping(seed, 20, 18, 12).withCrowds(seed, 20, 12, 150);
            assertEquals(plan, FaultPlan.parse(plan.toString(), 18, 12), "seed " + seed);
            assertEquals(plan, FaultPlan.overlapping(seed, 20, 18, 12).withCrowds(seed, 20, 12, 150));
            plan.faults().forEach(fault -> seen.add(fault.kind()));
        }
        assertTrue(seen.containsAll(EnumSet.of(Kind.STOP_GATEWAY, Kind.STOP_AGAIN, Kind.HANG_UP_GATEWAY, Kind.KILL_GATEWAY,
                Kind.PAUSE_GATEWAY, Kind.CROWD)), seen::toString);
    }

    @Test
    void aGatewayThatIsAloneIsNeitherKilledNorStopped() {
        assertTrue(FaultPlan.draw(3, 300, 9, 1, List.of("kill-gateway", "stop-gateway")).faults().isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"at 3s crash node-1 for 1ms size 1", "at 3ms explode node-1 for 1ms size 1",
        "at 3ms crash node-9 for 1ms size 1", "at 3ms crash gw-1 for 1ms size 1", "at -3ms crash node-1 for 1ms size 1",
        "at 3ms crash node-1 for 0ms size 1", "at 3ms crash node-1 for 1ms size NaN", "at 3ms crash node-1 for 1ms size -1",
        "at 3ms crash node-1", "at 3ms discovery-down node-1 for 1ms size 1", "at 3ms kill-gateway gw-3 for 1ms size 1",
        "at 1e300ms crash node-1 for 1ms size 1", "at 3ms crash node-1 for 1ms size 1 more"})
    void aLineThatCannotBeReadIsNamedByItsNumber(String line) {
        String message = assertThrows(IllegalArgumentException.class,
                () -> FaultPlan.parse("# fine\n\n" + line + "\n", 9, 3)).getMessage();
        assertTrue(message.contains("line 3: "), message);
    }

    @Test
    void allBadLinesAreNamedAtOnce() {
        String message = assertThrows(IllegalArgumentException.class,
                () -> FaultPlan.parse("x\nat 1ms crash node-0 for 1ms size 1\ny", 9, 3)).getMessage();
        assertTrue(message.contains("line 1: ") && message.contains("line 3: "), message);
    }

    @Test
    void theSameSeedGivesTheSameArrivals() {
        Arrivals one = new Arrivals(FleetConfig.withDefaults(9, 3, 300, 20, 5));
        Arrivals same = new Arrivals(FleetConfig.withDefaults(200, 20, 300, 60, 5));
        long last = 0;
        for (int i = 0; i < 3000; i++) {
            Arrivals.Arrival next = one.next();
            assertEquals(next, same.next());
            assertTrue(next.atNanos() >= last);
            last = next.atNanos();
        }
        assertEquals(10.0, last / 1e9, 1.5, "3000 at 300 a second");
    }
}
