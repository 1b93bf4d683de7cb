package cinderhollow.routes;

/**
 * Percentile of the latencies of a fixed number of recent answers. Latencies are counted in logarithmic buckets, eight for each
 * doubling, which bounds the error by the width of a bucket, so that adding a latency takes only a few steps. Each new latency
 * replaces the oldest one, so that after a tenfold change the percentile is right once all remembered latencies are new.
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
    /** The bucket that holds the percentile, and the number of latencies in lower buckets; both are updated incrementally. */
    private int at;
    private int below;

    /** Creates a percentile, from 0 to 100, over this number of recent latencies. */
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

    /**
     * Returns the upper bound of the percentile's bucket in nanoseconds, or 0 until as many latencies were added as are
     * remembered.
     */
    long nanos() {
        return held < last.length ? 0 : Math.round(Math.exp((at + 1) * LOG));
    }

    private static int bucket(long nanos) {
        return nanos <= 1 ? 0 : Math.min(BUCKETS - 1, (int) (Math.log(nanos) / LOG));
    }
}
