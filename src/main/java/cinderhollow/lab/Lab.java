package cinderhollow.lab;

import com.sun.management.UnixOperatingSystemMXBean;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs a whole fleet on the loopback interface: starts nodes, discovery and gateways, plays the arrivals and the fault plan, and
 * returns a report with the auditor's verdict. {@link #close} may be called at any time and from any thread; it ends every
 * process that the lab started and deletes its folder.
 */
public final class Lab implements AutoCloseable {
    private static final Duration READY = Duration.ofSeconds(30), END = Duration.ofSeconds(6);
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int AT_ONCE = 8, PORT_TRIES = 5, NODES_A_LOOP = 60, MOST_NODE_LOOPS = 3, OTHER_DESCRIPTORS = 200;
    /** Bounds of the delay until discovery learns of a change, and that delay for a machine that is cut off, in milliseconds. */
    private static final long LEAST_NEWS_MILLIS = 300, MOST_NEWS_MILLIS = 1_200, SILENT_NEWS_MILLIS = 1_500;
    private static final long LAST_OPEN_MILLIS = 3_000;
    /** From SIGTERM until the kill: the longest deadline of the classes, capped at the first value, plus the second. */
    private static final long LONGEST_COUNTED_MILLIS = 3_000, KILL_AFTER_MILLIS = 700;
    /** Youngest process that gets SIGHUP, and the wait until the next check whether a process is ready and old enough. */
    private static final long LEAST_AGE_NANOS = TimeUnit.SECONDS.toNanos(1), LOOK_MILLIS = 50;
    /** Additional keep-alive connections opened before a gateway gets SIGTERM, so that some are idle at that time. */
    private static final int KEPT_AT_END = 12;
    private static final long KEPT_BEFORE_MILLIS = 400;

    private final FleetConfig site;
    private final FaultPlan plan;
    private final Gateways launcher;
    private final Consumer<Report.Second> live;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup loops;
    private final DefaultEventLoop auditLoop = new DefaultEventLoop();
    private final ScheduledExecutorService director = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong lateness = new AtomicLong();
    private final Auditor auditor;
    private final Consumer<Sighting> witness;
    private final List<StandInNode> nodes = new ArrayList<>();
    private final List<EventLoop> nodeLoops = new ArrayList<>();
    private final StandInDiscovery discovery;
    private final Host[] hosts;
    private final Set<String> goingOn = new ConcurrentSkipListSet<>();
    private final SplittableRandom news;
    private final EventLoop clientLoop;
    /** Null, like the next two, if there is no network between zones. */
    private final ZoneNetworkOptions zoned;
    private final Network network;
    private final Leaves leaves;
    /** Totals at the beginning of a zone's fault, like the next field; accessed on the client loop only. */
    private long askedBefore;
    private long inAimBefore;
    private Clients clients;
    private volatile List<String> discoveries = List.of();
    private volatile boolean closing;
    private volatile boolean ended;
    private boolean closed;

    /**
     * Options of the network between zones.
     *
     * @param talk whether gateways exchange facts as peers and evacuate zones together
     * @param delayMillis delay from one zone to another, each way
     * @param loss fraction of the datagrams between zones that are lost
     */
    public record ZoneNetworkOptions(boolean talk, long delayMillis, double loss) { }

    /** One gateway of the fleet, across all its processes. */
    private static final class Host {
        private final int number;
        private String listen;
        private volatile Gateways.Running running;
        /** Whether its exit is expected, or has been reported already. */
        private volatile boolean asked;
        /** The process that got SIGTERM, or null. */
        private volatile Gateways.Running ending;
        private volatile long launchedAt;
        private Duration cpuBefore = Duration.ZERO;

        Host(int number) {
            this.number = number;
        }
    }

    /** Creates a fleet without starting it. While it runs, the listener gets a summary each second. */
    public Lab(FleetConfig site, FaultPlan plan, Gateways launcher, Consumer<Report.Second> live) throws IOException {
        this(site, plan, launcher, live, null);
    }

