package cinderhollow.daemon;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.EventLoopLag;
import cinderhollow.core.RequestCounters;
import cinderhollow.core.LagAwareTimers;
import cinderhollow.core.Transport;
import cinderhollow.http1.Acceptor;
import cinderhollow.http1.DownstreamConnectionManager.BadRequest;
import cinderhollow.http1.DownstreamConnectionManager.Reply;
import cinderhollow.http1.DownstreamConnectionManager;
import cinderhollow.http1.UpstreamPool;
import cinderhollow.http1.ResponseSink;
import cinderhollow.http1.RequestReader;
import cinderhollow.http1.Upload;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.Traffic;
import cinderhollow.evacuation.ZoneStanding;
import cinderhollow.handover.Snapshot;
import cinderhollow.lifecycle.RequestLifecycle;
import cinderhollow.lifecycle.RequestState;
import cinderhollow.lifecycle.SampledLog;
import cinderhollow.lifecycle.SendDecision;
import cinderhollow.lifecycle.TransitionMonitor;
import cinderhollow.ledger.Breach;
import cinderhollow.ledger.End;
import cinderhollow.ledger.Figures;
import cinderhollow.ledger.Frame;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.Place;
import cinderhollow.ledger.Sheet;
import cinderhollow.membership.Discovery;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointListDiffer;
import cinderhollow.membership.StartTimes;
import cinderhollow.membership.Subset;
import cinderhollow.ops.Standing;
import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.RequestHeadArrived;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.ClientLeft;
import cinderhollow.policy.Protocol.ShutdownStarted;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.ProcessOverlapChanged;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.LearnedStateReceived;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.SettingsChanged;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.GatewaysPerServerChanged;
import cinderhollow.policy.Protocol.RequestNotReplayable;
import cinderhollow.policy.Protocol.TimerFired;
import cinderhollow.policy.Protocol.RequestBodyReceived;
import cinderhollow.routes.Paths;
import cinderhollow.routes.RouteCourse;
import cinderhollow.routes.Routing;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * One gateway: owns the decision module (policy), its clock and timers, and the open requests, and carries out the module's
 * actions. Everything runs on one event loop thread.
 *
 * <p>Events that occur while the module is handling one are queued, so that an action never re-enters the module.
 */
final class Gateway implements Actions, GatewayService {
    /** The platform kills the process no sooner than the longest request deadline plus this time after SIGTERM. */
    private static final long KILLED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    /** Cap on the deadline that counts for the shutdown time: a longer one counts as this. */
    private static final long LONGEST_COUNTED_NANOS = TimeUnit.SECONDS.toNanos(3);
    /**
     * Reserve of the shutdown time, for a signal that is handled late, for 0.15 s in which the process gets no core, and for
     * its last steps.
     */
    private static final long END_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /**
     * Time after its deadline at which the gateway itself answers an unanswered request. Half a second after this the answer
     * would be lost.
     */
    private static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** The same at shutdown, past the shutdown deadline, and the interval of the check for overdue requests. */
    private static final long OVERDUE_AT_END_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long OVERDUE_LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LONGEST_TAKING_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Shortest time for which connections are accepted during shutdown: new ones keep arriving for up to 0.4 s. */
    private static final long LEAST_TAKING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long END_CHECK_MILLIS = 10;
    /** Tries to bind the listener, and the delay between them, while the system cannot provide a socket. */
    private static final int LISTEN_ATTEMPTS = 40;
    private static final long LISTEN_RETRY_MILLIS = 50;
    /** Longest wait for the journal at shutdown: a slow disk must not delay the end of the process. */
    private static final long JOURNAL_END_MILLIS = 300;
    /** File descriptors reserved for the listener, the watch, the selector, the jar files and the standard streams. */
    private static final int OTHER_DESCRIPTORS = 64;
    /** File descriptors of the operators' socket and its connections, reserved where there is one. */
    static final int DOOR_DESCRIPTORS = 33;
    /** A list of more endpoints than this is compared with the previous one and applied in portions. */
    private static final int LARGE_LIST = 1_000;

