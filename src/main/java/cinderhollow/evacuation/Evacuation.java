package cinderhollow.evacuation;

import cinderhollow.evacuation.Course.Phase;
import cinderhollow.evacuation.Judgement.Verdict;
import cinderhollow.peers.Fact;
import cinderhollow.peers.Kind;
import cinderhollow.peers.GossipSettings;
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
 * Zone evacuation as run by one gateway: publishes what this gateway observes of each zone, receives the observations of the
 * other gateways, and decides, together with the gateways of its own zone (its vantage), how much traffic goes to each zone.
 * Single-threaded and deterministic: decisions depend only on the inputs received and their times.
 *
 * <p>Some package-private methods are overridden by tests with planted faults, which the random walks must detect.
 *
 * <p>Any living gateway of a vantage may decide. Each waits according to its rank, so that the decision of the first has
 * usually reached the second before the second's wait ends. Of two concurrent decisions the one that {@link Course} ranks
 * higher applies.
 */
public class Evacuation {
    /** Callbacks into the process that runs the evacuation. */
    public interface Callbacks {
        /** Sends a datagram to a member. */
        void send(int member, byte[] datagram);

        /** Sets the weight of every configured zone: the part of its normal traffic that it gets from now on, 0 to 1. */
        void setZoneWeights(Map<String, Double> byZone);

        /** Sets how many requests per second of this gateway one warm server can take; 0 if that is unknown. */
        void setWarmServerRate(double perSecond);

        /** Sets whether clients should connect here: not while cut off from half of the fleet and from all sound zones. */
        void setAcceptingClients(boolean clients);

        /** Writes a log line for operators. */
        void log(String line);
    }

    static final Kind SIGHTINGS = new Kind(1, false, 2);
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS, NEVER = Long.MIN_VALUE / 2;
    /**
     * Intervals of evaluation while a zone is suspected or evacuated and otherwise; intervals of publishing a digest while a
     * zone is suspected and otherwise.
     */
    private static final long THINK = 25 * MS, THINK_CALM = 100 * MS, URGENT = 100 * MS, CALM = SECOND;
    /**
     * Age up to which a digest counts during a suspicion; time in which news reaches the fleet; time of fast gossip after a
     * decision; interval of updating the rate that a warm server can take.
     */
    private static final long FRESH = 600 * MS, ROUND = 100 * MS, HASTE = SECOND, BEAR = 250 * MS;
    /**
     * Bounds on the digests sent: of a vantage at most this many gateways send urgent digests, which is enough to decide and
     * keeps the traffic from growing with the fleet; and all members together send about this many normal digests per second.
     */
    private static final int WITNESSES = 16, MEMBERS_A_SECOND = 100;
    /** Attempts that ended this shortly before a suspicion still count for it; an unconfirmed suspicion ends after the second. */
    private static final long BEFORE_DOUBT = 300 * MS, DOUBT_ENDS = 2 * SECOND;
    /**
     * How long a condition must hold before a decision, so that at least two evaluations see it; the additional wait of each
     * later decider; the bound of that additional wait.
     */
    private static final long CONFIRM = 50 * MS, TURN = 40 * MS, LAST_TURN = 400 * MS;
    private static final long LEAVE_STEP = 250 * MS, RETURN_STEP = 250 * MS, TRY_STEP = 3 * SECOND, FORGIVE = 60 * SECOND;
    private static final double LEAST_TRY = 0.02, MOST_TRY = 0.25, FIRST_RETURN = 0.25, FASTER = 2, IN_USE = 0.5;
    /**
     * Utilisation up to which other zones are filled; ratio of attempts answered in time below which a zone counts as dead;
     * utilisation assumed at least when the capacity of a warm server is estimated.
     */
    private static final double FILL = 0.9, DEAD = 0.1, LEAST_USE = 0.25;
    /** Requests per second that a vantage sends in a trial; failures that end it if at least half of the attempts fail. */
    private static final double TRY_RATE = 10, TRY_FAILS = 3;
    /**
     * Number of holds after which a vantage tries a zone without news from that zone's own gateways; and the divisor of the
     * time since the zone was left that gives the least length of a hold.
     */
    private static final int ALONE = 8, OF_OUT = 8;
    private static final int USE_PARTS = 200, ENOUGH = 30, LEAST_ENOUGH = 3, FEW_BAD = 2;
    private static final double LOCAL = 0.05, SAME = 0.005, SMOOTH = 0.3;

