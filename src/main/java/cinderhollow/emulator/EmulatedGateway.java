package cinderhollow.emulator;

import cinderhollow.evacuation.Evacuation;
import cinderhollow.evacuation.EvacuationSettings;
import cinderhollow.evacuation.TrafficObserver;
import cinderhollow.peers.GossipSettings;
import cinderhollow.peers.Roster;
import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.ClientLeft;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.Protocol.TimerFired;
import cinderhollow.policy.Protocol.WarmServerRateReceived;
import cinderhollow.policy.Protocol.ZoneWeightsChanged;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongBiFunction;
import java.util.stream.IntStream;

/**
 * A gateway of an emulated fleet: the real decision module in virtual time. This class provides the module's timers, its
 * attempts, and its connections to nodes, which are kept for reuse while idle.
 */
final class EmulatedGateway implements Actions {
    /** What the gateway needs of its surroundings: the network, the other gateways, the nodes and the clients. */
    interface Environment {
        /** Sends a datagram to another gateway; it may be lost. */
        void transmit(EmulatedGateway from, int to, byte[] datagram);

        /** Returns whether traffic between this gateway and this node passes in both directions. */
        boolean canReach(EmulatedGateway from, Node node);

        /** Receives a log line of the gateway's evacuation module, meant for operators. */
        void onLogLine(EmulatedGateway gateway, String line);

        /** Receives the weights of the zones by which the gateway distributes requests from now on. */
        void onZoneWeightsChanged(EmulatedGateway gateway, Map<String, Double> weightByZone);

        /** Returns the node with this id. */
        Node node(String id);

        /** Returns the work of this attempt in nanoseconds on a machine of speed 1. */
        double workNanos(String request, int attempt);

        /** Receives the final answer to a request: whether it was served, and if not, whether it was refused. */
        void onAnswered(String request, boolean served, boolean refused);
    }

    /** Fraction of the nodes' idle timeout after which the gateway closes an idle connection. */
    private static final double IDLE_TIMEOUT_FRACTION = 2.0 / 3;
    /** Longest time in nanoseconds between two ticks of the evacuation module. */
    private static final long MAX_TICK_INTERVAL_NANOS = 25_000_000L;

    /** An idle connection: since when it is idle, and the generation of the node that it belongs to. */
    private record IdleConnection(long idleSince, int generation) { }

    /** One attempt of a request at a node. */
    private final class Attempt {
        private final String request;
        private final int number;
        private final Node node;
        private final long sentAt = scheduler.now();
        private Node.Job job;
        private int connectionGeneration = -1;
        /** Whether the request counts as written, so that the timeout ends the attempt as timed out and not as connect failed. */
        private boolean written;
        private boolean hasEnded;

        Attempt(String request, int number, Node node) {
            this.request = request;
            this.number = number;
            this.node = node;
        }

