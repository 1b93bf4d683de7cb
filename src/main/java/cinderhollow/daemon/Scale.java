package cinderhollow.daemon;

import cinderhollow.membership.Subset.FleetPosition;
import java.util.HashMap;
import java.util.Map;

/**
 * How many event loops a process runs, and which subset of the servers it uses, as set by the operator's file.
 *
 * @param loops number of event loops that serve clients, each a gateway of its own
 * @param eachListens whether each loop binds a listener of its own (SO_REUSEPORT); otherwise one listener hands connections
 * over to the loops
 * @param follows whether this loop receives the endpoint list from another loop
 * @param place the process's place among the gateways that divide the servers into subsets, or null where each uses all
 */
record Scale(int loops, boolean eachListens, boolean follows, FleetPosition place) {
    /** Returns the configuration of one loop, which counts as one gateway among all loops of all processes. */
    Scale of(int loop) {
        if (place == null) {
            return new Scale(1, eachListens, loop > 0, null);
        }
        Map<String, Integer> gateways = new HashMap<>();
        place.gatewaysByZone().forEach((zone, count) -> gateways.put(zone, count * loops));
        return new Scale(1, eachListens, loop > 0, new FleetPosition(place.subsetSize(), gateways, place.zone(), place.number() * loops + loop));
    }
}
