package cinderhollow.evacuation;

import cinderhollow.peers.Bytes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What one gateway saw lately, in a few bytes. Each gateway's newest replaces its older ones, so that they may come in any order
 * and any number of times and nothing is counted twice.
 *
 * @param vantage the zone in which it stands
 * @param doubtsItself what it saw may be its own fault
 * @param heard which orders it knows, as a sum: who has another one has not heard all
 * @param arrivals requests a second that came
 * @param served requests a second that warm hosts served
 * @param zones those that say most
 */
record Digest(int vantage, boolean doubtsItself, int heard, int arrivals, int served, List<OfZone> zones) {
    static final int BUCKETS = 64, UNKNOWN_USE = 255;
    private static final int MOST_ZONES = 7, MOST = 255, MOST_RATE = 65_535;

    /**
     * Of one zone.
     *
     * @param tried attempts that ended, or should have
     * @param bad of these, refused, reset, errors, silent
     * @param late of these, answered late or turned away
     * @param use how busy its hosts report to be, in parts of 200, or {@link #UNKNOWN_USE}
     * @param good the buckets of hosts whose newest attempt ended well, as bits
     * @param failing likewise of those whose newest did not
     */
    record OfZone(int zone, int tried, int bad, int late, int use, long good, long failing) {
        /** Counts of any size, as parts of 255 where they are larger. */
        static OfZone scaled(int zone, int tried, int bad, int late, int use, long good, long failing) {
            if (tried <= MOST) {
                return new OfZone(zone, tried, bad, late, use, good, failing);
            }
            double by = (double) MOST / tried;
            return new OfZone(zone, MOST, (int) Math.round(bad * by), (int) Math.round(late * by), use, good, failing);
        }

        OfZone used(int parts) {
            return new OfZone(zone, tried, bad, late, parts, good, failing);
        }
    }

    byte[] write() {
        List<OfZone> most = new ArrayList<>(zones);
        most.removeIf(z -> z.tried == 0 && z.use == UNKNOWN_USE);
        most.sort(Comparator.comparingInt((OfZone z) -> -z.bad).thenComparingInt(z -> -z.tried));
        Bytes to = Bytes.ofSize(8 + MOST_ZONES * 21).put(vantage, 1).put(doubtsItself ? 1 : 0, 1).put(heard, 2)
                .put(Math.min(arrivals, MOST_RATE), 2).put(Math.min(served, MOST_RATE), 2);
        for (OfZone z : most.subList(0, Math.min(MOST_ZONES, most.size()))) {
            to.put(z.zone, 1).put(z.tried, 1).put(z.bad, 1).put(z.late, 1).put(z.use, 1).put(z.good, 8).put(z.failing, 8);
        }
        return to.written();
    }

    /** What can't be read is an {@link IllegalArgumentException} or an {@link IndexOutOfBoundsException}. */
    static Digest read(byte[] value, int zones) {
        Bytes from = Bytes.reading(value);
        int vantage = (int) from.take(1);
        boolean doubts = from.take(1) != 0;
        int heard = (int) from.take(2);
        int arrivals = (int) from.take(2);
        int served = (int) from.take(2);
        List<OfZone> of = new ArrayList<>();
        while (from.left() > 0) {
            OfZone z = new OfZone((int) from.take(1), (int) from.take(1), (int) from.take(1), (int) from.take(1), (int) from.take(1),
                    from.take(8), from.take(8));
            if (z.zone >= zones || z.bad + z.late > z.tried) {
                throw new IllegalArgumentException("no such zone: " + z);
            }
            of.add(z);
        }
        if (vantage >= zones) {
            throw new IllegalArgumentException("no such vantage: " + vantage);
        }
        return new Digest(vantage, doubts, heard, arrivals, served, of);
    }

    /** Of one zone, or null where it says nothing of it. */
    OfZone of(int zone) {
        for (OfZone z : zones) {
            if (z.zone == zone) {
                return z;
            }
        }
        return null;
    }
}
