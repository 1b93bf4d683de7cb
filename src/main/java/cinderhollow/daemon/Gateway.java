package cinderhollow.daemon;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.EventLoopLag;
import cinderhollow.core.RequestCounters;
import cinderhollow.core.LagAwareTimers;
import cinderhollow.core.Transport;
import cinderhollow.http1.Acceptor;
import cinderhollow.http1.ClientServer.BadRequest;
import cinderhollow.http1.ClientServer.Reply;
import cinderhollow.http1.ClientServer;
import cinderhollow.http1.HostPool;
import cinderhollow.http1.Passage;
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
import cinderhollow.membership.ListChanges;
import cinderhollow.membership.StartTimes;
import cinderhollow.membership.Subset;
import cinderhollow.ops.Standing;
import cinderhollow.policy.Choice;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.Arriving;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.ClientLeft;
import cinderhollow.policy.Protocol.Ending;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Overlap;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.Recalled;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Retuned;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.Sharing;
import cinderhollow.policy.Protocol.Spent;
import cinderhollow.policy.Protocol.TimerFired;
import cinderhollow.policy.Protocol.Whole;
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
 * One real gateway: owns the decision module, its clock and timers, and the open requests, and carries out
 * what the module decides. Everything runs on one event loop thread.
 *
 * <p>Events wait in a queue while the module is at work, so that nothing an action causes re-enters it.
 */
final class Gateway implements Actions, Serving {
    /** The platform kills no sooner than the longest deadline and so much more after it asked for an end. */
    private static final long KILLED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    /** A longer deadline counts as this one there. */
    private static final long LONGEST_COUNTED_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Of that time, what is left for a signal that comes late, for 0.15 s in which the process gets no core, and for its last steps. */
    private static final long END_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** A request that has had no answer so long after its time gets one from the gateway itself; half a second later it is lost. */
    private static final long OVERDUE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** The same at the process's end, and how often it is looked for. */
    private static final long OVERDUE_AT_END_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long OVERDUE_LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LONGEST_TAKING_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** New connections go on coming for up to 0.4 s. */
    private static final long LEAST_TAKING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long END_CHECK_MILLIS = 10;
    /** How often, and how far apart, listening is tried where the system gives no socket. */
    private static final int LISTEN_ATTEMPTS = 40;
    private static final long LISTEN_RETRY_MILLIS = 50;
    /** A disk that takes longer at the end must not hold the end up. */
    private static final long JOURNAL_END_MILLIS = 300;
    /** Descriptors for the listener, the watch, the selector, the jar files and the standard streams. */
    private static final int OTHER_DESCRIPTORS = 64;
    /** Of the operators' door and its callers, where there is one. */
    static final int DOOR_DESCRIPTORS = 33;
    /** A list of more nodes is compared with the last one and taken in portions. */
    private static final int LARGE_LIST = 1_000;

