package cinderhollow.daemon;

import cinderhollow.core.Json;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds a configuration that comes while the gateway runs against the one in force. No I/O.
 *
 * <p>At a start a key that isn't there has its default, for the sake of deployments that don't know it. Later that would
 * be a trap: a file cut short would silently turn limits into defaults. So the next file must have each key that the
 * running one has, of the same type; an entry of a list each key that all running entries of that list share. More keys,
 * and more or fewer entries, are welcome.
 */
final class Retuning {
    /** The list of hosts as it was known at a start; it says nothing of how the gateway is to behave. */
    private static final String KNOWN = "known";

    private Retuning() { }

    /** Returns where the next file may follow the running one; else an {@link IllegalArgumentException} names the key. */
    static void check(Json running, Json next) {
        if (!next.isObject()) {
            throw new IllegalArgumentException("it is no JSON object");
        }
        fields("", running.fields().keySet(), running, next);
    }

    private static void fields(String at, Set<?> names, Json running, Json next) {
        for (Object name : names) {
            String path = at.isEmpty() ? name.toString() : at + "." + name;
            if (!path.equals(KNOWN)) {
                compare(path, running.field(name.toString()), next.field(name.toString()));
            }
        }
    }

    private static void compare(String path, Json running, Json next) {
        if (running.value() == null) {
            return;
        }
        if (next.value() == null) {
            throw new IllegalArgumentException("it lacks " + path);
        }
        if (!kind(running).equals(kind(next))) {
            throw new IllegalArgumentException(path + " is " + kind(next) + " and was " + kind(running));
        }
        if (running.isObject()) {
            fields(path, running.fields().keySet(), running, next);
        } else if (running.isArray() && !running.entries().isEmpty()) {
            entries(path, running.entries(), next.entries());
        }
    }

    private static void entries(String path, List<Json> running, List<Json> next) {
        Set<Object> shared = new HashSet<>(running.get(0).fields().keySet());
        running.forEach(entry -> shared.retainAll(entry.fields().keySet()));
        for (int i = 0; i < next.size(); i++) {
            Json entry = next.get(i);
            String at = path + "." + i;
            if (!kind(entry).equals(kind(running.get(0)))) {
                throw new IllegalArgumentException(at + " is " + kind(entry) + " and the others were " + kind(running.get(0)));
            }
            fields(at, shared, running.get(0), entry);
        }
    }

    private static String kind(Json json) {
        Object value = json.value();
        if (value instanceof Number number) {
            // Guards against a figure beyond all figures, which passes every check that asks for more than something.
            return Double.isFinite(number.doubleValue()) ? "a number" : "no finite number";
        }
        return json.isText() ? "a text" : json.isObject() ? "an object" : json.isArray() ? "a list"
                : value == null ? "nothing" : "a flag";
    }
}
