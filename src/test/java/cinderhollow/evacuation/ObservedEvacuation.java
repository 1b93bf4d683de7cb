package cinderhollow.evacuation;

import cinderhollow.peers.GossipSettings;
import cinderhollow.peers.Roster;
import cinderhollow.policy.Protocol.Rules;
import java.util.function.BiConsumer;

/** Evacuation that reports each decision at the moment in which it is made. */
class ObservedEvacuation extends Evacuation {
    BiConsumer<ObservedEvacuation, ZoneDecision> decisionListener = (gateway, course) -> { };

    ObservedEvacuation(EvacuationSettings settings, Rules rules, Roster roster, long seed, long generationMillis,
            Callbacks callbacks) {
        super(settings, rules, roster, GossipSettings.DEFAULT, seed, generationMillis, callbacks);
    }

    @Override
    ZoneDecision stampEpoch(ZoneDecision next) {
        ZoneDecision decided = super.stampEpoch(next);
        decisionListener.accept(this, decided);
        return decided;
    }
}