        /** Ends the attempt once: keeps or closes its connection, answers the client if served first, notifies the module. */
        void end(Outcome outcome, LoadReport load) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            if (evacuation != null) {
                requestObservers.get(request).onAttemptEnded(scheduler.now(), number, outcome, scheduler.now() - sentAt, load);
            }
            invariants.onAttemptEnded(request, outcome);
            if (connectionGeneration >= 0) {
                boolean reusable = outcome == Outcome.SERVED || outcome == Outcome.FULL;
                if (reusable) {
                    addIdleConnection(node, connectionGeneration);
                } else {
                    node.disconnect(connectionGeneration);
                }
            }
            List<Attempt> attempts = attemptsByRequest.get(request);
            boolean awaitsAnswer = attempts != null && !concludedRequests.contains(request);
            if (outcome == Outcome.SERVED && awaitsAnswer) {
                concludedRequests.add(request);
                invariants.onAnswered(scheduler.now(), request, false);
                environment.onAnswered(request, true, false);
            }
            boolean concluded = concludedRequests.contains(request);
            removeIfDone(request);
            deliver(new AttemptEnded(request, number, node.info.id(), outcome, scheduler.now() - sentAt, concluded, load));
        }
    }

    private final VirtualTimeScheduler scheduler;
    private final Scenario scenario;
    private final Environment environment;
    private final LoadBalancer balancer;
    final Invariants invariants;
    private final ToLongBiFunction<EmulatedGateway, Node> oneWayDelay;
    final String zone;
    private final Map<String, ArrayDeque<IdleConnection>> idleConnections = new HashMap<>();
    private final Map<String, List<Attempt>> attemptsByRequest = new HashMap<>();
    /** The evacuation module's observer of each open request; empty unless gateways evacuate zones together. */
    private final Map<String, TrafficObserver.RequestObserver> requestObservers = new HashMap<>();
    /** Null unless gateways evacuate zones together. */
    private final Evacuation evacuation;

    /** Requests that are answered or whose client left, and whose attempts have not all ended. */
    private final Set<String> concludedRequests = new HashSet<>();
    private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
    private boolean handlingEvents;
    private boolean killed;
    long handshakes;
    long attemptsSent;
    long crossZoneAttempts;
    long silenceDetections;
    long datagramsSent;

    EmulatedGateway(VirtualTimeScheduler scheduler, Scenario scenario, Settings settings, long seed, Environment environment,
                    ToLongBiFunction<EmulatedGateway, Node> oneWayDelay) {
        this.scheduler = scheduler;
        this.scenario = scenario;
        this.environment = environment;
        this.oneWayDelay = oneWayDelay;
        zone = settings.zone();
        invariants = new Invariants(settings.gatewayNumber(), settings.rules(), settings.upstreamOptions().maxAttempts());
        balancer = new LoadBalancer(settings, seed, this);
        evacuation = scenario.evacuationEnabled() ? createEvacuation(settings, seed) : null;
    }

    /** Makes the evacuation module and the callbacks that connect it with the environment. */
    private Evacuation createEvacuation(Settings settings, long seed) {
        List<String> zoneNames = IntStream.range(0, scenario.zones()).mapToObj(i -> Emulation.zoneName(i, scenario.zones()))
                .toList();
        Roster roster = new Roster(settings.gatewayNumber(), settings.gateways(), "emulated", new byte[0]);
        // The number of gateways is given for no zone, hence 0 for each.
        return new Evacuation(EvacuationSettings.withDefaults(zoneNames, zoneNames.indexOf(zone),
                Collections.nCopies(zoneNames.size(), 0)), settings.rules(), roster, GossipSettings.DEFAULT, seed,
                unixMillis(), new Evacuation.Callbacks() {
            @Override
            public void send(int member, byte[] datagram) {
                datagramsSent++;
                environment.transmit(EmulatedGateway.this, member, datagram);
            }

            @Override
            public void setZoneWeights(Map<String, Double> byZone) {
                environment.onZoneWeightsChanged(EmulatedGateway.this, byZone);
                deliver(new ZoneWeightsChanged(byZone));
            }

            @Override
            public void setWarmServerRate(double perSecond) {
                deliver(new WarmServerRateReceived(perSecond));
            }

            /** Ignored: the emulation assigns clients to gateways, and has no readiness check that they could follow. */
            @Override
            public void setAcceptingClients(boolean accepting) { }

            @Override
            public void log(String line) {
                environment.onLogLine(EmulatedGateway.this, line);
            }
        });
    }

    int number() {
        return invariants.gateway();
    }

    /** Returns the virtual time in milliseconds, which stands in for the Unix time that the evacuation module expects. */
    private long unixMillis() {
        return scheduler.now() / 1_000_000;
    }

    /** Runs one tick of the evacuation module, if there is one, and schedules the next. */
    void runEvacuationTick() {
        if (evacuation == null || killed) {
            return;
        }
        long next = evacuation.tick(scheduler.now(), unixMillis());
        scheduler.scheduleAt(Math.max(scheduler.now() + 1_000_000, Math.min(next, scheduler.now() + MAX_TICK_INTERVAL_NANOS)),
                this::runEvacuationTick);
    }

    /** Passes a datagram of another gateway to the evacuation module. */
    void onDatagram(int from, byte[] datagram) {
        if (evacuation != null && !killed) {
            evacuation.onDatagram(scheduler.now(), unixMillis(), from, datagram);
        }
    }

    /** Delivers an event to the decision module; events that come while it handles another are queued, as in the real gateway. */
    void deliver(Event event) {
        if (killed) {
            return;
        }
        if (event instanceof ListReceived list) {
            list.servers().forEach(s -> invariants.onNodeReadiness(scheduler.now(), s.id(), s.readiness() == Readiness.READY));
            if (evacuation != null) {
                evacuation.traffic().updateServers(list.servers(), list.kind() != ListKind.CHANGES);
            }
        }
        pendingEvents.add(event);
        if (handlingEvents) {
            return;
        }
        handlingEvents = true;
        try {
            for (Event next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                balancer.handle(scheduler.now(), next);
            }
        } finally {
            handlingEvents = false;
        }
    }

    /** Removes a request that is answered or abandoned once all its attempts have ended. */
    private void removeIfDone(String request) {
        List<Attempt> attempts = attemptsByRequest.get(request);
        if (attempts != null && concludedRequests.contains(request) && attempts.stream().allMatch(a -> a.hasEnded)) {
            attemptsByRequest.remove(request);
            requestObservers.remove(request);
            concludedRequests.remove(request);
            invariants.onRequestDone(request);
        }
    }

    /** Delivers a request to the gateway; it has this time in nanoseconds until its deadline. */
    void submit(String request, RequestClass requestClass, long expiresInNanos) {
        if (killed) {
            return; // the process was killed: the request is lost, and its client's timeout ends it
        }
        attemptsByRequest.put(request, new ArrayList<>(1));
        if (evacuation != null) {
            requestObservers.put(request, evacuation.traffic().onRequestReceived(requestClass));
        }
        invariants.onRequestArrived(scheduler.now(), request, requestClass, expiresInNanos);
        deliver(new RequestArrived(request, requestClass.name(), null, null, expiresInNanos, 0, false));
    }

    /**
     * Kills the process: its connections are closed and its attempts dropped, and no request is answered any more.
     *
     * @return the requests without an answer, whose clients see their connection break
     */
    List<String> kill() {
        killed = true;
        idleConnections.forEach((id, connections) ->
                connections.forEach(connection -> environment.node(id).disconnect(connection.generation)));
        idleConnections.clear();
        List<String> unanswered = attemptsByRequest.keySet().stream().filter(request -> !concludedRequests.contains(request))
                .toList();
        attemptsByRequest.values().forEach(attempts -> attempts.stream().filter(a -> !a.hasEnded).forEach(a -> {
            a.hasEnded = true;
            dropAtNode(a);
            if (a.connectionGeneration >= 0) {
                a.node.disconnect(a.connectionGeneration);
            }
        }));
        attemptsByRequest.keySet().forEach(invariants::onRequestDone);
        attemptsByRequest.clear();
        return unanswered;
    }

    /** Notifies the gateway that the client of a request left, so that no answer is due any more. */
    void onClientLeft(String request) {
        if (attemptsByRequest.containsKey(request) && concludedRequests.add(request)) {
            invariants.onClientLeft(request);
            deliver(new ClientLeft(request));
            removeIfDone(request);
        }
    }

    /** Keeps a connection for reuse until its idle timeout. */
    private void addIdleConnection(Node node, int generation) {
        ArrayDeque<IdleConnection> connections = idleConnections.computeIfAbsent(node.info.id(), id -> new ArrayDeque<>());
        long idleTimeoutNanos = (long) (scenario.nodeSettings().idleTimeoutMillis() * IDLE_TIMEOUT_FRACTION * 1e6);
        IdleConnection connection = new IdleConnection(scheduler.now(), generation);
        connections.addLast(connection);
        scheduler.scheduleAfter(idleTimeoutNanos, () -> {
            // Compared by value: equal entries became idle at the same instant, so either may be closed.
            if (connections.remove(connection)) {
                node.disconnect(generation);
            }
        });
    }

    @Override
    public void send(String request, String server, long timeoutNanos) {
        invariants.onAttemptSent(scheduler.now(), request, server);
        Node node = environment.node(server);
        List<Attempt> attempts = attemptsByRequest.get(request);
        Attempt attempt = new Attempt(request, attempts.size(), node);
        attempts.add(attempt);
        if (evacuation != null) {
            requestObservers.get(request).onAttemptSent(scheduler.now(), server);
        }
        attemptsSent++;
        crossZoneAttempts += node.info.zone().equals(zone) ? 0 : 1;
        scheduler.scheduleAfter(timeoutNanos, () -> {
            if (!attempt.hasEnded) {
                dropAtNode(attempt);
                attempt.end(attempt.written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null);
            }
        });
        if (!environment.canReach(this, node)) {
            // No error is reported: a request on an idle connection is lost, and a new connection is never established.
            // Nothing will arrive, so that this is decided now: with an idle connection it counts as written at once.
            attempt.written = idleConnections.containsKey(server) && !idleConnections.get(server).isEmpty();
            return;
        }
        long oneWayNanos = oneWayDelay.applyAsLong(this, node);
        ArrayDeque<IdleConnection> connections = idleConnections.get(server);
        while (connections != null && !connections.isEmpty()) {
            IdleConnection latest = connections.pollLast();
            if (latest.generation == node.generation() && !node.isDown()) {
                attempt.connectionGeneration = latest.generation;
                scheduler.scheduleAfter(oneWayNanos, () -> deliverToNode(attempt, 0, oneWayNanos));
                return;
            }
        }
        long connectNanos = (long) (2 * oneWayNanos * scenario.nodeSettings().connectRoundTrips());
        scheduler.scheduleAfter(connectNanos, () -> {
            if (attempt.hasEnded) {
                return;
            }
            if (!node.connect()) {
                attempt.end(Outcome.CONNECT_FAILED, null);
                return;
            }
            handshakes++;
            attempt.connectionGeneration = node.generation();
            scheduler.scheduleAfter(oneWayNanos,
                    () -> deliverToNode(attempt, scenario.nodeSettings().handshakeMillis() * 1e6, oneWayNanos));
        });
    }

    /** Delivers the attempt's request to the node, with the work of the handshake in nanoseconds (0 on a reused connection). */
    private void deliverToNode(Attempt attempt, double handshakeNanos, long oneWayNanos) {
        if (attempt.hasEnded) {
            return;
        }
        // Set on arrival, not at sending: a timeout before it ends the attempt as not connected, even on a reused connection.
        attempt.written = true;
        double workNanos = environment.workNanos(attempt.request, attempt.number) + handshakeNanos;
        attempt.job = attempt.node.offer(workNanos, result -> {
            LoadReport load = result == Node.JobResult.RESET ? null : attempt.node.report();
            if (!environment.canReach(this, attempt.node)) {
                return;
            }
            scheduler.scheduleAfter(oneWayNanos, () -> attempt.end(result == Node.JobResult.DONE ? Outcome.SERVED
                    : result == Node.JobResult.FULL ? Outcome.FULL : Outcome.RESET, load));
        });
    }

    /** Lets the node drop the attempt's job, if it has reached the node. */
    private void dropAtNode(Attempt attempt) {
        if (attempt.job != null) {
            attempt.node.drop(attempt.job);
        }
    }

    @Override
    public void refuse(String request, long retryAfterNanos) {
        conclude(request, true);
    }

    @Override
    public void fail(String request) {
        conclude(request, false);
    }

    /** Answers a request that was not served. */
    private void conclude(String request, boolean refused) {
        // Before the guard, so that a repeated answer is recorded as a breach.
        invariants.onAnswered(scheduler.now(), request, refused);
        if (attemptsByRequest.containsKey(request) && concludedRequests.add(request)) {
            environment.onAnswered(request, false, refused);
            removeIfDone(request);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Attempt cancelledAttempt = attemptsByRequest.get(request).get(attempt);
        // At the same instant, but after the module's call: the end of the attempt may remove the request, which the module is
        // still handling.
        scheduler.scheduleAfter(0, () -> {
            if (!cancelledAttempt.hasEnded) {
                dropAtNode(cancelledAttempt);
                cancelledAttempt.end(Outcome.CANCELLED, null);
            }
        });
    }

    @Override
    public void setTimer(long delayNanos, long token) {
        scheduler.scheduleAfter(delayNanos, () -> deliver(new TimerFired(token)));
    }

    /** Does nothing: the emulation delivers server lists unasked. */
    @Override
    public void subscribe() { }

    @Override
    public void log(String line) {
        // Depends on the text of the line that LoadBalancer logs when it suspects a silent server.
        silenceDetections += line.contains(" is silent") ? 1 : 0;
    }
}
