package cinderhollow.evacuation;

import cinderhollow.peers.Peers;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * State of the fleet and its zones as seen by one gateway, for operators.
 *
 * @param member number of this gateway
 * @param aliveCount members taken for alive, including this one
 * @param memberCount members of the fleet
 * @param healthScore Lifeguard's local health score; 0 is best, higher values mean that this gateway itself may be at fault
 * @param unconfirmedMembers members that are dead, or not known to have the newest orders
 * @param unreadableFacts facts that could not be decoded
 */
public record ZoneStatus(int member, int aliveCount, int memberCount, int healthScore, List<ZoneEntry> zones,
        List<Integer> unconfirmedMembers,
                       Peers.Counters counters, long unreadableFacts) {
    /** State of one zone: the weight that this gateway applies, 1 being full traffic, and the order in force. */
    public record ZoneEntry(String zone, double weight, Order.Action orderedAction, long untilMillis,
            List<VantageEntry> byVantage) { }

    /** Newest decision of one vantage about the zone, and its evidence. */
    public record VantageEntry(String vantage, String phase, double weight, long epoch, int decider, int flaps,
            String evidence) { }

    /** Returns lines of OpenMetrics text, without the end marker. */
    public String formatMetrics() {
        StringBuilder text = new StringBuilder(1024);
        appendGauge(text, "cinderhollow_peers_alive", "Members of the fleet that are taken for alive.", aliveCount);
        appendGauge(text, "cinderhollow_peers_health", "How much this member doubts itself.", healthScore);
        appendCounter(text, "cinderhollow_peers_sent_bytes", "Bytes of datagrams sent.", counters.sentBytes());
        appendCounter(text, "cinderhollow_peers_heard_bytes", "Bytes of datagrams that came.", counters.receivedBytes());
        appendHeader(text, "cinderhollow_peers_dropped", "counter", "Datagrams that were not believed, by why.");
        counters.dropCounts().forEach((reason, count) -> text.append("cinderhollow_peers_dropped_total{why=\"")
                .append(reason.label())
                .append("\"} ").append(count).append('\n'));
        appendHeader(text, "cinderhollow_zone_weight", "gauge", "How much of the usual this gateway sends to a zone.");
        zones.forEach(z -> text.append("cinderhollow_zone_weight{zone=\"").append(z.zone).append("\"} ").append(z.weight)
                .append('\n'));
        return text.toString();
    }

    private static void appendHeader(StringBuilder text, String name, String type, String help) {
        text.append("# TYPE ").append(name).append(' ').append(type).append("\n# HELP ").append(name).append(' ').append(help)
                .append('\n');
    }

    private static void appendGauge(StringBuilder text, String name, String help, long value) {
        appendHeader(text, name, "gauge", help);
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void appendCounter(StringBuilder text, String name, String help, long value) {
        appendHeader(text, name, "counter", help);
        text.append(name).append("_total ").append(value).append('\n');
    }

    /** Returns a table as plain lines of text. */
    public String formatText() {
        List<String> lines = new ArrayList<>();
        lines.add("member " + member + ", " + aliveCount + " of " + memberCount + " alive, health " + healthScore);
        for (ZoneEntry z : zones) {
            String order = z.orderedAction == Order.Action.NONE ? "" : ", ordered to " + z.orderedAction.name()
                    .toLowerCase(Locale.ROOT) + " until "
                    + Instant.ofEpochMilli(z.untilMillis);
            lines.add(String.format(Locale.ROOT, "zone %s: weight %.2f%s", z.zone, z.weight, order));
            for (VantageEntry f : z.byVantage) {
                lines.add(String.format(Locale.ROOT, "  from %-12s %-9s weight %.2f epoch %d by %d flaps %d; %s", f.vantage,
                        f.phase,
                        f.weight, f.epoch, f.decider, f.flaps, f.evidence));
            }
        }
        lines.add(unconfirmedMembers.isEmpty() ? "all members know the newest orders" : "not known to have heard: "
                + unconfirmedMembers);
        return String.join("\n", lines) + "\n";
    }
}
