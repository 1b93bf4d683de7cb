package cinderhollow.routes;

/**
 * A percentile of the last so many answers' times. It counts in buckets that grow by an eighth (an error of at most
 * that), so that an answer costs a few steps; the oldest answer leaves as the newest comes, so that a percentile that
 * moves tenfold is followed within as many answers as are remembered.
 */
final class Quantile {
    private static final int BUCKETS_A_DOUBLING = 8;
    private static final int BUCKETS = 64 * BUCKETS_A_DOUBLING;
    private static final double LOG = Math.log(2) / BUCKETS_A_DOUBLING;

    private final double part;
    private final short[] last;
    private final int[] counts = new int[BUCKETS];
    private int next;
    private int held;
    /** The bucket that holds the percentile, and how many answers lie below it: moved step by step. */
    private int at;
    private int below;

    /** {@code percentile} from 0 to 100, of so many answers. */
    Quantile(double percentile, int samples) {
        part = percentile / 100;
        last = new short[samples];
    }

    void add(long nanos) {
        int bucket = bucket(nanos);
        if (held == last.length) {
            int oldest = last[next];
            counts[oldest]--;
            below -= oldest < at ? 1 : 0;
        } else {
            held++;
        }
        last[next] = (short) bucket;
        next = (next + 1) % last.length;
        counts[bucket]++;
        below += bucket < at ? 1 : 0;
        settle();
    }

    private void settle() {
        double rank = part * held;
        while (at > 0 && below >= rank) {
            below -= counts[--at];
        }
        while (at < BUCKETS - 1 && below + counts[at] < rank) {
            below += counts[at++];
        }
    }

    /** The upper end of the percentile's bucket, or 0 until as many answers have come as are to be remembered. */
    long nanos() {
        return held < last.length ? 0 : Math.round(Math.exp((at + 1) * LOG));
    }

    private static int bucket(long nanos) {
        return nanos <= 1 ? 0 : Math.min(BUCKETS - 1, (int) (Math.log(nanos) / LOG));
    }
}
