package cinderhollow.ledger;

import java.util.List;

/**
 * A sum that does not hold.
 *
 * @param account whose
 * @param rule which one, in words, with the figures
 * @param last the account's last entries, oldest first
 */
public record Breach(String account, String rule, List<String> last) {
    /** Keeps a copy. */
    public Breach {
        last = List.copyOf(last);
    }

    @Override
    public String toString() {
        return "LEDGER BREACH, account '" + account + "': " + rule + "; last entries: " + String.join(", ", last);
    }
}
