package cinderhollow.ledger;

import java.util.ArrayList;
import java.util.List;

/**
 * Totals of one account over earlier runs of the process.
 *
 * @param account name of the account
 * @param taken number of requests taken
 * @param endedCounts number of requests ended, by {@link RequestEnd} in the order of its constants
 * @param orphaned number of requests that were open when a run ended, so that their end is not known
 */
public record EarlierRunTotals(String account, long taken, List<Long> endedCounts, long orphaned) {
    /** Copies the list. */
    public EarlierRunTotals {
        endedCounts = List.copyOf(endedCounts);
    }

    /** Returns whether the number of requests taken equals those ended plus those orphaned. */
    public boolean isBalanced() {
        return taken == endedCounts.stream().mapToLong(Long::longValue).sum() + orphaned;
    }

    /** Returns the sum of these totals and others of the same account. */
    public EarlierRunTotals plus(EarlierRunTotals other) {
        List<Long> endedSums = new ArrayList<>();
        for (int end = 0; end < endedCounts.size(); end++) {
            endedSums.add(endedCounts.get(end) + other.endedCounts.get(end));
        }
        return new EarlierRunTotals(account, taken + other.taken, endedSums, orphaned + other.orphaned);
    }
}
