package cinderhollow.evacuation;

import java.util.Collection;
import java.util.Locale;

/**
 * Assessment of one zone by the digests of one vantage.
 *
 * <p>The test on attempts: in a sound zone a part of at most {@link #EXPECTED_FAILURE_RATIO} of the attempts fails. By Chernoff's bound the
 * probability of k or more failures of n is then at most exp(-n D(k/n || expected)), where D is the Kullback-Leibler divergence.
 * If that is below {@link #FALSE_ALARM_PROBABILITY} the zone is not considered sound; nine failures of nine are enough, or 62 of 124. Each
 * gateway counts with at most {@link #MAX_ATTEMPTS_PER_GATEWAY} attempts, so that none of them decides alone.
 *
 * <p>The test on servers: a part of up to {@link #INDEPENDENT_SERVER_FAILURE_RATIO} of a zone's servers may fail independently of the zone. So six in
 * ten of all servers must fail, or so many of those tried that chance would pick them with a probability below
 * {@link #SERVER_SAMPLE_FALSE_ALARM_PROBABILITY}: six of six, or 12 of 15.
 *
 * @param attempts attempts counted
 * @param failures failed attempts
 * @param lateOrFull attempts answered late or turned away
 * @param voters gateways whose digests count
 * @param failureVotes gateways that saw at least half of their attempts fail
 * @param serversSeen server buckets that were tried
 * @param serversFailing server buckets that only failed
 */
record ZoneAssessment(Verdict verdict, double attempts, double failures, double lateOrFull, int voters, int failureVotes,
        int serversSeen, int serversFailing) {
    /** Verdict on a zone. */
    enum Verdict { UNKNOWN, SOUND, SLOW, BAD }

    /** Failure ratio of a sound zone at most: single servers fail or restart, and links lose packets. */
    static final double EXPECTED_FAILURE_RATIO = 0.2;
    static final double FALSE_ALARM_PROBABILITY = 1e-6;
    /** Number of attempts up to which one gateway's counts are used in full; larger counts are scaled down to it. */
    static final double MAX_ATTEMPTS_PER_GATEWAY = 12;
    /** Part of the tried servers that may fail by themselves without the zone being at fault; significance level of that test. */
    static final double INDEPENDENT_SERVER_FAILURE_RATIO = 0.4, SERVER_SAMPLE_FALSE_ALARM_PROBABILITY = 0.01;
    private static final double MIN_FAILING_SERVERS_RATIO = 0.6, MAJORITY_RATIO = 0.5, MIN_SLOW_RATIO = 0.75,
            MAX_SOUND_SLOW_RATIO = 0.4;
    private static final int MIN_ATTEMPTS_FOR_SOUND = 5;

    /** Assesses a zone with the given number of servers by these digests. */
    static ZoneAssessment of(int zone, int serverCount, Collection<Digest> digests) {
        double attempts = 0;
        double failures = 0;
        double lateOrFull = 0;
        int voters = 0;
        int failureVotes = 0;
        int slowVotes = 0;
        long healthyServerBits = 0;
        long failingServerBits = 0;
        for (Digest d : digests) {
            Digest.ZoneSummary z = d.findZone(zone);
            if (d.localFaultSuspected() || z == null || z.attempts() == 0) {
                continue;
            }
            double scale = Math.min(1, MAX_ATTEMPTS_PER_GATEWAY / z.attempts());
            attempts += z.attempts() * scale;
            failures += z.failures() * scale;
            lateOrFull += z.lateOrFull() * scale;
            voters++;
            failureVotes += 2 * z.failures() >= z.attempts() ? 1 : 0;
            slowVotes += 2 * (z.failures() + z.lateOrFull()) >= z.attempts() ? 1 : 0;
            healthyServerBits |= z.healthyServerBits();
            failingServerBits |= z.failingServerBits();
        }
        int serversSeen = Long.bitCount(healthyServerBits | failingServerBits);
        int serversFailing = Long.bitCount(failingServerBits & ~healthyServerBits);
        Verdict verdict = Verdict.UNKNOWN;
        if (failures >= MAJORITY_RATIO * attempts && isSignificant(failures, attempts) && 2 * failureVotes > voters
                && areMostServersFailing(serversFailing, serversSeen, serverCount)) {
            verdict = Verdict.BAD;
        } else if (failures + lateOrFull >= MIN_SLOW_RATIO * attempts && isSignificant(failures + lateOrFull, attempts)
                && 3 * slowVotes > 2 * voters) {
            verdict = Verdict.SLOW;
        } else if (attempts >= MIN_ATTEMPTS_FOR_SOUND && failures <= EXPECTED_FAILURE_RATIO * attempts && failures
                + lateOrFull <= MAX_SOUND_SLOW_RATIO * attempts) {
            verdict = Verdict.SOUND;
        }
        return new ZoneAssessment(verdict, attempts, failures, lateOrFull, voters, failureVotes, serversSeen, serversFailing);
    }

    /** Returns whether the failure ratio is above the expected one by more than chance explains. */
    static boolean isSignificant(double failures, double attempts) {
        double ratio = attempts == 0 ? 0 : failures / attempts;
        return ratio > EXPECTED_FAILURE_RATIO
                && attempts * divergence(ratio, EXPECTED_FAILURE_RATIO) >= -Math.log(FALSE_ALARM_PROBABILITY);
    }

    /**
     * Returns whether enough servers fail to blame the zone. If few servers were tried, chance could pick mostly failing ones of
     * a zone in which only a third fails.
     */
    static boolean areMostServersFailing(int failing, int seen, int serverCount) {
        double ratio = seen == 0 ? 0 : (double) failing / seen;
        return ratio >= MIN_FAILING_SERVERS_RATIO
                && (failing >= MIN_FAILING_SERVERS_RATIO * Math.min(serverCount, Digest.SERVER_BUCKETS)
                || seen * divergence(ratio,
                INDEPENDENT_SERVER_FAILURE_RATIO) >= -Math.log(SERVER_SAMPLE_FALSE_ALARM_PROBABILITY));
    }

    private static double divergence(double ratio, double expected) {
        return (ratio == 0 ? 0 : ratio * Math.log(ratio / expected))
                + (ratio == 1 ? 0 : (1 - ratio) * Math.log((1 - ratio) / (1 - expected)));
    }

    /** Returns whether the zone answers at least half of the attempts in time: possibly busy, but better than a failing one. */
    boolean isServing() {
        return attempts >= MIN_ATTEMPTS_FOR_SOUND && inTimeRatio() >= MAJORITY_RATIO;
    }

    /** Returns the part of the attempts that is answered in time, 1 if there are none. */
    double inTimeRatio() {
        return attempts == 0 ? 1 : Math.max(0, 1 - (failures + lateOrFull) / attempts);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s: %.0f tried, %.0f bad, %.0f late, by %d gateways, %d against; %d of %d hosts fail",
                verdict.name().toLowerCase(Locale.ROOT), attempts, failures, lateOrFull, voters, failureVotes, serversFailing,
                serversSeen);
    }
}
