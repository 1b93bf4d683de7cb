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
    private final int ends;
    private final long[] opened;
    private final long[] ended;
    private final Ring ring;

    LedgerCounters(LedgerPlace place, int accounts, Ring ring) {
        this(place, ring, new long[accounts], new long[accounts * place.ends().size()]);
    }

    /** Creates counters with these initial values, {@code openedCounts} by account, {@code endedCounts} by account and end. */
    LedgerCounters(LedgerPlace place, Ring ring, long[] opened, long[] ended) {
        this.place = place;
        this.ring = ring;
        this.opened = opened;
        this.ended = ended;
        ends = place.ends().size();
    }

    /** Counts a request or attempt that has begun; {@code id} is the id of the request. */
    public void recordOpened(int account, String id) {
        opened[account]++;
        ring.add(account, place, Ring.OPENED, id);
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
        ended[account * ends + end]++;
        ring.add(account, place, end, id);
    }

    /** Returns how many requests or attempts of the account were opened so far. */
    public long openedCount(int account) {
        return opened[account];
    }

    /** Returns how many requests or attempts of the account ended in this way so far. */
    public long endedCount(int account, int end) {
        return ended[account * ends + end];
    }

    /** Returns how many requests or attempts of the account ended so far, by end. */
    List<Long> ends(int account) {
        return Arrays.stream(ended, account * ends, (account + 1) * ends).boxed().toList();
    }

    /** Returns how many requests or attempts of the account ended so far in any way. */
    public long endedCount(int account) {
        long sum = 0;
        for (int end = 0; end < ends; end++) {
            sum += endedCount(account, end);
        }
        return sum;
    }
}
