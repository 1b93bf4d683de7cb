package cinderhollow.evacuation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Sliding window of one gateway's attempts per zone: a ring buffer of ended attempts, and slots for those in flight. Recording
 * a request costs a few array stores and allocates nothing, except when the slots are extended.
 */
public final class Sightings {
    /** What the end of an attempt says about the server's zone. */
    public enum Seen {
        /** Answered within the aim of its class. */
        GOOD,
        /** Answered after the aim. */
        LATE,
        /** Turned away as full: the server is overloaded but reachable. */
        FULL,
        /** Connection refused or reset, an error, or no answer for too long. */
        BAD,
        /** Inconclusive, for instance because the client left. */
        NOTHING
    }

    /**
     * Window lengths. The shortest window with enough attempts is used, so that with dense traffic successes from before a
     * fault soon drop out of it.
     */
    private static final long[] WINDOWS = {250_000_000L, 500_000_000L, 1_000_000_000L, 2_500_000_000L, 5_000_000_000L};
    private static final int RING = 4096, FIRST_SLOTS = 64;
    private static final Seen[] SEEN = Seen.values();

    private final int zones;
    private final long[] at = new long[RING];
    private final int[] what = new int[RING];
    private long added;
    private long reached;
    private final long[] forgottenBefore;
    /** Per zone: when the newest successful attempt was sent, and the number of failed attempts sent since then. */
    private final long[] wellSentAt;
    private final int[] badSince;
    private long[] sentAt = new long[FIRST_SLOTS];
    private long[] patience = new long[FIRST_SLOTS];
    private int[] place = new int[FIRST_SLOTS];
    private int[] free = new int[FIRST_SLOTS];
    private int freeCount;
    private long arrivals, served;

    /** Creates an empty window for this number of zones, numbered from 0. */
    public Sightings(int zones) {
        this.zones = zones;
        forgottenBefore = new long[zones];
        wellSentAt = new long[zones];
        badSince = new int[zones];
        for (int i = FIRST_SLOTS - 1; i >= 0; i--) {
            free[freeCount++] = i;
        }
    }

    /** Returns the bucket of a server's hash; servers of one zone in the same bucket count as one. */
    static int bucket(int host) {
        int h = host * 0x9e3779b9;
        return (h ^ h >>> 15) & Digest.BUCKETS - 1;
    }

    /** Counts a request received from a client. */
    public void arrived() {
        arrivals++;
    }

    /** Counts a request served by a fully warmed-up server. */
    public void served() {
        served++;
    }

    /** Returns the number of requests received since the start. */
    long arrivals() {
        return arrivals;
    }

    long servedByWarm() {
        return served;
    }

    /**
     * Records that an attempt was sent and returns its slot, to be passed on when it ends; -1 if the zone is unknown.
     *
     * @param zone number of the server's zone, or -1 if it is not configured
     * @param host number that identifies the server, such as a hash of its id
     * @param patienceNanos time after which a missing answer counts as a failure
     */
    public int sent(long now, int zone, int host, long patienceNanos) {
        if (zone < 0) {
            return -1;
        }
        if (freeCount == 0) {
            int size = sentAt.length;
            sentAt = Arrays.copyOf(sentAt, 2 * size);
            patience = Arrays.copyOf(patience, 2 * size);
            place = Arrays.copyOf(place, 2 * size);
            free = Arrays.copyOf(free, 2 * size);
            for (int i = 2 * size - 1; i >= size; i--) {
                free[freeCount++] = i;
            }
        }
        int slot = free[--freeCount];
        sentAt[slot] = now;
        patience[slot] = patienceNanos;
        place[slot] = zone << 8 | bucket(host);
        return slot;
    }

    /** Records how the attempt in a slot ended. */
    public void ended(long now, int slot, Seen how) {
        if (slot < 0) {
            return;
        }
        int i = (int) (added++ % RING);
        // An attempt sent before the discard time says nothing about the zone since then.
        boolean tells = sentAt[slot] >= forgottenBefore[place[slot] >> 8];
        int zone = place[slot] >> 8;
        if (how == Seen.BAD) {
            badSince[zone] += sentAt[slot] >= wellSentAt[zone] ? 1 : 0;
        } else if (how != Seen.NOTHING && sentAt[slot] >= wellSentAt[zone]) {
            wellSentAt[zone] = sentAt[slot];
            badSince[zone] = 0;
        }
        at[i] = now;
        what[i] = place[slot] << 3 | (tells ? how : Seen.NOTHING).ordinal();
        sentAt[slot] = 0;
        free[freeCount++] = slot;
    }

