package cinderhollow.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The number of event loops of a process, and the subset of nodes that a gateway uses.
 *
 * @param loopCount the number of event loops of the process
 * @param listenerPerLoop whether each loop has its own listener; otherwise all share one
 * @param subsetSize the number of nodes that a gateway uses, or 0 for all
 * @param gatewaysByZone the number of gateways that share the nodes, by zone
 * @param zone the zone of this gateway
 * @param numberInZone the number of this gateway within its zone, from 0
 */
public record ScalingConfig(int loopCount, boolean listenerPerLoop, int subsetSize, Map<String, Integer> gatewaysByZone,
        String zone, int numberInZone) {
    /** Copies the map. */
    public ScalingConfig {
        gatewaysByZone = Map.copyOf(gatewaysByZone);
    }

    /** Returns one line for each setting that differs from its default. */
    List<String> describe() {
        List<String> lines = new ArrayList<>();
        if (loopCount > 1) {
            lines.add(loopCount + " event loops, " + (listenerPerLoop ? "each with a listener of its own" : "one listener"));
        }
        if (subsetSize > 0) {
            lines.add("uses a subset of about " + subsetSize + " nodes, as gateway " + numberInZone + " of zone '" + zone
                    + "' among "
                    + gatewaysByZone);
        }
        return lines;
    }
}
