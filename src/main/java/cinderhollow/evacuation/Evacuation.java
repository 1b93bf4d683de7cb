package cinderhollow.evacuation;

import cinderhollow.evacuation.Course.Phase;
import cinderhollow.evacuation.Judgement.Verdict;
import cinderhollow.peers.Fact;
import cinderhollow.peers.Kind;
import cinderhollow.peers.Pace;
import cinderhollow.peers.Peers;
import cinderhollow.peers.Roster;
import cinderhollow.policy.Protocol.Rules;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * One gateway's part in leaving and returning: it tells the others what it saw, hears what they saw, and decides with those of
 * its own zone, from whose place it sees the others. Single-threaded, and what it decides is a function of what it was told.
 *
 * <p>What package-private methods decide can be replaced by a mistake, which the tests' random walks have to find.
 *
 * <p>Who decides: of the living gateways of a vantage any may, but each waits for its turn, so that usually the first one's
 * decision has come round before the second's turn is. Two decisions at once end as the one that {@link Course} ranks higher.
 */
public class Evacuation {
    /** What the process does for it. */
    public interface Host {
        /** Sends a datagram to a member. */
        void send(int member, byte[] datagram);

        /** How much of the usual goes to each zone from now on; all that are numbered are named. */
        void weigh(Map<String, Double> byZone);

        /** Requests a second that a warm server bears from this gateway's part of the traffic; 0 where that is not known. */
        void bears(double perSecond);

        /** Whether there is any zone for whose sake clients should come here. */
        void welcome(boolean clients);

        /** A line for the operators. */
        void log(String line);
    }

    static final Kind SIGHTINGS = new Kind(1, false, 2);
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS, NEVER = Long.MIN_VALUE / 2;
    /** How often it thinks, with a zone in doubt or on its course and without; how often a witness tells of a doubted zone. */
    private static final long THINK = 25 * MS, THINK_CALM = 100 * MS, URGENT = 100 * MS, CALM = SECOND;
    /** In a doubt a digest counts for so long; news has gone round after so long; and for so long after a change it is in haste. */
    private static final long FRESH = 600 * MS, ROUND = 100 * MS, HASTE = SECOND, BEAR = 250 * MS;
    /** From a vantage so many tell of a doubt at once: bytes don't grow with the fleet, and so many are enough. */
    private static final int WITNESSES = 16, MEMBERS_A_SECOND = 100;
    /** What was seen just before a doubt began may belong to it; and a doubt that nothing confirms ends after so long. */
    private static final long BEFORE_DOUBT = 300 * MS, DOUBT_ENDS = 2 * SECOND;
    /** A decision stands on two looks at the least, and each later turn waits so much longer. */
    private static final long CONFIRM = 50 * MS, TURN = 40 * MS, LAST_TURN = 400 * MS;
    private static final long LEAVE_STEP = 250 * MS, RETURN_STEP = 250 * MS, TRY_STEP = 3 * SECOND, FORGIVE = 60 * SECOND;
    private static final double LEAST_TRY = 0.02, MOST_TRY = 0.25, FIRST_RETURN = 0.25, FASTER = 2, IN_USE = 0.5;
    /** Others are filled up to so much of their capacity and no further; a zone with less worth than this is dead. */
    private static final double FILL = 0.9, DEAD = 0.1, LEAST_USE = 0.25;
    /** A trial asks so much of a second of a vantage; so many bad ones of it, and not fewer than the good ones, end it. */
    private static final double TRY_RATE = 10, TRY_FAILS = 3;
    /** Without news from a zone's own gateways others try it after so many holds; and a hold is at least that part of the time out. */
    private static final int ALONE = 8, OF_OUT = 8;
    private static final int USE_PARTS = 200, ENOUGH = 30, LEAST_ENOUGH = 3, FEW_BAD = 2;
    private static final double LOCAL = 0.05, SAME = 0.005, SMOOTH = 0.3;

    private record Heard(Digest digest, long at) { }

    /** What is known here of one zone. */
    private static final class Zone {
        private Course course;
        private long adoptedAt;
        private long phaseAt = NEVER;
        /** When it was left, and when its own gateways were heard to be on their way back to it since. */
        private boolean withinWasOut;
        private long leftAt = NEVER, foundWellAt = NEVER;
        private long doubtedSince = NEVER, doubtConfirmedAt;
        /** Since when the next step's condition holds, or NEVER. */
        private long dueSince = NEVER;
        private Order order;
        private double ordered = 1;
        private long orderedAt;
        private long protectedUntil = NEVER;
        private int hosts;
        /** All of its hosts were gone from the list, and there are some again: they are others, or have started anew. */
        private boolean anew;
        /** What was seen when it was last thought over. */
        private Judgement evidence = Judgement.of(0, 0, List.of());
    }

