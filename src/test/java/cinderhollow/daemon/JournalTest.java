package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.ledger.JournalFrame;
import cinderhollow.ledger.JournalRecovery;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.LedgerPlace;
import cinderhollow.ledger.RequestEnd;
import cinderhollow.testing.Await;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The journal on a working disk, with torn files or flipped bits, and on a disk that is full, stalled or not usable. */
class JournalTest {
    private static final long SYNC_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    @TempDir
    private Path folder;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Ledger ledger = new Ledger(List.of("class status", "class submit"));
    private final List<String> log = new CopyOnWriteArrayList<>();
    /** Open requests by number; used on the event loop only. */
    private final Map<Long, String> openRequests = new LinkedHashMap<>();
    private long lastRequestNumber;

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private Journal openJournal(Journal.OutputFactory outputFactory, long maxSegmentBytes) throws Exception {
        return loop.submit(() -> Journal.open(loop, new LoopLedgerConfig(0, folder, SYNC_INTERVAL_NANOS, maxSegmentBytes, 0, 1),
                outputFactory, ledger,
                this::writeOpenRequests, log::add)).get();
    }

    private void writeOpenRequests(JournalFrame frame) {
        openRequests.forEach((request, id) -> frame.writeOpenRequest(request, 1, id));
    }

    /** Records on the event loop that {@code openCount} requests begin and {@code endCount} of the open ones end. */
    private void recordRequests(Journal journal, int openCount, int endCount) throws Exception {
        loop.submit(() -> {
            for (int i = 0; i < openCount; i++) {
                String id = "id-" + ++lastRequestNumber;
                ledger.counters(LedgerPlace.CORE).recordOpened(1, id);
                openRequests.put(lastRequestNumber, id);
                journal.recordOpened(lastRequestNumber, 1, id);
            }
            for (long requestNumber : List.copyOf(openRequests.keySet()).subList(0, endCount)) {
                ledger.counters(LedgerPlace.CORE).recordEnded(1, RequestEnd.SERVED, openRequests.remove(requestNumber));
                journal.recordEnded(requestNumber, RequestEnd.SERVED);
            }
        }).sync();
    }

    private Set<String> openIds() throws Exception {
        return loop.submit(() -> new HashSet<>(openRequests.values())).get();
    }

    private static Set<String> readOrphanIds(Path directory) {
        try {
            Set<String> ids = new HashSet<>();
            EarlierRuns.read(directory, List.of(0)).orphans().forEach(orphan -> ids.add(orphan.id()));
            return ids;
        } catch (IOException e) {
            return Set.of("unread: " + e);
        }
    }

    /** Waits until a next process, if this one were killed now, would find exactly the open requests in the journal. */
    private void awaitOpenRequestsOnDisk() throws Exception {
        Set<String> expected = openIds();
        Await.until("the journal", () -> readOrphanIds(folder).equals(expected));
    }

    private List<Path> segmentFiles() throws IOException {
        return JournalFiles.listSegments(folder, 0).stream().map(JournalFiles.Segment::path).toList();
    }

    @Test
    void orphansAreExactAfterAKillAndSumsContinueOverRuns() throws Exception {
        Journal first = openJournal(Journal.FILE_OUTPUTS, 1 << 20);
        recordRequests(first, 500, 300);
        awaitOpenRequestsOnDisk();
        assertEquals(200, openIds().size());
        assertEquals(0, first.lostEntries());
        // Reads the journal as the next process would, in a copy, because the running journal holds the lock of the directory.
        Path copy = Files.createDirectory(folder.resolve("copy"));
        for (Path file : segmentFiles()) {
            Files.copy(file, copy.resolve(file.getFileName()));
        }
        EarlierRuns earlierRuns = EarlierRuns.read(copy, JournalFiles.listLoops(copy));
        earlierRuns.writeOrphans(copy);
        assertEquals(200, Files.readAllLines(copy.resolve(EarlierRuns.ORPHANS_FILE)).size());
        assertEquals(500, earlierRuns.totals().get(0).taken());
        assertEquals(200, earlierRuns.totals().get(0).orphaned());
        assertTrue(earlierRuns.totals().get(0).isBalanced());
        assertTrue(earlierRuns.logLines().get(0).startsWith("200 requests were open when the last run ended"),
                earlierRuns.logLines().toString());
    }

