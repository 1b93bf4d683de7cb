package cinderhollow.operator;

import java.nio.file.Path;
import java.util.List;

/**
 * The peers of a gateway, from {@code [peers]}, and the rules for the evacuation of zones, from {@code [zones]}.
 *
 * @param fleet the name of the fleet, or empty
 * @param listenAddress the address on which the gateway receives datagrams, or null for the one in the deployment's settings
 * @param members the address of each member of the fleet, or empty for those in the deployment's settings
 * @param memberNumber the number of this gateway among the members, or -1 for the one in the deployment's settings
 * @param secretFile the file with the secret that all members share, or null
 * @param zones the names of the zones
 * @param gatewaysByZone the number of gateways in each zone, in the order of the zones; 0 if the file does not give it
 * @param regionByZone the number of each zone's region, from 0, in the order of the zones
 * @param maxRegionsOut the maximum number of regions that may be evacuated at once; without regions, of zones
 * @param holdNanos the minimum time that a zone stays evacuated, in nanoseconds; doubled each time the zone fails again
 * @param maxHoldNanos the upper bound of that doubled time, in nanoseconds
 */
public record PeersConfig(String fleet, String listenAddress, List<String> members, int memberNumber, Path secretFile,
        List<String> zones,
                      List<Integer> gatewaysByZone, List<Integer> regionByZone, int maxRegionsOut, long holdNanos,
                      long maxHoldNanos) {
    /** Copies the lists. */
    public PeersConfig {
        members = List.copyOf(members);
        zones = List.copyOf(zones);
        gatewaysByZone = List.copyOf(gatewaysByZone);
        regionByZone = List.copyOf(regionByZone);
    }
}