    private final Terms terms;
    private final Peers peers;
    private final Host host;
    private final Sightings sightings;
    private final Traffic traffic;
    private final Zone[] zones;
    private final Map<Integer, Heard> heard = new HashMap<>();
    /** Where each member stands, as far as it has said so. */
    private final Map<Integer, Integer> vantages = new HashMap<>();
    private Map<String, Double> told = Map.of();
    private double toldBears;
    private boolean toldWelcome = true;
    private long now, unixMillis, thinkAt, publishedAt = NEVER, ratesAt = NEVER, bornAt = NEVER;
    private long arrivalsBefore, servedBefore, lastVersion;
    private double arrivals, served;
    private boolean late;
    private Digest own;
    private long unreadable;

    /** Begins as a member that knows nobody; its life is told by when it began, in Unix time. */
    public Evacuation(Terms terms, Rules rules, Roster roster, Pace pace, long seed, long lifeMillis, Host host) {
        this.terms = terms;
        this.host = host;
        sightings = new Sightings(terms.zones().size());
        traffic = new Traffic(terms.zones(), rules, sightings);
        zones = new Zone[terms.zones().size()];
        for (int z = 0; z < zones.length; z++) {
            zones[z] = new Zone();
            zones[z].course = Course.in(z, terms.vantage());
        }
        peers = new Peers(roster, pace, List.of(SIGHTINGS, Course.KIND, Order.KIND), seed, lifeMillis, new Peers.Host() {
            @Override
            public void send(int member, byte[] datagram) {
                host.send(member, datagram);
            }

            @Override
            public void told(Fact fact) {
                hear(fact);
            }

            @Override
            public void lives(int member, boolean alive) {
                host.log("peer=" + member + (alive ? " alive" : " dead") + " living=" + peers.living());
            }
        });
        vantages.put(roster.self(), terms.vantage());
        own = new Digest(terms.vantage(), false, 0, 0, 0, List.of());
    }

    /** Where what happens to requests, and which hosts there are, is told. */
    public Traffic traffic() {
        return traffic;
    }

    Sightings sightings() {
        return sightings;
    }

    /** The number of a zone, or -1. */
    public int zone(String name) {
        return terms.zones().indexOf(name);
    }

    /** This gateway's own loop is late, so that what it sees is not to be trusted; or it is no more. */
    public void late(boolean now) {
        late = now;
    }

