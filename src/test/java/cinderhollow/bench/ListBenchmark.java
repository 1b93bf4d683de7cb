package cinderhollow.bench;

import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.membership.EndpointListDiffer;
import cinderhollow.membership.Subset;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
 * Measures the processing of lists of 10,000 endpoints: a full list after another, the first list, and one step of the first
 * list.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ListBenchmark {
    private static final int NODES = 10_000, GATEWAYS = 500;

    /** Whether the gateway uses only a subset of 200 servers. */
    @Param({"false", "true"})
    public boolean subset;

    private EndpointList whole;
    private EndpointList other;
    private EndpointListDiffer changes;
    private EndpointListDiffer stepping = changes();
    private int turns;

    /** Creates two lists that differ in one server of every hundred. */
    @Setup
    public void start() {
        whole = list(0);
        other = list(1);
        changes = changes();
        again();
    }

    private EndpointListDiffer changes() {
        return new EndpointListDiffer(subset ? new Subset(new Subset.FleetPosition(200, Map.of("a", GATEWAYS), "a", 7)) : null);
    }

    private static EndpointList list(long startOfSome) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            endpoints.add(new Endpoint(new ServerInfo("node-" + i, "a", "std", 0, Readiness.READY, 1,
                    i % 100 == 0 ? startOfSome : 0), new InetSocketAddress("127.0.0.1", 1 + i)));
        }
        return new EndpointList(1, true, endpoints);
    }

    /** Applies a full list in which a hundred servers differ from the list before it. */
    @Benchmark
    public Object again() {
        changes.add(++turns % 2 == 0 ? whole : other);
        return changes.takeAll();
    }

    /** Applies the first list of a gateway. */
    @Benchmark
    public Object first() {
        EndpointListDiffer anew = changes();
        anew.add(whole);
        return anew.takeAll();
    }

    /** Applies one step of the first list: the time for which the event loop is blocked without a break. */
    @Benchmark
    public Object step() {
        if (!stepping.hasPending()) {
            stepping = changes();
            stepping.add(whole);
        }
        return stepping.next();
    }
}
