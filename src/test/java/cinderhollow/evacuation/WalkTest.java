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
class WalkTest {
    private static final long FIRST = 100, STEPS = Long.getLong("walk.steps", 60_000);
    private static final int SECONDS = 25, MOST_SEEDS = 60, PLAYS = 60;

    /** Planted faults that the walks must detect. */
    private enum Mistake { A_MINORITY_DECIDES, EACH_ZONE_FOR_ITSELF, EPOCHS_START_ANEW, ALL_BEAR_ALL }

    private static final class Mistaken extends Watched {
        private final Mistake mistake;

        Mistaken(Mistake mistake, EvacuationSettings terms, Rules rules, Roster roster, long seed, long lifeMillis, Callbacks host) {
            super(terms, rules, roster, seed, lifeMillis, host);
            this.mistake = mistake;
        }

        @Override
        boolean mayDecide() {
            return mistake == Mistake.A_MINORITY_DECIDES || super.mayDecide();
        }

        @Override
        boolean isLeft(int zone) {
            return mistake == Mistake.EACH_ZONE_FOR_ITSELF || super.isLeft(zone);
        }

        @Override
        Course decided(Course next) {
            Course decided = super.decided(next);
            return mistake == Mistake.EPOCHS_START_ANEW ? next.decided(0, 0, decided.by()) : decided;
        }

        @Override
        double part(double come, int telling) {
            return mistake == Mistake.ALL_BEAR_ALL ? 1 : super.part(come, telling);
        }
    }

    private static String told(long seed, String breach, World.Maker maker) {
        List<Walk.Happens> all = Walk.drawn(seed, SECONDS);
        return "seed " + seed + ": " + breach + "; shortest found: " + Walk.shortest(seed, all, maker, PLAYS);
    }

    @Test
    void whatMustHoldHolds() {
        World.Maker real = Watched::new;
        long[] steps = {0};
        long seed = FIRST;
        for (; steps[0] < STEPS; seed++) {
            String breach = Walk.play(seed, Walk.drawn(seed, SECONDS), real, steps);
            long broken = seed;
            assertNull(breach, () -> told(broken, breach, real));
        }
        System.out.println(steps[0] + " steps of random walks, seeds " + FIRST + " to " + (seed - 1));
    }

    @ParameterizedTest
    @EnumSource(Mistake.class)
    void aPlantedMistakeIsFound(Mistake mistake) {
        World.Maker wrong = (terms, rules, roster, itsSeed, life, host) ->
                new Mistaken(mistake, terms, rules, roster, itsSeed, life, host);
        String found = null;
        long seed = FIRST;
        for (; found == null && seed < FIRST + MOST_SEEDS; seed++) {
            found = Walk.play(seed, Walk.drawn(seed, SECONDS), wrong, new long[1]);
        }
        assertNotNull(found, "planted fault not found in " + MOST_SEEDS + " walks");
        System.out.println(mistake + ": seed " + (seed - 1) + ", " + found);
    }
}
