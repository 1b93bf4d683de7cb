package cinderhollow.evacuation;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Settings of the zone evacuation.
 *
 * @param zones names of the zones, in the same order at all gateways
 * @param vantage number of the zone in which this gateway runs
 * @param gatewaysByZone number of gateways of each zone; 0 where it is not configured
 * @param regions region number of each zone; without configured regions each zone is a region of its own
 * @param mostOut maximum of regions that are evacuated automatically at once, in part or as a whole
 * @param holdNanos minimum time for which a zone stays out; doubles with each time that the zone failed again
 * @param mostHoldNanos upper bound of that time
 */
public record EvacuationSettings(List<String> zones, int vantage, List<Integer> gatewaysByZone, List<Integer> regions, int mostOut, long holdNanos, long mostHoldNanos) {
    /** Checks the values and copies the lists. */
    public EvacuationSettings {
        zones = List.copyOf(zones);
        gatewaysByZone = List.copyOf(gatewaysByZone);
        regions = List.copyOf(regions);
        if (zones.isEmpty() || zones.size() > Course.MOST_ZONES || vantage < 0 || vantage >= zones.size()
                || gatewaysByZone.size() != zones.size() || regions.size() != zones.size()) {
            throw new IllegalArgumentException("invalid zone settings: zone number " + vantage + " of zones " + zones);
        }
    }

    /** Returns region numbers where each zone is a region of its own. */
    public static List<Integer> eachItsOwn(int zones) {
        return IntStream.range(0, zones).boxed().toList();
    }

    /**
     * Returns settings with one region per zone, at most half of the other zones out at once (but at least one), and a hold of
     * 1 s to 60 s.
     */
    public static EvacuationSettings withDefaults(List<String> zones, int vantage, List<Integer> gatewaysByZone) {
        return new EvacuationSettings(zones, vantage, gatewaysByZone, eachItsOwn(zones.size()), Math.max(1, (zones.size() - 1) / 2), 1_000_000_000L, 60_000_000_000L);
    }
}
