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
 * entries before it stay applied.
 */
public final class JournalRecovery {
    /** A request that was open when the journal ended, so that its end is not known. */
    public record Orphan(String account, String id) { }

    /** A request that is open according to the entries read so far. */
    private record Open(int account, String id) { }

    private static final int SEVEN = 7, MORE = 0x80, LAST_SHIFT = 63, MOST_ACCOUNTS = 20_000;
    private static final int ENDS = RequestEnd.values().length;

    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final Map<Integer, String> accounts = new HashMap<>();
    private final Map<Integer, long[]> sums = new HashMap<>();
    private final Map<String, EarlierRunTotals> earlier = new TreeMap<>();
    private long epochMillis;
    private long epochNumber;
    private long segmentNumber = -1;
    private long lostEntries;
    private boolean told;
    private boolean closed;
    private byte[] bytes;
    private int at;
    private int end;

    /** Reads the entries in the first {@code length} bytes of a frame. */
    public void readFrame(byte[] frame, int length) {
        bytes = frame;
        at = 0;
        end = length;
        while (at < end) {
            entry(bytes[at++]);
        }
    }

    private void entry(byte kind) {
        switch (kind) {
            case JournalFrame.HEADER -> header();
            case JournalFrame.RESET -> {
                told = true;
                open.clear();
                accounts.clear();
                sums.clear();
                earlier.clear();
                lostEntries = 0;
            }
            case JournalFrame.ACCOUNT -> {
                int number = account(MOST_ACCOUNTS);
                accounts.put(number, text());
                sums.put(number, new long[1 + ENDS]);
            }
            case JournalFrame.SUM -> {
                long[] sum = sum(account(MOST_ACCOUNTS));
                for (int i = 0; i < sum.length; i++) {
                    sum[i] = number();
                }
            }
            case JournalFrame.EARLIER -> {
                String name = text();
                long taken = number();
                List<Long> ended = new ArrayList<>();
                for (int i = 0; i < ENDS; i++) {
                    ended.add(number());
                }
                earlier.put(name, new EarlierRunTotals(name, taken, ended, number()));
            }
            case JournalFrame.HELD -> begin(false);
            case JournalFrame.OPENED -> begin(true);
            case JournalFrame.ENDED -> {
                Open over = open.remove(number());
                long how = number();
                require(over != null && how >= 0 && how < ENDS, "journal entry ends an unknown request or has an unknown end");
                sum(over.account)[1 + (int) how]++;
            }
            case JournalFrame.LOST -> lostEntries += number();
            case JournalFrame.CLOSED -> closed = true;
            default -> throw new IllegalArgumentException("unknown journal entry type " + kind);
        }
    }

    private void header() {
        require(text().equals(JournalFrame.MAGIC), "not a ledger journal");
        long version = number();
        require(version == JournalFrame.VERSION, "unsupported journal version " + version + ", expected " + JournalFrame.VERSION);
        epochMillis = number();
        epochNumber = number();
        segmentNumber = number();
        told = false;
        closed = false;
    }

    private void begin(boolean counted) {
        long request = number();
        int account = account(MOST_ACCOUNTS);
        long[] sum = sum(account);
        require(open.put(request, new Open(account, text())) == null, "journal entry opens a request that is already open");
        sum[0] += counted ? 1 : 0;
    }

    private long[] sum(int account) {
        long[] sum = sums.get(account);
        require(sum != null, "journal entry refers to an undefined account");
        return sum;
    }

    private int account(int most) {
        long number = number();
        require(number >= 0 && number < most, "account number out of range");
        return (int) number;
    }

    private long number() {
        long value = 0;
        for (int shift = 0; shift <= LAST_SHIFT; shift += SEVEN) {
            require(at < end, "truncated journal entry");
            byte next = bytes[at++];
            value |= (long) (next & MORE - 1) << shift;
            if ((next & MORE) == 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("journal entry has a number of more than 10 bytes");
    }

    private String text() {
        long length = number();
        require(length >= 0 && length <= end - at, "truncated text in a journal entry");
        String text = new String(bytes, at, (int) length, StandardCharsets.UTF_8);
        at += (int) length;
        return text;
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException(fault);
        }
    }

    /** Returns whether a checkpoint has been read since the last segment header; without one the totals are not known. */
    public boolean hasCheckpoint() {
        return told;
    }

    /** Returns whether the journal says that the run of the process ended normally. */
    public boolean isClosed() {
        return closed;
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
     * Returns how many entries of the run were never written. If it is not 0, requests that are read as open may have ended,
     * and more requests may have been open.
     */
    public long lostEntries() {
        return lostEntries;
    }

    /** Returns the requests that were open at the end of the journal, in the order in which they began. */
    public List<Orphan> orphans() {
        return open.values().stream().map(o -> new Orphan(accounts.get(o.account), o.id)).toList();
    }

    /** Returns the totals of all runs including this one, by account, with open requests counted as orphaned. */
    public Collection<EarlierRunTotals> totalsIncludingThisRun() {
        Map<String, EarlierRunTotals> all = new TreeMap<>(earlier);
        sums.forEach((account, sum) -> {
            List<Long> ended = new ArrayList<>();
            for (int i = 1; i < sum.length; i++) {
                ended.add(sum[i]);
            }
            long orphaned = open.values().stream().filter(o -> o.account == account).count();
            if (sum[0] != 0) {
                all.merge(accounts.get(account), new EarlierRunTotals(accounts.get(account), sum[0], ended, orphaned), EarlierRunTotals::plus);
            }
        });
        return List.copyOf(all.values());
    }
}
