package cinderhollow.ops;

import cinderhollow.core.RequestCounters.Counts;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Figures of a gateway at one moment, for the operators' socket.
 *
 * @param operations request counts by class; a class that was removed from the configuration keeps its counts
 * @param open number of requests taken and not ended
 * @param listed number of endpoints in discovery's list
 * @param avoided number of those endpoints that currently get no requests
 * @param accepted number of configuration files applied at SIGHUP
 * @param invalid number of configuration files rejected at SIGHUP
 */
public record Standing(Map<String, Counts> operations, long open, long listed, long avoided, long accepted, long invalid) {
    /**
     * Returns the figures of two event loops of one process together. Requests are added up; for endpoints and configuration
     * files the maximum is taken, since both loops have the same ones.
     */
    public Standing plus(Standing other) {
        Map<String, Counts> both = new TreeMap<>(operations);
        other.operations.forEach((name, counts) -> both.merge(name, counts, Counts::plus));
        return new Standing(both, open + other.open, Math.max(listed, other.listed), Math.max(avoided, other.avoided),
                Math.max(accepted, other.accepted), Math.max(invalid, other.invalid));
    }

    /** Returns the figures as one line of JSON, with the field names that the platform's tools expect. */
    public String json() {
        String classes = new TreeMap<>(operations).entrySet().stream().map(e -> quoted(e.getKey()) + ":{\"fulfilled\":"
                + e.getValue().fulfilled() + ",\"throttled\":" + e.getValue().throttled() + ",\"faulted\":"
                + e.getValue().faulted() + ",\"relayed\":" + e.getValue().relayed() + "}").collect(Collectors.joining(","));
        return "{\"operations\":{" + classes + "},\"relayed\":"
                + operations.values().stream().mapToLong(Counts::relayed).sum() + ",\"open_requests\":" + open
                + ",\"registry_entries\":" + listed + ",\"out_of_rotation\":" + avoided + ",\"cfg_accepted\":" + accepted
                + ",\"cfg_invalid\":" + invalid + "}";
    }

    /** Returns a JSON string (RFC 8259, section 7). Class names come from a configuration file and may have any character. */
    private static String quoted(String name) {
        StringBuilder text = new StringBuilder("\"");
        for (char c : name.toCharArray()) {
            if (c == '"' || c == '\\') {
                text.append('\\').append(c);
            } else if (c < ' ') {
                text.append(String.format("\\u%04x", (int) c));
            } else {
                text.append(c);
            }
        }
        return text.append('"').toString();
    }
}
