package cinderhollow.core;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * A value of a JSON text, as the library's plain maps, lists, strings, numbers and flags; null where there is
 * none. The library is Jackson's small one: the large one's tree costs a start as much CPU as the Java runtime.
 */
public record Json(Object value) {
    /** Reads one text; what can't be read, has a key twice, or has more behind its end is an {@link IOException}. */
    public static Json read(String text) throws IOException {
        try (JsonParser parser = JSON.std.createParser(text)) {
            Json read = new Json(JSON.std.anyFrom(parser));
            if (parser.nextToken() != null) {
                throw new IOException("there is more behind the end of the JSON text");
            }
            return read;
        }
    }

    /** The value of these plain maps, lists, strings and numbers, as if they had been read. */
    public static Json of(Map<String, Object> fields) throws IOException {
        return read(text(fields));
    }

    /** These plain maps, lists, strings and numbers as one text. */
    public static String text(Map<String, Object> fields) {
        try {
            return JSON.std.asString(fields);
        } catch (IOException e) {
            throw new IllegalArgumentException("can't be written as JSON: " + e.getMessage(), e);
        }
    }

    /** As {@link #read}, but what can't be read is an {@link IllegalArgumentException}. */
    public static Json parse(String text) {
        try {
            return read(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("it can't be read: " + e.getMessage(), e);
        }
    }

    /** A field, with no value where this is no object or lacks it. */
    public Json field(String name) {
        return new Json(fields().get(name));
    }

    /** A field that has to be there. */
    public Json required(String name) {
        Json field = field(name);
        if (field.value == null) {
            throw new IllegalArgumentException("the JSON text lacks " + name);
        }
        return field;
    }

    /** The fields of an object, none of anything else. */
    public Map<?, ?> fields() {
        return value instanceof Map<?, ?> fields ? fields : Map.of();
    }

    /** The entries of an array, none of anything else. */
    public List<Json> entries() {
        return value instanceof List<?> list ? list.stream().map(Json::new).toList() : List.of();
    }

    /** Whether this is an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Whether this is an array. */
    public boolean isArray() {
        return value instanceof List;
    }

    /** Whether this is a string. */
    public boolean isText() {
        return value instanceof String;
    }

    /** Whether this is the flag true. */
    public boolean isTrue() {
        return Boolean.TRUE.equals(value);
    }

    /** The value as text, empty where there is none. */
    public String text() {
        return value == null ? "" : value.toString();
    }

    /** The number, or {@code absent} where this is none. */
    public Number number(Number absent) {
        return value instanceof Number number ? number : absent;
    }
}
