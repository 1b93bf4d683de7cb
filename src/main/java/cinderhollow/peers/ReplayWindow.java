package cinderhollow.peers;

/** Replay window of one sender: the last 64 sequence numbers received of its newest generation (as in RFC 4303). */
final class ReplayWindow {
    private static final int WINDOW_BITS = 64;

    private long generation;
    private long highestSequence;
    /** Bit i is set if the number i below the highest was received. */
    private long seenBits;

    /** Returns the newest generation received of the sender. */
    long generation() {
        return generation;
    }

    /** Marks a datagram as received; returns null if it is new, or else the reason for dropping it. */
    DropReason accept(long senderGeneration, long sequence) {
        if (senderGeneration < generation) {
            return DropReason.OLD_LIFE;
        }
        if (senderGeneration > generation) {
            generation = senderGeneration;
            highestSequence = 0;
            seenBits = 0;
        }
        if (sequence > highestSequence) {
            long ahead = sequence - highestSequence;
            seenBits = ahead >= WINDOW_BITS ? 1 : seenBits << ahead | 1;
            highestSequence = sequence;
            return null;
        }
        long behind = highestSequence - sequence;
        if (behind >= WINDOW_BITS || (seenBits >> behind & 1) == 1) {
            return DropReason.REPEATED;
        }
        seenBits |= 1L << behind;
        return null;
    }
}
