package cinderhollow.ledger;

import java.util.ArrayList;
import java.util.List;

/**
 * Ring buffer of the last 32 ledger entries of each account, which breach messages include. All memory is allocated by the
 * constructor; adding an entry allocates nothing.
 */
final class RecentEntries {
    static final int OPENED = -1;
    private static final int ENTRIES_PER_ACCOUNT = 32;

    private final String[] ids;
    private final LedgerPlace[] places;
    private final int[] endNumbers;
    private final long[] addedCounts;

    RecentEntries(int accounts) {
        ids = new String[accounts * ENTRIES_PER_ACCOUNT];
        places = new LedgerPlace[accounts * ENTRIES_PER_ACCOUNT];
        endNumbers = new int[accounts * ENTRIES_PER_ACCOUNT];
        addedCounts = new long[accounts];
    }

    void add(int account, LedgerPlace place, int endNumber, String id) {
        int slot = account * ENTRIES_PER_ACCOUNT + (int) (addedCounts[account]++ & ENTRIES_PER_ACCOUNT - 1);
        ids[slot] = id;
        places[slot] = place;
        endNumbers[slot] = endNumber;
    }

    /** Returns the entries of an account as text, oldest first. */
    List<String> describeEntries(int account) {
        List<String> descriptions = new ArrayList<>();
        for (long i = Math.max(0, addedCounts[account] - ENTRIES_PER_ACCOUNT); i < addedCounts[account]; i++) {
            int slot = account * ENTRIES_PER_ACCOUNT + (int) (i & ENTRIES_PER_ACCOUNT - 1);
            descriptions.add(ids[slot] + " "
                    + (endNumbers[slot] == OPENED ? "opened" : places[slot].endNames().get(endNumbers[slot])) + " ("
                    + places[slot] + ")");
        }
        return descriptions;
    }
}
