package cinderhollow.bench;

import cinderhollow.membership.Subset;
import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.GatewaysPerServerChanged;
import cinderhollow.policy.Protocol.ListKind;
import cinderhollow.policy.Protocol.ListReceived;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
import cinderhollow.policy.Protocol.Settings;
import cinderhollow.policy.Protocol.TimerFired;
import cinderhollow.policy.Protocol.UpstreamOptions;
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
    public record Result(ServerSelection selection, int gatewayCount, int serverCount, double maxGatewaysPerServer,
            double meanGatewaysPerServer, double inTimeRatio,
                         double servedRatio, double meanLatencyMillis, double loadDeviation, double maxLoad, double meanColdLoad,
                         double maxColdLoad, int maxQueuedWhileCold) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s, %d gateways, %d nodes: gateways a node %.1f, most %.0f (%.2f of the mean); "
                    + "in time %.2f%%, served %.2f%%, mean %.1f ms; a node's load: deviation %.2f, most %.2f of the mean; "
                    + "cold in the first 2 s: mean %.2f, most %.2f of a warm node's, most at once %d", selection, gatewayCount,
                    serverCount,
                    meanGatewaysPerServer, maxGatewaysPerServer, maxGatewaysPerServer / meanGatewaysPerServer,
                    100 * inTimeRatio, 100 * servedRatio, meanLatencyMillis,
                    loadDeviation, maxLoad, meanColdLoad, maxColdLoad, maxQueuedWhileCold);
        }
    }

    private static final long MILLISECOND_NANOS = 1_000_000L, SECOND_NANOS = 1_000 * MILLISECOND_NANOS, NETWORK_DELAY_NANOS =
            MILLISECOND_NANOS / 2, SERVICE_TIME_NANOS = 100 * MILLISECOND_NANOS;
    private static final long WARM_UP_NANOS = 8 * SECOND_NANOS, COLD_WINDOW_NANOS = 2 * SECOND_NANOS;
    private static final double SLOW_SPEED_RATIO = 0.6, COLD_SPEED_RATIO = 0.3, RESTARTED_FRACTION = 0.01;
    private static final int MAX_QUEUED = 20;
    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final RequestClass READ_CLASS =
            new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, 500 * MILLISECOND_NANOS, 2 * SECOND_NANOS, 1,
            0.5, false);

    private final ServerSelection selection;
    private final int subsetSize;
    private final double ratePerSecond;
    private final long endNanos;
    private final long restartAtNanos;
    private final SplittableRandom random;
    private final Server[] servers;
    private final Gateway[] gateways;
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>();
    private long nowNanos = 1_000 * SECOND_NANOS;
    private final long beginNanos = nowNanos;
    private long sequence;
    private long requestCount;
    private long inTimeCount;
    private long servedCount;
    private double latencySumNanos;

    private record ScheduledTask(long atNanos, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return atNanos != other.atNanos ? Long.compare(atNanos, other.atNanos) : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Server {
        private final int index;
        private final double speed;
        private ServerInfo info;
        private long startedAtNanos;
        private long freeAtNanos;
        private int queuedCount;
        private int receivedCount;
        private int receivedWhileCold;
        private int maxQueuedWhileCold;

        Server(int index, double speed) {
            this.index = index;
            this.speed = speed;
            info = createServerInfo(0);
        }

        ServerInfo createServerInfo(long startedNanos) {
            return new ServerInfo("node-" + index, ZONES.get(index % ZONES.size()), speed < 1 ? "slow" : "std", 0,
                    Readiness.READY, 1, startedNanos);
        }

        double speedAt(long now) {
            double warmth = startedAtNanos == 0 ? 1
                    : Math.min(1, COLD_SPEED_RATIO + (1 - COLD_SPEED_RATIO) * (now - startedAtNanos) / WARM_UP_NANOS);
            return speed * warmth;
        }
    }

    /**
     * Creates a fleet whose gateways use about {@code subsetSize} servers each, or all servers with {@link ServerSelection#ALL}; clients
     * offer the share {@code loadRatio} of the requests per second that all servers together can serve.
     */
    public FleetSimulation(ServerSelection selection, int gatewayCount, int serverCount, int subsetSize, double loadRatio,
            int seconds, long seed) {
        this.selection = selection;
        this.subsetSize = subsetSize;
        random = new SplittableRandom(seed);
        endNanos = beginNanos + seconds * SECOND_NANOS;
        restartAtNanos = beginNanos + seconds * SECOND_NANOS / 2;
        this.servers = new Server[serverCount];
        double requestsPerSecond = 0;
        for (int i = 0; i < serverCount; i++) {
            this.servers[i] = new Server(i, i / ZONES.size() % 3 == 0 ? SLOW_SPEED_RATIO : 1);
            requestsPerSecond += this.servers[i].speed * SECOND_NANOS / SERVICE_TIME_NANOS;
        }
        ratePerSecond = loadRatio * requestsPerSecond / gatewayCount;
        this.gateways = new Gateway[gatewayCount];
        for (int g = 0; g < gatewayCount; g++) {
            this.gateways[g] = new Gateway(g, seed);
        }
    }

    private void schedule(long atNanos, Runnable task) {
        scheduledTasks.add(new ScheduledTask(atNanos, sequence++, task));
    }

    /** Runs the simulation to its end. */
    public Result run() {
        schedule(restartAtNanos, this::restartServers);
        for (ScheduledTask nextTask = scheduledTasks.poll(); nextTask != null && nextTask.atNanos < endNanos
                + 2 * SECOND_NANOS; nextTask = scheduledTasks.poll()) {
            nowNanos = nextTask.atNanos;
            nextTask.task.run();
        }
        Map<Double, int[]> bySpeed = new HashMap<>();
        for (Server server : servers) {
            int[] sum = bySpeed.computeIfAbsent(server.speed, s -> new int[2]);
            sum[0] += server.startedAtNanos == 0 ? server.receivedCount : 0;
            sum[1] += server.startedAtNanos == 0 ? 1 : 0;
        }
        double squaredDeviations = 0;
        double maxLoad = 0;
        double coldLoadSum = 0;
        double maxColdLoad = 0;
        int maxQueued = 0;
        int warmCount = 0;
        int restartedCount = 0;
        for (Server server : servers) {
            double mean = (double) bySpeed.get(server.speed)[0] / bySpeed.get(server.speed)[1];
            if (server.startedAtNanos == 0) {
                double load = server.receivedCount / mean;
                squaredDeviations += (load - 1) * (load - 1);
                maxLoad = Math.max(maxLoad, load);
                warmCount++;
            } else {
                double load = server.receivedWhileCold / (mean * COLD_WINDOW_NANOS / (endNanos - beginNanos));
                coldLoadSum += load;
                maxColdLoad = Math.max(maxColdLoad, load);
                maxQueued = Math.max(maxQueued, server.maxQueuedWhileCold);
                restartedCount++;
            }
        }
        int[] gatewaysByServer = new int[servers.length];
        for (Gateway gateway : gateways) {
            gateway.knownServers.forEach(number -> gatewaysByServer[number]++);
        }
        int maxGateways = 0;
        double sum = 0;
        for (int count : gatewaysByServer) {
            maxGateways = Math.max(maxGateways, count);
            sum += count;
        }
        return new Result(selection, gateways.length, servers.length, maxGateways, sum / servers.length,
                (double) inTimeCount / requestCount,
                (double) servedCount / requestCount, latencySumNanos / Math.max(1, servedCount) / MILLISECOND_NANOS,
                Math.sqrt(squaredDeviations / warmCount), maxLoad,
                coldLoadSum / Math.max(1, restartedCount), maxColdLoad, maxQueued);
    }

    /** Restarts some servers, which are cold afterwards, and notifies every gateway that uses one of them. */
    private void restartServers() {
        List<ServerInfo> changes = new ArrayList<>();
        int restartStep = (int) (1 / RESTARTED_FRACTION);
        for (int i = 0; i < servers.length; i += restartStep) {
            Server server = servers[i];
            server.startedAtNanos = nowNanos;
            server.info = server.createServerInfo(nowNanos);
            changes.add(server.info);
        }
        for (Gateway gateway : gateways) {
            List<ServerInfo> ownChanges = changes.stream().filter(info -> gateway.knownServers.contains(serverIndex(info.id())))
                    .toList();
            gateway.dispatch(new ListReceived(ListKind.CHANGES, ownChanges));
        }
    }

    private static int serverIndex(String id) {
        return Integer.parseInt(id.substring(id.indexOf('-') + 1));
    }

    private final class Gateway implements Actions {
        private final LoadBalancer balancer;
        private final Set<Integer> knownServers = new HashSet<>();
        private final Map<String, Long> openedAtNanos = new HashMap<>();
        private final Map<String, Integer> attemptsByRequest = new HashMap<>();
        private final String idPrefix;
        private int requestsSent;

        Gateway(int number, long seed) {
            idPrefix = number + ".";
            List<ServerInfo> list = new ArrayList<>();
            chooseServers(number).forEach(n -> {
                knownServers.add(n);
                list.add(servers[n].info);
            });
            String zone = ZONES.get(number % ZONES.size());
            balancer = new LoadBalancer(new Settings(gateways.length, number, zone, false, 5 * MILLISECOND_NANOS,
                    List.of(READ_CLASS), List.of(), 0.1,
                    new UpstreamOptions(3, true), new Rules(20 * MILLISECOND_NANOS, 250 * MILLISECOND_NANOS, 10 * SECOND_NANOS,
                    COLD_SPEED_RATIO, WARM_UP_NANOS, 2.5, 1_500 * MILLISECOND_NANOS)),
                    seed * 31 + number, this);
            dispatch(new GatewaysPerServerChanged(gatewaysPerServer()));
            dispatch(new ListReceived(ListKind.CACHED, list));
            scheduleArrival();
        }

        /** Returns how many gateways share a server, from which the decision module computes its limits. */
        private int gatewaysPerServer() {
            return selection == ServerSelection.ALL ? gateways.length
                    : Math.max(1, (int) Math.round((double) gateways.length * subsetSize / servers.length));
        }

        private List<Integer> chooseServers(int number) {
            List<Integer> chosen = new ArrayList<>();
            if (selection == ServerSelection.SUBSETS) {
                Map<String, Integer> byZone = new HashMap<>();
                for (int g = 0; g < gateways.length; g++) {
                    byZone.merge(ZONES.get(g % ZONES.size()), 1, Integer::sum);
                }
                Subset subset = new Subset(new Subset.FleetPosition(subsetSize, byZone, ZONES.get(number % ZONES.size()),
                        number / ZONES.size()));
                Map<String, String> usable = new HashMap<>();
                for (Server server : servers) {
                    usable.put(server.info.id(), server.info.zone());
                }
                subset.update(usable, List.of());
                usable.keySet().stream().filter(subset::contains).map(FleetSimulation::serverIndex).sorted().forEach(chosen::add);
                return chosen;
            }
            for (int i = 0; i < servers.length; i++) {
                chosen.add(i);
            }
            for (int i = 0; selection == ServerSelection.RANDOM && i < subsetSize; i++) {
                int swapIndex = random.nextInt(i, servers.length);
                int swapped = chosen.get(i);
                chosen.set(i, chosen.get(swapIndex));
                chosen.set(swapIndex, swapped);
            }
            return selection == ServerSelection.RANDOM ? chosen.subList(0, subsetSize) : chosen;
        }

        private void dispatch(Event event) {
            balancer.handle(nowNanos, event);
        }

        private void scheduleArrival() {
            long arrivalNanos = nowNanos + (long) (-Math.log(1 - random.nextDouble()) * SECOND_NANOS / ratePerSecond);
            if (arrivalNanos < endNanos) {
                schedule(arrivalNanos, () -> {
                    String id = idPrefix + requestsSent++;
                    requestCount++;
                    openedAtNanos.put(id, nowNanos);
                    dispatch(new RequestArrived(id, "read", null, null, 2 * SECOND_NANOS, 0, false));
                    scheduleArrival();
                });
            }
        }

        @Override
        public void send(String request, String server, long timeoutNanos) {
            int attempt = attemptsByRequest.merge(request, 1, Integer::sum) - 1;
            long sentAtNanos = nowNanos;
            Server target = servers[serverIndex(server)];
            schedule(nowNanos + NETWORK_DELAY_NANOS, () -> {
                if (target.queuedCount >= MAX_QUEUED) {
                    schedule(nowNanos + NETWORK_DELAY_NANOS,
                            () -> endAttempt(request, attempt, server, Outcome.FULL, sentAtNanos));
                    return;
                }
                target.receivedCount++;
                target.queuedCount++;
                if (target.startedAtNanos > 0 && nowNanos < target.startedAtNanos + COLD_WINDOW_NANOS) {
                    target.receivedWhileCold++;
                    target.maxQueuedWhileCold = Math.max(target.maxQueuedWhileCold, target.queuedCount);
                }
                double workNanos = SERVICE_TIME_NANOS * (0.5 + random.nextDouble());
                target.freeAtNanos = Math.max(nowNanos, target.freeAtNanos) + (long) (workNanos / target.speedAt(nowNanos));
                schedule(target.freeAtNanos, () -> target.queuedCount--);
                boolean timedOut = target.freeAtNanos + NETWORK_DELAY_NANOS > sentAtNanos + timeoutNanos;
                schedule(timedOut ? sentAtNanos + timeoutNanos : target.freeAtNanos + NETWORK_DELAY_NANOS,
                        () -> endAttempt(request, attempt, server, timedOut ? Outcome.TIMED_OUT : Outcome.SERVED, sentAtNanos));
            });
        }

        private void endAttempt(String request, int attempt, String server, Outcome outcome, long sentAtNanos) {
            Long arrivedAtNanos = outcome == Outcome.SERVED ? openedAtNanos.remove(request) : null;
            if (arrivedAtNanos != null) {
                servedCount++;
                inTimeCount += nowNanos - arrivedAtNanos <= READ_CLASS.aimNanos() ? 1 : 0;
                latencySumNanos += nowNanos - arrivedAtNanos;
            }
            dispatch(new AttemptEnded(request, attempt, server, outcome, nowNanos - sentAtNanos,
                    !openedAtNanos.containsKey(request), null));
            if (!openedAtNanos.containsKey(request)) {
                attemptsByRequest.remove(request);
            }
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            openedAtNanos.remove(request);
        }

        @Override
        public void fail(String request) {
            openedAtNanos.remove(request);
        }

        /** Does nothing: the server goes on working, and the end of the attempt is reported when the server has finished. */
        @Override
        public void cancel(String request, int attempt) { }

        @Override
        public void setTimer(long delayNanos, long token) {
            if (nowNanos < endNanos) {
                schedule(nowNanos + delayNanos, () -> dispatch(new TimerFired(token)));
            }
        }

        @Override
        public void subscribe() { }
    }

    /** Runs each way of selection; arguments: gateways, servers, size of a subset, load, seconds, seed, each with a default. */
    public static void main(String[] args) {
        String[] parameters = {"500", "10000", "200", "0.6", "20", "1"};
        System.arraycopy(args, 0, parameters, 0, args.length);
        for (ServerSelection selection : ServerSelection.values()) {
            long startNanos = System.nanoTime();
            Result result = new FleetSimulation(selection, Integer.parseInt(parameters[0]), Integer.parseInt(parameters[1]),
                    Integer.parseInt(parameters[2]), Double.parseDouble(parameters[3]), Integer.parseInt(parameters[4]),
                    Long.parseLong(parameters[5])).run();
            System.out.printf(Locale.ROOT, "%s (%d s)%n", result, (System.nanoTime() - startNanos) / SECOND_NANOS);
        }
    }
}
