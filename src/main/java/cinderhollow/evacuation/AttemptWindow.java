package cinderhollow.evacuation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Sliding window of one gateway's attempts per zone: a ring buffer of ended attempts, and slots for those in flight. Recording
 * a request costs a few array stores and allocates nothing, except when the slots are extended.
 */
public final class AttemptWindow {
    /** What the end of an attempt says about the server's zone. */
    public enum ZoneSignal {
        /** Answered within the aim of its class. */
        GOOD,
        /** Answered after the aim. */
        LATE,
        /** Turned away as full: the server is overloaded but reachable. */
        FULL,
        /** Connection refused or reset, an error, or no answer for too long. */
        FAILED,
        /** Inconclusive, for instance because the client left. */
        INCONCLUSIVE
    }

    /**
     * Window lengths. The shortest window with enough attempts is used, so that with dense traffic successes from before a
     * fault soon drop out of it.
     */
    private static final long[] WINDOWS_NANOS = {250_000_000L, 500_000_000L, 1_000_000_000L, 2_500_000_000L, 5_000_000_000L};
    private static final int RING_SIZE = 4096, INITIAL_SLOTS = 64;
    private static final ZoneSignal[] SIGNALS = ZoneSignal.values();

    private final int zoneCount;
    private final long[] endedAtNanos = new long[RING_SIZE];
    private final int[] entries = new int[RING_SIZE];
    private long addedCount;
    private long oldestIndex;
    private final long[] discardBeforeNanos;
    /** Per zone: when the newest successful attempt was sent, and the number of failed attempts sent since then. */
    private final long[] newestGoodSentAtNanos;
    private final int[] failuresSinceGood;
    private long[] sentAtNanos = new long[INITIAL_SLOTS];
    private long[] silenceLimitsNanos = new long[INITIAL_SLOTS];
    private int[] serverKeys = new int[INITIAL_SLOTS];
    private int[] freeSlots = new int[INITIAL_SLOTS];
    private int freeSlotCount;
    private long arrivalCount, warmServed;

    /** Creates an empty window for this number of zones, numbered from 0. */
    public AttemptWindow(int zoneCount) {
        this.zoneCount = zoneCount;
        discardBeforeNanos = new long[zoneCount];
        newestGoodSentAtNanos = new long[zoneCount];
        failuresSinceGood = new int[zoneCount];
        for (int i = INITIAL_SLOTS - 1; i >= 0; i--) {
            freeSlots[freeSlotCount++] = i;
        }
    }

    /** Returns the bucket of a server's hash; servers of one zone in the same bucket count as one. */
    static int serverBucket(int serverHash) {
        int h = serverHash * 0x9e3779b9;
        return (h ^ h >>> 15) & Digest.SERVER_BUCKETS - 1;
    }

    /** Counts a request received from a client. */
    public void onRequestReceived() {
        arrivalCount++;
    }

    /** Counts a request served by a fully warmed-up server. */
    public void onWarmServed() {
        warmServed++;
    }

    /** Returns the number of requests received since the start. */
    long arrivalCount() {
        return arrivalCount;
    }

    long warmServedCount() {
        return warmServed;
    }

    /**
     * Records that an attempt was sent and returns its slot, to be passed on when it ends; -1 if the zone is unknown.
     *
     * @param zone number of the server's zone, or -1 if it is not configured
     * @param serverHash number that identifies the server, such as a hash of its id
     * @param silenceLimitNanos time after which a missing answer counts as a failure
     */
    public int onAttemptSent(long now, int zone, int serverHash, long silenceLimitNanos) {
        if (zone < 0) {
            return -1;
        }
        if (freeSlotCount == 0) {
            int size = sentAtNanos.length;
            sentAtNanos = Arrays.copyOf(sentAtNanos, 2 * size);
            silenceLimitsNanos = Arrays.copyOf(silenceLimitsNanos, 2 * size);
            serverKeys = Arrays.copyOf(serverKeys, 2 * size);
            freeSlots = Arrays.copyOf(freeSlots, 2 * size);
            for (int i = 2 * size - 1; i >= size; i--) {
                freeSlots[freeSlotCount++] = i;
            }
        }
        int slot = freeSlots[--freeSlotCount];
        sentAtNanos[slot] = now;
        silenceLimitsNanos[slot] = silenceLimitNanos;
        serverKeys[slot] = zone << 8 | serverBucket(serverHash);
        return slot;
    }

    /** Records how the attempt in a slot ended. */
    public void onAttemptEnded(long now, int slot, ZoneSignal signal) {
        if (slot < 0) {
            return;
        }
        int i = (int) (addedCount++ % RING_SIZE);
        // An attempt sent before the discard time says nothing about the zone since then.
        boolean counts = sentAtNanos[slot] >= discardBeforeNanos[serverKeys[slot] >> 8];
        int zone = serverKeys[slot] >> 8;
        if (signal == ZoneSignal.FAILED) {
            failuresSinceGood[zone] += sentAtNanos[slot] >= newestGoodSentAtNanos[zone] ? 1 : 0;
        } else if (signal != ZoneSignal.INCONCLUSIVE && sentAtNanos[slot] >= newestGoodSentAtNanos[zone]) {
            newestGoodSentAtNanos[zone] = sentAtNanos[slot];
            failuresSinceGood[zone] = 0;
        }
        endedAtNanos[i] = now;
        entries[i] = serverKeys[slot] << 3 | (counts ? signal : ZoneSignal.INCONCLUSIVE).ordinal();
        sentAtNanos[slot] = 0;
        freeSlots[freeSlotCount++] = slot;
    }

