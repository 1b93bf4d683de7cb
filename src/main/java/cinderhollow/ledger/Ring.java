package cinderhollow.ledger;

import java.util.ArrayList;
import java.util.List;

/**
 * Ring buffer of the last 32 ledger entries of each account, which breach messages include. All memory is allocated by the
 * constructor; adding an entry allocates nothing.
 */
final class Ring {
    static final int OPENED = -1;
    private static final int LENGTH = 32;

    private final String[] ids;
    private final LedgerPlace[] places;
    private final int[] whats;
    private final long[] counts;

    Ring(int accounts) {
        ids = new String[accounts * LENGTH];
        places = new LedgerPlace[accounts * LENGTH];
        whats = new int[accounts * LENGTH];
        counts = new long[accounts];
    }

    void add(int account, LedgerPlace place, int what, String id) {
        int at = account * LENGTH + (int) (counts[account]++ & LENGTH - 1);
        ids[at] = id;
        places[at] = place;
        whats[at] = what;
    }

    /** Returns the entries of an account as text, oldest first. */
    List<String> last(int account) {
        List<String> text = new ArrayList<>();
        for (long i = Math.max(0, counts[account] - LENGTH); i < counts[account]; i++) {
            int at = account * LENGTH + (int) (i & LENGTH - 1);
            text.add(ids[at] + " " + (whats[at] == OPENED ? "opened" : places[at].ends().get(whats[at])) + " (" + places[at] + ")");
        }
        return text;
    }
}
