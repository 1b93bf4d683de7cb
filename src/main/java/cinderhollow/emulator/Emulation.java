package cinderhollow.emulator;

import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.Protocol.UpstreamOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** One run of an emulated fleet in virtual time. The same scenario and seed give the same result. */
public final class Emulation {
    /**
     * The result of a run. Ratios are fractions of 1. A submission is one sending of a request by its client to a gateway.
     *
     * @param requests number of requests of the clients
     * @param inTimeRatio worth answered within the aim, relative to the worth requested
     * @param worstWindowRatio the same ratio in the worst window of 5 s; windows start at each full second
     * @param worstClassRatio the same ratio of the class for which it is lowest
     * @param refusedRatio refused submissions, relative to all submissions
     * @param submissionsPerRequest submissions per request
     * @param handshakesPerRequest new connections per request
     * @param connectionUtilisation open connections at the nodes at the end of the traffic, relative to the nodes' limits
     * @param silenceDetectionsPerRequest times that a decision module took a node for silent, per request
     * @param overloadCrashes number of nodes that crashed by overload while cold
     * @param breachCount number of times that a gateway broke a rule
     * @param firstBreach the earliest of these breaches, or null if there was none
     * @param openRequests number of requests that gateways still hold at the end, when all should have ended
     * @param events number of tasks run in virtual time
     */
    public record Result(long requests, double inTimeRatio, double worstWindowRatio, double worstClassRatio,
            double refusedRatio, double submissionsPerRequest,
                         double handshakesPerRequest, double connectionUtilisation, double silenceDetectionsPerRequest,
                         int overloadCrashes, long breachCount, String firstBreach, int openRequests,
                         long events) {
        /** Returns whether no rule was broken, no cold node crashed by overload, and no request was left open. */
        public boolean isClean() {
            return breachCount == 0 && overloadCrashes == 0 && openRequests == 0;
        }

        /** Returns the score that compares runs: service as the first deployment weighs it, less the cost of connections. */
        public double score() {
            return 0.45 * inTimeRatio + 0.35 * worstWindowRatio + 0.2 * worstClassRatio - 0.08 * handshakesPerRequest;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT,
                    "figure %.4f  in time %.4f  worst %.4f  worst class %.4f  refused %.3f  tries %.2f  "
                    + "handshakes %.3f  places %.2f  silent %.3f  fallen %d%s", score(), inTimeRatio, worstWindowRatio,
                    worstClassRatio, refusedRatio, submissionsPerRequest,
                    handshakesPerRequest, connectionUtilisation, silenceDetectionsPerRequest, overloadCrashes, breachCount == 0
                    && openRequests == 0 ? "" : ", broken " + breachCount
                    + ", open " + openRequests + ": " + firstBreach);
        }
    }

    private static final long MS = 1_000_000L, SECOND = 1_000 * MS, START_NANOS = 1_000 * SECOND;
    /** One-way delays between client and gateway, within a zone, and between zones. */
    private static final long CLIENT_ONE_WAY_NANOS = MS / 2, SAME_ZONE_ONE_WAY_NANOS = MS / 5, CROSS_ZONE_ONE_WAY_NANOS = MS;
    /** Length in seconds of the windows of {@link Result#worstWindowRatio}. */
    private static final int WORST_WINDOW_SECONDS = 5;
    /** Fraction of the datagrams between gateways that is lost. */
    private static final double DATAGRAM_LOSS_RATIO = 0.01;
    /** How long clients are still routed to a killed gateway, and the time from the kill until its new process is ready. */
    private static final long FAILOVER_DELAY_NANOS = 2 * SECOND, GATEWAY_START_NANOS = 1_500 * MS;
    /** Longest delay until a gateway receives a change of the server list. */
    private static final long MAX_LIST_DELAY_NANOS = 2 * SECOND;

    /** A request as its client sees it, over all its submissions. */
    private static final class ClientRequest {
        private final RequestClass requestClass;
        private final int classIndex;
        private final GatewaySlot slot;
        private final long firstAskedAt;
        private final double workNanos;
        /** Gateway of the latest submission, or null if no gateway could be reached. */
        private EmulatedGateway latestGateway;
        private int submissions;
        private boolean done;

        ClientRequest(RequestClass requestClass, int classIndex, GatewaySlot slot, long firstAskedAt, double workNanos) {
            this.requestClass = requestClass;
            this.classIndex = classIndex;
            this.slot = slot;
            this.firstAskedAt = firstAskedAt;
            this.workNanos = workNanos;
        }
    }

    /** One gateway of the fleet with its number and zone, over all restarts of its process. */
    private static final class GatewaySlot {
        private final int number;
        private final String zone;
        /** The running process, or null while there is none. */
        private EmulatedGateway gateway;
        private long killedAt;
        private int startCount;

        GatewaySlot(int number, String zone) {
            this.number = number;
            this.zone = zone;
        }
    }

    private final Scenario scenario;
    private final long seed;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler(START_NANOS);
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> nodesById = new HashMap<>();
    /** All gateway processes so far, including killed ones. */
    private final List<EmulatedGateway> allGateways = new ArrayList<>();
    private final List<GatewaySlot> slots = new ArrayList<>();
    private final Map<String, ClientRequest> pendingSubmissions = new HashMap<>();
    private final double[] requestRates;
    private final double[][] requestedWorth;
    private final double[][] servedWorth;
    private long requestCount;
    private long submissionCount;
    private long refusalCount;
    private int overloadCrashes;
    private boolean partitioned;
    private final List<WeightChange> weightChanges = new ArrayList<>();
    private final List<String> logLines = new ArrayList<>();

    /** Creates the fleet; {@link #run} runs the scenario. */
    public Emulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        random = new SplittableRandom(seed);
        requestedWorth = new double[Scenario.CLASSES.size()][scenario.seconds() + 1];
        servedWorth = new double[Scenario.CLASSES.size()][scenario.seconds() + 1];
        for (int i = 0; i < scenario.nodes(); i++) {
            boolean slow = random.nextDouble() < scenario.nodeSettings().slowNodeFraction();
            double speed = (slow ? scenario.nodeSettings().slowSpeed() : 1) * random.nextDouble(0.88, 1.12);
            addNode("n-" + i, zoneName(i), speed, 0);
        }
        requestRates = new double[scenario.gateways()];
        double sum = 0;
        for (int g = 0; g < requestRates.length; g++) {
            // Log-normal, with the standard deviation relative to the mean that the scenario gives.
            double sigma = Math.sqrt(Math.log1p(scenario.rateVariation() * scenario.rateVariation()));
            requestRates[g] = Math.exp(sigma * nextGaussian());
            sum += requestRates[g];
        }
        for (int g = 0; g < requestRates.length; g++) {
            requestRates[g] *= scenario.load() * scenario.capacityPerSecond() / sum;
            slots.add(new GatewaySlot(g, zoneName(g)));
            startGateway(slots.get(g));
        }
    }

    /** Returns the name of the zone of the node or gateway with this number; zones are assigned in turn. */
    static String zoneName(int i, int zones) {
        return String.valueOf((char) ('a' + i % zones));
    }

    private String zoneName(int i) {
        return zoneName(i, scenario.zones());
    }

    /** Draws from the standard normal distribution. */
    private double nextGaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** Draws from the exponential distribution of mean 1. */
    private double nextExponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private Node addNode(String id, String zone, double speed, long startedAt) {
        Node node = new Node(scheduler, scenario, id, zone, speed, startedAt);
        nodes.add(node);
        nodesById.put(id, node);
        return node;
    }

    /** Starts a gateway process in the slot; it knows only the current server list. */
    private void startGateway(GatewaySlot slot) {
        Scenario.NodeSettings s = scenario.nodeSettings();
        Settings settings = new Settings(scenario.gateways(), slot.number, slot.zone, false, MS, Scenario.CLASSES, List.of(), 0.2,
                new UpstreamOptions(5, true), new Rules(50 * MS, SECOND, 10 * SECOND, s.coldCapacityFraction(),
                (long) (s.warmUpMillis() * MS),
                        s.overloadFactor(), (long) (s.overloadWindowMillis() * MS)));
        EmulatedGateway gateway = new EmulatedGateway(scheduler, scenario, settings,
                (seed * 31 + slot.number) * 31 + slot.startCount++, new FleetEnvironment(),
                (from, to) -> from.zone.equals(to.info.zone()) ? SAME_ZONE_ONE_WAY_NANOS : CROSS_ZONE_ONE_WAY_NANOS);
        gateway.deliver(new ListReceived(ListKind.WHOLE, nodes.stream().filter(n -> n.listed).map(n -> n.info).toList()));
        allGateways.add(gateway);
        slot.gateway = gateway;
        // A random delay keeps processes that start at the same time from ticking in step.
        scheduler.scheduleAfter(random.nextLong(50 * MS), gateway::runEvacuationTick);
    }

    /** Connects the emulated gateways with each other, the nodes and the clients. */
    private final class FleetEnvironment implements EmulatedGateway.Environment {
        @Override
        public Node node(String id) {
            return nodesById.get(id);
        }

        @Override
        public void transmit(EmulatedGateway from, int to, byte[] datagram) {
            GatewaySlot receiver = slots.get(to);
            if (!arePartitioned(from.zone, receiver.zone) && random.nextDouble() >= DATAGRAM_LOSS_RATIO) {
                scheduler.scheduleAfter((from.zone.equals(receiver.zone) ? SAME_ZONE_ONE_WAY_NANOS : CROSS_ZONE_ONE_WAY_NANOS)
                        + random.nextLong(MS), () -> {
                    if (receiver.gateway != null) {
                        receiver.gateway.onDatagram(from.number(), datagram);
                    }
                });
            }
        }

        @Override
        public boolean canReach(EmulatedGateway from, Node node) {
            return !arePartitioned(from.zone, node.info.zone());
        }

        @Override
        public void onLogLine(EmulatedGateway gateway, String line) {
            logLines.add((scheduler.now() - START_NANOS) / MS + " ms, gateway " + gateway.number() + ": " + line);
        }

        @Override
        public void onZoneWeightsChanged(EmulatedGateway gateway, Map<String, Double> weightByZone) {
            weightByZone.forEach((zone, weight) ->
                    weightChanges.add(new WeightChange(scheduler.now(), gateway.number(), zone, weight)));
        }

        @Override
        public double workNanos(String request, int attempt) {
            return pendingSubmissions.get(request).workNanos;
        }

        @Override
        public void onAnswered(String request, boolean served, boolean refused) {
            ClientRequest clientRequest = pendingSubmissions.get(request);
            scheduler.scheduleAfter(CLIENT_ONE_WAY_NANOS, () -> onSubmissionEnded(request, clientRequest, served, refused));
        }
    }

    /** Returns whether the network partition separates these zones. */
    private boolean arePartitioned(String a, String b) {
        return partitioned && !a.equals(b) && (a.equals(zoneName(0)) || b.equals(zoneName(0)));
    }

    /** Returns the log lines of the gateways' evacuation modules, about zones and other gateways. */
    public List<String> logLines() {
        return List.copyOf(logLines);
    }

    /**
     * A gateway's change of a zone's weight: when (nanoseconds of virtual time), which gateway and zone, and the fraction of the
     * usual traffic that the gateway sends to the zone from then on.
     */
    record WeightChange(long atNanos, int gateway, String zone, double weight) {
        /** Returns when the change was made, in seconds since the start of the run. */
        double secondsSinceStart() {
            return (atNanos - START_NANOS) / (double) SECOND;
        }
    }

    /**
     * How the gateways left the first zone. A gateway has left a zone when it gives it a weight below 0.5.
     *
     * @param evacuatedGateways number of gateways that left it within the time considered
     * @param totalGateways number of gateways of the fleet
     * @param medianSeconds median of the seconds until a gateway left, NaN like the next two if none left
     * @param p95Seconds 95th percentile of these seconds
     * @param maxSeconds seconds until the last of these gateways left
     * @param otherZoneReductions number of times that a gateway set a weight below 1 for another zone, over the whole run
     * @param datagramsPerGatewaySecond datagrams sent per second and gateway, over the whole run
     */
    public record EvacuationReport(int evacuatedGateways, int totalGateways, double medianSeconds, double p95Seconds,
            double maxSeconds, int otherZoneReductions, double datagramsPerGatewaySecond) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT,
                    "left by %d of %d after %.2f s (median), %.2f s (95 of 100), %.2f s (last); other zones left %d "
                    + "times; %.1f datagrams a second and gateway", evacuatedGateways, totalGateways, medianSeconds, p95Seconds,
                    maxSeconds, otherZoneReductions, datagramsPerGatewaySecond);
        }
    }

    /** Returns how the gateways left the first zone from this second on, within this many seconds; valid after {@link #run}. */
    public EvacuationReport measureEvacuation(double fromSecond, double withinSeconds) {
        Map<Integer, Double> secondsToLeave = new HashMap<>();
        int otherZoneReductions = 0;
        for (WeightChange change : weightChanges) {
            if (change.weight < 0.5 && change.zone.equals(zoneName(0)) && change.secondsSinceStart() >= fromSecond
                    && change.secondsSinceStart() <= fromSecond + withinSeconds) {
                secondsToLeave.putIfAbsent(change.gateway, change.secondsSinceStart() - fromSecond);
            } else if (change.weight < 1 && !change.zone.equals(zoneName(0))) {
                otherZoneReductions++;
            }
        }
        List<Double> sortedSeconds = secondsToLeave.values().stream().sorted().toList();
        int count = sortedSeconds.size();
        double datagramsPerGatewaySecond = allGateways.stream().mapToLong(g -> g.datagramsSent)
                .sum() / (double) (scenario.seconds() * slots.size());
        return new EvacuationReport(count, slots.size(), count == 0 ? Double.NaN : sortedSeconds.get(count / 2), count == 0
                ? Double.NaN : sortedSeconds.get((count - 1) * 95 / 100),
                count == 0 ? Double.NaN : sortedSeconds.get(count - 1), otherZoneReductions, datagramsPerGatewaySecond);
    }

    /** Returns the ratio of worth answered within the aim to worth requested in each second; valid after {@link #run}. */
    public double[] inTimeRatioBySecond() {
        return IntStream.range(0, scenario.seconds())
                .mapToDouble(second -> inTimeRatio(0, requestedWorth.length, second, second + 1)).toArray();
    }

    /** Runs the scenario to its end and 3 s beyond, so that open requests get their answers. */
    public Result run() {
        long end = START_NANOS + scenario.seconds() * SECOND;
        for (int g = 0; g < requestRates.length; g++) {
            scheduleNextArrival(slots.get(g), requestRates[g], end);
        }
        if (scenario.fault() != null) {
            scheduleFault(scenario.fault());
        }
        long events = scheduler.runUntil(end);
        double connectionUtilisation = nodes.stream().mapToInt(Node::connections).sum()
                / (double) (nodes.size() * scenario.nodeSettings().maxConnections());
        events += scheduler.runUntil(end + 3 * SECOND);
        allGateways.forEach(g -> g.invariants.checkUnanswered(scheduler.now()));
        long breachCount = allGateways.stream().mapToLong(g -> g.invariants.breachCount()).sum();
        String firstBreach = allGateways.stream().flatMap(g -> g.invariants.breaches().stream())
                .min((a, b) -> Long.compare(a.atNanos(), b.atNanos())).map(Object::toString).orElse(null);
        int openRequests = allGateways.stream().mapToInt(g -> g.invariants.openRequestCount()).sum();
        long handshakes = allGateways.stream().mapToLong(g -> g.handshakes).sum();
        long silenceDetections = allGateways.stream().mapToLong(g -> g.silenceDetections).sum();
        overloadCrashes = (int) nodes.stream().filter(requestDivisor -> requestDivisor.crashedByOverload).count();
        double worstClassRatio = 1;
        for (int c = 0; c < requestedWorth.length; c++) {
            worstClassRatio = Math.min(worstClassRatio, inTimeRatio(c, c + 1, 0, scenario.seconds()));
        }
        double worstWindowRatio = 1;
        for (int s = 0; s + WORST_WINDOW_SECONDS <= scenario.seconds(); s++) {
            worstWindowRatio = Math.min(worstWindowRatio, inTimeRatio(0, requestedWorth.length, s, s + WORST_WINDOW_SECONDS));
        }
        double requestDivisor = Math.max(1, requestCount);
        return new Result(requestCount, inTimeRatio(0, requestedWorth.length, 0, scenario.seconds()), worstWindowRatio,
                worstClassRatio,
                refusalCount / Math.max(1.0, submissionCount), submissionCount / requestDivisor, handshakes / requestDivisor,
                connectionUtilisation, silenceDetections / requestDivisor, overloadCrashes,
                breachCount, firstBreach, openRequests, events);
    }

    /** Returns the worth answered within the aim, relative to the worth requested, over ranges of classes and seconds. */
    private double inTimeRatio(int fromClass, int toClass, int fromSecond, int toSecond) {
        double requested = 0;
        double served = 0;
        for (int c = fromClass; c < toClass; c++) {
            for (int s = fromSecond; s < toSecond; s++) {
                requested += requestedWorth[c][s];
                served += servedWorth[c][s];
            }
        }
        return requested == 0 ? 1 : served / requested;
    }

    /** Schedules the next request of the slot's clients, as a Poisson process, unless it would come after the end. */
    private void scheduleNextArrival(GatewaySlot slot, double requestsPerSecond, long end) {
        double elapsedFraction = (double) (scheduler.now() - START_NANOS) / (scenario.seconds() * SECOND);
        double currentRate = requestsPerSecond * (elapsedFraction >= 0.4 && elapsedFraction < 0.6 ? scenario.burstFactor() : 1);
        long at = scheduler.now() + (long) (nextExponential() * SECOND / currentRate);
        if (at >= end) {
            return;
        }
        scheduler.scheduleAt(at, () -> {
            int classIndex = random.nextDouble() < Scenario.CLASS_FRACTIONS[0] ? 0 : 1;
            ClientRequest request = new ClientRequest(Scenario.CLASSES.get(classIndex), classIndex, slot, scheduler.now(),
                    nextExponential() * Scenario.MEAN_WORK_MILLIS[classIndex] * scenario.workScale() * MS);
            requestCount++;
            requestedWorth[classIndex][secondOf(request)] += request.requestClass.worth();
            submit(request);
            scheduleNextArrival(slot, requestsPerSecond, end);
        });
    }

    /** Returns the second of the run in which the client first sent the request. */
    private static int secondOf(ClientRequest request) {
        return (int) ((request.firstAskedAt - START_NANOS) / SECOND);
    }

    /**
     * Returns the gateway that a submission is routed to. Clients of a killed gateway are still routed to it for a while, and
     * then to other gateways of its zone. Null means that the submission reaches no gateway and fails.
     */
    private EmulatedGateway pickGateway(GatewaySlot slot) {
        if (slot.gateway != null || scheduler.now() - slot.killedAt < FAILOVER_DELAY_NANOS) {
            return slot.gateway;
        }
        List<GatewaySlot> others = slots.stream().filter(p -> p.gateway != null && p.zone.equals(slot.zone)).toList();
        return others.isEmpty() ? null : others.get(random.nextInt(others.size())).gateway;
    }

    /** Sends a request to a gateway, as a new submission with an id of its own. */
    private void submit(ClientRequest request) {
        String submissionId = requestCount + "." + submissionCount++;
        request.submissions++;
        pendingSubmissions.put(submissionId, request);
        long clientTimeoutNanos = (long) (request.requestClass.deadlineNanos() * scenario.clientSettings()
                .timeoutDeadlineFraction());
        EmulatedGateway gateway = pickGateway(request.slot);
        request.latestGateway = gateway;
        if (gateway == null) {
            scheduler.scheduleAfter(2 * CLIENT_ONE_WAY_NANOS, () -> onSubmissionEnded(submissionId, request, false, false));
            return;
        }
        scheduler.scheduleAfter(CLIENT_ONE_WAY_NANOS,
                () -> gateway.submit(submissionId, request.requestClass, clientTimeoutNanos));
        scheduler.scheduleAfter(clientTimeoutNanos + 2 * CLIENT_ONE_WAY_NANOS, () -> {
            if (pendingSubmissions.containsKey(submissionId)) {
                gateway.onClientLeft(submissionId);
                onSubmissionEnded(submissionId, request, false, false);
            }
        });
    }

    /** Handles the end of a submission (answered, timed out or broken), and schedules a retry if the client has one left. */
    private void onSubmissionEnded(String submissionId, ClientRequest request, boolean served, boolean refused) {
        if (pendingSubmissions.remove(submissionId) == null || request.done) {
            return;
        }
        refusalCount += refused ? 1 : 0;
        if (served) {
            request.done = true;
            servedWorth[request.classIndex][secondOf(request)] += scheduler.now() - request.firstAskedAt <= request.requestClass.aimNanos() ? request.requestClass.worth() : 0;
        } else if (request.submissions <= scenario.clientSettings().maxRetries()) {
            double backoffMillis = scenario.clientSettings()
                    .initialBackoffMillis() * (1 << request.submissions - 1) * (0.5 + random.nextDouble());
            scheduler.scheduleAfter((long) (backoffMillis * MS), () -> submit(request));
        } else {
            request.done = true;
        }
    }

    /** Schedules the start and the end of a fault. */
    private void scheduleFault(Scenario.Fault fault) {
        long from = START_NANOS + (long) (fault.fromSecond() * SECOND);
        long until = from + (long) (fault.seconds() * SECOND);
        if (fault.kind() == Scenario.FaultKind.KILLED || fault.kind() == Scenario.FaultKind.ROLLED) {
            int killCount = (int) Math.round(fault.affectedFraction() * slots.size());
            for (int i = 0; i < killCount; i++) {
                GatewaySlot slot = slots.get(i);
                long at = fault.kind() == Scenario.FaultKind.KILLED ? from : from + (until - from) * i / killCount;
                scheduler.scheduleAt(at, () -> killGateway(slot));
            }
            return;
        }
        if (fault.kind() == Scenario.FaultKind.CUT) {
            scheduler.scheduleAt(from, () -> partitioned = true);
            scheduler.scheduleAt(until, () -> partitioned = false);
            return;
        }
        int affectedCount = (int) Math.round(fault.affectedFraction() * nodes.size());
        // Nodes of one zone come first, since machines of one location fail together.
        List<Node> affectedNodes = nodes.stream().sorted((a, b) -> a.info.zone().compareTo(b.info.zone())).limit(affectedCount)
                .toList();
        for (int i = 0; i < affectedNodes.size(); i++) {
            Node node = affectedNodes.get(i);
            long staggerNanos = (until - from) * i / Math.max(1, affectedNodes.size());
            switch (fault.kind()) {
                case KILLED, ROLLED, CUT -> throw new IllegalStateException("not a fault of nodes: " + fault);
                case SLOW -> {
                    scheduler.scheduleAt(from, () -> node.setSlowdown(fault.slowdownFactor()));
                    scheduler.scheduleAt(until, () -> node.setSlowdown(1));
                }
                case SILENT -> {
                    scheduler.scheduleAt(from, () -> node.setSilent(true));
                    scheduler.scheduleAt(until, () -> node.setSilent(false));
                }
                case LOST -> {
                    scheduler.scheduleAt(from, () -> {
                        node.stop();
                        node.listed = false;
                        sendListChanges(asGone(node));
                    });
                    scheduler.scheduleAt(until, () -> {
                        node.start();
                        node.listed = true;
                        sendListChanges(node.info);
                    });
                }
                case REPLACED -> scheduler.scheduleAt(from + staggerNanos, () -> {
                    ServerInfo removed = asGone(node);
                    node.listed = false;
                    Node replacement = addNode(node.info.id() + "-new", node.info.zone(), node.speed, scheduler.now());
                    sendListChanges(removed, replacement.info);
                    scheduler.scheduleAfter(3 * SECOND, node::stop);
                });
            }
        }
    }

    /** Kills the gateway process of the slot and schedules its restart. */
    private void killGateway(GatewaySlot slot) {
        EmulatedGateway gateway = slot.gateway;
        slot.gateway = null;
        slot.killedAt = scheduler.now();
        gateway.kill().forEach(submissionId -> scheduler.scheduleAfter(CLIENT_ONE_WAY_NANOS, () -> {
            ClientRequest request = pendingSubmissions.get(submissionId);
            if (request != null) {
                onSubmissionEnded(submissionId, request, false, false);
            }
        }));
        scheduler.scheduleAfter(GATEWAY_START_NANOS, () -> startGateway(slot));
    }

    /** Returns the node's list entry, marked as removed. */
    private static ServerInfo asGone(Node node) {
        ServerInfo info = node.info;
        return new ServerInfo(info.id(), info.zone(), info.machineType(), info.cell(), Readiness.GONE, info.capacityHint(),
                info.startedAtNanos());
    }

    /** Sends changes of the server list to each gateway, after a random delay of its own. */
    private void sendListChanges(ServerInfo... changedServers) {
        for (EmulatedGateway gateway : allGateways) {
            scheduler.scheduleAfter((long) (random.nextDouble() * MAX_LIST_DELAY_NANOS),
                    () -> gateway.deliver(new ListReceived(ListKind.CHANGES, List.of(changedServers))));
        }
    }
}
