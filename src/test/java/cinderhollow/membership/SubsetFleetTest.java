package cinderhollow.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.bench.FleetSimulation;
import cinderhollow.bench.FleetSimulation.Result;
import cinderhollow.bench.FleetSimulation.ServerSelection;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests, with the decision module in simulated time, that subsets are even, serve as well and don't overload cold servers. */
class SubsetFleetTest {
    private static Result simulate(ServerSelection way, long seed) {
        return new FleetSimulation(way, 30, 450, 120, 0.7, 16, seed).run();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void subsetsAreEvenServeInTimeAndLimitLoadOnColdServers(long seed) {
        Result subsets = simulate(ServerSelection.SUBSETS, seed);
        Result random = simulate(ServerSelection.RANDOM, seed);
        Result all = simulate(ServerSelection.ALL, seed);
        String figures = subsets + "\n" + random + "\n" + all;
        assertTrue(subsets.maxGatewaysPerServer() <= 1.25 * subsets.meanGatewaysPerServer(), figures);
        assertTrue(random.maxGatewaysPerServer() > 1.25 * random.meanGatewaysPerServer(),
                "random subsets are too even to compare with: " + figures);
        assertTrue(subsets.inTimeRatio() >= random.inTimeRatio() - 0.01 && subsets.inTimeRatio() >= all.inTimeRatio() - 0.01,
                figures);
        // In these 2 s a server warms up from 0.3 to 0.48 of its speed; the rule allows 2.5 times the mean of these.
        assertTrue(subsets.maxColdLoad() <= 2.5 * (0.3 + 0.48) / 2, figures);
    }
}
