package cinderhollow.evacuation;

import java.util.Collection;
import java.util.Locale;

/**
 * What the gateways of one vantage saw of one zone together.
 *
 * <p>The test: were the zone sound, a part of at most {@link #USUAL} of its attempts would end badly. By Chernoff's bound the
 * chance of k or more bad ones of n is then at most exp(-n D(k/n || usual)), D being the Kullback-Leibler divergence; below
 * {@link #FALSE_ALARM} it is not believed to be sound. Nine lost attempts of nine are enough, or 62 of 124. Each gateway counts
 * with at most {@link #MOST_OF_ONE} attempts, so that no one of them decides.
 *
 * <p>Some of a zone's hosts may fail for themselves, up to {@link #OWN_FAULTS} of them. So six in ten of all must have failed, or
 * so many of those tried that chance picks them in fewer than one case in {@link #BY_CHANCE}: six of six, or 12 of 15.
 */
record Judgement(Verdict verdict, double tried, double bad, double late, int voters, int against, int hostsSeen, int hostsFailing) {
    /** What is thought of a zone. */
    enum Verdict { UNKNOWN, SOUND, SLOW, BAD }

    /** Of the attempts at a sound zone some end badly: a host of it that fails, a start, a link that loses a packet. */
    static final double USUAL = 0.2;
    static final double FALSE_ALARM = 1e-6;
    /** From one gateway no more attempts count. */
    static final double MOST_OF_ONE = 12;
    /** Of the hosts that were tried: with fewer failing it is these hosts' fault and not the zone's. */
    static final double OWN_FAULTS = 0.4, BY_CHANCE = 0.01;
    private static final double HOSTS = 0.6, HALF = 0.5, MOSTLY_LATE = 0.75, SELDOM_LATE = 0.4;
    private static final int LEAST_TO_PRAISE = 5;

    /** Of one zone with so many hosts, by these digests. */
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

    /** Whether so many of so many are more than chance where the usual part is bad. */
    static boolean unlikely(double bad, double tried) {
        double part = tried == 0 ? 0 : bad / tried;
        return part > USUAL && tried * divergence(part, USUAL) >= -Math.log(FALSE_ALARM);
    }

    /** Guards against a third of the hosts passing for the zone where few of them were tried. */
    static boolean mostHosts(int failing, int seen, int hosts) {
        double part = seen == 0 ? 0 : (double) failing / seen;
        return part >= HOSTS && (failing >= HOSTS * Math.min(hosts, Digest.BUCKETS)
                || seen * divergence(part, OWN_FAULTS) >= -Math.log(BY_CHANCE));
    }

    private static double divergence(double part, double usual) {
        return (part == 0 ? 0 : part * Math.log(part / usual)) + (part == 1 ? 0 : (1 - part) * Math.log((1 - part) / (1 - usual)));
    }

    /** Whether it is seen to answer at least half in time: busy perhaps, but better than one that fails. */
    boolean serves() {
        return tried >= LEAST_TO_PRAISE && worth() >= HALF;
    }

    /** How much of what is sent there is still answered in time. */
    double worth() {
        return tried == 0 ? 1 : Math.max(0, 1 - (bad + late) / tried);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s: %.0f tried, %.0f bad, %.0f late, by %d gateways, %d against; %d of %d hosts fail",
                verdict.name().toLowerCase(Locale.ROOT), tried, bad, late, voters, against, hostsFailing, hostsSeen);
    }
}