    private final EventLoop loop;
    private final Consumer<String> log;
    private final GatewayClock clock = new GatewayClock();
    private final LagAwareTimers timers;
    /** What operators are told of the loop's lateness, and of refusals, from so long on: it eats a good part of an aim. */
    private static final long WORTH_TELLING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private final EventLoopLag lag = new EventLoopLag();
    private final TransitionMonitor monitor;
    /** Requests that were refused or failed long after they came, with what was tried. */
    private final SampledLog lateRefusals;
    private final GatewayConfig config;
    /** Null where it talks with no other gateway. */
    private final ZoneTalk talk;
    /** Whether there is any host for whose sake clients should come here. */
    private boolean welcome = true;
    /** Null where no operator has set routes. */
    private Routing routing;
    /** Null where nobody keeps account. */
    private final Ledger ledger;
    /** Null where account is not kept over restarts. */
    private final Journal journal;
    private long taken;
    private final Sheet requestSheet;
    private final Sheet attemptSheet;
    private final Map<String, RequestClass> classes = new HashMap<>();
    /** By class, also of those that were dropped; null where no operator can ask. */
    private final Map<String, RequestCounters> tallies;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final ArrayDeque<Stamped> events = new ArrayDeque<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final Choice choice;
    private final HostPool hosts;
    private final Discovery discovery;
    private final ClientServer clients;
    /** Those that are told of the list by this one. */
    private List<Gateway> followers = List.of();
    /** Null where the list is small and told as it comes. */
    private ListChanges changes;
    /** Takes what {@link #changes} tells. */
    private InTurn portions;
    /** The listener of all loops, which stops with this one; null where each has its own. */
    private Acceptor acceptor;
    private int sharers;
    private long last = Long.MIN_VALUE;
    private boolean deciding;
    private final StartTimes startTimes = new StartTimes();
    private boolean askedForList;
    private long listIndex;
    /** Processes of this same gateway that serve beside this one. */
    private int beside;
    private long cfgAccepted;
    private long cfgInvalid;
    private boolean listening;
    private boolean standby;
    private boolean ending;
    /** By when all has to be answered, once the process is to end; and when overdue requests are looked for next. */
    private long answersBy = Long.MAX_VALUE;
    private long looksAt = Long.MIN_VALUE;

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
                : Journal.open(loop, config.bookkeeping(), Journal.FILES, ledger, this::tellOpen, log);
        int others = OTHER_DESCRIPTORS + (config.door() == null ? 0 : DOOR_DESCRIPTORS);
        int connections = Math.max(2, config.sockets() - others);
        hosts = new HostPool(loop, transport, clock, config.dialTimeoutNanos(), config.idleNanos(), connections / 2,
                ledger == null ? null : ledger.sheet(Place.NODES), ledger == null ? 0 : ledger.accounts().size());
        discovery = config.discovery() == null ? null : new Discovery(loop, transport, config.discovery(),
                config.known().index(), Discovery.SILENCE_MILLIS,
                // Only under an operator's file: a line without an end is noticed by its length alone.
                config.routes() == null ? Discovery.USUAL_LINE : Discovery.LARGE_LINE, new Watcher(), log);
        askedForList = discovery == null && (config.scale() == null || !config.scale().follows());
        clients = new ClientServer(loop, transport, clock, lag, connections / 2, new Requests(),
                ledger == null ? null : ledger.sheet(Place.CLIENTS));
        choice = new Choice(config.settings(), config.seed(), this);
        talk = config.peering() == null ? null : new ZoneTalk(loop, config.peering(), config.settings().rules(), clock,
                config.seed(), this::tell, clientsMayCome -> welcome = clientsMayCome, log);
    }

    /** Starts a gateway; the future ends when it listens, or tells why it can't. */
    static CompletableFuture<Gateway> start(EventLoop loop, GatewayConfig config, Transport transport,
                                            Consumer<String> log) {
        return open(loop, config, transport, log).thenCompose(Gateway::listen);
    }

    /**
     * A gateway that follows discovery and takes no clients yet. Guards against a gateway that listens and
     * isn't ready: discovery's first answer may take its time, in which other work can be done.
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
                Serving.tell(opened, gateway.talk.open(), gateway);
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
        EndpointList known = startTimes.convertCached(config.known(), clock.nanos());
        if (config.scale() != null && config.scale().place() != null) {
            follow(new ListChanges(new Subset(config.scale().place())));
            loop.scheduleAtFixedRate(() -> {
                changes.tick(clock.nanos());
                portions.goOn();
            }, 1, 1, TimeUnit.SECONDS);
            changes.tell(known);
            changes.rest().forEach(this::take);
            return;
        }
        // A list that nobody tells anew is no old one: it is how things are.
        take(config.discovery() == null ? ListKind.WHOLE : ListKind.CACHED, known);
        if (discovery != null && !config.settings().subscribe()) {
            // Guards against a list that never changes: one that is pushed waits at the agent, and the module asks for none.
            discovery.watch();
        }
    }

    private void beatLater() {
        lag.expect(clock.nanos() + EventLoopLag.BEAT_NANOS);
        loop.schedule(() -> {
            long now = clock.nanos();
            long late = lag.beat(now);
            // Before what might fail: this beat is the last guard of all that is open.
            beatLater();
            if (late >= WORTH_TELLING_NANOS) {
                log("the event loop was late by " + TimeUnit.NANOSECONDS.toMillis(late) + " ms");
            }
            if (talk != null) {
                talk.late(lag.recent(now));
            }
            if (now >= looksAt || ending) {
                looksAt = now + OVERDUE_LOOK_NANOS;
                timers.afterALook(this::answerOverdue);
            }
        }, EventLoopLag.BEAT_NANOS, TimeUnit.NANOSECONDS);
    }

    /**
     * Guards against a request that nobody thinks of any more, whatever became of the decision on it, and against one whose
     * time is longer than the process's end leaves: its client would wait for ever, or until the process is killed.
     */
    private void answerOverdue() {
        long now = clock.nanos();
        boolean last = now - OVERDUE_AT_END_NANOS >= answersBy;
        for (OpenRequest r : List.copyOf(open.values())) {
            if (!r.reply.isDone() && (last || now - OVERDUE_NANOS >= r.lifecycle.deadline())) {
                r.answerOverdue();
            }
        }
        if (last) {
            // Guards against a request that comes whole when nobody could answer it any more.
            clients.endAll();
        }
    }

    /** Tells these of each list that it is told; before any of them listens. */
    void leads(List<Gateway> others) {
        loop.execute(() -> {
            followers = List.copyOf(others);
            if (askedForList) {
                followers.forEach(Gateway::asked);
            }
        });
    }

    /** Stops this listener too when it takes in no more. */
    void stopsWith(Acceptor shared) {
        loop.execute(() -> acceptor = shared);
    }

    ClientServer clients() {
        return clients;
    }

    /** Of this loop's thread; null where nobody keeps account. */
    Ledger ledger() {
        return ledger;
    }

    /** Starts to take clients; the future ends with this gateway, or tells why it can't. From any thread. */
    @Override
    public CompletableFuture<Gateway> listen() {
        return listen(config.listen());
    }

    CompletableFuture<Gateway> listen(SocketAddress address) {
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        boolean beside = config.scale() != null && config.scale().eachListens();
        loop.execute(() -> listen(started, () -> config.inherited() != null
                ? clients.listen(config.inherited().listener(), config.inherited().first())
                : beside ? clients.listenBesideOthers(address) : clients.listen(address), LISTEN_ATTEMPTS));
        return started.thenApply(gateway -> {
            listened();
            return gateway;
        });
    }

    /** Tries again while the system has no socket to give, which passes; an address that can't be had is told at once. */
    private void listen(CompletableFuture<Gateway> started, Supplier<ChannelFuture> listen, int attemptsLeft) {
        ChannelFuture bound = listen.get();
        bound.addListener(done -> {
            boolean passes = !done.isSuccess() && !(done.cause() instanceof BindException) && attemptsLeft > 1;
            if (passes) {
                if (attemptsLeft == LISTEN_ATTEMPTS) {
                    log("can't listen yet: " + done.cause());
                }
                loop.schedule(() -> listen(started, listen, attemptsLeft - 1), LISTEN_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                Serving.tell(started, bound, this);
            }
        });
    }

    /** Clients can connect from now on. From any thread. */
    void listened() {
        loop.execute(() -> listening = true);
    }

    @Override
    public CompletableFuture<Boolean> serves() {
        return CompletableFuture.supplyAsync(() -> listening && askedForList && !ending, loop);
    }

    @Override
    public CompletableFuture<Standing> standing() {
        return CompletableFuture.supplyAsync(() -> {
            Map<String, RequestCounters.Counts> counts = new HashMap<>();
            if (tallies != null) {
                classes.keySet().forEach(this::tally);
                tallies.forEach((name, tally) -> counts.put(name, tally.counts()));
            }
            return new Standing(counts, open.values().stream().filter(r -> !r.reply.isOver()).count() + clients.sentAhead(),
                    hosts.listed(), hosts.listed() - choice.drawnOn(), cfgAccepted, cfgInvalid);
        }, loop);
    }

    @Override
    public CompletableFuture<Snapshot> snapshot() {
        return CompletableFuture.supplyAsync(() -> new Snapshot(choice.memory(), listIndex, hosts.list().stream()
                .map(Gateway::told).toList(), standby), loop);
    }

    private static Snapshot.Host told(Endpoint e) {
        InetSocketAddress address = (InetSocketAddress) e.address();
        ServerInfo info = e.info();
        return new Snapshot.Host(info.id(), address.getHostString() + ":" + address.getPort(), info.zone(), info.kind(),
                info.cell(), info.readiness() != Readiness.READY, info.capacityHint(),
                TimeUnit.NANOSECONDS.toMillis(info.startedAtNanos()));
    }

    private static Endpoint heard(Snapshot.Host h) {
        return new Endpoint(new ServerInfo(h.name(), h.zone(), h.type(), h.group(),
                h.draining() ? Readiness.DRAINING : Readiness.READY, h.weight(), GatewayClock.ofUnixMillis(h.sinceMillis())),
                EndpointList.address(h.address()));
    }

    /** The list only where discovery has not told one yet: what it says is newer than what any process knows. */
    @Override
    public CompletableFuture<Void> recall(Snapshot from) {
        return CompletableFuture.runAsync(() -> {
            if (!askedForList && changes == null && !from.hosts().isEmpty()) {
                take(ListKind.CACHED, new EndpointList(from.index(), true, from.hosts().stream().map(Gateway::heard).toList()));
            }
            tell(new Recalled(from.memory()));
            if (from.standby()) {
                standby = true;
                clients.standby(true);
            }
        }, loop);
    }

    @Override
    public void overlap(boolean begins) {
        loop.execute(() -> {
            beside += begins ? 1 : -1;
            tell(new Overlap(beside > 0));
            clients.overlap(beside > 0);
            hosts.overlap(beside > 0);
        });
    }

    private RequestCounters tally(String requestClass) {
        return tallies.computeIfAbsent(requestClass, name -> new RequestCounters());
    }

    @Override
    public CompletableFuture<Void> standby(boolean empty) {
        return CompletableFuture.runAsync(() -> {
            standby = empty;
            clients.standby(empty);
            log(empty ? "standby: clients are sent away" : "active: clients are welcome");
        }, loop);
    }

    @Override
    public InetSocketAddress address() {
        return clients.address();
    }

    /**
     * Ends in good order: serves on the connections that clients have for as long as a request can still be
     * answered within its aim, answers all that was taken, and then completes the future. Guards against
     * sending clients away while no other gateway may be there for them, as in a rolling restart whose
     * starts take long; equally where the others are full, or die. It could do harm where a successor has
     * to wait for this process's end, so the time is bounded. May be called from any thread.
     */
    @Override
    public CompletableFuture<Void> end() {
        // From the word on, and not from when a loop that may be busy comes to hear of it: the kill doesn't wait for that.
        long asked = clock.nanos();
        loop.execute(() -> {
            if (!ending) {
                ending = true;
                long within = Math.min(LONGEST_COUNTED_NANOS, longest(RequestClass::deadlineNanos)) + KILLED_AFTER_NANOS
                        - END_MARGIN_NANOS;
                answersBy = asked + within;
                long heard = clock.nanos();
                tell(new Ending(Math.max(0, answersBy - heard)));
                if (config.inherited() != null) {
                    // A successor serves: it has the listener, and clients are to come over to it.
                    if (acceptor != null) {
                        acceptor.stop();
                    }
                    clients.leaveListener();
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

    /** Accounts are numbered by routes, from the start to the end of a process. */
    void checkRoutes(GatewayConfig next) {
        if (config.routes() != null && !next.routes().stream().map(Object::toString).toList()
                .equals(config.routes().stream().map(Object::toString).toList())) {
            throw new IllegalArgumentException("with it the operator's file has other routes, which count at a start only");
        }
    }

    @Override
    public CompletableFuture<Void> retune(GatewayConfig next) {
        checkRoutes(next);
        return CompletableFuture.runAsync(() -> {
            if (tallies != null) {
                // Before it is dropped: a class keeps its counts, also where nobody has asked for them yet.
                classes.keySet().forEach(this::tally);
            }
            classes.clear();
            next.settings().classes().forEach(c -> classes.put(c.name(), c));
            routing = next.routes() == null ? null : new Routing(next.routes());
            hosts.retune(next.dialTimeoutNanos(), next.idleNanos());
            tell(new Retuned(next.settings()));
            // Guards against a watch that nothing closes any more.
            if (!ended.isDone() && discovery != null && next.discovery() != null) {
                discovery.moveTo(next.discovery());
            }
            cfgAccepted++;
            log("took a new configuration");
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
        // In this order: guards against a client that is handed over between the two looks.
        if (acceptor != null && acceptor.mayHandOver() || clients.holdsAny()) {
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
                journal.end().orTimeout(JOURNAL_END_MILLIS, TimeUnit.MILLISECONDS)
                        .whenComplete((none, late) -> ended.complete(null));
            }
        }
    }

    /** As a task of its own, between events: nothing is half done. */
    private void compareAccounts() {
        newBreaches().forEach(breach -> log(breach.toString()));
    }

    @Override
    public CompletableFuture<List<Figures>> figures() {
        return CompletableFuture.supplyAsync(() -> ledger == null ? List.of() : List.of(ledger.figures(openNow(),
                journal == null ? List.of() : journal.earlier(), journal == null ? 0 : journal.lost())), loop);
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

    /** On the loop's thread, as a task of its own. */
    List<Breach> newBreaches() {
        return ledger.check(openNow());
    }

    private void tellOpen(Frame frame) {
        open.values().stream().map(r -> r.entry).filter(entry -> entry.end == null)
                .forEach(entry -> frame.held(entry.number, entry.account, entry.id));
    }

    /** Counted anew at each place, from what it holds; in one walk, however many accounts there are. */
    private Ledger.OpenNow openNow() {
        int accounts = ledger.accounts().size();
        long[] waiting = clients.waiting(accounts);
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
            case NODES -> hosts.out(account);
        };
    }

    private void tell(Event event) {
        tell(clock.nanos(), event);
    }

    /** The one way into the module. Its times never go back, even where events are stamped earlier. */
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

    /** Guards against one request's fault ending the process. */
    private void decide(Event event) {
        try {
            choice.on(last, event);
        } catch (RuntimeException e) {
            log("fault in the decision on " + event.getClass().getSimpleName() + ": " + e);
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

    private void conclude(String request, HttpResponseStatus status, String line, long pauseNanos) {
        OpenRequest r = open.get(request);
        if (r != null) {
            r.logIfLate(status);
            r.complete();
            r.reply.plain(status, line, pauseNanos);
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
        timers.in(delayNanos, () -> tell(new TimerFired(token)));
    }

    @Override
    public void subscribe() {
        discovery.watch();
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    private final class Watcher implements Discovery.Listener {
        @Override
        public void listed(EndpointList list) {
            followers.forEach(follower -> follower.loop.execute(() -> follower.hear(list)));
            hear(list);
        }

        @Override
        public void failed() {
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

    /** The list, or changes to it, from discovery or from who follows it for this one. */
    private void hear(EndpointList received) {
        EndpointList list = startTimes.convert(received, clock.nanos());
        askedForList = true;
        listIndex = list.index();
        if (changes != null) {
            changes.tell(list);
            portions.goOn();
            return;
        }
        if (list.endpoints().size() > LARGE_LIST) {
            // Taken whole this once; from now on a list told whole is compared, and what differs is taken.
            follow(new ListChanges(null));
            changes.tell(list);
            changes.rest();
        }
        take(list.snapshot() ? ListKind.WHOLE : ListKind.CHANGES, list);
    }

    private void follow(ListChanges list) {
        changes = list;
        portions = new InTurn(loop, list::waits, this::takeNext);
    }

    private void takeNext() {
        EndpointList portion = changes.next();
        if (portion != null) {
            take(portion);
        }
    }

    private void take(EndpointList portion) {
        if (changes.ofSubset() && sharers != changes.sharers()) {
            sharers = changes.sharers();
            tell(new Sharing(sharers));
            log("keeps to " + changes.summary() + ", shared by " + sharers + " gateways each");
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

    private final class Requests implements ClientServer.Listener {
        @Override
        public boolean ready() {
            return askedForList && !ending && !standby && welcome;
        }

        @Override
        public void failed(Throwable fault) {
            log("fault in the handling of a request, which is answered as failed: " + fault);
        }

        @Override
        public void requested(FullHttpRequest request, Upload upload, long arrivedAt, Reply reply) throws BadRequest {
            long at = clock.nanos();
            if (tallies != null) {
                // Before it is read: what is turned away for a fault of its own is counted with its class too.
                String named = Paths.firstPart(request.uri());
                reply.countIn(classes.containsKey(named) ? tally(named) : null);
            }
            RequestArrived arrived = RequestReader.read(request, classes, routing,
                    upload != null || request.content().isReadable(), at - arrivedAt);
            if (open.containsKey(arrived.id())) {
                throw new BadRequest(HttpResponseStatus.CONFLICT, "a request with this id is open");
            }
            OpenRequest r = new OpenRequest(arrived, request.retain(), upload, reply,
                    ledger == null ? null : new Entry(arrived.id(), ((RouteCourse) arrived.course()).number(), at));
            open.put(r.id, r);
            if (tallies != null) {
                r.tally = tally(arrived.requestClass());
                reply.countIn(r.tally);
            }
            if (r.entry != null) {
                reply.accountedAs(r.entry.account, r.id);
            }
            reply.onLeft(r::clientLeft);
            if (upload == null) {
                tell(at, arrived);
            } else {
                upload.tell(r);
                tell(at, new Arriving(arrived));
            }
        }
    }

    /** A request's place in the ledger; there is none where nobody keeps account. */
    private final class Entry {
        private final String id;
        private final int account;
        private final long openedAt;
        /** Its own within this life and loop. */
        private final long number = ++taken;
        /** Null until it is over. */
        private End end;

        Entry(String id, int account, long openedAt) {
            this.id = id;
            this.account = account;
            this.openedAt = openedAt;
            requestSheet.open(account, id);
            if (journal != null) {
                journal.opened(number, account, id);
            }
        }

        /** Only the first end is one: an attempt may well be served when the request is long over. */
        void over(End how) {
            if (end == null) {
                end = how;
                requestSheet.end(account, how, id);
                if (journal != null) {
                    journal.ended(number, how);
                }
                ledger.took(account, clock.nanos() - openedAt);
            }
        }
    }

    /** A request that is owed its answer, or whose attempts have not all ended. */
    private final class OpenRequest implements HostPool.Listener, Upload.Listener, Passage {
        private final String id;
        private final FullHttpRequest request;
        /** Null where the request has its whole body. */
        private final Upload upload;
        /** What it may take from its last byte on. */
        private final long expiresIn;
        private final RequestLifecycle lifecycle;
        private final Reply reply;
        private final List<HostPool.Attempt> attempts = new ArrayList<>(1);
        private final List<String> servers = new ArrayList<>(1);
        /** Null where nobody keeps account. */
        private final Entry entry;
        private final long openedAt = clock.nanos();
        private int outstanding;
        /** Null where it talks with no other gateway. */
        private final Traffic.OfRequest zones;
        /** Null where no operator can ask. */
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
                attempts.add(hosts.send(server, RequestReader.forHost(request, timeoutNanos), timeoutNanos, this));
            } else {
                long answeredIn = Math.min(expiresIn, timeoutNanos);
                attempts.add(hosts.send(server, RequestReader.forHost(request, upload, answeredIn), upload, this));
                if (upload.isWhole()) {
                    attempts.get(attempts.size() - 1).timeOutIn(answeredIn);
                }
            }
            if (withinNanos != Long.MAX_VALUE) {
                attempts.get(attempts.size() - 1).outWithin(withinNanos);
            }
        }

        @Override
        public void spent() {
            tell(new Spent(id));
        }

        /** From here on its time runs, as that of any other request. */
        @Override
        public void whole() {
            if (!reply.isDone()) {
                lifecycle.received(clock.nanos() + expiresIn);
                attempts.forEach(attempt -> attempt.timeOutIn(expiresIn));
                tell(new Whole(id, expiresIn));
            }
        }

        @Override
        public Passage begun(HostPool.Attempt attempt, long at, LoadReport load, long length, Passage.Source source) {
            int number = over(attempt, Outcome.SERVED);
            boolean wanted = !reply.isDone();
            if (wanted) {
                if (entry != null) {
                    entry.over(End.SERVED);
                }
                lifecycle.become(RequestState.RESPONDING);
                reply.begin(length, source);
            }
            forgetIfOver();
            if (zones != null) {
                zones.ended(at, number, Outcome.SERVED, attempt.elapsed(at), load);
            }
            tell(at, new AttemptEnded(id, number, servers.get(number), Outcome.SERVED, attempt.elapsed(at), true, load));
            return wanted ? this : null;
        }

        @Override
        public void part(ByteBuf bytes) {
            reply.part(bytes);
        }

        @Override
        public void end() {
            complete();
            reply.end();
            forgetIfOver();
        }

        @Override
        public void broken() {
            complete();
            reply.breakOff();
            forgetIfOver();
        }

        /** Takes note of an attempt's end; its number. */
        private int over(HostPool.Attempt attempt, Outcome outcome) {
            outstanding--;
            if (entry != null) {
                attemptSheet.end(entry.account, outcome, id);
            }
            if (changes != null && changes.ofSubset()) {
                judge(outcome);
            }
            return attempts.indexOf(attempt);
        }

        @Override
        public void written() {
            if (tally != null) {
                tally.relayed();
            }
        }

        @Override
        public void ended(HostPool.Attempt attempt, Outcome outcome, long at, LoadReport load, ByteBuf body) {
            int number = over(attempt, outcome);
            if (outcome == Outcome.SERVED) {
                if (entry != null) {
                    entry.over(End.SERVED);
                }
                complete();
                reply.served(body);
            }
            forgetIfOver();
            if (zones != null) {
                zones.ended(at, number, outcome, attempt.elapsed(at), load);
            }
            // Of one that was called off before its last byte nothing is learnt, and it is proved not to have run.
            boolean unsent = outcome == Outcome.CANCELLED && attempt.isUnsent();
            tell(at, new AttemptEnded(id, number, servers.get(number), unsent ? Outcome.NOT_SENT : outcome,
                    attempt.elapsed(at), reply.isDone(), load));
        }

        /** A full node is no failing one, and what was called off or never sent says nothing. */
        private void judge(Outcome outcome) {
            if (outcome != Outcome.FULL && outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
                changes.ended(outcome == Outcome.SERVED);
            }
        }

        /** Tells why a request waited: a refusal that comes late has cost its client the time for a try elsewhere. */
        private void logIfLate(HttpResponseStatus status) {
            long waited = clock.nanos() - openedAt;
            if (waited >= WORTH_TELLING_NANOS && !attempts.isEmpty()) {
                lateRefusals.add(() -> "request " + id + " is answered " + status.code() + " after "
                        + TimeUnit.NANOSECONDS.toMillis(waited) + " ms; attempts: " + tried());
            }
        }

        private String tried() {
            List<String> tried = new ArrayList<>();
            for (int i = 0; i < attempts.size(); i++) {
                Outcome outcome = attempts.get(i).outcome();
                tried.add(servers.get(i) + " " + (outcome == null ? "still out" : outcome));
            }
            return String.join(", ", tried);
        }

        /** The final answer goes to the client; of several the first counts. */
        private void complete() {
            if (lifecycle.state() != RequestState.COMPLETED && lifecycle.state() != RequestState.ABANDONED) {
                lifecycle.become(RequestState.COMPLETED);
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
                lifecycle.become(RequestState.ABANDONED);
            }
            if (entry != null) {
                entry.over(End.ABANDONED);
            }
            forgetIfOver();
            tell(new ClientLeft(id));
        }

        void answerOverdue() {
            log("request " + id + " had no answer in its time, and gets one from the gateway itself");
            boolean sent = !attempts.isEmpty();
            if (entry != null) {
                entry.over(sent ? End.FAILED : End.REFUSED);
            }
            reply.plain(sent ? HttpResponseStatus.BAD_GATEWAY : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    sent ? "failed: it may have run" : "refused: trying again is harmless", 0);
            complete();
            forgetIfOver();
            // The module owes nothing any more either.
            tell(new ClientLeft(id));
        }

        /** Nobody waits any more once it has its answer, or its client has gone: what was not sent by then is not sent. */
        private void forgetIfOver() {
            if (reply.isDone()) {
                attempts.forEach(HostPool.Attempt::callOff);
            }
            if (reply.isOver() && outstanding == 0 && open.remove(id, this)) {
                request.release();
            }
        }
    }
}
