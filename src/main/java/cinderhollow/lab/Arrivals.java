package cinderhollow.lab;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Draws the clients' first tries, with their times and classes, from the seed; independent of answers (open loop). */
final class Arrivals {
    /**
     * The first try of a request.
     *
     * @param atNanos time since the start of the arrivals
     * @param requestClass class of the request
     * @param leavesAfterNanos how long after the first try the client abandons the request, or 0 if it does not
     * @param chance random draw from 0 to 1 by which the gateway is picked
     */
    record Arrival(long atNanos, FleetConfig.RequestClass requestClass, long leavesAfterNanos, double chance) { }

    /**
     * High rates ramp up over some seconds. Gateways and the lab still have to compile all their code just after their start. On
     * a machine without a free core that delays everything, and the auditor can't distinguish it from a slow gateway.
     */
    private static final double HIGH_RATE = 1000, RISE_NANOS = 5e9, FIRST_PART = 0.05;

    private final SplittableRandom random;
    private final List<FleetConfig.RequestClass> classes;
    private final double perNano;
    private final boolean rises;
    private final double impatient;
    private final double shares;
    private double at;

    Arrivals(FleetConfig site) {
        // A separate random stream, so that the same clients arrive at a fleet of another size.
        random = new SplittableRandom(site.seed() ^ 0x6172726976616cL);
        classes = site.classes();
        perNano = site.rate() / TimeUnit.SECONDS.toNanos(1);
        rises = site.rate() > HIGH_RATE;
        impatient = site.impatient();
        shares = classes.stream().mapToDouble(FleetConfig.RequestClass::share).sum();
    }

    private double part() {
        return rises && at < RISE_NANOS ? Math.max(FIRST_PART, at / RISE_NANOS) : 1;
    }

    /** Returns the next arrival, in the order of time. */
    Arrival next() {
        at += -Math.log(1 - random.nextDouble()) / (perNano * part());
        double drawn = random.nextDouble() * shares;
        int i = 0;
        while (i < classes.size() - 1 && drawn >= classes.get(i).share()) {
            drawn -= classes.get(i++).share();
        }
        FleetConfig.RequestClass c = classes.get(i);
        boolean leaves = random.nextDouble() < impatient;
        // Close to the time of the answer, so that some clients leave at the moment at which their answer arrives.
        long after = Math.round(random.nextDouble() * 3 * c.workMillis() * TimeUnit.MILLISECONDS.toNanos(1));
        return new Arrival(Math.round(at), c, leaves ? Math.max(1, after) : 0, random.nextDouble());
    }
}
