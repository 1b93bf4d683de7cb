package cinderhollow.emulator;

import cinderhollow.policy.Protocol.UpstreamOptions;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.Settings;
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
     * @param inTime worth answered within the aim, relative to the worth requested
     * @param worst the same ratio in the worst window of 5 s; windows start at each full second
     * @param worstClass the same ratio of the class for which it is lowest
     * @param refused refused submissions, relative to all submissions
     * @param tries submissions per request
     * @param handshakes new connections per request
     * @param connections open connections at the nodes at the end of the traffic, relative to the nodes' limits
     * @param silentMarks times that a decision module took a node for silent, per request
     * @param fallen number of nodes that crashed by overload while cold
     * @param broken number of times that a gateway broke a rule
     * @param breach the earliest of these breaches, or null if there was none
     * @param open number of requests that gateways still hold at the end, when all should have ended
     * @param events number of tasks run in virtual time
     */
    public record Result(long requests, double inTime, double worst, double worstClass, double refused, double tries,
                         double handshakes, double connections, double silentMarks, int fallen, long broken, String breach, int open,
                         long events) {
        /** Returns whether no rule was broken, no cold node crashed by overload, and no request was left open. */
        public boolean isClean() {
            return broken == 0 && fallen == 0 && open == 0;
        }

        /** Returns the score that compares runs: service as the first deployment weighs it, less the cost of connections. */
        public double score() {
            return 0.45 * inTime + 0.35 * worst + 0.2 * worstClass - 0.08 * handshakes;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "figure %.4f  in time %.4f  worst %.4f  worst class %.4f  refused %.3f  tries %.2f  "
                    + "handshakes %.3f  places %.2f  silent %.3f  fallen %d%s", score(), inTime, worst, worstClass, refused, tries,
                    handshakes, connections, silentMarks, fallen, broken == 0 && open == 0 ? "" : ", broken " + broken
                    + ", open " + open + ": " + breach);
        }
    }

    private static final long MS = 1_000_000L, SECOND = 1_000 * MS, BEGIN = 1_000 * SECOND;
    /** One-way delays between client and gateway, within a zone, and between zones. */
    private static final long CLIENT_WAY = MS / 2, SAME_ZONE = MS / 5, OTHER_ZONE = MS;
    /** Length in seconds of the windows of {@link Result#worst}. */
    private static final int WINDOW = 5;
    /** Fraction of the datagrams between gateways that is lost. */
    private static final double LOST_DATAGRAMS = 0.01;
    /** How long clients are still routed to a killed gateway, and the time from the kill until its new process is ready. */
    private static final long NOTICE = 2 * SECOND, START = 1_500 * MS;
    /** Longest delay until a gateway receives a change of the server list. */
    private static final long MOST_NEWS = 2 * SECOND;

    /** A request as its client sees it, over all its submissions. */
    private static final class Asked {
        private final RequestClass kind;
        private final int number;
        private final Place place;
        private final long at;
        private final double work;
        /** Gateway of the latest submission, or null if no gateway could be reached. */
        private EmulatedGateway gateway;
        private int tries;
        private boolean over;

        Asked(RequestClass kind, int number, Place place, long at, double work) {
            this.kind = kind;
            this.number = number;
            this.place = place;
            this.at = at;
            this.work = work;
        }
    }

    /** One gateway of the fleet with its number and zone, over all restarts of its process. */
    private static final class Place {
        private final int number;
        private final String zone;
        /** The running process, or null while there is none. */
        private EmulatedGateway gateway;
        private long deadSince;
        private int starts;

        Place(int number, String zone) {
            this.number = number;
            this.zone = zone;
        }
    }

    private final Scenario scenario;
    private final long seed;
    private final Timeline time = new Timeline(BEGIN);
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byId = new HashMap<>();
    /** All gateway processes so far, including killed ones. */
    private final List<EmulatedGateway> gateways = new ArrayList<>();
    private final List<Place> places = new ArrayList<>();
    private final Map<String, Asked> byTry = new HashMap<>();
    private final double[] rates;
    private final double[][] askedWorth;
    private final double[][] servedWorth;
    private long requests;
    private long tries;
    private long refusals;
    private int fallen;
    private boolean cut;
    private final List<Change> changes = new ArrayList<>();
    private final List<String> logLines = new ArrayList<>();

    /** Creates the fleet; {@link #run} runs the scenario. */
    public Emulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        random = new SplittableRandom(seed);
        askedWorth = new double[Scenario.CLASSES.size()][scenario.seconds() + 1];
        servedWorth = new double[Scenario.CLASSES.size()][scenario.seconds() + 1];
        for (int i = 0; i < scenario.nodes(); i++) {
            boolean slow = random.nextDouble() < scenario.shapes().slowPart();
            double speed = (slow ? scenario.shapes().slowSpeed() : 1) * random.nextDouble(0.88, 1.12);
            add("n-" + i, zone(i), speed, 0);
        }
        rates = new double[scenario.gateways()];
        double sum = 0;
        for (int g = 0; g < rates.length; g++) {
            // Log-normal, with the standard deviation relative to the mean that the scenario gives.
            double sigma = Math.sqrt(Math.log1p(scenario.unevenness() * scenario.unevenness()));
            rates[g] = Math.exp(sigma * gaussian());
            sum += rates[g];
        }
        for (int g = 0; g < rates.length; g++) {
            rates[g] *= scenario.load() * scenario.capacity() / sum;
            places.add(new Place(g, zone(g)));
            start(places.get(g));
        }
    }

    /** Returns the name of the zone of the node or gateway with this number; zones are assigned in turn. */
    static String zone(int i, int zones) {
        return String.valueOf((char) ('a' + i % zones));
    }

    private String zone(int i) {
        return zone(i, scenario.zones());
    }

    /** Draws from the standard normal distribution. */
    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** Draws from the exponential distribution of mean 1. */
    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private Node add(String id, String zone, double speed, long startedAt) {
        Node node = new Node(time, scenario, id, zone, speed, startedAt);
        nodes.add(node);
        byId.put(id, node);
        return node;
    }

    /** Starts a gateway process in the slot; it knows only the current server list. */
    private void start(Place place) {
        Scenario.Shapes s = scenario.shapes();
        Settings settings = new Settings(scenario.gateways(), place.number, place.zone, false, MS, Scenario.CLASSES, List.of(), 0.2,
                new UpstreamOptions(5, true), new Rules(50 * MS, SECOND, 10 * SECOND, s.coldFrom(), (long) (s.warmUpMillis() * MS),
                        s.overloadFactor(), (long) (s.overloadForMillis() * MS)));
        EmulatedGateway gateway = new EmulatedGateway(time, scenario, settings,
                (seed * 31 + place.number) * 31 + place.starts++, new Fleet(),
                (from, to) -> from.zone.equals(to.info.zone()) ? SAME_ZONE : OTHER_ZONE);
        gateway.tell(new ListReceived(ListKind.WHOLE, nodes.stream().filter(n -> n.listed).map(n -> n.info).toList()));
        gateways.add(gateway);
        place.gateway = gateway;
        // A random delay keeps processes that start at the same time from ticking in step.
        time.after(random.nextLong(50 * MS), gateway::talks);
    }

    /** Connects the emulated gateways with each other, the nodes and the clients. */
    private final class Fleet implements EmulatedGateway.World {
        @Override
        public Node node(String id) {
            return byId.get(id);
        }

        @Override
        public void carry(EmulatedGateway from, int to, byte[] datagram) {
            Place there = places.get(to);
            if (!parted(from.zone, there.zone) && random.nextDouble() >= LOST_DATAGRAMS) {
                time.after((from.zone.equals(there.zone) ? SAME_ZONE : OTHER_ZONE) + random.nextLong(MS), () -> {
                    if (there.gateway != null) {
                        there.gateway.heard(from.number(), datagram);
                    }
                });
            }
        }

        @Override
        public boolean reaches(EmulatedGateway from, Node node) {
            return !parted(from.zone, node.info.zone());
        }

        @Override
        public void said(EmulatedGateway gateway, String line) {
            logLines.add((time.now() - BEGIN) / MS + " ms, gateway " + gateway.number() + ": " + line);
        }

        @Override
        public void weighed(EmulatedGateway gateway, Map<String, Double> byZone) {
            byZone.forEach((zone, weight) -> changes.add(new Change(time.now(), gateway.number(), zone, weight)));
        }

        @Override
        public double work(String request, int attempt) {
            return byTry.get(request).work;
        }

        @Override
        public void answered(String request, boolean served, boolean refused) {
            Asked asked = byTry.get(request);
            time.after(CLIENT_WAY, () -> heard(request, asked, served, refused));
        }
    }

    /** Returns whether the network partition separates these zones. */
    private boolean parted(String a, String b) {
        return cut && !a.equals(b) && (a.equals(zone(0)) || b.equals(zone(0)));
    }

    /** Returns the log lines of the gateways' evacuation modules, about zones and other gateways. */
    public List<String> logLines() {
        return List.copyOf(logLines);
    }

    /**
     * A gateway's change of a zone's weight: when (nanoseconds of virtual time), which gateway and zone, and the fraction of the
     * usual traffic that the gateway sends to the zone from then on.
     */
    record Change(long at, int gateway, String zone, double weight) {
        /** Returns when the change was made, in seconds since the start of the run. */
        double second() {
            return (at - BEGIN) / (double) SECOND;
        }
    }

    /**
     * How the gateways left the first zone. A gateway has left a zone when it gives it a weight below 0.5.
     *
     * @param left number of gateways that left it within the time considered
     * @param of number of gateways of the fleet
     * @param median median of the seconds until a gateway left, NaN like the next two if none left
     * @param most 95th percentile of these seconds
     * @param last seconds until the last of these gateways left
     * @param elsewhere number of times that a gateway set a weight below 1 for another zone, over the whole run
     * @param datagrams datagrams sent per second and gateway, over the whole run
     */
    public record EvacuationReport(int left, int of, double median, double most, double last, int elsewhere, double datagrams) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "left by %d of %d after %.2f s (median), %.2f s (95 of 100), %.2f s (last); other zones left %d "
                    + "times; %.1f datagrams a second and gateway", left, of, median, most, last, elsewhere, datagrams);
        }
    }

    /** Returns how the gateways left the first zone from this second on, within this many seconds; valid after {@link #run}. */
    public EvacuationReport measureEvacuation(double fromSecond, double within) {
        Map<Integer, Double> first = new HashMap<>();
        int elsewhere = 0;
        for (Change c : changes) {
            if (c.weight < 0.5 && c.zone.equals(zone(0)) && c.second() >= fromSecond && c.second() <= fromSecond + within) {
                first.putIfAbsent(c.gateway, c.second() - fromSecond);
            } else if (c.weight < 1 && !c.zone.equals(zone(0))) {
                elsewhere++;
            }
        }
        List<Double> times = first.values().stream().sorted().toList();
        int n = times.size();
        double sent = gateways.stream().mapToLong(g -> g.datagrams).sum() / (double) (scenario.seconds() * places.size());
        return new EvacuationReport(n, places.size(), n == 0 ? Double.NaN : times.get(n / 2), n == 0 ? Double.NaN : times.get((n - 1) * 95 / 100),
                n == 0 ? Double.NaN : times.get(n - 1), elsewhere, sent);
    }

    /** Returns the ratio of worth answered within the aim to worth requested in each second; valid after {@link #run}. */
    public double[] inTimeRatioBySecond() {
        return IntStream.range(0, scenario.seconds()).mapToDouble(s -> part(0, askedWorth.length, s, s + 1)).toArray();
    }

    /** Runs the scenario to its end and 3 s beyond, so that open requests get their answers. */
    public Result run() {
        long end = BEGIN + scenario.seconds() * SECOND;
        for (int g = 0; g < rates.length; g++) {
            arriveLater(places.get(g), rates[g], end);
        }
        if (scenario.fault() != null) {
            trouble(scenario.fault());
        }
        long events = time.playUntil(end);
        double places = nodes.stream().mapToInt(Node::connections).sum()
                / (double) (nodes.size() * scenario.shapes().connections());
        events += time.playUntil(end + 3 * SECOND);
        gateways.forEach(g -> g.invariants.finish(time.now()));
        long broken = gateways.stream().mapToLong(g -> g.invariants.broken()).sum();
        String breach = gateways.stream().flatMap(g -> g.invariants.breaches().stream())
                .min((a, b) -> Long.compare(a.at(), b.at())).map(Object::toString).orElse(null);
        int open = gateways.stream().mapToInt(g -> g.invariants.held()).sum();
        long handshakes = gateways.stream().mapToLong(g -> g.handshakes).sum();
        long marks = gateways.stream().mapToLong(g -> g.silentMarks).sum();
        fallen = (int) nodes.stream().filter(n -> n.fallen).count();
        double worstClass = 1;
        for (int c = 0; c < askedWorth.length; c++) {
            worstClass = Math.min(worstClass, part(c, c + 1, 0, scenario.seconds()));
        }
        double worst = 1;
        for (int s = 0; s + WINDOW <= scenario.seconds(); s++) {
            worst = Math.min(worst, part(0, askedWorth.length, s, s + WINDOW));
        }
        double n = Math.max(1, requests);
        return new Result(requests, part(0, askedWorth.length, 0, scenario.seconds()), worst, worstClass,
                refusals / Math.max(1.0, tries), tries / n, handshakes / n, places, marks / n, fallen,
                broken, breach, open, events);
    }

    /** Returns the worth answered within the aim, relative to the worth requested, over ranges of classes and seconds. */
    private double part(int fromClass, int toClass, int fromSecond, int toSecond) {
        double asked = 0;
        double served = 0;
        for (int c = fromClass; c < toClass; c++) {
            for (int s = fromSecond; s < toSecond; s++) {
                asked += askedWorth[c][s];
                served += servedWorth[c][s];
            }
        }
        return asked == 0 ? 1 : served / asked;
    }

    /** Schedules the next request of the slot's clients, as a Poisson process, unless it would come after the end. */
    private void arriveLater(Place place, double perSecond, long end) {
        double day = (double) (time.now() - BEGIN) / (scenario.seconds() * SECOND);
        double now = perSecond * (day >= 0.4 && day < 0.6 ? scenario.burst() : 1);
        long at = time.now() + (long) (exponential() * SECOND / now);
        if (at >= end) {
            return;
        }
        time.at(at, () -> {
            int c = random.nextDouble() < Scenario.PART[0] ? 0 : 1;
            Asked asked = new Asked(Scenario.CLASSES.get(c), c, place, time.now(),
                    exponential() * Scenario.WORK[c] * scenario.workScale() * MS);
            requests++;
            askedWorth[c][second(asked)] += asked.kind.worth();
            ask(asked);
            arriveLater(place, perSecond, end);
        });
    }

    /** Returns the second of the run in which the client first sent the request. */
    private static int second(Asked asked) {
        return (int) ((asked.at - BEGIN) / SECOND);
    }

    /**
     * Returns the gateway that a submission is routed to. Clients of a killed gateway are still routed to it for a while, and
     * then to other gateways of its zone. Null means that the submission reaches no gateway and fails.
     */
    private EmulatedGateway dealt(Place place) {
        if (place.gateway != null || time.now() - place.deadSince < NOTICE) {
            return place.gateway;
        }
        List<Place> others = places.stream().filter(p -> p.gateway != null && p.zone.equals(place.zone)).toList();
        return others.isEmpty() ? null : others.get(random.nextInt(others.size())).gateway;
    }

    /** Sends a request to a gateway, as a new submission with an id of its own. */
    private void ask(Asked asked) {
        String id = requests + "." + tries++;
        asked.tries++;
        byTry.put(id, asked);
        long patience = (long) (asked.kind.deadlineNanos() * scenario.clients().tryPart());
        EmulatedGateway gateway = dealt(asked.place);
        asked.gateway = gateway;
        if (gateway == null) {
            time.after(2 * CLIENT_WAY, () -> heard(id, asked, false, false));
            return;
        }
        time.after(CLIENT_WAY, () -> gateway.ask(id, asked.kind, patience));
        time.after(patience + 2 * CLIENT_WAY, () -> {
            if (byTry.containsKey(id)) {
                gateway.left(id);
                heard(id, asked, false, false);
            }
        });
    }

    /** Handles the end of a submission (answered, timed out or broken), and schedules a retry if the client has one left. */
    private void heard(String id, Asked asked, boolean served, boolean refused) {
        if (byTry.remove(id) == null || asked.over) {
            return;
        }
        refusals += refused ? 1 : 0;
        if (served) {
            asked.over = true;
            servedWorth[asked.number][second(asked)] += time.now() - asked.at <= asked.kind.aimNanos() ? asked.kind.worth() : 0;
        } else if (asked.tries <= scenario.clients().retries()) {
            double wait = scenario.clients().backoffMillis() * (1 << asked.tries - 1) * (0.5 + random.nextDouble());
            time.after((long) (wait * MS), () -> ask(asked));
        } else {
            asked.over = true;
        }
    }

    /** Schedules the start and the end of a fault. */
    private void trouble(Scenario.Fault fault) {
        long from = BEGIN + (long) (fault.fromSecond() * SECOND);
        long until = from + (long) (fault.seconds() * SECOND);
        if (fault.kind() == Scenario.FaultKind.KILLED || fault.kind() == Scenario.FaultKind.ROLLED) {
            int killed = (int) Math.round(fault.part() * places.size());
            for (int i = 0; i < killed; i++) {
                Place place = places.get(i);
                long at = fault.kind() == Scenario.FaultKind.KILLED ? from : from + (until - from) * i / killed;
                time.at(at, () -> kill(place));
            }
            return;
        }
        if (fault.kind() == Scenario.FaultKind.CUT) {
            time.at(from, () -> cut = true);
            time.at(until, () -> cut = false);
            return;
        }
        int touched = (int) Math.round(fault.part() * nodes.size());
        // Nodes of one zone come first, since machines of one location fail together.
        List<Node> hit = nodes.stream().sorted((a, b) -> a.info.zone().compareTo(b.info.zone())).limit(touched).toList();
        for (int i = 0; i < hit.size(); i++) {
            Node node = hit.get(i);
            long step = (until - from) * i / Math.max(1, hit.size());
            switch (fault.kind()) {
                case KILLED, ROLLED, CUT -> throw new IllegalStateException("not a fault of nodes: " + fault);
                case SLOW -> {
                    time.at(from, () -> node.slow(fault.size()));
                    time.at(until, () -> node.slow(1));
                }
                case SILENT -> {
                    time.at(from, () -> node.silent(true));
                    time.at(until, () -> node.silent(false));
                }
                case LOST -> {
                    time.at(from, () -> {
                        node.stop();
                        node.listed = false;
                        tellAll(gone(node));
                    });
                    time.at(until, () -> {
                        node.start();
                        node.listed = true;
                        tellAll(node.info);
                    });
                }
                case REPLACED -> time.at(from + step, () -> {
                    ServerInfo old = gone(node);
                    node.listed = false;
                    Node fresh = add(node.info.id() + "-new", node.info.zone(), node.speed, time.now());
                    tellAll(old, fresh.info);
                    time.after(3 * SECOND, node::stop);
                });
            }
        }
    }

    /** Kills the gateway process of the slot and schedules its restart. */
    private void kill(Place place) {
        EmulatedGateway gateway = place.gateway;
        place.gateway = null;
        place.deadSince = time.now();
        gateway.kill().forEach(id -> time.after(CLIENT_WAY, () -> {
            Asked asked = byTry.get(id);
            if (asked != null) {
                heard(id, asked, false, false);
            }
        }));
        time.after(START, () -> start(place));
    }

    /** Returns the node's list entry, marked as removed. */
    private static ServerInfo gone(Node node) {
        ServerInfo i = node.info;
        return new ServerInfo(i.id(), i.zone(), i.machineType(), i.cell(), Readiness.GONE, i.capacityHint(), i.startedAtNanos());
    }

    /** Sends changes of the server list to each gateway, after a random delay of its own. */
    private void tellAll(ServerInfo... changes) {
        for (EmulatedGateway gateway : gateways) {
            time.after((long) (random.nextDouble() * MOST_NEWS), () -> gateway.tell(new ListReceived(ListKind.CHANGES, List.of(changes))));
        }
    }
}
