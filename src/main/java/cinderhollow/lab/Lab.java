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
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30), SHUTDOWN_TIMEOUT = Duration.ofSeconds(6);
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_CONCURRENT_STARTS = 8, MAX_PORT_TRIES = 5, NODES_PER_LOOP = 60, MAX_NODE_LOOPS = 3,
            RESERVED_DESCRIPTORS = 200;
    /** Bounds of the delay until discovery learns of a change, and that delay for a machine that is cut off, in milliseconds. */
    private static final long MIN_DISCOVERY_DELAY_MILLIS = 300, MAX_DISCOVERY_DELAY_MILLIS = 1_200,
            VANISHED_DISCOVERY_DELAY_MILLIS = 1_500;
    private static final long FINAL_ANSWER_GRACE_MILLIS = 3_000;
    /** From SIGTERM until the kill: the longest deadline of the classes, capped at the first value, plus the second. */
    private static final long MAX_SHUTDOWN_DEADLINE_MILLIS = 3_000, KILL_GRACE_MILLIS = 700;
    /** Youngest process that gets SIGHUP, and the wait until the next check whether a process is ready and old enough. */
    private static final long MIN_RELOAD_AGE_NANOS = TimeUnit.SECONDS.toNanos(1), RELOAD_RECHECK_MILLIS = 50;
    /** Additional keep-alive connections opened before a gateway gets SIGTERM, so that some are idle at that time. */
    private static final int SHUTDOWN_KEEP_ALIVE_CONNECTIONS = 12;
    private static final long KEEP_ALIVE_LEAD_MILLIS = 400;

    private final FleetConfig fleetConfig;
    private final FaultPlan plan;
    private final GatewayLauncher launcher;
    private final Consumer<Report.Progress> progressListener;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup loops;
    private final DefaultEventLoop auditLoop = new DefaultEventLoop();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong worstLatenessNanos = new AtomicLong();
    private final Auditor auditor;
    private final Consumer<Observation> observer;
    private final List<StandInNode> nodes = new ArrayList<>();
    private final List<EventLoop> nodeLoops = new ArrayList<>();
    private final StandInDiscovery discovery;
    private final ManagedGateway[] gateways;
    private final Set<String> activeFaults = new ConcurrentSkipListSet<>();
    private final SplittableRandom discoveryDelayRandom;
    private final EventLoop clientLoop;
    /** Null, like the next two, if there is no network between zones. */
    private final ZoneNetworkOptions zoneNetworkOptions;
    private final ZoneNetwork zoneNetwork;
    private final EvacuationTracker evacuationTracker;
    /** Totals at the beginning of a zone's fault, like the next field; accessed on the client loop only. */
    private long requestsBeforeFault;
    private long inAimBeforeFault;
    private Clients clients;
    private volatile List<String> discoveryAddresses = List.of();
    private volatile boolean closing;
    private volatile boolean ended;
    private boolean closed;

    /**
     * Options of the network between zones.
     *
     * @param peersEnabled whether gateways exchange facts as peers and evacuate zones together
     * @param delayMillis delay from one zone to another, each way
     * @param datagramLossFraction fraction of the datagrams between zones that are lost
     */
    public record ZoneNetworkOptions(boolean peersEnabled, long delayMillis, double datagramLossFraction) { }

    /** One gateway of the fleet, across all its processes. */
    private static final class ManagedGateway {
        private final int number;
        private String listenAddress;
        private volatile GatewayLauncher.RunningGateway process;
        /** Whether its exit is expected, or has been reported already. */
        private volatile boolean exitExpected;
        /** The process that got SIGTERM, or null. */
        private volatile GatewayLauncher.RunningGateway terminatingProcess;
        private volatile long launchedAtNanos;
        private Duration earlierCpuTime = Duration.ZERO;

        ManagedGateway(int number) {
            this.number = number;
        }
    }

    /** Creates a fleet without starting it. While it runs, the listener gets a summary each second. */
    public Lab(FleetConfig fleetConfig, FaultPlan plan, GatewayLauncher launcher, Consumer<Report.Progress> progressListener)
            throws IOException {
        this(fleetConfig, plan, launcher, progressListener, null);
    }

    /** Creates a fleet with a network between its zones, or without one if the options are null. */
    public Lab(FleetConfig fleetConfig, FaultPlan plan, GatewayLauncher launcher, Consumer<Report.Progress> progressListener,
            ZoneNetworkOptions zoneNetworkOptions) throws IOException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        checkDescriptors(fleetConfig);
        this.fleetConfig = fleetConfig;
        this.plan = plan;
        this.launcher = launcher;
        this.progressListener = progressListener;
        folder = Files.createTempDirectory("cinderhollow-lab");
        int nodeLoopCount = Math.max(1, Math.min(MAX_NODE_LOOPS, fleetConfig.nodes() / NODES_PER_LOOP + 1));
        loops = new MultiThreadIoEventLoopGroup(nodeLoopCount + (zoneNetworkOptions == null ? 2 : 3), NioIoHandler.newFactory());
        auditor = new Auditor(fleetConfig.semanticsByClass(), fleetConfig.nodeLocations(), fleetConfig.limits());
        observer = observation -> auditLoop.execute(() -> auditor.observe(observation));
        discovery = new StandInDiscovery(loops.next(), observer);
        for (int i = 0; i < nodeLoopCount; i++) {
            nodeLoops.add(loops.next());
        }
        clientLoop = loops.next();
        this.zoneNetworkOptions = zoneNetworkOptions;
        zoneNetwork = zoneNetworkOptions == null ? null
                : new ZoneNetwork(loops.next(), FleetConfig.ZONES.size(), fleetConfig.seed());
        evacuationTracker = zoneNetworkOptions == null ? null : new EvacuationTracker(folder, fleetConfig.gateways());
        gateways = new ManagedGateway[fleetConfig.gateways()];
        discoveryDelayRandom = new SplittableRandom(fleetConfig.seed() ^ 0x6e657773L);
    }

    /** Throws if the descriptor limit is too low for this run, which would otherwise fail in the middle. */
    private static void checkDescriptors(FleetConfig fleetConfig) {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            long required = fleetConfig.nodes() * (1 + 2L * fleetConfig.gateways()) + 200L * fleetConfig.gateways()
                    + RESERVED_DESCRIPTORS;
            long available = system.getMaxFileDescriptorCount();
            if (available < required) {
                throw new IllegalArgumentException("too few file descriptors: this run may need " + required
                        + ", the limit is " + available + " (see ulimit -n); fewer nodes or gateways need less");
            }
        }
    }

    /** Starts the fleet, plays the arrivals and the fault plan, and returns the report. Call it once. */
    public Report run() throws IOException, InterruptedException, ExecutionException {
        startNodes();
        discoveryAddresses = discovery.openListeners(fleetConfig.gateways());
        if (zoneNetworkOptions != null) {
            zoneNetwork.setDelay(zoneNetworkOptions.delayMillis(), zoneNetworkOptions.datagramLossFraction());
            writeOperatorFiles();
            scheduler.scheduleAtFixedRate(evacuationTracker::readLogs, 0, 20, TimeUnit.MILLISECONDS);
        }
        startGateways();
        List<InetSocketAddress> addresses = Stream.of(gateways).map(gateway -> parseAddress(gateway.listenAddress)).toList();
        clients = new Clients(clientLoop, fleetConfig, addresses, observer);
        nodeLoops.forEach(loop -> LatenessMonitor.watch(loop, observer, worstLatenessNanos));
        LatenessMonitor.watch(clientLoop, observer, worstLatenessNanos);
        if (zoneNetwork != null) {
            LatenessMonitor.watch(zoneNetwork.loop(), observer, worstLatenessNanos);
        }
        long startNanos = System.nanoTime();
        Duration[] initialCpuTimes = Stream.of(gateways).map(gateway -> gateway.process.cpuTime()).toArray(Duration[]::new);
        for (Fault fault : plan.faults()) {
            schedule(fault.atMillis(), () -> startFault(fault));
        }
        scheduler.scheduleAtFixedRate(this::checkGateways, 50, 50, TimeUnit.MILLISECONDS);
        long durationNanos = TimeUnit.SECONDS.toNanos(fleetConfig.seconds());
        clientLoop.execute(() -> clients.run(new Arrivals(fleetConfig), startNanos, durationNanos));
        for (long second = 1; second <= fleetConfig.seconds(); second++) {
            sleepUntil(startNanos + second * NANOS_PER_SECOND);
            progressListener.accept(sampleProgress(second));
        }
        awaitAnswers();
        ended = true;
        double cpuSeconds = 0;
        for (int i = 0; i < gateways.length; i++) {
            cpuSeconds += gateways[i].process.cpuTime().plus(gateways[i].earlierCpuTime).minus(initialCpuTimes[i])
                    .toNanos() / 1e9;
        }
        double totalCpuSeconds = cpuSeconds;
        stopGateways();
        callOn(clientLoop, () -> {
            clients.close();
            return null;
        });
        callOn(auditLoop, () -> {
            auditor.finish();
            return null;
        });
        return callOn(auditLoop, () -> new Report(fleetConfig, plan, clients.totals(), clients.statsByClass(),
                clients.statsByGateway(),
                clients.misbehavingClients().openMalformedConnections(), auditor.counts(), auditor.attemptCounts(),
                auditor.breaches(), auditor.breachCount(),
                auditor.answeredLate(), worstLatenessNanos.get(), totalCpuSeconds));
    }

    private void startNodes() throws IOException, InterruptedException {
        List<NodeModel.Machine> machines = fleetConfig.machines();
        List<Auditor.NodeLocation> locations = fleetConfig.nodeLocations();
        StandInNode.Profile profile = fleetConfig.nodeProfile();
        for (int i = 0; i < fleetConfig.nodes(); i++) {
            long reportPeriodNanos = TimeUnit.MILLISECONDS.toNanos(50 + 400L * i / fleetConfig.nodes());
            StandInNode node = new StandInNode(i, nodeLoops.get(i % nodeLoops.size()), machines.get(i), reportPeriodNanos,
                    profile,
                    fleetConfig.seed() + i, observer);
            InetSocketAddress nodeAddress = node.listen(Ports.allocate());
            List<InetSocketAddress> addressesByZone = new ArrayList<>();
            for (int fromZone = 0; zoneNetwork != null && fromZone < FleetConfig.ZONES.size(); fromZone++) {
                addressesByZone.add(zoneNetwork.openStreamRelay(fromZone, FleetConfig.zoneOf(i), nodeAddress));
            }
            discovery.addNode(zoneNetwork == null ? List.of(nodeAddress) : addressesByZone, locations.get(i));
            nodes.add(node);
        }
    }

    /** Writes each gateway's operator file, with the addresses at which it reaches its peers. */
    private void writeOperatorFiles() throws IOException, InterruptedException {
        List<InetSocketAddress> listenAddresses = new ArrayList<>();
        int[] zoneOf = new int[fleetConfig.gateways()];
        for (int i = 0; i < fleetConfig.gateways(); i++) {
            listenAddresses.add(new InetSocketAddress("127.0.0.1", Ports.allocate()));
            zoneOf[i] = FleetConfig.zoneOf(i);
        }
        List<List<InetSocketAddress>> peerAddresses = zoneNetworkOptions.peersEnabled()
                ? zoneNetwork.openDatagramRelays(listenAddresses, zoneOf) : List.of();
        for (int i = 0; i < fleetConfig.gateways(); i++) {
            if (!zoneNetworkOptions.peersEnabled()) {
                // Without peers they get a file too: parsing one takes time at the start, which must not affect the comparison.
                Files.writeString(operatorFile(i), "[gateway]\nloops = 1\n");
                continue;
            }
            String members = peerAddresses.get(i).stream().map(a -> "\"127.0.0.1:" + a.getPort() + "\"")
                    .collect(Collectors.joining(", "));
            String names = FleetConfig.ZONES.stream().map(z -> "\"" + z + "\"").collect(Collectors.joining(", "));
            Files.writeString(operatorFile(i), "[peers]\nfleet = \"lab\"\nlisten = \"127.0.0.1:" + listenAddresses.get(i)
                    .getPort()
                    + "\"\nmembers = [" + members + "]\nnumber = " + i + "\n[zones]\nnames = [" + names + "]\n");
        }
    }

    private Path operatorFile(int gateway) {
        return folder.resolve("operator-" + gateway + ".toml");
    }

    /** Returns a summary of when the gateways left the faulty zone, or null without a network between zones. */
    public String evacuationSummary() {
        return evacuationTracker == null ? null : evacuationTracker.toString();
    }

    /** Returns the number of requests since a zone's fault began that missed their aim; call it after {@link #run}. */
    public long missedAimSinceFault() throws InterruptedException, ExecutionException {
        return callOn(clientLoop, () ->
                clients.totals().requests - requestsBeforeFault - (clients.totals().inAim - inAimBeforeFault));
    }

    private void startGateways() throws IOException, InterruptedException {
        for (int i = 0; i < gateways.length; i++) {
            gateways[i] = new ManagedGateway(i);
            gateways[i].listenAddress = "127.0.0.1:" + Ports.allocate();
            writeConfig(i);
        }
        // A few at a time: on few cores, twenty JVMs that start at once are slow for a long time.
        for (int from = 0; from < gateways.length; from += MAX_CONCURRENT_STARTS) {
            startGateways(List.of(gateways).subList(from, Math.min(gateways.length, from + MAX_CONCURRENT_STARTS)));
        }
    }

    private void startGateways(List<ManagedGateway> batch) throws IOException, InterruptedException {
        for (ManagedGateway gateway : batch) {
            launch(gateway);
        }
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        for (ManagedGateway gateway : batch) {
            for (int tries = 1; !awaitReady(gateway, deadlineNanos); tries++) {
                // Another process may have taken the port between its check and the bind.
                if (tries == MAX_PORT_TRIES || gateway.process.isAlive()) {
                    throw new IllegalArgumentException(LabNames.gatewayName(gateway.number) + " did not become ready: "
                            + gateway.process.logTail());
                }
                gateway.listenAddress = "127.0.0.1:" + Ports.allocate();
                launch(gateway);
            }
        }
    }

    private void writeConfig(int gateway) throws IOException {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", LabNames.gatewayName(gateway));
        config.put("seed", Long.toHexString(fleetConfig.seed() * 31 + gateway));
        config.put("discovery", discoveryAddresses.get(gateway));
        config.put("limits", Map.of("sockets", fleetConfig.maxDescriptors()));
        config.put("known", discovery.buildSnapshot(gateway));
        config.put("settings", fleetConfig.settings(gateway));
        Path temporaryFile = folder.resolve("config-" + gateway + ".new");
        Files.writeString(temporaryFile, StandInDiscovery.toJson(config));
        Files.move(temporaryFile, folder.resolve("config-" + gateway + ".json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private synchronized void launch(ManagedGateway gateway) throws IOException {
        if (closing) {
            return;
        }
        Map<String, String> environment =
                new HashMap<>(Map.of("LB_NAME", LabNames.gatewayName(gateway.number), "LB_LISTEN", gateway.listenAddress,
                "LB_DISCOVERY", discoveryAddresses.get(gateway.number),
                "LB_CONFIG", folder.resolve("config-" + gateway.number + ".json").toString()));
        if (fleetConfig.operatorFileOf(gateway.number) != null) {
            environment.put("LB_OPERATOR", fleetConfig.operatorFileOf(gateway.number));
        }
        if (zoneNetworkOptions != null) {
            environment.put("LB_OPERATOR", operatorFile(gateway.number).toString());
        }
        gateway.exitExpected = false;
        gateway.terminatingProcess = null;
        gateway.launchedAtNanos = System.nanoTime();
        observer.accept(new Observation.GatewayStarting(System.nanoTime(), gateway.number));
        gateway.process = launcher.start(new GatewayLauncher.Spec(gateway.number, environment, folder));
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private boolean awaitReady(ManagedGateway gateway, long deadlineNanos) throws InterruptedException {
        while (gateway.process.isAlive() && !closing) {
            if (isReady(gateway.listenAddress)) {
                return true;
            }
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return closing;
    }

    /** Returns whether the gateway at this address answers {@code /ready} with 200. */
    static boolean isReady(String listenAddress) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + listenAddress + "/ready").toURL()
                    .openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            try {
                return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
            } finally {
                connection.disconnect();
            }
        } catch (IOException e) {
            return false;
        }
    }

    /** Runs a task after a delay, unless the run has ended by then. */
    private void schedule(long delayMillis, Runnable work) {
        scheduler.schedule(() -> {
            if (!ended && !closing) {
                work.run();
            }
        }, delayMillis, TimeUnit.MILLISECONDS);
    }

    private long drawDiscoveryDelayMillis() {
        return discoveryDelayRandom.nextLong(MIN_DISCOVERY_DELAY_MILLIS, MAX_DISCOVERY_DELAY_MILLIS);
    }

    private void startFault(Fault fault) {
        String description = fault.kind().keyword() + " " + fault.targetName();
        activeFaults.add(description);
        schedule(fault.durationMillis(), () -> activeFaults.remove(description));
        switch (fault.kind().target()) {
            case NODE -> startNodeFault(fault);
            case GATEWAY -> startGatewayFault(fault);
            case DISCOVERY -> startDiscoveryFault(fault);
            case ZONE -> startZoneFault(fault);
        }
    }

    private void startZoneFault(Fault fault) {
        if (zoneNetwork == null) {
            throw new IllegalArgumentException(fault.kind().keyword()
                    + " needs a network between zones; use the command lab zones");
        }
        evacuationTracker.onZoneFault(FleetConfig.ZONES.get(fault.targetIndex()));
        clientLoop.execute(() -> {
            requestsBeforeFault = clients.totals().requests;
            inAimBeforeFault = clients.totals().inAim;
        });
        Fault.Kind nodeFaultKind = switch (fault.kind()) {
            case ZONE_SILENT -> Fault.Kind.SILENT;
            case ZONE_CRASH -> Fault.Kind.CRASH;
            case ZONE_SLOW -> Fault.Kind.SLOW;
            default -> null;
        };
        if (nodeFaultKind == null) {
            applyZoneCut(fault, true);
            schedule(fault.durationMillis(), () -> applyZoneCut(fault, false));
            return;
        }
        for (int i = 0; i < nodes.size(); i++) {
            if (FleetConfig.zoneOf(i) == fault.targetIndex()) {
                startNodeFault(new Fault(fault.atMillis(), nodeFaultKind, i, fault.durationMillis(), fault.size()));
            }
        }
    }

    /** Cuts off the zone as the fault's kind says, or restores its network. */
    private void applyZoneCut(Fault fault, boolean active) {
        boolean streams = fault.kind() != Fault.Kind.ZONE_MUTE;
        boolean datagrams = fault.kind() != Fault.Kind.ZONE_CUT_OUT;
        for (int otherZone = 0; otherZone < FleetConfig.ZONES.size(); otherZone++) {
            if (otherZone != fault.targetIndex()) {
                zoneNetwork.setCut(fault.targetIndex(), otherZone, active && streams, active && datagrams);
                if (fault.kind() != Fault.Kind.ZONE_CUT_OUT) {
                    zoneNetwork.setCut(otherZone, fault.targetIndex(), active && streams, active && datagrams);
                }
            }
        }
    }

    private void startNodeFault(Fault fault) {
        int number = fault.targetIndex();
        StandInNode node = nodes.get(number);
        switch (fault.kind()) {
            case CRASH -> {
                runOnNodeLoop(number, node::crash);
                scheduleStatusUpdate(number, StandInDiscovery.Status.REMOVED, 0, drawDiscoveryDelayMillis());
                schedule(fault.durationMillis(), () -> {
                    runOnNodeLoop(number, node::restart);
                    scheduleStatusUpdate(number, StandInDiscovery.Status.UP, System.currentTimeMillis(),
                            drawDiscoveryDelayMillis());
                });
            }
            case DRAIN -> {
                scheduleStatusUpdate(number, StandInDiscovery.Status.DRAINING, 0, 0);
                schedule(MAX_DISCOVERY_DELAY_MILLIS, () -> runOnNodeLoop(number, () -> node.setDraining(true)));
                schedule(fault.durationMillis(), () -> {
                    runOnNodeLoop(number, () -> node.setDraining(false));
                    scheduleStatusUpdate(number, StandInDiscovery.Status.UP, 0, drawDiscoveryDelayMillis());
                });
            }
            case SILENT -> runDuringFault(fault, () -> node.setSilent(true), () -> node.setSilent(false));
            case VANISH -> {
                runDuringFault(fault, () -> node.setVanished(true), () -> node.setVanished(false));
                scheduleStatusUpdate(number, StandInDiscovery.Status.REMOVED, 0, VANISHED_DISCOVERY_DELAY_MILLIS);
                schedule(fault.durationMillis(), () -> scheduleStatusUpdate(number, StandInDiscovery.Status.UP, 0,
                        Math.max(VANISHED_DISCOVERY_DELAY_MILLIS, drawDiscoveryDelayMillis())));
            }
            case SLOW -> runDuringFault(fault, () -> node.setSlowdownFactor(fault.size()), () -> node.setSlowdownFactor(1));
            default -> runDuringFault(fault, () -> node.setFault(fault.kind(), fault.size()),
                    () -> node.setFault(fault.kind(), 0));
        }
    }

    private void runDuringFault(Fault fault, Runnable onBegin, Runnable onEnd) {
        runOnNodeLoop(fault.targetIndex(), onBegin);
        schedule(fault.durationMillis(), () -> runOnNodeLoop(fault.targetIndex(), onEnd));
    }

    private void runOnNodeLoop(int number, Runnable work) {
        nodeLoops.get(number % nodeLoops.size()).execute(work);
    }

    private void scheduleStatusUpdate(int node, StandInDiscovery.Status status, long startedAtMillis, long delayMillis) {
        schedule(delayMillis, () -> discovery.updateStatus(node, status, startedAtMillis));
    }

    private void startGatewayFault(Fault fault) {
        ManagedGateway gateway = gateways[fault.targetIndex()];
        switch (fault.kind()) {
            case CROWD -> clientLoop.execute(() -> clients.misbehavingClients()
                    .startSilentClients(fault.targetIndex(), (int) Math.max(1, fault.size()), fault.durationMillis()));
            case HANG_UP_GATEWAY -> reloadGateway(gateway, gateway.process);
            case STOP_AGAIN -> {
                if (gateway.terminatingProcess != null && gateway.terminatingProcess.isAlive()) {
                    gateway.terminatingProcess.terminate();
                }
            }
            case RUDE -> clientLoop.execute(() -> clients.misbehavingClients()
                    .sendMalformed(fault.targetIndex(), (int) Math.max(1, fault.size())));
            case PAUSE_GATEWAY -> {
                observer.accept(new Observation.GatewayPauseChanged(System.nanoTime(), gateway.number, true));
                gateway.process.setPaused(true);
                schedule(fault.durationMillis(), () -> {
                    gateway.process.setPaused(false);
                    observer.accept(new Observation.GatewayPauseChanged(System.nanoTime(), gateway.number, false));
                });
            }
            case KILL_GATEWAY -> {
                gateway.exitExpected = true;
                observer.accept(new Observation.GatewayKilled(System.nanoTime(), gateway.number));
                gateway.earlierCpuTime = gateway.earlierCpuTime.plus(gateway.process.cpuTime());
                gateway.process.kill();
                schedule(fault.durationMillis(), () -> restartGateway(gateway, System.nanoTime()));
            }
            default -> terminateGateway(gateway, fault.durationMillis());
        }
    }

    /** Sends SIGTERM while clients have idle connections, SIGKILL at the earliest time the platform may, and then restarts. */
    private void terminateGateway(ManagedGateway gateway, long durationMillis) {
        clientLoop.execute(() -> clients.addKeepAliveConnections(gateway.number, SHUTDOWN_KEEP_ALIVE_CONNECTIONS));
        schedule(KEEP_ALIVE_LEAD_MILLIS, () -> {
            GatewayLauncher.RunningGateway process = gateway.process;
            gateway.exitExpected = true;
            gateway.terminatingProcess = process;
            gateway.earlierCpuTime = gateway.earlierCpuTime.plus(process.cpuTime());
            clientLoop.execute(() -> clients.markTerminating(gateway.number));
            process.terminate();
            long killAfterMillis = Math.min(MAX_SHUTDOWN_DEADLINE_MILLIS, fleetConfig.maxDeadlineMillis()) + KILL_GRACE_MILLIS;
            schedule(killAfterMillis, () -> killIfStillAlive(gateway, process));
            schedule(durationMillis, () -> restartGateway(gateway, System.nanoTime()));
        });
    }

    private void killIfStillAlive(ManagedGateway gateway, GatewayLauncher.RunningGateway process) {
        if (process.isAlive()) {
            observer.accept(new Observation.GatewayKilledAtShutdown(System.nanoTime(), gateway.number));
            process.kill();
        }
    }

    /** Sends SIGHUP once the process is ready and at least a second old, or at once if it is shutting down. */
    private void reloadGateway(ManagedGateway gateway, GatewayLauncher.RunningGateway process) {
        if (process != gateway.process || !process.isAlive()) {
            return;
        }
        boolean ready = clients.isUp(gateway.number) && System.nanoTime() - gateway.launchedAtNanos >= MIN_RELOAD_AGE_NANOS;
        if (ready || gateway.terminatingProcess == process) {
            process.reload();
        } else {
            schedule(RELOAD_RECHECK_MILLIS, () -> reloadGateway(gateway, process));
        }
    }

    /** Starts the next process once the previous one has exited. One that does not exit in time is killed, which is a breach. */
    private void restartGateway(ManagedGateway gateway, long sinceNanos) {
        try {
            if (!gateway.process.isAlive()) {
                launch(gateway);
            } else if (System.nanoTime() - sinceNanos < SHUTDOWN_TIMEOUT.toNanos()) {
                schedule(50, () -> restartGateway(gateway, sinceNanos));
            } else {
                observer.accept(new Observation.GatewayExited(System.nanoTime(), gateway.number,
                        "did not exit in time after SIGTERM, killed"));
                gateway.process.kill();
                schedule(50, () -> restartGateway(gateway, System.nanoTime()));
            }
        } catch (IOException e) {
            observer.accept(new Observation.GatewayExited(System.nanoTime(), gateway.number, "could not be started: "
                    + e.getMessage()));
        }
    }

    private void startDiscoveryFault(Fault fault) {
        if (fault.kind() == Fault.Kind.DISCOVERY_DOWN) {
            discovery.setOutage(true);
            schedule(fault.durationMillis(), () -> discovery.setOutage(false));
        } else {
            moveDiscovery();
        }
    }

    private void moveDiscovery() {
        try {
            discoveryAddresses = discovery.openListeners(fleetConfig.gateways());
            for (ManagedGateway gateway : gateways) {
                writeConfig(gateway.number);
                reloadGateway(gateway, gateway.process);
            }
        } catch (IOException e) {
            throw new IllegalStateException("could not move discovery to another address: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reports gateways whose process has exited unexpectedly. */
    private void checkGateways() {
        for (ManagedGateway gateway : gateways) {
            if (!ended && !closing && !gateway.exitExpected && !gateway.process.isAlive()) {
                gateway.exitExpected = true;
                observer.accept(new Observation.GatewayExited(System.nanoTime(), gateway.number, gateway.process.logTail()));
            }
        }
    }

    /** Returns the summary of the last second, and resets its statistics. */
    private Report.Progress sampleProgress(long second) throws InterruptedException, ExecutionException {
        long nodesUp = nodes.stream().filter(StandInNode::isUp).count();
        return callOn(clientLoop, () -> {
            RequestStats stats = clients.currentSecond();
            Report.Progress progress = new Report.Progress(second, stats.served, stats.refused, stats.failed + stats.unanswered,
                    stats.retries, stats.latencyMillis(50), stats.latencyMillis(99), nodesUp, nodes.size(),
                    List.copyOf(activeFaults));
            stats.reset();
            return progress;
        });
    }

    /** Waits until all requests have ended, for the longest deadline and a grace at most. */
    private void awaitAnswers() throws InterruptedException, ExecutionException {
        long deadlineNanos = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(fleetConfig.maxDeadlineMillis() + FINAL_ANSWER_GRACE_MILLIS);
        while (System.nanoTime() < deadlineNanos && callOn(clientLoop, clients::openRequests) > 0) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static <T> T callOn(EventLoop loop, Callable<T> work) throws InterruptedException, ExecutionException {
        return loop.submit(work).get();
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long remainingNanos = nanos - System.nanoTime();
        if (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
        }
    }

    /** Sends SIGTERM to all gateways, and kills those that do not exit in time. */
    private void stopGateways() throws InterruptedException {
        for (ManagedGateway gateway : gateways) {
            if (gateway != null && gateway.process != null) {
                gateway.exitExpected = true;
                gateway.process.terminate();
            }
        }
        long deadlineNanos = System.nanoTime() + SHUTDOWN_TIMEOUT.toNanos();
        for (ManagedGateway gateway : gateways) {
            if (gateway != null && gateway.process != null
                    && !gateway.process.awaitExit(Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime())))) {
                gateway.process.kill();
                gateway.process.awaitExit(SHUTDOWN_TIMEOUT);
            }
        }
    }

    /** Copies the gateways' logs into this folder. Call it before {@link #close}. */
    public void copyLogs(Path targetFolder) throws IOException {
        Files.createDirectories(targetFolder);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(file -> file.toString().endsWith(".log")).toList()) {
                Files.copy(log, targetFolder.resolve(log.getFileName()), StandardCopyOption.REPLACE_EXISTING);
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
        scheduler.shutdownNow();
        try {
            stopGateways();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        discovery.close();
        if (zoneNetwork != null) {
            zoneNetwork.close();
        }
        nodes.forEach(StandInNode::close);
        loops.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        auditLoop.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        deleteFolder(folder);
    }

    /** Deletes a folder and its contents; prints an error if that fails. */
    static void deleteFolder(Path folder) {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            System.err.println("cinderhollow: can't delete " + folder + ": " + e.getMessage());
        }
    }
}
