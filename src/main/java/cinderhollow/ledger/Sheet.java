package cinderhollow.ledger;

import cinderhollow.policy.Protocol.Outcome;
import java.util.Arrays;
import java.util.List;

/**
 * One place's own count, for each account: what was opened there and how each of it ended. Counters are 64 bits wide and
 * may wrap: sums and differences hold all the same, in arithmetic modulo 2^64.
 */
public final class Sheet {
    private final Place place;
    private final int ends;
    private final long[] opened;
    private final long[] ended;
    private final Ring ring;

    Sheet(Place place, int accounts, Ring ring) {
        this(place, ring, new long[accounts], new long[accounts * place.ends().size()]);
    }

    /** Goes on from these figures: by account, and by account and end. */
    Sheet(Place place, Ring ring, long[] opened, long[] ended) {
        this.place = place;
        this.ring = ring;
        this.opened = opened;
        this.ended = ended;
        ends = place.ends().size();
    }

    /** Counts one more that is open; {@code id} names the request. */
    public void open(int account, String id) {
        opened[account]++;
        ring.add(account, place, Ring.OPENED, id);
    }

    /** Counts the end of a request that was open. */
    public void end(int account, End end, String id) {
        end(account, end.ordinal(), id);
    }

    /** Counts the end of an attempt that was open. */
    public void end(int account, Outcome end, String id) {
        end(account, end.ordinal(), id);
    }

    /** Counts an end by its number among the place's ends. */
    void end(int account, int end, String id) {
        ended[account * ends + end]++;
        ring.add(account, place, end, id);
    }

    /** So many were opened so far. */
    public long opened(int account) {
        return opened[account];
    }

    /** So many ended so. */
    public long ended(int account, int end) {
        return ended[account * ends + end];
    }

    /** So many ended in each way. */
    List<Long> ends(int account) {
        return Arrays.stream(ended, account * ends, (account + 1) * ends).boxed().toList();
    }

    /** So many ended in any way. */
    public long ended(int account) {
        long sum = 0;
        for (int end = 0; end < ends; end++) {
            sum += ended(account, end);
        }
        return sum;
    }
}
