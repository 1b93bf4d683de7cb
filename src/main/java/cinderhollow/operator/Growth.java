package cinderhollow.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The number of event loops of a process, and the subset of nodes that a gateway uses.
 *
 * @param loops the number of event loops of the process
 * @param eachListens whether each loop has its own listener; otherwise all share one
 * @param subset the number of nodes that a gateway uses, or 0 for all
 * @param gateways the number of gateways that share the nodes, by zone
 * @param zone the zone of this gateway
 * @param number the number of this gateway within its zone, from 0
 */
public record Growth(int loops, boolean eachListens, int subset, Map<String, Integer> gateways, String zone, int number) {
    /** Copies the map. */
    public Growth {
        gateways = Map.copyOf(gateways);
    }

    /** Returns one line for each setting that differs from its default. */
    List<String> explained() {
        List<String> text = new ArrayList<>();
        if (loops > 1) {
            text.add(loops + " event loops, " + (eachListens ? "each with a listener of its own" : "one listener"));
        }
        if (subset > 0) {
            text.add("uses a subset of about " + subset + " nodes, as gateway " + number + " of zone '" + zone + "' among "
                    + gateways);
        }
        return text;
    }
}
