package cinderhollow.bench;

import cinderhollow.policy.LoadBalancer;
import cinderhollow.policy.Protocol.Actions;
import cinderhollow.policy.Protocol.AttemptEnded;
import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of the decisions on one request: its arrival, its sending and its end, with its part of the sweeps and
 * ticks at 10,000 requests per second of simulated time, with 8 requests in flight all the time. The command is in
 * {@code docs/PERFORMANCE.md}.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {
    private static final long MILLISECOND_NANOS = 1_000_000L, REQUEST_INTERVAL_NANOS = 100_000L, RESPONSE_LATENCY_NANOS =
            8 * REQUEST_INTERVAL_NANOS;
    private static final RequestClass READ_CLASS =
            new RequestClass("read", Effect.SAFE, DedupGroup.ALL, 0, 500 * MILLISECOND_NANOS, 2_000 * MILLISECOND_NANOS, 1,
            0.5, false);

    /** Number of servers in the list. */
    @Param({"10", "100", "1000", "10000"})
    public int nodes;

    private final PriorityQueue<long[]> timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    private final ArrayDeque<String[]> inFlight = new ArrayDeque<>();
    private LoadBalancer balancer;
    private long nowNanos = 100_000 * MILLISECOND_NANOS;
    private long requestCount;
    private int changeCount;

    /** Creates a fleet in two zones in which no server is cold. */
    @Setup
    public void start() {
        Settings settings = new Settings(1, 0, "a", false, 5 * MILLISECOND_NANOS, List.of(READ_CLASS), List.of(), 0.1,
                new UpstreamOptions(4, true),
                new Rules(20 * MILLISECOND_NANOS, 250 * MILLISECOND_NANOS, 10_000 * MILLISECOND_NANOS, 0.2,
                20_000 * MILLISECOND_NANOS, 2.5, 1_500 * MILLISECOND_NANOS));
        balancer = new LoadBalancer(settings, 7, new BenchmarkActions());
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            list.add(server(i, Readiness.READY));
        }
        balancer.handle(nowNanos, new ListReceived(ListKind.CACHED, list));
    }

    private static ServerInfo server(int i, Readiness readiness) {
        return new ServerInfo("s" + i, i % 2 == 0 ? "a" : "b", "k", 0, readiness, 1, 0);
    }

    /** Sends one request and ends one that was sent before it. */
    @Benchmark
    public void decideRequest() {
        nowNanos += REQUEST_INTERVAL_NANOS;
        while (!timers.isEmpty() && timers.peek()[0] <= nowNanos) {
            balancer.handle(nowNanos, new TimerFired(timers.poll()[1]));
        }
        balancer.handle(nowNanos, new RequestArrived("r" + requestCount++, "read", null, null, 2_000 * MILLISECOND_NANOS, 0,
                false));
        if (inFlight.size() > 8) {
            String[] first = inFlight.poll();
            balancer.handle(nowNanos, new AttemptEnded(first[0], 0, first[1], Outcome.SERVED, RESPONSE_LATENCY_NANOS, true,
                    null));
        }
    }

    /** Removes one server from the list or puts it back. */
    @Benchmark
    public void changeServer() {
        nowNanos += REQUEST_INTERVAL_NANOS;
        int i = ++changeCount / 2 % nodes;
        balancer.handle(nowNanos, new ListReceived(ListKind.CHANGES,
                List.of(server(i, changeCount % 2 == 0 ? Readiness.GONE : Readiness.READY))));
    }

    private final class BenchmarkActions implements Actions {
        @Override
        public void send(String request, String server, long timeoutNanos) {
            inFlight.add(new String[] {request, server});
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            throw new IllegalStateException("refused " + request);
        }

        @Override
        public void fail(String request) {
            throw new IllegalStateException("failed " + request);
        }

        @Override
        public void cancel(String request, int attempt) {
            throw new IllegalStateException("called off " + request);
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            timers.add(new long[] {nowNanos + delayNanos, token});
        }

        @Override
        public void subscribe() { }
    }
}
