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
    private static final int SERVER_COUNT = 10_000, GATEWAY_COUNT = 500;

    /** Whether the gateway uses only a subset of 200 servers. */
    @Param({"false", "true"})
    public boolean subset;

    private EndpointList firstList;
    private EndpointList secondList;
    private EndpointListDiffer differ;
    private EndpointListDiffer steppingDiffer = createDiffer();
    private int updateCount;

    /** Creates two lists that differ in one server of every hundred. */
    @Setup
    public void start() {
        firstList = createList(0);
        secondList = createList(1);
        differ = createDiffer();
        applyChangedList();
    }

    private EndpointListDiffer createDiffer() {
        return new EndpointListDiffer(subset ? new Subset(new Subset.FleetPosition(200, Map.of("a", GATEWAY_COUNT), "a", 7))
                : null);
    }

    private static EndpointList createList(long startedAtOfSome) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            endpoints.add(new Endpoint(new ServerInfo("node-" + i, "a", "std", 0, Readiness.READY, 1,
                    i % 100 == 0 ? startedAtOfSome : 0), new InetSocketAddress("127.0.0.1", 1 + i)));
        }
        return new EndpointList(1, true, endpoints);
    }

    /** Applies a full list in which a hundred servers differ from the list before it. */
    @Benchmark
    public Object applyChangedList() {
        differ.add(++updateCount % 2 == 0 ? firstList : secondList);
        return differ.takeAll();
    }

    /** Applies the first list of a gateway. */
    @Benchmark
    public Object applyFirstList() {
        EndpointListDiffer newDiffer = createDiffer();
        newDiffer.add(firstList);
        return newDiffer.takeAll();
    }

    /** Applies one step of the first list: the time for which the event loop is blocked without a break. */
    @Benchmark
    public Object applyStep() {
        if (!steppingDiffer.hasPending()) {
            steppingDiffer = createDiffer();
            steppingDiffer.add(firstList);
        }
        return steppingDiffer.next();
    }
}