    private record Heard(Digest digest, long at) { }

    /** State of one zone at this gateway. */
    private static final class Zone {
        private Course course;
        private long adoptedAt;
        private long phaseAt = NEVER;
        /** Whether the zone's own gateways had left it; when it was left; when its own gateways were seen to return to it. */
        private boolean withinWasOut;
        private long leftAt = NEVER, foundWellAt = NEVER;
        private long doubtedSince = NEVER, doubtConfirmedAt;
        /** Time since which the condition of the next step holds, or NEVER. */
        private long dueSince = NEVER;
        private Order order;
        private double ordered = 1;
        private long orderedAt;
        private long protectedUntil = NEVER;
        private int hosts;
        /** Whether all servers of the zone were gone from the list and some are listed again: new or restarted ones. */
        private boolean anew;
        /** Assessment at the last evaluation. */
        private Judgement evidence = Judgement.of(0, 0, List.of());
    }

    private final EvacuationSettings terms;
    private final Peers peers;
    private final Callbacks host;
    private final Sightings sightings;
    private final TrafficObserver traffic;
    private final Zone[] zones;
    private final Map<Integer, Heard> heard = new HashMap<>();
    /** Vantage (number of the own zone) of each member that has published a digest. */
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

    /** Creates the evacuation of a member that knows no others yet; the start time in Unix milliseconds is its generation. */
    public Evacuation(EvacuationSettings terms, Rules rules, Roster roster, GossipSettings pace, long seed, long lifeMillis, Callbacks host) {
        this.terms = terms;
        this.host = host;
        sightings = new Sightings(terms.zones().size());
        traffic = new TrafficObserver(terms.zones(), rules, sightings);
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

    /** Returns the observer to notify of requests, attempts and the server list. */
    public TrafficObserver traffic() {
        return traffic;
    }

    Sightings sightings() {
        return sightings;
    }

    /** Returns the number of a zone, or -1 if no zone has this name. */
    public int zoneNumber(String name) {
        return terms.zones().indexOf(name);
    }

    /** Sets whether this gateway's event loop is late, so that its observations are not reliable. */
    public void setLoopLate(boolean now) {
        late = now;
    }

    /** Handles a datagram received from the address of a member; -1 if the address belongs to no member. */
    public void onDatagram(long nowNanos, long nowUnixMillis, int from, byte[] datagram) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        peers.received(nowNanos, nowUnixMillis, from, datagram);
    }

    /** Does the work that is due and returns the time in nanoseconds at which the next work is due. */
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

    /** Leaves the fleet: tells the other members that this one has ended. */
    public void leaveFleet() {
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

    /**
     * Starts a suspicion of a zone and discards older attempts, since successes from before a fault would hide it. Zones that
     * are out or already suspected are unchanged.
     */
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

    // ---- observation

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
        // If all zones fail, or the loop is late, the cause is likely local: a starved core, no descriptors, a broken link.
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

    /** Returns this gateway's rank for a zone and epoch: the number of living gateways of its vantage that come before it. */
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
        // The finaliser of SplitMix64: the order of the members differs from one zone and epoch to the next.
        long h = (epoch * MEMBERS_A_SECOND + zone) * 0x9e3779b97f4a7c15L + member;
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }

