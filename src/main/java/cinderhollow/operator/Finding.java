package cinderhollow.operator;

/**
 * A fault of an operator's file.
 *
 * @param line where it stands, or 0 where that is no one line
 * @param key the key it is about, with the tables above it
 */
public record Finding(int line, String key, Rule rule, String what) implements Comparable<Finding> {
    @Override
    public int compareTo(Finding other) {
        return Integer.compare(line, other.line);
    }

    /** One line: where, what, which rule, what would be allowed. */
    @Override
    public String toString() {
        return (line > 0 ? "line " + line + ": " : "") + (key.isEmpty() ? "" : key + ": ") + what + " [" + rule.word()
                + "]; allowed: " + rule.allowed();
    }
}
