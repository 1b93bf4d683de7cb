package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.lab.NodeModel.Job;
import cinderhollow.lab.NodeModel.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the model of a stand-in node with simulated time. */
class NodeModelTest {
    private static final long MS = 1_000_000L, S = 1000 * MS;
    private static final Machine MACHINE = new Machine(1, 1, 2, 0.25, 8 * S, 2.5, 1500 * MS);

    private final List<String> started = new ArrayList<>();
    private final NodeModel node = new NodeModel(MACHINE, 100 * MS, 0, 1, 0, job -> started.add(job.id));

    private List<String> takeFinishedIds(long at) {
        return node.takeFinished(at).stream().map(job -> job.id).toList();
    }

    @Test
    void runsOneAtATimeLetsTwoWaitAndTurnsTheFourthAway() {
        for (String id : List.of("a", "b", "c")) {
            assertNotNull(node.offer(0, id, 0, 10 * MS));
        }
        assertNull(node.offer(0, "d", 0, 10 * MS));
        assertEquals(List.of("a"), started);
        assertEquals(10 * MS, node.nextFinishAtNanos());
        assertEquals(List.of("a"), takeFinishedIds(10 * MS));
        assertEquals(List.of("a", "b"), started);
        assertEquals(List.of("b", "c"), takeFinishedIds(30 * MS));
        assertEquals(0, node.jobCount());
    }

    /** Guards against running a queued request whose sender has gone; one that already runs continues. */
    @Test
    void dropsWhatWaitsAndFinishesWhatRuns() {
        Job a = node.offer(0, "a", 0, 10 * MS);
        Job b = node.offer(0, "b", 0, 10 * MS);
        node.abandon(a);
        node.abandon(b);
        assertEquals(List.of(), takeFinishedIds(100 * MS), "nobody waits for either");
        assertEquals(List.of("a"), started);
    }

    @Test
    void aSlowNodeTakesLonger() {
        node.setSlowdownFactor(4);
        node.offer(0, "a", 0, 10 * MS);
        assertEquals(40 * MS, node.nextFinishAtNanos());
    }

    @Test
    void startsColdAndWarmsWithTime() {
        assertEquals(1, node.capacityFraction(0));
        node.restart(S);
        assertEquals(0.25, node.capacityFraction(S), 1e-9);
        assertEquals(0.625, node.capacityFraction(5 * S), 1e-9);
        assertEquals(1, node.capacityFraction(9 * S), 1e-9);
        node.offer(9 * S, "a", 0, 10 * MS);
        assertEquals(9 * S + 10 * MS, node.nextFinishAtNanos());
    }

    @Test
    void warmsSoonerWithWork() {
        node.restart(0);
        long at = 0;
        for (int i = 0; i < 100; i++) {
            node.offer(at, "r" + i, 0, 10 * MS);
            at = node.nextFinishAtNanos();
            node.takeFinished(at);
        }
        assertTrue(node.capacityFraction(at) > 0.25 + 0.75 * at / (8.0 * S) + 0.05, "capacity " + node.capacityFraction(at)
                + " at " + at);
    }

    /** The budget is 2.5 times a quarter of the capacity for 1.5 s, which is 0.94 s of work, and five requests of slack. */
    @Test
    void anOverloadedColdNodeCrashesAndReportsTheWorkOfEachGateway() {
        node.restart(0);
        int sent = 0;
        while (!node.hasCrashedFromOverload() && sent < 1000) {
            node.offer(sent * MS, "r" + sent, sent % 2, 10 * MS);
            sent++;
        }
        assertTrue(sent > 94 && sent < 115, "fell after " + sent);
        Map<Integer, Double> workByGateway = node.workByGateway();
        assertEquals(workByGateway.get(0), workByGateway.get(1), 10.0 * MS);
        assertNull(node.offer(S, "late", 0, 1), "it stays down");
    }

    @Test
    void theSameWorkSpreadOverTimeDoesNotOverloadIt() {
        node.restart(0);
        for (int i = 0; i < 1000; i++) {
            node.offer(i * 20 * MS, "r" + i, 0, 10 * MS);
            node.takeFinished(i * 20 * MS);
        }
        assertFalse(node.hasCrashedFromOverload());
    }

    @Test
    void aWarmNodeNeverCrashesFromOverload() {
        for (int i = 0; i < 100_000; i++) {
            node.offer(i, "r" + i, 0, 10 * MS);
        }
        assertFalse(node.hasCrashedFromOverload());
    }

    @Test
    void reportsWhatItDidInThePeriodBefore() {
        for (int i = 0; i < 10; i++) {
            node.offer(i * 10 * MS, "r" + i, 0, 5 * MS);
            node.takeFinished(i * 10 * MS + 5 * MS);
        }
        NodeModel.LoadReport report = node.report(100 * MS);
        assertEquals(100, report.requestsPerSecond(), 1e-6);
        assertEquals(0.5, report.utilisation(), 1e-6);
    }
}
