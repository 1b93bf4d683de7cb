package cinderhollow.peers;

/** Replay window of one sender: the last 64 sequence numbers received of its newest generation (as in RFC 4303). */
final class Replay {
    private static final int WIDTH = 64;

    private long life;
    private long highest;
    /** Bit i is set if the number i below the highest was received. */
    private long seen;

    /** Returns the newest generation received of the sender. */
    long life() {
        return life;
    }

    /** Marks a datagram as received; returns null if it is new, or else the reason for dropping it. */
    Flaw take(long itsLife, long number) {
        if (itsLife < life) {
            return Flaw.OLD_LIFE;
        }
        if (itsLife > life) {
            life = itsLife;
            highest = 0;
            seen = 0;
        }
        if (number > highest) {
            long ahead = number - highest;
            seen = ahead >= WIDTH ? 1 : seen << ahead | 1;
            highest = number;
            return null;
        }
        long behind = highest - number;
        if (behind >= WIDTH || (seen >> behind & 1) == 1) {
            return Flaw.REPEATED;
        }
        seen |= 1L << behind;
        return null;
    }
}
