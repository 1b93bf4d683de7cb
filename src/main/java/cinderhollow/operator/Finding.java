package cinderhollow.operator;

/**
 * A violation of a rule in an operator's file.
 *
 * @param line the line in the file, or 0 if the finding belongs to no single line
 * @param key the path of the key, with the names of its tables; empty if the finding is about the whole file
 * @param rule the violated rule
 * @param problem what is wrong, for a message
 */
public record Finding(int line, String key, Rule rule, String problem) implements Comparable<Finding> {
    @Override
    public int compareTo(Finding other) {
        return Integer.compare(line, other.line);
    }

    /** Returns one line with the position, the problem, the rule and what is allowed. */
    @Override
    public String toString() {
        return (line > 0 ? "line " + line + ": " : "") + (key.isEmpty() ? "" : key + ": ") + problem + " [" + rule.label()
                + "]; allowed: " + rule.allowed();
    }
}
