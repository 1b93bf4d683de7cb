package cinderhollow.evacuation;

import java.util.List;
import java.util.stream.IntStream;

/**
 * What is set for leaving and returning.
 *
 * @param zones by name, the same at all gateways
 * @param vantage the number of the zone in which this gateway stands
 * @param gatewaysByZone how many gateways each zone has, as far as that is set; 0 where it is not
 * @param regions of which region each zone is, by the regions' numbers; where there are none, each zone is one of its own
 * @param mostOut so many regions at the most are left at once by the machine, in part or as a whole
 * @param holdNanos how long a zone stays out at the least, and twice as long with each time that it failed again
 * @param mostHoldNanos but no longer than this
 */
public record Terms(List<String> zones, int vantage, List<Integer> gatewaysByZone, List<Integer> regions, int mostOut, long holdNanos, long mostHoldNanos) {
    /** Checks and keeps copies. */
    public Terms {
        zones = List.copyOf(zones);
        gatewaysByZone = List.copyOf(gatewaysByZone);
        regions = List.copyOf(regions);
        if (zones.isEmpty() || zones.size() > Course.MOST_ZONES || vantage < 0 || vantage >= zones.size()
                || gatewaysByZone.size() != zones.size() || regions.size() != zones.size()) {
            throw new IllegalArgumentException("no place " + vantage + " among " + zones);
        }
    }

    /** Each zone a region of its own. */
    public static List<Integer> eachItsOwn(int zones) {
        return IntStream.range(0, zones).boxed().toList();
    }

    /** With the usual times. */
    public static Terms usual(List<String> zones, int vantage, List<Integer> gatewaysByZone) {
        return new Terms(zones, vantage, gatewaysByZone, eachItsOwn(zones.size()), Math.max(1, (zones.size() - 1) / 2), 1_000_000_000L, 60_000_000_000L);
    }
}
