package cinderhollow.peers;

/**
 * The protocol's times, in nanoseconds, and its numbers.
 *
 * @param probe a member probes another one so often
 * @param pingTimeout so long it waits before it asks others to try; twice the longest way there and back
 * @param gossip what is new goes out so often beside the probes
 * @param hurried and so often while something is at stake
 * @param fanout to so many at once; and so many are asked to try
 * @param sync a member compares what it knows with another one's so often
 * @param suspicion how many probes a suspect has at the least to speak up, for each factor of ten in members
 * @param slack how many times longer while nobody else confirms the suspicion
 */
public record Pace(long probe, long pingTimeout, long gossip, long hurried, int fanout, long sync, double suspicion, double slack) {
    private static final long MS = 1_000_000L;
    /** For machines a few milliseconds from each other, or some tens. */
    public static final Pace USUAL = new Pace(250 * MS, 100 * MS, 100 * MS, 25 * MS, 3, 1_000 * MS, 4, 3);

    /** How often a rumour is sent on: enough that it reaches all but surely (Karp and others, 2000). */
    int sends(int members) {
        return (int) Math.ceil(2 * Math.log(members + 1) / Math.log(2)) + 2;
    }

    /** How long a suspect has, where so many others have confirmed it (Lifeguard). */
    long suspicion(int members, int confirmations) {
        double least = suspicion * Math.max(1, Math.log10(members)) * probe;
        double most = least * slack;
        double part = Math.log(confirmations + 1.0) / Math.log(fanout + 1.0);
        return (long) Math.max(least, most - (most - least) * part);
    }
}
