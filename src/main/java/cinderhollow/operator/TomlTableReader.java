package cinderhollow.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads the values of one TOML table of the operator's file. A missing key gives null; a value that can't be used adds a
 * {@link Finding} with the key's line and also gives null.
 */
final class TomlTableReader {
    private static final Pattern DURATION_PATTERN = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(us|ms|s|m|h)");
    private static final double MAX_DURATION_NANOS = 3_600e9;

    private final TomlTable toml;
    private final String path;
    private final List<Finding> findings;

    TomlTableReader(TomlTable toml, String path, List<Finding> findings) {
        this.toml = toml;
        this.path = path;
        this.findings = findings;
    }

    /** Returns whether this is the table of a request class, {@code [class.NAME]}. */
    boolean isClassTable() {
        return path.startsWith("class.");
    }

    Set<String> keys() {
        return toml.keySet();
    }

    boolean has(String key) {
        return toml.contains(List.of(key));
    }

    /** Returns the line of the key in the file, or 0 if the key is missing or its position is unknown. */
    int lineOf(String key) {
        TomlPosition position = has(key) ? toml.inputPositionOf(List.of(key)) : null;
        return position == null ? 0 : position.line();
    }

    /** Adds a finding about the key, with the key's line. */
    void addFinding(String key, Rule rule, String problem) {
        findings.add(new Finding(lineOf(key), path.isEmpty() ? key : path + "." + key, rule, problem));
    }

    /** Adds a finding for each key that is not allowed here; it names the allowed key with the smallest edit distance. */
    void rejectUnknownKeys(Collection<String> allowedKeys) {
        for (String key : keys()) {
            if (!allowedKeys.contains(key)) {
                String nearest = allowedKeys.stream().min((a, b) -> Integer.compare(editDistance(key, a), editDistance(key, b)))
                        .orElse("");
                addFinding(key, Rule.UNKNOWN_KEY, "unknown key; the most similar one is '" + nearest + "'");
            }
        }
    }

    /** Returns the Levenshtein distance: how many letters to insert, delete or replace to turn one text into the other. */
    static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int substitutionCost = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(substitutionCost, 1 + Math.min(above, row[j - 1]));
                diagonal = above;
            }
        }
        return row[b.length()];
    }

    private <T> T value(String key, Class<T> type, String expected) {
        Object value = has(key) ? toml.get(List.of(key)) : null;
        if (value != null && !type.isInstance(value)) {
            addFinding(key, Rule.WRONG_TYPE, "expected " + expected);
            return null;
        }
        return type.cast(value);
    }

    String text(String key) {
        return value(key, String.class, "a string");
    }

    TomlTableReader table(String key) {
        TomlTable value = value(key, TomlTable.class, "a table");
        return value == null ? null : new TomlTableReader(value, path.isEmpty() ? key : path + "." + key, findings);
    }

    /** Returns the tables of an array of tables; in findings they are named {@code key[1]}, {@code key[2]} and so on. */
    List<TomlTableReader> tables(String key) {
        TomlArray array = value(key, TomlArray.class, "an array of tables, as [[" + key + "]]");
        List<TomlTableReader> tables = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable table) {
                tables.add(new TomlTableReader(table, key + "[" + (i + 1) + "]", findings));
            } else {
                addFinding(key, Rule.WRONG_TYPE, "expected an array of tables, as [[" + key + "]]");
            }
        }
        return tables;
    }

    /** Returns the strings of an array, without elements of another type, which are findings; null if there is no array. */
    List<String> texts(String key) {
        TomlArray array = value(key, TomlArray.class, "an array of strings");
        if (array == null) {
            return null;
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (array.get(i) instanceof String text) {
                texts.add(text);
            } else {
                addFinding(key, Rule.WRONG_TYPE, "expected an array of strings");
            }
        }
        return texts;
    }

    /** Returns a duration such as {@code "150ms"} in nanoseconds, or null if it is missing, malformed or longer than an hour. */
    Long duration(String key) {
        Object value = has(key) ? toml.get(List.of(key)) : null;
        if (value == null) {
            return null;
        }
        Matcher matcher = value instanceof String text ? DURATION_PATTERN.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            addFinding(key, Rule.DURATION_FORM, "'" + value + "' is not a duration with a unit");
            return null;
        }
        double nanos = Double.parseDouble(matcher.group(1)) * switch (matcher.group(2)) {
            case "us" -> 1e3;
            case "ms" -> 1e6;
            case "s" -> 1e9;
            case "m" -> 60e9;
            default -> 3_600e9;
        };
        if (nanos > MAX_DURATION_NANOS) {
            addFinding(key, Rule.DURATION_FORM, "'" + value + "' is longer than the maximum of 1h");
            return null;
        }
        return Math.round(nanos);
    }

    /** Returns an integer, or null if it is missing, no integer or outside the range, both ends included. */
    Integer integer(String key, int min, int max) {
        Long value = value(key, Long.class, "an integer");
        if (value != null && (value < min || value > max)) {
            addFinding(key, Rule.NUMBER_RANGE, value + " is not in the range from " + min + " to " + max);
            return null;
        }
        return value == null ? null : value.intValue();
    }

    /**
     * Returns a number with or without a fraction, or null. A number outside the range is a finding under the given rule; NaN
     * and infinity are outside every range.
     */
    Double number(String key, double min, double max, Rule rule) {
        Object value = has(key) ? toml.get(List.of(key)) : null;
        if (value == null) {
            return null;
        }
        if (!(value instanceof Long) && !(value instanceof Double)) {
            addFinding(key, Rule.WRONG_TYPE, "expected a number");
            return null;
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= min && number <= max)) {
            addFinding(key, rule, value + " is not in the range from " + min + " to " + max);
            return null;
        }
        return number;
    }
}
