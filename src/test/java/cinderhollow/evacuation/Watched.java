package cinderhollow.evacuation;

import cinderhollow.peers.GossipSettings;
import cinderhollow.peers.Roster;
import cinderhollow.policy.Protocol.Rules;
import java.util.function.BiConsumer;

/** Evacuation that reports each decision at the moment in which it is made. */
class Watched extends Evacuation {
    BiConsumer<Watched, Course> watch = (gateway, course) -> { };

    Watched(EvacuationSettings terms, Rules rules, Roster roster, long seed, long lifeMillis, Callbacks host) {
        super(terms, rules, roster, GossipSettings.DEFAULT, seed, lifeMillis, host);
    }

    @Override
    Course decided(Course next) {
        Course decided = super.decided(next);
        watch.accept(this, decided);
        return decided;
    }
}
