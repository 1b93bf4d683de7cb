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
 * <p>The normal path is the paper's load shifting (section 4.1, Algorithm 1), which each gateway runs over its own attempts:
 * each server has a share, a server is drawn at random in proportion to its share, and a multiplicative step with
 * renormalisation updates the shares. The draw weight of a server is its share times a number of gates. A gate is a factor that
 * is 1 in normal operation and lower only under the condition that its method describes. Every send is checked by
 * {@link #maySend}, every refusal by {@link RetryRules#mayRefuse}. The class is single-threaded, reads no clock and takes all
 * randomness from one seed.
 */
public final class LoadBalancer {
    /** The paper's learning rate. Its interval is a fifth of the paper's, to tell unlike machines apart within seconds. */
    private static final double ETA = 0.2;
    private static final long TICK_NANOS = 1_000_000_000L;
    /** One update at most halves a share; none falls below this part of the equal share, so that updates can raise it again. */
    private static final double LEAST_FACTOR = 0.5, LEAST_SHARE = 0.05;
    /** Weight, in samples, of the prior of a server's mean latency: latencies deviate by about as much as their mean. */
    private static final double SHRINK_SAMPLES = 5;
    /** Factor by which the weight of samples decays with each tick: about five ticks count, which is the paper's interval. */
    private static final double KEPT = 0.8;
    /** Weight of the newest sample in a server's recent latency; time constant of its return to 1: a queue lasts for seconds. */
    private static final double NEWEST = 0.65, QUEUE_NANOS = 8e9;
    /** Greatest relative latency without a queue; exponent of the queue gate's fall beyond it; bound on a single sample. */
    private static final double NO_QUEUE = 0.5, STEEP = 5, MOST_RECENT = 4;
    /** Fraction of a class's aim that an answer should take. The rest is for holding the request, a retry and long work. */
    private static final double BUDGET_OF_AIM = 0.2;
    /** An answer that takes longer than this fraction of the aim is late: before it, a retry still fits into the rest. */
    private static final double PATIENCE_OF_AIM = 0.5;
    /** Fraction of its aim after which an attempt counts as lost if a later one was answered: a retry may still be in time. */
    private static final double OVERTAKEN_OF_AIM = 0.6;
    /** Upper bound, as a fraction of the aim, on the estimated time of a request: a fresh one is never taken to miss its aim. */
    private static final double MOST_OF_AIM = 0.9;
    /** Least in-flight limit of a server over all gateways (a request in work, one on its way, one waiting); initial limit. */
    private static final double LEAST_IN_FLIGHT = 3, FIRST_IN_FLIGHT = 1;
    /** Standard deviations above its mean that a Poisson count rarely exceeds. */
    private static final double CHANCE_DEVIATIONS = 2;
    /** Weight of the newest answer in a server's failure rate: about the last five answers count. */
    private static final double HEALTH_RATE = 0.2;
    /**
     * A server is suspect from the first failure rate on, since two failures among the last five are unlikely to be chance, and
     * fails nearly always from the second on. The rates decay slowly enough to outlast several trials.
     */
    private static final double FAILING = 0.3, SURE = 0.85, FAILURE_MEMORY_NANOS = 20e9;
    /** Error rate of a class at one server from which on the server is taken as unable to serve that class. */
    private static final double FAILS_CLASS = 0.5;
    /** Interval, over all gateways, of the trial requests that a suspect server gets so that its recovery is noticed. */
    private static final long TRIAL_NANOS = 1_000_000_000L;
    /** Fraction of what the rule on cold servers allows that is used. The rest is for other gateways and long work. */
    private static final double COLD_SAFETY = 0.5;
    /** Retry budget: tokens that a request adds, and the most it holds. One retry for ten requests prevents a retry storm. */
    private static final double EXTRA_PER_REQUEST = 0.1, MOST_EXTRA = 10;
    /** Change of the pressure by a late answer and by one in time: it is in balance where two answers in five are late. */
    private static final double LATE_STEP = 0.045, IN_TIME_STEP = 0.03;
    /**
     * Pressure from which on requests are shed; below it, pressure only opens the other zones. Minimum pressure of a fleet in one
     * zone, which has no others to open; below 1, so that random variation alone sheds nothing.
     */
    private static final double ZONES_OPEN = 1, CALM = 0.9;
    /** Minimum fraction of its share that a server of another zone gets, and minimum fraction of requests that is admitted. */
    private static final double LEAST_CROSSING = 1e-3, LEAST_ADMITTED = 0.05;
    /** Fraction of the servers' idle timeout for which an idle connection counts as reusable. */
    private static final double KEPT_PART = 0.6;
    /**
     * Exponent with which the draw weight of servers without a reusable connection falls as traffic gets sparse, and minimum of
     * that gate and of a zone's weight.
     */
    private static final double THIN = 3, LEAST_FRESH = 1e-6;
    /** A zone whose weight rises to this value or above counts as returned to service. */
    private static final double BACK = 0.01;
    /** Maximum number of unsuccessful draws for retries in one dispatch; further retries wait for the next event. */
    private static final int MOST_PASSED_OVER = 8;
    /** Interval of the checks of held requests and overdue attempts; it is short against any aim. */
    private static final long SWEEP_NANOS = 10_000_000L;
    /**
     * Up to the first number of servers, a draw scans all of them. In a larger fleet, picks by share are tried first: the second
     * number of them, or the number of servers divided by the third if that is more.
     */
    private static final int FEW = 64, PICKS = 32, PICKS_PART = 16;
    private static final double SECOND_NANOS = 1e9;
    private static final long NEVER = Long.MAX_VALUE / 2;
    private static final long STEP_TOKEN = 1, SWEEP_TOKEN = 2, ASK_TOKEN = 3;

    private Settings settings;
    private Rules rules;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepNanos;
    private final Map<String, Kind> kinds = new LinkedHashMap<>();
    private final Map<String, Quota> quotas = new HashMap<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Server> ready = new ArrayList<>();
    /** Latency samples of this tick by zone and machine type, added up over their servers. */
    private final Map<String, Pool> alike = new HashMap<>();
    private final Map<String, Request> open = new LinkedHashMap<>();
    /** Requests without a server, by descending priority; among equals, the one that was held last comes first. */
    private final TreeSet<Request> held = new TreeSet<>(LoadBalancer::worthier);
    private Map<String, Double> weights = Map.of();
    private double total = 1, bears, borne, lateness, warmRate, extra = MOST_EXTRA, pressure, leastPressure, bestValue;
    /** Numbers of gateways that share each server and of this gateway's overlapping processes, sharing quotas and budgets. */
    private int sharers, processes = 1;
    private int inFlight, inDoubt, arrivals, refusals, servedWarm, failedAsks;
    private long now, tickStart, endsAt = Long.MAX_VALUE;
    /** Actions of timers that belong to single requests, by timer token. */
    private final Map<Long, Runnable> due = new HashMap<>();
    private long lastToken = ASK_TOKEN;
    private final Shares shares = new Shares();
    /** Servers in warm-up, whose effective in-flight limits rise with time. */
    private final Set<Server> warming = new LinkedHashSet<>();
    /** Number of servers that draws have examined so far; tests read it. */
    long looks;
    /** Servers that have or lately had attempts in flight (large fleets only); servers that are or lately were suspect. */
    private final Set<Server> busy = new LinkedHashSet<>(), suspects = new LinkedHashSet<>();
    /** Sum of a large fleet's effective in-flight limits as they move; added up anew with the shares to bound rounding errors. */
    private double limits;
    /** The same sum as if every server were warm and its zone had the weight 1. */
    private double warmLimits;
    /** Sequence number of the request that was held last. */
    private long turns;
    /** Sum of the effective in-flight limits of the servers that the last scan examined. */
    private double walkedLimits;
    /** Servers that ended an attempt since a scan of the whole fleet found no server with room; null without such a scan. */
    private Set<Server> freed;
    private final Set<Kind> roomless = new HashSet<>();
    /** Whether a reusable connection is preferred in this tick; a large fleet's {@link #shares} then keeps such servers apart. */
    private boolean thin;
    private boolean started, sweeping;

    /** Creates the module of a gateway that knows its settings only; the server list arrives as an event. */
    public LoadBalancer(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        rules = settings.rules();
        random = new SplittableRandom(seed);
        sharers = settings.gateways();
        sweepNanos = Math.max(settings.timerResolutionNanos(), SWEEP_NANOS);
        learnClassesAndTenants();
    }

    private void learnClassesAndTenants() {
        for (RequestClass c : settings.classes()) {
            kinds.put(c.name(), new Kind(c, c.aimNanos() * BUDGET_OF_AIM));
        }
        for (Tenant t : settings.tenants()) {
            double part = t.quotaPerSecond() / settings.gateways();
            Quota before = quotas.get(t.name());
            quotas.put(t.name(), new Quota(part, before == null ? new Bucket(part, now) : before.bucket()));
        }
    }

    /** Applies other settings. Open requests keep their class; what was learned of a class stays, even if its figures change. */
    private void retune(Settings next) {
        Map<String, Kind> before = new HashMap<>(kinds);
        sharers = sharers == settings.gateways() * processes ? next.gateways() * processes : sharers;
        settings = next;
        rules = next.rules();
        kinds.clear();
        // A tenant's token bucket is kept: otherwise each reload would fill its quota anew.
        quotas.keySet().retainAll(next.tenants().stream().map(Tenant::name).toList());
        roomless.clear();
        learnClassesAndTenants();
        before.forEach((name, old) -> kinds.computeIfPresent(name, (same, fresh) ->
                old.spec.equals(fresh.spec) ? old : new Kind(fresh.spec, old)));
        for (Server s : servers.values()) {
            s.retune(kinds);
            mark(s);
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
            actions.setTimer((long) (TICK_NANOS * (1 - random.nextDouble())), STEP_TOKEN);
            if (settings.subscribe()) {
                actions.subscribe();
            }
        }
        if (event instanceof RequestArrived e) {
            arrived(e, false);
        } else if (event instanceof RequestHeadArrived e) {
            arrived(e.request(), true);
        } else if (event instanceof RequestBodyReceived e && open.containsKey(e.id())) {
            whole(open.get(e.id()), e.expiresInNanos());
        } else if (event instanceof RequestNotReplayable e && open.containsKey(e.id())) {
            open.get(e.id()).mostAttempts = open.get(e.id()).attempts.size();
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof TimerFired e) {
            timer(e.token());
        } else if (event instanceof ListReceived e) {
            list(e);
        } else if (event instanceof ClientLeft e && open.containsKey(e.id())) {
            conclude(open.get(e.id()));
        } else if (event instanceof StreamStarted e && open.containsKey(e.id())) {
            open.get(e.id()).streaming = true;
        } else if (event instanceof ShutdownStarted e) {
            endsAt = now + e.answerWithinNanos();
        } else if (event instanceof GatewaysPerServerChanged e) {
            sharers = Math.max(1, e.gateways()) * processes;
        } else if (event instanceof ProcessOverlapChanged e) {
            sharers /= processes;
            processes = e.begins() ? 2 : 1;
            sharers *= processes;
        } else if (event instanceof LearnedStateReceived e && e.memory().isSane()) {
            recall(e.memory());
        } else if (event instanceof SettingsChanged e) {
            retune(e.settings());
        } else if (event instanceof ZoneWeightsChanged e) {
            weigh(e.byZone());
        } else if (event instanceof WarmServerRateReceived e) {
            bears = e.perSecond();
        }
    }

    /**
     * Applies the weights of zones. Servers of a zone that returns to service are no longer suspect: otherwise each would be
     * tried one request at a time. Their cold budgets start at random: otherwise all gateways would spend saved tokens at once.
     */
    private void weigh(Map<String, Double> byZone) {
        weights = byZone;
        for (Server s : ready) {
            double before = s.weight;
            s.weight = weight(s.info.zone());
            if (before < BACK && s.weight >= BACK) {
                s.silent = false;
                s.failures.set(0, now);
                s.cold.tokens = random.nextDouble();
            }
        }
        normalise();
        dispatch();
    }

    /** Returns the weight of a zone, which is never 0: where all zones are left, all servers are used as before. */
    private double weight(String zone) {
        return Math.max(LEAST_FRESH, weights.getOrDefault(zone, 1.0));
    }

    /** Returns what the module has learned, for another process of this same gateway. */
    public LearnedState learnedState() {
        return new LearnedState(pressure, lateness, warmRate(), ready.stream().map(s -> new LearnedState.ServerEntry(s.info.id(),
                s.info.startedAtNanos(), s.share, s.limit, recent(s), failures(s), s.silent)).toList(),
                kinds.values().stream().map(k -> new LearnedState.ClassEntry(k.spec.name(), k.latency, k.calmest, k.served)).toList());
    }

    /** Takes over what another process learned, but nothing invalid or of a restarted server: it would misdirect traffic. */
    private void recall(LearnedState m) {
        pressure = Math.max(leastPressure, Math.min(1 + ZONES_OPEN - LEAST_ADMITTED, m.pressure()));
        lateness = m.latencyToBudgetRatio();
        warmRate = m.requestRatePerServer();
        for (LearnedState.ServerEntry o : m.servers()) {
            Server s = servers.get(o.id());
            if (s != null && s.info.startedAtNanos() == o.startedAtNanos() && o.isSane()) {
                s.recall(o, now);
                if (doubtful(s)) {
                    suspects.add(s);
                }
            }
        }
        for (LearnedState.ClassEntry o : m.classes()) {
            Kind k = kinds.get(o.name());
            if (k != null && o.isSane(k.spec.deadlineNanos())) {
                k.recall(o);
            }
        }
        normalise();
    }

    private void timer(long token) {
        if (token == STEP_TOKEN) {
            step();
        } else if (token == SWEEP_TOKEN) {
            sweeping = false;
            sweep();
            sweepLater();
        } else if (token == ASK_TOKEN) {
            actions.subscribe();
        } else if (due.containsKey(token)) {
            due.remove(token).run();
        }
    }

    private void arrived(RequestArrived e, boolean arriving) {
        Kind kind = kinds.get(e.requestClass());
        if (kind == null) {
            throw new IllegalArgumentException("requestClass: unknown class " + e.requestClass());
        }
        // After shutdown began, a request must be answered before the gateway ends: afterwards nobody could answer it.
        long deadline = Math.min(now + e.expiresInNanos(), endsAt);
        if (e.routePolicy() != null) {
            e.routePolicy().recordRequest(now);
            deadline = Math.min(deadline, now + e.routePolicy().totalTimeoutNanos());
        }
        // A client's retry whose aim passed in its first try is not to be served before fresh requests. It arrives with the rest
        // of its deadline as its timeout, while first tries share one timeout: the difference is the first try's time.
        long firstAsked = now - kind.shorterBy(e.expiresInNanos());
        Request r = new Request(e.id(), kind, overShare(e.tenant()), e.routePolicy(), firstAsked, deadline, mostAttempts(e.routePolicy()));
        if (arriving) {
            r.arriving = true;
            r.deadline = NEVER;
        }
        open.put(r.id, r);
        arrivals++;
        extra = Math.min(MOST_EXTRA, extra + EXTRA_PER_REQUEST);
        r.value = value(r);
        if (shed(r)) {
            finish(r);
        } else {
            place(r);
        }
        sweepLater();
    }

    /** Handles the end of a request's body: its time limits start, and an attempt chosen meanwhile counts as in flight. */
    private void whole(Request r, long expiresInNanos) {
        r.arriving = false;
        r.arrivedAt = now;
        r.deadline = Math.min(now + expiresInNanos, endsAt);
        for (Attempt a : List.copyOf(r.attempts)) {
            if (!a.ended()) {
                r.attempts.set(a.number(), new Attempt(r, a.server(), a.number(), now));
                takeUp(r.attempts.get(a.number()));
            }
        }
    }

    /**
     * Decides at random whether to shed for overload, least priority first: serving everything would answer nothing in time. The
     * best priority is never shed here but held, and {@link #sweep} refuses what has been held for too long.
     */
    private boolean shed(Request r) {
        double rank = bestValue / Math.max(r.value, Double.MIN_NORMAL);
        double admitted = 1 + ZONES_OPEN - pressure;
        return admitted < 1 && random.nextDouble() >= Math.pow(admitted, Math.max(0, rank - 1));
    }

    /** Returns the priority: worth (less beyond the tenant's quota or if sure to be late) divided by the class's mean latency. */
    private double value(Request r) {
        RequestClass c = r.kind.spec;
        double part = hopeless(r) ? c.lateWorth() : r.overShare ? settings.overQuotaWorth() : 1;
        return part * c.worth() / r.kind.latency;
    }

    /** Updates the pressure: many answers beyond half their aim mean more load than the servers in use can serve in time. */
    private void feel(Kind kind, Outcome outcome, long elapsedNanos) {
        boolean late = outcome != Outcome.SERVED || elapsedNanos > kind.spec.aimNanos() * PATIENCE_OF_AIM;
        pressure = Math.max(leastPressure, Math.min(1 + ZONES_OPEN - LEAST_ADMITTED,
                pressure + (late ? LATE_STEP : -IN_TIME_STEP)));
    }

    private boolean overShare(String tenant) {
        Quota q = quotas.get(tenant);
        return q != null && !q.bucket().take(now, q.perSecond() / SECOND_NANOS / processes, q.perSecond());
    }

    /**
     * Compares by descending priority, then by descending hold sequence. It is one plain method because it is called for each
     * step through the held requests, and is not yet compiled after a start.
     */
    private static int worthier(Request a, Request b) {
        return a.value != b.value ? Double.compare(b.value, a.value) : Long.compare(b.turn, a.turn);
    }

    /** Holds a request and dispatches. One without a server that would expire before the next sweep is answered at once. */
    private void place(Request r) {
        r.turn = ++turns;
        held.add(r);
        dispatch();
        if (r.outstanding == 0 && !r.concluded && endsBeforeSweep(r)) {
            finish(r);
        }
    }

    private boolean endsBeforeSweep(Request r) {
        return now + 2 * sweepNanos >= r.deadline;
    }

    /**
     * Returns whether a request would miss its aim even if sent now. The estimate is bounded by a fraction of the aim: otherwise
     * a class whose mean latency once exceeded its aim would be shed for good, as no answer would show it to be fast again.
     */
    private boolean hopeless(Request r) {
        double aim = r.kind.spec.aimNanos();
        double needs = Math.min(aim * MOST_OF_AIM, Math.max(r.kind.latency, aim * PATIENCE_OF_AIM));
        return now + needs > r.arrivedAt + aim;
    }

    /**
     * Sends held requests while a server has room, by descending priority, among equals the newest first: otherwise only those
     * about to miss their aim would be sent in overload. A retry that finds no server for its own reasons (servers tried, a
     * pause, its dedup group) is skipped: otherwise it would block all of lower priority until its deadline beside idle servers.
     */
    private void dispatch() {
        int passedOver = 0;
        for (Iterator<Request> worthiestFirst = held.iterator(); worthiestFirst.hasNext();) {
            Request r = worthiestFirst.next();
            boolean triedBefore = !r.attempts.isEmpty();
            if (triedBefore && passedOver == MOST_PASSED_OVER) {
                continue;
            }
            Server s = draw(r);
            if (s != null) {
                worthiestFirst.remove();
                send(r, s);
            } else if (triedBefore && !crowded()) {
                passedOver++;
            } else {
                return;
            }
        }
    }

    /** Returns a server drawn at random with the weight share x gates, or null if none may take the request now. */
    Server draw(Request r) {
        if (ready.size() <= FEW) {
            Server drawn = walk(r, ready);
            total = walkedLimits;
            return crowded() ? null : drawn;
        }
        total = limits;
        if (crowded()) {
            return null;
        }
        double farGate = farGate();
        double fresh = freshGate();
        double ofKept = shares.sum(true, farGate);
        ofKept /= ofKept + fresh * shares.sum(false, farGate);
        // No gate is above 1, so accepting a pick by share with a probability equal to its gates draws by share x gates.
        for (int i = 0; i < Math.max(PICKS, ready.size() / PICKS_PART) && freed == null; i++) {
            boolean kept = ofKept > 0 && random.nextDouble() < ofKept;
            Server s = shares.pick(random, kept, farGate);
            if (s != null && s.ready && random.nextDouble() < gates(r, s, kept && !isKept(s) ? fresh : 1, coldGate(s))
                    && maySend(r, s)) {
                return s;
            }
        }
        // Avoids a full scan for each held request while no server has room: since the last full scan, only servers that have
        // ended an attempt can have room; other changes are noticed at the next sweep.
        boolean looked = freed != null && roomless.contains(r.kind) && r.attempts.isEmpty();
        Server drawn = walk(r, looked ? freed : ready);
        if (drawn == null && !looked && r.attempts.isEmpty()) {
            freed = freed == null ? new LinkedHashSet<>() : freed;
            roomless.add(r.kind);
        }
        return drawn;
    }

    /** Returns the servers that are ready; tests compare both ways to draw with it. */
    List<Server> ready() {
        return ready;
    }

    /** Returns the tokens that are left of a tenant's quota now. */
    double left(String tenant) {
        Quota q = quotas.get(tenant);
        return q.bucket().refill(now, q.perSecond() / SECOND_NANOS / processes, q.perSecond());
    }

    Kind kind(String name) {
        return kinds.get(name);
    }

    /** Draws from the same distribution as {@link #draw} by examining each candidate. */
    Server walk(Request r, Collection<Server> among) {
        Server drawn = null;
        double sum = 0;
        double fresh = freshGate();
        walkedLimits = 0;
        for (Server s : among) {
            double cold = coldGate(s);
            walkedLimits += s.limit * cold * s.weight;
            double gates = gates(r, s, zoneGate(s), cold) * (fresh < 1 && !isKept(s) ? fresh : 1);
            double weight = gates > 0 && maySend(r, s) ? s.share * gates : 0;
            sum += weight;
            drawn = weight > 0 && random.nextDouble() * sum < weight ? s : drawn;
        }
        return drawn;
    }

    private double gates(Request r, Server s, double zoneGate, double cold) {
        looks++;
        return s.weight * Math.max(0, roomGate(s, cold)) * queueGate(s) * healthGate(s) * classGate(r.kind, s) * zoneGate * cold
                * RetryRules.triedGate(r, s);
    }

    /**
     * Returns the gate of servers without a reusable connection. It falls below 1 where a server gets less than one request a
     * tick from this gateway, so that servers with a free open connection are preferred, the more the sparser the traffic.
     * Otherwise this gateway would meet each server too seldom to learn of any, each request would pay for a new connection, and
     * the connections of many gateways would fill the servers' tables. The other servers are used where the preferred ones are
     * slow, failing or gone. It could do harm where gateways are few and unlike: each would crowd its own servers.
     */
    private double freshGate() {
        return Math.max(LEAST_FRESH, Math.min(1, Math.pow(warmRate() * TICK_NANOS / SECOND_NANOS, THIN)));
    }

    private boolean isKept(Server s) {
        return s.inFlight == 0 && s.answeredAt > 0 && now - s.answeredAt < settings.upstreamOptions().idleNanos() * KEPT_PART;
    }

    /** Returns if attempts in flight reach the limit sum plus a margin for chance: one gateway's part varies relatively more. */
    private boolean crowded() {
        double chance = CHANCE_DEVIATIONS * Math.sqrt(total) * (1 - 1.0 / sharers);
        return inFlight > 0 && inFlight >= total + chance;
    }

    /** Updates a server's contribution to the limit sums of a large fleet. */
    private void count(Server s) {
        double counted = s.limit * coldGate(s) * s.weight;
        limits += counted - s.counted;
        warmLimits += s.limit - s.countedWarm;
        s.counted = counted;
        s.countedWarm = s.limit;
    }

    /** Recomputes what depends on time (a large fleet's limits in warm-up) and lets the next draw scan the whole fleet again. */
    private void survey() {
        freed = null;
        roomless.clear();
        warming.forEach(this::count);
        warming.removeIf(s -> coldGate(s) >= 1);
    }

    /** Returns the zone's gate: low for others while the own answers most requests within half their aim: nothing to gain. */
    private double zoneGate(Server s) {
        return near(s) ? 1 : farGate();
    }

    private double farGate() {
        return Math.max(1 - weight(settings.zone()), Math.max(LEAST_CROSSING, Math.min(1, pressure)));
    }

    private boolean near(Server s) {
        return s.info.zone().equals(settings.zone());
    }

    /** Returns a gate that falls to 0 at the server's limit of attempts in flight, set by {@link #adapt}: none is overloaded. */
    private double roomGate(Server s, double cold) {
        return Math.min(1, s.inFlight == 0 ? s.limit * ready.size() / total : s.limit * cold - s.inFlight);
    }

    /**
     * Returns a gate that falls where the last answers took more than half of the usual time, so as not to send behind a queue.
     * Where each of many gateways meets a server about once a second, shares show a slow server only after many seconds, and its
     * load is mostly what others sent; but a queue lasts for many requests: the last answer predicts the next.
     */
    private double queueGate(Server s) {
        return Math.pow(Math.max(1, recent(s) + 1 - NO_QUEUE), -STEEP);
    }

    /** Returns a gate that rises with the capacity of a just started server, at its slowest warm-up, to avoid overload. */
    private double coldGate(Server s) {
        return rules.capacityFraction(s.info.startedAtNanos(), now);
    }

    /**
     * Returns 0 for a suspect server except for one trial per interval over all gateways, even if only that server has room. It
     * covers servers that are silent and servers whose fast errors would gain them share. Where most servers are suspect (a lost
     * zone), only those that fail nearly always stay excluded; where all are suspect, none is.
     */
    private double healthGate(Server s) {
        return now >= s.trialAt || serves(s) || !doubtful(s) ? 1 : 0;
    }

    /**
     * Returns 0 for a server that fails this class but serves others, which hide that in its overall failure rate: a part is
     * broken, its release can't do it, or a store behind it is gone. Only errors count: they are explicit; slowness and overload
     * have other causes. It could do harm where the few that still serve it can't bear all; where none does, all are tried.
     */
    private double classGate(Kind kind, Server s) {
        ClassHealth h = s.classes.get(kind);
        return h == null || now >= h.trialAt || kind.failsEverywhere || !fails(s, kind) ? 1 : 0;
    }

    private double errors(ClassHealth h) {
        return h.errors.at(now, FAILURE_MEMORY_NANOS);
    }

    /** Returns whether a server fails this class but not all of them; {@link #healthGate} covers one that fails all. */
    private boolean fails(Server s, Kind kind) {
        ClassHealth h = s.classes.get(kind);
        return h != null && errors(h) >= FAILS_CLASS && s.classes.values().stream().anyMatch(o -> errors(o) < FAILING);
    }

    /** Returns how many servers are in use now. Ready servers that it does not count are avoided as suspect. */
    public int usableServerCount() {
        return (int) ready.stream().filter(s -> serves(s) || !doubtful(s)).count();
    }

    private boolean serves(Server s) {
        return 2 * inDoubt > ready.size() && (inDoubt == ready.size() || failures(s) < SURE);
    }

    private boolean doubtful(Server s) {
        return s.silent || failures(s) >= FAILING;
    }

    /** Returns whether a request may go to a server now. Every send is checked: drains, retries, effects, the cold budget. */
    private boolean maySend(Request r, Server s) {
        if (!s.ready || r.concluded || r.streaming || now >= r.deadline
                || r.attempts.size() >= r.mostAttempts || r.outstanding > (r.copying ? 1 : 0) || coldBudget(s) < 1) {
            return false;
        }
        // A hedge is not sent to a cold server: its budget is small, and another server already works on the request.
        if (r.copying && coldGate(s) < 1) {
            return false;
        }
        return RetryRules.mayHave(r, s, now);
    }

    private int mostAttempts(RoutePolicy course) {
        int most = Math.min(settings.upstreamOptions().maxAttempts(), Long.SIZE - 1);
        return course == null ? most : Math.min(most, course.maxAttempts());
    }

    /** Returns how many requests may go to a cold server now, from the rate that a warm server was seen to bear. */
    private double coldBudget(Server s) {
        double gate = coldGate(s);
        if (gate >= 1) {
            return 1;
        }
        double ofWarm = bears > 0 ? bears : borne > 0 ? borne : warmRate();
        double perNano = COLD_SAFETY * rules.overloadFactor() * gate * ofWarm / SECOND_NANOS / processes;
        return s.cold.refill(now, perNano, Math.max(1, perNano * rules.overloadForNanos() / 2));
    }

    private double warmRate() {
        double seconds = Math.max(1, (now - tickStart) / SECOND_NANOS);
        return Math.max(warmRate, arrivals / (seconds * Math.max(1, ready.size())));
    }

    private void send(Request r, Server s) {
        Attempt a = new Attempt(r, s, r.attempts.size(), now);
        r.attempts.add(a);
        r.outstanding++;
        if (!r.arriving) {
            takeUp(a);
        }
        s.cold.tokens--;
        s.trialAt = now + (long) Math.min(FAILURE_MEMORY_NANOS, TRIAL_NANOS * sharers);
        if (s.classes.containsKey(r.kind)) {
            s.classes.get(r.kind).trialAt = s.trialAt;
        }
        long left = Math.min(r.deadline - now, r.course == null ? Long.MAX_VALUE : r.course.attemptTimeoutNanos());
        actions.send(r.id, s.info.id(), left, r.repeatableFor(now));
        long after = r.course == null ? 0 : r.course.hedgeDelayNanos();
        if (after > 0 && !r.copying && r.kind.spec.effect() != Effect.UNSAFE) {
            later(after, r, () -> copy(r));
        }
    }

    /** Counts an attempt as in flight at its server. */
    private void takeUp(Attempt a) {
        a.server().waiting.add(a);
        if (a.server().slot >= 0) {
            busy.add(a.server());
        }
        a.server().inFlight++;
        inFlight++;
        mark(a.server());
    }

    /** Runs the action for the request after a delay, unless the request is concluded by then. */
    private void later(long nanos, Request r, Runnable work) {
        due.put(++lastToken, () -> {
            if (!r.concluded) {
                work.run();
            }
        });
        actions.setTimer(nanos, lastToken);
    }

    /** Sends a slow request's hedge to a warm, untried server with room, unless the first attempt ended or time is too short. */
    private void copy(Request r) {
        if (r.outstanding != 1 || r.streaming || now + r.kind.latency > r.deadline) {
            return;
        }
        r.copying = true;
        Server s = draw(r);
        if (s != null && r.course.tryWithdrawHedge(now)) {
            send(r, s);
        }
        r.copying = false;
    }

    private void ended(AttemptEnded e) {
        Request r = open.get(e.id());
        Attempt a = r == null || e.attempt() >= r.attempts.size() ? null : r.attempts.get(e.attempt());
        if (a == null || a.ended()) {
            return;
        }
        r.ended |= 1L << a.number();
        r.neverRan |= (e.outcome().provesItNeverRan() ? 1L : 0) << a.number();
        boolean unreached = e.outcome() == Outcome.CONNECT_FAILED || e.outcome() == Outcome.NOT_SENT;
        r.neverReached |= (unreached ? 1L : 0) << a.number();
        r.outstanding--;
        if (!r.arriving && (r.lost >> a.number() & 1) == 0) {
            a.server().inFlight--;
            inFlight--;
        }
        if (freed != null) {
            freed.add(a.server());
        }
        if (e.outcome() != Outcome.NOT_SENT) {
            learn(a, e.outcome(), e.elapsedNanos());
        }
        mark(a.server());
        if (e.concluded() || r.concluded) {
            conclude(r);
        } else if (r.outstanding == 0) {
            tryAgain(r, e.outcome());
        }
        dispatch();
    }

    /**
     * Retries a request after an attempt ended, or answers it. A retry that may repeat work costs a token of the retry budget.
     * {@link #maySend} decides where it may go.
     */
    private void tryAgain(Request r, Outcome outcome) {
        double cost = outcome.provesItNeverRan() ? 0 : 1;
        boolean may = r.kind.spec.effect() != Effect.UNSAFE || r.firstThatMayRun() == null;
        boolean left = r.attempts.size() < r.mostAttempts && now < r.deadline && !RetryRules.isExhausted(r, ready, now);
        if (r.course != null) {
            tryAgainOnItsCourse(r, outcome, may && left);
        } else if (may && left && extra >= cost) {
            extra -= cost;
            place(r);
        } else {
            finish(r);
        }
    }

    /** Retries within the route policy's limits after a jittered backoff; if that outlasts the deadline, answers at once. */
    private void tryAgainOnItsCourse(Request r, Outcome outcome, boolean may) {
        long most = r.course.backoffNanos(r.attempts.size());
        long wait = most == 0 ? 0 : (long) (most * (1 + random.nextDouble()) / 2);
        if (!may || now + wait + 2 * sweepNanos >= r.deadline || !r.course.tryWithdrawRetry(outcome, now)) {
            finish(r);
        } else if (wait == 0) {
            place(r);
        } else {
            later(wait, r, () -> place(r));
        }
    }

    private void finish(Request r) {
        if (RetryRules.mayRefuse(r)) {
            refusals++;
            // Without a route policy, no advice to wait: shedding is random, so an immediate retry may be admitted.
            actions.refuse(r.id, r.course == null ? 0 : r.course.retryAfterNanos());
        } else {
            actions.fail(r.id);
        }
        conclude(r);
    }

    /** Marks a request as concluded and cancels its attempts in flight, once; removes it when no attempt is in flight. */
    private void conclude(Request r) {
        for (Attempt a : r.attempts) {
            if (!r.concluded && !a.ended() && (r.kind.spec.effect() != Effect.SAFE || (r.lost >> a.number() & 1) == 0)
                    && settings.upstreamOptions().cancel() && !r.streaming) {
                actions.cancel(r.id, a.number());
            }
        }
        r.concluded = true;
        held.remove(r);
        if (r.outstanding == 0) {
            open.remove(r.id);
        }
    }

    private void learn(Attempt a, Outcome outcome, long elapsedNanos) {
        Server s = a.server();
        Kind kind = a.request().kind;
        boolean served = outcome == Outcome.SERVED;
        servedWarm += served && coldGate(s) >= 1 ? 1 : 0;
        if (a.request().course != null) {
            if (served) {
                a.request().course.recordServed(elapsedNanos);
            }
            // A short attempt timeout or early cancelled hedge is no fast answer or bad server: it only proves a longer latency.
            boolean givenUp = outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED;
            if (givenUp && elapsedNanos < Math.max(kind.latency, kind.spec.aimNanos() * PATIENCE_OF_AIM)) {
                if (elapsedNanos > kind.latency) {
                    hear(s, kind, outcome, elapsedNanos);
                }
                return;
            }
        }
        // Relative to the class's mean: otherwise a server that got more long or short requests would pass for slow or fast.
        hear(s, kind, outcome, elapsedNanos);
        if (served) {
            kind.took(elapsedNanos);
        }
        if (served || outcome == Outcome.ERROR || outcome == Outcome.FULL) {
            s.answeredAt = now;
            s.answeredSentAt = Math.max(s.answeredSentAt, a.sentAt());
            s.silent = false;
        }
        if (outcome != Outcome.CANCELLED && outcome != Outcome.FULL) {
            if (s.failures.add(served ? 0 : 1, HEALTH_RATE, now, FAILURE_MEMORY_NANOS) >= FAILING) {
                suspects.add(s);
            }
        }
        if (served || outcome == Outcome.ERROR) {
            ClassHealth h = s.classes.computeIfAbsent(kind, k -> new ClassHealth());
            if (h.errors.add(served ? 0 : 1, HEALTH_RATE, now, FAILURE_MEMORY_NANOS) >= FAILS_CLASS) {
                kind.failing.add(s);
            }
        }
        if (served || outcome == Outcome.FULL || outcome == Outcome.TIMED_OUT
                || outcome == Outcome.CANCELLED) {
            feel(kind, outcome, elapsedNanos);
            adapt(s, outcome == Outcome.FULL ? 2 : elapsedNanos / budget(kind));
        }
    }

    /**
     * Records an attempt's latency relative to its class's mean, which is 1 ns at least: decaying samples never lose the result
     * of a division by 0. For the queue gate, an error or a full server is no fast answer: it would pass for one without a queue.
     */
    private void hear(Server s, Kind kind, Outcome outcome, long elapsedNanos) {
        double latency = elapsedNanos / Math.max(1, kind.latency);
        s.tick.add(latency, 1);
        s.heard = true;
        double before = recent(s);
        double told = Math.min(MOST_RECENT, outcome == Outcome.FULL ? MOST_RECENT
                : outcome == Outcome.SERVED ? latency : Math.max(before, latency));
        s.recent.add(told, NEWEST, now, QUEUE_NANOS);
    }

    /** Returns a server's last latencies relative to the usual one; with age the value returns to 1. */
    private double recent(Server s) {
        return s.recent.at(now, QUEUE_NANOS);
    }

    /**
     * Returns the time that an answer of the class should take. It is not below the minimum mean latency of the class, up to
     * half the aim, so that an aim that is short for the work does not keep the limits at their minimum.
     */
    private static double budget(Kind kind) {
        double aim = kind.spec.aimNanos();
        return Math.max(aim * BUDGET_OF_AIM, Math.min(aim * PATIENCE_OF_AIM, kind.calmest));
    }

    private double failures(Server s) {
        return s.failures.at(now, FAILURE_MEMORY_NANOS);
    }

    /**
     * Adjusts a server's in-flight limit by latency / budget; where its answers are rare, mostly by the fleet's. It rises only
     * while it is used and the gateway is at its limit: risen unused in calm times, it would overload the rest if a zone is lost.
     */
    private void adapt(Server s, double late) {
        s.lateness += HEALTH_RATE * (late - s.lateness);
        lateness += HEALTH_RATE / 4 * (late - lateness);
        double own = Math.min(1, s.limit);
        double seen = own * s.lateness + (1 - own) * lateness;
        if (seen > 1) {
            double lower = s.limit - own * Math.min(1, seen - 1) / 2;
            s.limit = Math.max(LEAST_IN_FLIGHT / sharers, lower);
        } else if (s.inFlight + 1 >= s.limit - 1 && inFlight + 1 >= total) {
            s.limit += own / Math.max(1, s.limit);
        }
        if (s.slot >= 0) {
            count(s);
        }
    }

    private void sweepLater() {
        if (!sweeping && !open.isEmpty()) {
            sweeping = true;
            actions.setTimer(sweepNanos, SWEEP_TOKEN);
        }
    }

    private void sweep() {
        survey();
        (ready.size() <= FEW ? ready : List.copyOf(busy)).forEach(this::listen);
        busy.removeIf(s -> !s.ready || s.waiting.isEmpty());
        bestValue = kinds.values().stream().mapToDouble(k -> k.spec.worth() / k.latency).max().orElse(0);
        suspects.removeIf(s -> !s.ready || !doubtful(s));
        inDoubt = suspects.size();
        for (Kind k : kinds.values()) {
            // All servers can only fail a class if each is among those that failed it at some time.
            k.failsEverywhere = k.failing.size() >= ready.size() && ready.stream().allMatch(s -> fails(s, k));
        }
        if (held.isEmpty()) {
            return;
        }
        List<Request> waiting = new ArrayList<>(held);
        waiting.sort((a, b) -> Long.compare(a.turn, b.turn));
        held.clear();
        for (Request r : waiting) {
            r.value = value(r);
            if (endsBeforeSweep(r) || hopeless(r) && r.kind.spec.lateWorth() == 0 || RetryRules.isExhausted(r, ready, now)) {
                finish(r);
            } else {
                held.add(r);
            }
        }
        dispatch();
    }

    /** Marks a server as silent when attempts are overdue and none was answered since they were sent, before they time out. */
    private void listen(Server s) {
        int overdue = 0;
        double slowness = Math.max(1, lateness);
        for (Iterator<Attempt> i = s.waiting.iterator(); i.hasNext();) {
            Attempt a = i.next();
            if (a.ended()) {
                i.remove();
                continue;
            }
            double outOfAim = (now - a.sentAt()) / (slowness * a.request().kind.spec.aimNanos());
            if (outOfAim > OVERTAKEN_OF_AIM && a.sentAt() < s.answeredSentAt) {
                i.remove();
                lose(a);
            } else if (outOfAim > PATIENCE_OF_AIM && a.sentAt() >= s.answeredAt) {
                overdue++;
            }
        }
        if (overdue >= (rare() ? 1 : 2) && !s.silent) {
            s.silent = true;
            suspects.add(s);
            actions.log("server " + s.info.id() + " is silent: no answer to " + overdue + " overdue attempts, now suspect");
        }
    }

    /**
     * Releases the place of an attempt whose answer seems lost, since later attempts were answered: it would otherwise count as
     * in flight until its timeout, and two of them could use up a server's limit. The same holds for work that is stuck in a
     * server. An attempt of a safe request is cancelled and retried. It could do harm where work differs so much that long
     * requests are overtaken as a rule: they would run twice, within the retry budget.
     */
    private void lose(Attempt a) {
        Request r = a.request();
        r.lost |= 1L << a.number();
        a.server().inFlight--;
        inFlight--;
        mark(a.server());
        if (r.kind.spec.effect() == Effect.SAFE && settings.upstreamOptions().cancel() && !r.concluded && !r.streaming) {
            actions.cancel(r.id, a.number());
        }
    }

    /** Returns whether this gateway sends a server less than one request a tick, and so seldom has two in flight at one. */
    private boolean rare() {
        return warmRate() * TICK_NANOS < SECOND_NANOS;
    }

    /** Updates shares each tick. Algorithm 1: D_j *= 1 + eta F_j |l_mean - l_j| / l_mean, F_j |l_mean - l_j| = l_mean - l_j. */
    private void step() {
        actions.setTimer(TICK_NANOS, STEP_TOKEN); // Set first, so that a fault below does not end all updates.
        alike.values().forEach(Pool::clear);
        Pool fleet = new Pool();
        for (Server s : ready) {
            s.like.add(s.tick.sum, s.tick.samples);
            fleet.add(s.tick.sum, s.tick.samples);
        }
        // With too few samples for a mean of its own, a server without a sample moves as similar servers do.
        boolean few = fleet.samples < SHRINK_SAMPLES * ready.size();
        double mean = 0;
        int counted = 0;
        for (Server s : ready) {
            s.sampled = s.heard || few && s.like.samples > 0;
            s.heard = false;
            if (s.sampled) {
                s.latency = s.tick.mixed(s.like.mixed(fleet.mean(), SHRINK_SAMPLES), SHRINK_SAMPLES);
                mean += s.latency;
                counted++;
            }
            s.tick.fade(KEPT);
        }
        mean /= Math.max(1, counted);
        for (Server s : ready) {
            if (s.sampled && mean > 0) {
                s.share *= Math.max(LEAST_FACTOR, 1 + ETA * (mean - s.latency) / mean);
            }
        }
        if (refusals > 0) {
            actions.log("refused " + refusals + " requests in this tick, " + arrivals + " arrived");
        }
        warmRate = Math.max(warmRate * 0.95, warmRate());
        // Per warm server only: where most are lost, the load of the rest is not what one bears, and would overload cold ones.
        long warm = ready.stream().filter(s -> coldGate(s) >= 1).count();
        borne = Math.max(borne * 0.95, servedWarm / Math.max(1.0, warm));
        arrivals = refusals = servedWarm = 0;
        tickStart = now;
        normalise();
    }

    private void normalise() {
        double sum = ready.stream().mapToDouble(s -> s.share).sum();
        for (Server s : ready) {
            s.share = sum > 0 ? Math.max(s.share / sum, LEAST_SHARE / ready.size()) : 1.0 / ready.size();
        }
        warming.clear();
        busy.clear();
        limits = 0;
        warmLimits = 0;
        for (int i = 0; i < ready.size(); i++) {
            Server s = ready.get(i);
            s.place = i;
            s.slot = -1;
            s.counted = 0;
            s.countedWarm = 0;
            if (ready.size() > FEW) {
                s.near = near(s);
                enter(s);
            }
        }
        shares.build(ready.size() > FEW ? ready : List.of());
        thin = freshGate() < 1;
        ready.forEach(this::mark);
        survey();
    }

    /** Updates in {@link #shares} if a server's connection is reusable; called when attempts in flight or last answer change. */
    private void mark(Server s) {
        if (s.slot >= 0) {
            shares.keep(s, thin && isKept(s));
        }
    }

    /** Adds a ready server to the sums that draws over a large fleet use. */
    private void enter(Server s) {
        count(s);
        if (coldGate(s) < 1) {
            warming.add(s);
        }
        if (!s.waiting.isEmpty()) {
            busy.add(s);
        }
    }

    /** Removes a server from the sums that draws over a large fleet use. */
    private void leave(Server s) {
        shares.remove(s);
        limits -= s.counted;
        warmLimits -= s.countedWarm;
        s.counted = 0;
        s.countedWarm = 0;
        warming.remove(s);
    }

    private void list(ListReceived e) {
        failedAsks = e.kind() == ListKind.FAILED ? failedAsks + 1 : 0;
        if (e.kind() == ListKind.FAILED) {
            // Retries a failed list call with backoff and jitter, early enough for the time within which the rules require a
            // new call. Where lists are pushed, an agent of the gateway's own answers, and the backoff does not grow.
            double backoff = SECOND_NANOS / 5 * (settings.subscribe() ? 1 << Math.min(failedAsks, 8) : 1);
            double wait = Math.min(rules.askWithinNanos() / 2.0, backoff);
            actions.setTimer((long) (wait * (1 + random.nextDouble()) / 2), ASK_TOKEN);
            return;
        }
        if (e.kind() == ListKind.CHANGES && ready.size() - e.servers().size() > FEW) {
            change(e.servers());
        } else {
            replace(e);
        }
        dispatch();
        sweepLater();
    }

    private void replace(ListReceived e) {
        if (e.kind() != ListKind.CHANGES) {
            servers.values().forEach(s -> s.ready = false);
        }
        double mean = ready.stream().mapToDouble(s -> s.share).average().orElse(1);
        // New servers get the average limit: with the initial one, replacing all servers in turn would hold back all traffic.
        double first = Math.max(FIRST_IN_FLIGHT / sharers,
                ready.stream().mapToDouble(s -> s.limit).average().orElse(0));
        e.servers().forEach(info -> update(info, mean, first));
        // Servers that are no longer ready are removed, so that memory does not grow with each machine that was ever listed.
        servers.values().removeIf(s -> !s.ready);
        kinds.values().forEach(k -> k.failing.removeIf(s -> !s.ready));
        ready.clear();
        ready.addAll(servers.values());
        leastPressure = ready.stream().allMatch(this::near) ? CALM : 0;
        normalise();
    }

    /**
     * Applies a few changes to a large fleet in time that depends on their number only. The shares add up to 1 and respect their
     * minimum again from the next update on; a draw needs neither.
     */
    private void change(List<ServerInfo> changes) {
        double mean = (shares.sum(true, 1) + shares.sum(false, 1)) / ready.size();
        double first = Math.max(FIRST_IN_FLIGHT / sharers, warmLimits / ready.size());
        for (ServerInfo info : changes) {
            Server old = servers.get(info.id());
            if (old != null) {
                Server last = ready.remove(ready.size() - 1);
                if (last != old) {
                    ready.set(old.place, last);
                    last.place = old.place;
                }
                leave(old);
            }
            Server s = update(info, mean, first);
            if (s.ready) {
                s.place = ready.size();
                ready.add(s);
                s.near = near(s);
                shares.add(s);
                enter(s);
                mark(s);
                if (freed != null) {
                    freed.add(s);
                }
            } else {
                servers.remove(info.id());
            }
            if (old != null && !old.ready) {
                kinds.values().forEach(k -> k.failing.remove(old));
            }
        }
        leastPressure = shares.allNear() ? CALM : 0;
    }

    /** Creates or updates the server of a list entry. A restarted server starts without any learned state. */
    private Server update(ServerInfo info, double share, double limit) {
        Server s = servers.get(info.id());
        if (s == null || s.info.startedAtNanos() != info.startedAtNanos()) {
            if (s != null) {
                s.ready = false;
            }
            s = new Server(new Bucket(random.nextDouble(), now), share, limit);
            servers.put(info.id(), s);
        }
        s.info = info;
        s.weight = weight(info.zone());
        s.like = alike.computeIfAbsent(info.zone() + ' ' + info.machineType(), k -> new Pool());
        s.ready = info.readiness() == Readiness.READY;
        return s;
    }
}
