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
     * @param abandonsAfterNanos how long after the first try the client abandons the request, or 0 if it does not
     * @param gatewayDraw random draw from 0 to 1 by which the gateway is picked
     */
    record Arrival(long atNanos, FleetConfig.RequestClass requestClass, long abandonsAfterNanos, double gatewayDraw) { }

    /**
     * High rates ramp up over some seconds. Gateways and the lab still have to compile all their code just after their start. On
     * a machine without a free core that delays everything, and the auditor can't distinguish it from a slow gateway.
     */
    private static final double RAMP_UP_MIN_RATE_PER_SECOND = 1000, RAMP_UP_NANOS = 5e9, INITIAL_RATE_FRACTION = 0.05;

    private final SplittableRandom random;
    private final List<FleetConfig.RequestClass> classes;
    private final double ratePerNano;
    private final boolean rampsUp;
    private final double abandonFraction;
    private final double totalShare;
    private double atNanos;

    Arrivals(FleetConfig site) {
        // A separate random stream, so that the same clients arrive at a fleet of another size.
        random = new SplittableRandom(site.seed() ^ 0x6172726976616cL);
        classes = site.classes();
        ratePerNano = site.rate() / TimeUnit.SECONDS.toNanos(1);
        rampsUp = site.rate() > RAMP_UP_MIN_RATE_PER_SECOND;
        abandonFraction = site.abandonFraction();
        totalShare = classes.stream().mapToDouble(FleetConfig.RequestClass::share).sum();
    }

    private double rateFraction() {
        return rampsUp && atNanos < RAMP_UP_NANOS ? Math.max(INITIAL_RATE_FRACTION, atNanos / RAMP_UP_NANOS) : 1;
    }

    /** Returns the next arrival, in the order of time. */
    Arrival next() {
        atNanos += -Math.log(1 - random.nextDouble()) / (ratePerNano * rateFraction());
        double classDraw = random.nextDouble() * totalShare;
        int i = 0;
        while (i < classes.size() - 1 && classDraw >= classes.get(i).share()) {
            classDraw -= classes.get(i++).share();
        }
        FleetConfig.RequestClass c = classes.get(i);
        boolean abandons = random.nextDouble() < abandonFraction;
        // Close to the time of the answer, so that some clients leave at the moment at which their answer arrives.
        long abandonAfterNanos = Math.round(random.nextDouble() * 3 * c.meanWorkMillis() * TimeUnit.MILLISECONDS.toNanos(1));
        return new Arrival(Math.round(atNanos), c, abandons ? Math.max(1, abandonAfterNanos) : 0, random.nextDouble());
    }
}
