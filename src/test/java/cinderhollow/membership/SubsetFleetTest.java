package cinderhollow.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.bench.FleetSimulation;
import cinderhollow.bench.FleetSimulation.Result;
import cinderhollow.bench.FleetSimulation.Way;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What subsets are for, with the module in made-up time: even, no worse served, and no node buried when it is cold. */
class SubsetFleetTest {
    private static Result play(Way way, long seed) {
        return new FleetSimulation(way, 30, 450, 120, 0.7, 16, seed).run();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void subsetsAreEvenServeWellAndSpareTheCold(long seed) {
        Result subsets = play(Way.SUBSETS, seed);
        Result random = play(Way.RANDOM, seed);
        Result all = play(Way.ALL, seed);
        String figures = subsets + "\n" + random + "\n" + all;
        assertTrue(subsets.mostGateways() <= 1.25 * subsets.meanGateways(), figures);
        assertTrue(random.mostGateways() > 1.25 * random.meanGateways(), "else this proves nothing: " + figures);
        assertTrue(subsets.inTime() >= random.inTime() - 0.01 && subsets.inTime() >= all.inTime() - 0.01, figures);
        // From 0.3 of its speed on a node warms up to 0.48 of it in these two seconds; the rule allows 2.5 times that.
        assertTrue(subsets.mostColdLoad() <= 2.5 * (0.3 + 0.48) / 2, figures);
    }
}
