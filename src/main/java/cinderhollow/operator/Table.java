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

/** A table of the file whose keys are taken one by one, each with its faults noted, and what is left is unknown. */
final class Table {
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(us|ms|s|m|h)");
    private static final double LONGEST_NANOS = 3_600e9;

    private final TomlTable toml;
    private final String name;
    private final List<Finding> findings;

    Table(TomlTable toml, String name, List<Finding> findings) {
        this.toml = toml;
        this.name = name;
        this.findings = findings;
    }

    /** Whether this is a class's own table. */
    boolean isOfClass() {
        return name.startsWith("class.");
    }

    Set<String> keys() {
        return toml.keySet();
    }

    boolean has(String key) {
        return toml.contains(List.of(key));
    }

    int line(String key) {
        TomlPosition at = has(key) ? toml.inputPositionOf(List.of(key)) : null;
        return at == null ? 0 : at.line();
    }

    void fault(String key, Rule rule, String what) {
        findings.add(new Finding(line(key), name.isEmpty() ? key : name + "." + key, rule, what));
    }

    /** The keys that mean something here; any other is a fault that names the nearest of these. */
    void only(Collection<String> known) {
        for (String key : keys()) {
            if (!known.contains(key)) {
                String nearest = known.stream().min((a, b) -> Integer.compare(distance(key, a), distance(key, b)))
                        .orElse("");
                fault(key, Rule.UNKNOWN_KEY, "no such key; the nearest is '" + nearest + "'");
            }
        }
    }

    /** How many letters must be added, dropped or changed (Levenshtein). */
    static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int changed = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(changed, 1 + Math.min(above, row[j - 1]));
                corner = above;
            }
        }
        return row[b.length()];
    }

    private <T> T value(String key, Class<T> type, String kind) {
        Object value = has(key) ? toml.get(List.of(key)) : null;
        if (value != null && !type.isInstance(value)) {
            fault(key, Rule.WRONG_TYPE, "should be " + kind);
            return null;
        }
        return type.cast(value);
    }

    String text(String key) {
        return value(key, String.class, "a text");
    }

    Table table(String key) {
        TomlTable value = value(key, TomlTable.class, "a table");
        return value == null ? null : new Table(value, name.isEmpty() ? key : name + "." + key, findings);
    }

    /** The tables of an array of them, named with their numbers from 1. */
    List<Table> tables(String key) {
        TomlArray array = value(key, TomlArray.class, "an array of tables, as [[" + key + "]]");
        List<Table> tables = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable table) {
                tables.add(new Table(table, key + "[" + (i + 1) + "]", findings));
            } else {
                fault(key, Rule.WRONG_TYPE, "should be an array of tables, as [[" + key + "]]");
            }
        }
        return tables;
    }

    List<String> texts(String key) {
        TomlArray array = value(key, TomlArray.class, "a list of texts");
        if (array == null) {
            return null;
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (array.get(i) instanceof String text) {
                texts.add(text);
            } else {
                fault(key, Rule.WRONG_TYPE, "should be a list of texts");
            }
        }
        return texts;
    }

    /** Nanoseconds, or null where there is none that can be read. */
    Long duration(String key) {
        Object value = has(key) ? toml.get(List.of(key)) : null;
        if (value == null) {
            return null;
        }
        Matcher matcher = value instanceof String text ? DURATION.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            fault(key, Rule.DURATION_FORM, "'" + value + "' is no duration with a unit");
            return null;
        }
        double nanos = Double.parseDouble(matcher.group(1)) * switch (matcher.group(2)) {
            case "us" -> 1e3;
            case "ms" -> 1e6;
            case "s" -> 1e9;
            case "m" -> 60e9;
            default -> 3_600e9;
        };
        if (nanos > LONGEST_NANOS) {
            fault(key, Rule.DURATION_FORM, "'" + value + "' is too long");
            return null;
        }
        return Math.round(nanos);
    }

    Integer whole(String key, int least, int most) {
        Long value = value(key, Long.class, "a whole number");
        if (value != null && (value < least || value > most)) {
            fault(key, Rule.NUMBER_RANGE, value + " is not from " + least + " to " + most);
            return null;
        }
        return value == null ? null : value.intValue();
    }

    /** A number with or without a fraction; NaN and infinity are out of every range. */
    Double number(String key, double least, double most, Rule rule) {
        Object value = has(key) ? toml.get(List.of(key)) : null;
        if (value == null) {
            return null;
        }
        if (!(value instanceof Long) && !(value instanceof Double)) {
            fault(key, Rule.WRONG_TYPE, "should be a number");
            return null;
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= least && number <= most)) {
            fault(key, rule, value + " is not from " + least + " to " + most);
            return null;
        }
        return number;
    }
}
