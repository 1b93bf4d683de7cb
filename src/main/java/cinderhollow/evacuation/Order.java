package cinderhollow.evacuation;

import cinderhollow.peers.Bytes;
import cinderhollow.peers.Fact;
import cinderhollow.peers.Kind;

/**
 * Operator's order about a zone for the whole fleet; overrides automatic decisions until it expires.
 *
 * @param untilMillis Unix time in milliseconds at which the order expires
 * @param by number of the member that took the order
 */
public record Order(int zone, Action what, long untilMillis, long epoch, int by) {
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

    static final Kind KIND = new Kind(3, true, 0);
    private static final Action[] ALL = Action.values();
    private static final int MEMBER_BITS = 16;

    Fact fact() {
        return new Fact(KIND.number(), zone, epoch << MEMBER_BITS | by,
                Bytes.ofSize(7).put(what.ordinal(), 1).put(untilMillis, 6).written());
    }

    static Order read(Fact fact, int zones) {
        Bytes from = Bytes.reading(fact.value());
        int what = (int) from.take(1);
        if (fact.subject() >= zones || what >= ALL.length) {
            throw new IllegalArgumentException("order with an invalid zone or action: " + fact.subject() + ", " + what);
        }
        return new Order(fact.subject(), ALL[what], from.take(6), fact.version() >> MEMBER_BITS,
                (int) (fact.version() & (1 << MEMBER_BITS) - 1));
    }
}
