package cinderhollow.ledger;

import java.util.ArrayList;
import java.util.List;

/**
 * What earlier lives of the process come to, for one account.
 *
 * @param taken requests in all
 * @param ended by {@link End}, in its order
 * @param orphaned those that were open when a life was cut off
 */
public record Life(String account, long taken, List<Long> ended, long orphaned) {
    /** Keeps a copy. */
    public Life {
        ended = List.copyOf(ended);
    }

    /** Whether each request is in it once. */
    public boolean addsUp() {
        return taken == ended.stream().mapToLong(Long::longValue).sum() + orphaned;
    }

    /** This and more of the same account. */
    public Life plus(Life other) {
        List<Long> sums = new ArrayList<>();
        for (int end = 0; end < ended.size(); end++) {
            sums.add(ended.get(end) + other.ended.get(end));
        }
        return new Life(account, taken + other.taken, sums, orphaned + other.orphaned);
    }
}