    /** Discards the attempts of a zone from before the given time, since its state may have changed. */
    void forget(long now, int zone) {
        forgottenBefore[zone] = now;
        badSince[zone] = 0;
    }

    /** Returns, per zone, the number of attempts that failed or are overdue among those sent after the newest successful one. */
    int[] badInARow(long now) {
        int[] row = badSince.clone();
        for (int slot = 0; slot < sentAt.length; slot++) {
            int zone = place[slot] >> 8;
            row[zone] += sentAt[slot] > 0 && now - sentAt[slot] > patience[slot] && sentAt[slot] >= wellSentAt[zone] ? 1 : 0;
        }
        return row;
    }

    /** Returns summaries of all zones, each over the shortest window with at least this number of ended attempts. */
    Digest.OfZone[] look(long now, int enough) {
        int[][] counts = new int[WINDOWS.length][zones];
        for (long n = added - 1; n >= oldest(now); n--) {
            int i = (int) (n % RING);
            int zone = what[i] >> 11;
            if (tells(i, zone)) {
                for (int w = WINDOWS.length - 1; w >= 0 && now - at[i] <= WINDOWS[w]; w--) {
                    counts[w][zone]++;
                }
            }
        }
        long[] windows = new long[zones];
        for (int zone = 0; zone < zones; zone++) {
            int w = 0;
            while (w < WINDOWS.length - 1 && counts[w][zone] < enough) {
                w++;
            }
            windows[zone] = WINDOWS[w];
        }
        return gathered(now, windows);
    }

    /** Returns the index of the oldest entry within the longest window. It never decreases: entries are in order of time. */
    private long oldest(long now) {
        long first = Math.max(reached, added - RING);
        while (first < added && now - at[(int) (first % RING)] > WINDOWS[WINDOWS.length - 1]) {
            first++;
        }
        reached = first;
        return first;
    }

    private boolean tells(int i, int zone) {
        return at[i] >= forgottenBefore[zone] && (what[i] & 7) != Seen.NOTHING.ordinal();
    }

    private Digest.OfZone[] gathered(long now, long[] windows) {
        int[][] ends = new int[zones][SEEN.length];
        Map<Integer, Boolean> newest = new HashMap<>();
        for (int slot = 0; slot < sentAt.length; slot++) {
            int zone = place[slot] >> 8;
            if (sentAt[slot] > 0 && now - sentAt[slot] > patience[slot] && sentAt[slot] >= forgottenBefore[zone]) {
                ends[zone][Seen.BAD.ordinal()]++;
                newest.put(place[slot], false);
            }
        }
        for (long n = added - 1; n >= oldest(now); n--) {
            int i = (int) (n % RING);
            int zone = what[i] >> 11;
            Seen how = SEEN[what[i] & 7];
            if (tells(i, zone) && now - at[i] <= windows[zone]) {
                ends[zone][how.ordinal()]++;
                newest.putIfAbsent(what[i] >> 3, how != Seen.BAD);
            }
        }
        long[] good = new long[zones];
        long[] bad = new long[zones];
        newest.forEach((where, well) -> {
            long bit = 1L << (where & 0xff);
            good[where >> 8] |= well ? bit : 0;
            bad[where >> 8] |= well ? 0 : bit;
        });
        Digest.OfZone[] of = new Digest.OfZone[zones];
        for (int zone = 0; zone < zones; zone++) {
            int[] e = ends[zone];
            int tried = Arrays.stream(e).sum();
            of[zone] = Digest.OfZone.scaled(zone, tried, e[Seen.BAD.ordinal()], e[Seen.LATE.ordinal()] + e[Seen.FULL.ordinal()],
                    Digest.UNKNOWN_USE, good[zone], bad[zone]);
        }
        return of;
    }
}
