package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that the benchmark runs and reports a result; the figures don't matter here. */
class LoadBenchmarkTest {
    @ParameterizedTest
    @EnumSource(LoadBenchmark.Target.class)
    void aGatewayAndRelaysAreMeasured(LoadBenchmark.Target target) throws Exception {
        try (LoadBenchmark benchmark = new LoadBenchmark(20, 4, target, 50, null, null, List.of("-Xmx128m"))) {
            String line = benchmark.run(3, 1);
            assertTrue(line.matches(target + ", 20 nodes, 4 connections: [1-9][0-9]* a second, .*"), line);
            assertTrue(line.contains(" 0 of "), line);
        }
    }
}