    /** Assesses a zone by the fresh digests of the living gateways of a vantage. */
    private Judgement judged(int zone, int vantage) {
        Zone z = zones[zone];
        long fresh = now - 3 * calm() / 2;
        // During a suspicion digests come often, and older ones may be from before the fault: only the most recent count.
        long since = z.doubtedSince == NEVER ? fresh : Math.max(Math.max(fresh, z.doubtedSince), now - FRESH);
        if (vantage == terms.vantage() && (z.course.phase() == Phase.TRYING || z.course.phase() == Phase.RETURNING)) {
            // Ignores digests that others sent before they knew of the new trial.
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

    /** Assesses a zone by this gateway's own digest alone. */
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
            // Attempts of the previous phase say nothing about the new one.
            z.doubtedSince = NEVER;
            sightings.forget(now, newest.zone());
            host.log(String.format(Locale.ROOT, "zone=%s seen-from=%s phase=%s weight=%.2f epoch=%d by=%d flaps=%d evidence=\"%s\"",
                    terms.zones().get(newest.zone()), terms.zones().get(newest.vantage()), newest.word(), newest.weight(),
                    newest.epoch(), newest.by(), newest.flaps(), z.evidence));
        }
    }

    /**
     * Returns whether a decision to leave this zone applies. Two deciders may leave different zones at the same moment; if
     * more regions are left than the maximum, only those with the lowest numbers are evacuated and the others keep their full
     * weight. Each gateway applies this rule by itself, before a decision confirms it.
     */
    boolean isLeft(int zone) {
        int region = terms.regions().get(zone);
        return zones[zone].course.phase() != Phase.IN
                && regions(z -> terms.regions().get(z) < region && zones[z].course.phase() != Phase.IN) < terms.mostOut();
    }

    /** Returns the number of regions with at least one zone that matches. */
    private int regions(IntPredicate which) {
        return (int) IntStream.range(0, zones.length).filter(which).map(terms.regions()::get).distinct().count();
    }

    /** Returns the weight of a zone by automatic decisions, without operators' orders. */
    private double decided(int zone) {
        return isLeft(zone) ? zones[zone].course.weight() : 1;
    }

    /**
     * Returns whether this gateway alone avoids a zone because of its own observations. Regions left by decision count first
     * towards the maximum of regions out.
     */
    private boolean isAvoided(int zone) {
        int region = terms.regions().get(zone);
        int others = regions(z -> terms.regions().get(z) != region && (isLeft(z) || z < zone && now < zones[z].protectedUntil));
        return now < zones[zone].protectedUntil && others < terms.mostOut();
    }

    private Order.Action ordered(Zone z) {
        return z.order == null || z.order.untilMillis() <= unixMillis ? Order.Action.NONE : z.order.what();
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
        Course next = ordered(z) != Order.Action.NONE ? null : next(z, seen, verdict);
        if (next == null || !mayDecide()) {
            z.dueSince = NEVER;
            return;
        }
        z.dueSince = z.dueSince == NEVER ? now : z.dueSince;
        // Waiting costs little with a slow zone; and if all zones become slow at once, the digests of the others must have
        // arrived before the decision.
        long confirmed = z.course.phase() != Phase.IN ? 0 : verdict == Verdict.SLOW ? SECOND : CONFIRM;
        long wait = confirmed + Math.min(LAST_TURN, turn(zone, z.course.epoch()) * TURN);
        if (now - z.dueSince >= wait) {
            Course decided = decided(next);
            peers.publish(decided.fact());
            take(z, decided);
        }
    }

    Course decided(Course next) {
        // Exceeds unreadable versions too: they would win at all other gateways, and only this one would follow its decision.
        Fact known = peers.fact(Course.KIND.number(), Course.subject(next.zone(), next.vantage()));
        return next.decided(known == null ? 0 : known.version(), unixMillis, self());
    }

    /** Returns the newest decision of a vantage, or null if none is known or it is unreadable (made by a newer build). */
    private Course course(int zone, int vantage) {
        Fact fact = peers.fact(Course.KIND.number(), Course.subject(zone, vantage));
        try {
            return fact == null ? null : Course.read(fact, zones.length);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            unreadable++;
            return null;
        }
    }

