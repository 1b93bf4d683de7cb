package cinderhollow.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Recovery yields what was written, at every frame, and rejects invalid entries without losing the ones before. */
class JournalRecoveryTest {
    private static final List<String> ACCOUNTS = List.of("class status", "class submit", "POST /günü");

    private final Ledger ledger = new Ledger(ACCOUNTS);
    private final Map<Long, String> openRequestIds = new LinkedHashMap<>();
    private final Map<Long, Integer> accountNumbers = new LinkedHashMap<>();
    private long lastRequestNumber;

    private static JournalFrame createHeader(long epoch, long segmentNumber) {
        JournalFrame frame = new JournalFrame(8);
        frame.writeHeader(epoch, 77, segmentNumber);
        return frame;
    }

    /** Begins and ends random requests, both in the ledger and in the frame. */
    private void runRandomRequests(SplittableRandom random, JournalFrame frame, int steps) {
        for (int i = 0; i < steps; i++) {
            if (openRequestIds.isEmpty() || random.nextInt(5) < 3) {
                int account = random.nextInt(ACCOUNTS.size());
                String id = "id-" + ++lastRequestNumber;
                ledger.counters(LedgerPlace.CORE).recordOpened(account, id);
                frame.writeOpened(lastRequestNumber, account, id);
                openRequestIds.put(lastRequestNumber, id);
                accountNumbers.put(lastRequestNumber, account);
            } else {
                long endedRequest = List.copyOf(openRequestIds.keySet()).get(random.nextInt(openRequestIds.size()));
                RequestEnd end = RequestEnd.values()[random.nextInt(RequestEnd.values().length)];
                ledger.counters(LedgerPlace.CORE)
                        .recordEnded(accountNumbers.get(endedRequest), end, openRequestIds.get(endedRequest));
                frame.writeEnded(endedRequest, end);
                openRequestIds.remove(endedRequest);
            }
        }
    }

    private JournalFrame createCheckpoint(List<EarlierRunTotals> earlierTotals) {
        JournalFrame frame = new JournalFrame(8);
        frame.writeCheckpoint(ledger, earlierTotals);
        openRequestIds.forEach((request, id) -> frame.writeOpenRequest(request, accountNumbers.get(request), id));
        return frame;
    }

    private static void readFrame(JournalRecovery recovery, JournalFrame frame) {
        recovery.readFrame(frame.bytes(), frame.length());
    }

