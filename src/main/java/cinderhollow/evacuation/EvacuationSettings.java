package cinderhollow.evacuation;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Settings of the zone evacuation.
 *
 * @param zones names of the zones, in the same order at all gateways
 * @param vantage number of the zone in which this gateway runs
 * @param gatewaysByZone number of gateways of each zone; 0 where it is not configured
 * @param regionByZone region number of each zone; without configured regions each zone is a region of its own
 * @param maxRegionsOut maximum of regions that are evacuated automatically at once, in part or as a whole
 * @param holdNanos minimum time for which a zone stays out; doubles with each time that the zone failed again
 * @param maxHoldNanos upper bound of that time
 */
public record EvacuationSettings(List<String> zones, int vantage, List<Integer> gatewaysByZone, List<Integer> regionByZone,
        int maxRegionsOut, long holdNanos, long maxHoldNanos) {
    /** Checks the values and copies the lists. */
    public EvacuationSettings {
        zones = List.copyOf(zones);
        gatewaysByZone = List.copyOf(gatewaysByZone);
        regionByZone = List.copyOf(regionByZone);
        if (zones.isEmpty() || zones.size() > ZoneDecision.MAX_ZONES || vantage < 0 || vantage >= zones.size()
                || gatewaysByZone.size() != zones.size() || regionByZone.size() != zones.size()) {
            throw new IllegalArgumentException("invalid zone settings: zone number " + vantage + " of zones " + zones);
        }
    }

    /** Returns region numbers where each zone is a region of its own. */
    public static List<Integer> oneRegionPerZone(int zoneCount) {
        return IntStream.range(0, zoneCount).boxed().toList();
    }

    /**
     * Returns settings with one region per zone, at most half of the other zones out at once (but at least one), and a hold of
     * 1 s to 60 s.
     */
    public static EvacuationSettings withDefaults(List<String> zones, int vantage, List<Integer> gatewaysByZone) {
        return new EvacuationSettings(zones, vantage, gatewaysByZone, oneRegionPerZone(zones.size()),
                Math.max(1, (zones.size() - 1) / 2), 1_000_000_000L, 60_000_000_000L);
    }
}
