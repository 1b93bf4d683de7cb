package cinderhollow.evacuation;

import cinderhollow.peers.ByteCursor;
import cinderhollow.peers.Fact;
import cinderhollow.peers.FactKind;

/**
 * Operator's order about a zone for the whole fleet; overrides automatic decisions until it expires.
 *
 * @param untilMillis Unix time in milliseconds at which the order expires
 * @param issuer number of the member that took the order
 */
public record Order(int zone, Action action, long untilMillis, long epoch, int issuer) {
    /** Action that an order asks for. */
    public enum Action {
        /** No order: automatic decisions apply. */
        NONE,
        /** Traffic of the zone is reduced to none. */
        LEAVE,
        /** Traffic of the zone is increased to normal, and the zone is not left automatically. */
        RETURN,
        /** The current decision on the zone stays: no automatic decision follows. */
        HOLD
    }

    static final FactKind FACT_KIND = new FactKind(3, true, 0);
    private static final Action[] ACTIONS = Action.values();
    private static final int MEMBER_BITS = 16;

    Fact toFact() {
        return new Fact(FACT_KIND.number(), zone, epoch << MEMBER_BITS | issuer,
                ByteCursor.allocate(7).put(action.ordinal(), 1).put(untilMillis, 6).toByteArray());
    }

    static Order read(Fact fact, int zoneCount) {
        ByteCursor from = ByteCursor.wrap(fact.value());
        int action = (int) from.readUnsigned(1);
        if (fact.subject() >= zoneCount || action >= ACTIONS.length) {
            throw new IllegalArgumentException("order with an invalid zone or action: " + fact.subject() + ", " + action);
        }
        return new Order(fact.subject(), ACTIONS[action], from.readUnsigned(6), fact.version() >> MEMBER_BITS,
                (int) (fact.version() & (1 << MEMBER_BITS) - 1));
    }
}
