package cinderhollow.evacuation;

import cinderhollow.evacuation.ZoneAssessment.Verdict;
import cinderhollow.evacuation.ZoneDecision.Phase;
import cinderhollow.peers.Fact;
import cinderhollow.peers.FactKind;
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
 * usually reached the second before the second's wait ends. Of two concurrent decisions the one that {@link ZoneDecision} ranks
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

        /**
         * Sets whether clients should connect here: not while cut off, that is while at most half of the fleet is alive as seen
         * from here and by this gateway's own observations no zone is sound and its own zone is bad.
         */
        void setAcceptingClients(boolean accepting);

        /** Writes a log line for operators. */
        void log(String line);
    }

    static final FactKind DIGEST_KIND = new FactKind(1, false, 2);
    private static final long MS = 1_000_000L, SECOND = 1_000 * MS, NEVER = Long.MIN_VALUE / 2;
    /**
     * Intervals of evaluation while a zone is suspected or evacuated and otherwise; intervals of publishing a digest while a
     * zone is suspected and otherwise.
     */
    private static final long EVALUATION_INTERVAL_NANOS = 25 * MS, IDLE_EVALUATION_INTERVAL_NANOS = 100 * MS,
            URGENT_DIGEST_INTERVAL_NANOS = 100 * MS, DIGEST_INTERVAL_NANOS = SECOND;
    /**
     * Age up to which a digest counts during a suspicion; time in which news reaches the fleet; time of fast gossip after a
     * decision; interval of updating the rate that a warm server can take.
     */
    private static final long URGENT_DIGEST_MAX_AGE_NANOS = 600 * MS, PROPAGATION_NANOS = 100 * MS, FAST_GOSSIP_NANOS = SECOND,
            WARM_RATE_INTERVAL_NANOS = 250 * MS;
    /**
     * Bounds on the digests sent: of a vantage at most this many gateways send urgent digests, which is enough to decide and
     * keeps the traffic from growing with the fleet; and all members together send about this many normal digests per second.
     */
    private static final int MAX_URGENT_REPORTERS = 16, MAX_DIGESTS_PER_SECOND = 100;
    /**
     * Attempts that ended this shortly before a suspicion still count for it; an unconfirmed suspicion ends after
     * the second constant's time.
     */
    private static final long SUSPICION_LOOKBACK_NANOS = 300 * MS, SUSPICION_TIMEOUT_NANOS = 2 * SECOND;
    /**
     * How long a condition must hold before a decision, so that at least two evaluations see it; the additional wait of each
     * later decider; the bound of that additional wait.
     */
    private static final long CONFIRMATION_NANOS = 50 * MS, DECIDER_DELAY_NANOS = 40 * MS, MAX_DECIDER_DELAY_NANOS = 400 * MS;
    private static final long LEAVE_STEP_INTERVAL_NANOS = 250 * MS, RETURN_STEP_INTERVAL_NANOS = 250 * MS,
            TRIAL_STEP_INTERVAL_NANOS = 3 * SECOND, FLAP_DECAY_NANOS = 60 * SECOND;
    private static final double MIN_TRIAL_WEIGHT = 0.02, MAX_TRIAL_WEIGHT = 0.25, INITIAL_RETURN_WEIGHT = 0.25,
            RETURN_GROWTH_FACTOR = 2, MIN_IN_USE_WEIGHT = 0.5;
    /**
     * Utilisation up to which other zones are filled; ratio of attempts answered in time below which a zone counts as dead;
     * utilisation assumed at least when the capacity of a warm server is estimated.
     */
    private static final double MAX_FILL_RATIO = 0.9, MIN_IN_TIME_RATIO = 0.1, MIN_ASSUMED_UTILISATION = 0.25;
    /** Requests per second that a vantage sends in a trial; failures that end it if at least half of the attempts fail. */
    private static final double TRIAL_REQUESTS_PER_SECOND = 10, TRIAL_FAILURE_LIMIT = 3;
    /**
     * Number of holds after which a vantage tries a zone without news from that zone's own gateways; and the divisor of the
     * time since the zone was left that gives the least length of a hold.
     */
    private static final int INDEPENDENT_TRIAL_HOLDS = 8, OUT_TIME_DIVISOR = 8;
    /**
     * Digests give utilisation in units of one part in so many; attempts sought of a vantage, shared by its living gateways, and
     * of each gateway at least, by which the length of the window is chosen; failures from which a zone may be suspected, and
     * attempts from which it counts as tried.
     */
    private static final int UTILISATION_SCALE = 200, MIN_ATTEMPTS_PER_VANTAGE = 30, MIN_ATTEMPTS_PER_GATEWAY = 3,
            MIN_SUSPICIOUS_FAILURES = 2;
    /**
     * Weight at most of a zone that this gateway alone avoids, of which twice the value is also the threshold at which a step
     * down goes to its target at once; change of a weight from which weights are passed on; part of the newest value in a
     * smoothed rate.
     */
    private static final double RESIDUAL_WEIGHT = 0.05, MIN_WEIGHT_CHANGE = 0.005, RATE_SMOOTHING_FACTOR = 0.3;

    private record ReceivedDigest(Digest digest, long receivedAtNanos) { }

    /** State of one zone at this gateway. */
    private static final class Zone {
        private ZoneDecision decision;
        private long adoptedAtNanos;
        private long phaseSinceNanos = NEVER;
        /** Whether the zone's own gateways had left it; when it was left; when its own gateways were seen to return to it. */
        private boolean residentsWereOut;
        private long leftAtNanos = NEVER, residentsReturnedAtNanos = NEVER;
        private long suspectedSinceNanos = NEVER, suspicionConfirmedAtNanos;
        /** Time since which the condition of the next step holds, or NEVER. */
        private long stepDueSinceNanos = NEVER;
        private Order order;
        private double orderedWeight = 1;
        private long orderSteppedAtNanos;
        private long avoidedUntilNanos = NEVER;
        private int serverCount;
        /** Whether all servers of the zone were gone from the list and some are listed again: new or restarted ones. */
        private boolean serversReplaced;
        /** Assessment at the last evaluation. */
        private ZoneAssessment evidence = ZoneAssessment.of(0, 0, List.of());
    }

    private final EvacuationSettings settings;
    private final Peers peers;
    private final Callbacks callbacks;
    private final AttemptWindow attemptWindow;
    private final TrafficObserver traffic;
    private final Zone[] zones;
    private final Map<Integer, ReceivedDigest> receivedDigests = new HashMap<>();
    /** Vantage (number of the own zone) of each member that has published a digest. */
    private final Map<Integer, Integer> vantageByMember = new HashMap<>();
    private Map<String, Double> appliedWeights = Map.of();
    private double appliedWarmServerRate;
    private boolean acceptingClients = true;
    private long now, unixMillis, evaluateAtNanos, publishedAtNanos = NEVER, ratesUpdatedAtNanos = NEVER,
            warmRateUpdatedAtNanos = NEVER;
    private long previousArrivalCount, previousWarmServedCount, lastDigestVersion;
    private double arrivalRate, warmServedRate;
    private boolean loopLate;
    private Digest ownDigest;
    private long unreadableFacts;

    /** Creates the evacuation of a member that knows no others yet; the start time in Unix milliseconds is its generation. */
    public Evacuation(EvacuationSettings settings, Rules rules, Roster roster, GossipSettings gossipSettings, long seed,
            long generationMillis, Callbacks callbacks) {
        this.settings = settings;
        this.callbacks = callbacks;
        attemptWindow = new AttemptWindow(settings.zones().size());
        traffic = new TrafficObserver(settings.zones(), rules, attemptWindow);
        zones = new Zone[settings.zones().size()];
        for (int z = 0; z < zones.length; z++) {
            zones[z] = new Zone();
            zones[z].decision = ZoneDecision.initial(z, settings.vantage());
        }
        peers = new Peers(roster, gossipSettings, List.of(DIGEST_KIND, ZoneDecision.FACT_KIND, Order.FACT_KIND), seed,
                generationMillis, new Peers.Callbacks() {
            @Override
            public void send(int member, byte[] datagram) {
                callbacks.send(member, datagram);
            }

            @Override
            public void onFact(Fact fact) {
                handleFact(fact);
            }

            @Override
            public void onLivenessChanged(int member, boolean alive) {
                callbacks.log("peer=" + member + (alive ? " alive" : " dead") + " living=" + peers.aliveCount());
            }
        });
        vantageByMember.put(roster.self(), settings.vantage());
        ownDigest = new Digest(settings.vantage(), false, 0, 0, 0, List.of());
    }

    /** Returns the observer to notify of requests, attempts and the server list. */
    public TrafficObserver traffic() {
        return traffic;
    }

    AttemptWindow attemptWindow() {
        return attemptWindow;
    }

    /** Returns the number of a zone, or -1 if no zone has this name. */
    public int zoneNumber(String name) {
        return settings.zones().indexOf(name);
    }

    /** Sets whether this gateway's event loop is late, so that its observations are not reliable. */
    public void setLoopLate(boolean isLate) {
        loopLate = isLate;
    }

    /** Handles a datagram received from the address of a member; -1 if the address belongs to no member. */
    public void onDatagram(long nowNanos, long nowUnixMillis, int from, byte[] datagram) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        peers.onDatagram(nowNanos, nowUnixMillis, from, datagram);
    }

    /** Does the work that is due and returns the time in nanoseconds at which the next work is due. */
    public long tick(long nowNanos, long nowUnixMillis) {
        now = nowNanos;
        unixMillis = nowUnixMillis;
        long next = peers.tick(nowNanos, nowUnixMillis);
        if (now >= evaluateAtNanos) {
            evaluate();
            boolean idle = true;
            boolean fastGossip = false;
            for (Zone z : zones) {
                idle &= z.suspectedSinceNanos == NEVER && z.decision.phase() == Phase.IN;
                fastGossip |= z.suspectedSinceNanos != NEVER || now - z.adoptedAtNanos < FAST_GOSSIP_NANOS
                        && z.decision.epoch() > 0;
            }
            peers.setFastGossip(fastGossip);
            evaluateAtNanos = now + (idle ? IDLE_EVALUATION_INTERVAL_NANOS : EVALUATION_INTERVAL_NANOS);
        }
        return Math.min(next, evaluateAtNanos);
    }

    /** Leaves the fleet: tells the other members that this one has ended. */
    public void leaveFleet() {
        peers.leave();
    }

    private void handleFact(Fact fact) {
        try {
            if (fact.kind() == DIGEST_KIND.number()) {
                Digest digest = Digest.read(fact.value(), zones.length);
                receivedDigests.put(fact.subject(), new ReceivedDigest(digest, now));
                vantageByMember.put(fact.subject(), digest.vantage());
                for (Digest.ZoneSummary z : digest.zones()) {
                    if (!digest.localFaultSuspected() && isSuspect(z)) {
                        suspect(z.zone());
                    }
                }
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            unreadableFacts++;
        }
    }

    private static boolean isSuspect(Digest.ZoneSummary z) {
        return z.failures() + z.lateOrFull() >= MIN_SUSPICIOUS_FAILURES && 2 * (z.failures() + z.lateOrFull()) >= z.attempts();
    }

    /**
     * Starts a suspicion of a zone and discards older attempts, since successes from before a fault would hide it. Zones that
     * are out or already suspected are unchanged.
     */
    private void suspect(int zone) {
        Zone z = zones[zone];
        if (z.suspectedSinceNanos == NEVER && z.decision.phase() != Phase.OUT) {
            z.suspectedSinceNanos = now;
            z.suspicionConfirmedAtNanos = now;
            attemptWindow.discardBefore(now - SUSPICION_LOOKBACK_NANOS, zone);
            evaluateAtNanos = Math.min(evaluateAtNanos, now);
            peers.setFastGossip(true);
        }
    }

    // ---- observation

    private void evaluate() {
        updateRates();
        updateServerCounts();
        refreshDigest();
        for (int z = 0; z < zones.length; z++) {
            adopt(z);
            evaluateZone(z);
        }
        updateWeights();
        if (now - warmRateUpdatedAtNanos >= WARM_RATE_INTERVAL_NANOS) {
            warmRateUpdatedAtNanos = now;
            updateWarmServerRate();
        }
    }

    private void updateRates() {
        if (ratesUpdatedAtNanos == NEVER) {
            ratesUpdatedAtNanos = now;
        } else if (now - ratesUpdatedAtNanos >= SECOND) {
            double seconds = (now - ratesUpdatedAtNanos) / (double) SECOND;
            arrivalRate += RATE_SMOOTHING_FACTOR * ((attemptWindow.arrivalCount() - previousArrivalCount) / seconds - arrivalRate);
            warmServedRate += RATE_SMOOTHING_FACTOR * ((attemptWindow.warmServedCount() - previousWarmServedCount) / seconds - warmServedRate);
            previousArrivalCount = attemptWindow.arrivalCount();
            previousWarmServedCount = attemptWindow.warmServedCount();
            ratesUpdatedAtNanos = now;
        }
    }

    private void updateServerCounts() {
        traffic.recount(now);
        for (int z = 0; z < zones.length; z++) {
            int serverCount = traffic.serverCount(z);
            zones[z].serversReplaced |= zones[z].decision.phase() == Phase.OUT && zones[z].serverCount == 0 && serverCount > 0;
            zones[z].serverCount = serverCount;
        }
    }

    private void refreshDigest() {
        int aliveGateways = Math.max(1, aliveCountOf(settings.vantage()));
        Digest.ZoneSummary[] summaries =
                attemptWindow.summarise(now, Math.max(MIN_ATTEMPTS_PER_GATEWAY, MIN_ATTEMPTS_PER_VANTAGE / aliveGateways));
        int zonesTried = 0;
        int zonesFailing = 0;
        for (int z = 0; z < summaries.length; z++) {
            double utilisation = traffic.utilisation(z);
            summaries[z] = summaries[z].withUtilisation(Double.isNaN(utilisation) ? Digest.UNKNOWN_UTILISATION
                    : (int) Math.round(Math.min(1, utilisation) * UTILISATION_SCALE));
            zonesTried += summaries[z].attempts() >= MIN_SUSPICIOUS_FAILURES ? 1 : 0;
            zonesFailing += summaries[z].failures() >= MIN_SUSPICIOUS_FAILURES
                    && 2 * summaries[z].failures() >= summaries[z].attempts() ? 1 : 0;
        }
        // If all zones fail, or the loop is late, the cause is likely local: a starved core, no descriptors, a broken link.
        boolean localFaultSuspected = loopLate || zonesTried > 1 && zonesFailing == zonesTried;
        ownDigest = new Digest(settings.vantage(), localFaultSuspected, ordersHash(), (int) Math.round(arrivalRate),
                (int) Math.round(warmServedRate), List.of(summaries));
        if (!localFaultSuspected) {
            int[] failuresSinceGood = attemptWindow.countFailuresSinceGood(now);
            for (Digest.ZoneSummary z : summaries) {
                if (isSuspect(z) || failuresSinceGood[z.zone()] >= MIN_SUSPICIOUS_FAILURES) {
                    suspect(z.zone());
                }
            }
        }
        boolean urgent = false;
        for (int z = 0; z < zones.length; z++) {
            urgent |= zones[z].suspectedSinceNanos != NEVER && summaries[z].attempts() > 0
                    && deciderRank(z, 0) < MAX_URGENT_REPORTERS;
        }
        if (now - publishedAtNanos >= (urgent ? URGENT_DIGEST_INTERVAL_NANOS : digestIntervalNanos())) {
            publishedAtNanos = now;
            Fact before = peers.fact(DIGEST_KIND.number(), self());
            lastDigestVersion = Math.max(Math.max(lastDigestVersion, before == null ? 0 : before.version()) + 1, unixMillis);
            peers.publish(new Fact(DIGEST_KIND.number(), self(), lastDigestVersion, ownDigest.write()));
        }
        receivedDigests.put(self(), new ReceivedDigest(ownDigest, now));
    }

    private long digestIntervalNanos() {
        return DIGEST_INTERVAL_NANOS * Math.max(1, peers.aliveCount() / MAX_DIGESTS_PER_SECOND);
    }

    private int self() {
        return peers.roster().self();
    }

    final int aliveCountOf(int vantage) {
        return (int) vantageByMember.entrySet().stream().filter(e -> e.getValue() == vantage && peers.isAlive(e.getKey()))
                .count();
    }

    /** Returns this gateway's rank for a zone and epoch: the number of living gateways of its vantage that come before it. */
    private int deciderRank(int zone, long epoch) {
        long mine = hash(zone, epoch, self());
        int before = 0;
        for (Map.Entry<Integer, Integer> e : vantageByMember.entrySet()) {
            boolean counts = e.getValue() == settings.vantage() && e.getKey() != self() && peers.isAlive(e.getKey());
            before += counts && hash(zone, epoch, e.getKey()) < mine ? 1 : 0;
        }
        return before;
    }

    private static long hash(int zone, long epoch, int member) {
        // The finaliser of SplitMix64: the order of the members differs from one zone and epoch to the next.
        // The constant serves only as a factor that keeps the zones of one epoch apart. A build with another value would order
        // the deciders differently from its peers and have other hashes of the orders.
        long h = (epoch * MAX_DIGESTS_PER_SECOND + zone) * 0x9e3779b97f4a7c15L + member;
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }

    /**
     * Assesses a zone by the fresh digests of the living gateways of a vantage. Fresh here: received within 1.5 digest intervals,
     * and during a suspicion, trial or return more
     * recently. {@link #reportedUtilisation} has another meaning of it.
     */
    private ZoneAssessment assess(int zone, int vantage) {
        Zone z = zones[zone];
        long freshSince = now - 3 * digestIntervalNanos() / 2;
        // During a suspicion digests come often, and older ones may be from before the fault: only the most recent count.
        long since = z.suspectedSinceNanos == NEVER ? freshSince
                : Math.max(Math.max(freshSince, z.suspectedSinceNanos), now - URGENT_DIGEST_MAX_AGE_NANOS);
        if (vantage == settings.vantage() && (z.decision.phase() == Phase.TRYING || z.decision.phase() == Phase.RETURNING)) {
            // Ignores digests that others sent before they knew of the new trial.
            since = Math.max(since, z.phaseSinceNanos + PROPAGATION_NANOS);
        }
        long from = since;
        Collection<Digest> digests = new ArrayList<>();
        receivedDigests.forEach((member, h) -> {
            if (h.digest.vantage() == vantage && h.receivedAtNanos >= from && peers.isAlive(member)) {
                digests.add(h.digest);
            }
        });
        return ZoneAssessment.of(zone, zones[zone].serverCount, digests);
    }

    /** Assesses a zone by this gateway's own digest alone. */
    private ZoneAssessment assessLocally(int zone) {
        return ZoneAssessment.of(zone, zones[zone].serverCount, List.of(ownDigest));
    }

    // ---- decisions

    private void adopt(int zone) {
        Zone z = zones[zone];
        Phase residentPhase = residentPhase(zone);
        if (residentPhase != Phase.RETURNING && residentPhase != Phase.IN) {
            z.residentsReturnedAtNanos = NEVER;
        } else if (z.residentsReturnedAtNanos == NEVER && z.residentsWereOut) {
            z.residentsReturnedAtNanos = now;
        }
        z.residentsWereOut = residentPhase == Phase.OUT || residentPhase == Phase.TRYING || z.residentsWereOut
                && z.decision.phase() != Phase.IN;
        ZoneDecision newest = knownDecision(zone, settings.vantage());
        if (newest != null && (newest.epoch() != z.decision.epoch() || newest.decider() != z.decision.decider())) {
            adoptDecision(z, newest);
        }
        Fact order = peers.fact(Order.FACT_KIND.number(), zone);
        if (order != null) {
            try {
                Order given = Order.read(order, zones.length);
                if (!given.equals(z.order)) {
                    z.order = given;
                    z.orderedWeight = z.decision.weight();
                    z.orderSteppedAtNanos = now;
                    callbacks.log("zone=" + settings.zones().get(zone) + " order=" + given.action().name()
                            .toLowerCase(Locale.ROOT)
                            + " epoch=" + given.epoch() + " by=" + given.issuer());
                }
            } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
                unreadableFacts++;
            }
        }
    }

    private void adoptDecision(Zone z, ZoneDecision newest) {
        boolean phaseChanged = newest.phase() != z.decision.phase();
        z.decision = newest;
        z.serversReplaced &= newest.phase() == Phase.OUT;
        z.adoptedAtNanos = now;
        z.stepDueSinceNanos = NEVER;
        if (phaseChanged) {
            z.phaseSinceNanos = now;
            z.leftAtNanos = newest.phase() == Phase.IN ? NEVER : z.leftAtNanos == NEVER ? now : z.leftAtNanos;
            // Attempts of the previous phase say nothing about the new one.
            z.suspectedSinceNanos = NEVER;
            attemptWindow.discardBefore(now, newest.zone());
            // The evidence is this gateway's last assessment, also where another gateway (by=) decided.
            callbacks.log(String.format(Locale.ROOT,
                    "zone=%s seen-from=%s phase=%s weight=%.2f epoch=%d by=%d flaps=%d evidence=\"%s\"",
                    settings.zones().get(newest.zone()), settings.zones().get(newest.vantage()), newest.phaseName(),
                    newest.weight(),
                    newest.epoch(), newest.decider(), newest.flaps(), z.evidence));
        }
    }

    /**
     * Returns whether a decision to leave this zone applies. Two deciders may leave different zones at the same moment; if
     * more regions are left than the maximum, only those with the lowest numbers are evacuated and the others keep their full
     * weight. Each gateway applies this rule by itself, before a decision confirms it.
     */
    boolean isEvacuated(int zone) {
        int region = settings.regionByZone().get(zone);
        return zones[zone].decision.phase() != Phase.IN
                && countRegions(z -> settings.regionByZone().get(z) < region
                && zones[z].decision.phase() != Phase.IN) < settings.maxRegionsOut();
    }

    /** Returns the number of regions with at least one zone that matches. */
    private int countRegions(IntPredicate which) {
        return (int) IntStream.range(0, zones.length).filter(which).map(settings.regionByZone()::get).distinct().count();
    }

    /** Returns the weight of a zone by automatic decisions, without operators' orders. */
    private double decidedWeight(int zone) {
        return isEvacuated(zone) ? zones[zone].decision.weight() : 1;
    }

    /**
     * Returns whether this gateway alone avoids a zone because of its own observations. Regions left by decision count first
     * towards the maximum of regions out.
     */
    private boolean isAvoided(int zone) {
        int region = settings.regionByZone().get(zone);
        int otherRegions = countRegions(z -> settings.regionByZone().get(z) != region
                && (isEvacuated(z) || z < zone && now < zones[z].avoidedUntilNanos));
        return now < zones[zone].avoidedUntilNanos && otherRegions < settings.maxRegionsOut();
    }

    private Order.Action orderedAction(Zone z) {
        return z.order == null || z.order.untilMillis() <= unixMillis ? Order.Action.NONE : z.order.action();
    }

    private void evaluateZone(int zone) {
        Zone z = zones[zone];
        ZoneAssessment assessment = assess(zone, settings.vantage());
        Verdict verdict = assessment.verdict();
        boolean onTrial = z.decision.phase() == Phase.TRYING;
        if (verdict == Verdict.UNKNOWN && z.suspectedSinceNanos != NEVER && isBadForOthers(zone, !onTrial)) {
            verdict = Verdict.BAD;
        }
        boolean unhealthy = verdict == Verdict.BAD || verdict == Verdict.SLOW;
        if (z.suspectedSinceNanos != NEVER) {
            z.suspicionConfirmedAtNanos = unhealthy ? now : z.suspicionConfirmedAtNanos;
            if (now - z.suspicionConfirmedAtNanos >= SUSPICION_TIMEOUT_NANOS) {
                z.suspectedSinceNanos = NEVER;
            }
        }
        z.evidence = assessment;
        avoidLocally(zone);
        ZoneDecision next = orderedAction(z) != Order.Action.NONE ? null : nextDecision(z, assessment, verdict);
        if (next == null || !mayDecide()) {
            z.stepDueSinceNanos = NEVER;
            return;
        }
        z.stepDueSinceNanos = z.stepDueSinceNanos == NEVER ? now : z.stepDueSinceNanos;
        // Waiting costs little with a slow zone; and if all zones become slow at once, the digests of the others must have
        // arrived before the decision.
        long confirmationNanos = z.decision.phase() != Phase.IN ? 0 : verdict == Verdict.SLOW ? SECOND : CONFIRMATION_NANOS;
        long waitNanos = confirmationNanos
                + Math.min(MAX_DECIDER_DELAY_NANOS, deciderRank(zone, z.decision.epoch()) * DECIDER_DELAY_NANOS);
        if (now - z.stepDueSinceNanos >= waitNanos) {
            ZoneDecision decision = stampEpoch(next);
            peers.publish(decision.toFact());
            adoptDecision(z, decision);
        }
    }

    ZoneDecision stampEpoch(ZoneDecision next) {
        // Exceeds unreadable versions too: they would win at all other gateways, and only this one would follow its decision.
        Fact known = peers.fact(ZoneDecision.FACT_KIND.number(), ZoneDecision.subject(next.zone(), next.vantage()));
        return next.withNextEpoch(known == null ? 0 : known.version(), unixMillis, self());
    }

    /** Returns the newest decision of a vantage, or null if none is known or it is unreadable (made by a newer build). */
    private ZoneDecision knownDecision(int zone, int vantage) {
        Fact fact = peers.fact(ZoneDecision.FACT_KIND.number(), ZoneDecision.subject(zone, vantage));
        try {
            return fact == null ? null : ZoneDecision.read(fact, zones.length);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            unreadableFacts++;
            return null;
        }
    }

    /** Returns the decision that should follow now, or null; it still has the epoch of the current one. */
    private ZoneDecision nextDecision(Zone z, ZoneAssessment assessment, Verdict verdict) {
        ZoneDecision current = z.decision;
        long sinceAdoptedNanos = now - z.adoptedAtNanos;
        if (current.phase() != Phase.IN && !isEvacuated(current.zone())) {
            return current.transitionTo(Phase.IN, 1, current.flaps());
        }
        boolean unhealthy = verdict == Verdict.BAD || verdict == Verdict.SLOW;
        switch (current.phase()) {
            case IN:
                if (unhealthy && mayLeave(current.zone(), verdict)) {
                    boolean flapped = current.epoch() > 0 && sinceAdoptedNanos < FLAP_DECAY_NANOS;
                    return nextLeaveStep(current, assessment, verdict, flapped ? current.flaps() + 1 : current.flaps());
                }
                return current.flaps() > 0 && sinceAdoptedNanos >= FLAP_DECAY_NANOS
                        ? current.transitionTo(Phase.IN, 1, current.flaps() - 1) : null;
            case LEAVING:
                if (verdict == Verdict.SOUND && sinceAdoptedNanos >= SECOND || !mayLeave(current.zone(), verdict)) {
                    return current.transitionTo(Phase.RETURNING, current.weight(), current.flaps());
                }
                return sinceAdoptedNanos >= LEAVE_STEP_INTERVAL_NANOS
                        ? nextLeaveStep(current, assessment, verdict, current.flaps()) : null;
            case OUT:
                if (z.serversReplaced && z.serverCount > 0) {
                    // The list says that the servers are new, so no trial is needed; the cold-server budget limits their load.
                    return current.transitionTo(Phase.RETURNING, MIN_IN_USE_WEIGHT, current.flaps());
                }
                return z.serverCount > 0 && mayTry(z)
                        ? current.transitionTo(Phase.TRYING, Math.max(trialWeight(), current.weight()), current.flaps()) : null;
            case TRYING:
                // The zone was bad before, so that a few failures are enough to end the trial without losing more requests.
                if (unhealthy || assessment.failures() >= TRIAL_FAILURE_LIMIT
                        && 2 * assessment.failures() >= assessment.attempts()) {
                    return current.transitionTo(Phase.OUT, 0, current.flaps());
                } else if (verdict == Verdict.SOUND || z.residentsReturnedAtNanos != NEVER
                        && isSoundForResidents(current.zone())) {
                    return current.transitionTo(Phase.RETURNING, Math.max(INITIAL_RETURN_WEIGHT, current.weight()),
                            current.flaps());
                } else if (sinceAdoptedNanos < TRIAL_STEP_INTERVAL_NANOS) {
                    return null;
                }
                return current.weight() < MAX_TRIAL_WEIGHT
                        ? current.transitionTo(Phase.TRYING, Math.min(MAX_TRIAL_WEIGHT, 2 * current.weight()), current.flaps())
                        : current.transitionTo(Phase.RETURNING, MAX_TRIAL_WEIGHT, current.flaps());
            default:
                if (verdict == Verdict.BAD) {
                    return current.transitionTo(Phase.OUT, 0, current.flaps() + 1);
                } else if (sinceAdoptedNanos < RETURN_STEP_INTERVAL_NANOS) {
                    return null;
                } else if (verdict == Verdict.SLOW) {
                    return current.weight() > MIN_TRIAL_WEIGHT
                            ? current.transitionTo(Phase.RETURNING, Math.max(MIN_TRIAL_WEIGHT, current.weight() / 2),
                            current.flaps()) : null;
                }
                double increased = current.weight() * RETURN_GROWTH_FACTOR;
                return increased >= 1 ? current.transitionTo(Phase.IN, 1, current.flaps())
                        : current.transitionTo(Phase.RETURNING, increased, current.flaps());
        }
    }

    private long holdNanos(Zone z) {
        long doubledNanos = settings.holdNanos() << Math.min(20, z.decision.flaps());
        return Math.min(settings.maxHoldNanos(), Math.max(doubledNanos, (now - z.leftAtNanos) / OUT_TIME_DIVISOR));
    }

    /**
     * Returns whether a trial of a zone that is out may begin. The zone's own gateways are nearest and try it first, so that a
     * dead zone is not tried from everywhere. The others follow once those return to it, and try on their own if those never
     * left the zone, are all dead, or take too long.
     */
    private boolean mayTry(Zone z) {
        int zone = z.decision.zone();
        long sinceAdoptedNanos = now - z.adoptedAtNanos;
        boolean goesFirst = zone == settings.vantage() || aliveCountOf(zone) == 0 || residentPhase(zone) == Phase.IN
                && !z.residentsWereOut;
        return goesFirst ? sinceAdoptedNanos >= holdNanos(z) : z.residentsReturnedAtNanos != NEVER && z.decision.flaps() == 0
                || sinceAdoptedNanos >= INDEPENDENT_TRIAL_HOLDS * holdNanos(z)
                || z.residentsReturnedAtNanos != NEVER && sinceAdoptedNanos >= holdNanos(z);
    }

    /** Returns the phase of a zone as decided by its own gateways. */
    private Phase residentPhase(int zone) {
        ZoneDecision decision = knownDecision(zone, zone);
        return decision == null ? Phase.IN : decision.phase();
    }

    /** Returns the weight of a trial: enough traffic for an assessment within part of a second, so that few requests are lost. */
    private double trialWeight() {
        double vantageArrivalRate = 0;
        for (ReceivedDigest h : receivedDigests.values()) {
            vantageArrivalRate += h.digest.vantage() == settings.vantage()
                    && now - h.receivedAtNanos < 3 * digestIntervalNanos() ? h.digest.arrivalRate() : 0;
        }
        return Math.max(MIN_TRIAL_WEIGHT,
                Math.min(MAX_TRIAL_WEIGHT, TRIAL_REQUESTS_PER_SECOND / Math.max(1, vantageArrivalRate)));
    }

    /** Returns the next step down, toward the weight of the traffic for which the other zones have no room. */
    private ZoneDecision nextLeaveStep(ZoneDecision current, ZoneAssessment assessment, Verdict verdict, int flaps) {
        double inTimeRatio = verdict == Verdict.BAD && assessment.attempts() == 0 ? 0 : assessment.inTimeRatio();
        double target = inTimeRatio < MIN_IN_TIME_RATIO ? 0 : inTimeRatio * overflowRatio(current.zone());
        // Requests to a failing zone are mostly lost, so it is left at once; traffic of a slow zone moves step by step.
        double step = verdict == Verdict.BAD ? target : Math.max(target, current.weight() / 2);
        boolean atTarget = step - target < 2 * RESIDUAL_WEIGHT;
        return current.transitionTo(atTarget ? Phase.OUT : Phase.LEAVING, atTarget ? target : step, flaps);
    }

    /** Returns the part of a zone's traffic, 0 to 1, for which the others have no room by the reported utilisation. */
    private double overflowRatio(int zone) {
        double movedLoad = traffic.warmCapacity(zone) * reportedUtilisation(zone);
        double spareCapacity = 0;
        for (int z = 0; z < zones.length; z++) {
            spareCapacity += z == zone || appliedWeight(z) < MIN_IN_USE_WEIGHT ? 0
                    : traffic.warmCapacity(z) * Math.max(0, MAX_FILL_RATIO - reportedUtilisation(z));
        }
        return movedLoad <= 0 ? 0 : Math.max(0, Math.min(1, (movedLoad - spareCapacity) / movedLoad));
    }

    /**
     * Returns the mean utilisation of a zone by all fresh digests, or 0 if none reports it, so that all traffic may move. Fresh
     * here: received within 3 digest intervals, of dead members too. {@link #assess} has another meaning of it.
     */
    private double reportedUtilisation(int zone) {
        double sum = 0;
        int count = 0;
        for (ReceivedDigest h : receivedDigests.values()) {
            Digest.ZoneSummary z = h.digest.findZone(zone);
            if (z != null && z.scaledUtilisation() != Digest.UNKNOWN_UTILISATION
                    && now - h.receivedAtNanos < 3 * digestIntervalNanos()) {
                sum += (double) z.scaledUtilisation() / UTILISATION_SCALE;
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    /** Returns whether more than half of this vantage's gateways are alive: a minority that is cut off must not decide. */
    boolean mayDecide() {
        int expectedGateways = Math.max(settings.gatewaysByZone().get(settings.vantage()),
                (int) vantageByMember.values().stream().filter(v -> v == settings.vantage()).count());
        return 2 * aliveCountOf(settings.vantage()) > expectedGateways;
    }

    /**
     * Returns whether a zone may be left. At most the set number of regions are left, in part or as a whole, and only if a zone
     * of another region is better. That zone must not be slow or failing by its own gateways. To leave a failing zone, it must
     * answer at least half in time as seen from here, or be unknown here and sound by its own gateways. To leave a slow zone,
     * it must be sound as seen from here: if all zones are late there is too much load and no better place.
     */
    private boolean mayLeave(int zone, Verdict verdict) {
        int region = settings.regionByZone().get(zone);
        boolean hasAlternative = false;
        for (int z = 0; z < zones.length; z++) {
            if (settings.regionByZone().get(z) != region && !isEvacuatedOrOrderedOut(z)) {
                ZoneAssessment here = assess(z, settings.vantage());
                Verdict residentVerdict = assess(z, z).verdict();
                boolean better = verdict == Verdict.SLOW ? here.verdict() == Verdict.SOUND
                        : here.isServing() || here.verdict() == Verdict.UNKNOWN && residentVerdict == Verdict.SOUND;
                hasAlternative |= residentVerdict != Verdict.BAD && residentVerdict != Verdict.SLOW && better;
            }
        }
        return hasAlternative && countRegions(z -> settings.regionByZone().get(z) != region
                && isEvacuatedOrOrderedOut(z)) < settings.maxRegionsOut();
    }

    /**
     * Returns whether a zone is left, by automatic decision or by an operator's order. The maximum of regions out is ignored:
     * a decision counts also where {@link #isEvacuated} does not apply it.
     */
    private boolean isEvacuatedOrOrderedOut(int zone) {
        return zones[zone].decision.phase() != Phase.IN || orderedAction(zones[zone]) == Order.Action.LEAVE;
    }

    /** Returns whether another zone is sound by its own gateways, so that a vantage with few attempts there can rely on them. */
    private boolean isSoundForResidents(int zone) {
        return zone != settings.vantage() && assess(zone, zone).verdict() == Verdict.SOUND;
    }

    /**
     * Returns whether the other vantages show that a zone fails, so that a vantage with too few attempts there need not try it.
     * None of them but perhaps the zone's own calls it sound, and at least two of them call it bad or have decided to stay out,
     * or the zone's own gateways have left it and all attempts from here, by at least two gateways, failed.
     *
     * @param countDecisions whether decisions of others to stay out count; not during a trial, or each would stay out
     *     because of the others
     */
    private boolean isBadForOthers(int zone, boolean countDecisions) {
        int vantagesAgainst = 0;
        for (int v = 0; v < zones.length; v++) {
            if (v != settings.vantage()) {
                Verdict verdict = assess(zone, v).verdict();
                vantagesAgainst += verdict == Verdict.BAD || countDecisions && isOutFrom(zone, v) ? 1 : 0;
                if (verdict == Verdict.SOUND && v != zone) {
                    return false;
                }
            }
        }
        // The zone's own gateways have left it, and all attempts from here, by at least two gateways, failed.
        ZoneAssessment here = assess(zone, settings.vantage());
        return vantagesAgainst >= 2 || countDecisions && isOutFrom(zone, zone) && here.voters() >= 2
                && here.failures() == here.attempts();
    }

    private boolean isOutFrom(int zone, int vantage) {
        ZoneDecision decision = knownDecision(zone, vantage);
        return decision != null && decision.phase() == Phase.OUT;
    }

    /**
     * Avoids a failing zone for one hold by this gateway's own observations, if too few gateways of its vantage are alive to
     * decide.
     */
    private void avoidLocally(int zone) {
        if (mayDecide() || ownDigest.localFaultSuspected() || now < zones[zone].avoidedUntilNanos) {
            return;
        }
        boolean hasAlternative = false;
        for (int z = 0; z < zones.length; z++) {
            hasAlternative |= z != zone && now >= zones[z].avoidedUntilNanos && assessLocally(z).verdict() == Verdict.SOUND;
        }
        if (hasAlternative && assessLocally(zone).verdict() == Verdict.BAD) {
            // The maximum of regions out may still keep this from taking effect, see isAvoided.
            zones[zone].avoidedUntilNanos = now + settings.holdNanos();
            attemptWindow.discardBefore(now, zone);
            callbacks.log("zone=" + settings.zones().get(zone)
                    + " avoided by this gateway alone: it hears too few to decide, and saw "
                    + assessLocally(zone));
        }
    }

    // ---- effects on this gateway

    private void updateWeights() {
        Map<String, Double> weights = new LinkedHashMap<>();
        boolean changed = appliedWeights.isEmpty();
        for (int z = 0; z < zones.length; z++) {
            double weight = nextWeight(z);
            String name = settings.zones().get(z);
            weights.put(name, weight);
            changed = changed || Math.abs(weight - appliedWeights.get(name)) > MIN_WEIGHT_CHANGE || weight == 1
                    && appliedWeights.get(name) != 1;
        }
        if (changed) {
            appliedWeights = Map.copyOf(weights);
            callbacks.setZoneWeights(appliedWeights);
        }
        boolean cutOff = 2 * peers.aliveCount() <= peers.roster().size();
        for (int z = 0; z < zones.length; z++) {
            cutOff &= assessLocally(z).verdict() != Verdict.SOUND;
        }
        cutOff &= assessLocally(settings.vantage()).verdict() == Verdict.BAD;
        if (cutOff == acceptingClients) {
            acceptingClients = !cutOff;
            callbacks.setAcceptingClients(acceptingClients);
            callbacks.log(cutOff ? "cut off: at most half of the fleet is alive, no zone is sound and the own zone is bad: "
                    + "clients are sent to other gateways"
                    : "no longer cut off: clients are accepted again");
        }
    }

    private double appliedWeight(int zone) {
        return appliedWeights.getOrDefault(settings.zones().get(zone), 1.0);
    }

    private double nextWeight(int zone) {
        Zone z = zones[zone];
        switch (orderedAction(z)) {
            case LEAVE:
                if (now - z.orderSteppedAtNanos >= LEAVE_STEP_INTERVAL_NANOS) {
                    z.orderedWeight = z.orderedWeight <= 2 * RESIDUAL_WEIGHT ? 0 : z.orderedWeight / 2;
                    z.orderSteppedAtNanos = now;
                }
                return z.orderedWeight;
            case RETURN:
                if (now - z.orderSteppedAtNanos >= RETURN_STEP_INTERVAL_NANOS) {
                    z.orderedWeight = Math.min(1, Math.max(INITIAL_RETURN_WEIGHT, z.orderedWeight) * RETURN_GROWTH_FACTOR);
                    z.orderSteppedAtNanos = now;
                }
                return z.orderedWeight;
            default:
                return isAvoided(zone) ? Math.min(RESIDUAL_WEIGHT, decidedWeight(zone)) : decidedWeight(zone);
        }
    }

    /** Updates the rate that a warm server can take, from the rates of the whole fleet and this gateway's part of the traffic. */
    private void updateWarmServerRate() {
        double fleetArrivalRate = 0;
        double fleetWarmServedRate = 0;
        int reporters = 0;
        for (Map.Entry<Integer, ReceivedDigest> e : receivedDigests.entrySet()) {
            if (now - e.getValue().receivedAtNanos < 3 * digestIntervalNanos() && peers.isAlive(e.getKey())) {
                fleetArrivalRate += e.getValue().digest.arrivalRate();
                fleetWarmServedRate += e.getValue().digest.warmServedRate();
                reporters++;
            }
        }
        double warmCapacity = 0;
        double usedCapacity = 0;
        for (int z = 0; z < zones.length; z++) {
            if (appliedWeight(z) >= MIN_IN_USE_WEIGHT) {
                warmCapacity += traffic.warmCapacity(z);
                double utilisation = reportedUtilisation(z);
                // 0 may mean unknown and counts as full.
                usedCapacity += traffic.warmCapacity(z) * Math.max(MIN_ASSUMED_UTILISATION, utilisation == 0 ? 1 : utilisation);
            }
        }
        double warmServerRate = 0;
        if (2 * reporters > peers.aliveCount() && reporters > 1 && fleetArrivalRate > 0 && warmCapacity > 0 && usedCapacity > 0) {
            double ratePerWarmServer = fleetWarmServedRate / usedCapacity * peers.aliveCount() / reporters;
            warmServerRate = ratePerWarmServer * trafficShare(fleetArrivalRate, reporters);
        }
        // Passed on only if it differs by more than a third of the smoothing factor, a tenth, from the rate applied now.
        if (Math.abs(warmServerRate - appliedWarmServerRate) > appliedWarmServerRate * RATE_SMOOTHING_FACTOR / 3) {
            appliedWarmServerRate = warmServerRate;
            callbacks.setWarmServerRate(warmServerRate);
        }
    }

    /** Returns this gateway's part of the traffic of all reporting members, at least a quarter of the mean part. */
    double trafficShare(double fleetArrivalRate, int reporters) {
        return Math.max(arrivalRate, fleetArrivalRate / reporters / 4) / fleetArrivalRate;
    }

    // ---- operators

    private int ordersHash() {
        int sum = 0;
        for (Fact fact : peers.facts(Order.FACT_KIND)) {
            sum += Long.hashCode(hash(fact.subject(), fact.version(), 0));
        }
        return (sum ^ sum >>> 16) & 0xffff;
    }

    /** Publishes an operator's order to the whole fleet, valid from now until the given Unix time in milliseconds. */
    public void issueOrder(int zone, Order.Action action, long untilMillis) {
        Order before = zones[zone].order;
        peers.publish(new Order(zone, action, untilMillis,
                ZoneDecision.nextEpoch(before == null ? 0 : before.epoch(), unixMillis), self()).toFact());
    }

    /** Returns the state of all zones and members for operators. */
    public ZoneStatus status() {
        List<ZoneStatus.ZoneEntry> zoneEntries = new ArrayList<>();
        for (int z = 0; z < zones.length; z++) {
            List<ZoneStatus.VantageEntry> vantageEntries = new ArrayList<>();
            for (int v = 0; v < zones.length; v++) {
                ZoneDecision known = knownDecision(z, v);
                ZoneDecision c = known == null ? ZoneDecision.initial(z, v) : known;
                vantageEntries.add(new ZoneStatus.VantageEntry(settings.zones().get(v), c.phaseName(), c.weight(), c.epoch(),
                        c.decider(), c.flaps(),
                        assess(z, v).toString()));
            }
            zoneEntries.add(new ZoneStatus.ZoneEntry(settings.zones().get(z), appliedWeight(z),
                    orderedAction(zones[z]), orderedAction(zones[z]) == Order.Action.NONE ? 0 : zones[z].order.untilMillis(),
                    vantageEntries));
        }
        int known = ordersHash();
        List<Integer> unconfirmed = new ArrayList<>();
        for (int member = 0; member < peers.roster().size(); member++) {
            ReceivedDigest h = receivedDigests.get(member);
            if (!peers.isAlive(member) || h == null || h.digest.ordersHash() != known) {
                unconfirmed.add(member);
            }
        }
        return new ZoneStatus(peers.roster().self(), peers.aliveCount(), peers.roster().size(), peers.healthScore(), zoneEntries,
                unconfirmed.stream().filter(m -> m != self()).toList(), peers.counters(), unreadableFacts);
    }

    /** Returns the weights applied now, by zone number. */
    public double[] weights() {
        return Arrays.stream(zones).mapToDouble(z -> appliedWeight(z.decision.zone())).toArray();
    }
}
