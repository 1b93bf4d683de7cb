package cinderhollow.operator;

import java.nio.file.Path;
import java.util.List;

/**
 * Whom a gateway talks with, and what follows for zones.
 *
 * @param listen where datagrams come, or null for where the platform says
 * @param members where each listens, or empty for those of the platform
 * @param number this one's among them, or -1 for the platform's
 * @param secret a file that all have and nobody else, or null
 * @param regions of which region each zone is, by numbers from 0
 * @param gateways how many each zone has, 0 where it is not said
 */
public record Fellows(String fleet, String listen, List<String> members, int number, Path secret, List<String> zones,
                      List<Integer> gateways, List<Integer> regions, int mostOut, long holdNanos, long mostHoldNanos) {
    /** Keeps copies. */
    public Fellows {
        members = List.copyOf(members);
        zones = List.copyOf(zones);
        gateways = List.copyOf(gateways);
        regions = List.copyOf(regions);
    }
}
