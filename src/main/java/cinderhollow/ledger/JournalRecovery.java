package cinderhollow.ledger;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Rebuilds totals and open requests from the frames of a journal, read in order. Memory grows with the number of requests open
 * at the same time, not with the length of the journal. An invalid entry causes an {@link IllegalArgumentException}; the
 * entries before it stay applied, and so may a part of the invalid one: an end of a request may have removed the request, and a
 * second opening may have replaced the first.
 */
public final class JournalRecovery {
    /** A request that was open when the journal ended, so that its end is not known. */
    public record Orphan(String account, String id) { }

    /** A request that is open according to the entries read so far. */
    private record OpenRequest(int account, String id) { }

    private static final int LEB128_BITS_PER_BYTE = 7, LEB128_CONTINUATION_BIT = 0x80, MAX_LEB128_SHIFT = 63, MAX_ACCOUNTS =
            20_000;
    private static final int END_COUNT = RequestEnd.values().length;

    private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
    private final Map<Integer, String> accountNames = new HashMap<>();
    private final Map<Integer, long[]> totalsByAccount = new HashMap<>();
    private final Map<String, EarlierRunTotals> earlierTotals = new TreeMap<>();
    private long epochMillis;
    private long epochNumber;
    private long segmentNumber = -1;
    private long lostEntries;
    private boolean checkpointRead;
    private boolean endedCleanly;
    private byte[] bytes;
    private int position;
    private int limit;

    /** Reads the entries in the first {@code length} bytes of a frame. */
    public void readFrame(byte[] frame, int length) {
        bytes = frame;
        position = 0;
        limit = length;
        while (position < limit) {
            readEntry(bytes[position++]);
        }
    }

    private void readEntry(byte type) {
        switch (type) {
            case JournalFrame.HEADER -> readHeader();
            case JournalFrame.CHECKPOINT -> {
                checkpointRead = true;
                openRequests.clear();
                accountNames.clear();
                totalsByAccount.clear();
                earlierTotals.clear();
                lostEntries = 0;
            }
            case JournalFrame.ACCOUNT -> {
                int accountNumber = readAccount(MAX_ACCOUNTS);
                accountNames.put(accountNumber, readText());
                totalsByAccount.put(accountNumber, new long[1 + END_COUNT]);
            }
            case JournalFrame.ACCOUNT_TOTALS -> {
                long[] totals = totalsOf(readAccount(MAX_ACCOUNTS));
                for (int i = 0; i < totals.length; i++) {
                    totals[i] = readNumber();
                }
            }
            case JournalFrame.EARLIER_TOTALS -> {
                String accountName = readText();
                long taken = readNumber();
                List<Long> ended = new ArrayList<>();
                for (int i = 0; i < END_COUNT; i++) {
                    ended.add(readNumber());
                }
                earlierTotals.put(accountName, new EarlierRunTotals(accountName, taken, ended, readNumber()));
            }
            case JournalFrame.OPEN_REQUEST -> readOpenedRequest(false);
            case JournalFrame.OPENED -> readOpenedRequest(true);
            case JournalFrame.ENDED -> {
                OpenRequest endedRequest = openRequests.remove(readNumber());
                long endNumber = readNumber();
                require(endedRequest != null && endNumber >= 0 && endNumber < END_COUNT,
                        "journal entry ends an unknown request or has an unknown end");
                totalsOf(endedRequest.account)[1 + (int) endNumber]++;
            }
            case JournalFrame.LOST_ENTRIES -> lostEntries += readNumber();
            case JournalFrame.CLEAN_END -> endedCleanly = true;
            default -> throw new IllegalArgumentException("unknown journal entry type " + type);
        }
    }

    private void readHeader() {
        require(readText().equals(JournalFrame.MAGIC), "not a ledger journal");
        long version = readNumber();
        require(version == JournalFrame.VERSION, "unsupported journal version " + version + ", expected " + JournalFrame.VERSION);
        epochMillis = readNumber();
        epochNumber = readNumber();
        segmentNumber = readNumber();
        checkpointRead = false;
        endedCleanly = false;
    }

    private void readOpenedRequest(boolean newlyOpened) {
        long request = readNumber();
        int account = readAccount(MAX_ACCOUNTS);
        long[] totals = totalsOf(account);
        require(openRequests.put(request, new OpenRequest(account, readText())) == null,
                "journal entry opens a request that is already open");
        totals[0] += newlyOpened ? 1 : 0;
    }

    private long[] totalsOf(int account) {
        long[] totals = totalsByAccount.get(account);
        require(totals != null, "journal entry refers to an undefined account");
        return totals;
    }

    private int readAccount(int maxAccounts) {
        long number = readNumber();
        require(number >= 0 && number < maxAccounts, "account number out of range");
        return (int) number;
    }

    private long readNumber() {
        long value = 0;
        for (int shift = 0; shift <= MAX_LEB128_SHIFT; shift += LEB128_BITS_PER_BYTE) {
            require(position < limit, "truncated journal entry");
            byte nextByte = bytes[position++];
            value |= (long) (nextByte & LEB128_CONTINUATION_BIT - 1) << shift;
            if ((nextByte & LEB128_CONTINUATION_BIT) == 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("journal entry has a number of more than 10 bytes");
    }

    private String readText() {
        long length = readNumber();
        require(length >= 0 && length <= limit - position, "truncated text in a journal entry");
        String text = new String(bytes, position, (int) length, StandardCharsets.UTF_8);
        position += (int) length;
        return text;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** Returns whether a checkpoint has been read since the last segment header; without one the totals are not known. */
    public boolean hasCheckpoint() {
        return checkpointRead;
    }

    /** Returns whether the journal says that the run of the process ended normally. */
    public boolean hasEndedCleanly() {
        return endedCleanly;
    }

    /** Returns when the run of the process that wrote the journal began, in milliseconds since 1970. */
    public long epochMillis() {
        return epochMillis;
    }

    /** Returns the number that distinguishes this run of the process from all others. */
    public long epochNumber() {
        return epochNumber;
    }

    /** Returns the number of the segment read last, from 0 within its run, or -1 before the first header. */
    public long segmentNumber() {
        return segmentNumber;
    }

    /**
     * Returns how many entries of the run were known to be lost, that is never written, at the last checkpoint. The checkpoint
     * lists the requests open at its time anew. Entries lost after it are not counted: because of them requests that are read as
     * open may have ended, and more requests may have been open.
     */
    public long lostEntries() {
        return lostEntries;
    }

    /**
     * Returns the requests that were open at the end of the journal: first those that the last checkpoint lists, which are in
     * no particular order, then later ones in the order in which they began.
     */
    public List<Orphan> orphans() {
        return openRequests.values().stream().map(o -> new Orphan(accountNames.get(o.account), o.id)).toList();
    }

    /** Returns the totals of all runs up to the one that wrote this journal, by account, with its open requests as orphaned. */
    public Collection<EarlierRunTotals> totalsIncludingThisRun() {
        Map<String, EarlierRunTotals> merged = new TreeMap<>(earlierTotals);
        totalsByAccount.forEach((account, totals) -> {
            List<Long> ended = new ArrayList<>();
            for (int i = 1; i < totals.length; i++) {
                ended.add(totals[i]);
            }
            long orphaned = openRequests.values().stream().filter(o -> o.account == account).count();
            if (totals[0] != 0) {
                merged.merge(accountNames.get(account),
                        new EarlierRunTotals(accountNames.get(account), totals[0], ended, orphaned), EarlierRunTotals::plus);
            }
        });
        return List.copyOf(merged.values());
    }
}
