package cinderhollow.evacuation;

import cinderhollow.peers.ByteCursor;
import cinderhollow.peers.Fact;
import cinderhollow.peers.FactKind;
import java.util.Locale;

/**
 * Decision of the gateways of one vantage about one zone. Of two concurrent decisions the one with the higher epoch applies, and
 * of one epoch the one whose decider has the higher number, so that all members choose the same. An epoch is never below the
 * current time, so that a decider that restarted and lost its decisions does not reuse an epoch for another decision.
 *
 * @param scaledWeight weight of the zone, in parts of 200 of the normal traffic
 * @param flaps number of times that the zone failed again shortly after or while returning; decays with time
 * @param decider number of the member that decided
 */
record ZoneDecision(int zone, int vantage, Phase phase, int scaledWeight, int flaps, long epoch, int decider) {
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

    static final FactKind FACT_KIND = new FactKind(2, true, 0);
    static final int WEIGHT_SCALE = 200, MAX_ZONES = 16, MAX_FLAPS = 255;
    private static final int MEMBER_BITS = 16;
    /** Epochs count units of 250 ms from the beginning of 2026, so that 32 bits last for 34 years. */
    private static final long EPOCH_MILLIS = 250, EPOCH_ORIGIN_MILLIS = 1_767_225_600_000L, MAX_EPOCH = 0xffff_ffffL;
    private static final Phase[] PHASES = Phase.values();

    /** Returns the state before any decision: full weight, epoch 0. */
    static ZoneDecision initial(int zone, int vantage) {
        return new ZoneDecision(zone, vantage, Phase.IN, WEIGHT_SCALE, 0, 0, 0);
    }

    ZoneDecision transitionTo(Phase next, double weight, int nextFlaps) {
        return new ZoneDecision(zone, vantage, next, (int) Math.round(weight * WEIGHT_SCALE), Math.min(MAX_FLAPS, nextFlaps),
                epoch, decider);
    }

    /** Returns a copy with the decider and the next epoch, above that of the newest known version. */
    ZoneDecision withNextEpoch(long newestKnownVersion, long unixMillis, int decidingMember) {
        return new ZoneDecision(zone, vantage, phase, scaledWeight, flaps,
                nextEpoch(Math.max(epoch, newestKnownVersion >> MEMBER_BITS), unixMillis), decidingMember);
    }

    /** Returns the next epoch: above the previous one and not below the current time. */
    static long nextEpoch(long before, long unixMillis) {
        return Math.min(MAX_EPOCH, Math.max(before + 1, (unixMillis - EPOCH_ORIGIN_MILLIS) / EPOCH_MILLIS));
    }

    double weight() {
        return (double) scaledWeight / WEIGHT_SCALE;
    }

    static int subject(int zone, int vantage) {
        return zone * MAX_ZONES + vantage;
    }

    Fact toFact() {
        return new Fact(FACT_KIND.number(), subject(zone, vantage), epoch << MEMBER_BITS | decider,
                ByteCursor.allocate(3).put(phase.ordinal(), 1).put(scaledWeight, 1).put(flaps, 1).toByteArray());
    }

    /** Decodes a decision; throws {@link IllegalArgumentException} or {@link IndexOutOfBoundsException} if it is invalid. */
    static ZoneDecision read(Fact fact, int zoneCount) {
        int zone = fact.subject() / MAX_ZONES;
        int vantage = fact.subject() % MAX_ZONES;
        ByteCursor from = ByteCursor.wrap(fact.value());
        int phase = (int) from.readUnsigned(1);
        int parts = (int) from.readUnsigned(1);
        int flaps = (int) from.readUnsigned(1);
        if (zone >= zoneCount || vantage >= zoneCount || phase >= PHASES.length || parts > WEIGHT_SCALE) {
            throw new IllegalArgumentException("invalid decision (zone, vantage, phase, weight): " + zone + ", " + vantage
                    + ", " + phase + ", " + parts);
        }
        return new ZoneDecision(zone, vantage, PHASES[phase], parts, flaps, fact.version() >> MEMBER_BITS,
                (int) (fact.version() & (1 << MEMBER_BITS) - 1));
    }

    String phaseName() {
        return phase.name().toLowerCase(Locale.ROOT);
    }
}
