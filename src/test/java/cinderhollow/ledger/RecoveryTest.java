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
class RecoveryTest {
    private static final List<String> ACCOUNTS = List.of("class status", "class submit", "POST /günü");

    private final Ledger ledger = new Ledger(ACCOUNTS);
    private final Map<Long, String> open = new LinkedHashMap<>();
    private final Map<Long, Integer> accounts = new LinkedHashMap<>();
    private long number;

    private static JournalFrame header(long epoch, long file) {
        JournalFrame frame = new JournalFrame(8);
        frame.writeHeader(epoch, 77, file);
        return frame;
    }

    /** Begins and ends random requests, both in the ledger and in the frame. */
    private void play(SplittableRandom random, JournalFrame frame, int steps) {
        for (int i = 0; i < steps; i++) {
            if (open.isEmpty() || random.nextInt(5) < 3) {
                int account = random.nextInt(ACCOUNTS.size());
                String id = "id-" + ++number;
                ledger.counters(LedgerPlace.CORE).recordOpened(account, id);
                frame.writeOpened(number, account, id);
                open.put(number, id);
                accounts.put(number, account);
            } else {
                long over = List.copyOf(open.keySet()).get(random.nextInt(open.size()));
                RequestEnd end = RequestEnd.values()[random.nextInt(RequestEnd.values().length)];
                ledger.counters(LedgerPlace.CORE).recordEnded(accounts.get(over), end, open.get(over));
                frame.writeEnded(over, end);
                open.remove(over);
            }
        }
    }

    private JournalFrame all(List<EarlierRunTotals> earlier) {
        JournalFrame frame = new JournalFrame(8);
        frame.writeCheckpoint(ledger, earlier);
        open.forEach((request, id) -> frame.writeOpenRequest(request, accounts.get(request), id));
        return frame;
    }

    private static void read(JournalRecovery recovery, JournalFrame frame) {
        recovery.readFrame(frame.bytes(), frame.length());
    }

    private void assertKnows(JournalRecovery recovery, List<EarlierRunTotals> earlier) {
        assertEquals(List.copyOf(open.values()), recovery.orphans().stream().map(JournalRecovery.Orphan::id).toList());
        long before = earlier.stream().mapToLong(EarlierRunTotals::taken).sum();
        assertEquals(before + number, recovery.totalsIncludingThisRun().stream().mapToLong(EarlierRunTotals::taken).sum());
        recovery.totalsIncludingThisRun().forEach(life -> assertTrue(life.isBalanced(), life.toString()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void whatIsReadBackIsWhatWasWritten(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<EarlierRunTotals> earlier = List.of(new EarlierRunTotals("class gone", 5, List.of(1L, 1L, 1L, 1L), 1),
                new EarlierRunTotals("class submit", 3, List.of(3L, 0L, 0L, 0L), 0));
        JournalRecovery recovery = new JournalRecovery();
        read(recovery, header(1, 0));
        read(recovery, all(earlier));
        for (int round = 0; round < 200; round++) {
            JournalFrame frame = new JournalFrame(8);
            play(random, frame, random.nextInt(40));
            read(recovery, frame);
            if (random.nextInt(20) == 0) {
                JournalRecovery anew = new JournalRecovery();
                read(anew, header(1, 1));
                read(anew, all(earlier));
                assertKnows(anew, earlier);
                recovery = anew;
            }
            assertKnows(recovery, earlier);
        }
        assertTrue(recovery.hasCheckpoint() && !recovery.isClosed());
        assertEquals(1, recovery.epochMillis());
    }

    /** The process is killed several times in a row; guards against losing or double-counting requests of an earlier run. */
    @Test
    void sumsOverLivesAddUp() {
        List<EarlierRunTotals> earlier = List.of();
        long taken = 0;
        long orphaned = 0;
        for (int life = 0; life < 5; life++) {
            RecoveryTest one = new RecoveryTest();
            JournalRecovery recovery = new JournalRecovery();
            read(recovery, header(life, 0));
            read(recovery, one.all(earlier));
            JournalFrame frame = new JournalFrame(8);
            one.play(new SplittableRandom(life), frame, 300);
            read(recovery, frame);
            taken += one.number;
            orphaned += one.open.size();
            earlier = List.copyOf(recovery.totalsIncludingThisRun());
        }
        assertEquals(taken, earlier.stream().mapToLong(EarlierRunTotals::taken).sum());
        assertEquals(orphaned, earlier.stream().mapToLong(EarlierRunTotals::orphaned).sum());
        assertTrue(orphaned > 0);
        earlier.forEach(life -> assertTrue(life.isBalanced()));
    }

    @Test
    void whatCannotBeIsSaid() {
        JournalRecovery recovery = new JournalRecovery();
        JournalFrame other = new JournalFrame(8);
        other.writeCleanEnd();
        other.bytes()[0] = 99;
        assertThrows(IllegalArgumentException.class, () -> read(recovery, other));
        JournalFrame end = new JournalFrame(8);
        end.writeEnded(4, RequestEnd.SERVED);
        assertThrows(IllegalArgumentException.class, () -> read(recovery, end));
        JournalFrame unknown = new JournalFrame(8);
        unknown.writeOpened(1, 2, "x");
        assertThrows(IllegalArgumentException.class, () -> read(recovery, unknown));
        JournalFrame twice = all(List.of());
        twice.writeOpened(1, 0, "x");
        twice.writeOpened(1, 0, "x");
        assertThrows(IllegalArgumentException.class, () -> read(recovery, twice));
        JournalFrame version = header(1, 0);
        int at = 2 + JournalFrame.MAGIC.length();
        version.bytes()[at] = 2;
        assertTrue(assertThrows(IllegalArgumentException.class, () -> read(recovery, version)).getMessage()
                .contains("version 2"));
    }

    /** A corrupt frame is read or rejected with IllegalArgumentException; guards against other exceptions and endless loops. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void noiseIsNeverAnotherFault(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        JournalFrame whole = all(List.of(new EarlierRunTotals("class gone", 5, List.of(1L, 1L, 1L, 1L), 1)));
        play(random, whole, 200);
        int refused = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = Arrays.copyOf(whole.bytes(), random.nextInt(1, whole.length() + 1));
            for (int flips = random.nextInt(4); flips >= 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            try {
                new JournalRecovery().readFrame(bytes, bytes.length);
            } catch (IllegalArgumentException e) {
                refused++;
            }
        }
        assertTrue(refused > 1_000, "rejected " + refused);
    }

    @Test
    void lostEntriesAndAGoodEndAreTold() {
        JournalRecovery recovery = new JournalRecovery();
        read(recovery, header(3, 9));
        JournalFrame frame = all(List.of());
        frame.writeLostEntries(12);
        frame.writeCleanEnd();
        read(recovery, frame);
        assertEquals(12, recovery.lostEntries());
        assertEquals(9, recovery.segmentNumber());
        assertTrue(recovery.isClosed());
        assertEquals(new ArrayList<>(), new ArrayList<>(recovery.totalsIncludingThisRun()));
    }
}
