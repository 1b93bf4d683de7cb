package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a short fault soak of real processes: a small fleet, a few seeds, one with crowds. The long one is run by hand. */
class FaultSoakTest {
    private static final FaultSoak SMALL_SOAK = new FaultSoak(8, 4, 80, 15, 0.1);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noRuleIsBroken(long seed) throws Exception {
        try (Lab lab = new Lab(SMALL_SOAK.fleetConfig(seed), SMALL_SOAK.plan(seed),
                GatewayProcess.launcher(GatewayProcess.DEPLOYMENT_JVM_FLAGS), second -> { })) {
            Report report = lab.run();
            assertTrue(report.isClean(), () -> SMALL_SOAK.plan(seed) + "\n" + report);
            assertEquals(0, report.openMalformedConnections(), report::toString);
            assertTrue(report.served() > report.requests() / 2, report::toString);
        }
    }
}