    /** A datagram from the address of this member; -1 where it is nobody's. */
    public void received(long nowNanos, long nowUnixMillis, int from, byte[] datagram) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        peers.received(nowNanos, nowUnixMillis, from, datagram);
    }

    /** Does what is due, and tells when the next is. */
    public long tick(long nowNanos, long nowUnixMillis) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        long next = peers.tick(nowNanos, nowUnixMillis);
        if (now >= thinkAt) {
            think();
            boolean calm = true;
            boolean haste = false;
            for (Zone z : zones) {
                calm &= z.doubtedSince == NEVER && z.course.phase() == Phase.IN;
                haste |= z.doubtedSince != NEVER || now - z.adoptedAt < HASTE && z.course.epoch() > 0;
            }
            peers.hurry(haste);
            thinkAt = now + (calm ? THINK_CALM : THINK);
        }
        return Math.min(next, thinkAt);
    }

    /** Ends in good order. */
    public void leave() {
        peers.leave();
    }

    private void hear(Fact fact) {
        try {
            if (fact.kind() == SIGHTINGS.number()) {
                Digest digest = Digest.read(fact.value(), zones.length);
                heard.put(fact.subject(), new Heard(digest, now));
                vantages.put(fact.subject(), digest.vantage());
                for (Digest.OfZone z : digest.zones()) {
                    if (!digest.doubtsItself() && doubtful(z)) {
                        doubt(z.zone());
                    }
                }
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            unreadable++;
        }
    }

    private static boolean doubtful(Digest.OfZone z) {
        return z.bad() + z.late() >= FEW_BAD && 2 * (z.bad() + z.late()) >= z.tried();
    }

    /** Guards against what was well before a fault hiding it: from a doubt on, only what is seen from then on counts. */
    private void doubt(int zone) {
        Zone z = zones[zone];
        if (z.doubtedSince == NEVER && z.course.phase() != Phase.OUT) {
            z.doubtedSince = now;
            z.doubtConfirmedAt = now;
            sightings.forget(now - BEFORE_DOUBT, zone);
            thinkAt = Math.min(thinkAt, now);
            peers.hurry(true);
        }
    }

    // ---- what is seen

    private void think() {
        rates();
        count();
        look();
        for (int z = 0; z < zones.length; z++) {
            adopt(z);
            drive(z);
        }
        weigh();
        if (now - bornAt >= BEAR) {
            bornAt = now;
            bear();
        }
    }

    private void rates() {
        if (ratesAt == NEVER) {
            ratesAt = now;
        } else if (now - ratesAt >= SECOND) {
            double seconds = (now - ratesAt) / (double) SECOND;
            arrivals += SMOOTH * ((sightings.arrivals() - arrivalsBefore) / seconds - arrivals);
            served += SMOOTH * ((sightings.servedByWarm() - servedBefore) / seconds - served);
            arrivalsBefore = sightings.arrivals();
            servedBefore = sightings.servedByWarm();
            ratesAt = now;
        }
    }

    private void count() {
        traffic.recount(now);
        for (int z = 0; z < zones.length; z++) {
            int hosts = traffic.hosts(z);
            zones[z].anew |= zones[z].course.phase() == Phase.OUT && zones[z].hosts == 0 && hosts > 0;
            zones[z].hosts = hosts;
        }
    }

    private void look() {
        int beside = Math.max(1, livingOf(terms.vantage()));
        Digest.OfZone[] of = sightings.look(now, Math.max(LEAST_ENOUGH, ENOUGH / beside));
        int tried = 0;
        int bad = 0;
        for (int z = 0; z < of.length; z++) {
            double use = traffic.use(z);
            of[z] = of[z].used(Double.isNaN(use) ? Digest.UNKNOWN_USE : (int) Math.round(Math.min(1, use) * USE_PARTS));
            tried += of[z].tried() >= FEW_BAD ? 1 : 0;
            bad += of[z].bad() >= FEW_BAD && 2 * of[z].bad() >= of[z].tried() ? 1 : 0;
        }
        // Guards against blaming all others for what is its own: a starved core, no descriptors, a link that is gone.
        boolean doubtsItself = late || tried > 1 && bad == tried;
        own = new Digest(terms.vantage(), doubtsItself, orders(), (int) Math.round(arrivals), (int) Math.round(served), List.of(of));
        if (!doubtsItself) {
            int[] row = sightings.badInARow(now);
            for (Digest.OfZone z : of) {
                if (doubtful(z) || row[z.zone()] >= FEW_BAD) {
                    doubt(z.zone());
                }
            }
        }
        boolean urgent = false;
        for (int z = 0; z < zones.length; z++) {
            urgent |= zones[z].doubtedSince != NEVER && of[z].tried() > 0 && turn(z, 0) < WITNESSES;
        }
        if (now - publishedAt >= (urgent ? URGENT : calm())) {
            publishedAt = now;
            Fact before = peers.fact(SIGHTINGS.number(), self());
            lastVersion = Math.max(Math.max(lastVersion, before == null ? 0 : before.version()) + 1, unixMillis);
            peers.publish(new Fact(SIGHTINGS.number(), self(), lastVersion, own.write()));
        }
        heard.put(self(), new Heard(own, now));
    }

    private long calm() {
        return CALM * Math.max(1, peers.living() / MEMBERS_A_SECOND);
    }

    private int self() {
        return peers.roster().self();
    }

    final int livingOf(int vantage) {
        return (int) vantages.entrySet().stream().filter(e -> e.getValue() == vantage && peers.isAlive(e.getKey())).count();
    }

    /** How many of the living of this vantage come before this one in a matter of this zone. */
    private int turn(int zone, long epoch) {
        long mine = draw(zone, epoch, self());
        int before = 0;
        for (Map.Entry<Integer, Integer> e : vantages.entrySet()) {
            boolean counts = e.getValue() == terms.vantage() && e.getKey() != self() && peers.isAlive(e.getKey());
            before += counts && draw(zone, epoch, e.getKey()) < mine ? 1 : 0;
        }
        return before;
    }

    private static long draw(int zone, long epoch, int member) {
        // The finaliser of SplitMix64: each pair has a place of its own in each matter.
        long h = (epoch * MEMBERS_A_SECOND + zone) * 0x9e3779b97f4a7c15L + member;
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }

    /** What was seen of a zone from a vantage, by who lives and as long as it is fresh. */
    private Judgement judged(int zone, int vantage) {
        Zone z = zones[zone];
        long fresh = now - 3 * calm() / 2;
        // While there is a doubt witnesses tell often: what they told before their last word may be from before the fault.
        long since = z.doubtedSince == NEVER ? fresh : Math.max(Math.max(fresh, z.doubtedSince), now - FRESH);
        if (vantage == terms.vantage() && (z.course.phase() == Phase.TRYING || z.course.phase() == Phase.RETURNING)) {
            // Guards against what others told before they had heard that it is tried again.
            since = Math.max(since, z.phaseAt + ROUND);
        }
        long from = since;
        Collection<Digest> digests = new ArrayList<>();
        heard.forEach((member, h) -> {
            if (h.digest.vantage() == vantage && h.at >= from && peers.isAlive(member)) {
                digests.add(h.digest);
            }
        });
        return Judgement.of(zone, zones[zone].hosts, digests);
    }

    /** By this gateway's own eyes alone. */
    private Judgement byOwn(int zone) {
        return Judgement.of(zone, zones[zone].hosts, List.of(own));
    }

    // ---- decisions

    private void adopt(int zone) {
        Zone z = zones[zone];
        Phase within = within(zone);
        if (within != Phase.RETURNING && within != Phase.IN) {
            z.foundWellAt = NEVER;
        } else if (z.foundWellAt == NEVER && z.withinWasOut) {
            z.foundWellAt = now;
        }
        z.withinWasOut = within == Phase.OUT || within == Phase.TRYING || z.withinWasOut && z.course.phase() != Phase.IN;
        Course newest = course(zone, terms.vantage());
        if (newest != null && (newest.epoch() != z.course.epoch() || newest.by() != z.course.by())) {
            take(z, newest);
        }
        Fact order = peers.fact(Order.KIND.number(), zone);
        if (order != null) {
            try {
                Order given = Order.read(order, zones.length);
                if (!given.equals(z.order)) {
                    z.order = given;
                    z.ordered = z.course.weight();
                    z.orderedAt = now;
                    host.log("zone=" + terms.zones().get(zone) + " order=" + given.what().name().toLowerCase(Locale.ROOT)
                            + " epoch=" + given.epoch() + " by=" + given.by());
                }
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                unreadable++;
            }
        }
    }

    private void take(Zone z, Course newest) {
        boolean another = newest.phase() != z.course.phase();
        z.course = newest;
        z.anew &= newest.phase() == Phase.OUT;
        z.adoptedAt = now;
        z.dueSince = NEVER;
        if (another) {
            z.phaseAt = now;
            z.leftAt = newest.phase() == Phase.IN ? NEVER : z.leftAt == NEVER ? now : z.leftAt;
            // What was seen of it as it was before tells nothing of how it is from now on.
            z.doubtedSince = NEVER;
            sightings.forget(now, newest.zone());
            host.log(String.format(Locale.ROOT, "zone=%s seen-from=%s phase=%s weight=%.2f epoch=%d by=%d flaps=%d evidence=\"%s\"",
                    terms.zones().get(newest.zone()), terms.zones().get(newest.vantage()), newest.word(), newest.weight(),
                    newest.epoch(), newest.by(), newest.flaps(), z.evidence));
        }
    }

    /**
     * Guards against two deciders that each left another zone in the same moment: beyond the set number of regions, those of the lower
     * numbers are left and the others are as ever, at each gateway by itself and before anybody decides it.
     */
    boolean isLeft(int zone) {
        int region = terms.regions().get(zone);
        return zones[zone].course.phase() != Phase.IN
                && regions(z -> terms.regions().get(z) < region && zones[z].course.phase() != Phase.IN) < terms.mostOut();
    }

    /** How many regions have a zone of this kind. */
    private int regions(IntPredicate which) {
        return (int) IntStream.range(0, zones.length).filter(which).map(terms.regions()::get).distinct().count();
    }

    /** How much of the usual goes there as far as the machine decides. */
    private double decided(int zone) {
        return isLeft(zone) ? zones[zone].course.weight() : 1;
    }

    /** Whether this gateway keeps away from a zone by its own eyes alone; what is decided for all goes first. */
    private boolean isAvoided(int zone) {
        int region = terms.regions().get(zone);
        int others = regions(z -> terms.regions().get(z) != region && (isLeft(z) || z < zone && now < zones[z].protectedUntil));
        return now < zones[zone].protectedUntil && others < terms.mostOut();
    }

    private Order.What ordered(Zone z) {
        return z.order == null || z.order.untilMillis() <= unixMillis ? Order.What.NONE : z.order.what();
    }

    private void drive(int zone) {
        Zone z = zones[zone];
        Judgement seen = judged(zone, terms.vantage());
        Verdict verdict = seen.verdict();
        boolean tried = z.course.phase() == Phase.TRYING;
        if (verdict == Verdict.UNKNOWN && z.doubtedSince != NEVER && othersCondemn(zone, !tried)) {
            verdict = Verdict.BAD;
        }
        boolean against = verdict == Verdict.BAD || verdict == Verdict.SLOW;
        if (z.doubtedSince != NEVER) {
            z.doubtConfirmedAt = against ? now : z.doubtConfirmedAt;
            if (now - z.doubtConfirmedAt >= DOUBT_ENDS) {
                z.doubtedSince = NEVER;
            }
        }
        z.evidence = seen;
        protect(zone);
        Course next = ordered(z) != Order.What.NONE ? null : next(z, seen, verdict);
        if (next == null || !mayDecide()) {
            z.dueSince = NEVER;
            return;
        }
        z.dueSince = z.dueSince == NEVER ? now : z.dueSince;
        // A slow zone loses little while it is looked at twice; where all grow slow at once the others' news must have come.
        long confirmed = z.course.phase() != Phase.IN ? 0 : verdict == Verdict.SLOW ? SECOND : CONFIRM;
        long wait = confirmed + Math.min(LAST_TURN, turn(zone, z.course.epoch()) * TURN);
        if (now - z.dueSince >= wait) {
            Course decided = decided(next);
            peers.publish(decided.fact());
            take(z, decided);
        }
    }

    Course decided(Course next) {
        // Also above what can't be read here: it would beat this everywhere else, and only this gateway would believe itself.
        Fact known = peers.fact(Course.KIND.number(), Course.subject(next.zone(), next.vantage()));
        return next.decided(known == null ? 0 : known.version(), unixMillis, self());
    }

    /** What is decided for a zone as far as it is known and can be read here; else null, as where a newer build has said it. */
    private Course course(int zone, int vantage) {
        Fact fact = peers.fact(Course.KIND.number(), Course.subject(zone, vantage));
        try {
            return fact == null ? null : Course.read(fact, zones.length);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            unreadable++;
            return null;
        }
    }

    /** What should follow now, or null; its epoch is still that of what it follows. */
    private Course next(Zone z, Judgement seen, Verdict verdict) {
        Course c = z.course;
        long since = now - z.adoptedAt;
        if (c.phase() != Phase.IN && !isLeft(c.zone())) {
            return c.next(Phase.IN, 1, c.flaps());
        }
        boolean against = verdict == Verdict.BAD || verdict == Verdict.SLOW;
        switch (c.phase()) {
            case IN:
                if (against && mayLeave(c.zone(), verdict)) {
                    boolean again = c.epoch() > 0 && since < FORGIVE;
                    return leaving(c, seen, verdict, again ? c.flaps() + 1 : c.flaps());
                }
                return c.flaps() > 0 && since >= FORGIVE ? c.next(Phase.IN, 1, c.flaps() - 1) : null;
            case LEAVING:
                if (verdict == Verdict.SOUND && since >= SECOND || !mayLeave(c.zone(), verdict)) {
                    return c.next(Phase.RETURNING, c.weight(), c.flaps());
                }
                return since >= LEAVE_STEP ? leaving(c, seen, verdict, c.flaps()) : null;
            case OUT:
                if (z.anew && z.hosts > 0) {
                    // The list has told more than a trial would; what its hosts bear is the cold budget's matter.
                    return c.next(Phase.RETURNING, IN_USE, c.flaps());
                }
                return z.hosts > 0 && mayTry(z) ? c.next(Phase.TRYING, Math.max(tryPart(), c.weight()), c.flaps()) : null;
            case TRYING:
                // Guards against paying for what is known: it was bad, and a few more such attempts say that it still is.
                if (against || seen.bad() >= TRY_FAILS && 2 * seen.bad() >= seen.tried()) {
                    return c.next(Phase.OUT, 0, c.flaps());
                } else if (verdict == Verdict.SOUND || z.foundWellAt != NEVER && soundFromWithin(c.zone())) {
                    return c.next(Phase.RETURNING, Math.max(FIRST_RETURN, c.weight()), c.flaps());
                } else if (since < TRY_STEP) {
                    return null;
                }
                return c.weight() < MOST_TRY ? c.next(Phase.TRYING, Math.min(MOST_TRY, 2 * c.weight()), c.flaps())
                        : c.next(Phase.RETURNING, MOST_TRY, c.flaps());
            default:
                if (verdict == Verdict.BAD) {
                    return c.next(Phase.OUT, 0, c.flaps() + 1);
                } else if (since < RETURN_STEP) {
                    return null;
                } else if (verdict == Verdict.SLOW) {
                    return c.weight() > LEAST_TRY ? c.next(Phase.RETURNING, Math.max(LEAST_TRY, c.weight() / 2), c.flaps()) : null;
                }
                double more = c.weight() * FASTER;
                return more >= 1 ? c.next(Phase.IN, 1, c.flaps()) : c.next(Phase.RETURNING, more, c.flaps());
        }
    }

    private long hold(Zone z) {
        long doubled = terms.holdNanos() << Math.min(20, z.course.flaps());
        return Math.min(terms.mostHoldNanos(), Math.max(doubled, (now - z.leftAt) / OF_OUT));
    }

    /**
     * Its own gateways, which are nearest, try a zone first, so that a dead one is not tried from everywhere; the others follow
     * when these are on their way back, or try for themselves where these never left it, are no more, or take long.
     */
    private boolean mayTry(Zone z) {
        int zone = z.course.zone();
        long since = now - z.adoptedAt;
        boolean first = zone == terms.vantage() || livingOf(zone) == 0 || within(zone) == Phase.IN && !z.withinWasOut;
        return first ? since >= hold(z) : z.foundWellAt != NEVER && z.course.flaps() == 0 || since >= ALONE * hold(z)
                || z.foundWellAt != NEVER && since >= hold(z);
    }

    /** Where its own gateways stand to a zone. */
    private Phase within(int zone) {
        Course course = course(zone, zone);
        return course == null ? Phase.IN : course.phase();
    }

    /** So much of the usual that a judgement can stand after part of a second, and no more is lost than that takes. */
    private double tryPart() {
        double come = 0;
        for (Heard h : heard.values()) {
            come += h.digest.vantage() == terms.vantage() && now - h.at < 3 * calm() ? h.digest.arrivals() : 0;
        }
        return Math.max(LEAST_TRY, Math.min(MOST_TRY, TRY_RATE / Math.max(1, come)));
    }

    /** One step down, to what the others can't bear. */
    private Course leaving(Course c, Judgement seen, Verdict verdict, int flaps) {
        double worth = verdict == Verdict.BAD && seen.tried() == 0 ? 0 : seen.worth();
        double target = worth < DEAD ? 0 : worth * unbearable(c.zone());
        // What goes to a zone that fails is mostly lost anyway, and leaves at once; from a slow one it moves step by step.
        double step = verdict == Verdict.BAD ? target : Math.max(target, c.weight() / 2);
        boolean there = step - target < 2 * LOCAL;
        return c.next(there ? Phase.OUT : Phase.LEAVING, there ? target : step, flaps);
    }

    /** Which part of what goes to a zone the others have no room for, by how busy all report to be. */
    private double unbearable(int zone) {
        double moved = traffic.warm(zone) * use(zone);
        double room = 0;
        for (int z = 0; z < zones.length; z++) {
            room += z == zone || told(z) < IN_USE ? 0 : traffic.warm(z) * Math.max(0, FILL - use(z));
        }
        return moved <= 0 ? 0 : Math.max(0, Math.min(1, (moved - room) / moved));
    }

    /** By all who say it; where nobody does, as much as can be moved. */
    private double use(int zone) {
        double sum = 0;
        int count = 0;
        for (Heard h : heard.values()) {
            Digest.OfZone z = h.digest.of(zone);
            if (z != null && z.use() != Digest.UNKNOWN_USE && now - h.at < 3 * calm()) {
                sum += (double) z.use() / USE_PARTS;
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    /** Not below the half of one's own: a minority that is cut off decides nothing. */
    boolean mayDecide() {
        int known = Math.max(terms.gatewaysByZone().get(terms.vantage()),
                (int) vantages.values().stream().filter(v -> v == terms.vantage()).count());
        return 2 * livingOf(terms.vantage()) > known;
    }

    /**
     * Not more regions than are set, in part or as a whole, and never without a zone of another one: one that fails is left where another serves at least half from
     * here, or is sound as its own gateways say; a slow one for one that is seen to be well from here. Where all are late there
     * is too much work and no better place.
     */
    private boolean mayLeave(int zone, Verdict why) {
        int region = terms.regions().get(zone);
        boolean sound = false;
        for (int z = 0; z < zones.length; z++) {
            if (terms.regions().get(z) != region && !isOut(z)) {
                Judgement here = judged(z, terms.vantage());
                Verdict within = judged(z, z).verdict();
                boolean better = why == Verdict.SLOW ? here.verdict() == Verdict.SOUND
                        : here.serves() || here.verdict() == Verdict.UNKNOWN && within == Verdict.SOUND;
                sound |= within != Verdict.BAD && within != Verdict.SLOW && better;
            }
        }
        return sound && regions(z -> terms.regions().get(z) != region && isOut(z)) < terms.mostOut();
    }

    /** Left by the machine or by people. */
    private boolean isOut(int zone) {
        return zones[zone].course.phase() != Phase.IN || ordered(zones[zone]) == Order.What.LEAVE;
    }

    /** Its own gateways, which are nearest, find it well: whoever seldom goes there need not find out alone. */
    private boolean soundFromWithin(int zone) {
        return zone != terms.vantage() && judged(zone, zone).verdict() == Verdict.SOUND;
    }

    /**
     * Two other vantages agree, and none but perhaps the zone itself says otherwise: whoever has not tried it need not.
     *
     * @param byCourse whether that they are out counts; while it is tried it does not, or each would stay out for the others' sake
     */
    private boolean othersCondemn(int zone, boolean byCourse) {
        int against = 0;
        for (int v = 0; v < zones.length; v++) {
            if (v != terms.vantage()) {
                Verdict verdict = judged(zone, v).verdict();
                against += verdict == Verdict.BAD || byCourse && leftFrom(zone, v) ? 1 : 0;
                if (verdict == Verdict.SOUND && v != zone) {
                    return false;
                }
            }
        }
        // Its own gateways have left it, and the few who tried it from here have met the same.
        Judgement here = judged(zone, terms.vantage());
        return against >= 2 || byCourse && leftFrom(zone, zone) && here.voters() >= 2 && here.bad() == here.tried();
    }

    private boolean leftFrom(int zone, int vantage) {
        Course course = course(zone, vantage);
        return course != null && course.phase() == Phase.OUT;
    }

    /** Where too few are left to decide, each still saves its own requests, by its own eyes alone and for a while. */
    private void protect(int zone) {
        if (mayDecide() || own.doubtsItself() || now < zones[zone].protectedUntil) {
            return;
        }
        boolean other = false;
        for (int z = 0; z < zones.length; z++) {
            other |= z != zone && now >= zones[z].protectedUntil && byOwn(z).verdict() == Verdict.SOUND;
        }
        if (other && byOwn(zone).verdict() == Verdict.BAD) {
            zones[zone].protectedUntil = now + terms.holdNanos();
            sightings.forget(now, zone);
            host.log("zone=" + terms.zones().get(zone) + " avoided by this gateway alone: it hears too few to decide, and saw "
                    + byOwn(zone));
        }
    }

    // ---- what follows for this gateway

    private void weigh() {
        Map<String, Double> weights = new LinkedHashMap<>();
        boolean moved = told.isEmpty();
        for (int z = 0; z < zones.length; z++) {
            double weight = weight(z);
            String name = terms.zones().get(z);
            weights.put(name, weight);
            moved = moved || Math.abs(weight - told.get(name)) > SAME || weight == 1 && told.get(name) != 1;
        }
        if (moved) {
            told = Map.copyOf(weights);
            host.weigh(told);
        }
        boolean nowhere = 2 * peers.living() <= peers.roster().size();
        for (int z = 0; z < zones.length; z++) {
            nowhere &= byOwn(z).verdict() != Verdict.SOUND;
        }
        nowhere &= byOwn(terms.vantage()).verdict() == Verdict.BAD;
        if (nowhere == toldWelcome) {
            toldWelcome = !nowhere;
            host.welcome(toldWelcome);
            host.log(nowhere ? "cut off: clients are sent elsewhere" : "clients are welcome again");
        }
    }

    private double told(int zone) {
        return told.getOrDefault(terms.zones().get(zone), 1.0);
    }

    private double weight(int zone) {
        Zone z = zones[zone];
        switch (ordered(z)) {
            case LEAVE:
                if (now - z.orderedAt >= LEAVE_STEP) {
                    z.ordered = z.ordered <= 2 * LOCAL ? 0 : z.ordered / 2;
                    z.orderedAt = now;
                }
                return z.ordered;
            case RETURN:
                if (now - z.orderedAt >= RETURN_STEP) {
                    z.ordered = Math.min(1, Math.max(FIRST_RETURN, z.ordered) * FASTER);
                    z.orderedAt = now;
                }
                return z.ordered;
            default:
                return isAvoided(zone) ? Math.min(LOCAL, decided(zone)) : decided(zone);
        }
    }

    /** What warm hosts were seen to bear, over the whole fleet, and this gateway's part of all that comes. */
    private void bear() {
        double come = 0;
        double borne = 0;
        int telling = 0;
        for (Map.Entry<Integer, Heard> e : heard.entrySet()) {
            if (now - e.getValue().at < 3 * calm() && peers.isAlive(e.getKey())) {
                come += e.getValue().digest.arrivals();
                borne += e.getValue().digest.served();
                telling++;
            }
        }
        double warm = 0;
        double use = 0;
        for (int z = 0; z < zones.length; z++) {
            if (told(z) >= IN_USE) {
                warm += traffic.warm(z);
                double itsUse = use(z);
                use += traffic.warm(z) * Math.max(LEAST_USE, itsUse == 0 ? 1 : itsUse);
            }
        }
        double bears = 0;
        if (2 * telling > peers.living() && telling > 1 && come > 0 && warm > 0 && use > 0) {
            double ofOne = borne / use * peers.living() / telling;
            bears = ofOne * part(come, telling);
        }
        if (Math.abs(bears - toldBears) > toldBears * SMOOTH / 3) {
            toldBears = bears;
            host.bears(bears);
        }
    }

    /** This gateway's part of all that comes to those who tell. */
    double part(double come, int telling) {
        return Math.max(arrivals, come / telling / 4) / come;
    }

    // ---- people

    private int orders() {
        int sum = 0;
        for (Fact fact : peers.facts(Order.KIND)) {
            sum += Long.hashCode(draw(fact.subject(), fact.version(), 0));
        }
        return (sum ^ sum >>> 16) & 0xffff;
    }

    /** An order to the whole fleet, from now until then. */
    public void order(int zone, Order.What what, long untilMillis) {
        Order before = zones[zone].order;
        peers.publish(new Order(zone, what, untilMillis, Course.epoch(before == null ? 0 : before.epoch(), unixMillis), self()).fact());
    }

    /** How things stand, as operators read it. */
    public ZoneStanding standing() {
        List<ZoneStanding.OfZone> all = new ArrayList<>();
        for (int z = 0; z < zones.length; z++) {
            List<ZoneStanding.From> from = new ArrayList<>();
            for (int v = 0; v < zones.length; v++) {
                Course known = course(z, v);
                Course c = known == null ? Course.in(z, v) : known;
                from.add(new ZoneStanding.From(terms.zones().get(v), c.word(), c.weight(), c.epoch(), c.by(), c.flaps(),
                        judged(z, v).toString()));
            }
            all.add(new ZoneStanding.OfZone(terms.zones().get(z), told(z),
                    ordered(zones[z]), ordered(zones[z]) == Order.What.NONE ? 0 : zones[z].order.untilMillis(), from));
        }
        int known = orders();
        List<Integer> unheard = new ArrayList<>();
        for (int member = 0; member < peers.roster().size(); member++) {
            Heard h = heard.get(member);
            if (!peers.isAlive(member) || h == null || h.digest.heard() != known) {
                unheard.add(member);
            }
        }
        return new ZoneStanding(peers.roster().self(), peers.living(), peers.roster().size(), peers.health(), all,
                unheard.stream().filter(m -> m != self()).toList(), peers.figures(), unreadable);
    }

    /** What goes to each zone now, in the order of their numbers. */
    public double[] weights() {
        return Arrays.stream(zones).mapToDouble(z -> told(z.course.zone())).toArray();
    }
}
