package cinderhollow.peers;

/**
 * Settings of the gossip protocol; times are in nanoseconds.
 *
 * @param probe interval at which a member probes another one
 * @param pingTimeout time without an answer after which others are asked to probe; twice the longest round trip
 * @param gossip interval of sending new facts in addition to the probes
 * @param hurried interval of sending new facts during fast gossip
 * @param fanout number of members that get new facts at once, and that are asked for an indirect probe
 * @param sync interval at which a member compares its facts with those of another one
 * @param suspicion number of probe intervals that a suspect has at least to refute, for each factor of ten in members
 * @param slack factor by which that time is longer while nobody else confirms the suspicion
 */
public record GossipSettings(long probe, long pingTimeout, long gossip, long hurried, int fanout, long sync, double suspicion, double slack) {
    private static final long MS = 1_000_000L;
    /** Defaults, for latencies between machines from a few to some tens of milliseconds. */
    public static final GossipSettings DEFAULT = new GossipSettings(250 * MS, 100 * MS, 100 * MS, 25 * MS, 3, 1_000 * MS, 4, 3);

    /** Returns how often a member sends a new fact: enough to reach all members almost surely (Karp and others, 2000). */
    int sends(int members) {
        return (int) Math.ceil(2 * Math.log(members + 1) / Math.log(2)) + 2;
    }

    /** Returns the time that a suspect has to refute, by the number of confirmations from others (Lifeguard). */
    long suspicion(int members, int confirmations) {
        double least = suspicion * Math.max(1, Math.log10(members)) * probe;
        double most = least * slack;
        double part = Math.log(confirmations + 1.0) / Math.log(fanout + 1.0);
        return (long) Math.max(least, most - (most - least) * part);
    }
}