    private final EventLoop loop;
    private final Consumer<String> log;
    private final GatewayClock clock = new GatewayClock();
    private final LagAwareTimers timers;
    /**
     * Lateness of the event loop, and waiting time of a refused or failed request, from which it is logged: it uses up a good
     * part of a target latency.
     */
    private static final long WORTH_TELLING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private final EventLoopLag lag = new EventLoopLag();
    private final TransitionMonitor monitor;
    /** Sampled log of requests that were refused or failed long after they arrived, with their attempts. */
    private final SampledLog lateRefusals;
    private final GatewayConfig config;
    /** Null where this gateway has no peers. */
    private final PeerTransport talk;
    /** Whether any zone is usable, so that clients should come to this gateway. */
    private boolean welcome = true;
    /** Null where no operator's file sets routes. */
    private Routing routing;
    /** Null where no ledger is kept. */
    private final Ledger ledger;
    /** Null where the ledger is not kept across restarts. */
    private final Journal journal;
    private long taken;
    private final Sheet requestSheet;
    private final Sheet attemptSheet;
    private final Map<String, RequestClass> classes = new HashMap<>();
    /** Request counters by class name, including classes that a reload removed; null where there is no operators' socket. */
    private final Map<String, RequestCounters> tallies;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ArrayDeque<Stamped> events = new ArrayDeque<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final LoadBalancer choice;
    private final UpstreamPool hosts;
    private final Discovery discovery;
    private final DownstreamConnectionManager clients;
    /** Gateways of the other event loops, which receive each list from this one. */
    private List<Gateway> followers = List.of();
    /** Null where the list is small and applied as it is received. */
    private EndpointListDiffer changes;
    /** Applies the portions of {@link #changes}. */
    private IncrementalTask portions;
    /** The listener shared by all loops, which stops with this gateway; null where each loop has its own. */
    private Acceptor acceptor;
    private int sharers;
    private long last = Long.MIN_VALUE;
    private boolean deciding;
    private final StartTimes startTimes = new StartTimes();
    private boolean askedForList;
    private long listIndex;
    /** Number of processes of this same gateway that serve beside this one. */
    private int beside;
    private long cfgAccepted;
    private long cfgInvalid;
    private boolean listening;
    private boolean standby;
    private boolean ending;
    /**
     * Time by which every request must be answered, once shutdown was requested, and time of the next check for overdue
     * requests.
     */
    private long answersBy = Long.MAX_VALUE;
    private long looksAt = Long.MIN_VALUE;

    /** An event for the decision module with its time, in nanoseconds of the gateway's clock. */
    private record Stamped(long at, Event event) { }

    private Gateway(EventLoop loop, GatewayConfig config, Transport transport, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        monitor = new TransitionMonitor(log);
        lateRefusals = new SampledLog(log);
        timers = new LagAwareTimers(loop, clock);
        this.config = config;
        routing = config.routes() == null ? null : new Routing(config.routes());
        config.settings().classes().forEach(c -> classes.put(c.name(), c));
        tallies = config.door() == null ? null : new HashMap<>();
        ledger = config.bookkeeping() == null ? null
                : new Ledger(config.routes().stream().map(Object::toString).toList());
        requestSheet = ledger == null ? null : ledger.sheet(Place.CORE);
        attemptSheet = ledger == null ? null : ledger.sheet(Place.ATTEMPTS);
        journal = ledger == null || config.bookkeeping().directory() == null ? null
                : Journal.open(loop, config.bookkeeping(), Journal.FILE_OUTPUTS, ledger, this::tellOpen, log);
        int others = OTHER_DESCRIPTORS + (config.door() == null ? 0 : DOOR_DESCRIPTORS);
        int connections = Math.max(2, config.maxDescriptors() - others);
        hosts = new UpstreamPool(loop, transport, clock, config.dialTimeoutNanos(), config.idleTimeoutNanos(), connections / 2,
                ledger == null ? null : ledger.sheet(Place.NODES), ledger == null ? 0 : ledger.accounts().size());
        discovery = config.discovery() == null ? null : new Discovery(loop, transport, config.discovery(),
                config.knownEndpoints().index(), Discovery.SILENCE_TIMEOUT_MILLIS,
                // The larger limit only with an operator's file: an endless line is detected by its length alone.
                config.routes() == null ? Discovery.MAX_LIST_BYTES : Discovery.MAX_LARGE_FLEET_LIST_BYTES, new Watcher(), log);
        askedForList = discovery == null && (config.scale() == null || !config.scale().follows());
        clients = new DownstreamConnectionManager(loop, transport, clock, lag, connections / 2, new Requests(),
                ledger == null ? null : ledger.sheet(Place.CLIENTS));
        choice = new LoadBalancer(config.settings(), config.seed(), this);
        talk = config.peering() == null ? null : new PeerTransport(loop, config.peering(), config.settings().rules(), clock,
                config.seed(), this::tell, clientsMayCome -> welcome = clientsMayCome, log);
    }

    /** Starts a gateway. The future completes once it listens, or exceptionally if it cannot. */
    static CompletableFuture<Gateway> start(EventLoop loop, GatewayConfig config, Transport transport,
                                            Consumer<String> log) {
        return open(loop, config, transport, log).thenCompose(Gateway::listen);
    }

    /**
     * Opens a gateway that follows discovery and does not accept clients yet. A gateway that listened at once would not be
     * ready: discovery's first answer may take time, in which other work can be done.
     */
    static CompletableFuture<Gateway> open(EventLoop loop, GatewayConfig config, Transport transport,
                                           Consumer<String> log) {
        CompletableFuture<Gateway> opened = new CompletableFuture<>();
        loop.execute(() -> {
            Gateway gateway = new Gateway(loop, config, transport, log);
            gateway.begin();
            if (gateway.talk == null) {
                opened.complete(gateway);
            } else {
                GatewayService.tell(opened, gateway.talk.open(), gateway);
            }
        });
        return opened;
    }

