package cinderhollow.ledger;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Immutable copy of all metrics of one ledger at one moment.
 *
 * @param lines counts by account and place, without the pairs for which nothing was counted
 * @param times latency histograms of the accounts for which a latency was recorded
 * @param breaches number of breaches found and not acknowledged
 * @param earlier totals of earlier runs of the process, by account
 * @param lost number of journal entries that never reached the disk
 */
public record LedgerMetrics(List<Line> lines, List<Times> times, long breaches, List<EarlierRunTotals> earlier, long lost) {
    /**
     * Counts of one account at one place.
     *
     * @param account name of the account
     * @param opened number of requests or attempts opened so far
     * @param ended number ended so far, by the ends of the place in their order
     * @param open number open now, as found by looking at the place
     */
    public record Line(String account, LedgerPlace place, long opened, List<Long> ended, long open) {
        /** Copies the list. */
        public Line {
            ended = List.copyOf(ended);
        }
    }

    /** Histogram of the time from arrival to end of an account's requests, in microseconds. */
    public record Times(String account, Histogram micros) { }

    /** Copies the lists. */
    public LedgerMetrics {
        lines = List.copyOf(lines);
        times = List.copyOf(times);
        earlier = List.copyOf(earlier);
    }
}
