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
 * @param abandonFraction fraction of the clients that leave before their answer
 */
public record FaultSoak(int nodes, int gateways, double rate, long seconds, double abandonFraction) {
    /** One seed in this many has crowds. */
    private static final int CROWDED_SEED_INTERVAL = 3;
    /**
     * A gateway keeps 64 of these for other uses and half of the rest for clients, which is fewer than the largest crowd, so that
     * crowds reach the limit.
     */
    private static final int CROWDED_MAX_DESCRIPTORS = 256;
    private static final int MAX_CROWD_SIZE = 150;
    private static final RequestClass SLOW_KEYED_CLASS =
            new RequestClass("archive", "keyed", "zone", 2_000, 1_000, 3_000, 15, 0.2, 2);

    /** Returns whether this seed has crowds of silent clients. */
    public static boolean hasCrowds(long seed) {
        return Math.floorMod(seed, CROWDED_SEED_INTERVAL) == 0;
    }

    /** Returns the fleet of this seed. */
    public FleetConfig fleetConfig(long seed) {
        List<RequestClass> classes = new ArrayList<>(FleetConfig.defaultClasses());
        classes.add(SLOW_KEYED_CLASS);
        FleetConfig config = FleetConfig.withDefaults(nodes, gateways, rate, seconds, seed).withAbandonFraction(abandonFraction)
                .withClasses(classes);
        return hasCrowds(seed) ? config.withMaxDescriptors(CROWDED_MAX_DESCRIPTORS) : config;
    }

    /** Returns the fault plan of this seed. */
    public FaultPlan plan(long seed) {
        FaultPlan plan = FaultPlan.overlapping(seed, seconds, nodes, gateways);
        return hasCrowds(seed) ? plan.withCrowds(seed, seconds, gateways, MAX_CROWD_SIZE) : plan;
    }
}