    @Test
    void aCleanShutdownLeavesNoOrphansAndTheNextRunContinuesTheSums() throws Exception {
        Journal first = openJournal(Journal.FILE_OUTPUTS, 1 << 20);
        recordRequests(first, 40, 40);
        loop.submit(first::shutDown).get().get(10, TimeUnit.SECONDS);
        Journal second = openJournal(Journal.FILE_OUTPUTS, 1 << 20);
        assertEquals(List.of(), log);
        assertEquals(40, second.earlierTotals().get(0).taken());
        Await.until("only the new life's file", () -> segmentFiles().size() == 1);
        loop.submit(second::shutDown).get().get(10, TimeUnit.SECONDS);
        assertEquals(Set.of(), readOrphanIds(folder));
    }

    @Test
    void filesAreRotatedAndBounded() throws Exception {
        Journal journal = openJournal(Journal.FILE_OUTPUTS, 1 << 16);
        for (int round = 0; round < 200; round++) {
            recordRequests(journal, 400, 390);
            assertTrue(segmentFiles().size() <= 3, segmentFiles().toString());
            if (round % 10 == 0) {
                // Without this wait a journal thread that gets no CPU would write everything at once, into one file.
                awaitOpenRequestsOnDisk();
            }
        }
        awaitOpenRequestsOnDisk();
        assertEquals(2_000, openIds().size());
        assertEquals(80_000, EarlierRuns.read(folder, List.of(0)).totals().get(0).taken());
        long newest = JournalFiles.listSegments(folder, 0).get(0).number();
        assertTrue(newest > 5, "rotated " + newest + " times");
    }

