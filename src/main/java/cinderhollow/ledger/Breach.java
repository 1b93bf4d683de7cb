package cinderhollow.ledger;

import java.util.List;

/**
 * A ledger sum of one account that does not hold: counts that must be equal differ.
 *
 * @param account name of the account
 * @param description description of the sum, with the counts that differ
 * @param recentEntries the last ledger entries of the account, oldest first
 */
public record Breach(String account, String description, List<String> recentEntries) {
    /** Copies the list of entries. */
    public Breach {
        recentEntries = List.copyOf(recentEntries);
    }

    @Override
    public String toString() {
        return "LEDGER BREACH, account '" + account + "': " + description + "; last entries: " + String.join(", ", recentEntries);
    }
}
