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
 * @param living members taken for alive, including this one
 * @param members members of the fleet
 * @param health Lifeguard's local health score; 0 is best, higher values mean that this gateway itself may be at fault
 * @param unheard members that are dead, or not known to have the newest orders
 * @param unreadable facts that could not be decoded
 */
public record ZoneStatus(int member, int living, int members, int health, List<OfZone> zones, List<Integer> unheard,
                       Peers.Figures figures, long unreadable) {
    /** State of one zone: the weight that this gateway applies, 1 being full traffic, and the order in force. */
    public record OfZone(String zone, double weight, Order.Action order, long untilMillis, List<From> seen) { }

    /** Newest decision of one vantage about the zone, and its evidence. */
    public record From(String vantage, String phase, double weight, long epoch, int by, int flaps, String evidence) { }

    /** Returns lines of OpenMetrics text, without the end marker. */
    public String formatMetrics() {
        StringBuilder text = new StringBuilder(1024);
        gauge(text, "cinderhollow_peers_alive", "Members of the fleet that are taken for alive.", living);
        gauge(text, "cinderhollow_peers_health", "How much this member doubts itself.", health);
        counter(text, "cinderhollow_peers_sent_bytes", "Bytes of datagrams sent.", figures.sentBytes());
        counter(text, "cinderhollow_peers_heard_bytes", "Bytes of datagrams that came.", figures.heardBytes());
        head(text, "cinderhollow_peers_dropped", "counter", "Datagrams that were not believed, by why.");
        figures.flaws().forEach((flaw, count) -> text.append("cinderhollow_peers_dropped_total{why=\"").append(flaw.word())
                .append("\"} ").append(count).append('\n'));
        head(text, "cinderhollow_zone_weight", "gauge", "How much of the usual this gateway sends to a zone.");
        zones.forEach(z -> text.append("cinderhollow_zone_weight{zone=\"").append(z.zone).append("\"} ").append(z.weight).append('\n'));
        return text.toString();
    }

    private static void head(StringBuilder text, String name, String type, String help) {
        text.append("# TYPE ").append(name).append(' ').append(type).append("\n# HELP ").append(name).append(' ').append(help)
                .append('\n');
    }

    private static void gauge(StringBuilder text, String name, String help, long value) {
        head(text, name, "gauge", help);
        text.append(name).append(' ').append(value).append('\n');
    }

    private static void counter(StringBuilder text, String name, String help, long value) {
        head(text, name, "counter", help);
        text.append(name).append("_total ").append(value).append('\n');
    }

    /** Returns a table as plain lines of text. */
    public String formatText() {
        List<String> lines = new ArrayList<>();
        lines.add("member " + member + ", " + living + " of " + members + " alive, health " + health);
        for (OfZone z : zones) {
            String order = z.order == Order.Action.NONE ? "" : ", ordered to " + z.order.name().toLowerCase(Locale.ROOT) + " until "
                    + Instant.ofEpochMilli(z.untilMillis);
            lines.add(String.format(Locale.ROOT, "zone %s: weight %.2f%s", z.zone, z.weight, order));
            for (From f : z.seen) {
                lines.add(String.format(Locale.ROOT, "  from %-12s %-9s weight %.2f epoch %d by %d flaps %d; %s", f.vantage, f.phase,
                        f.weight, f.epoch, f.by, f.flaps, f.evidence));
            }
        }
        lines.add(unheard.isEmpty() ? "all members know the newest orders" : "not known to have heard: " + unheard);
        return String.join("\n", lines) + "\n";
    }
}
