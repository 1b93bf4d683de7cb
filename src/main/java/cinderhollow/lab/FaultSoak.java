package cinderhollow.lab;

import cinderhollow.lab.Site.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * One seed of the fault soak: its fleet and its plan. A class whose clients wait for three seconds sets the platform's earliest
 * kill at 3.7 s after SIGTERM; some seeds have crowds of silent clients, against a low limit of descriptors.
 *
 * @param nodes how many stand-in nodes there are
 * @param gateways how many gateways, each a process
 * @param rate first tries a second, over all gateways
 * @param seconds how long arrivals come
 * @param impatient the part of the clients that leave before their answer
 */
public record FaultSoak(int nodes, int gateways, double rate, long seconds, double impatient) {
    /** One seed in so many has crowds. */
    private static final int CROWD_ONE_IN = 3;
    /** Of it, 64 are left for other uses and half of the rest for clients, fewer than the largest crowd has. */
    private static final int CROWDED_DESCRIPTORS = 256;
    private static final int LARGEST_CROWD = 150;
    private static final RequestClass SLOW_KEYED = new RequestClass("archive", "keyed", "zone", 2_000, 1_000, 3_000, 15, 0.2, 2);

    /** Whether this seed has crowds. */
    public static boolean isCrowded(long seed) {
        return Math.floorMod(seed, CROWD_ONE_IN) == 0;
    }

    /** The fleet of this seed. */
    public Site site(long seed) {
        List<RequestClass> classes = new ArrayList<>(Site.usualClasses());
        classes.add(SLOW_KEYED);
        Site site = Site.usual(nodes, gateways, rate, seconds, seed).withImpatient(impatient).withClasses(classes);
        return isCrowded(seed) ? site.withDescriptors(CROWDED_DESCRIPTORS) : site;
    }

    /** What goes wrong in this seed. */
    public Plan plan(long seed) {
        Plan plan = Plan.overlapping(seed, seconds, nodes, gateways);
        return isCrowded(seed) ? plan.withCrowds(seed, seconds, gateways, LARGEST_CROWD) : plan;
    }
}
