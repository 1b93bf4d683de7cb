package cinderhollow.bench;

import cinderhollow.ledger.JournalFrame;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.LedgerPlace;
import cinderhollow.ledger.RequestEnd;
import cinderhollow.policy.Protocol.Outcome;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the cost of the ledger for a request with one attempt, at all four places; with {@code -prof gc} also in bytes. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class LedgerBenchmark {
    private static final String REQUEST_ID = "0f8fad5b-d9cb-469f-a165-70867728950e";
    private static final int FRAME_CAPACITY_BYTES = 1 << 15;

    private final Ledger ledger = new Ledger(List.of("class status", "class submit"));
    private final JournalFrame frame = new JournalFrame(2 * FRAME_CAPACITY_BYTES);
    private long requestNumber;

    /** Updates the counters, the ring and the histogram for one request. */
    @Benchmark
    public long countRequest() {
        int account = (int) (++requestNumber % 2);
        ledger.counters(LedgerPlace.CORE).recordOpened(account, REQUEST_ID);
        ledger.counters(LedgerPlace.ATTEMPTS).recordOpened(account, REQUEST_ID);
        ledger.counters(LedgerPlace.NODES).recordOpened(account, REQUEST_ID);
        ledger.counters(LedgerPlace.CLIENTS).recordOpened(account, REQUEST_ID);
        ledger.counters(LedgerPlace.NODES).recordEnded(account, Outcome.SERVED, REQUEST_ID);
        ledger.counters(LedgerPlace.ATTEMPTS).recordEnded(account, Outcome.SERVED, REQUEST_ID);
        ledger.counters(LedgerPlace.CORE).recordEnded(account, RequestEnd.SERVED, REQUEST_ID);
        ledger.counters(LedgerPlace.CLIENTS).recordEnded(account, RequestEnd.SERVED, REQUEST_ID);
        ledger.recordLatency(account, 1_000_000 + requestNumber % 1_000 * 1_000);
        return ledger.counters(LedgerPlace.CORE).openedCount(account);
    }

    /** Writes the two journal entries of one request. */
    @Benchmark
    public int journalRequest() {
        requestNumber++;
        frame.writeOpened(requestNumber, 1, REQUEST_ID);
        frame.writeEnded(requestNumber, RequestEnd.SERVED);
        if (frame.length() >= FRAME_CAPACITY_BYTES) {
            frame.clear();
        }
        return frame.length();
    }
}
