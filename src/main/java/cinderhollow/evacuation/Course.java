package cinderhollow.evacuation;

import cinderhollow.peers.Bytes;
import cinderhollow.peers.Fact;
import cinderhollow.peers.Kind;
import java.util.Locale;

/**
 * Decision of the gateways of one vantage about one zone. Of two concurrent decisions the one with the higher epoch applies, and
 * of one epoch the one whose decider has the higher number, so that all members choose the same. An epoch is never below the
 * current time, so that a decider that restarted and lost its decisions does not reuse an epoch for another decision.
 *
 * @param parts weight of the zone, in parts of 200 of the normal traffic
 * @param flaps number of times that the zone failed again shortly after or while returning; decays with time
 * @param by number of the member that decided
 */
record Course(int zone, int vantage, Phase phase, int parts, int flaps, long epoch, int by) {
    /** Phases of an evacuation, in their order. */
    enum Phase {
        /** The zone gets its full traffic. */
        IN,
        /** Traffic is reduced in steps, as far as the other zones have room. */
        LEAVING,
        /** The zone gets no traffic, or only what the other zones have no room for. */
        OUT,
        /** The zone gets a little traffic as a trial. */
        TRYING,
        /** Traffic is increased in steps. */
        RETURNING
    }

    static final Kind KIND = new Kind(2, true, 0);
    static final int WHOLE = 200, MOST_ZONES = 16, MOST_FLAPS = 255;
    private static final int MEMBER_BITS = 16;
    /** Epochs count units of 250 ms from the beginning of 2026, so that 32 bits last for 34 years. */
    private static final long EPOCH_MILLIS = 250, BEGIN_MILLIS = 1_767_225_600_000L, LAST_EPOCH = 0xffff_ffffL;
    private static final Phase[] PHASES = Phase.values();

    /** Returns the state before any decision: full weight, epoch 0. */
    static Course in(int zone, int vantage) {
        return new Course(zone, vantage, Phase.IN, WHOLE, 0, 0, 0);
    }

    Course next(Phase next, double weight, int nextFlaps) {
        return new Course(zone, vantage, next, (int) Math.round(weight * WHOLE), Math.min(MOST_FLAPS, nextFlaps), epoch, by);
    }

    /** Returns a copy with the decider and the next epoch, above that of the newest known version. */
    Course decided(long knownVersion, long unixMillis, int decider) {
        return new Course(zone, vantage, phase, parts, flaps, epoch(Math.max(epoch, knownVersion >> MEMBER_BITS), unixMillis), decider);
    }

    /** Returns the next epoch: above the previous one and not below the current time. */
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

    /** Decodes a decision; throws {@link IllegalArgumentException} or {@link IndexOutOfBoundsException} if it is invalid. */
    static Course read(Fact fact, int zones) {
        int zone = fact.subject() / MOST_ZONES;
        int vantage = fact.subject() % MOST_ZONES;
        Bytes from = Bytes.reading(fact.value());
        int phase = (int) from.take(1);
        int parts = (int) from.take(1);
        int flaps = (int) from.take(1);
        if (zone >= zones || vantage >= zones || phase >= PHASES.length || parts > WHOLE) {
            throw new IllegalArgumentException("invalid decision (zone, vantage, phase, weight): " + zone + ", " + vantage + ", " + phase + ", " + parts);
        }
        return new Course(zone, vantage, PHASES[phase], parts, flaps, fact.version() >> MEMBER_BITS,
                (int) (fact.version() & (1 << MEMBER_BITS) - 1));
    }

    String word() {
        return phase.name().toLowerCase(Locale.ROOT);
    }
}
