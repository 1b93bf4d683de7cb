package cinderhollow.ops;

import cinderhollow.core.RequestCounters.Counts;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * A gateway's figures at one instant.
 *
 * @param operations what became of requests, by class; a class that was dropped keeps its counts
 * @param open requests taken and not ended
 * @param listed hosts in the list
 * @param avoided of those, hosts that get nothing now
 * @param accepted files taken at SIGHUP
 * @param invalid files turned down at SIGHUP
 */
public record Standing(Map<String, Counts> operations, long open, long listed, long avoided, long accepted, long invalid) {
    /** Of two event loops of one process: requests add up, the list and the files are the same ones. */
    public Standing plus(Standing other) {
        Map<String, Counts> both = new TreeMap<>(operations);
        other.operations.forEach((name, counts) -> both.merge(name, counts, Counts::plus));
        return new Standing(both, open + other.open, Math.max(listed, other.listed), Math.max(avoided, other.avoided),
                Math.max(accepted, other.accepted), Math.max(invalid, other.invalid));
    }

    /** One line of JSON with the platform's names. */
    public String json() {
        String classes = new TreeMap<>(operations).entrySet().stream().map(e -> quoted(e.getKey()) + ":{\"fulfilled\":"
                + e.getValue().fulfilled() + ",\"throttled\":" + e.getValue().throttled() + ",\"faulted\":"
                + e.getValue().faulted() + ",\"relayed\":" + e.getValue().relayed() + "}").collect(Collectors.joining(","));
        return "{\"operations\":{" + classes + "},\"relayed\":"
                + operations.values().stream().mapToLong(Counts::relayed).sum() + ",\"open_requests\":" + open
                + ",\"registry_entries\":" + listed + ",\"out_of_rotation\":" + avoided + ",\"cfg_accepted\":" + accepted
                + ",\"cfg_invalid\":" + invalid + "}";
    }

    /** As RFC 8259, section 7, has it; the names of classes come from a file that anyone may have written. */
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
