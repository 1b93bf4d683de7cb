package cinderhollow.ops;

import cinderhollow.core.RequestCounters.Counts;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Figures of a gateway at one moment, for the operators' socket.
 *
 * @param countsByClass request counts by class; a class that was removed from the configuration keeps its counts
 * @param openRequests number of requests taken and not ended
 * @param endpoints number of endpoints in discovery's list
 * @param outOfRotation number of those endpoints that currently get no requests
 * @param reloadsAccepted number of configuration files applied at SIGHUP
 * @param reloadsRejected number of configuration files rejected at SIGHUP
 */
public record GatewayStats(Map<String, Counts> countsByClass, long openRequests, long endpoints, long outOfRotation,
        long reloadsAccepted, long reloadsRejected) {
    /**
     * Returns the figures of two event loops of one process together. Requests are added up; for endpoints and configuration
     * files the maximum is taken, since both loops have the same ones.
     */
    public GatewayStats plus(GatewayStats other) {
        Map<String, Counts> mergedCounts = new TreeMap<>(countsByClass);
        other.countsByClass.forEach((name, counts) -> mergedCounts.merge(name, counts, Counts::plus));
        return new GatewayStats(mergedCounts, openRequests + other.openRequests, Math.max(endpoints, other.endpoints),
                Math.max(outOfRotation, other.outOfRotation),
                Math.max(reloadsAccepted, other.reloadsAccepted), Math.max(reloadsRejected, other.reloadsRejected));
    }

    /** Returns the figures as one line of JSON, with the field names that the platform's tools expect. */
    public String toJson() {
        String classes = new TreeMap<>(countsByClass).entrySet().stream().map(e -> quote(e.getKey()) + ":{\"fulfilled\":"
                + e.getValue().fulfilled() + ",\"throttled\":" + e.getValue().throttled() + ",\"faulted\":"
                + e.getValue().faulted() + ",\"relayed\":" + e.getValue().relayed() + "}").collect(Collectors.joining(","));
        return "{\"operations\":{" + classes + "},\"relayed\":"
                + countsByClass.values().stream().mapToLong(Counts::relayed).sum() + ",\"open_requests\":" + openRequests
                + ",\"registry_entries\":" + endpoints + ",\"out_of_rotation\":" + outOfRotation + ",\"cfg_accepted\":"
                + reloadsAccepted
                + ",\"cfg_invalid\":" + reloadsRejected + "}";
    }

    /** Returns a JSON string (RFC 8259, section 7). Class names come from a configuration file and may have any character. */
    private static String quote(String name) {
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