    private void begin() {
        beatLater();
        if (ledger != null) {
            loop.scheduleAtFixedRate(this::compareAccounts, 1, 1, TimeUnit.SECONDS);
            long every = config.bookkeeping().everyNanos();
            if (every > 0) {
                loop.scheduleAtFixedRate(() -> ledger.sums(openNow()).forEach(log), every, every, TimeUnit.NANOSECONDS);
            }
        }
        EndpointList known = startTimes.convertCached(config.knownEndpoints(), clock.nanos());
        if (config.scale() != null && config.scale().place() != null) {
            follow(new EndpointListDiffer(new Subset(config.scale().place())));
            loop.scheduleAtFixedRate(() -> {
                changes.tick(clock.nanos());
                portions.resume();
            }, 1, 1, TimeUnit.SECONDS);
            changes.add(known);
            changes.takeAll().forEach(this::take);
            return;
        }
        // Without discovery, the configured list is the current one and not a cached one.
        take(config.discovery() == null ? ListKind.WHOLE : ListKind.CACHED, known);
        if (discovery != null && !config.settings().subscribe()) {
            // The policy does not ask for a watch where the platform pushes the list, and a pushed list waits at the agent:
            // without this the list would never change.
            discovery.watch();
        }
    }

    private void beatLater() {
        lag.expectTick(clock.nanos() + EventLoopLag.TICK_INTERVAL_NANOS);
        loop.schedule(() -> {
            long now = clock.nanos();
            long late = lag.recordTick(now);
            // Scheduled before anything that can fail: the heartbeat is the last safeguard of all open requests.
            beatLater();
            if (late >= WORTH_TELLING_NANOS) {
                log("the event loop was late by " + TimeUnit.NANOSECONDS.toMillis(late) + " ms");
            }
            if (talk != null) {
                talk.late(lag.recentPeakLag(now));
            }
            if (now >= looksAt || ending) {
                looksAt = now + OVERDUE_LOOK_NANOS;
                timers.runAfterNextPoll(this::answerOverdue);
            }
        }, EventLoopLag.TICK_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    /**
     * Answers requests that are past their deadline plus {@link #OVERDUE_NANOS}, in case the policy lost track of them, and,
     * past the shutdown deadline, all open ones, whose deadline may be later than the end of the process. Their clients would
     * otherwise wait for ever, or until the process is killed.
     */
    private void answerOverdue() {
        long now = clock.nanos();
        boolean last = now - OVERDUE_AT_END_NANOS >= answersBy;
        for (OpenRequest r : List.copyOf(open.values())) {
            if (!r.reply.isConcluded() && (last || now - OVERDUE_NANOS >= r.lifecycle.deadline())) {
                r.answerOverdue();
            }
        }
        if (last) {
            // A request whose last byte arrives now could not be answered any more.
            clients.closeAllWithoutOpenRequest();
        }
    }

    /** Sets the gateways that receive each list from this one; called before any of them listens. */
    void leads(List<Gateway> others) {
        loop.execute(() -> {
            followers = List.copyOf(others);
            if (askedForList) {
                followers.forEach(Gateway::asked);
            }
        });
    }

    /** Sets the shared listener, which stops when this gateway stops accepting. */
    void stopsWith(Acceptor shared) {
        loop.execute(() -> acceptor = shared);
    }

    DownstreamConnectionManager clients() {
        return clients;
    }

    /** Returns the ledger, which only the loop's thread may use; null where none is kept. */
    Ledger ledger() {
        return ledger;
    }

    /**
     * Starts to accept clients. The future completes with this gateway, or exceptionally if it cannot listen. May be called
     * from any thread.
     */
    @Override
    public CompletableFuture<Gateway> listen() {
        return listen(config.listen());
    }

    CompletableFuture<Gateway> listen(SocketAddress address) {
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        boolean beside = config.scale() != null && config.scale().eachListens();
        loop.execute(() -> listen(started, () -> config.inherited() != null
                ? clients.listen(config.inherited().listener(), config.inherited().first())
                : beside ? clients.listenWithReusePort(address) : clients.listen(address), LISTEN_ATTEMPTS));
        return started.thenApply(gateway -> {
            listened();
            return gateway;
        });
    }

    /**
     * Binds the listener, with further tries while the system cannot provide a socket, which is temporary; an address that is
     * not available fails at once.
     */
    private void listen(CompletableFuture<Gateway> started, Supplier<ChannelFuture> listen, int attemptsLeft) {
        ChannelFuture bound = listen.get();
        bound.addListener(done -> {
            boolean passes = !done.isSuccess() && !(done.cause() instanceof BindException) && attemptsLeft > 1;
            if (passes) {
                if (attemptsLeft == LISTEN_ATTEMPTS) {
                    log("can't listen yet, trying again: " + done.cause());
                }
                loop.schedule(() -> listen(started, listen, attemptsLeft - 1), LISTEN_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                GatewayService.tell(started, bound, this);
            }
        });
    }

    /** Notes that clients can connect from now on. May be called from any thread. */
    void listened() {
        loop.execute(() -> listening = true);
    }

    @Override
    public CompletableFuture<Boolean> isServing() {
        return CompletableFuture.supplyAsync(() -> listening && askedForList && !ending, loop);
    }

    @Override
    public CompletableFuture<Standing> stats() {
        return CompletableFuture.supplyAsync(() -> {
            Map<String, RequestCounters.Counts> counts = new HashMap<>();
            if (tallies != null) {
                classes.keySet().forEach(this::tally);
                tallies.forEach((name, tally) -> counts.put(name, tally.counts()));
            }
            return new Standing(counts, open.values().stream().filter(r -> !r.reply.isFinished()).count() + clients.pipelinedRequestCount(),
                    hosts.serverCount(), hosts.serverCount() - choice.usableServerCount(), cfgAccepted, cfgInvalid);
        }, loop);
    }

    @Override
    public CompletableFuture<Snapshot> snapshot() {
        return CompletableFuture.supplyAsync(() -> new Snapshot(choice.learnedState(), listIndex, hosts.endpoints().stream()
                .map(Gateway::told).toList(), standby), loop);
    }

    private static Snapshot.Host told(Endpoint e) {
        InetSocketAddress address = (InetSocketAddress) e.address();
        ServerInfo info = e.info();
        return new Snapshot.Host(info.id(), address.getHostString() + ":" + address.getPort(), info.zone(), info.machineType(),
                info.cell(), info.readiness() != Readiness.READY, info.capacityHint(),
                TimeUnit.NANOSECONDS.toMillis(info.startedAtNanos()));
    }

    private static Endpoint heard(Snapshot.Host h) {
        return new Endpoint(new ServerInfo(h.name(), h.zone(), h.type(), h.group(),
                h.draining() ? Readiness.DRAINING : Readiness.READY, h.weight(), GatewayClock.ofUnixMillis(h.sinceMillis())),
                EndpointList.parseAddress(h.address()));
    }

    /**
     * Restores a predecessor's snapshot. Its list is used only where discovery has not sent one yet: discovery's is newer
     * than any process's.
     */
    @Override
    public CompletableFuture<Void> recall(Snapshot from) {
        return CompletableFuture.runAsync(() -> {
            if (!askedForList && changes == null && !from.hosts().isEmpty()) {
                take(ListKind.CACHED, new EndpointList(from.index(), true, from.hosts().stream().map(Gateway::heard).toList()));
            }
            tell(new LearnedStateReceived(from.memory()));
            if (from.standby()) {
                standby = true;
                clients.setStandby(true);
            }
        }, loop);
    }

    @Override
    public void overlap(boolean begins) {
        loop.execute(() -> {
            beside += begins ? 1 : -1;
            tell(new ProcessOverlapChanged(beside > 0));
            clients.setConnectionLimitShared(beside > 0);
            hosts.setConnectionLimitShared(beside > 0);
        });
    }

    private RequestCounters tally(String requestClass) {
        return tallies.computeIfAbsent(requestClass, name -> new RequestCounters());
    }

    @Override
    public CompletableFuture<Void> setStandby(boolean empty) {
        return CompletableFuture.runAsync(() -> {
            standby = empty;
            clients.setStandby(empty);
            log(empty ? "standby: sending clients away" : "active: accepting clients");
        }, loop);
    }

    @Override
    public InetSocketAddress address() {
        return clients.address();
    }

    /**
     * Shuts down gracefully: serves on existing client connections for as long as a request can still be answered within its
     * target latency, answers every accepted request, and then completes the future. Clients are not sent away earlier,
     * because no other gateway may be available for them: in a rolling restart whose starts take long, or where the others
     * are full or fail. The time is bounded, because a successor may have to wait for the end of this process. May be called
     * from any thread.
     */
    @Override
    public CompletableFuture<Void> shutDown() {
        // Measured from the request to shut down, not from when a busy loop gets to this task: the platform's kill does not
        // wait for the loop.
        long asked = clock.nanos();
        loop.execute(() -> {
            if (!ending) {
                ending = true;
                long within = Math.min(LONGEST_COUNTED_NANOS, longest(RequestClass::deadlineNanos)) + KILLED_AFTER_NANOS
                        - END_MARGIN_NANOS;
                answersBy = asked + within;
                long heard = clock.nanos();
                tell(new ShutdownStarted(Math.max(0, answersBy - heard)));
                if (config.inherited() != null) {
                    // A successor serves on the same listener, and clients are to move to it.
                    if (acceptor != null) {
                        acceptor.stop();
                    }
                    clients.stopAcceptingFromSharedListener();
                }
                long taking = Math.min(LONGEST_TAKING_NANOS,
                        Math.max(LEAST_TAKING_NANOS, within - longest(RequestClass::aimNanos)));
                loop.schedule(this::stopAccepting, Math.max(0, asked + taking - heard), TimeUnit.NANOSECONDS);
            }
        });
        return ended;
    }

    private long longest(ToLongFunction<RequestClass> time) {
        return classes.values().stream().mapToLong(time).max().orElseThrow();
    }

    /** Rejects a configuration with other routes: ledger accounts are numbered by route for the whole life of a process. */
    void checkRoutes(GatewayConfig next) {
        if (config.routes() != null && !next.routes().stream().map(Object::toString).toList()
                .equals(config.routes().stream().map(Object::toString).toList())) {
            throw new IllegalArgumentException("with it the operator's file has other routes, which count at a start only");
        }
    }

    @Override
    public CompletableFuture<Void> reconfigure(GatewayConfig next) {
        checkRoutes(next);
        return CompletableFuture.runAsync(() -> {
            if (tallies != null) {
                // Before a class is removed: it keeps its counts, also where nobody has asked for them yet.
                classes.keySet().forEach(this::tally);
            }
            classes.clear();
            next.settings().classes().forEach(c -> classes.put(c.name(), c));
            routing = next.routes() == null ? null : new Routing(next.routes());
            hosts.setTimeouts(next.dialTimeoutNanos(), next.idleTimeoutNanos());
            tell(new SettingsChanged(next.settings()));
            // After the shutdown, nothing would close a newly opened watch.
            if (!ended.isDone() && discovery != null && next.discovery() != null) {
                discovery.moveTo(next.discovery());
            }
            cfgAccepted++;
            log("applied the reloaded configuration");
        }, loop);
    }

    @Override
    public void turnedDown() {
        loop.execute(() -> cfgInvalid++);
    }

    private void stopAccepting() {
        if (acceptor != null) {
            acceptor.stop();
        }
        clients.stopAccepting();
        endWhenIdle();
    }

    private void endWhenIdle() {
        // In this order: otherwise a client connection handed over between the two checks would be missed.
        if (acceptor != null && acceptor.canDispatch() || clients.hasOpenOrPendingConnections()) {
            loop.schedule(this::endWhenIdle, END_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            if (discovery != null) {
                discovery.close();
            }
            if (talk != null) {
                talk.close();
            }
            if (ledger != null) {
                compareAccounts();
                ledger.sums(openNow()).forEach(log);
            }
            if (journal == null) {
                ended.complete(null);
            } else {
                journal.shutDown().orTimeout(JOURNAL_END_MILLIS, TimeUnit.MILLISECONDS)
                        .whenComplete((none, late) -> ended.complete(null));
            }
        }
    }

    /** Checks the ledger and logs new breaches. Runs as a task of its own, between events, when no update is half done. */
    private void compareAccounts() {
        findNewBreaches().forEach(breach -> log(breach.toString()));
    }

    @Override
    public CompletableFuture<List<Figures>> ledgerMetrics() {
        return CompletableFuture.supplyAsync(() -> ledger == null ? List.of() : List.of(ledger.figures(openNow(),
                journal == null ? List.of() : journal.earlierTotals(), journal == null ? 0 : journal.lostEntries())), loop);
    }

    @Override
    public CompletableFuture<ZoneStanding> zones() {
        return CompletableFuture.supplyAsync(() -> talk == null ? null : talk.standing(), loop);
    }

    @Override
    public CompletableFuture<Void> order(String zone, Order.What what, long forMillis) {
        return CompletableFuture.runAsync(() -> {
            if (talk == null) {
                throw new IllegalArgumentException("this gateway talks with no other: there is no [peers] in its operator's file");
            }
            talk.order(zone, what, forMillis);
        }, loop);
    }

    @Override
    public CompletableFuture<Void> acknowledge() {
        return CompletableFuture.runAsync(() -> {
            if (ledger != null) {
                ledger.acknowledge();
            }
        }, loop);
    }

    /** Checks the ledger and returns the breaches not seen before. Runs on the loop's thread, as a task of its own. */
    List<Breach> findNewBreaches() {
        return ledger.check(openNow());
    }

    private void tellOpen(Frame frame) {
        open.values().stream().map(r -> r.entry).filter(entry -> entry.end == null)
                .forEach(entry -> frame.held(entry.number, entry.account, entry.id));
    }

    /**
     * Counts what is open at each place of the ledger from what that place holds, in one pass for any number of accounts.
     */
    private Ledger.OpenNow openNow() {
        int accounts = ledger.accounts().size();
        long[] waiting = clients.openRequestsByAccount(accounts);
        long[] requests = new long[accounts];
        long[] out = new long[accounts];
        for (OpenRequest r : open.values()) {
            requests[r.entry.account] += r.entry.end == null ? 1 : 0;
            out[r.entry.account] += r.outstanding;
        }
        return (place, account) -> switch (place) {
            case CLIENTS -> waiting[account];
            case CORE -> requests[account];
            case ATTEMPTS -> out[account];
            case NODES -> hosts.openAttempts(account);
        };
    }

    private void tell(Event event) {
        tell(clock.nanos(), event);
    }

    /**
     * Passes an event to the decision module; there is no other way into it. The times it sees never go back, even where an
     * event has an earlier time stamp.
     */
    private void tell(long at, Event event) {
        events.add(new Stamped(at, event));
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Stamped next = events.poll(); next != null; next = events.poll()) {
                last = Math.max(last, next.at);
                decide(next.event);
            }
        } finally {
            deciding = false;
        }
    }

    /**
     * Lets the module handle an event. A fault is logged and fails the request that arrived, so that it does not end the
     * process.
     */
    private void decide(Event event) {
        try {
            choice.handle(last, event);
        } catch (RuntimeException e) {
            log("unexpected error in the decision module on " + event.getClass().getSimpleName() + ": " + e);
            if (event instanceof RequestArrived arrived && open.containsKey(arrived.id())) {
                fail(arrived.id());
            }
        }
    }

    @Override
    public void send(String request, String server, long timeoutNanos) {
        send(request, server, timeoutNanos, Long.MAX_VALUE);
    }

    @Override
    public void send(String request, String server, long timeoutNanos, long withinNanos) {
        open.get(request).send(server, timeoutNanos, withinNanos);
    }

    @Override
    public void refuse(String request, long pauseNanos) {
        if (ledger != null) {
            count(request, End.REFUSED);
        }
        conclude(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "refused: trying again is harmless", pauseNanos);
    }

    @Override
    public void fail(String request) {
        if (ledger != null) {
            count(request, End.FAILED);
        }
        conclude(request, HttpResponseStatus.BAD_GATEWAY, "failed: it may have run", 0);
    }

    private void count(String request, End end) {
        OpenRequest r = open.get(request);
        if (r != null) {
            r.entry.over(end);
        }
    }

    /** Answers a request with a status and a line of text, if it is still open. */
    private void conclude(String request, HttpResponseStatus status, String line, long pauseNanos) {
        OpenRequest r = open.get(request);
        if (r != null) {
            r.logIfLate(status);
            r.complete();
            r.reply.respondPlainText(status, line, pauseNanos);
            r.forgetIfOver();
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        OpenRequest r = open.get(request);
        if (r != null) {
            r.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void setTimer(long delayNanos, long token) {
        timers.schedule(delayNanos, () -> tell(new TimerFired(token)));
    }

    @Override
    public void subscribe() {
        discovery.watch();
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    /** Receives the endpoint list from discovery. */
    private final class Watcher implements Discovery.Listener {
        @Override
        public void listReceived(EndpointList list) {
            followers.forEach(follower -> follower.loop.execute(() -> follower.hear(list)));
            hear(list);
        }

        @Override
        public void watchEnded() {
            if (!askedForList) {
                followers.forEach(Gateway::asked);
            }
            askedForList = true;
            tell(new ListReceived(ListKind.FAILED, List.of()));
        }
    }

    private void asked() {
        loop.execute(() -> askedForList = true);
    }

    /** Handles the list, or changes to it, from discovery or from the gateway that follows discovery for this one. */
    private void hear(EndpointList received) {
        EndpointList list = startTimes.convert(received, clock.nanos());
        askedForList = true;
        listIndex = list.index();
        if (changes != null) {
            changes.add(list);
            portions.resume();
            return;
        }
        if (list.endpoints().size() > LARGE_LIST) {
            // Applied whole this once; from now on a complete list is compared with the last one, and only the differences
            // are applied.
            follow(new EndpointListDiffer(null));
            changes.add(list);
            changes.takeAll();
        }
        take(list.snapshot() ? ListKind.WHOLE : ListKind.CHANGES, list);
    }

    /** Applies changes of the list in portions from now on. */
    private void follow(EndpointListDiffer list) {
        changes = list;
        portions = new IncrementalTask(loop, list::hasPending, this::takeNext);
    }

    private void takeNext() {
        EndpointList portion = changes.next();
        if (portion != null) {
            take(portion);
        }
    }

    private void take(EndpointList portion) {
        if (changes.hasSubset() && sharers != changes.gatewaysPerServer()) {
            sharers = changes.gatewaysPerServer();
            tell(new GatewaysPerServerChanged(sharers));
            log("using " + changes.summary() + ", shared by " + sharers + " gateways each");
        }
        take(ListKind.CHANGES, portion);
    }

    private void take(ListKind kind, EndpointList list) {
        hosts.update(list);
        if (talk != null) {
            talk.traffic().listed(list.servers(), kind != ListKind.CHANGES);
        }
        tell(new ListReceived(kind, list.servers()));
    }

    /** Receives client requests from the connections. */
    private final class Requests implements DownstreamConnectionManager.Listener {
        @Override
        public boolean isReady() {
            return askedForList && !ending && !standby && welcome;
        }

        @Override
        public void onInternalError(Throwable fault) {
            log("unexpected error while handling a request, answered as failed: " + fault);
        }

        @Override
        public void onRequest(FullHttpRequest request, Upload upload, long arrivedAt, Reply reply) throws BadRequest {
            long at = clock.nanos();
            if (tallies != null) {
                // Before the request is parsed: a request rejected as invalid is counted with its class too.
                String named = Paths.firstPart(request.uri());
                reply.setCounters(classes.containsKey(named) ? tally(named) : null);
            }
            RequestArrived arrived = RequestReader.read(request, classes, routing,
                    upload != null || request.content().isReadable(), at - arrivedAt);
            if (open.containsKey(arrived.id())) {
                throw new BadRequest(HttpResponseStatus.CONFLICT, "a request with this id is open");
            }
            OpenRequest r = new OpenRequest(arrived, request.retain(), upload, reply,
                    ledger == null ? null : new Entry(arrived.id(), ((RouteCourse) arrived.routePolicy()).number(), at));
            open.put(r.id, r);
            if (tallies != null) {
                r.tally = tally(arrived.requestClass());
                reply.setCounters(r.tally);
            }
            if (r.entry != null) {
                reply.setAccount(r.entry.account, r.id);
            }
            reply.onAbandoned(r::clientLeft);
            if (upload == null) {
                tell(at, arrived);
            } else {
                upload.setListener(r);
                tell(at, new RequestHeadArrived(arrived));
            }
        }
    }

    /** A request's entry in the ledger; null where no ledger is kept. */
    private final class Entry {
        private final String id;
        private final int account;
        private final long openedAt;
        /** Number that is unique within this loop and run of the process. */
        private final long number = ++taken;
        /** Null until the request has ended. */
        private End end;

        Entry(String id, int account, long openedAt) {
            this.id = id;
            this.account = account;
            this.openedAt = openedAt;
            requestSheet.open(account, id);
            if (journal != null) {
                journal.recordOpened(number, account, id);
            }
        }

        /** Records the request's end. Only the first counts: an attempt may be served when the request has long ended. */
        void over(End how) {
            if (end == null) {
                end = how;
                requestSheet.end(account, how, id);
                if (journal != null) {
                    journal.recordEnded(number, how);
                }
                ledger.took(account, clock.nanos() - openedAt);
            }
        }
    }

    /** A request that is not answered yet, or some of whose attempts have not ended. */
    private final class OpenRequest implements UpstreamPool.Listener, Upload.Listener, ResponseSink {
        private final String id;
        private final FullHttpRequest request;
        /** Null where the request was received with its whole body. */
        private final Upload upload;
        /** Time for the answer, in nanoseconds from the request's last byte. */
        private final long expiresIn;
        private final RequestLifecycle lifecycle;
        private final Reply reply;
        private final List<UpstreamPool.Attempt> attempts = new ArrayList<>(1);
        private final List<String> servers = new ArrayList<>(1);
        /** Null where no ledger is kept. */
        private final Entry entry;
        private final long openedAt = clock.nanos();
        private int outstanding;
        /** Null where this gateway has no peers. */
        private final Traffic.OfRequest zones;
        /** Null where there is no operators' socket. */
        private RequestCounters tally;

        OpenRequest(RequestArrived arrived, FullHttpRequest request, Upload upload, Reply reply, Entry entry) {
            id = arrived.id();
            zones = talk == null ? null : talk.traffic().arrived(classes.get(arrived.requestClass()));
            expiresIn = arrived.expiresInNanos();
            lifecycle = upload == null ? RequestLifecycle.pending(id, clock.nanos() + expiresIn, monitor)
                    : RequestLifecycle.receiving(id, monitor);
            this.upload = upload;
            this.entry = entry;
            this.request = request;
            this.reply = reply;
        }

        @Override
        public int account() {
            return entry.account;
        }

        @Override
        public String id() {
            return id;
        }

        void send(String server, long timeoutNanos, long withinNanos) {
            outstanding++;
            if (entry != null) {
                attemptSheet.open(entry.account, id);
            }
            if (zones != null) {
                zones.sent(clock.nanos(), server);
            }
            servers.add(server);
            if (upload == null) {
                attempts.add(hosts.send(server, RequestReader.toUpstreamRequest(request, timeoutNanos), timeoutNanos, this));
            } else {
                long answeredIn = Math.min(expiresIn, timeoutNanos);
                attempts.add(hosts.send(server, RequestReader.toUpstreamRequest(request, upload, answeredIn), upload, this));
                if (upload.isFullyReceived()) {
                    attempts.get(attempts.size() - 1).setTimeout(answeredIn);
                }
            }
            if (withinNanos != Long.MAX_VALUE) {
                attempts.get(attempts.size() - 1).setSendTimeout(withinNanos);
            }
        }

        @Override
        public void onFirstByteSent() {
            tell(new RequestNotReplayable(id));
        }

        /** Starts the request's deadline once its body is complete, as for any other request. */
        @Override
        public void onFullyReceived() {
            if (!reply.isConcluded()) {
                lifecycle.received(clock.nanos() + expiresIn);
                attempts.forEach(attempt -> attempt.setTimeout(expiresIn));
                tell(new RequestBodyReceived(id, expiresIn));
            }
        }

        @Override
        public ResponseSink onStreamStarted(UpstreamPool.Attempt attempt, long at, LoadReport load, long length, ResponseSink.Source source) {
            int number = over(attempt, Outcome.SERVED);
            boolean wanted = !reply.isConcluded();
            if (wanted) {
                if (entry != null) {
                    entry.over(End.SERVED);
                }
                lifecycle.transitionTo(RequestState.RESPONDING);
                reply.startStreaming(length, source);
            }
            forgetIfOver();
            if (zones != null) {
                zones.ended(at, number, Outcome.SERVED, attempt.elapsed(at), load);
            }
            tell(at, new AttemptEnded(id, number, servers.get(number), Outcome.SERVED, attempt.elapsed(at), true, load));
            return wanted ? this : null;
        }

        @Override
        public void onData(ByteBuf bytes) {
            reply.writeData(bytes);
        }

        @Override
        public void onEnd() {
            complete();
            reply.endStreaming();
            forgetIfOver();
        }

        @Override
        public void onAborted() {
            complete();
            reply.abortStreaming();
            forgetIfOver();
        }

        /** Records an attempt's end and returns the attempt's number. */
        private int over(UpstreamPool.Attempt attempt, Outcome outcome) {
            outstanding--;
            if (entry != null) {
                attemptSheet.end(entry.account, outcome, id);
            }
            if (changes != null && changes.hasSubset()) {
                judge(outcome);
            }
            return attempts.indexOf(attempt);
        }

        @Override
        public void onRequestWritten() {
            if (tally != null) {
                tally.recordRelayed();
            }
        }

        @Override
        public void onAttemptEnded(UpstreamPool.Attempt attempt, Outcome outcome, long at, LoadReport load, ByteBuf body) {
            int number = over(attempt, outcome);
            if (outcome == Outcome.SERVED) {
                if (entry != null) {
                    entry.over(End.SERVED);
                }
                complete();
                reply.respondOk(body);
            }
            forgetIfOver();
            if (zones != null) {
                zones.ended(at, number, outcome, attempt.elapsed(at), load);
            }
            // An attempt cancelled before its last byte was sent says nothing about the server, and certainly did not run.
            boolean unsent = outcome == Outcome.CANCELLED && attempt.isUnsent();
            tell(at, new AttemptEnded(id, number, servers.get(number), unsent ? Outcome.NOT_SENT : outcome,
                    attempt.elapsed(at), reply.isConcluded(), load));
        }

        /**
         * Passes an attempt's outcome to the subset. A full server is not a failing one, and cancelled or unsent attempts say
         * nothing.
         */
        private void judge(Outcome outcome) {
            if (outcome != Outcome.FULL && outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
                changes.recordOutcome(outcome == Outcome.SERVED);
            }
        }

        /** Logs why a request waited: a late refusal has cost the client the time for a retry elsewhere. */
        private void logIfLate(HttpResponseStatus status) {
            long waited = clock.nanos() - openedAt;
            if (waited >= WORTH_TELLING_NANOS && !attempts.isEmpty()) {
                lateRefusals.logSampled(() -> "request " + id + " was answered " + status.code() + " after "
                        + TimeUnit.NANOSECONDS.toMillis(waited) + " ms; attempts: " + tried());
            }
        }

        private String tried() {
            List<String> tried = new ArrayList<>();
            for (int i = 0; i < attempts.size(); i++) {
                Outcome outcome = attempts.get(i).outcome();
                tried.add(servers.get(i) + " " + (outcome == null ? "in flight" : outcome));
            }
            return String.join(", ", tried);
        }

        /** Marks the request completed; of several answers only the first counts. */
        private void complete() {
            if (lifecycle.state() != RequestState.COMPLETED && lifecycle.state() != RequestState.ABANDONED) {
                lifecycle.transitionTo(RequestState.COMPLETED);
            }
        }

        @Override
        public SendDecision decideSend(BooleanSupplier serverAvailable) {
            return lifecycle.decideSend(clock.nanos(), reply::isClientPresent, () -> {
                if (discovery != null && lag.isStale(clock.nanos())) {
                    discovery.readNow();
                }
                return serverAvailable.getAsBoolean();
            });
        }

        @Override
        public TransitionMonitor monitor() {
            return monitor;
        }

        void clientLeft() {
            if (lifecycle.state() != RequestState.COMPLETED) {
                lifecycle.transitionTo(RequestState.ABANDONED);
            }
            if (entry != null) {
                entry.over(End.ABANDONED);
            }
            forgetIfOver();
            tell(new ClientLeft(id));
        }

        void answerOverdue() {
            log("request " + id + " was not answered by its deadline; answered by the gateway itself");
            boolean sent = !attempts.isEmpty();
            if (entry != null) {
                entry.over(sent ? End.FAILED : End.REFUSED);
            }
            reply.respondPlainText(sent ? HttpResponseStatus.BAD_GATEWAY : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    sent ? "failed: it may have run" : "refused: trying again is harmless", 0);
            complete();
            forgetIfOver();
            // The decision module need not answer the request any more either.
            tell(new ClientLeft(id));
        }

        /**
         * Cancels unsent attempts once the request is answered or its client has left, and removes the request when it has
         * ended.
         */
        private void forgetIfOver() {
            if (reply.isConcluded()) {
                attempts.forEach(UpstreamPool.Attempt::cancelIfUnsent);
            }
            if (reply.isFinished() && outstanding == 0 && open.remove(id, this)) {
                request.release();
            }
        }
    }
}
