package cinderhollow.lab;

import cinderhollow.lab.FleetConfig.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * Derives the fleet and the fault plan of a seed of the fault soak. A class with a deadline of three seconds puts the platform's
 * earliest kill at 3.7 s after SIGTERM. Some seeds have crowds of silent clients and a low limit of file descriptors.
 *
 * @param nodes number of stand-in nodes
 * @param gateways number of gateways, each a process
 * @param rate first tries a second, over all gateways
 * @param seconds duration of the arrivals
 * @param impatient fraction of the clients that leave before their answer
 */
public record FaultSoak(int nodes, int gateways, double rate, long seconds, double impatient) {
    /** One seed in this many has crowds. */
    private static final int CROWD_ONE_IN = 3;
    /**
     * A gateway keeps 64 of these for other uses and half of the rest for clients, which is fewer than the largest crowd, so that
     * crowds reach the limit.
     */
    private static final int CROWDED_DESCRIPTORS = 256;
    private static final int LARGEST_CROWD = 150;
    private static final RequestClass SLOW_KEYED = new RequestClass("archive", "keyed", "zone", 2_000, 1_000, 3_000, 15, 0.2, 2);

    /** Returns whether this seed has crowds of silent clients. */
    public static boolean isCrowded(long seed) {
        return Math.floorMod(seed, CROWD_ONE_IN) == 0;
    }

    /** Returns the fleet of this seed. */
    public FleetConfig fleetConfig(long seed) {
        List<RequestClass> classes = new ArrayList<>(FleetConfig.usualClasses());
        classes.add(SLOW_KEYED);
        FleetConfig site = FleetConfig.withDefaults(nodes, gateways, rate, seconds, seed).withImpatient(impatient).withClasses(classes);
        return isCrowded(seed) ? site.withDescriptors(CROWDED_DESCRIPTORS) : site;
    }

    /** Returns the fault plan of this seed. */
    public FaultPlan plan(long seed) {
        FaultPlan plan = FaultPlan.overlapping(seed, seconds, nodes, gateways);
        return isCrowded(seed) ? plan.withCrowds(seed, seconds, gateways, LARGEST_CROWD) : plan;
    }
}