    /** Discards the attempts of a zone from before the given time, since its state may have changed. */
    void discardBefore(long beforeNanos, int zone) {
        discardBeforeNanos[zone] = beforeNanos;
        failuresSinceGood[zone] = 0;
    }

    /** Returns, per zone, the number of attempts that failed or are overdue among those sent after the newest successful one. */
    int[] countFailuresSinceGood(long now) {
        int[] failures = failuresSinceGood.clone();
        for (int slot = 0; slot < sentAtNanos.length; slot++) {
            int zone = serverKeys[slot] >> 8;
            failures[zone] += sentAtNanos[slot] > 0 && now - sentAtNanos[slot] > silenceLimitsNanos[slot]
                    && sentAtNanos[slot] >= newestGoodSentAtNanos[zone] ? 1 : 0;
        }
        return failures;
    }

    /** Returns summaries of all zones, each over the shortest window with at least this number of ended attempts. */
    Digest.ZoneSummary[] summarise(long now, int minAttempts) {
        int[][] counts = new int[WINDOWS_NANOS.length][zoneCount];
        for (long n = addedCount - 1; n >= findOldestIndex(now); n--) {
            int i = (int) (n % RING_SIZE);
            int zone = entries[i] >> 11;
            if (isCounted(i, zone)) {
                for (int w = WINDOWS_NANOS.length - 1; w >= 0 && now - endedAtNanos[i] <= WINDOWS_NANOS[w]; w--) {
                    counts[w][zone]++;
                }
            }
        }
        long[] windows = new long[zoneCount];
        for (int zone = 0; zone < zoneCount; zone++) {
            int w = 0;
            while (w < WINDOWS_NANOS.length - 1 && counts[w][zone] < minAttempts) {
                w++;
            }
            windows[zone] = WINDOWS_NANOS[w];
        }
        return summariseWithin(now, windows);
    }

    /** Returns the index of the oldest entry within the longest window. It never decreases: entries are in order of time. */
    private long findOldestIndex(long now) {
        long first = Math.max(oldestIndex, addedCount - RING_SIZE);
        while (first < addedCount && now - endedAtNanos[(int) (first % RING_SIZE)] > WINDOWS_NANOS[WINDOWS_NANOS.length - 1]) {
            first++;
        }
        oldestIndex = first;
        return first;
    }

    private boolean isCounted(int i, int zone) {
        return endedAtNanos[i] >= discardBeforeNanos[zone] && (entries[i] & 7) != ZoneSignal.INCONCLUSIVE.ordinal();
    }

    private Digest.ZoneSummary[] summariseWithin(long now, long[] windows) {
        int[][] signalCounts = new int[zoneCount][SIGNALS.length];
        Map<Integer, Boolean> newestSucceeded = new HashMap<>();
        for (int slot = 0; slot < sentAtNanos.length; slot++) {
            int zone = serverKeys[slot] >> 8;
            if (sentAtNanos[slot] > 0 && now - sentAtNanos[slot] > silenceLimitsNanos[slot]
                    && sentAtNanos[slot] >= discardBeforeNanos[zone]) {
                signalCounts[zone][ZoneSignal.FAILED.ordinal()]++;
                newestSucceeded.put(serverKeys[slot], false);
            }
        }
        for (long n = addedCount - 1; n >= findOldestIndex(now); n--) {
            int i = (int) (n % RING_SIZE);
            int zone = entries[i] >> 11;
            ZoneSignal signal = SIGNALS[entries[i] & 7];
            if (isCounted(i, zone) && now - endedAtNanos[i] <= windows[zone]) {
                signalCounts[zone][signal.ordinal()]++;
                newestSucceeded.putIfAbsent(entries[i] >> 3, signal != ZoneSignal.FAILED);
            }
        }
        long[] healthyServerBits = new long[zoneCount];
        long[] failingServerBits = new long[zoneCount];
        newestSucceeded.forEach((serverKey, succeeded) -> {
            long bit = 1L << (serverKey & 0xff);
            healthyServerBits[serverKey >> 8] |= succeeded ? bit : 0;
            failingServerBits[serverKey >> 8] |= succeeded ? 0 : bit;
        });
        Digest.ZoneSummary[] summaries = new Digest.ZoneSummary[zoneCount];
        for (int zone = 0; zone < zoneCount; zone++) {
            int[] counts = signalCounts[zone];
            int attempts = Arrays.stream(counts).sum();
            summaries[zone] = Digest.ZoneSummary.scaled(zone, attempts, counts[ZoneSignal.FAILED.ordinal()],
                    counts[ZoneSignal.LATE.ordinal()] + counts[ZoneSignal.FULL.ordinal()],
                    Digest.UNKNOWN_UTILISATION, healthyServerBits[zone], failingServerBits[zone]);
        }
        return summaries;
    }
}
