package cinderhollow.peers;

/**
 * Settings of the gossip protocol; times are in nanoseconds.
 *
 * @param probeIntervalNanos interval at which a member probes another one
 * @param pingTimeoutNanos time without an answer after which others are asked to probe; twice the longest round trip
 * @param gossipIntervalNanos interval of sending new facts in addition to the probes
 * @param fastGossipIntervalNanos interval of sending new facts during fast gossip
 * @param fanout number of members that get new facts at once, and that are asked for an indirect probe
 * @param syncIntervalNanos interval at which a member compares its facts with those of another one
 * @param suspicionTimeoutProbes number of probe intervals that a suspect has at least to refute, for each factor of ten in
 *     members
 * @param maxSuspicionFactor factor by which that time is longer while nobody else confirms the suspicion
 */
public record GossipSettings(long probeIntervalNanos, long pingTimeoutNanos, long gossipIntervalNanos,
        long fastGossipIntervalNanos, int fanout, long syncIntervalNanos, double suspicionTimeoutProbes,
        double maxSuspicionFactor) {
    private static final long MS = 1_000_000L;
    /** Defaults, for latencies between machines from a few to some tens of milliseconds. */
    public static final GossipSettings DEFAULT = new GossipSettings(250 * MS, 100 * MS, 100 * MS, 25 * MS, 3, 1_000 * MS, 4, 3);

    /** Returns how often a member sends a new fact: enough to reach all members almost surely (Karp and others, 2000). */
    int maxSends(int members) {
        return (int) Math.ceil(2 * Math.log(members + 1) / Math.log(2)) + 2;
    }

    /** Returns the time that a suspect has to refute, by the number of confirmations from others (Lifeguard). */
    long suspicionTimeoutNanos(int members, int confirmations) {
        double minNanos = suspicionTimeoutProbes * Math.max(1, Math.log10(members)) * probeIntervalNanos;
        double maxNanos = minNanos * maxSuspicionFactor;
        double confirmedFraction = Math.log(confirmations + 1.0) / Math.log(fanout + 1.0);
        return (long) Math.max(minNanos, maxNanos - (maxNanos - minNanos) * confirmedFraction);
    }
}
