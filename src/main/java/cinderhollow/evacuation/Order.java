package cinderhollow.evacuation;

import cinderhollow.peers.Bytes;
import cinderhollow.peers.Fact;
import cinderhollow.peers.Kind;

/**
 * What an operator wants of a zone, for the whole fleet: it beats what the machine decides for as long as it stands.
 *
 * @param untilMillis Unix time
 */
public record Order(int zone, What what, long untilMillis, long epoch, int by) {
    /** What is ordered. */
    public enum What {
        /** The machine decides. */
        NONE,
        /** Nothing goes there. */
        LEAVE,
        /** What goes there goes up to the usual, and the machine does not leave. */
        RETURN,
        /** All stays as it is. */
        HOLD
    }

    static final Kind KIND = new Kind(3, true, 0);
    private static final What[] ALL = What.values();
    private static final int MEMBER_BITS = 16;

    Fact fact() {
        return new Fact(KIND.number(), zone, epoch << MEMBER_BITS | by,
                Bytes.ofSize(7).put(what.ordinal(), 1).put(untilMillis, 6).written());
    }

    static Order read(Fact fact, int zones) {
        Bytes from = Bytes.reading(fact.value());
        int what = (int) from.take(1);
        if (fact.subject() >= zones || what >= ALL.length) {
            throw new IllegalArgumentException("no such order: " + fact.subject() + ", " + what);
        }
        return new Order(fact.subject(), ALL[what], from.take(6), fact.version() >> MEMBER_BITS,
                (int) (fact.version() & (1 << MEMBER_BITS) - 1));
    }
}
