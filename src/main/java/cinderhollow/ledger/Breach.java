package cinderhollow.ledger;

import java.util.List;

/**
 * A ledger sum of one account that does not hold: counts that must be equal differ.
 *
 * @param account name of the account
 * @param rule description of the sum, with the counts that differ
 * @param last the last ledger entries of the account, oldest first
 */
public record Breach(String account, String rule, List<String> last) {
    /** Copies the list of entries. */
    public Breach {
        last = List.copyOf(last);
    }

    @Override
    public String toString() {
        return "LEDGER BREACH, account '" + account + "': " + rule + "; last entries: " + String.join(", ", last);
    }
}
