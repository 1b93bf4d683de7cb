package cinderhollow.lab;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** When clients ask, and for what: drawn ahead from the seed, and waiting for no answer. */
final class Arrivals {
    /**
     * A first try.
     *
     * @param leavesAfterNanos when an impatient client gives up, or 0
     * @param chance which gateway the front picks, from 0 to 1
     */
    record Arrival(long atNanos, Site.RequestClass requestClass, long leavesAfterNanos, double chance) { }

    /**
     * A high rate rises over some seconds: gateways and lab that have just started have all their code to compile, and
     * a machine without a free core would do that late, which no auditor can tell from a gateway that is slow.
     */
    private static final double HIGH_RATE = 1000, RISE_NANOS = 5e9, FIRST_PART = 0.05;

    private final SplittableRandom random;
    private final List<Site.RequestClass> classes;
    private final double perNano;
    private final boolean rises;
    private final double impatient;
    private final double shares;
    private double at;

    Arrivals(Site site) {
        // A stream of its own, so that a fleet of another size sees the same clients.
        random = new SplittableRandom(site.seed() ^ 0x6172726976616cL);
        classes = site.classes();
        perNano = site.rate() / TimeUnit.SECONDS.toNanos(1);
        rises = site.rate() > HIGH_RATE;
        impatient = site.impatient();
        shares = classes.stream().mapToDouble(Site.RequestClass::share).sum();
    }

    private double part() {
        return rises && at < RISE_NANOS ? Math.max(FIRST_PART, at / RISE_NANOS) : 1;
    }

    /** The next in the order of time. */
    Arrival next() {
        at += -Math.log(1 - random.nextDouble()) / (perNano * part());
        double drawn = random.nextDouble() * shares;
        int i = 0;
        while (i < classes.size() - 1 && drawn >= classes.get(i).share()) {
            drawn -= classes.get(i++).share();
        }
        Site.RequestClass c = classes.get(i);
        boolean leaves = random.nextDouble() < impatient;
        // About when answers come, so that some leave in the very instant of theirs.
        long after = Math.round(random.nextDouble() * 3 * c.workMillis() * TimeUnit.MILLISECONDS.toNanos(1));
        return new Arrival(Math.round(at), c, leaves ? Math.max(1, after) : 0, random.nextDouble());
    }
}
