package cinderhollow.evacuation;

import java.util.Collection;
import java.util.Locale;

/**
 * Assessment of one zone by the digests of one vantage.
 *
 * <p>The test on attempts: in a sound zone a part of at most {@link #USUAL} of the attempts fails. By Chernoff's bound the
 * probability of k or more failures of n is then at most exp(-n D(k/n || expected)), where D is the Kullback-Leibler divergence.
 * If that is below {@link #FALSE_ALARM} the zone is not considered sound; nine failures of nine are enough, or 62 of 124. Each
 * gateway counts with at most {@link #MOST_OF_ONE} attempts, so that none of them decides alone.
 *
 * <p>The test on servers: a part of up to {@link #OWN_FAULTS} of a zone's servers may fail independently of the zone. So six in
 * ten of all servers must fail, or so many of those tried that chance would pick them with a probability below
 * {@link #BY_CHANCE}: six of six, or 12 of 15.
 *
 * @param tried attempts counted
 * @param bad failed attempts
 * @param late attempts answered late or turned away
 * @param voters gateways whose digests count
 * @param against gateways that saw at least half of their attempts fail
 * @param hostsSeen server buckets that were tried
 * @param hostsFailing server buckets that only failed
 */
record Judgement(Verdict verdict, double tried, double bad, double late, int voters, int against, int hostsSeen, int hostsFailing) {
    /** Verdict on a zone. */
    enum Verdict { UNKNOWN, SOUND, SLOW, BAD }

    /** Failure ratio of a sound zone at most: single servers fail or restart, and links lose packets. */
    static final double USUAL = 0.2;
    static final double FALSE_ALARM = 1e-6;
    /** Number of attempts up to which one gateway's counts are used in full; larger counts are scaled down to it. */
    static final double MOST_OF_ONE = 12;
    /** Part of the tried servers that may fail by themselves without the zone being at fault; significance level of that test. */
    static final double OWN_FAULTS = 0.4, BY_CHANCE = 0.01;
    private static final double HOSTS = 0.6, HALF = 0.5, MOSTLY_LATE = 0.75, SELDOM_LATE = 0.4;
    private static final int LEAST_TO_PRAISE = 5;

    /** Assesses a zone with the given number of servers by these digests. */
    static Judgement of(int zone, int hosts, Collection<Digest> digests) {
        double tried = 0;
        double bad = 0;
        double late = 0;
        int voters = 0;
        int against = 0;
        int slow = 0;
        long good = 0;
        long failing = 0;
        for (Digest d : digests) {
            Digest.OfZone z = d.of(zone);
            if (d.doubtsItself() || z == null || z.tried() == 0) {
                continue;
            }
            double part = Math.min(1, MOST_OF_ONE / z.tried());
            tried += z.tried() * part;
            bad += z.bad() * part;
            late += z.late() * part;
            voters++;
            against += 2 * z.bad() >= z.tried() ? 1 : 0;
            slow += 2 * (z.bad() + z.late()) >= z.tried() ? 1 : 0;
            good |= z.good();
            failing |= z.failing();
        }
        int seen = Long.bitCount(good | failing);
        int broken = Long.bitCount(failing & ~good);
        Verdict verdict = Verdict.UNKNOWN;
        if (bad >= HALF * tried && unlikely(bad, tried) && 2 * against > voters && mostHosts(broken, seen, hosts)) {
            verdict = Verdict.BAD;
        } else if (bad + late >= MOSTLY_LATE * tried && unlikely(bad + late, tried) && 3 * slow > 2 * voters) {
            verdict = Verdict.SLOW;
        } else if (tried >= LEAST_TO_PRAISE && bad <= USUAL * tried && bad + late <= SELDOM_LATE * tried) {
            verdict = Verdict.SOUND;
        }
        return new Judgement(verdict, tried, bad, late, voters, against, seen, broken);
    }

    /** Returns whether the failure ratio is above the expected one by more than chance explains. */
    static boolean unlikely(double bad, double tried) {
        double part = tried == 0 ? 0 : bad / tried;
        return part > USUAL && tried * divergence(part, USUAL) >= -Math.log(FALSE_ALARM);
    }

    /**
     * Returns whether enough servers fail to blame the zone. If few servers were tried, chance could pick mostly failing ones of
     * a zone in which only a third fails.
     */
    static boolean mostHosts(int failing, int seen, int hosts) {
        double part = seen == 0 ? 0 : (double) failing / seen;
        return part >= HOSTS && (failing >= HOSTS * Math.min(hosts, Digest.BUCKETS)
                || seen * divergence(part, OWN_FAULTS) >= -Math.log(BY_CHANCE));
    }

    private static double divergence(double part, double usual) {
        return (part == 0 ? 0 : part * Math.log(part / usual)) + (part == 1 ? 0 : (1 - part) * Math.log((1 - part) / (1 - usual)));
    }

    /** Returns whether the zone answers at least half of the attempts in time: possibly busy, but better than a failing one. */
    boolean serves() {
        return tried >= LEAST_TO_PRAISE && worth() >= HALF;
    }

    /** Returns the part of the attempts that is answered in time, 1 if there are none. */
    double worth() {
        return tried == 0 ? 1 : Math.max(0, 1 - (bad + late) / tried);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s: %.0f tried, %.0f bad, %.0f late, by %d gateways, %d against; %d of %d hosts fail",
                verdict.name().toLowerCase(Locale.ROOT), tried, bad, late, voters, against, hostsFailing, hostsSeen);
    }
}
