package cinderhollow.evacuation;

import cinderhollow.peers.ByteCursor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Compact summary of one gateway's recent observations. The newest digest of a gateway replaces its older ones, so that digests
 * may arrive in any order and repeatedly without counting anything twice.
 *
 * @param vantage number of the gateway's own zone
 * @param localFaultSuspected whether the failures it saw may be caused by the gateway itself
 * @param ordersHash hash of the orders that the gateway knows; a different hash means that its orders differ
 * @param arrivalRate requests received per second
 * @param warmServedRate requests per second served by warm servers
 * @param zones summaries of the zones; only those with the most failures are encoded
 */
record Digest(int vantage, boolean localFaultSuspected, int ordersHash, int arrivalRate, int warmServedRate,
        List<ZoneSummary> zones) {
    static final int SERVER_BUCKETS = 64, UNKNOWN_UTILISATION = 255;
    private static final int MAX_ZONES_PER_DIGEST = 7, MAX_COUNT = 255, MAX_RATE_PER_SECOND = 65_535;

    /**
     * What one gateway saw of one zone.
     *
     * @param attempts attempts that ended or are overdue
     * @param failures attempts of these that were refused, reset, ended in an error or got no answer
     * @param lateOrFull attempts of these that were answered late or turned away as full
     * @param scaledUtilisation reported utilisation of the servers, in parts of 200, or {@link #UNKNOWN_UTILISATION}
     * @param healthyServerBits bit set of the server buckets whose newest attempt succeeded
     * @param failingServerBits bit set of the server buckets whose newest attempt failed
     */
    record ZoneSummary(int zone, int attempts, int failures, int lateOrFull, int scaledUtilisation, long healthyServerBits,
            long failingServerBits) {
        /** Returns a summary with counts that fit into a byte: above 255 attempts, all counts are scaled down to 255 attempts. */
        static ZoneSummary scaled(int zone, int attempts, int failures, int lateOrFull, int scaledUtilisation,
                long healthyServerBits, long failingServerBits) {
            if (attempts <= MAX_COUNT) {
                return new ZoneSummary(zone, attempts, failures, lateOrFull, scaledUtilisation, healthyServerBits,
                        failingServerBits);
            }
            double factor = (double) MAX_COUNT / attempts;
            return new ZoneSummary(zone, MAX_COUNT, (int) Math.round(failures * factor), (int) Math.round(lateOrFull * factor),
                    scaledUtilisation, healthyServerBits, failingServerBits);
        }

        ZoneSummary withUtilisation(int utilisationParts) {
            return new ZoneSummary(zone, attempts, failures, lateOrFull, utilisationParts, healthyServerBits, failingServerBits);
        }
    }

    byte[] write() {
        List<ZoneSummary> included = new ArrayList<>(zones);
        included.removeIf(z -> z.attempts == 0 && z.scaledUtilisation == UNKNOWN_UTILISATION);
        included.sort(Comparator.comparingInt((ZoneSummary z) -> -z.failures).thenComparingInt(z -> -z.attempts));
        ByteCursor to = ByteCursor.allocate(8 + MAX_ZONES_PER_DIGEST * 21).put(vantage, 1).put(localFaultSuspected ? 1 : 0, 1)
                .put(ordersHash, 2)
                .put(Math.min(arrivalRate, MAX_RATE_PER_SECOND), 2).put(Math.min(warmServedRate, MAX_RATE_PER_SECOND), 2);
        for (ZoneSummary z : included.subList(0, Math.min(MAX_ZONES_PER_DIGEST, included.size()))) {
            to.put(z.zone, 1).put(z.attempts, 1).put(z.failures, 1).put(z.lateOrFull, 1).put(z.scaledUtilisation, 1)
                    .put(z.healthyServerBits, 8).put(z.failingServerBits, 8);
        }
        return to.toByteArray();
    }

    /** Decodes a digest; throws {@link IllegalArgumentException} or {@link IndexOutOfBoundsException} if it is invalid. */
    static Digest read(byte[] value, int zoneCount) {
        ByteCursor from = ByteCursor.wrap(value);
        int vantage = (int) from.readUnsigned(1);
        boolean localFault = from.readUnsigned(1) != 0;
        int ordersHash = (int) from.readUnsigned(2);
        int arrivalRate = (int) from.readUnsigned(2);
        int warmServedRate = (int) from.readUnsigned(2);
        List<ZoneSummary> summaries = new ArrayList<>();
        while (from.remaining() > 0) {
            ZoneSummary z = new ZoneSummary((int) from.readUnsigned(1), (int) from.readUnsigned(1), (int) from.readUnsigned(1),
                    (int) from.readUnsigned(1), (int) from.readUnsigned(1),
                    from.readUnsigned(8), from.readUnsigned(8));
            if (z.zone >= zoneCount || z.failures + z.lateOrFull > z.attempts) {
                throw new IllegalArgumentException("digest with an invalid zone number or counts: " + z);
            }
            summaries.add(z);
        }
        if (vantage >= zoneCount) {
            throw new IllegalArgumentException("digest with an invalid vantage: " + vantage);
        }
        return new Digest(vantage, localFault, ordersHash, arrivalRate, warmServedRate, summaries);
    }

    /** Returns the summary of a zone, or null if the digest has none. */
    ZoneSummary findZone(int zone) {
        for (ZoneSummary z : zones) {
            if (z.zone == zone) {
                return z;
            }
        }
        return null;
    }
}
