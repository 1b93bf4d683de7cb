package cinderhollow.bench;

import cinderhollow.membership.Subset;
import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.UpstreamOptions;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.Protocol.GatewaysPerServerChanged;
import cinderhollow.policy.Protocol.TimerFired;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates many gateways and many servers in simulated time, with the decision module and the subsets alone. It reports how
 * evenly the servers are used, how many requests are served in time, and how much load servers get that are cold after a
 * restart. A server works on one request at a time; of three servers, two have full speed and one has 0.6 of it. A part of
 * the servers ({@code RESTARTED_FRACTION}) restarts in the middle of the run.
 */
public final class FleetSimulation {
    /** How a gateway chooses the servers that it uses. */
    public enum ServerSelection { SUBSETS, RANDOM, ALL }

    /**
     * Result of a run. A load is the number of requests that a server received, divided by the mean of the servers of its
     * speed.
     */
    public record Result(ServerSelection way, int gateways, int nodes, double maxGatewaysPerServer, double meanGatewaysPerServer, double inTimeRatio,
                         double served, double meanMillis, double loadSpread, double mostLoad, double coldLoad,
                         double maxColdLoad, int mostColdAtOnce) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s, %d gateways, %d nodes: gateways a node %.1f, most %.0f (%.2f of the mean); "
                    + "in time %.2f%%, served %.2f%%, mean %.1f ms; a node's load: deviation %.2f, most %.2f of the mean; "
                    + "cold in the first 2 s: mean %.2f, most %.2f of a warm node's, most at once %d", way, gateways, nodes,
                    meanGatewaysPerServer, maxGatewaysPerServer, maxGatewaysPerServer / meanGatewaysPerServer, 100 * inTimeRatio, 100 * served, meanMillis,
                    loadSpread, mostLoad, coldLoad, maxColdLoad, mostColdAtOnce);
        }
    }

    private static final long MS = 1_000_000L, SECOND = 1_000 * MS, WIRE_NANOS = MS / 2, WORK_NANOS = 100 * MS;
    private static final long WARM_UP = 8 * SECOND, COLD_WINDOW = 2 * SECOND;
    private static final double SLOW = 0.6, COLD = 0.3, RESTARTED = 0.01;
    private static final int MOST_QUEUED = 20;
    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final RequestClass READ = new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, 500 * MS, 2 * SECOND, 1,
            0.5, false);

    private final ServerSelection way;
    private final int size;
    private final double ratePerSecond;
    private final long end;
    private final long restartAt;
    private final SplittableRandom random;
    private final Node[] nodes;
    private final Gateway[] gateways;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long now = 1_000 * SECOND;
    private final long begin = now;
    private long sequence;
    private long asked;
    private long inTime;
    private long served;
    private double latencies;

    private record Due(long at, long sequence, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Node {
        private final int number;
        private final double speed;
        private ServerInfo info;
        private long startedAt;
        private long freeAt;
        private int queued;
        private int requests;
        private int coldRequests;
        private int mostQueued;

        Node(int number, double speed) {
            this.number = number;
            this.speed = speed;
            info = info(0);
        }

        ServerInfo info(long started) {
            return new ServerInfo("node-" + number, ZONES.get(number % ZONES.size()), speed < 1 ? "slow" : "std", 0,
                    Readiness.READY, 1, started);
        }

        double speedAt(long now) {
            double warmth = startedAt == 0 ? 1 : Math.min(1, COLD + (1 - COLD) * (now - startedAt) / WARM_UP);
            return speed * warmth;
        }
    }

    /**
     * Creates a fleet whose gateways use about {@code subsetSize} servers each, or all servers with {@link ServerSelection#ALL}; clients
     * offer the share {@code loadRatio} of the requests per second that all servers together can serve.
     */
    public FleetSimulation(ServerSelection way, int gateways, int nodes, int size, double load, int seconds, long seed) {
        this.way = way;
        this.size = size;
        random = new SplittableRandom(seed);
        end = begin + seconds * SECOND;
        restartAt = begin + seconds * SECOND / 2;
        this.nodes = new Node[nodes];
        double capacity = 0;
        for (int i = 0; i < nodes; i++) {
            this.nodes[i] = new Node(i, i / ZONES.size() % 3 == 0 ? SLOW : 1);
            capacity += this.nodes[i].speed * SECOND / WORK_NANOS;
        }
        ratePerSecond = load * capacity / gateways;
        this.gateways = new Gateway[gateways];
        for (int g = 0; g < gateways; g++) {
            this.gateways[g] = new Gateway(g, seed);
        }
    }

    private void later(long at, Runnable work) {
        due.add(new Due(at, sequence++, work));
    }

    /** Runs the simulation to its end. */
    public Result run() {
        later(restartAt, this::restart);
        for (Due next = due.poll(); next != null && next.at < end + 2 * SECOND; next = due.poll()) {
            now = next.at;
            next.work.run();
        }
        Map<Double, int[]> bySpeed = new HashMap<>();
        for (Node node : nodes) {
            int[] sum = bySpeed.computeIfAbsent(node.speed, s -> new int[2]);
            sum[0] += node.startedAt == 0 ? node.requests : 0;
            sum[1] += node.startedAt == 0 ? 1 : 0;
        }
        double squares = 0;
        double most = 0;
        double cold = 0;
        double mostCold = 0;
        int mostQueued = 0;
        int warm = 0;
        int restarted = 0;
        for (Node node : nodes) {
            double mean = (double) bySpeed.get(node.speed)[0] / bySpeed.get(node.speed)[1];
            if (node.startedAt == 0) {
                double load = node.requests / mean;
                squares += (load - 1) * (load - 1);
                most = Math.max(most, load);
                warm++;
            } else {
                double load = node.coldRequests / (mean * COLD_WINDOW / (end - begin));
                cold += load;
                mostCold = Math.max(mostCold, load);
                mostQueued = Math.max(mostQueued, node.mostQueued);
                restarted++;
            }
        }
        int[] counts = new int[nodes.length];
        for (Gateway gateway : gateways) {
            gateway.met.forEach(number -> counts[number]++);
        }
        int mostGateways = 0;
        double sum = 0;
        for (int count : counts) {
            mostGateways = Math.max(mostGateways, count);
            sum += count;
        }
        return new Result(way, gateways.length, nodes.length, mostGateways, sum / nodes.length, (double) inTime / asked,
                (double) served / asked, latencies / Math.max(1, served) / MS, Math.sqrt(squares / warm), most,
                cold / Math.max(1, restarted), mostCold, mostQueued);
    }

    /** Restarts some servers, which are cold afterwards, and notifies every gateway that uses one of them. */
    private void restart() {
        List<ServerInfo> changes = new ArrayList<>();
        int every = (int) (1 / RESTARTED);
        for (int i = 0; i < nodes.length; i += every) {
            Node node = nodes[i];
            node.startedAt = now;
            node.info = node.info(now);
            changes.add(node.info);
        }
        for (Gateway gateway : gateways) {
            List<ServerInfo> own = changes.stream().filter(info -> gateway.met.contains(number(info.id()))).toList();
            gateway.tell(new ListReceived(ListKind.CHANGES, own));
        }
    }

    private static int number(String id) {
        return Integer.parseInt(id.substring(id.indexOf('-') + 1));
    }

    private final class Gateway implements Actions {
        private final LoadBalancer choice;
        private final Set<Integer> met = new HashSet<>();
        private final Map<String, Long> open = new HashMap<>();
        private final Map<String, Integer> attempts = new HashMap<>();
        private final String prefix;
        private int requests;

        Gateway(int number, long seed) {
            prefix = number + ".";
            List<ServerInfo> list = new ArrayList<>();
            choose(number).forEach(n -> {
                met.add(n);
                list.add(nodes[n].info);
            });
            String zone = ZONES.get(number % ZONES.size());
            choice = new LoadBalancer(new Settings(gateways.length, number, zone, false, 5 * MS, List.of(READ), List.of(), 0.1,
                    new UpstreamOptions(3, true), new Rules(20 * MS, 250 * MS, 10 * SECOND, COLD, WARM_UP, 2.5, 1_500 * MS)),
                    seed * 31 + number, this);
            tell(new GatewaysPerServerChanged(sharers()));
            tell(new ListReceived(ListKind.CACHED, list));
            arriveLater();
        }

        /** Returns how many gateways share a server, from which the decision module computes its limits. */
        private int sharers() {
            return way == ServerSelection.ALL ? gateways.length
                    : Math.max(1, (int) Math.round((double) gateways.length * size / nodes.length));
        }

        private List<Integer> choose(int number) {
            List<Integer> chosen = new ArrayList<>();
            if (way == ServerSelection.SUBSETS) {
                Map<String, Integer> byZone = new HashMap<>();
                for (int g = 0; g < gateways.length; g++) {
                    byZone.merge(ZONES.get(g % ZONES.size()), 1, Integer::sum);
                }
                Subset subset = new Subset(new Subset.FleetPosition(size, byZone, ZONES.get(number % ZONES.size()),
                        number / ZONES.size()));
                Map<String, String> usable = new HashMap<>();
                for (Node node : nodes) {
                    usable.put(node.info.id(), node.info.zone());
                }
                subset.update(usable, List.of());
                usable.keySet().stream().filter(subset::contains).map(FleetSimulation::number).sorted().forEach(chosen::add);
                return chosen;
            }
            for (int i = 0; i < nodes.length; i++) {
                chosen.add(i);
            }
            for (int i = 0; way == ServerSelection.RANDOM && i < size; i++) {
                int other = random.nextInt(i, nodes.length);
                int swapped = chosen.get(i);
                chosen.set(i, chosen.get(other));
                chosen.set(other, swapped);
            }
            return way == ServerSelection.RANDOM ? chosen.subList(0, size) : chosen;
        }

        private void tell(Event event) {
            choice.handle(now, event);
        }

        private void arriveLater() {
            long at = now + (long) (-Math.log(1 - random.nextDouble()) * SECOND / ratePerSecond);
            if (at < end) {
                later(at, () -> {
                    String id = prefix + requests++;
                    asked++;
                    open.put(id, now);
                    tell(new RequestArrived(id, "read", null, null, 2 * SECOND, 0, false));
                    arriveLater();
                });
            }
        }

        @Override
        public void send(String request, String server, long timeoutNanos) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            long sent = now;
            Node node = nodes[number(server)];
            later(now + WIRE_NANOS, () -> {
                if (node.queued >= MOST_QUEUED) {
                    later(now + WIRE_NANOS, () -> over(request, attempt, server, Outcome.FULL, sent));
                    return;
                }
                node.requests++;
                node.queued++;
                if (node.startedAt > 0 && now < node.startedAt + COLD_WINDOW) {
                    node.coldRequests++;
                    node.mostQueued = Math.max(node.mostQueued, node.queued);
                }
                double work = WORK_NANOS * (0.5 + random.nextDouble());
                node.freeAt = Math.max(now, node.freeAt) + (long) (work / node.speedAt(now));
                later(node.freeAt, () -> node.queued--);
                boolean late = node.freeAt + WIRE_NANOS > sent + timeoutNanos;
                later(late ? sent + timeoutNanos : node.freeAt + WIRE_NANOS,
                        () -> over(request, attempt, server, late ? Outcome.TIMED_OUT : Outcome.SERVED, sent));
            });
        }

        private void over(String request, int attempt, String server, Outcome outcome, long sent) {
            Long since = outcome == Outcome.SERVED ? open.remove(request) : null;
            if (since != null) {
                served++;
                inTime += now - since <= READ.aimNanos() ? 1 : 0;
                latencies += now - since;
            }
            tell(new AttemptEnded(request, attempt, server, outcome, now - sent, !open.containsKey(request), null));
            if (!open.containsKey(request)) {
                attempts.remove(request);
            }
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            open.remove(request);
        }

        @Override
        public void fail(String request) {
            open.remove(request);
        }

        /** Does nothing: the server goes on working, and the end of the attempt is reported when the server has finished. */
        @Override
        public void cancel(String request, int attempt) { }

        @Override
        public void setTimer(long delayNanos, long token) {
            if (now < end) {
                later(now + delayNanos, () -> tell(new TimerFired(token)));
            }
        }

        @Override
        public void subscribe() { }
    }

    /** Runs each way of selection; arguments: gateways, servers, size of a subset, load, seconds, seed, each with a default. */
    public static void main(String[] args) {
        String[] given = {"500", "10000", "200", "0.6", "20", "1"};
        System.arraycopy(args, 0, given, 0, args.length);
        for (ServerSelection way : ServerSelection.values()) {
            long begin = System.nanoTime();
            Result result = new FleetSimulation(way, Integer.parseInt(given[0]), Integer.parseInt(given[1]),
                    Integer.parseInt(given[2]), Double.parseDouble(given[3]), Integer.parseInt(given[4]),
                    Long.parseLong(given[5])).run();
            System.out.printf(Locale.ROOT, "%s (%d s)%n", result, (System.nanoTime() - begin) / SECOND);
        }
    }
}
