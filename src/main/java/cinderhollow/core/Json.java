package cinderhollow.core;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/**
 * A value of a JSON text, held as the library's plain map, list, string, number or boolean, or null if there is none. The
 * library is Jackson jr, as the tree model of the full Jackson library costs as much CPU at the start as the Java runtime.
 */
public record Json(Object value) {
    /** Parses one JSON text; throws an {@link IOException} if it is malformed, has a duplicate key or continues after its end. */
    public static Json read(String text) throws IOException {
        try (JsonParser parser = JSON.std.createParser(text)) {
            Json read = new Json(JSON.std.anyFrom(parser));
            if (parser.nextToken() != null) {
                throw new IOException("unexpected content after the end of the JSON text");
            }
            return read;
        }
    }

    /** Returns the value of these plain maps, lists, strings and numbers as if it had been parsed from a text. */
    public static Json of(Map<String, Object> fields) throws IOException {
        return read(text(fields));
    }

    /** Formats these plain maps, lists, strings and numbers as one JSON text. */
    public static String text(Map<String, Object> fields) {
        try {
            return JSON.std.asString(fields);
        } catch (IOException e) {
            throw new IllegalArgumentException("can't format the value as JSON: " + e.getMessage(), e);
        }
    }

    /** Parses one JSON text as {@link #read} does, but throws an {@link IllegalArgumentException} if it is malformed. */
    public static Json parse(String text) {
        try {
            return read(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("malformed JSON text: " + e.getMessage(), e);
        }
    }

    /** Returns a field, whose value is null if this is no object or has no such field. */
    public Json field(String name) {
        return new Json(fields().get(name));
    }

    /** Returns a field, or throws an {@link IllegalArgumentException} if it is missing. */
    public Json required(String name) {
        Json field = field(name);
        if (field.value == null) {
            throw new IllegalArgumentException("missing field in the JSON text: " + name);
        }
        return field;
    }

    /** Returns the fields of an object, or an empty map if this is no object. */
    public Map<?, ?> fields() {
        return value instanceof Map<?, ?> fields ? fields : Map.of();
    }

    /** Returns the entries of an array, or an empty list if this is no array. */
    public List<Json> entries() {
        return value instanceof List<?> list ? list.stream().map(Json::new).toList() : List.of();
    }

    /** Returns whether this is an object. */
    public boolean isObject() {
        return value instanceof Map;
    }

    /** Returns whether this is an array. */
    public boolean isArray() {
        return value instanceof List;
    }

    /** Returns whether this is a string. */
    public boolean isText() {
        return value instanceof String;
    }

    /** Returns whether this is the boolean true. */
    public boolean isTrue() {
        return Boolean.TRUE.equals(value);
    }

    /** Returns the value as text, or an empty string if there is none. */
    public String text() {
        return value == null ? "" : value.toString();
    }

    /** Returns the number, or {@code absent} if this is no number. */
    public Number number(Number absent) {
        return value instanceof Number number ? number : absent;
    }
}
