package cinderhollow.evacuation;

import cinderhollow.peers.Bytes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Compact summary of one gateway's recent observations. The newest digest of a gateway replaces its older ones, so that digests
 * may arrive in any order and repeatedly without counting anything twice.
 *
 * @param vantage number of the gateway's own zone
 * @param doubtsItself whether the failures it saw may be caused by the gateway itself
 * @param heard hash of the orders that the gateway knows; a different hash means that its orders differ
 * @param arrivals requests received per second
 * @param served requests per second served by warm servers
 * @param zones summaries of the zones; only those with the most failures are encoded
 */
record Digest(int vantage, boolean doubtsItself, int heard, int arrivals, int served, List<OfZone> zones) {
    static final int BUCKETS = 64, UNKNOWN_USE = 255;
    private static final int MOST_ZONES = 7, MOST = 255, MOST_RATE = 65_535;

    /**
     * What one gateway saw of one zone.
     *
     * @param tried attempts that ended or are overdue
     * @param bad attempts of these that were refused, reset, ended in an error or got no answer
     * @param late attempts of these that were answered late or turned away as full
     * @param use reported utilisation of the servers, in parts of 200, or {@link #UNKNOWN_USE}
     * @param good bit set of the server buckets whose newest attempt succeeded
     * @param failing bit set of the server buckets whose newest attempt failed
     */
    record OfZone(int zone, int tried, int bad, int late, int use, long good, long failing) {
        /** Returns a summary with counts that fit into a byte: above 255 attempts, all counts are scaled down to 255 attempts. */
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

    /** Decodes a digest; throws {@link IllegalArgumentException} or {@link IndexOutOfBoundsException} if it is invalid. */
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
                throw new IllegalArgumentException("digest with an invalid zone number or counts: " + z);
            }
            of.add(z);
        }
        if (vantage >= zones) {
            throw new IllegalArgumentException("digest with an invalid vantage: " + vantage);
        }
        return new Digest(vantage, doubts, heard, arrivals, served, of);
    }

    /** Returns the summary of a zone, or null if the digest has none. */
    OfZone of(int zone) {
        for (OfZone z : zones) {
            if (z.zone == zone) {
                return z;
            }
        }
        return null;
    }
}