    private void assertRecovered(JournalRecovery recovery, List<EarlierRunTotals> earlierTotals) {
        assertEquals(List.copyOf(openRequestIds.values()), recovery.orphans().stream().map(JournalRecovery.Orphan::id).toList());
        long takenEarlier = earlierTotals.stream().mapToLong(EarlierRunTotals::taken).sum();
        assertEquals(takenEarlier + lastRequestNumber, recovery.totalsIncludingThisRun().stream()
                .mapToLong(EarlierRunTotals::taken).sum());
        recovery.totalsIncludingThisRun().forEach(totals -> assertTrue(totals.isBalanced(), totals.toString()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatIsReadBackIsWhatWasWritten(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<EarlierRunTotals> earlierTotals = List.of(new EarlierRunTotals("class gone", 5, List.of(1L, 1L, 1L, 1L), 1),
                new EarlierRunTotals("class submit", 3, List.of(3L, 0L, 0L, 0L), 0));
        JournalRecovery recovery = new JournalRecovery();
        readFrame(recovery, createHeader(1, 0));
        readFrame(recovery, createCheckpoint(earlierTotals));
        for (int round = 0; round < 200; round++) {
            JournalFrame frame = new JournalFrame(8);
            runRandomRequests(random, frame, random.nextInt(40));
            readFrame(recovery, frame);
            if (random.nextInt(20) == 0) {
                JournalRecovery fromCheckpoint = new JournalRecovery();
                readFrame(fromCheckpoint, createHeader(1, 1));
                readFrame(fromCheckpoint, createCheckpoint(earlierTotals));
                assertRecovered(fromCheckpoint, earlierTotals);
                recovery = fromCheckpoint;
            }
            assertRecovered(recovery, earlierTotals);
        }
        assertTrue(recovery.hasCheckpoint() && !recovery.hasEndedCleanly());
        assertEquals(1, recovery.epochMillis());
    }

    /** The process is killed several times in a row; guards against losing or double-counting requests of an earlier run. */
    @Test
    void totalsOverSeveralRunsAddUp() {
        List<EarlierRunTotals> earlierTotals = List.of();
        long taken = 0;
        long orphaned = 0;
        for (int run = 0; run < 5; run++) {
            JournalRecoveryTest runState = new JournalRecoveryTest();
            JournalRecovery recovery = new JournalRecovery();
            readFrame(recovery, createHeader(run, 0));
            readFrame(recovery, runState.createCheckpoint(earlierTotals));
            JournalFrame frame = new JournalFrame(8);
            runState.runRandomRequests(new SplittableRandom(run), frame, 300);
            readFrame(recovery, frame);
            taken += runState.lastRequestNumber;
            orphaned += runState.openRequestIds.size();
            earlierTotals = List.copyOf(recovery.totalsIncludingThisRun());
        }
        assertEquals(taken, earlierTotals.stream().mapToLong(EarlierRunTotals::taken).sum());
        assertEquals(orphaned, earlierTotals.stream().mapToLong(EarlierRunTotals::orphaned).sum());
        assertTrue(orphaned > 0);
        earlierTotals.forEach(run -> assertTrue(run.isBalanced()));
    }

    @Test
    void impossibleEntriesAreRejected() {
        JournalRecovery recovery = new JournalRecovery();
        JournalFrame unknownType = new JournalFrame(8);
        unknownType.writeCleanEnd();
        unknownType.bytes()[0] = 99;
        assertThrows(IllegalArgumentException.class, () -> readFrame(recovery, unknownType));
        JournalFrame unknownRequest = new JournalFrame(8);
        unknownRequest.writeEnded(4, RequestEnd.SERVED);
        assertThrows(IllegalArgumentException.class, () -> readFrame(recovery, unknownRequest));
        JournalFrame unknownAccount = new JournalFrame(8);
        unknownAccount.writeOpened(1, 2, "x");
        assertThrows(IllegalArgumentException.class, () -> readFrame(recovery, unknownAccount));
        JournalFrame openedTwice = createCheckpoint(List.of());
        openedTwice.writeOpened(1, 0, "x");
        openedTwice.writeOpened(1, 0, "x");
        assertThrows(IllegalArgumentException.class, () -> readFrame(recovery, openedTwice));
        JournalFrame otherVersion = createHeader(1, 0);
        int versionOffset = 2 + JournalFrame.MAGIC.length();
        otherVersion.bytes()[versionOffset] = 2;
        assertTrue(assertThrows(IllegalArgumentException.class, () -> readFrame(recovery, otherVersion)).getMessage()
                .contains("version 2"));
    }

    /** A corrupt frame is read or rejected with IllegalArgumentException; guards against other exceptions and endless loops. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void corruptFramesCauseNoOtherException(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        JournalFrame intactFrame = createCheckpoint(List.of(new EarlierRunTotals("class gone", 5, List.of(1L, 1L, 1L, 1L), 1)));
        runRandomRequests(random, intactFrame, 200);
        int rejectedCount = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = Arrays.copyOf(intactFrame.bytes(), random.nextInt(1, intactFrame.length() + 1));
            for (int flips = random.nextInt(4); flips >= 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            try {
                new JournalRecovery().readFrame(bytes, bytes.length);
            } catch (IllegalArgumentException e) {
                rejectedCount++;
            }
        }
        assertTrue(rejectedCount > 1_000, "rejected " + rejectedCount);
    }

    @Test
    void lostEntriesAndACleanEndAreRecovered() {
        JournalRecovery recovery = new JournalRecovery();
        readFrame(recovery, createHeader(3, 9));
        JournalFrame frame = createCheckpoint(List.of());
        frame.writeLostEntries(12);
        frame.writeCleanEnd();
        readFrame(recovery, frame);
        assertEquals(12, recovery.lostEntries());
        assertEquals(9, recovery.segmentNumber());
        assertTrue(recovery.hasEndedCleanly());
        assertEquals(new ArrayList<>(), new ArrayList<>(recovery.totalsIncludingThisRun()));
    }
}
