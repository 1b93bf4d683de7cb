package cinderhollow.daemon;

import cinderhollow.membership.Subset.FleetPosition;
import java.util.HashMap;
import java.util.Map;

/**
 * How many event loops a process runs, and which subset of the servers it uses, as set by the operator's file.
 *
 * @param loopCount number of event loops that serve clients, each a gateway of its own
 * @param listenerPerLoop whether each loop binds a listener of its own (SO_REUSEPORT); otherwise one listener hands connections
 * over to the loops
 * @param follower whether this loop receives the endpoint list from another loop
 * @param loopsInProcess number of event loops that divide the process's memory
 * @param subsetPlace the process's place among the gateways that divide the servers into subsets, or null where each uses all
 */
record EventLoopConfig(int loopCount, boolean listenerPerLoop, boolean follower, int loopsInProcess,
        FleetPosition subsetPlace) {
    /** Returns the configuration of one loop, which counts as one gateway among all loops of all processes. */
    EventLoopConfig forLoop(int loop) {
        if (subsetPlace == null) {
            return new EventLoopConfig(1, listenerPerLoop, loop > 0, loopCount, null);
        }
        Map<String, Integer> gateways = new HashMap<>();
        subsetPlace.gatewaysByZone().forEach((zone, count) -> gateways.put(zone, count * loopCount));
        return new EventLoopConfig(1, listenerPerLoop, loop > 0, loopCount,
                new FleetPosition(subsetPlace.subsetSize(), gateways, subsetPlace.zone(), subsetPlace.number() * loopCount
                + loop));
    }
}