    /** A file that is cut off anywhere or has any bit flipped is read as far as it can be trusted, and the damage is reported. */
    @Test
    void tornTailsAndFlippedBitsAreReportedAndNeverTrusted() throws Exception {
        Journal journal = openJournal(Journal.FILE_OUTPUTS, 1 << 20);
        for (int i = 0; i < 20; i++) {
            recordRequests(journal, 10, 7);
            awaitOpenRequestsOnDisk();
        }
        byte[] intactBytes = Files.readAllBytes(segmentFiles().get(0));
        SplittableRandom random = new SplittableRandom(5);
        Path file = folder.resolve("bad");
        for (int i = 0; i < 500; i++) {
            int cut = random.nextInt(1, intactBytes.length);
            Files.write(file, Arrays.copyOf(intactBytes, cut));
            JournalRecovery tornRecovery = new JournalRecovery();
            String problem = JournalFiles.read(file, tornRecovery);
            assertTrue(problem == null || problem.contains("an incomplete frame"), problem);
            tornRecovery.totalsIncludingThisRun().forEach(life -> assertTrue(life.isBalanced()));
            byte[] flippedBytes = intactBytes.clone();
            int bit = random.nextInt(8 * intactBytes.length);
            flippedBytes[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(file, flippedBytes);
            JournalRecovery flippedRecovery = new JournalRecovery();
            assertNotNull(JournalFiles.read(file, flippedRecovery), "bit " + bit);
            flippedRecovery.totalsIncludingThisRun().forEach(life -> assertTrue(life.isBalanced()));
        }
    }

    /** A newer file whose beginning is incomplete is ignored: the file before it still has everything. */
    @Test
    void anIncompleteSegmentLeavesThePreviousOneInForce() throws Exception {
        Journal journal = openJournal(Journal.FILE_OUTPUTS, 1 << 20);
        recordRequests(journal, 9, 2);
        awaitOpenRequestsOnDisk();
        Path completeSegment = segmentFiles().get(0);
        Path cutOffSegment = JournalFiles.segmentPath(folder, 0,
                Long.parseLong(completeSegment.getFileName().toString().split("-")[2]), 1);
        Files.write(cutOffSegment, Arrays.copyOf(Files.readAllBytes(completeSegment), 20));
        assertEquals(openIds(), readOrphanIds(folder));
        Path unreadableSegment = JournalFiles.segmentPath(folder, 0, 9_999_999_999_999L, 0);
        Files.write(unreadableSegment, new byte[100]);
        assertEquals(openIds(), readOrphanIds(folder));
        assertTrue(EarlierRuns.read(folder, List.of(0)).logLines().stream()
                .anyMatch(line -> line.startsWith(unreadableSegment.getFileName() + ": ")));
    }

    /** Behaviour of a write on a faulty disk. */
    private interface WriteBehaviour {
        void write(Journal.Output real, ByteBuffer bytes) throws IOException;
    }

    private static Journal.OutputFactory faultyOutputs(WriteBehaviour behaviour) {
        return file -> {
            Journal.Output real = Journal.FILE_OUTPUTS.create(file);
            return new Journal.Output() {
                @Override
                public void write(ByteBuffer bytes) throws IOException {
                    behaviour.write(real, bytes);
                }

                @Override
                public void sync() throws IOException {
                    real.sync();
                }

                @Override
                public void close() throws IOException {
                    real.close();
                }
            };
        };
    }

    /**
     * A full disk is reported once and requests are still served; once there is space again, a complete checkpoint is
     * written.
     */
    @Test
    void entriesLostOnAFullDiskAreMadeUpForByACheckpoint() throws Exception {
        AtomicBoolean isFull = new AtomicBoolean();
        Journal.OutputFactory outputFactory = faultyOutputs((real, bytes) -> {
            if (isFull.get()) {
                // A part of the bytes still fits, so the file ends with a torn record.
                real.write(bytes.slice(bytes.position(), bytes.remaining() / 2));
                throw new IOException("No space left on device");
            }
            real.write(bytes);
        });
        Journal journal = openJournal(outputFactory, 1 << 20);
        recordRequests(journal, 20, 10);
        awaitOpenRequestsOnDisk();
        isFull.set(true);
        Await.until("the trouble", () -> {
            recordRequests(journal, 2, 1);
            return journal.lostEntries() > 0;
        });
        isFull.set(false);
        Await.until("the journal goes on", () -> {
            recordRequests(journal, 2, 1);
            return log.stream().anyMatch(line -> line.endsWith("writing again"));
        });
        awaitOpenRequestsOnDisk();
        assertEquals(1, log.stream().filter(line -> line.contains("No space left on device")).count());
        assertTrue(EarlierRuns.read(folder, List.of(0)).totals().get(0).isBalanced());
    }

    /** While a latch blocks the disk, the event loop runs on and memory is bounded; lost entries are made up for afterwards. */
    @Test
    void aStalledDiskDoesNotBlockTheLoop() throws Exception {
        CountDownLatch resumeDisk = new CountDownLatch(1);
        Journal.OutputFactory outputFactory = faultyOutputs((real, bytes) -> {
            try {
                resumeDisk.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            real.write(bytes);
        });
        Journal journal = openJournal(outputFactory, 1 << 26);
        for (int i = 0; i < 300; i++) {
            recordRequests(journal, 1_000, 1_000);
        }
        recordRequests(journal, 7, 0);
        assertTrue(loop.submit(journal::lostEntries).get() > 0, "lost, since 64 frames are all that wait");
        resumeDisk.countDown();
        awaitOpenRequestsOnDisk();
        assertEquals(300_007, EarlierRuns.read(folder, List.of(0)).totals().get(0).taken());
    }

    @Test
    void anUnusableOrLockedDirectoryIsReportedAndNotFatal() throws Exception {
        Journal first = openJournal(Journal.FILE_OUTPUTS, 1 << 20);
        assertNotNull(first);
        assertNull(openJournal(Journal.FILE_OUTPUTS, 1 << 20));
        assertTrue(log.get(0).contains("can't be used: this process already writes a journal there"), log.toString());
        loop.submit(first::shutDown).get().get(10, TimeUnit.SECONDS);
        Path file = Files.createFile(folder.resolve("file"));
        assertNull(loop.submit(() -> Journal.open(loop, new LoopLedgerConfig(0, file, SYNC_INTERVAL_NANOS, 1 << 20, 0, 1),
                Journal.FILE_OUTPUTS,
                ledger, this::writeOpenRequests, log::add)).get());
    }
}
