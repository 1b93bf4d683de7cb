package cinderhollow.operator;

import java.nio.file.Path;
import java.util.List;

/**
 * The peers of a gateway, from {@code [peers]}, and the rules for the evacuation of zones, from {@code [zones]}.
 *
 * @param fleet the name of the fleet, or empty
 * @param listen the address on which the gateway receives datagrams, or null for the one in the deployment's settings
 * @param members the address of each member of the fleet, or empty for those in the deployment's settings
 * @param number the number of this gateway among the members, or -1 for the one in the deployment's settings
 * @param secret the file with the secret that all members share, or null
 * @param zones the names of the zones
 * @param gateways the number of gateways in each zone, in the order of the zones; 0 if the file does not give it
 * @param regions the number of each zone's region, from 0, in the order of the zones
 * @param mostOut the maximum number of regions that may be evacuated at once; without regions, of zones
 * @param holdNanos the minimum time that a zone stays evacuated, in nanoseconds; doubled each time the zone fails again
 * @param mostHoldNanos the upper bound of that doubled time, in nanoseconds
 */
public record Fellows(String fleet, String listen, List<String> members, int number, Path secret, List<String> zones,
                      List<Integer> gateways, List<Integer> regions, int mostOut, long holdNanos, long mostHoldNanos) {
    /** Copies the lists. */
    public Fellows {
        members = List.copyOf(members);
        zones = List.copyOf(zones);
        gateways = List.copyOf(gateways);
        regions = List.copyOf(regions);
    }
}
