package cinderhollow.routes;

/**
 * Percentile of the latencies of a fixed number of recent answers. Latencies are counted in logarithmic buckets, eight for each
 * doubling, which bounds the error by the width of a bucket, so that adding a latency takes only a few steps. Each new latency
 * replaces the oldest one, so that after a tenfold change the percentile is right once all remembered latencies are new.
 */
final class Quantile {
    private static final int BUCKETS_PER_DOUBLING = 8;
    private static final int BUCKET_COUNT = 64 * BUCKETS_PER_DOUBLING;
    private static final double BUCKET_LOG_WIDTH = Math.log(2) / BUCKETS_PER_DOUBLING;

    private final double fraction;
    private final short[] recentBuckets;
    private final int[] bucketCounts = new int[BUCKET_COUNT];
    private int nextIndex;
    private int sampleCount;
    /** The bucket that holds the percentile, and the number of latencies in lower buckets; both are updated incrementally. */
    private int percentileBucket;
    private int countBelow;

    /** Creates a percentile, from 0 to 100, over this number of recent latencies. */
    Quantile(double percentile, int maxSamples) {
        fraction = percentile / 100;
        recentBuckets = new short[maxSamples];
    }

    void add(long nanos) {
        int bucket = bucketOf(nanos);
        if (sampleCount == recentBuckets.length) {
            int oldestBucket = recentBuckets[nextIndex];
            bucketCounts[oldestBucket]--;
            countBelow -= oldestBucket < percentileBucket ? 1 : 0;
        } else {
            sampleCount++;
        }
        recentBuckets[nextIndex] = (short) bucket;
        nextIndex = (nextIndex + 1) % recentBuckets.length;
        bucketCounts[bucket]++;
        countBelow += bucket < percentileBucket ? 1 : 0;
        updatePercentile();
    }

    private void updatePercentile() {
        double targetRank = fraction * sampleCount;
        while (percentileBucket > 0 && countBelow >= targetRank) {
            countBelow -= bucketCounts[--percentileBucket];
        }
        while (percentileBucket < BUCKET_COUNT - 1 && countBelow + bucketCounts[percentileBucket] < targetRank) {
            countBelow += bucketCounts[percentileBucket++];
        }
    }

    /**
     * Returns the upper bound of the percentile's bucket in nanoseconds, or 0 until as many latencies were added as are
     * remembered.
     */
    long valueNanos() {
        return sampleCount < recentBuckets.length ? 0 : Math.round(Math.exp((percentileBucket + 1) * BUCKET_LOG_WIDTH));
    }

    private static int bucketOf(long nanos) {
        return nanos <= 1 ? 0 : Math.min(BUCKET_COUNT - 1, (int) (Math.log(nanos) / BUCKET_LOG_WIDTH));
    }
}
