package cinderhollow.daemon;

import cinderhollow.core.Json;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks a reloaded configuration file against the one in force. No I/O.
 *
 * <p>At a start, a missing key has its default, so that deployments that do not know the key work. On reload this would be
 * dangerous: a truncated file would silently replace limits by defaults. So the new file must have each key of the running
 * one, with the same type; each entry of a list must have every key that all running entries of that list share. Additional
 * keys, and more or fewer entries, are allowed.
 */
final class ReloadValidator {
    /** Key of the endpoint list as known at a start, which is not compared: it does not configure the gateway's behavior. */
    private static final String KNOWN_ENDPOINTS_KEY = "known";

    private ReloadValidator() { }

    /**
     * Checks that the next file may replace the running one; otherwise an {@link IllegalArgumentException} names the key.
     */
    static void check(Json running, Json next) {
        if (!next.isObject()) {
            throw new IllegalArgumentException("it is no JSON object");
        }
        checkFields("", running.fields().keySet(), running, next);
    }

    private static void checkFields(String parentPath, Set<?> fieldNames, Json running, Json next) {
        for (Object name : fieldNames) {
            String path = parentPath.isEmpty() ? name.toString() : parentPath + "." + name;
            if (!path.equals(KNOWN_ENDPOINTS_KEY)) {
                checkValue(path, running.field(name.toString()), next.field(name.toString()));
            }
        }
    }

    private static void checkValue(String path, Json running, Json next) {
        if (running.value() == null) {
            return;
        }
        if (next.value() == null) {
            throw new IllegalArgumentException("it lacks " + path);
        }
        if (!typeName(running).equals(typeName(next))) {
            throw new IllegalArgumentException(path + " is " + typeName(next) + " and was " + typeName(running));
        }
        if (running.isObject()) {
            checkFields(path, running.fields().keySet(), running, next);
        } else if (running.isArray() && !running.entries().isEmpty()) {
            checkEntries(path, running.entries(), next.entries());
        }
    }

    private static void checkEntries(String path, List<Json> running, List<Json> next) {
        Set<Object> sharedKeys = new HashSet<>(running.get(0).fields().keySet());
        running.forEach(entry -> sharedKeys.retainAll(entry.fields().keySet()));
        for (int i = 0; i < next.size(); i++) {
            Json entry = next.get(i);
            String entryPath = path + "." + i;
            if (!typeName(entry).equals(typeName(running.get(0)))) {
                throw new IllegalArgumentException(entryPath + " is " + typeName(entry) + " and the others were "
                        + typeName(running.get(0)));
            }
            checkFields(entryPath, sharedKeys, running.get(0), entry);
        }
    }

    private static String typeName(Json json) {
        Object value = json.value();
        if (value instanceof Number number) {
            // JSON numbers such as 1e999 parse as infinite, which would pass every check for a lower bound.
            return Double.isFinite(number.doubleValue()) ? "a number" : "no finite number";
        }
        return json.isText() ? "a text" : json.isObject() ? "an object" : json.isArray() ? "a list"
                : value == null ? "nothing" : "a flag";
    }
}
