package cinderhollow.ledger;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Immutable copy of all metrics of one ledger at one moment.
 *
 * @param placeCounts counts by account and place, without the pairs for which nothing was counted
 * @param latencies latency histograms of the accounts for which a latency was recorded
 * @param breachCount number of breaches found and not acknowledged
 * @param earlierTotals totals of earlier runs of the process, by account
 * @param lostEntries number of journal entries that never reached the disk
 */
public record LedgerMetrics(List<PlaceCounts> placeCounts, List<AccountLatency> latencies, long breachCount,
        List<EarlierRunTotals> earlierTotals, long lostEntries) {
    /**
     * Counts of one account at one place.
     *
     * @param account name of the account
     * @param opened number of requests or attempts opened so far
     * @param endedCounts number ended so far, by the ends of the place in their order
     * @param open number open now, as found by looking at the place
     */
    public record PlaceCounts(String account, LedgerPlace place, long opened, List<Long> endedCounts, long open) {
        /** Copies the list. */
        public PlaceCounts {
            endedCounts = List.copyOf(endedCounts);
        }
    }

    /** Histogram of the time from arrival to end of an account's requests, in microseconds. */
    public record AccountLatency(String account, Histogram latencyMicros) { }

    /** Copies the lists. */
    public LedgerMetrics {
        placeCounts = List.copyOf(placeCounts);
        latencies = List.copyOf(latencies);
        earlierTotals = List.copyOf(earlierTotals);
    }
}
