package cinderhollow.ledger;

import cinderhollow.policy.Protocol.Outcome;
import java.util.Arrays;
import java.util.List;

/**
 * Counters of one place by account: how many requests or attempts were opened there, and how many ended in each way. Counters
 * have 64 bits and may wrap around; sums and differences remain correct modulo 2^64.
 */
public final class LedgerCounters {
    private final LedgerPlace place;
    private final int endKindCount;
    private final long[] openedCounts;
    private final long[] endedCounts;
    private final RecentEntries recentEntries;

    LedgerCounters(LedgerPlace place, int accounts, RecentEntries recentEntries) {
        this(place, recentEntries, new long[accounts], new long[accounts * place.endNames().size()]);
    }

    /** Creates counters with these initial values, {@code openedCounts} by account, {@code endedCounts} by account and end. */
    LedgerCounters(LedgerPlace place, RecentEntries recentEntries, long[] openedCounts, long[] endedCounts) {
        this.place = place;
        this.recentEntries = recentEntries;
        this.openedCounts = openedCounts;
        this.endedCounts = endedCounts;
        endKindCount = place.endNames().size();
    }

    /** Counts a request or attempt that has begun; {@code id} is the id of the request. */
    public void recordOpened(int account, String id) {
        openedCounts[account]++;
        recentEntries.add(account, place, RecentEntries.OPENED, id);
    }

    /** Counts a request that has ended. */
    public void recordEnded(int account, RequestEnd end, String id) {
        recordEnded(account, end.ordinal(), id);
    }

    /** Counts an attempt that has ended. */
    public void recordEnded(int account, Outcome end, String id) {
        recordEnded(account, end.ordinal(), id);
    }

    /** Counts a request or attempt that has ended, with its end given by its number among the ends of the place. */
    void recordEnded(int account, int end, String id) {
        endedCounts[account * endKindCount + end]++;
        recentEntries.add(account, place, end, id);
    }

    /** Returns how many requests or attempts of the account were opened so far. */
    public long openedCount(int account) {
        return openedCounts[account];
    }

    /** Returns how many requests or attempts of the account ended in this way so far. */
    public long endedCount(int account, int end) {
        return endedCounts[account * endKindCount + end];
    }

    /** Returns how many requests or attempts of the account ended so far, by end. */
    List<Long> endedCountsOf(int account) {
        return Arrays.stream(endedCounts, account * endKindCount, (account + 1) * endKindCount).boxed().toList();
    }

    /** Returns how many requests or attempts of the account ended so far in any way. */
    public long endedCount(int account) {
        long sum = 0;
        for (int end = 0; end < endKindCount; end++) {
            sum += endedCount(account, end);
        }
        return sum;
    }
}