    /** Returns the decision that should follow now, or null; it still has the epoch of the current one. */
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
                    // The list says that the servers are new, so no trial is needed; the cold-server budget limits their load.
                    return c.next(Phase.RETURNING, IN_USE, c.flaps());
                }
                return z.hosts > 0 && mayTry(z) ? c.next(Phase.TRYING, Math.max(tryPart(), c.weight()), c.flaps()) : null;
            case TRYING:
                // The zone was bad before, so that a few failures are enough to end the trial without losing more requests.
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
     * Returns whether a trial of a zone that is out may begin. The zone's own gateways are nearest and try it first, so that a
     * dead zone is not tried from everywhere. The others follow once those return to it, and try on their own if those never
     * left the zone, are all dead, or take too long.
     */
    private boolean mayTry(Zone z) {
        int zone = z.course.zone();
        long since = now - z.adoptedAt;
        boolean first = zone == terms.vantage() || livingOf(zone) == 0 || within(zone) == Phase.IN && !z.withinWasOut;
        return first ? since >= hold(z) : z.foundWellAt != NEVER && z.course.flaps() == 0 || since >= ALONE * hold(z)
                || z.foundWellAt != NEVER && since >= hold(z);
    }

    /** Returns the phase of a zone as decided by its own gateways. */
    private Phase within(int zone) {
        Course course = course(zone, zone);
        return course == null ? Phase.IN : course.phase();
    }

    /** Returns the weight of a trial: enough traffic for an assessment within part of a second, so that few requests are lost. */
    private double tryPart() {
        double come = 0;
        for (Heard h : heard.values()) {
            come += h.digest.vantage() == terms.vantage() && now - h.at < 3 * calm() ? h.digest.arrivals() : 0;
        }
        return Math.max(LEAST_TRY, Math.min(MOST_TRY, TRY_RATE / Math.max(1, come)));
    }

    /** Returns the next step down, toward the weight of the traffic for which the other zones have no room. */
    private Course leaving(Course c, Judgement seen, Verdict verdict, int flaps) {
        double worth = verdict == Verdict.BAD && seen.tried() == 0 ? 0 : seen.worth();
        double target = worth < DEAD ? 0 : worth * unbearable(c.zone());
        // Requests to a failing zone are mostly lost, so it is left at once; traffic of a slow zone moves step by step.
        double step = verdict == Verdict.BAD ? target : Math.max(target, c.weight() / 2);
        boolean there = step - target < 2 * LOCAL;
        return c.next(there ? Phase.OUT : Phase.LEAVING, there ? target : step, flaps);
    }

    /** Returns the part of a zone's traffic, 0 to 1, for which the others have no room by the reported utilisation. */
    private double unbearable(int zone) {
        double moved = traffic.warm(zone) * use(zone);
        double room = 0;
        for (int z = 0; z < zones.length; z++) {
            room += z == zone || told(z) < IN_USE ? 0 : traffic.warm(z) * Math.max(0, FILL - use(z));
        }
        return moved <= 0 ? 0 : Math.max(0, Math.min(1, (moved - room) / moved));
    }

    /** Returns the mean utilisation of a zone by all fresh digests, or 0 if none reports it, so that all traffic may move. */
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

    /** Returns whether more than half of this vantage's gateways are alive: a minority that is cut off must not decide. */
    boolean mayDecide() {
        int known = Math.max(terms.gatewaysByZone().get(terms.vantage()),
                (int) vantages.values().stream().filter(v -> v == terms.vantage()).count());
        return 2 * livingOf(terms.vantage()) > known;
    }

    /**
     * Returns whether a zone may be left. At most the set number of regions are left, in part or as a whole, and only if a zone
     * of another region is better. That zone must not be slow or failing by its own gateways. To leave a failing zone, it must
     * answer at least half in time as seen from here, or be unknown here and sound by its own gateways. To leave a slow zone,
     * it must be sound as seen from here: if all zones are late there is too much load and no better place.
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

    /** Returns whether a zone is left, by automatic decision or by an operator's order. */
    private boolean isOut(int zone) {
        return zones[zone].course.phase() != Phase.IN || ordered(zones[zone]) == Order.Action.LEAVE;
    }

    /** Returns whether another zone is sound by its own gateways, so that a vantage with few attempts there can rely on them. */
    private boolean soundFromWithin(int zone) {
        return zone != terms.vantage() && judged(zone, zone).verdict() == Verdict.SOUND;
    }

    /**
     * Returns whether the other vantages show that a zone fails, so that a vantage without attempts there need not try it: two
     * of them agree and none but perhaps the zone itself calls it sound, or the zone's own gateways have left it and all
     * attempts from here failed.
     *
     * @param byCourse whether decisions of others to stay out count; not during a trial, or each would stay out because of the
     *     others
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
        // The zone's own gateways have left it, and all attempts from here, by at least two gateways, failed.
        Judgement here = judged(zone, terms.vantage());
        return against >= 2 || byCourse && leftFrom(zone, zone) && here.voters() >= 2 && here.bad() == here.tried();
    }

    private boolean leftFrom(int zone, int vantage) {
        Course course = course(zone, vantage);
        return course != null && course.phase() == Phase.OUT;
    }

    /**
     * Avoids a failing zone for one hold by this gateway's own observations, if too few gateways of its vantage are alive to
     * decide.
     */
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

    // ---- effects on this gateway

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
            host.setZoneWeights(told);
        }
        boolean nowhere = 2 * peers.living() <= peers.roster().size();
        for (int z = 0; z < zones.length; z++) {
            nowhere &= byOwn(z).verdict() != Verdict.SOUND;
        }
        nowhere &= byOwn(terms.vantage()).verdict() == Verdict.BAD;
        if (nowhere == toldWelcome) {
            toldWelcome = !nowhere;
            host.setAcceptingClients(toldWelcome);
            host.log(nowhere ? "cut off from half of the fleet and from all sound zones: clients are sent to other gateways"
                    : "no longer cut off: clients are accepted again");
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

    /** Updates the rate that a warm server can take, from the rates of the whole fleet and this gateway's part of the traffic. */
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
            host.setWarmServerRate(bears);
        }
    }

    /** Returns this gateway's part of the traffic of all reporting members, at least a quarter of the mean part. */
    double part(double come, int telling) {
        return Math.max(arrivals, come / telling / 4) / come;
    }

    // ---- operators

    private int orders() {
        int sum = 0;
        for (Fact fact : peers.facts(Order.KIND)) {
            sum += Long.hashCode(draw(fact.subject(), fact.version(), 0));
        }
        return (sum ^ sum >>> 16) & 0xffff;
    }

    /** Publishes an operator's order to the whole fleet, valid from now until the given Unix time in milliseconds. */
    public void issueOrder(int zone, Order.Action what, long untilMillis) {
        Order before = zones[zone].order;
        peers.publish(new Order(zone, what, untilMillis, Course.epoch(before == null ? 0 : before.epoch(), unixMillis), self()).fact());
    }

    /** Returns the state of all zones and members for operators. */
    public ZoneStatus status() {
        List<ZoneStatus.OfZone> all = new ArrayList<>();
        for (int z = 0; z < zones.length; z++) {
            List<ZoneStatus.From> from = new ArrayList<>();
            for (int v = 0; v < zones.length; v++) {
                Course known = course(z, v);
                Course c = known == null ? Course.in(z, v) : known;
                from.add(new ZoneStatus.From(terms.zones().get(v), c.word(), c.weight(), c.epoch(), c.by(), c.flaps(),
                        judged(z, v).toString()));
            }
            all.add(new ZoneStatus.OfZone(terms.zones().get(z), told(z),
                    ordered(zones[z]), ordered(zones[z]) == Order.Action.NONE ? 0 : zones[z].order.untilMillis(), from));
        }
        int known = orders();
        List<Integer> unheard = new ArrayList<>();
        for (int member = 0; member < peers.roster().size(); member++) {
            Heard h = heard.get(member);
            if (!peers.isAlive(member) || h == null || h.digest.heard() != known) {
                unheard.add(member);
            }
        }
        return new ZoneStatus(peers.roster().self(), peers.living(), peers.roster().size(), peers.health(), all,
                unheard.stream().filter(m -> m != self()).toList(), peers.figures(), unreadable);
    }

    /** Returns the weights applied now, by zone number. */
    public double[] weights() {
        return Arrays.stream(zones).mapToDouble(z -> told(z.course.zone())).toArray();
    }
}
