package cinderhollow.evacuation;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * What one gateway has seen of each zone lately: ended attempts in a ring, and those that are out. A request costs some
 * stores into arrays and allocates nothing.
 */
public final class Sightings {
    /** How an attempt ended, as far as it tells of the place where it was. */
    public enum Seen {
        /** Answered within its aim. */
        GOOD,
        /** Answered, but late. */
        LATE,
        /** Turned away: there is too much, but it is there. */
        FULL,
        /** Refused, reset, an error, or nothing for too long. */
        BAD,
        /** It tells nothing, as where the client left. */
        NOTHING
    }

    /** The shortest window that holds enough is looked at: where traffic is dense, what was good before a fault is soon out of it. */
    private static final long[] WINDOWS = {250_000_000L, 500_000_000L, 1_000_000_000L, 2_500_000_000L, 5_000_000_000L};
    private static final int RING = 4096, FIRST_SLOTS = 64;
    private static final Seen[] SEEN = Seen.values();

    private final int zones;
    private final long[] at = new long[RING];
    private final int[] what = new int[RING];
    private long added;
    private long reached;
    private final long[] forgottenBefore;
    /** When the newest attempt that ended well was sent, and how many that were sent since then have ended badly. */
    private final long[] wellSentAt;
    private final int[] badSince;
    private long[] sentAt = new long[FIRST_SLOTS];
    private long[] patience = new long[FIRST_SLOTS];
    private int[] place = new int[FIRST_SLOTS];
    private int[] free = new int[FIRST_SLOTS];
    private int freeCount;
    private long arrivals, served;

    /** Of so many zones, numbered from 0. */
    public Sightings(int zones) {
        this.zones = zones;
        forgottenBefore = new long[zones];
        wellSentAt = new long[zones];
        badSince = new int[zones];
        for (int i = FIRST_SLOTS - 1; i >= 0; i--) {
            free[freeCount++] = i;
        }
    }

    /** Which host, in so few bits; those of one zone that fall together are taken for one. */
    static int bucket(int host) {
        int h = host * 0x9e3779b9;
        return (h ^ h >>> 15) & Digest.BUCKETS - 1;
    }

    /** A request has come from a client. */
    public void arrived() {
        arrivals++;
    }

    /** A request was served by a host that is as fast as it will be. */
    public void served() {
        served++;
    }

    /** How many requests have come and how many were served so, in all. */
    long arrivals() {
        return arrivals;
    }

    long servedByWarm() {
        return served;
    }

    /**
     * An attempt goes out; what is given back is told at its end.
     *
     * @param zone of the host, or -1 where it is none of those numbered
     * @param host any number that is the host's own
     * @param patienceNanos when it says something that there is no answer yet
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

    /** How it ended. */
    public void ended(long now, int slot, Seen how) {
        if (slot < 0) {
            return;
        }
        int i = (int) (added++ % RING);
        // One that went out before all was forgotten tells of how it was then.
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

    /** Forgets what was seen of a zone: from now on it may be another. */
    void forget(long now, int zone) {
        forgottenBefore[zone] = now;
        badSince[zone] = 0;
    }

    /** How many attempts have ended badly, or should have ended, of those that were sent after the newest that ended well. */
    int[] badInARow(long now) {
        int[] row = badSince.clone();
        for (int slot = 0; slot < sentAt.length; slot++) {
            int zone = place[slot] >> 8;
            row[zone] += sentAt[slot] > 0 && now - sentAt[slot] > patience[slot] && sentAt[slot] >= wellSentAt[zone] ? 1 : 0;
        }
        return row;
    }

    /** Of each zone, where so many ended attempts are enough. */
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

    /** The number of the oldest that any window reaches; what comes after it is newer, so that it only moves on. */
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
