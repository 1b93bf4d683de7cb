package cinderhollow.evacuation;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import cinderhollow.peers.Roster;
import cinderhollow.policy.Protocol.Rules;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Random walks: the invariants of the evacuation hold under random faults, and planted faults are detected. The number of steps
 * can be set with {@code -Dwalk.steps=1000000}.
 */
class RandomWalkTest {
    private static final long FIRST_SEED = 100, MIN_STEPS = Long.getLong("walk.steps", 60_000);
    private static final int WALK_SECONDS = 25, MAX_SEEDS = 60, MAX_SHRINK_RUNS = 60;

    /** Planted faults that the walks must detect. */
    private enum Mutation { MINORITY_DECIDES, NO_REGION_LIMIT, EPOCHS_RESTART, FULL_TRAFFIC_SHARE }

    private static final class MutatedEvacuation extends ObservedEvacuation {
        private final Mutation mutation;

        MutatedEvacuation(Mutation mutation, EvacuationSettings settings, Rules rules, Roster roster, long seed,
                long generationMillis, Callbacks callbacks) {
            super(settings, rules, roster, seed, generationMillis, callbacks);
            this.mutation = mutation;
        }

        @Override
        boolean mayDecide() {
            return mutation == Mutation.MINORITY_DECIDES || super.mayDecide();
        }

        @Override
        boolean isEvacuated(int zone) {
            return mutation == Mutation.NO_REGION_LIMIT || super.isEvacuated(zone);
        }

        @Override
        ZoneDecision stampEpoch(ZoneDecision next) {
            ZoneDecision decided = super.stampEpoch(next);
            return mutation == Mutation.EPOCHS_RESTART ? next.withNextEpoch(0, 0, decided.decider()) : decided;
        }

        @Override
        double trafficShare(double fleetArrivalRate, int reporters) {
            return mutation == Mutation.FULL_TRAFFIC_SHARE ? 1 : super.trafficShare(fleetArrivalRate, reporters);
        }
    }

    private static String describeFailure(long seed, String breach, SimulatedFleet.GatewayFactory maker) {
        List<RandomWalk.Event> events = RandomWalk.drawEvents(seed, WALK_SECONDS);
        return "seed " + seed + ": " + breach + "; shortest found: " + RandomWalk.shrink(seed, events, maker, MAX_SHRINK_RUNS);
    }

    @Test
    void invariantsHoldInRandomWalks() {
        SimulatedFleet.GatewayFactory real = ObservedEvacuation::new;
        long[] steps = {0};
        long seed = FIRST_SEED;
        for (; steps[0] < MIN_STEPS; seed++) {
            String breach = RandomWalk.run(seed, RandomWalk.drawEvents(seed, WALK_SECONDS), real, steps);
            long broken = seed;
            assertNull(breach, () -> describeFailure(broken, breach, real));
        }
        System.out.println(steps[0] + " steps of random walks, seeds " + FIRST_SEED + " to " + (seed - 1));
    }

    @ParameterizedTest
    @EnumSource(Mutation.class)
    void plantedMutationIsFound(Mutation mutation) {
        SimulatedFleet.GatewayFactory wrong = (terms, rules, roster, itsSeed, life, host) ->
                new MutatedEvacuation(mutation, terms, rules, roster, itsSeed, life, host);
        String found = null;
        long seed = FIRST_SEED;
        for (; found == null && seed < FIRST_SEED + MAX_SEEDS; seed++) {
            found = RandomWalk.run(seed, RandomWalk.drawEvents(seed, WALK_SECONDS), wrong, new long[1]);
        }
        assertNotNull(found, "planted fault not found in " + MAX_SEEDS + " walks");
        System.out.println(mutation + ": seed " + (seed - 1) + ", " + found);
    }
}
