package cinderhollow.emulator;

import cinderhollow.evacuation.Evacuation;
import cinderhollow.evacuation.EvacuationSettings;
import cinderhollow.evacuation.TrafficObserver;
import cinderhollow.peers.GossipSettings;
import cinderhollow.peers.Roster;
import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.WarmServerRateReceived;
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
    interface World {
        /** Sends a datagram to another gateway; it may be lost. */
        void carry(EmulatedGateway from, int to, byte[] datagram);

        /** Returns whether traffic between this gateway and this node passes in both directions. */
        boolean reaches(EmulatedGateway from, Node node);

        /** Receives a log line of the gateway's evacuation module, meant for operators. */
        void said(EmulatedGateway gateway, String line);

        /** Receives the weights of the zones by which the gateway distributes requests from now on. */
        void weighed(EmulatedGateway gateway, Map<String, Double> byZone);

        /** Returns the node with this id. */
        Node node(String id);

        /** Returns the work of this attempt in nanoseconds on a machine of speed 1. */
        double work(String request, int attempt);

        /** Receives the final answer to a request: whether it was served, and if not, whether it was refused. */
        void answered(String request, boolean served, boolean refused);
    }

    /** Fraction of the nodes' idle timeout after which the gateway closes an idle connection. */
    private static final double IDLE_PART = 2.0 / 3;
    /** Longest time in nanoseconds between two ticks of the evacuation module. */
    private static final long LONGEST_WAIT = 25_000_000L;

    /** An idle connection: since when it is idle, and the generation of the node that it belongs to. */
    private record Idle(long since, int generation) { }

    /** One attempt of a request at a node. */
    private final class Attempt {
        private final String request;
        private final int number;
        private final Node node;
        private final long sentAt = time.now();
        private Node.Job job;
        private int connection = -1;
        private boolean written;
        private boolean over;

        Attempt(String request, int number, Node node) {
            this.request = request;
            this.number = number;
            this.node = node;
        }

        /** Ends the attempt once: keeps or closes its connection, answers the client if served first, notifies the module. */
        void end(Outcome outcome, LoadReport load) {
            if (over) {
                return;
            }
            over = true;
            if (evacuation != null) {
                zones.get(request).onAttemptEnded(time.now(), number, outcome, time.now() - sentAt, load);
            }
            invariants.ended(request, outcome);
            if (connection >= 0) {
                boolean kept = outcome == Outcome.SERVED || outcome == Outcome.FULL;
                if (kept) {
                    keep(node, connection);
                } else {
                    node.disconnect(connection);
                }
            }
            List<Attempt> all = open.get(request);
            boolean first = all != null && !answered.contains(request);
            if (outcome == Outcome.SERVED && first) {
                answered.add(request);
                invariants.answered(time.now(), request, false);
                world.answered(request, true, false);
            }
            boolean concluded = answered.contains(request);
            forget(request);
            tell(new AttemptEnded(request, number, node.info.id(), outcome, time.now() - sentAt, concluded, load));
        }
    }

    private final Timeline time;
    private final Scenario scenario;
    private final World world;
    private final LoadBalancer choice;
    final Invariants invariants;
    private final ToLongBiFunction<EmulatedGateway, Node> wire;
    final String zone;
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();
    private final Map<String, List<Attempt>> open = new HashMap<>();
    /** The evacuation module's observer of each open request; empty unless gateways evacuate zones together. */
    private final Map<String, TrafficObserver.RequestObserver> zones = new HashMap<>();
    /** Null unless gateways evacuate zones together. */
    private final Evacuation evacuation;

    /** Requests that are answered or whose client left, and whose attempts have not all ended. */
    private final Set<String> answered = new HashSet<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean deciding;
    private boolean dead;
    long handshakes;
    long sends;
    long crossings;
    long silentMarks;
    long datagrams;

    EmulatedGateway(Timeline time, Scenario scenario, Settings settings, long seed, World world,
                    ToLongBiFunction<EmulatedGateway, Node> wire) {
        this.time = time;
        this.scenario = scenario;
        this.world = world;
        this.wire = wire;
        zone = settings.zone();
        invariants = new Invariants(settings.gatewayNumber(), settings.rules(), settings.upstreamOptions().maxAttempts());
        choice = new LoadBalancer(settings, seed, this);
        evacuation = scenario.talks() ? talk(settings, seed) : null;
    }

    /** Makes the evacuation module and the callbacks that connect it with the environment. */
    private Evacuation talk(Settings settings, long seed) {
        List<String> names = IntStream.range(0, scenario.zones()).mapToObj(i -> Emulation.zone(i, scenario.zones())).toList();
        Roster roster = new Roster(settings.gatewayNumber(), settings.gateways(), "emulated", new byte[0]);
        return new Evacuation(EvacuationSettings.withDefaults(names, names.indexOf(zone), Collections.nCopies(names.size(), 0)), settings.rules(), roster, GossipSettings.DEFAULT, seed,
                unixMillis(), new Evacuation.Callbacks() {
            @Override
            public void send(int member, byte[] datagram) {
                datagrams++;
                world.carry(EmulatedGateway.this, member, datagram);
            }

            @Override
            public void setZoneWeights(Map<String, Double> byZone) {
                world.weighed(EmulatedGateway.this, byZone);
                tell(new ZoneWeightsChanged(byZone));
            }

            @Override
            public void setWarmServerRate(double perSecond) {
                tell(new WarmServerRateReceived(perSecond));
            }

            @Override
            public void setAcceptingClients(boolean clients) { }

            @Override
            public void log(String line) {
                world.said(EmulatedGateway.this, line);
            }
        });
    }

    int number() {
        return invariants.gateway();
    }

    private long unixMillis() {
        return time.now() / 1_000_000;
    }

    /** Runs one tick of the evacuation module, if there is one, and schedules the next. */
    void talks() {
        if (evacuation == null || dead) {
            return;
        }
        long next = evacuation.tick(time.now(), unixMillis());
        time.at(Math.max(time.now() + 1_000_000, Math.min(next, time.now() + LONGEST_WAIT)), this::talks);
    }

    /** Passes a datagram of another gateway to the evacuation module. */
    void heard(int from, byte[] datagram) {
        if (evacuation != null && !dead) {
            evacuation.onDatagram(time.now(), unixMillis(), from, datagram);
        }
    }

    /** Delivers an event to the decision module; events that come while it handles another are queued, as in the real gateway. */
    void tell(Event event) {
        if (dead) {
            return;
        }
        if (event instanceof ListReceived list) {
            list.servers().forEach(s -> invariants.told(time.now(), s.id(), s.readiness() == Readiness.READY));
            if (evacuation != null) {
                evacuation.traffic().updateServers(list.servers(), list.kind() != ListKind.CHANGES);
            }
        }
        events.add(event);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                choice.handle(time.now(), next);
            }
        } finally {
            deciding = false;
        }
    }

    /** Removes a request that is answered or abandoned once all its attempts have ended. */
    private void forget(String request) {
        List<Attempt> all = open.get(request);
        if (all != null && answered.contains(request) && all.stream().allMatch(a -> a.over)) {
            open.remove(request);
            zones.remove(request);
            answered.remove(request);
            invariants.over(request);
        }
    }

    /** Delivers a request to the gateway; it has this time in nanoseconds until its deadline. */
    void ask(String request, RequestClass kind, long expiresIn) {
        if (dead) {
            return; // the process was killed: the request is lost, and its client's timeout ends it
        }
        open.put(request, new ArrayList<>(1));
        if (evacuation != null) {
            zones.put(request, evacuation.traffic().onRequestReceived(kind));
        }
        invariants.arrived(time.now(), request, kind, expiresIn);
        tell(new RequestArrived(request, kind.name(), null, null, expiresIn, 0, false));
    }

    /**
     * Kills the process: its connections are closed and its attempts dropped, and no request is answered any more.
     *
     * @return the requests without an answer, whose clients see their connection break
     */
    List<String> kill() {
        dead = true;
        idle.forEach((id, kept) -> kept.forEach(one -> world.node(id).disconnect(one.generation)));
        idle.clear();
        List<String> waiting = open.keySet().stream().filter(request -> !answered.contains(request)).toList();
        open.values().forEach(attempts -> attempts.stream().filter(a -> !a.over).forEach(a -> {
            a.over = true;
            drop(a);
            if (a.connection >= 0) {
                a.node.disconnect(a.connection);
            }
        }));
        open.keySet().forEach(invariants::over);
        open.clear();
        return waiting;
    }

    /** Notifies the gateway that the client of a request left, so that no answer is due any more. */
    void left(String request) {
        if (open.containsKey(request) && answered.add(request)) {
            invariants.left(request);
            tell(new ClientLeft(request));
            forget(request);
        }
    }

    /** Keeps a connection for reuse until its idle timeout. */
    private void keep(Node node, int generation) {
        ArrayDeque<Idle> kept = idle.computeIfAbsent(node.info.id(), id -> new ArrayDeque<>());
        long idleFor = (long) (scenario.shapes().idleMillis() * IDLE_PART * 1e6);
        Idle one = new Idle(time.now(), generation);
        kept.addLast(one);
        time.after(idleFor, () -> {
            // Compared by value: equal entries became idle at the same instant, so either may be closed.
            if (kept.remove(one)) {
                node.disconnect(generation);
            }
        });
    }

    @Override
    public void send(String request, String server, long timeoutNanos) {
        invariants.sent(time.now(), request, server);
        Node node = world.node(server);
        List<Attempt> all = open.get(request);
        Attempt attempt = new Attempt(request, all.size(), node);
        all.add(attempt);
        if (evacuation != null) {
            zones.get(request).onAttemptSent(time.now(), server);
        }
        sends++;
        crossings += node.info.zone().equals(zone) ? 0 : 1;
        time.after(timeoutNanos, () -> {
            if (!attempt.over) {
                drop(attempt);
                attempt.end(attempt.written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null);
            }
        });
        if (!world.reaches(this, node)) {
            // No error is reported: a request on an idle connection is lost, and a new connection is never established.
            attempt.written = idle.containsKey(server) && !idle.get(server).isEmpty();
            return;
        }
        long oneWay = wire.applyAsLong(this, node);
        ArrayDeque<Idle> kept = idle.get(server);
        while (kept != null && !kept.isEmpty()) {
            Idle last = kept.pollLast();
            if (last.generation == node.generation() && !node.isDown()) {
                attempt.connection = last.generation;
                time.after(oneWay, () -> come(attempt, 0, oneWay));
                return;
            }
        }
        long dial = (long) (2 * oneWay * scenario.shapes().roundTrips());
        time.after(dial, () -> {
            if (attempt.over) {
                return;
            }
            if (!node.connect()) {
                attempt.end(Outcome.CONNECT_FAILED, null);
                return;
            }
            handshakes++;
            attempt.connection = node.generation();
            time.after(oneWay, () -> come(attempt, scenario.shapes().handshakeMillis() * 1e6, oneWay));
        });
    }

    /** Delivers the attempt's request to the node, with the work of the handshake in nanoseconds (0 on a reused connection). */
    private void come(Attempt attempt, double handshake, long oneWay) {
        if (attempt.over) {
            return;
        }
        attempt.written = true;
        double work = world.work(attempt.request, attempt.number) + handshake;
        attempt.job = attempt.node.offer(work, fate -> {
            LoadReport load = fate == Node.Fate.BROKEN ? null : attempt.node.report();
            if (!world.reaches(this, attempt.node)) {
                return;
            }
            time.after(oneWay, () -> attempt.end(fate == Node.Fate.DONE ? Outcome.SERVED
                    : fate == Node.Fate.FULL ? Outcome.FULL : Outcome.RESET, load));
        });
    }

    /** Lets the node drop the attempt's job, if it has reached the node. */
    private void drop(Attempt attempt) {
        if (attempt.job != null) {
            attempt.node.drop(attempt.job);
        }
    }

    @Override
    public void refuse(String request, long pauseNanos) {
        conclude(request, true);
    }

    @Override
    public void fail(String request) {
        conclude(request, false);
    }

    /** Answers a request that was not served. */
    private void conclude(String request, boolean refused) {
        invariants.answered(time.now(), request, refused);
        if (open.containsKey(request) && answered.add(request)) {
            world.answered(request, false, refused);
            forget(request);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Attempt a = open.get(request).get(attempt);
        time.after(0, () -> {
            if (!a.over) {
                drop(a);
                a.end(Outcome.CANCELLED, null);
            }
        });
    }

    @Override
    public void setTimer(long delayNanos, long token) {
        time.after(delayNanos, () -> tell(new TimerFired(token)));
    }

    @Override
    public void subscribe() { }

    @Override
    public void log(String line) {
        silentMarks += line.contains(" is silent") ? 1 : 0;
    }
}