    /** Creates a fleet with a network between its zones, or without one if the options are null. */
    public Lab(FleetConfig site, FaultPlan plan, Gateways launcher, Consumer<Report.Second> live, ZoneNetworkOptions zoned) throws IOException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        checkDescriptors(site);
        this.site = site;
        this.plan = plan;
        this.launcher = launcher;
        this.live = live;
        folder = Files.createTempDirectory("cinderhollow-lab");
        int forNodes = Math.max(1, Math.min(MOST_NODE_LOOPS, site.nodes() / NODES_A_LOOP + 1));
        loops = new MultiThreadIoEventLoopGroup(forNodes + (zoned == null ? 2 : 3), NioIoHandler.newFactory());
        auditor = new Auditor(site.grades(), site.places(), site.limits());
        witness = sighting -> auditLoop.execute(() -> auditor.see(sighting));
        discovery = new StandInDiscovery(loops.next(), witness);
        for (int i = 0; i < forNodes; i++) {
            nodeLoops.add(loops.next());
        }
        clientLoop = loops.next();
        this.zoned = zoned;
        network = zoned == null ? null : new Network(loops.next(), FleetConfig.ZONES.size(), site.seed());
        leaves = zoned == null ? null : new Leaves(folder, site.gateways());
        hosts = new Host[site.gateways()];
        news = new SplittableRandom(site.seed() ^ 0x6e657773L);
    }

    /** Throws if the descriptor limit is too low for this run, which would otherwise fail in the middle. */
    private static void checkDescriptors(FleetConfig site) {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            long needs = site.nodes() * (1 + 2L * site.gateways()) + 200L * site.gateways() + OTHER_DESCRIPTORS;
            long has = system.getMaxFileDescriptorCount();
            if (has < needs) {
                throw new IllegalArgumentException("too few file descriptors: this run may need " + needs
                        + ", the limit is " + has + " (see ulimit -n); fewer nodes or gateways need less");
            }
        }
    }

    /** Starts the fleet, plays the arrivals and the fault plan, and returns the report. Call it once. */
    public Report run() throws IOException, InterruptedException, ExecutionException {
        startNodes();
        discoveries = discovery.open(site.gateways());
        if (zoned != null) {
            network.delay(zoned.delayMillis(), zoned.loss());
            writeOperators();
            director.scheduleAtFixedRate(leaves::look, 0, 20, TimeUnit.MILLISECONDS);
        }
        startGateways();
        List<InetSocketAddress> addresses = Stream.of(hosts).map(host -> address(host.listen)).toList();
        clients = new Clients(clientLoop, site, addresses, witness);
        nodeLoops.forEach(loop -> Lateness.watch(loop, witness, lateness));
        Lateness.watch(clientLoop, witness, lateness);
        if (network != null) {
            Lateness.watch(network.loop(), witness, lateness);
        }
        long start = System.nanoTime();
        Duration[] cpu = Stream.of(hosts).map(host -> host.running.cpu()).toArray(Duration[]::new);
        for (Fault fault : plan.faults()) {
            at(fault.atMillis(), () -> begin(fault));
        }
        director.scheduleAtFixedRate(this::watchGateways, 50, 50, TimeUnit.MILLISECONDS);
        long length = TimeUnit.SECONDS.toNanos(site.seconds());
        clientLoop.execute(() -> clients.run(new Arrivals(site), start, length));
        for (long second = 1; second <= site.seconds(); second++) {
            sleepUntil(start + second * SECOND_NANOS);
            live.accept(look(second));
        }
        awaitAnswers();
        ended = true;
        double cpuSeconds = 0;
        for (int i = 0; i < hosts.length; i++) {
            cpuSeconds += hosts[i].running.cpu().plus(hosts[i].cpuBefore).minus(cpu[i]).toNanos() / 1e9;
        }
        double took = cpuSeconds;
        stopGateways();
        on(clientLoop, () -> {
            clients.close();
            return null;
        });
        on(auditLoop, () -> {
            auditor.finish();
            return null;
        });
        return on(auditLoop, () -> new Report(site, plan, clients.all(), clients.byClass(), clients.byGateway(),
                clients.bad().rudeLeft(), auditor.counts(), auditor.sends(), auditor.breaches(), auditor.breachCount(),
                auditor.answeredLate(), lateness.get(), took));
    }

    private void startNodes() throws IOException, InterruptedException {
        List<NodeModel.Machine> machines = site.machines();
        List<Auditor.Place> places = site.places();
        StandInNode.Ways ways = site.ways();
        for (int i = 0; i < site.nodes(); i++) {
            long period = TimeUnit.MILLISECONDS.toNanos(50 + 400L * i / site.nodes());
            StandInNode node = new StandInNode(i, nodeLoops.get(i % nodeLoops.size()), machines.get(i), period, ways,
                    site.seed() + i, witness);
            InetSocketAddress own = node.listen(Ports.free());
            List<InetSocketAddress> fromZones = new ArrayList<>();
            for (int from = 0; network != null && from < FleetConfig.ZONES.size(); from++) {
                fromZones.add(network.stream(from, FleetConfig.zoneOf(i), own));
            }
            discovery.add(network == null ? List.of(own) : fromZones, places.get(i));
            nodes.add(node);
        }
    }

    /** Writes each gateway's operator file, with the addresses at which it reaches its peers. */
    private void writeOperators() throws IOException, InterruptedException {
        List<InetSocketAddress> listen = new ArrayList<>();
        int[] zoneOf = new int[site.gateways()];
        for (int i = 0; i < site.gateways(); i++) {
            listen.add(new InetSocketAddress("127.0.0.1", Ports.free()));
            zoneOf[i] = FleetConfig.zoneOf(i);
        }
        List<List<InetSocketAddress>> rows = zoned.talk() ? network.datagrams(listen, zoneOf) : List.of();
        for (int i = 0; i < site.gateways(); i++) {
            if (!zoned.talk()) {
                // Without peers they get a file too: parsing one takes time at the start, which must not affect the comparison.
                Files.writeString(operator(i), "[gateway]\nloops = 1\n");
                continue;
            }
            String members = rows.get(i).stream().map(a -> "\"127.0.0.1:" + a.getPort() + "\"").collect(Collectors.joining(", "));
            String names = FleetConfig.ZONES.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(", "));
            Files.writeString(operator(i), "[peers]\nfleet = \"lab\"\nlisten = \"127.0.0.1:" + listen.get(i).getPort()
                    + "\"\nmembers = [" + members + "]\nnumber = " + i + "\n[zones]\nnames = [" + names + "]\n");
        }
    }

    private Path operator(int gateway) {
        return folder.resolve("operator-" + gateway + ".toml");
    }

    /** Returns a summary of when the gateways left the faulty zone, or null without a network between zones. */
    public String evacuationSummary() {
        return leaves == null ? null : leaves.toString();
    }

    /** Returns the number of requests since a zone's fault began that missed their aim; call it after {@link #run}. */
    public long missedAimSinceFault() throws InterruptedException, ExecutionException {
        return on(clientLoop, () -> clients.all().asked - askedBefore - (clients.all().inAim - inAimBefore));
    }

    private void startGateways() throws IOException, InterruptedException {
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(i);
            hosts[i].listen = "127.0.0.1:" + Ports.free();
            writeConfig(i);
        }
        // A few at a time: on few cores, twenty JVMs that start at once are slow for a long time.
        for (int from = 0; from < hosts.length; from += AT_ONCE) {
            startGateways(List.of(hosts).subList(from, Math.min(hosts.length, from + AT_ONCE)));
        }
    }

    private void startGateways(List<Host> some) throws IOException, InterruptedException {
        for (Host host : some) {
            launch(host);
        }
        long end = System.nanoTime() + READY.toNanos();
        for (Host host : some) {
            for (int tries = 1; !awaitReady(host, end); tries++) {
                // Another process may have taken the port between its check and the bind.
                if (tries == PORT_TRIES || host.running.isAlive()) {
                    throw new IllegalArgumentException(Names.gateway(host.number) + " did not become ready: "
                            + host.running.lastWords());
                }
                host.listen = "127.0.0.1:" + Ports.free();
                launch(host);
            }
        }
    }

    private void writeConfig(int gateway) throws IOException {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", Names.gateway(gateway));
        config.put("seed", Long.toHexString(site.seed() * 31 + gateway));
        config.put("discovery", discoveries.get(gateway));
        config.put("limits", Map.of("sockets", site.descriptors()));
        config.put("known", discovery.whole(gateway));
        config.put("settings", site.settings(gateway));
        Path whole = folder.resolve("config-" + gateway + ".new");
        Files.writeString(whole, StandInDiscovery.json(config));
        Files.move(whole, folder.resolve("config-" + gateway + ".json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private synchronized void launch(Host host) throws IOException {
        if (closing) {
            return;
        }
        Map<String, String> environment = new HashMap<>(Map.of("LB_NAME", Names.gateway(host.number), "LB_LISTEN", host.listen,
                "LB_DISCOVERY", discoveries.get(host.number),
                "LB_CONFIG", folder.resolve("config-" + host.number + ".json").toString()));
        if (site.operatorOf(host.number) != null) {
            environment.put("LB_OPERATOR", site.operatorOf(host.number));
        }
        if (zoned != null) {
            environment.put("LB_OPERATOR", operator(host.number).toString());
        }
        host.asked = false;
        host.ending = null;
        host.launchedAt = System.nanoTime();
        witness.accept(new Sighting.Began(System.nanoTime(), host.number));
        host.running = launcher.start(new Gateways.Spec(host.number, environment, folder));
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private boolean awaitReady(Host host, long end) throws InterruptedException {
        while (host.running.isAlive() && !closing) {
            if (isReady(host.listen)) {
                return true;
            }
            if (System.nanoTime() > end) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return closing;
    }

    /** Returns whether the gateway at this address answers {@code /ready} with 200. */
    static boolean isReady(String listen) {
        try {
            HttpURLConnection ask = (HttpURLConnection) URI.create("http://" + listen + "/ready").toURL().openConnection();
            ask.setConnectTimeout(1000);
            ask.setReadTimeout(1000);
            try {
                return ask.getResponseCode() == HttpURLConnection.HTTP_OK;
            } finally {
                ask.disconnect();
            }
        } catch (IOException e) {
            return false;
        }
    }

    /** Runs a task after a delay, unless the run has ended by then. */
    private void at(long millis, Runnable work) {
        director.schedule(() -> {
            if (!ended && !closing) {
                work.run();
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    private long newsMillis() {
        return news.nextLong(LEAST_NEWS_MILLIS, MOST_NEWS_MILLIS);
    }

    private void begin(Fault fault) {
        String line = fault.kind().word() + " " + fault.whoText();
        goingOn.add(line);
        at(fault.forMillis(), () -> goingOn.remove(line));
        switch (fault.kind().target()) {
            case NODE -> troubleNode(fault);
            case GATEWAY -> troubleGateway(fault);
            case DISCOVERY -> troubleDiscovery(fault);
            case ZONE -> troubleZone(fault);
        }
    }

    private void troubleZone(Fault fault) {
        if (network == null) {
            throw new IllegalArgumentException(fault.kind().word() + " needs a network between zones; use the command lab zones");
        }
        leaves.begins(FleetConfig.ZONES.get(fault.who()));
        clientLoop.execute(() -> {
            askedBefore = clients.all().asked;
            inAimBefore = clients.all().inAim;
        });
        Fault.Kind ofNodes = switch (fault.kind()) {
            case ZONE_SILENT -> Fault.Kind.SILENT;
            case ZONE_CRASH -> Fault.Kind.CRASH;
            case ZONE_SLOW -> Fault.Kind.SLOW;
            default -> null;
        };
        if (ofNodes == null) {
            cut(fault, true);
            at(fault.forMillis(), () -> cut(fault, false));
            return;
        }
        for (int i = 0; i < nodes.size(); i++) {
            if (FleetConfig.zoneOf(i) == fault.who()) {
                troubleNode(new Fault(fault.atMillis(), ofNodes, i, fault.forMillis(), fault.size()));
            }
        }
    }

    /** Cuts off the zone as the fault's kind says, or restores its network. */
    private void cut(Fault fault, boolean on) {
        boolean streams = fault.kind() != Fault.Kind.ZONE_MUTE;
        boolean datagrams = fault.kind() != Fault.Kind.ZONE_CUT_OUT;
        for (int other = 0; other < FleetConfig.ZONES.size(); other++) {
            if (other != fault.who()) {
                network.cut(fault.who(), other, on && streams, on && datagrams);
                if (fault.kind() != Fault.Kind.ZONE_CUT_OUT) {
                    network.cut(other, fault.who(), on && streams, on && datagrams);
                }
            }
        }
    }

    private void troubleNode(Fault fault) {
        int number = fault.who();
        StandInNode node = nodes.get(number);
        switch (fault.kind()) {
            case CRASH -> {
                onNode(number, node::crash);
                learn(number, StandInDiscovery.Status.REMOVED, 0, newsMillis());
                at(fault.forMillis(), () -> {
                    onNode(number, node::restart);
                    learn(number, StandInDiscovery.Status.UP, System.currentTimeMillis(), newsMillis());
                });
            }
            case DRAIN -> {
                learn(number, StandInDiscovery.Status.DRAINING, 0, 0);
                at(MOST_NEWS_MILLIS, () -> onNode(number, () -> node.drain(true)));
                at(fault.forMillis(), () -> {
                    onNode(number, () -> node.drain(false));
                    learn(number, StandInDiscovery.Status.UP, 0, newsMillis());
                });
            }
            case SILENT -> during(fault, () -> node.silence(true), () -> node.silence(false));
            case VANISH -> {
                during(fault, () -> node.vanish(true), () -> node.vanish(false));
                learn(number, StandInDiscovery.Status.REMOVED, 0, SILENT_NEWS_MILLIS);
                at(fault.forMillis(), () -> learn(number, StandInDiscovery.Status.UP, 0,
                        Math.max(SILENT_NEWS_MILLIS, newsMillis())));
            }
            case SLOW -> during(fault, () -> node.slow(fault.size()), () -> node.slow(1));
            default -> during(fault, () -> node.trouble(fault.kind(), fault.size()),
                    () -> node.trouble(fault.kind(), 0));
        }
    }

    private void during(Fault fault, Runnable begin, Runnable end) {
        onNode(fault.who(), begin);
        at(fault.forMillis(), () -> onNode(fault.who(), end));
    }

    private void onNode(int number, Runnable work) {
        nodeLoops.get(number % nodeLoops.size()).execute(work);
    }

    private void learn(int node, StandInDiscovery.Status status, long sinceMillis, long lateMillis) {
        at(lateMillis, () -> discovery.learn(node, status, sinceMillis));
    }

    private void troubleGateway(Fault fault) {
        Host host = hosts[fault.who()];
        switch (fault.kind()) {
            case CROWD -> clientLoop.execute(() -> clients.bad().crowd(fault.who(), (int) Math.max(1, fault.size()), fault.forMillis()));
            case HANG_UP_GATEWAY -> hangUp(host, host.running);
            case STOP_AGAIN -> {
                if (host.ending != null && host.ending.isAlive()) {
                    host.ending.terminate();
                }
            }
            case RUDE -> clientLoop.execute(() -> clients.bad().rude(fault.who(), (int) Math.max(1, fault.size())));
            case PAUSE_GATEWAY -> {
                witness.accept(new Sighting.Paused(System.nanoTime(), host.number, true));
                host.running.pause(true);
                at(fault.forMillis(), () -> {
                    host.running.pause(false);
                    witness.accept(new Sighting.Paused(System.nanoTime(), host.number, false));
                });
            }
            case KILL_GATEWAY -> {
                host.asked = true;
                witness.accept(new Sighting.Killed(System.nanoTime(), host.number));
                host.cpuBefore = host.cpuBefore.plus(host.running.cpu());
                host.running.kill();
                at(fault.forMillis(), () -> startAgain(host, System.nanoTime()));
            }
            default -> stop(host, fault.forMillis());
        }
    }

    /** Sends SIGTERM while clients have idle connections, SIGKILL at the earliest time the platform may, and then restarts. */
    private void stop(Host host, long forMillis) {
        clientLoop.execute(() -> clients.keepMore(host.number, KEPT_AT_END));
        at(KEPT_BEFORE_MILLIS, () -> {
            Gateways.Running told = host.running;
            host.asked = true;
            host.ending = told;
            host.cpuBefore = host.cpuBefore.plus(told.cpu());
            clientLoop.execute(() -> clients.ends(host.number));
            told.terminate();
            long killAfter = Math.min(LONGEST_COUNTED_MILLIS, site.longestDeadlineMillis()) + KILL_AFTER_MILLIS;
            at(killAfter, () -> killAtEnd(host, told));
            at(forMillis, () -> startAgain(host, System.nanoTime()));
        });
    }

    private void killAtEnd(Host host, Gateways.Running told) {
        if (told.isAlive()) {
            witness.accept(new Sighting.KilledAtEnd(System.nanoTime(), host.number));
            told.kill();
        }
    }

    /** Sends SIGHUP once the process is ready and at least a second old, or at once if it is shutting down. */
    private void hangUp(Host host, Gateways.Running running) {
        if (running != host.running || !running.isAlive()) {
            return;
        }
        boolean ready = clients.isUp(host.number) && System.nanoTime() - host.launchedAt >= LEAST_AGE_NANOS;
        if (ready || host.ending == running) {
            running.hangUp();
        } else {
            at(LOOK_MILLIS, () -> hangUp(host, running));
        }
    }

    /** Starts the next process once the previous one has exited. One that does not exit in time is killed, which is a breach. */
    private void startAgain(Host host, long since) {
        try {
            if (!host.running.isAlive()) {
                launch(host);
            } else if (System.nanoTime() - since < END.toNanos()) {
                at(50, () -> startAgain(host, since));
            } else {
                witness.accept(new Sighting.Ended(System.nanoTime(), host.number, "did not exit in time after SIGTERM, killed"));
                host.running.kill();
                at(50, () -> startAgain(host, System.nanoTime()));
            }
        } catch (IOException e) {
            witness.accept(new Sighting.Ended(System.nanoTime(), host.number, "could not be started: " + e.getMessage()));
        }
    }

    private void troubleDiscovery(Fault fault) {
        if (fault.kind() == Fault.Kind.DISCOVERY_DOWN) {
            discovery.outage(true);
            at(fault.forMillis(), () -> discovery.outage(false));
        } else {
            moveDiscovery();
        }
    }

    private void moveDiscovery() {
        try {
            discoveries = discovery.open(site.gateways());
            for (Host host : hosts) {
                writeConfig(host.number);
                hangUp(host, host.running);
            }
        } catch (IOException e) {
            throw new IllegalStateException("could not move discovery to another address: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reports gateways whose process has exited unexpectedly. */
    private void watchGateways() {
        for (Host host : hosts) {
            if (!ended && !closing && !host.asked && !host.running.isAlive()) {
                host.asked = true;
                witness.accept(new Sighting.Ended(System.nanoTime(), host.number, host.running.lastWords()));
            }
        }
    }

    /** Returns the summary of the last second, and resets its statistics. */
    private Report.Second look(long second) throws InterruptedException, ExecutionException {
        long up = nodes.stream().filter(StandInNode::isUp).count();
        return on(clientLoop, () -> {
            Tally tally = clients.second();
            Report.Second line = new Report.Second(second, tally.served, tally.refused, tally.failed + tally.broken,
                    tally.retries, tally.millis(50), tally.millis(99), up, nodes.size(), List.copyOf(goingOn));
            tally.reset();
            return line;
        });
    }

    /** Waits until all requests have ended, for the longest deadline and a grace at most. */
    private void awaitAnswers() throws InterruptedException, ExecutionException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(site.longestDeadlineMillis() + LAST_OPEN_MILLIS);
        while (System.nanoTime() < end && on(clientLoop, clients::open) > 0) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static <T> T on(EventLoop loop, Callable<T> work) throws InterruptedException, ExecutionException {
        return loop.submit(work).get();
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    /** Sends SIGTERM to all gateways, and kills those that do not exit in time. */
    private void stopGateways() throws InterruptedException {
        for (Host host : hosts) {
            if (host != null && host.running != null) {
                host.asked = true;
                host.running.terminate();
            }
        }
        long end = System.nanoTime() + END.toNanos();
        for (Host host : hosts) {
            if (host != null && host.running != null
                    && !host.running.awaitEnd(Duration.ofNanos(Math.max(0, end - System.nanoTime())))) {
                host.running.kill();
                host.running.awaitEnd(END);
            }
        }
    }

    /** Copies the gateways' logs into this folder. Call it before {@link #close}. */
    public void copyLogs(Path into) throws IOException {
        Files.createDirectories(into);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(file -> file.toString().endsWith(".log")).toList()) {
                Files.copy(log, into.resolve(log.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    /** Ends all gateways, closes all sockets and deletes the lab's folder. Further calls do nothing. */
    @Override
    public void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            closing = true;
        }
        director.shutdownNow();
        try {
            stopGateways();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        discovery.close();
        if (network != null) {
            network.close();
        }
        nodes.forEach(StandInNode::close);
        loops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        auditLoop.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        remove(folder);
    }

    /** Deletes a folder and its contents; prints an error if that fails. */
    static void remove(Path folder) {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            System.err.println("cinderhollow: can't delete " + folder + ": " + e.getMessage());
        }
    }
}
