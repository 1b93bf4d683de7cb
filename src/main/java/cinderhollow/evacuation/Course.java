package cinderhollow.evacuation;

import cinderhollow.peers.Bytes;
import cinderhollow.peers.Fact;
import cinderhollow.peers.Kind;
import java.util.Locale;

/**
 * How the gateways of one vantage stand to one zone. Of two that were decided at once the one with the higher epoch counts, and
 * of one epoch the one whose decider has the higher number; everywhere the same. An epoch is at least the time: a decider that
 * has forgotten what it decided in its last life never gives the same epoch to something else.
 *
 * @param parts how much goes there, in parts of 200 of the usual
 * @param flaps how often it failed again while it returned; it is forgotten with time
 */
record Course(int zone, int vantage, Phase phase, int parts, int flaps, long epoch, int by) {
    /** In the order of a course. */
    enum Phase {
        /** As usual. */
        IN,
        /** Less and less goes there, as the others can bear it. */
        LEAVING,
        /** Nothing goes there, or what the others can't bear. */
        OUT,
        /** A little goes there, to see. */
        TRYING,
        /** More and more goes there. */
        RETURNING
    }

    static final Kind KIND = new Kind(2, true, 0);
    static final int WHOLE = 200, MOST_ZONES = 16, MOST_FLAPS = 255;
    private static final int MEMBER_BITS = 16;
    /** Epochs count these from the begin of 2026 on, so that 32 bits last for 34 years. */
    private static final long EPOCH_MILLIS = 250, BEGIN_MILLIS = 1_767_225_600_000L, LAST_EPOCH = 0xffff_ffffL;
    private static final Phase[] PHASES = Phase.values();

    /** Before anything was decided. */
    static Course in(int zone, int vantage) {
        return new Course(zone, vantage, Phase.IN, WHOLE, 0, 0, 0);
    }

    Course next(Phase next, double weight, int nextFlaps) {
        return new Course(zone, vantage, next, (int) Math.round(weight * WHOLE), Math.min(MOST_FLAPS, nextFlaps), epoch, by);
    }

    /** The same, decided then by this member, who knows a fact of that version. */
    Course decided(long knownVersion, long unixMillis, int decider) {
        return new Course(zone, vantage, phase, parts, flaps, epoch(Math.max(epoch, knownVersion >> MEMBER_BITS), unixMillis), decider);
    }

    /** The one after this: above all that is known, and not below the time. */
    static long epoch(long before, long unixMillis) {
        return Math.min(LAST_EPOCH, Math.max(before + 1, (unixMillis - BEGIN_MILLIS) / EPOCH_MILLIS));
    }

    double weight() {
        return (double) parts / WHOLE;
    }

    static int subject(int zone, int vantage) {
        return zone * MOST_ZONES + vantage;
    }

    Fact fact() {
        return new Fact(KIND.number(), subject(zone, vantage), epoch << MEMBER_BITS | by,
                Bytes.ofSize(3).put(phase.ordinal(), 1).put(parts, 1).put(flaps, 1).written());
    }

    /** What can't be is an {@link IllegalArgumentException} or an {@link IndexOutOfBoundsException}. */
    static Course read(Fact fact, int zones) {
        int zone = fact.subject() / MOST_ZONES;
        int vantage = fact.subject() % MOST_ZONES;
        Bytes from = Bytes.reading(fact.value());
        int phase = (int) from.take(1);
        int parts = (int) from.take(1);
        int flaps = (int) from.take(1);
        if (zone >= zones || vantage >= zones || phase >= PHASES.length || parts > WHOLE) {
            throw new IllegalArgumentException("no such course: " + zone + ", " + vantage + ", " + phase + ", " + parts);
        }
        return new Course(zone, vantage, PHASES[phase], parts, flaps, fact.version() >> MEMBER_BITS,
                (int) (fact.version() & (1 << MEMBER_BITS) - 1));
    }

    String word() {
        return phase.name().toLowerCase(Locale.ROOT);
    }
}
