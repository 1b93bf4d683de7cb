package cinderhollow.policy;

import cinderhollow.policy.Protocol.*;
import cinderhollow.policy.State.*;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Makes all decisions of one gateway: which server gets a request, whether it is retried, and what is shed. Its interface
 * (settings, events, actions) is {@link Protocol}; the state that it keeps is held by the classes of {@link State}.
 *
 * <p>The normal path is the load-shifting algorithm (section 4.1, Algorithm 1 of the paper in the design documents), which each
 * gateway runs over its own attempts: each server has a share, a server is drawn at random in proportion to its share, and a
 * multiplicative step with renormalisation updates the shares. The draw weight of a server is its share times a number of gates.
 * A gate is a factor of at most 1, which falls under the condition that its method describes; the queue gate is 1 only up to
 * half of the usual latency. Every send is checked by {@link #maySend}, every refusal by {@link RetryRules#mayRefuse}. The class
 * is single-threaded, reads no clock and takes all randomness from one seed.
 */
public final class LoadBalancer {
    /** The algorithm's learning rate. Its interval is a fifth of the paper's, to tell unlike machines apart within seconds. */
    private static final double LEARNING_RATE = 0.2;
    private static final long TICK_NANOS = 1_000_000_000L;
    /** One update at most halves a share; none falls below this part of the equal share, so that updates can raise it again. */
    private static final double MIN_STEP_FACTOR = 0.5, MIN_SHARE_RATIO = 0.05;
    /** Weight, in samples, of the prior of a server's mean latency: latencies deviate by about as much as their mean. */
    private static final double PRIOR_SAMPLES = 5;
    /** Factor by which the weight of samples decays with each tick: about five ticks count, which is the paper's interval. */
    private static final double TICK_DECAY_FACTOR = 0.8;
    /** Weight of the newest sample in a server's recent latency; time constant of its return to 1: a queue lasts for seconds. */
    private static final double RECENT_LATENCY_WEIGHT = 0.65, QUEUE_DECAY_NANOS = 8e9;
    /** Greatest relative latency without a queue; exponent of the queue gate's fall beyond it; bound on a single sample. */
    private static final double NO_QUEUE_LATENCY_RATIO = 0.5, QUEUE_GATE_EXPONENT = 5, MAX_RELATIVE_LATENCY = 4;
    /** Fraction of a class's aim that an answer should take. The rest is for holding the request, a retry and long work. */
    private static final double BUDGET_AIM_FRACTION = 0.2;
    private static final double LATE_AIM_FRACTION = OverdueAttempts.LATE_AIM_FRACTION;
    /** Upper bound, as a fraction of the aim, on the estimated time of a request: a fresh one is never taken to miss its aim. */
    private static final double MAX_WORK_AIM_FRACTION = 0.9;
    /** Least in-flight limit over all gateways (one in work, one coming, one waiting); initial limit (see adjustLimit). */
    private static final double MIN_IN_FLIGHT = 3, INITIAL_IN_FLIGHT = 1;
    /** Standard deviations above its mean that a Poisson count rarely exceeds. */
    private static final double POISSON_DEVIATIONS = 2;
    /** Weight of the newest answer in a server's failure rate: about the last five answers count. */
    private static final double HEALTH_SAMPLE_WEIGHT = 0.2;
    /**
     * A server is suspect from the first failure rate on, which two quick failures reach if at most two answers are between them
     * (unlikely by chance), and fails nearly always from the second on. The rates decay slowly enough to outlast several trials.
     */
    private static final double SUSPECT_FAILURE_RATE = 0.3, CERTAIN_FAILURE_RATE = 0.85, FAILURE_DECAY_NANOS = 20e9;
    /** Error rate of a class at one server from which on the server is taken as unable to serve that class. */
    private static final double FAILING_CLASS_ERROR_RATE = 0.5;
    /** Interval of a suspect server's trials, which show its recovery, over up to 20 gateways: each one pauses 20 s at most. */
    private static final long TRIAL_INTERVAL_NANOS = 1_000_000_000L;
    /** Fraction of what the rule on cold servers allows that is used. The rest is for other gateways and long work. */
    private static final double COLD_SAFETY_FACTOR = 0.5;
    /** Retry budget: tokens that a request adds, and the most it holds. One retry for ten requests prevents a retry storm. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1, MAX_RETRY_TOKENS = 10;
    /** Change of the pressure by a late answer and by one in time: it is in balance where two answers in five are late. */
    private static final double LATE_PRESSURE_STEP = 0.045, IN_TIME_PRESSURE_STEP = 0.03;
    /**
     * Pressure from which on requests are shed; below it, pressure only opens the other zones. Minimum pressure of a fleet in one
     * zone, which has no others to open; below 1, so that random variation alone sheds nothing.
     */
    private static final double SHED_START_PRESSURE = 1, ONE_ZONE_MIN_PRESSURE = 0.9;
    /** Minimum gate of other zones' servers; minimum base of the admission power (see shouldShed), so low priorities get less. */
    private static final double MIN_CROSS_ZONE_FRACTION = 1e-3, MIN_ADMITTED_FRACTION = 0.05;
    /** Fraction of the servers' idle timeout for which an idle connection counts as reusable. */
    private static final double REUSABLE_IDLE_FRACTION = 0.6;
    /** Exponent of the gate of servers without a reusable connection; minimum of that gate and of a zone's weight. */
    private static final double NEW_CONNECTION_GATE_EXPONENT = 3, MIN_GATE = 1e-6;
    /** A zone whose weight rises to this value or above counts as returned to service. */
    private static final double ZONE_RETURNED_WEIGHT = 0.01;
    /** Maximum number of unsuccessful draws for retries in one dispatch; further retries wait for the next event. */
    private static final int MAX_SKIPPED_RETRIES = 8;
    /** Interval of the checks of held requests and overdue attempts; it is short against any aim. */
    private static final long SWEEP_INTERVAL_NANOS = 10_000_000L;
    /**
     * Up to the first number of servers, a draw scans all of them. In a larger fleet, picks by share are tried first: the second
     * number of them, or the number of servers divided by the third if that is more.
     */
    private static final int SMALL_FLEET_SIZE = 64, MIN_PICKS = 32, PICKS_FLEET_DIVISOR = 16;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long SHARE_UPDATE_TOKEN = 1, SWEEP_TOKEN = 2, SUBSCRIBE_TOKEN = 3;

    private Settings settings;
    private Rules rules;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepIntervalNanos;
    private final Map<String, ClassState> classStates = new LinkedHashMap<>();
    private final Map<String, Quota> quotas = new HashMap<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Server> readyServers = new ArrayList<>();
    /** Latency samples by zone and machine type, added up over their servers: this tick's and decayed ones of earlier ticks. */
    private final Map<String, LatencySamples> samplesByZoneAndType = new HashMap<>();
    private final Map<String, Request> openRequests = new LinkedHashMap<>();
    /** Requests without a server, by descending priority; among equals, the one that was held last comes first. */
    private final TreeSet<Request> heldRequests = new TreeSet<>(LoadBalancer::comparePriority);
    private Map<String, Double> zoneWeights = Map.of();
    /** {@code requestRatePerServer} is a slowly decaying peak; the method of that name is its maximum with this tick's rate. */
    private double limitSum = 1, reportedWarmServerRate, observedWarmServerRate, latencyToBudgetRatio, requestRatePerServer, retryTokens =
            MAX_RETRY_TOKENS, pressure, minPressure, maxPriority;
    /** Numbers of gateways that share each server and of this gateway's overlapping processes, sharing quotas and budgets. */
    private int gatewaysPerServer, processes = 1;
    private int inFlight, suspectCount, arrivals, refusals, servedByWarm, failedListCalls;
    private long now, tickStart, shutdownDeadline = Long.MAX_VALUE;
    /** Actions of timers that belong to single requests, by timer token. */
    private final Map<Long, Runnable> timerTasks = new HashMap<>();
    private long lastToken = SUBSCRIBE_TOKEN;
    private final Shares shares = new Shares();
    private final UploadProgress uploads = new UploadProgress(new UploadProgress.Places() {
        @Override
        public void take(Attempt attempt) {
            markInFlight(attempt);
        }

        @Override
        public void release(Attempt attempt) {
            releasePlace(attempt);
        }
    });
    private final OverdueAttempts overdueAttempts = new OverdueAttempts(new OverdueAttempts.Listener() {
        @Override
        public void onLost(Attempt attempt) {
            markLost(attempt);
        }

        @Override
        public void onSilent(Server server, int overdue) {
            suspects.add(server);
            actions.log("server " + server.info.id() + " is silent: no answer to " + overdue + " overdue attempts, now suspect");
        }
    });
    /** Servers in warm-up, whose effective in-flight limits rise with time. */
    private final Set<Server> warmingServers = new LinkedHashSet<>();
    /** Number of servers that draws have examined so far; tests read it. */
    long examinedServers;
    /** Servers that have or lately had attempts in flight (large fleets only); servers that are or lately were suspect. */
    private final Set<Server> busyServers = new LinkedHashSet<>(), suspects = new LinkedHashSet<>();
    /** Sum of a large fleet's effective in-flight limits as they move; added up anew with the shares to bound rounding errors. */
    private double largeFleetLimitSum;
    /** The same sum as if every server were warm and its zone had the weight 1. */
    private double largeFleetWarmLimitSum;
    /** Sequence number of the request that was held last. */
    private long lastHoldSequence;
    /** Sum of the effective in-flight limits of the servers that the last scan examined. */
    private double scannedLimitSum;
    /** Servers that ended an attempt since a scan of the whole fleet found no server with room; null without such a scan. */
    private Set<Server> freedServers;
    private final Set<ClassState> classesWithoutRoom = new HashSet<>();
    /** Whether a reusable connection is preferred in this tick; a large fleet's {@link #shares} then keeps such servers apart. */
    private boolean reusableFirst;
    private boolean started, sweepScheduled;

    /** Creates the module of a gateway that knows its settings only; the server list arrives as an event. */
    public LoadBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        rules = settings.rules();
        random = new SplittableRandom(seed);
        gatewaysPerServer = settings.gateways();
        sweepIntervalNanos = Math.max(settings.timerResolutionNanos(), SWEEP_INTERVAL_NANOS);
        loadClassesAndTenants();
    }

    private void loadClassesAndTenants() {
        for (RequestClass c : settings.classes()) {
            classStates.put(c.name(), new ClassState(c, c.aimNanos() * BUDGET_AIM_FRACTION));
        }
        for (Tenant t : settings.tenants()) {
            double quotaPerGateway = t.quotaPerSecond() / settings.gateways();
            Quota previous = quotas.get(t.name());
            quotas.put(t.name(), new Quota(quotaPerGateway, previous == null ? new TokenBucket(quotaPerGateway, now) : previous.bucket()));
        }
    }

    /** Applies other settings. Open requests keep their class; what was learned of a class stays, even if its figures change. */
    private void applySettings(Settings next) {
        Map<String, ClassState> previous = new HashMap<>(classStates);
        gatewaysPerServer = gatewaysPerServer == settings.gateways() * processes ? next.gateways() * processes : gatewaysPerServer;
        settings = next;
        rules = next.rules();
        classStates.clear();
        // A tenant's token bucket is kept: otherwise each reload would fill its quota anew.
        quotas.keySet().retainAll(next.tenants().stream().map(Tenant::name).toList());
        classesWithoutRoom.clear();
        loadClassesAndTenants();
        previous.forEach((name, old) -> classStates.computeIfPresent(name, (same, fresh) ->
                old.requestClass.equals(fresh.requestClass) ? old : new ClassState(fresh.requestClass, old)));
        for (Server s : servers.values()) {
            s.remapClasses(classStates);
            updateReusable(s);
        }
    }

    /** Handles one event. The times of successive calls must not decrease. */
    public void handle(long nowNanos, Event event) {
        if (started && nowNanos < now) {
            throw new IllegalArgumentException("nowNanos: " + nowNanos + " is before the last event, at " + now);
        }
        now = nowNanos;
        if (!started) {
            started = true;
            tickStart = now;
            // The first update's phase is random: otherwise all gateways would lower a slow server's share at the same instant.
            actions.setTimer((long) (TICK_NANOS * (1 - random.nextDouble())), SHARE_UPDATE_TOKEN);
            if (settings.subscribe()) {
                actions.subscribe();
            }
        }
        if (event instanceof RequestArrived e) {
            onRequestArrived(e, false);
        } else if (event instanceof RequestHeadArrived e) {
            onRequestArrived(e.request(), true);
        } else if (event instanceof UploadEvent e && openRequests.containsKey(e.id())) {
            uploads.handle(e, openRequests.get(e.id()), now, shutdownDeadline);
        } else if (event instanceof RequestNotReplayable e && openRequests.containsKey(e.id())) {
            openRequests.get(e.id()).maxAttempts = openRequests.get(e.id()).attempts.size();
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof ResponseBegun e && openRequests.containsKey(e.id())) {
            openRequests.get(e.id()).attempts.stream().skip(e.attempt()).findFirst()
                    .ifPresent(attempt -> overdueAttempts.onResponseBegun(attempt, now));
        } else if (event instanceof TimerFired e) {
            onTimerFired(e.token());
        } else if (event instanceof ListReceived e) {
            onListReceived(e);
        } else if (event instanceof ClientLeft e && openRequests.containsKey(e.id())) {
            conclude(openRequests.get(e.id()));
        } else if (event instanceof StreamStarted e && openRequests.containsKey(e.id())) {
            openRequests.get(e.id()).streaming = true;
        } else if (event instanceof ShutdownStarted e) {
            shutdownDeadline = now + e.answerWithinNanos();
        } else if (event instanceof GatewaysPerServerChanged e) {
            gatewaysPerServer = Math.max(1, e.gateways()) * processes;
        } else if (event instanceof ProcessOverlapChanged e) {
            gatewaysPerServer /= processes;
            processes = e.overlapping() ? 2 : 1;
            gatewaysPerServer *= processes;
        } else if (event instanceof LearnedStateReceived e && e.learnedState().isValid()) {
            restore(e.learnedState());
        } else if (event instanceof SettingsChanged e) {
            applySettings(e.settings());
        } else if (event instanceof ZoneWeightsChanged e) {
            applyZoneWeights(e.weightByZone());
        } else if (event instanceof WarmServerRateReceived e) {
            reportedWarmServerRate = e.requestsPerSecond();
        }
    }

    /**
     * Applies the weights of zones. Servers of a zone that returns to service are no longer suspect: otherwise each would be
     * tried one request at a time. Their cold budgets start at random: otherwise all gateways would spend saved tokens at once.
     */
    private void applyZoneWeights(Map<String, Double> weightByZone) {
        zoneWeights = weightByZone;
        for (Server s : readyServers) {
            double before = s.zoneWeight;
            s.zoneWeight = zoneWeight(s.info.zone());
            if (before < ZONE_RETURNED_WEIGHT && s.zoneWeight >= ZONE_RETURNED_WEIGHT) {
                s.silent = false;
                s.failureRate.set(0, now);
                s.coldBucket.tokens = random.nextDouble();
            }
        }
        normalise();
        dispatch();
    }

    /** Returns the weight of a zone, raised above 0: where all zones have the weight 0, draws go to all servers as before. */
    private double zoneWeight(String zone) {
        return Math.max(MIN_GATE, zoneWeights.getOrDefault(zone, 1.0));
    }

    /** Returns what the module has learned, for another process of this same gateway. */
    public LearnedState learnedState() {
        return new LearnedState(pressure, latencyToBudgetRatio, requestRatePerServer(), readyServers.stream()
                .map(s -> new LearnedState.ServerEntry(s.info.id(),
                s.info.startedAtNanos(), s.share, s.inFlightLimit, recentRelativeLatency(s), failureRate(s), s.silent)).toList(),
                classStates.values().stream().map(k -> new LearnedState.ClassEntry(k.requestClass.name(), k.meanLatencyNanos,
                k.minMeanLatencyNanos, k.servedCount)).toList());
    }

    /** Takes over what another process learned, but nothing invalid or of a restarted server: it would misdirect traffic. */
    private void restore(LearnedState m) {
        pressure = Math.max(minPressure, Math.min(1 + SHED_START_PRESSURE - MIN_ADMITTED_FRACTION, m.pressure()));
        latencyToBudgetRatio = m.latencyToBudgetRatio();
        requestRatePerServer = m.requestRatePerServer();
        for (LearnedState.ServerEntry o : m.servers()) {
            Server s = servers.get(o.id());
            if (s != null && s.info.startedAtNanos() == o.startedAtNanos() && o.isValid()) {
                s.restore(o, now);
                if (isSuspect(s)) {
                    suspects.add(s);
                }
            }
        }
        for (LearnedState.ClassEntry o : m.classes()) {
            ClassState k = classStates.get(o.name());
            if (k != null && o.isValid(k.requestClass.deadlineNanos())) {
                k.restore(o);
            }
        }
        normalise();
    }

    private void onTimerFired(long token) {
        if (token == SHARE_UPDATE_TOKEN) {
            updateShares();
        } else if (token == SWEEP_TOKEN) {
            sweepScheduled = false;
            sweep();
            scheduleSweep();
        } else if (token == SUBSCRIBE_TOKEN) {
            actions.subscribe();
        } else if (timerTasks.containsKey(token)) {
            timerTasks.remove(token).run();
        }
    }

    private void onRequestArrived(RequestArrived e, boolean receivingBody) {
        ClassState classState = classStates.get(e.requestClass());
        if (classState == null) {
            throw new IllegalArgumentException("requestClass: unknown class " + e.requestClass());
        }
        // After shutdown began, a request must be answered before the gateway ends: afterwards nobody could answer it.
        long deadline = Math.min(now + e.expiresInNanos(), shutdownDeadline);
        if (e.routePolicy() != null) {
            e.routePolicy().recordRequest(now);
            deadline = Math.min(deadline, now + e.routePolicy().totalTimeoutNanos());
        }
        // A client's retry whose aim passed in its first try is not to be served before fresh requests. It arrives with the rest
        // of its deadline as its timeout, while first tries share one timeout: the difference is the first try's time.
        long firstAskedAt = now - classState.estimateElapsedNanos(e.expiresInNanos());
        Request r = new Request(e.id(), classState, exceedsQuota(e.tenant()), e.routePolicy(), firstAskedAt, deadline,
                maxAttempts(e.routePolicy()));
        if (receivingBody) {
            r.receivingBody = true;
            r.deadline = Request.NO_DEADLINE_NANOS;
        }
        openRequests.put(r.id, r);
        arrivals++;
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
        r.priority = priorityOf(r);
        // The body of a request may still be coming after that time; nothing of it is sent then either.
        if (now >= shutdownDeadline || shouldShed(r)) {
            refuseOrFail(r);
        } else {
            holdAndDispatch(r);
        }
        scheduleSweep();
    }

    /** Ends counting an attempt as in flight at its server. */
    private void releasePlace(Attempt a) {
        a.server().inFlight--;
        inFlight--;
        updateReusable(a.server());
    }

    /**
     * Decides at random whether to shed for overload, least priority first: serving everything would answer nothing in time. The
     * best priority is never shed here but held, and {@link #sweep} refuses what has been held for too long.
     */
    private boolean shouldShed(Request r) {
        double priorityRatio = maxPriority / Math.max(r.priority, Double.MIN_NORMAL);
        double admittedFraction = 1 + SHED_START_PRESSURE - pressure;
        return admittedFraction < 1 && random.nextDouble() >= Math.pow(admittedFraction, Math.max(0, priorityRatio - 1));
    }

    /** Returns the priority: worth (less beyond the tenant's quota or if sure to be late) divided by the class's mean latency. */
    private double priorityOf(Request r) {
        RequestClass c = r.classState.requestClass;
        double worthFactor = willMissAim(r) ? c.lateWorth() : r.overQuota ? settings.overQuotaWorth() : 1;
        return worthFactor * c.worth() / r.classState.meanLatencyNanos;
    }

    /** Updates the pressure. Answers beyond half their aim, FULL, TIMED_OUT and CANCELLED are late: many mean too much load. */
    private void updatePressure(ClassState classState, Outcome outcome, long elapsedNanos) {
        boolean late = outcome != Outcome.SERVED || elapsedNanos > classState.requestClass.aimNanos() * LATE_AIM_FRACTION;
        pressure = Math.max(minPressure, Math.min(1 + SHED_START_PRESSURE - MIN_ADMITTED_FRACTION,
                pressure + (late ? LATE_PRESSURE_STEP : -IN_TIME_PRESSURE_STEP)));
    }

    private boolean exceedsQuota(String tenant) {
        Quota q = quotas.get(tenant);
        return q != null && !q.bucket().tryTake(now, q.perSecond() / NANOS_PER_SECOND / processes, q.perSecond());
    }

    /** Compares by descending priority, then hold sequence, in one plain method: it is called often, at first uncompiled. */
    private static int comparePriority(Request a, Request b) {
        return a.priority != b.priority ? Double.compare(b.priority, a.priority) : Long.compare(b.holdSequence, a.holdSequence);
    }

    /** Holds a request and dispatches. One without a server that would expire before the next sweep is answered at once. */
    private void holdAndDispatch(Request r) {
        r.holdSequence = ++lastHoldSequence;
        heldRequests.add(r);
        dispatch();
        if (r.outstanding == 0 && !r.concluded && expiresBeforeSweep(r)) {
            refuseOrFail(r);
        }
    }

    private boolean expiresBeforeSweep(Request r) {
        return now + 2 * sweepIntervalNanos >= r.deadline;
    }

    /**
     * Returns whether a request would miss its aim even if sent now. The estimate is bounded by a fraction of the aim: otherwise
     * a class whose mean latency once exceeded its aim would be shed for good, as no answer would show it to be fast again.
     */
    private boolean willMissAim(Request r) {
        double aim = r.classState.requestClass.aimNanos();
        double neededNanos = Math.min(aim * MAX_WORK_AIM_FRACTION, Math.max(r.classState.meanLatencyNanos, aim * LATE_AIM_FRACTION));
        return now + neededNanos > r.aimStartedAt + aim;
    }

    /**
     * Sends held requests while a server has room, by descending priority, among equals the newest first: otherwise only those
     * about to miss their aim would be sent in overload. A retry that finds no server for its own reasons (servers tried, a
     * pause, its dedup group) is skipped: otherwise it would block all of lower priority until its deadline beside idle servers.
     */
    private void dispatch() {
        int skippedRetries = 0;
        for (Iterator<Request> byPriority = heldRequests.iterator(); byPriority.hasNext();) {
            Request r = byPriority.next();
            boolean triedBefore = !r.attempts.isEmpty();
            if (triedBefore && skippedRetries == MAX_SKIPPED_RETRIES) {
                continue;
            }
            Server s = draw(r);
            if (s != null) {
                byPriority.remove();
                send(r, s);
            } else if (triedBefore && !isAtLimit()) {
                skippedRetries++;
            } else {
                return;
            }
        }
    }

    /** Returns a server drawn at random with the weight share x gates, or null if none may take the request now. */
    Server draw(Request r) {
        if (readyServers.size() <= SMALL_FLEET_SIZE) {
            Server drawn = drawByScan(r, readyServers);
            limitSum = scannedLimitSum;
            return isAtLimit() ? null : drawn;
        }
        limitSum = largeFleetLimitSum;
        if (isAtLimit()) {
            return null;
        }
        double otherZoneGate = otherZoneGate();
        double newConnectionGate = newConnectionGate();
        double reusableFraction = shares.sum(true, otherZoneGate);
        reusableFraction /= reusableFraction + newConnectionGate * shares.sum(false, otherZoneGate);
        // No gate is above 1, so accepting a pick by share with a probability equal to its gates draws by share x gates.
        for (int i = 0; i < Math.max(MIN_PICKS, readyServers.size() / PICKS_FLEET_DIVISOR) && freedServers == null; i++) {
            boolean fromReusable = reusableFraction > 0 && random.nextDouble() < reusableFraction;
            Server s = shares.pick(random, fromReusable, otherZoneGate);
            if (s != null && s.ready && random.nextDouble() < gateProduct(r, s, fromReusable && !hasReusableConnection(s)
                    ? newConnectionGate : 1, coldGate(s))
                    && maySend(r, s)) {
                return s;
            }
        }
        // Avoids a full scan for each held request while no server has room: since the last full scan, only servers that have
        // ended an attempt can have room; other changes are noticed at the next sweep.
        boolean onlyFreed = freedServers != null && classesWithoutRoom.contains(r.classState) && r.attempts.isEmpty();
        Server drawn = drawByScan(r, onlyFreed ? freedServers : readyServers);
        if (drawn == null && !onlyFreed && r.attempts.isEmpty()) {
            freedServers = freedServers == null ? new LinkedHashSet<>() : freedServers;
            classesWithoutRoom.add(r.classState);
        }
        return drawn;
    }

    /** Returns the servers that are ready; tests compare both ways to draw with it. */
    List<Server> readyServers() {
        return readyServers;
    }

    /** Returns the tokens that are left of a tenant's quota now. */
    double remainingQuota(String tenant) {
        Quota q = quotas.get(tenant);
        return q.bucket().refill(now, q.perSecond() / NANOS_PER_SECOND / processes, q.perSecond());
    }

    ClassState classState(String name) {
        return classStates.get(name);
    }

    /** Draws from the same distribution as {@link #draw} by examining each candidate. */
    Server drawByScan(Request r, Collection<Server> candidates) {
        Server drawn = null;
        double sum = 0;
        double newConnectionGate = newConnectionGate();
        scannedLimitSum = 0;
        for (Server s : candidates) {
            double coldGate = coldGate(s);
            scannedLimitSum += s.inFlightLimit * coldGate * s.zoneWeight;
            double gateProduct = gateProduct(r, s, zoneGate(s), coldGate) * (newConnectionGate < 1 && !hasReusableConnection(s)
                    ? newConnectionGate : 1);
            double weight = gateProduct > 0 && maySend(r, s) ? s.share * gateProduct : 0;
            sum += weight;
            drawn = weight > 0 && random.nextDouble() * sum < weight ? s : drawn;
        }
        return drawn;
    }

    private double gateProduct(Request r, Server s, double zoneGate, double coldGate) {
        examinedServers++;
        return s.zoneWeight * Math.max(0, roomGate(s, coldGate)) * queueGate(s) * healthGate(s) * classGate(r.classState,
                s) * zoneGate * coldGate
                * RetryRules.triedGate(r, s);
    }

    /**
     * Returns the gate of servers without a reusable connection. It falls below 1 where a server gets less than one request a
     * tick from this gateway, so that servers with a free open connection are preferred, the more the sparser the traffic.
     * Otherwise this gateway would meet each server too seldom to learn of any, each request would pay for a new connection, and
     * the connections of many gateways would fill the servers' tables. The other servers are used where the preferred ones are
     * slow, failing or gone. It could do harm where gateways are few and unlike: each would crowd its own servers.
     */
    private double newConnectionGate() {
        return Math.max(MIN_GATE, Math.min(1, Math.pow(requestRatePerServer() * TICK_NANOS / NANOS_PER_SECOND,
                NEW_CONNECTION_GATE_EXPONENT)));
    }

    /** Returns if an unused server should have a reusable connection, inferred from its last answer: the pool is not asked. */
    private boolean hasReusableConnection(Server s) {
        return s.inFlight == 0 && s.lastAnswerAt > 0 && now - s.lastAnswerAt < settings.upstreamOptions()
                .idleTimeoutNanos() * REUSABLE_IDLE_FRACTION;
    }

    /** Returns if the limit sum plus a margin for chance is reached: up to two Poisson deviations, 0 for a single gateway. */
    private boolean isAtLimit() {
        double chanceMargin = POISSON_DEVIATIONS * Math.sqrt(limitSum) * (1 - 1.0 / gatewaysPerServer);
        return inFlight > 0 && inFlight >= limitSum + chanceMargin;
    }

    /** Updates a server's contribution to the limit sums of a large fleet. */
    private void updateLimitSums(Server s) {
        double effectiveLimit = s.inFlightLimit * coldGate(s) * s.zoneWeight;
        largeFleetLimitSum += effectiveLimit - s.countedLimit;
        largeFleetWarmLimitSum += s.inFlightLimit - s.countedWarmLimit;
        s.countedLimit = effectiveLimit;
        s.countedWarmLimit = s.inFlightLimit;
    }

    /** Recomputes what depends on time (a large fleet's limits in warm-up) and lets the next draw scan the whole fleet again. */
    private void refreshCapacity() {
        freedServers = null;
        classesWithoutRoom.clear();
        warmingServers.forEach(this::updateLimitSums);
        warmingServers.removeIf(s -> coldGate(s) >= 1);
    }

    /** Returns the zone's gate: low for others while the own answers most requests within half their aim: nothing to gain. */
    private double zoneGate(Server s) {
        return isInOwnZone(s) ? 1 : otherZoneGate();
    }

    private double otherZoneGate() {
        return Math.max(1 - zoneWeight(settings.zone()), Math.max(MIN_CROSS_ZONE_FRACTION, Math.min(1, pressure)));
    }

    private boolean isInOwnZone(Server s) {
        return s.info.zone().equals(settings.zone());
    }

    /** Returns a gate that falls to 0 at the in-flight limit, which {@link #adjustLimit} sets; an idle server has some room. */
    private double roomGate(Server s, double coldGate) {
        return Math.min(1, s.inFlight == 0 ? s.inFlightLimit * readyServers.size() / limitSum : s.inFlightLimit * coldGate - s.inFlight);
    }

    /**
     * Returns a gate that falls where the last answers took more than half of the usual time, so as not to send behind a queue.
     * It is 0.13 at the usual time, and without recent answers. Where each of many gateways meets a server about once a
     * second, shares show a slow server only after many seconds, and its load is mostly what others sent; but a queue lasts for
     * many requests: the last answer predicts the next.
     */
    private double queueGate(Server s) {
        return Math.pow(Math.max(1, recentRelativeLatency(s) + 1 - NO_QUEUE_LATENCY_RATIO), -QUEUE_GATE_EXPONENT);
    }

    /** Returns a gate that rises with the capacity of a just started server, at its slowest warm-up, to avoid overload. */
    private double coldGate(Server s) {
        return rules.capacityFraction(s.info.startedAtNanos(), now);
    }

    /**
     * Returns 0 for a suspect server except for trials, one per interval over all gateways, but from each one after 20 s at most,
     * even if only that server has room. It covers servers that are silent and servers whose fast errors would gain them share.
     * Where most are suspect (a lost zone), only those that fail nearly always stay excluded; where all are suspect, none is.
     */
    private double healthGate(Server s) {
        return now >= s.nextTrialAt || isUsedWhenMostSuspect(s) || !isSuspect(s) ? 1 : 0;
    }

    /**
     * Returns 0 for a server that fails this class but serves others, which hide that in its overall failure rate: a part is
     * broken, its release can't do it, or a store behind it is gone. Only errors count: they are explicit; slowness and overload
     * have other causes. It could do harm where the few that still serve it can't bear all; where none does, all are tried.
     */
    private double classGate(ClassState classState, Server s) {
        ClassHealth h = s.healthByClass.get(classState);
        return h == null || now >= h.nextTrialAt || classState.failsEverywhere || !failsClass(s, classState) ? 1 : 0;
    }

    private double errorRate(ClassHealth h) {
        return h.errorRate.valueAt(now, FAILURE_DECAY_NANOS);
    }

    /** Returns whether a server fails this class but not all of them; {@link #healthGate} covers one that fails all. */
    private boolean failsClass(Server s, ClassState classState) {
        ClassHealth h = s.healthByClass.get(classState);
        return h != null && errorRate(h) >= FAILING_CLASS_ERROR_RATE && s.healthByClass.values().stream()
                .anyMatch(o -> errorRate(o) < SUSPECT_FAILURE_RATE);
    }

    /** Returns how many servers are in use now. Ready servers that it does not count are avoided as suspect. */
    public int usableServerCount() {
        return (int) readyServers.stream().filter(s -> isUsedWhenMostSuspect(s) || !isSuspect(s)).count();
    }

    private boolean isUsedWhenMostSuspect(Server s) {
        return 2 * suspectCount > readyServers.size() && (suspectCount == readyServers.size() || failureRate(s) < CERTAIN_FAILURE_RATE);
    }

    private boolean isSuspect(Server s) {
        return s.silent || failureRate(s) >= SUSPECT_FAILURE_RATE;
    }

    /** Returns whether a request may go to a server now. Every send is checked: drains, retries, effects, the cold budget. */
    private boolean maySend(Request r, Server s) {
        if (!s.ready || r.concluded || r.streaming || now >= r.deadline
                || r.attempts.size() >= r.maxAttempts || r.outstanding > (r.hedging ? 1 : 0) || coldBudget(s) < 1) {
            return false;
        }
        // A hedge is not sent to a cold server: its budget is small, and another server already works on the request.
        if (r.hedging && coldGate(s) < 1) {
            return false;
        }
        return RetryRules.maySendTo(r, s, now);
    }

    private int maxAttempts(RoutePolicy routePolicy) {
        int allowedAttempts = Math.min(settings.upstreamOptions().maxAttempts(), Long.SIZE - 1);
        return routePolicy == null ? allowedAttempts : Math.min(allowedAttempts, routePolicy.maxAttempts());
    }

    /** Returns how many requests may go to a cold server now, from the rate that a warm server was seen to bear. */
    private double coldBudget(Server s) {
        double coldGate = coldGate(s);
        if (coldGate >= 1) {
            return 1;
        }
        double warmServerRate = reportedWarmServerRate > 0 ? reportedWarmServerRate : observedWarmServerRate > 0 ? observedWarmServerRate
                : requestRatePerServer();
        double perNano = COLD_SAFETY_FACTOR * rules.overloadFactor() * coldGate * warmServerRate / NANOS_PER_SECOND / processes;
        return s.coldBucket.refill(now, perNano, Math.max(1, perNano * rules.overloadWindowNanos() / 2));
    }

    /** Returns the maximum of the field, a decaying peak of earlier ticks, and of this tick's rate over at least a second. */
    private double requestRatePerServer() {
        double seconds = Math.max(1, (now - tickStart) / NANOS_PER_SECOND);
        return Math.max(requestRatePerServer, arrivals / (seconds * Math.max(1, readyServers.size())));
    }

    private void send(Request r, Server s) {
        Attempt a = new Attempt(r, s, r.attempts.size(), now);
        r.attempts.add(a);
        r.outstanding++;
        if (r.countsInFlight()) {
            markInFlight(a);
        }
        s.coldBucket.tokens--;
        s.nextTrialAt = now + (long) Math.min(FAILURE_DECAY_NANOS, TRIAL_INTERVAL_NANOS * gatewaysPerServer);
        if (s.healthByClass.containsKey(r.classState)) {
            s.healthByClass.get(r.classState).nextTrialAt = s.nextTrialAt;
        }
        long timeoutNanos = Math.min(r.deadline - now, r.routePolicy == null ? Long.MAX_VALUE : r.routePolicy.attemptTimeoutNanos());
        actions.send(r.id, s.info.id(), timeoutNanos, r.startWithinNanos(now));
        long hedgeDelayNanos = r.routePolicy == null ? 0 : r.routePolicy.hedgeDelayNanos();
        if (hedgeDelayNanos > 0 && !r.hedging && r.classState.requestClass.effect() != Effect.UNSAFE) {
            schedule(hedgeDelayNanos, r, () -> hedge(r));
        }
    }

    /** Counts an attempt as in flight at its server. */
    private void markInFlight(Attempt a) {
        a.server().awaitedAttempts.add(a);
        if (a.server().leafIndex >= 0) {
            busyServers.add(a.server());
        }
        a.server().inFlight++;
        inFlight++;
        updateReusable(a.server());
    }

    /** Runs the action for the request after a delay, unless the request is concluded by then. */
    private void schedule(long nanos, Request r, Runnable work) {
        timerTasks.put(++lastToken, () -> {
            if (!r.concluded) {
                work.run();
            }
        });
        actions.setTimer(nanos, lastToken);
    }

    /** Sends a slow request's hedge to a warm, untried server with room, unless the first attempt ended or time is too short. */
    private void hedge(Request r) {
        if (r.outstanding != 1 || r.streaming || now + r.classState.meanLatencyNanos > r.deadline) {
            return;
        }
        r.hedging = true;
        Server s = draw(r);
        if (s != null && r.routePolicy.tryWithdrawHedge(now)) {
            send(r, s);
        }
        r.hedging = false;
    }

    private void onAttemptEnded(AttemptEnded e) {
        Request r = openRequests.get(e.id());
        Attempt a = r == null || e.attempt() >= r.attempts.size() ? null : r.attempts.get(e.attempt());
        if (a == null || a.hasEnded()) {
            return;
        }
        r.endedMask |= 1L << a.number();
        r.neverRanMask |= (e.outcome().provesItNeverRan() ? 1L : 0) << a.number();
        boolean neverReached = e.outcome() == Outcome.CONNECT_FAILED || e.outcome() == Outcome.NOT_SENT;
        r.neverReachedMask |= (neverReached ? 1L : 0) << a.number();
        r.outstanding--;
        if (r.countsInFlight() && !a.isLost()) {
            releasePlace(a);
        }
        r.bodyBlocked &= r.outstanding > 0;
        if (freedServers != null) {
            freedServers.add(a.server());
        }
        if (e.outcome() != Outcome.NOT_SENT) {
            recordOutcome(a, e.outcome(), e.elapsedNanos());
        }
        updateReusable(a.server());
        if (e.concluded() || r.concluded) {
            conclude(r);
        } else if (r.outstanding == 0) {
            retry(r, e.outcome());
        }
        dispatch();
    }

    /**
     * Retries a request after an attempt ended, or answers it. A retry that may repeat work costs a token of the retry budget.
     * {@link #maySend} decides where it may go.
     */
    private void retry(Request r, Outcome outcome) {
        double tokenCost = outcome.provesItNeverRan() ? 0 : 1;
        boolean effectAllows = r.classState.requestClass.effect() != Effect.UNSAFE || r.firstThatMayRun() == null;
        boolean attemptsLeft = r.attempts.size() < r.maxAttempts && now < r.deadline && !RetryRules.isExhausted(r, readyServers, now);
        if (r.routePolicy != null) {
            retryByRoutePolicy(r, outcome, effectAllows && attemptsLeft);
        } else if (effectAllows && attemptsLeft && retryTokens >= tokenCost) {
            retryTokens -= tokenCost;
            holdAndDispatch(r);
        } else {
            refuseOrFail(r);
        }
    }

    /** Retries within the route policy's limits after a jittered backoff; if that outlasts the deadline, answers at once. */
    private void retryByRoutePolicy(Request r, Outcome outcome, boolean allowed) {
        long maxBackoffNanos = r.routePolicy.backoffNanos(r.attempts.size());
        long backoffNanos = maxBackoffNanos == 0 ? 0 : (long) (maxBackoffNanos * (1 + random.nextDouble()) / 2);
        if (!allowed || now + backoffNanos + 2 * sweepIntervalNanos >= r.deadline || !r.routePolicy.tryWithdrawRetry(outcome, now)) {
            refuseOrFail(r);
        } else if (backoffNanos == 0) {
            holdAndDispatch(r);
        } else {
            schedule(backoffNanos, r, () -> holdAndDispatch(r));
        }
    }

    private void refuseOrFail(Request r) {
        if (RetryRules.mayRefuse(r)) {
            refusals++;
            // Without a route policy, no advice to wait: shedding is random, so an immediate retry may be admitted.
            actions.refuse(r.id, r.routePolicy == null ? 0 : r.routePolicy.retryAfterNanos());
        } else {
            actions.fail(r.id);
        }
        conclude(r);
    }

    /** Marks a request as concluded and cancels its attempts in flight, once; removes it when no attempt is in flight. */
    private void conclude(Request r) {
        for (Attempt a : r.attempts) {
            if (!r.concluded && !a.hasEnded() && (r.classState.requestClass.effect() != Effect.SAFE || !a.isLost())
                    && settings.upstreamOptions().mayCancel() && !r.streaming) {
                actions.cancel(r.id, a.number());
            }
        }
        r.concluded = true;
        heldRequests.remove(r);
        if (r.outstanding == 0) {
            openRequests.remove(r.id);
        }
    }

    private void recordOutcome(Attempt a, Outcome outcome, long elapsedNanos) {
        Server s = a.server();
        ClassState classState = a.request().classState;
        boolean served = outcome == Outcome.SERVED;
        servedByWarm += served && coldGate(s) >= 1 ? 1 : 0;
        if (a.request().routePolicy != null) {
            if (served) {
                a.request().routePolicy.recordServed(elapsedNanos);
            }
            // A short attempt timeout or early cancelled hedge is no fast answer or bad server: it only proves a longer latency.
            boolean cutShort = outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED;
            if (cutShort && elapsedNanos < Math.max(classState.meanLatencyNanos, classState.requestClass.aimNanos() * LATE_AIM_FRACTION)) {
                if (elapsedNanos > classState.meanLatencyNanos) {
                    recordLatency(s, classState, outcome, elapsedNanos);
                }
                return;
            }
        }
        // Relative to the class's mean: otherwise a server that got more long or short requests would pass for slow or fast.
        recordLatency(s, classState, outcome, elapsedNanos);
        if (served) {
            classState.recordLatency(elapsedNanos);
        }
        if (served || outcome == Outcome.ERROR || outcome == Outcome.FULL) {
            OverdueAttempts.recordAnswer(a, now);
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.FULL) {
            if (s.failureRate.add(served ? 0 : 1, HEALTH_SAMPLE_WEIGHT, now, FAILURE_DECAY_NANOS) >= SUSPECT_FAILURE_RATE) {
                suspects.add(s);
            }
        }
        if (served || outcome == Outcome.ERROR) {
            ClassHealth h = s.healthByClass.computeIfAbsent(classState, k -> new ClassHealth());
            if (h.errorRate.add(served ? 0 : 1, HEALTH_SAMPLE_WEIGHT, now, FAILURE_DECAY_NANOS) >= FAILING_CLASS_ERROR_RATE) {
                classState.failingServers.add(s);
            }
        }
        if (served || outcome == Outcome.FULL || outcome == Outcome.TIMED_OUT
                || outcome == Outcome.CANCELLED) {
            updatePressure(classState, outcome, elapsedNanos);
            adjustLimit(s, outcome == Outcome.FULL ? 2 : elapsedNanos / latencyBudgetNanos(classState)); // FULL: twice the budget
        }
    }

    /**
     * Records an attempt's latency relative to its class's mean, taken as 1 ns at least: division by 0 would give an infinite
     * sample, which never decays. For the queue gate, neither an error nor a full server is fast: it would seem to have no queue.
     */
    private void recordLatency(Server s, ClassState classState, Outcome outcome, long elapsedNanos) {
        double relativeLatency = elapsedNanos / Math.max(1, classState.meanLatencyNanos);
        s.latencySamples.add(relativeLatency, 1);
        s.sampledThisTick = true;
        double before = recentRelativeLatency(s);
        double sample = Math.min(MAX_RELATIVE_LATENCY, outcome == Outcome.FULL ? MAX_RELATIVE_LATENCY
                : outcome == Outcome.SERVED ? relativeLatency : Math.max(before, relativeLatency));
        s.recentRelativeLatency.add(sample, RECENT_LATENCY_WEIGHT, now, QUEUE_DECAY_NANOS);
    }

    /** Returns a server's last latencies relative to the usual one; with age the value returns to 1. */
    private double recentRelativeLatency(Server s) {
        return s.recentRelativeLatency.valueAt(now, QUEUE_DECAY_NANOS);
    }

    /**
     * Returns the time that an answer of the class should take. It is not below the minimum mean latency of the class, up to
     * half the aim, so that an aim that is short for the work does not keep the limits at their minimum.
     */
    private static double latencyBudgetNanos(ClassState classState) {
        double aim = classState.requestClass.aimNanos();
        return Math.max(aim * BUDGET_AIM_FRACTION, Math.min(aim * LATE_AIM_FRACTION, classState.minMeanLatencyNanos));
    }

    private double failureRate(Server s) {
        return s.failureRate.valueAt(now, FAILURE_DECAY_NANOS);
    }

    /**
     * Adjusts a server's in-flight limit by latency / budget; where its answers are rare, mostly by the fleet's. It rises only
     * while it is used and the gateway is at its limit: risen unused in calm times, it would overload the rest if a zone is lost.
     * An initial limit below the minimum is raised to it by a first answer so slow that it would lower other limits.
     */
    private void adjustLimit(Server s, double sampleRatio) {
        s.latencyToBudgetRatio += HEALTH_SAMPLE_WEIGHT * (sampleRatio - s.latencyToBudgetRatio);
        latencyToBudgetRatio += HEALTH_SAMPLE_WEIGHT / 4 * (sampleRatio - latencyToBudgetRatio);
        double ownWeight = Math.min(1, s.inFlightLimit);
        double blendedRatio = ownWeight * s.latencyToBudgetRatio + (1 - ownWeight) * latencyToBudgetRatio;
        if (blendedRatio > 1) {
            double loweredLimit = s.inFlightLimit - ownWeight * Math.min(1, blendedRatio - 1) / 2;
            s.inFlightLimit = Math.max(MIN_IN_FLIGHT / gatewaysPerServer, loweredLimit);
        } else if (s.inFlight + 1 >= s.inFlightLimit - 1 && inFlight + 1 >= limitSum) {
            s.inFlightLimit += ownWeight / Math.max(1, s.inFlightLimit);
        }
        if (s.leafIndex >= 0) {
            updateLimitSums(s);
        }
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !openRequests.isEmpty()) {
            sweepScheduled = true;
            actions.setTimer(sweepIntervalNanos, SWEEP_TOKEN);
        }
    }

    private void sweep() {
        refreshCapacity();
        (readyServers.size() <= SMALL_FLEET_SIZE ? readyServers : List.copyOf(busyServers)).forEach(this::checkOverdueAttempts);
        busyServers.removeIf(s -> !s.ready || s.awaitedAttempts.isEmpty());
        maxPriority = classStates.values().stream().mapToDouble(k -> k.requestClass.worth() / k.meanLatencyNanos).max().orElse(0);
        suspects.removeIf(s -> !s.ready || !isSuspect(s));
        suspectCount = suspects.size();
        for (ClassState k : classStates.values()) {
            // All servers can only fail a class if each is among those that failed it at some time.
            k.failsEverywhere = k.failingServers.size() >= readyServers.size() && readyServers.stream().allMatch(s -> failsClass(s, k));
        }
        if (heldRequests.isEmpty()) {
            return;
        }
        List<Request> oldestFirst = new ArrayList<>(heldRequests);
        oldestFirst.sort((a, b) -> Long.compare(a.holdSequence, b.holdSequence));
        heldRequests.clear();
        for (Request r : oldestFirst) {
            r.priority = priorityOf(r);
            if (expiresBeforeSweep(r) || willMissAim(r) && r.classState.requestClass.lateWorth() == 0
                    || RetryRules.isExhausted(r, readyServers, now)) {
                refuseOrFail(r);
            } else {
                heldRequests.add(r);
            }
        }
        dispatch();
    }

    private void checkOverdueAttempts(Server s) {
        overdueAttempts.check(s, now, Math.max(1, latencyToBudgetRatio), isTrafficSparse() ? 1 : 2);
    }

    /**
     * Releases the place of an attempt whose answer seems lost, since later attempts were answered: it would otherwise count as
     * in flight until its timeout, and two of them could use up a server's limit. The same holds for work that is stuck in a
     * server. An attempt of a safe request is cancelled and retried. It could do harm where work differs so much that long
     * requests are overtaken as a rule: they would run twice, within the retry budget.
     */
    private void markLost(Attempt a) {
        Request r = a.request();
        r.lostMask |= 1L << a.number();
        releasePlace(a);
        if (r.classState.requestClass.effect() == Effect.SAFE && settings.upstreamOptions().mayCancel() && !r.concluded && !r.streaming) {
            actions.cancel(r.id, a.number());
        }
    }

    /** Returns whether this gateway sends a server less than one request a tick, and so seldom has two in flight at one. */
    private boolean isTrafficSparse() {
        return requestRatePerServer() * TICK_NANOS < NANOS_PER_SECOND;
    }

    /** Updates shares each tick. Algorithm 1: D_j *= 1 + eta F_j |l_mean - l_j| / l_mean, F_j |l_mean - l_j| = l_mean - l_j. */
    private void updateShares() {
        actions.setTimer(TICK_NANOS, SHARE_UPDATE_TOKEN); // Set first, so that a fault below does not end all updates.
        samplesByZoneAndType.values().forEach(LatencySamples::clear);
        LatencySamples fleetSamples = new LatencySamples();
        for (Server s : readyServers) {
            s.similarSamples.add(s.latencySamples.sum, s.latencySamples.sampleCount);
            fleetSamples.add(s.latencySamples.sum, s.latencySamples.sampleCount);
        }
        // With too few samples for a mean of its own, a server without a sample moves as similar servers do.
        boolean tooFewSamples = fleetSamples.sampleCount < PRIOR_SAMPLES * readyServers.size();
        double meanLatency = 0;
        int sampledServers = 0;
        for (Server s : readyServers) {
            s.sampled = s.sampledThisTick || tooFewSamples && s.similarSamples.sampleCount > 0;
            s.sampledThisTick = false;
            if (s.sampled) {
                s.relativeLatency = s.latencySamples.shrunkMean(s.similarSamples.shrunkMean(fleetSamples.mean(), PRIOR_SAMPLES),
                        PRIOR_SAMPLES);
                meanLatency += s.relativeLatency;
                sampledServers++;
            }
            s.latencySamples.decay(TICK_DECAY_FACTOR);
        }
        meanLatency /= Math.max(1, sampledServers);
        for (Server s : readyServers) {
            if (s.sampled && meanLatency > 0) {
                s.share *= Math.max(MIN_STEP_FACTOR, 1 + LEARNING_RATE * (meanLatency - s.relativeLatency) / meanLatency);
            }
        }
        if (refusals > 0) {
            actions.log("refused " + refusals + " requests in this tick, " + arrivals + " arrived");
        }
        requestRatePerServer = Math.max(requestRatePerServer * 0.95, requestRatePerServer());
        // Served, not arrived: after losses, more arrive per remaining server than it can take, and cold ones would get as much.
        long warmServers = readyServers.stream().filter(s -> coldGate(s) >= 1).count();
        observedWarmServerRate = Math.max(observedWarmServerRate * 0.95, servedByWarm / Math.max(1.0, warmServers));
        arrivals = refusals = servedByWarm = 0;
        tickStart = now;
        normalise();
    }

    private void normalise() {
        double sum = readyServers.stream().mapToDouble(s -> s.share).sum();
        for (Server s : readyServers) {
            s.share = sum > 0 ? Math.max(s.share / sum, MIN_SHARE_RATIO / readyServers.size()) : 1.0 / readyServers.size();
        }
        warmingServers.clear();
        busyServers.clear();
        largeFleetLimitSum = 0;
        largeFleetWarmLimitSum = 0;
        for (int i = 0; i < readyServers.size(); i++) {
            Server s = readyServers.get(i);
            s.readyIndex = i;
            s.leafIndex = -1;
            s.countedLimit = 0;
            s.countedWarmLimit = 0;
            if (readyServers.size() > SMALL_FLEET_SIZE) {
                s.inOwnZone = isInOwnZone(s);
                addToSums(s);
            }
        }
        shares.build(readyServers.size() > SMALL_FLEET_SIZE ? readyServers : List.of());
        reusableFirst = newConnectionGate() < 1;
        readyServers.forEach(this::updateReusable);
        refreshCapacity();
    }

    /** Updates in {@link #shares} if a server's connection is reusable; called when attempts in flight or last answer change. */
    private void updateReusable(Server s) {
        if (s.leafIndex >= 0) {
            shares.setReusable(s, reusableFirst && hasReusableConnection(s));
        }
    }

    /** Adds a ready server to the sums that draws over a large fleet use. */
    private void addToSums(Server s) {
        updateLimitSums(s);
        if (coldGate(s) < 1) {
            warmingServers.add(s);
        }
        if (!s.awaitedAttempts.isEmpty()) {
            busyServers.add(s);
        }
    }

    /** Removes a server from the sums that draws over a large fleet use. */
    private void removeFromSums(Server s) {
        shares.remove(s);
        largeFleetLimitSum -= s.countedLimit;
        largeFleetWarmLimitSum -= s.countedWarmLimit;
        s.countedLimit = 0;
        s.countedWarmLimit = 0;
        warmingServers.remove(s);
    }

    private void onListReceived(ListReceived e) {
        failedListCalls = e.kind() == ListKind.FAILED ? failedListCalls + 1 : 0;
        if (e.kind() == ListKind.FAILED) {
            // Retries a failed list call with backoff and jitter, early enough for the time within which the rules require a
            // new call. Where lists are pushed, an agent of the gateway's own answers, and the backoff does not grow.
            double backoff = NANOS_PER_SECOND / 5 * (settings.subscribe() ? 1 << Math.min(failedListCalls, 8) : 1);
            double maxDelayNanos = Math.min(rules.discoveryRetryWithinNanos() / 2.0, backoff);
            actions.setTimer((long) (maxDelayNanos * (1 + random.nextDouble()) / 2), SUBSCRIBE_TOKEN);
            return;
        }
        if (e.kind() == ListKind.CHANGES && readyServers.size() - e.servers().size() > SMALL_FLEET_SIZE) {
            applyChanges(e.servers());
        } else {
            rebuildFromList(e);
        }
        dispatch();
        scheduleSweep();
    }

    private void rebuildFromList(ListReceived e) {
        if (e.kind() != ListKind.CHANGES) {
            servers.values().forEach(s -> s.ready = false);
        }
        double meanShare = readyServers.stream().mapToDouble(s -> s.share).average().orElse(1);
        // New servers get the average limit: with the initial one, replacing all servers in turn would hold back all traffic.
        double initialLimit = Math.max(INITIAL_IN_FLIGHT / gatewaysPerServer,
                readyServers.stream().mapToDouble(s -> s.inFlightLimit).average().orElse(0));
        e.servers().forEach(info -> updateServer(info, meanShare, initialLimit));
        // Servers that are no longer ready are removed, so that memory does not grow with each machine that was ever listed.
        servers.values().removeIf(s -> !s.ready);
        classStates.values().forEach(k -> k.failingServers.removeIf(s -> !s.ready));
        readyServers.clear();
        readyServers.addAll(servers.values());
        minPressure = readyServers.stream().allMatch(this::isInOwnZone) ? ONE_ZONE_MIN_PRESSURE : 0;
        normalise();
    }

    /**
     * Applies a few changes to a large fleet in time that depends on their number only. The shares add up to 1 and respect their
     * minimum again from the next update on; a draw needs neither.
     */
    private void applyChanges(List<ServerInfo> changes) {
        double meanShare = (shares.sum(true, 1) + shares.sum(false, 1)) / readyServers.size();
        double initialLimit = Math.max(INITIAL_IN_FLIGHT / gatewaysPerServer, largeFleetWarmLimitSum / readyServers.size());
        for (ServerInfo info : changes) {
            Server old = servers.get(info.id());
            if (old != null) {
                Server last = readyServers.remove(readyServers.size() - 1);
                if (last != old) {
                    readyServers.set(old.readyIndex, last);
                    last.readyIndex = old.readyIndex;
                }
                removeFromSums(old);
            }
            Server s = updateServer(info, meanShare, initialLimit);
            if (s.ready) {
                s.readyIndex = readyServers.size();
                readyServers.add(s);
                s.inOwnZone = isInOwnZone(s);
                shares.add(s);
                addToSums(s);
                updateReusable(s);
                if (freedServers != null) {
                    freedServers.add(s);
                }
            } else {
                servers.remove(info.id());
            }
            if (old != null && !old.ready) {
                classStates.values().forEach(k -> k.failingServers.remove(old));
            }
        }
        minPressure = shares.areAllInOwnZone() ? ONE_ZONE_MIN_PRESSURE : 0;
    }

    /** Creates or updates the server of a list entry. A restarted server starts without any learned state. */
    private Server updateServer(ServerInfo info, double share, double inFlightLimit) {
        Server s = servers.get(info.id());
        if (s == null || s.info.startedAtNanos() != info.startedAtNanos()) {
            if (s != null) {
                s.ready = false;
            }
            s = new Server(new TokenBucket(random.nextDouble(), now), share, inFlightLimit);
            servers.put(info.id(), s);
        }
        s.info = info;
        s.zoneWeight = zoneWeight(info.zone());
        s.similarSamples = samplesByZoneAndType.computeIfAbsent(info.zone() + ' ' + info.machineType(), k -> new LatencySamples());
        s.ready = info.readiness() == Readiness.READY;
        return s;
    }
}
