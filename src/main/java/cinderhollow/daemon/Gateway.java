package cinderhollow.daemon;

import cinderhollow.core.DirectMemory;
import cinderhollow.core.EventLoopLag;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LagAwareTimers;
import cinderhollow.core.LoopActivity;
import cinderhollow.core.RequestCounters;
import cinderhollow.core.Transport;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.TrafficObserver;
import cinderhollow.evacuation.ZoneStatus;
import cinderhollow.handover.Snapshot;
import cinderhollow.http1.Acceptor;
import cinderhollow.http1.BodyMemoryBudget;
import cinderhollow.http1.ClientHeapBudget;
import cinderhollow.http1.DownstreamConnectionManager;
import cinderhollow.http1.DownstreamConnectionManager.BadRequest;
import cinderhollow.http1.DownstreamConnectionManager.Reply;
import cinderhollow.http1.MemoryRefusal;
import cinderhollow.http1.RequestReader;
import cinderhollow.http1.ResponseSink;
import cinderhollow.http1.Upload;
import cinderhollow.http1.UpstreamPool;
import cinderhollow.ledger.Breach;
import cinderhollow.ledger.JournalFrame;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.LedgerCounters;
import cinderhollow.ledger.LedgerMetrics;
import cinderhollow.ledger.LedgerPlace;
import cinderhollow.ledger.RequestEnd;
import cinderhollow.lifecycle.RequestLifecycle;
import cinderhollow.lifecycle.RequestState;
import cinderhollow.lifecycle.SampledLog;
import cinderhollow.lifecycle.SendDecision;
import cinderhollow.lifecycle.TransitionMonitor;
import cinderhollow.membership.AddressOwners;
import cinderhollow.membership.Discovery;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.membership.EndpointListDiffer;
import cinderhollow.membership.StartTimes;
import cinderhollow.membership.Subset;
import cinderhollow.ops.GatewayStats;
import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.ClientLeft;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.GatewaysPerServerChanged;
import cinderhollow.policy.Protocol.LearnedStateReceived;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.ProcessOverlapChanged;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestBodyAwaited;
import cinderhollow.policy.Protocol.RequestBodyBlocked;
import cinderhollow.policy.Protocol.RequestBodyReceived;
import cinderhollow.policy.Protocol.RequestBodyUnread;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.RequestHeadArrived;
import cinderhollow.policy.Protocol.RequestNotReplayable;
import cinderhollow.policy.Protocol.ResponseBegun;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.SettingsChanged;
import cinderhollow.policy.Protocol.ShutdownStarted;
import cinderhollow.policy.Protocol.TimerFired;
import cinderhollow.routes.BudgetedRoutePolicy;
import cinderhollow.routes.Paths;
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
    private static final long KILL_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    /** Cap on the deadline that counts for the shutdown time: a longer one counts as this. */
    private static final long MAX_SHUTDOWN_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /**
     * Reserve of the shutdown time, for a signal that is handled late, for 0.15 s in which the process gets no core, and for
     * its last steps.
     */
    private static final long SHUTDOWN_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /**
     * Time after its deadline at which the gateway itself answers an unanswered request. By the platform's rule clients take an
     * answer that comes more than half a second after the deadline for lost.
     */
    private static final long OVERDUE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** The same at shutdown, past the shutdown deadline, and the interval of the check for overdue requests. */
    private static final long OVERDUE_GRACE_AT_SHUTDOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long OVERDUE_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_SHUTDOWN_ACCEPT_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Shortest time for which connections are accepted during shutdown: new ones keep arriving for up to 0.4 s. */
    private static final long MIN_SHUTDOWN_ACCEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long IDLE_CHECK_INTERVAL_MILLIS = 10;
    /** Interval at which a shutdown that goes on logs what is pending. */
    private static final long SHUTDOWN_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Tries to bind the listener, and the delay between them, while the system cannot provide a socket. */
    private static final int MAX_LISTEN_TRIES = 40;
    private static final long LISTEN_RETRY_DELAY_MILLIS = 50;
    /** Longest wait for the journal at shutdown: a slow disk must not delay the end of the process. */
    private static final long JOURNAL_SHUTDOWN_TIMEOUT_MILLIS = 300;
    /** File descriptors reserved for the listener, the watch, the selector, the jar files and the standard streams. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** File descriptors of the operators' socket and its connections, reserved where there is one. */
    static final int OPS_SOCKET_DESCRIPTORS = 33;
    /** A list of more endpoints than this is compared with the previous one and applied in portions. */
    private static final int LARGE_LIST_ENDPOINTS = 1_000;

    private final EventLoop loop;
    private final Consumer<String> log;
    private final GatewayClock clock = new GatewayClock();
    private final LagAwareTimers timers;
    /**
     * Lateness of the event loop, and waiting time of a refused or failed request, from which it is logged: it uses up a good
     * part of a target latency.
     */
    private static final long LATENESS_LOG_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long BYTES_PER_KIB = 1024;
    /**
     * Bodies may hold this fraction of the direct memory. The rest is for what the pool keeps free in its chunks and caches, and
     * for everything else that passes through a socket.
     */
    private static final int BODY_MEMORY_DIVISOR = 2;
    /**
     * Clients may make the process hold this fraction of the heap. The rest is for the process itself, and for what is garbage
     * until it is collected.
     */
    private static final int CLIENT_HEAP_DIVISOR = 4;
    private final EventLoopLag lag = new EventLoopLag();
    private final LoopActivity activity = new LoopActivity();
    private final TransitionMonitor monitor;
    /** Sampled log of requests that were refused or failed long after they arrived, with their attempts. */
    private final SampledLog lateRefusalLog;
    private final SampledLog sentAfterLeavingLog;
    /** Sampled log of uploads that ended after their time, and for how long their clients' connections were not read. */
    private final SampledLog lateUploadLog;
    /** Sampled log of streamed answers that ended before they were complete. */
    private final SampledLog incompleteAnswerLog;
    private final SampledLog memoryRefusalLog;
    private final GatewayConfig config;
    /** Null where this gateway has no peers. */
    private final PeerTransport peerTransport;
    /** Whether clients should come to this gateway: false only while the evacuation finds it cut off. */
    private boolean acceptingClients = true;
    /** Null where no operator's file sets routes. */
    private Routing routing;
    /** Null where no ledger is kept. */
    private final Ledger ledger;
    /** Null where the ledger is not kept across restarts. */
    private final Journal journal;
    private long lastEntryNumber;
    private final LedgerCounters requestCounts;
    private final LedgerCounters attemptCounts;
    private final Map<String, RequestClass> classes = new HashMap<>();
    /** Request counters by class name, including classes that a reload removed; null where there is no operators' socket. */
    private final Map<String, RequestCounters> countersByClass;
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    private final ArrayDeque<TimedEvent> pendingEvents = new ArrayDeque<>();
    private final CompletableFuture<Void> shutdownDone = new CompletableFuture<>();
    private final LoadBalancer policy;
    private final UpstreamPool upstreamPool;
    private final Discovery discovery;
    private final BodyMemoryBudget bodyMemory;
    private final ClientHeapBudget clientHeap;
    private final AbandonedRequests abandonedRequests;
    private final DownstreamConnectionManager downstream;
    /** Gateways of the other event loops, which receive each list from this one. */
    private List<Gateway> followers = List.of();
    /** Null where the list is small and applied as it is received. */
    private EndpointListDiffer listChanges;
    /** Applies the portions of {@link #listChanges}. */
    private IncrementalTask listUpdateTask;
    /** The listener shared by all loops, which stops with this gateway; null where each loop has its own. */
    private Acceptor acceptor;
    private int gatewaysPerServer;
    private long lastEventNanos = Long.MIN_VALUE;
    private boolean deciding;
    private final StartTimes startTimes = new StartTimes();
    private final AddressOwners addressOwners = new AddressOwners();
    private boolean discoveryResolved;
    private long listIndex;
    /** Number of processes of this same gateway that serve beside this one. */
    private int overlappingProcesses;
    private long reloadsAccepted;
    private long reloadsRejected;
    private boolean listening;
    private boolean standby;
    private boolean shuttingDown;
    /**
     * Time by which every request must be answered, once shutdown was requested, and time of the next check for overdue
     * requests.
     */
    private long shutdownDeadlineNanos = Long.MAX_VALUE;
    private long nextOverdueCheckNanos = Long.MIN_VALUE;
    private long nextShutdownLogNanos = Long.MIN_VALUE;
    /** Until when connections that the shared acceptor may still dispatch are waited for during shutdown. */
    private long acceptorDeadlineNanos = Long.MAX_VALUE;
    /** Number of ticks run so far; written by the loop's thread only. */
    private volatile long tickCount;

    /** An event for the decision module with its time, in nanoseconds of the gateway's clock. */
    private record TimedEvent(long atNanos, Event event) { }

    private Gateway(EventLoop loop, GatewayConfig config, Transport transport, Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        monitor = new TransitionMonitor(log);
        lateRefusalLog = new SampledLog(log);
        sentAfterLeavingLog = new SampledLog(log);
        lateUploadLog = new SampledLog(log);
        incompleteAnswerLog = new SampledLog(log);
        memoryRefusalLog = new SampledLog(log);
        timers = new LagAwareTimers(loop, clock);
        this.config = config;
        routing = config.routes() == null ? null : new Routing(config.routes());
        config.settings().classes().forEach(c -> classes.put(c.name(), c));
        countersByClass = config.opsAddress() == null ? null : new HashMap<>();
        ledger = config.ledger() == null ? null
                : new Ledger(config.routes().stream().map(Object::toString).toList());
        requestCounts = ledger == null ? null : ledger.counters(LedgerPlace.CORE);
        attemptCounts = ledger == null ? null : ledger.counters(LedgerPlace.ATTEMPTS);
        journal = ledger == null || config.ledger().directory() == null ? null
                : Journal.open(loop, config.ledger(), Journal.FILE_OUTPUTS, ledger, this::writeOpenRequests, log);
        int reservedDescriptors = RESERVED_DESCRIPTORS + (config.opsAddress() == null ? 0 : OPS_SOCKET_DESCRIPTORS);
        int connections = Math.max(2, config.maxDescriptors() - reservedDescriptors);
        int loops = config.eventLoops() == null ? 1 : config.eventLoops().loopsInProcess();
        bodyMemory = new BodyMemoryBudget(DirectMemory.limitBytes() / BODY_MEMORY_DIVISOR,
                connections / 2 * loops, DirectMemory::inUseBytes);
        upstreamPool = new UpstreamPool(loop, transport, clock, activity, config.dialTimeoutNanos(), config.idleTimeoutNanos(),
                connections / 2, bodyMemory,
                ledger == null ? null : ledger.counters(LedgerPlace.NODES), ledger == null ? 0 : ledger.accounts().size());
        discovery = config.discoveryAddress() == null ? null : new Discovery(loop, transport, config.discoveryAddress(),
                config.knownEndpoints().index(), Discovery.SILENCE_TIMEOUT_MILLIS,
                // The large limit only with an operator's file, where large fleets are configured: a list that never ends
                // is detected by its length alone.
                config.routes() == null ? Discovery.MAX_LIST_BYTES : Discovery.MAX_LARGE_FLEET_LIST_BYTES,
                        new DiscoveryListener(), log);
        discoveryResolved = discovery == null && (config.eventLoops() == null || !config.eventLoops().follower());
        clientHeap = new ClientHeapBudget(Runtime.getRuntime().maxMemory() / CLIENT_HEAP_DIVISOR / loops, connections / 2);
        abandonedRequests = new AbandonedRequests(clientHeap);
        downstream = new DownstreamConnectionManager(loop, transport, clock, lag, activity, connections / 2, bodyMemory, clientHeap,
                new RequestListener(),
                ledger == null ? null : ledger.counters(LedgerPlace.CLIENTS));
        policy = new LoadBalancer(config.settings(), config.seed(), this);
        peerTransport = config.peering() == null ? null : new PeerTransport(loop, config.peering(), config.settings().rules(),
                clock, config.seed(), this::dispatch, clientsMayCome -> acceptingClients = clientsMayCome, log);
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
            gateway.initialize();
            if (gateway.peerTransport == null) {
                opened.complete(gateway);
            } else {
                GatewayService.completeWhenDone(opened, gateway.peerTransport.open(), gateway);
            }
        });
        return opened;
    }

    private void initialize() {
        scheduleLagTick();
        if (ledger != null) {
            loop.scheduleAtFixedRate(this::checkLedger, 1, 1, TimeUnit.SECONDS);
            long logIntervalNanos = config.ledger().logIntervalNanos();
            if (logIntervalNanos > 0) {
                loop.scheduleAtFixedRate(() -> ledger.formatTotals(countOpen()).forEach(log), logIntervalNanos,
                        logIntervalNanos, TimeUnit.NANOSECONDS);
            }
        }
        EndpointList cachedList = startTimes.convertCached(config.knownEndpoints(), clock.nanos());
        if (config.eventLoops() != null && config.eventLoops().subsetPlace() != null) {
            trackChanges(new EndpointListDiffer(new Subset(config.eventLoops().subsetPlace())));
            loop.scheduleAtFixedRate(() -> {
                listChanges.tick(clock.nanos());
                listUpdateTask.resume();
            }, 1, 1, TimeUnit.SECONDS);
            listChanges.add(cachedList);
            listChanges.takeAll().forEach(this::applyList);
            return;
        }
        // Without discovery, the configured list is the current one and not a cached one.
        applyList(config.discoveryAddress() == null ? ListKind.WHOLE : ListKind.CACHED, cachedList);
        if (discovery != null && !config.settings().subscribe()) {
            // The policy does not ask for a watch where the platform pushes the list, and a pushed list waits at the
            // platform's discovery agent beside the gateway: without this the list would never change.
            discovery.watch();
        }
    }

    private void scheduleLagTick() {
        lag.expectTick(clock.nanos() + EventLoopLag.TICK_INTERVAL_NANOS);
        loop.schedule(() -> {
            long now = clock.nanos();
            long lateNanos = lag.recordTick(now);
            tickCount++;
            // Scheduled before anything that can fail: the heartbeat is the last safeguard of all open requests.
            scheduleLagTick();
            if (lateNanos >= LATENESS_LOG_THRESHOLD_NANOS) {
                logLateLoop(lateNanos);
            }
            activity.startInterval();
            if (peerTransport != null) {
                peerTransport.updateLateness(lag.recentPeakLag(now));
            }
            if (now >= nextOverdueCheckNanos || shuttingDown) {
                nextOverdueCheckNanos = now + OVERDUE_CHECK_INTERVAL_NANOS;
                timers.runAfterNextPoll(this::answerOverdueRequests);
            }
        }, EventLoopLag.TICK_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    }

    private void logLateLoop(long lateNanos) {
        Runtime runtime = Runtime.getRuntime();
        log("the event loop was late by " + TimeUnit.NANOSECONDS.toMillis(lateNanos) + " ms; " + activity.describe()
                + "; direct memory " + DirectMemory.reservedBytes() / BYTES_PER_KIB + " of " + DirectMemory.limitBytes() / BYTES_PER_KIB
                + " KiB, of which buffers in use " + DirectMemory.inUseBytes() / BYTES_PER_KIB + " KiB; heap "
                + (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_KIB + " of " + runtime.maxMemory() / BYTES_PER_KIB
                + " KiB, of which clients hold " + clientHeap.describe());
    }

    /**
     * Answers requests that are past their deadline plus {@link #OVERDUE_GRACE_NANOS}, in case the policy lost track of them, and,
     * past the shutdown deadline, all open ones, whose deadline may be later than the end of the process. Their clients would
     * otherwise wait for ever, or until the process is killed.
     */
    private void answerOverdueRequests() {
        long now = clock.nanos();
        boolean answerAll = now - OVERDUE_GRACE_AT_SHUTDOWN_NANOS >= shutdownDeadlineNanos;
        for (OpenRequest r : List.copyOf(openRequests.values())) {
            if (!r.reply.isConcluded() && (answerAll || now - OVERDUE_GRACE_NANOS >= r.lifecycle.deadline())) {
                r.answerOverdue();
            }
        }
        if (answerAll) {
            // A request whose last byte arrives now could not be answered any more.
            downstream.closeAllWithoutOpenRequest();
        }
    }

    /** Sets the gateways that receive each list from this one; called before any of them listens. */
    void setFollowers(List<Gateway> others) {
        loop.execute(() -> {
            followers = List.copyOf(others);
            if (discoveryResolved) {
                followers.forEach(Gateway::markDiscoveryResolved);
            }
        });
    }

    /** Sets the shared listener, which stops when this gateway stops accepting. */
    void setSharedAcceptor(Acceptor sharedAcceptor) {
        if (!loop.isShuttingDown()) {
            loop.execute(() -> acceptor = sharedAcceptor);
        }
    }

    DownstreamConnectionManager downstream() {
        return downstream;
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
        return listen(config.listenAddress());
    }

    CompletableFuture<Gateway> listen(SocketAddress address) {
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        boolean listenerPerLoop = config.eventLoops() != null && config.eventLoops().listenerPerLoop();
        loop.execute(() -> listen(started, () -> config.inheritedListener() != null
                ? downstream.listen(config.inheritedListener().backlog(clock, overlappingProcesses > 0))
                : listenerPerLoop ? downstream.listenWithReusePort(address) : downstream.listen(address), MAX_LISTEN_TRIES));
        return started.thenApply(gateway -> {
            markListening();
            return gateway;
        });
    }

    /**
     * Binds the listener, with further tries while the system cannot provide a socket, which is temporary; an address that is
     * not available fails at once.
     */
    private void listen(CompletableFuture<Gateway> started, Supplier<ChannelFuture> bind, int triesLeft) {
        ChannelFuture bound = bind.get();
        bound.addListener(done -> {
            boolean retriable = !done.isSuccess() && !(done.cause() instanceof BindException) && triesLeft > 1;
            if (retriable) {
                if (triesLeft == MAX_LISTEN_TRIES) {
                    log("can't listen yet, trying again: " + done.cause());
                }
                loop.schedule(() -> listen(started, bind, triesLeft - 1), LISTEN_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                GatewayService.completeWhenDone(started, bound, this);
            }
        });
    }

    /** Notes that clients can connect from now on. May be called from any thread. */
    void markListening() {
        loop.execute(() -> listening = true);
    }

    @Override
    public CompletableFuture<Boolean> isServing() {
        return CompletableFuture.supplyAsync(() -> listening && discoveryResolved && !shuttingDown, loop);
    }

    @Override
    public CompletableFuture<GatewayStats> stats() {
        return CompletableFuture.supplyAsync(() -> {
            Map<String, RequestCounters.Counts> counts = new HashMap<>();
            if (countersByClass != null) {
                classes.keySet().forEach(this::countersFor);
                countersByClass.forEach((name, counters) -> counts.put(name, counters.counts()));
            }
            return new GatewayStats(counts, openRequests.values().stream().filter(r -> !r.reply.isFinished()).count()
                    + downstream.pipelinedRequestCount(),
                    upstreamPool.serverCount(), upstreamPool.serverCount() - policy.usableServerCount(), reloadsAccepted,
                    reloadsRejected);
        }, loop);
    }

    @Override
    public CompletableFuture<Snapshot> snapshot() {
        return CompletableFuture.supplyAsync(() ->
                new Snapshot(policy.learnedState(), listIndex, upstreamPool.endpoints().stream()
                .map(Gateway::toEndpointEntry).toList(), standby), loop);
    }

    private static Snapshot.EndpointEntry toEndpointEntry(Endpoint e) {
        InetSocketAddress address = (InetSocketAddress) e.address();
        ServerInfo info = e.info();
        return new Snapshot.EndpointEntry(info.id(), address.getHostString() + ":" + address.getPort(), info.zone(),
                info.machineType(),
                info.cell(), info.readiness() != Readiness.READY, info.capacityHint(),
                TimeUnit.NANOSECONDS.toMillis(info.startedAtNanos()));
    }

    private static Endpoint toEndpoint(Snapshot.EndpointEntry h) {
        return new Endpoint(new ServerInfo(h.name(), h.zone(), h.type(), h.group(),
                h.draining() ? Readiness.DRAINING : Readiness.READY, h.weight(), GatewayClock.ofUnixMillis(h.sinceMillis())),
                EndpointList.parseAddress(h.address()));
    }

    /**
     * Restores a predecessor's snapshot. Its list is ignored where discovery has sent one, which is newer than any process's,
     * where the watch has failed or ended, and where changes of the list are applied in portions; an empty one is ignored too.
     */
    @Override
    public CompletableFuture<Void> restore(Snapshot snapshot) {
        return CompletableFuture.runAsync(() -> {
            if (!discoveryResolved && listChanges == null && !snapshot.endpoints().isEmpty()) {
                applyList(ListKind.CACHED, new EndpointList(snapshot.listIndex(), true, snapshot.endpoints().stream()
                        .map(Gateway::toEndpoint).toList()));
            }
            dispatch(new LearnedStateReceived(snapshot.learnedState()));
            if (snapshot.standby()) {
                standby = true;
                downstream.setStandby(true);
            }
        }, loop);
    }

    @Override
    public void updateOverlap(boolean begins) {
        loop.execute(() -> {
            overlappingProcesses += begins ? 1 : -1;
            dispatch(new ProcessOverlapChanged(overlappingProcesses > 0));
            downstream.setConnectionLimitShared(overlappingProcesses > 0);
            upstreamPool.setConnectionLimitShared(overlappingProcesses > 0);
            clientHeap.setDivided(overlappingProcesses > 0);
            bodyMemory.setDivided(overlappingProcesses > 0);
        });
    }

    private RequestCounters countersFor(String requestClass) {
        return countersByClass.computeIfAbsent(requestClass, name -> new RequestCounters());
    }

    @Override
    public CompletableFuture<Void> setStandby(boolean enabled) {
        return CompletableFuture.runAsync(() -> {
            standby = enabled;
            downstream.setStandby(enabled);
            log(enabled ? "standby: sending clients away" : "active: accepting clients");
        }, loop);
    }

    @Override
    public List<ShutdownMonitor.LoopState> loopStates() {
        return List.of(new ShutdownMonitor.LoopState(shutdownDone.isDone(), tickCount));
    }

    @Override
    public InetSocketAddress address() {
        return downstream.address();
    }

    /**
     * Shuts down gracefully: serves on existing client connections for as long as a request can still be answered within its
     * target latency, answers every accepted request, and then completes the future. Without an inherited listener, new
     * connections are accepted too, for 0.5 to 1 s; with one they go to the successor. Clients are not sent away earlier,
     * because no other gateway may be available for them: in a rolling restart whose starts take long, or where the others
     * are full or fail. Every answer begins before the platform may kill the process. One that has begun goes on for as long as its
     * server sends it and its client reads it; the time limits of both end one that stands still. May be called from any thread.
     */
    @Override
    public CompletableFuture<Void> shutDown() {
        // Measured from the request to shut down, not from when a busy loop gets to this task: the platform's kill does not
        // wait for the loop.
        long requestedAtNanos = clock.nanos();
        if (loop.isShuttingDown()) {
            // It has ended by a fault, and all its connections with it.
            shutdownDone.complete(null);
            return shutdownDone;
        }
        loop.execute(() -> {
            if (!shuttingDown) {
                shuttingDown = true;
                long answerWithinNanos = Math.min(MAX_SHUTDOWN_DEADLINE_NANOS, maxOfClasses(RequestClass::deadlineNanos))
                        + KILL_GRACE_NANOS
                        - SHUTDOWN_MARGIN_NANOS;
                shutdownDeadlineNanos = requestedAtNanos + answerWithinNanos;
                acceptorDeadlineNanos = requestedAtNanos + TimeUnit.MILLISECONDS.toNanos(ShutdownMonitor.STALL_TIMEOUT_MILLIS);
                long nowNanos = clock.nanos();
                dispatch(new ShutdownStarted(Math.max(0, shutdownDeadlineNanos - nowNanos)));
                if (config.inheritedListener() != null) {
                    // A successor serves on the same listener, and clients are to move to it.
                    if (acceptor != null) {
                        acceptor.stop();
                    }
                    downstream.stopAcceptingFromSharedListener();
                }
                long acceptForNanos = Math.min(MAX_SHUTDOWN_ACCEPT_NANOS,
                        Math.max(MIN_SHUTDOWN_ACCEPT_NANOS, answerWithinNanos - maxOfClasses(RequestClass::aimNanos)));
                loop.schedule(this::stopAccepting, Math.max(0, requestedAtNanos + acceptForNanos - nowNanos),
                        TimeUnit.NANOSECONDS);
            }
        });
        return shutdownDone;
    }

    private long maxOfClasses(ToLongFunction<RequestClass> time) {
        return classes.values().stream().mapToLong(time).max().orElseThrow();
    }

    /** Rejects a configuration with other routes: ledger accounts are numbered by route for the whole life of a process. */
    void checkRoutes(GatewayConfig next) {
        if (config.routes() != null && !next.routes().stream().map(Object::toString).toList()
                .equals(config.routes().stream().map(Object::toString).toList())) {
            throw new IllegalArgumentException("the operator's file's routes changed, which needs a restart");
        }
    }

    @Override
    public CompletableFuture<Void> reconfigure(GatewayConfig next) {
        checkRoutes(next);
        return CompletableFuture.runAsync(() -> {
            if (countersByClass != null) {
                // Before a class is removed: it keeps its counts, also where nobody has asked for them yet.
                classes.keySet().forEach(this::countersFor);
            }
            classes.clear();
            next.settings().classes().forEach(c -> classes.put(c.name(), c));
            // checkRoutes compares methods, patterns and classes; the routes' settings may differ and apply from now on. The
            // state of their policies, such as budgets, begins anew.
            routing = next.routes() == null ? null : new Routing(next.routes());
            upstreamPool.setTimeouts(next.dialTimeoutNanos(), next.idleTimeoutNanos());
            dispatch(new SettingsChanged(next.settings()));
            // After the shutdown, nothing would close a newly opened watch.
            if (!shutdownDone.isDone() && discovery != null && next.discoveryAddress() != null) {
                discovery.moveTo(next.discoveryAddress());
            }
            reloadsAccepted++;
            log("applied the reloaded configuration");
        }, loop);
    }

    @Override
    public void recordRejectedConfig() {
        loop.execute(() -> reloadsRejected++);
    }

    private void stopAccepting() {
        if (acceptor != null) {
            acceptor.stop();
        }
        downstream.stopAccepting();
        shutDownWhenIdle();
    }

    /** Logs what is pending as the gateway stops accepting, and then at intervals for as long as the shutdown goes on. */
    private void logShutdownProgress() {
        long now = clock.nanos();
        if (now >= nextShutdownLogNanos && downstream.hasOpenOrPendingConnections()) {
            nextShutdownLogNanos = now + SHUTDOWN_LOG_INTERVAL_NANOS;
            log("shutting down, with " + downstream.pendingResponses());
        }
    }

    private void shutDownWhenIdle() {
        logShutdownProgress();
        // In this order: otherwise a client connection handed over between the two checks would be missed.
        if (acceptorMayDispatch() || downstream.hasOpenOrPendingConnections()) {
            loop.schedule(this::shutDownWhenIdle, IDLE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        CompletableFuture<Void> journalClosed = CompletableFuture.completedFuture(null);
        try {
            closeAll();
            if (journal != null) {
                journalClosed = journal.shutDown().orTimeout(JOURNAL_SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
        } finally {
            // Also after a fault: nothing else would end the process.
            journalClosed.whenComplete((none, late) -> shutdownDone.complete(null));
        }
    }

    /** Returns whether the shared acceptor may dispatch further connections. One whose loop does not run is not waited for. */
    private boolean acceptorMayDispatch() {
        return acceptor != null && acceptor.canDispatch() && clock.nanos() < acceptorDeadlineNanos;
    }

    private void closeAll() {
        if (discovery != null) {
            discovery.close();
        }
        if (peerTransport != null) {
            peerTransport.close();
        }
        if (ledger != null) {
            checkLedger();
            ledger.formatTotals(countOpen()).forEach(log);
        }
    }

    /** Checks the ledger and logs new breaches. Runs as a task of its own, between events, when no update is half done. */
    private void checkLedger() {
        findNewBreaches().forEach(breach -> log(breach.toString()));
    }

    @Override
    public CompletableFuture<List<LedgerMetrics>> ledgerMetrics() {
        return CompletableFuture.supplyAsync(() -> ledger == null ? List.of() : List.of(ledger.collectMetrics(countOpen(),
                journal == null ? List.of() : journal.earlierTotals(), journal == null ? 0 : journal.lostEntries())), loop);
    }

    @Override
    public CompletableFuture<ZoneStatus> zoneStatus() {
        return CompletableFuture.supplyAsync(() -> peerTransport == null ? null : peerTransport.zoneStatus(), loop);
    }

    @Override
    public CompletableFuture<Void> order(String zone, Order.Action what, long forMillis) {
        return CompletableFuture.runAsync(() -> {
            if (peerTransport == null) {
                throw new IllegalArgumentException("this gateway talks with no other: there is no [peers] in its operator's file");
            }
            peerTransport.order(zone, what, forMillis);
        }, loop);
    }

    @Override
    public CompletableFuture<Void> acknowledgeBreaches() {
        return CompletableFuture.runAsync(() -> {
            if (ledger != null) {
                ledger.acknowledge();
            }
        }, loop);
    }

    /** Checks the ledger and returns the breaches not seen before. Runs on the loop's thread, as a task of its own. */
    List<Breach> findNewBreaches() {
        return ledger.findNewBreaches(countOpen());
    }

    private void writeOpenRequests(JournalFrame frame) {
        openRequests.values().stream().map(r -> r.entry).filter(entry -> entry.end == null)
                .forEach(entry -> frame.writeOpenRequest(entry.number, entry.account, entry.id));
    }

    /**
     * Counts what is open at each place of the ledger from what that place holds, in one pass for any number of accounts.
     */
    private Ledger.OpenCounter countOpen() {
        int accounts = ledger.accounts().size();
        long[] waiting = downstream.openRequestsByAccount(accounts);
        long[] requests = new long[accounts];
        long[] inFlight = new long[accounts];
        for (OpenRequest r : openRequests.values()) {
            requests[r.entry.account] += r.entry.end == null ? 1 : 0;
            inFlight[r.entry.account] += r.attemptsInFlight;
        }
        return (place, account) -> switch (place) {
            case CLIENTS -> waiting[account];
            case CORE -> requests[account];
            case ATTEMPTS -> inFlight[account];
            case NODES -> upstreamPool.openAttempts(account);
        };
    }

    private void dispatch(Event event) {
        dispatch(clock.nanos(), event);
    }

    /**
     * Passes an event to the decision module; there is no other way into it. The times it sees never go back, even where an
     * event has an earlier time stamp.
     */
    private void dispatch(long atNanos, Event event) {
        pendingEvents.add(new TimedEvent(atNanos, event));
        if (deciding) {
            return;
        }
        deciding = true;
        long startedAt = clock.nanos();
        try {
            for (TimedEvent next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                lastEventNanos = Math.max(lastEventNanos, next.atNanos);
                decide(next.event);
            }
        } finally {
            deciding = false;
            activity.recordHandler(LoopActivity.Handler.DECISION, clock.nanos() - startedAt);
        }
    }

    /**
     * Lets the module handle an event. A fault is logged, so that it does not end the process. On {@link RequestArrived} it also
     * fails the request; on any other event, {@link RequestHeadArrived} among them, no request is answered here.
     */
    private void decide(Event event) {
        try {
            policy.handle(lastEventNanos, event);
        } catch (RuntimeException e) {
            log("unexpected error in the decision module on " + event.getClass().getSimpleName() + ": " + e);
            if (event instanceof RequestArrived arrived && openRequests.containsKey(arrived.id())) {
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
        openRequests.get(request).send(server, timeoutNanos, withinNanos);
    }

    @Override
    public void refuse(String request, long pauseNanos) {
        if (ledger != null) {
            recordRequestEnd(request, RequestEnd.REFUSED);
        }
        answerRequest(request, HttpResponseStatus.SERVICE_UNAVAILABLE, "refused: trying again is harmless", pauseNanos);
    }

    @Override
    public void fail(String request) {
        if (ledger != null) {
            recordRequestEnd(request, RequestEnd.FAILED);
        }
        answerRequest(request, HttpResponseStatus.BAD_GATEWAY, "failed: it may have run", 0);
    }

    private void recordRequestEnd(String request, RequestEnd end) {
        OpenRequest r = openRequests.get(request);
        if (r != null) {
            r.entry.recordEnd(end);
        }
    }

    /** Answers a request with a status and a line of text, if it is still open. */
    private void answerRequest(String request, HttpResponseStatus status, String text, long pauseNanos) {
        OpenRequest r = openRequests.get(request);
        if (r != null) {
            r.logIfLate(status);
            r.markCompleted();
            r.reply.respondPlainText(status, text, pauseNanos);
            r.cleanUpIfOver();
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        OpenRequest r = openRequests.get(request);
        if (r != null) {
            r.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void setTimer(long delayNanos, long token) {
        timers.schedule(delayNanos, () -> dispatch(new TimerFired(token)));
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
    private final class DiscoveryListener implements Discovery.Listener {
        @Override
        public void listReceived(EndpointList list) {
            followers.forEach(follower -> follower.loop.execute(() -> follower.receiveList(list)));
            receiveList(list);
        }

        @Override
        public void watchEnded() {
            if (!discoveryResolved) {
                followers.forEach(Gateway::markDiscoveryResolved);
            }
            discoveryResolved = true;
            dispatch(new ListReceived(ListKind.FAILED, List.of()));
        }
    }

    private void markDiscoveryResolved() {
        loop.execute(() -> discoveryResolved = true);
    }

    /** Handles the list, or changes to it, from discovery or from the gateway that follows discovery for this one. */
    private void receiveList(EndpointList received) {
        EndpointList list = startTimes.convert(received, clock.nanos());
        discoveryResolved = true;
        listIndex = list.index();
        if (listChanges != null) {
            listChanges.add(list);
            listUpdateTask.resume();
            return;
        }
        if (list.endpoints().size() > LARGE_LIST_ENDPOINTS) {
            // Applied whole this once; from now on a complete list is compared with the last one, and only the differences
            // are applied.
            trackChanges(new EndpointListDiffer(null));
            listChanges.add(list);
            listChanges.takeAll();
        }
        applyList(list.snapshot() ? ListKind.WHOLE : ListKind.CHANGES, list);
    }

    /** Applies changes of the list in portions from now on. */
    private void trackChanges(EndpointListDiffer list) {
        listChanges = list;
        listUpdateTask = new IncrementalTask(loop, list::hasPending, this::applyNextPortion);
    }

    private void applyNextPortion() {
        EndpointList portion = listChanges.next();
        if (portion != null) {
            applyList(portion);
        }
    }

    private void applyList(EndpointList portion) {
        if (listChanges.hasSubset() && gatewaysPerServer != listChanges.gatewaysPerServer()) {
            gatewaysPerServer = listChanges.gatewaysPerServer();
            dispatch(new GatewaysPerServerChanged(gatewaysPerServer));
            log("using " + listChanges.summary() + ", shared by " + gatewaysPerServer + " gateways each");
        }
        applyList(ListKind.CHANGES, portion);
    }

    private void applyList(ListKind kind, EndpointList received) {
        EndpointList list = addressOwners.resolve(received);
        upstreamPool.update(list);
        if (peerTransport != null) {
            peerTransport.traffic().updateServers(list.servers(), kind != ListKind.CHANGES);
        }
        dispatch(new ListReceived(kind, list.servers()));
    }

    /** Receives client requests from the connections. */
    private final class RequestListener implements DownstreamConnectionManager.Listener {
        @Override
        public boolean isReady() {
            return discoveryResolved && !shuttingDown && !standby && acceptingClients;
        }

        @Override
        public void onInternalError(Throwable fault) {
            log("unexpected error while handling a request, answered as failed: " + fault);
        }

        @Override
        public void onMemoryRefusal(MemoryRefusal refusal) {
            memoryRefusalLog.logSampled(() -> "refused for memory: " + refusal + "; clients hold " + clientHeap.describe());
        }

        @Override
        public void onRequest(FullHttpRequest request, Upload upload, long arrivedAtNanos, Reply reply) throws BadRequest {
            long nowNanos = clock.nanos();
            if (countersByClass != null) {
                // Before the request is parsed: a request rejected as invalid is counted with its class too.
                String className = Paths.firstSegment(request.uri());
                reply.setCounters(classes.containsKey(className) ? countersFor(className) : null);
            }
            RequestArrived arrived = RequestReader.read(request, classes, routing,
                    upload != null || request.content().isReadable(), nowNanos - arrivedAtNanos);
            if (openRequests.containsKey(arrived.id())) {
                throw new BadRequest(HttpResponseStatus.CONFLICT, "a request with this id is open");
            }
            if (abandonedRequests.contains(arrived.id(), nowNanos)) {
                throw new BadRequest(HttpResponseStatus.CONFLICT, "a request with this id may have run, and its client had left");
            }
            OpenRequest r = new OpenRequest(arrived, nowNanos - arrivedAtNanos, request.retain(), upload, reply,
                    ledger == null ? null : new LedgerEntry(arrived.id(), ((BudgetedRoutePolicy) arrived.routePolicy()).index(),
                    nowNanos));
            openRequests.put(r.id, r);
            if (countersByClass != null) {
                r.counters = countersFor(arrived.requestClass());
                reply.setCounters(r.counters);
            }
            if (r.entry != null) {
                reply.setAccount(r.entry.account, r.id);
            }
            reply.onAbandoned(r::clientLeft);
            if (upload == null) {
                dispatch(nowNanos, arrived);
            } else {
                upload.setListener(r);
                dispatch(nowNanos, new RequestHeadArrived(arrived));
            }
        }
    }

    /** A request's entry in the ledger. */
    private final class LedgerEntry {
        private final String id;
        private final int account;
        private final long openedAtNanos;
        /** Number that is unique within this loop and run of the process. */
        private final long number = ++lastEntryNumber;
        /** Null until the request has ended. */
        private RequestEnd end;

        LedgerEntry(String id, int account, long openedAtNanos) {
            this.id = id;
            this.account = account;
            this.openedAtNanos = openedAtNanos;
            requestCounts.recordOpened(account, id);
            if (journal != null) {
                journal.recordOpened(number, account, id);
            }
        }

        /** Records the request's end. Only the first counts: an attempt may be served when the request has long ended. */
        void recordEnd(RequestEnd newEnd) {
            if (end == null) {
                end = newEnd;
                requestCounts.recordEnded(account, newEnd, id);
                if (journal != null) {
                    journal.recordEnded(number, newEnd);
                }
                ledger.recordLatency(account, clock.nanos() - openedAtNanos);
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
        private final long timeoutNanos;
        /** Whether it must not run twice. */
        private final boolean unsafe;
        private final RequestLifecycle lifecycle;
        private final Reply reply;
        private final List<UpstreamPool.Attempt> attempts = new ArrayList<>(1);
        private final List<String> attemptServers = new ArrayList<>(1);
        /** The request's entry in the ledger; null where no ledger is kept. */
        private final LedgerEntry entry;
        private final long openedAtNanos = clock.nanos();
        private int attemptsInFlight;
        /** Null where this gateway has no peers. */
        private final TrafficObserver.RequestObserver zoneTraffic;
        /** Null where there is no operators' socket. */
        private RequestCounters counters;

        /** {@code waitedNanos}: how long ago the request, or the head of its upload, had arrived. */
        OpenRequest(RequestArrived arrived, long waitedNanos, FullHttpRequest request, Upload upload, Reply reply,
                LedgerEntry entry) {
            id = arrived.id();
            zoneTraffic = peerTransport == null ? null
                    : peerTransport.traffic().onRequestReceived(classes.get(arrived.requestClass()));
            timeoutNanos = arrived.expiresInNanos() + waitedNanos;
            unsafe = classes.get(arrived.requestClass()).effect() == Effect.UNSAFE;
            lifecycle = upload == null ? RequestLifecycle.pending(id, clock.nanos() + arrived.expiresInNanos(), monitor)
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

        void send(String server, long attemptTimeoutNanos, long withinNanos) {
            attemptsInFlight++;
            if (entry != null) {
                attemptCounts.recordOpened(entry.account, id);
            }
            if (zoneTraffic != null) {
                zoneTraffic.onAttemptSent(clock.nanos(), server);
            }
            attemptServers.add(server);
            if (upload == null) {
                attempts.add(upstreamPool.send(server, RequestReader.toUpstreamRequest(request, attemptTimeoutNanos), attemptTimeoutNanos,
                        this));
            } else {
                long attemptNanos = Math.min(timeoutNanos, attemptTimeoutNanos);
                attempts.add(upstreamPool.send(server, RequestReader.toUpstreamRequest(request, upload, attemptNanos), upload, this));
                if (lifecycle.deadline() != Long.MAX_VALUE) {
                    attempts.get(attempts.size() - 1).setTimeout(attemptNanos);
                }
            }
            if (withinNanos != Long.MAX_VALUE) {
                attempts.get(attempts.size() - 1).setSendTimeout(withinNanos);
            }
        }

        @Override
        public void onFirstByteSent() {
            dispatch(new RequestNotReplayable(id));
        }

        /** Starts the request's deadline once its body is complete, as for any other request. */
        @Override
        public void onFullyReceived(long lastByteAtNanos) {
            if (!reply.isConcluded()) {
                lifecycle.received(lastByteAtNanos + timeoutNanos);
                long remainingNanos = remainingNanos();
                attempts.forEach(attempt -> attempt.setTimeout(remainingNanos));
                dispatch(new RequestBodyReceived(id, remainingNanos));
            }
        }

        @Override
        public void onUnread(long lastByteMayHaveArrivedAtNanos) {
            long deadline = lastByteMayHaveArrivedAtNanos + timeoutNanos;
            if (!reply.isConcluded() && deadline != lifecycle.deadline()) {
                lifecycle.unread(deadline);
                long remainingNanos = remainingNanos();
                attempts.forEach(attempt -> attempt.setTimeout(remainingNanos));
                dispatch(new RequestBodyUnread(id, remainingNanos));
            }
        }

        @Override
        public void onCaughtUp() {
            if (!reply.isConcluded()) {
                lifecycle.unread(Long.MAX_VALUE);
                attempts.forEach(UpstreamPool.Attempt::clearTimeout);
                dispatch(new RequestBodyAwaited(id));
            }
        }

        @Override
        public void onServerBlocked(boolean blocked) {
            dispatch(new RequestBodyBlocked(id, blocked));
        }

        /** Returns how much of the request's time is left; not below zero. */
        private long remainingNanos() {
            return Math.max(0, lifecycle.deadline() - clock.nanos());
        }

        @Override
        public ResponseSink onStreamStarted(UpstreamPool.Attempt attempt, long at, LoadReport load, long length,
                ResponseSink.Source source) {
            int number = recordAttemptEnd(attempt, Outcome.SERVED);
            long elapsedNanos = attempt.elapsedUntilHead();
            boolean wanted = !reply.isConcluded();
            if (wanted) {
                if (entry != null) {
                    entry.recordEnd(RequestEnd.SERVED);
                }
                lifecycle.transitionTo(RequestState.RESPONDING);
                reply.startStreaming(length, source);
            }
            cleanUpIfOver();
            if (zoneTraffic != null) {
                zoneTraffic.onAttemptEnded(at, number, Outcome.SERVED, elapsedNanos, load);
            }
            dispatch(at, new AttemptEnded(id, number, attemptServers.get(number), Outcome.SERVED, elapsedNanos, true, load));
            return wanted ? this : null;
        }

        @Override
        public void onData(ByteBuf bytes) {
            reply.writeData(bytes);
        }

        @Override
        public void onEnd() {
            markCompleted();
            reply.endStreaming();
            cleanUpIfOver();
        }

        @Override
        public void onAborted() {
            incompleteAnswerLog.logSampled(() -> "the answer to request " + id + " is incomplete: its server's connection ended, or "
                    + "its server was silent for too long");
            markCompleted();
            reply.abortStreaming();
            cleanUpIfOver();
        }

        /** Records an attempt's end and returns the attempt's number. */
        private int recordAttemptEnd(UpstreamPool.Attempt attempt, Outcome outcome) {
            attemptsInFlight--;
            if (entry != null) {
                attemptCounts.recordEnded(entry.account, outcome, id);
            }
            if (listChanges != null && listChanges.hasSubset()) {
                recordSubsetOutcome(outcome);
            }
            return attempts.indexOf(attempt);
        }

        @Override
        public void onResponseBegun(UpstreamPool.Attempt attempt) {
            dispatch(new ResponseBegun(id, attempts.indexOf(attempt)));
        }

        @Override
        public void onRequestWritten() {
            if (counters != null) {
                counters.recordRelayed();
            }
        }

        @Override
        public void onAttemptEnded(UpstreamPool.Attempt attempt, Outcome outcome, long at, LoadReport load, ByteBuf body) {
            int number = recordAttemptEnd(attempt, outcome);
            if (outcome == Outcome.SERVED) {
                if (entry != null) {
                    entry.recordEnd(RequestEnd.SERVED);
                }
                markCompleted();
                reply.respondOk(body);
            }
            cleanUpIfOver();
            if (zoneTraffic != null) {
                zoneTraffic.onAttemptEnded(at, number, outcome, attempt.elapsed(at), load);
            }
            // An attempt cancelled before its last byte was sent says nothing about the server, and certainly did not run.
            boolean unsent = outcome == Outcome.CANCELLED && attempt.isUnsent();
            dispatch(at, new AttemptEnded(id, number, attemptServers.get(number), unsent ? Outcome.NOT_SENT : outcome,
                    attempt.elapsed(at), reply.isConcluded(), load));
        }

        /**
         * Passes an attempt's outcome to the subset. A full server is not a failing one, and cancelled or unsent attempts say
         * nothing.
         */
        private void recordSubsetOutcome(Outcome outcome) {
            if (outcome != Outcome.FULL && outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
                listChanges.recordOutcome(outcome == Outcome.SERVED);
            }
        }

        /** Logs why a request waited: a late refusal has cost the client the time for a retry elsewhere. */
        private void logIfLate(HttpResponseStatus status) {
            long waited = clock.nanos() - openedAtNanos;
            if (waited >= LATENESS_LOG_THRESHOLD_NANOS && !attempts.isEmpty()) {
                lateRefusalLog.logSampled(() -> "request " + id + " was answered " + status.code() + " after "
                        + TimeUnit.NANOSECONDS.toMillis(waited) + " ms; attempts: " + describeAttempts());
            }
        }

        /**
         * Logs a request that was sent and whose client's close was read right behind it: the close may have been waiting in the
         * socket when the request was sent.
         */
        private void logIfSentAfterLeaving() {
            long openNanos = clock.nanos() - openedAtNanos;
            if (openNanos < EventLoopLag.TICK_INTERVAL_NANOS && attempts.stream().anyMatch(attempt -> !attempt.isUnsent())) {
                sentAfterLeavingLog.logSampled(() -> "request " + id + " was sent, and its client's close was read "
                        + TimeUnit.NANOSECONDS.toMicros(openNanos) + " us after the request");
            }
        }

        /** Logs an upload that ended late, and whether its body was waited for or was not read. */
        private void logIfUploadEndedLate() {
            long openNanos = clock.nanos() - openedAtNanos;
            if (upload != null && openNanos > timeoutNanos) {
                long unreadNanos = reply.totalUnreadNanos();
                lateUploadLog.logSampled(() -> "request " + id + " ended " + TimeUnit.NANOSECONDS.toMillis(openNanos)
                        + " ms after its head, with a time of " + TimeUnit.NANOSECONDS.toMillis(timeoutNanos) + " ms; its body was "
                        + (upload.isFullyReceived() ? "whole" : "not whole") + ", and its client's connection was not read for "
                        + TimeUnit.NANOSECONDS.toMillis(unreadNanos) + " ms in all; attempts: " + describeAttempts());
            }
        }

        private String describeAttempts() {
            List<String> descriptions = new ArrayList<>();
            for (int i = 0; i < attempts.size(); i++) {
                descriptions.add(attemptServers.get(i) + " " + attempts.get(i).describe());
            }
            return String.join(", ", descriptions);
        }

        /** Marks the request completed; of several answers only the first counts. */
        private void markCompleted() {
            if (lifecycle.state() != RequestState.COMPLETED && lifecycle.state() != RequestState.ABANDONED) {
                lifecycle.transitionTo(RequestState.COMPLETED);
            }
        }

        @Override
        public SendDecision decideSend(BooleanSupplier serverAvailable) {
            return lifecycle.decideSend(clock.nanos(), reply::clientPresence, () -> {
                // After a stall, changes of the list may wait unread on the watch's socket: they are read before the server is
                // looked up, so that nothing is sent to a server that takes no new requests.
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
            logIfSentAfterLeaving();
            if (lifecycle.state() == RequestState.RESPONDING) {
                incompleteAnswerLog.logSampled(() -> "the answer to request " + id + " is incomplete: its client's connection ended, "
                        + "or its client read nothing for too long");
            }
            if (unsafe && attempts.stream().anyMatch(attempt -> !attempt.isUnsent())) {
                abandonedRequests.add(id, clock.nanos());
            }
            if (lifecycle.state() != RequestState.COMPLETED) {
                lifecycle.transitionTo(RequestState.ABANDONED);
            }
            if (entry != null) {
                entry.recordEnd(RequestEnd.ABANDONED);
            }
            cleanUpIfOver();
            dispatch(new ClientLeft(id));
        }

        void answerOverdue() {
            log("request " + id + " was not answered by its deadline or the shutdown deadline; answered by the gateway itself");
            boolean sent = !attempts.isEmpty();
            if (entry != null) {
                entry.recordEnd(sent ? RequestEnd.FAILED : RequestEnd.REFUSED);
            }
            reply.respondPlainText(sent ? HttpResponseStatus.BAD_GATEWAY : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    sent ? "failed: it may have run" : "refused: trying again is harmless", 0);
            markCompleted();
            cleanUpIfOver();
            // The decision module need not answer the request any more either.
            dispatch(new ClientLeft(id));
        }

        /**
         * Cancels unsent attempts once the request is answered or its client has left, and removes the request when it has
         * ended.
         */
        private void cleanUpIfOver() {
            if (reply.isConcluded()) {
                attempts.forEach(UpstreamPool.Attempt::cancelIfUnsent);
            }
            if (reply.isFinished() && attemptsInFlight == 0 && openRequests.remove(id, this)) {
                logIfUploadEndedLate();
                request.release();
            }
        }
    }
}
