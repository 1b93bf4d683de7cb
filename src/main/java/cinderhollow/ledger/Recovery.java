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
 * Reads a journal's frames in their order, and knows at each moment what was open and how the rest had ended. Memory
 * grows with what was open at once and not with the length of the journal. What can't be is an {@link
 * IllegalArgumentException}, and changes nothing that was read before it.
 */
public final class Recovery {
    /** A request that nobody knows the end of. */
    public record Orphan(String account, String id) { }

    /** One that is read as open. */
    private record Open(int account, String id) { }

    private static final int SEVEN = 7, MORE = 0x80, LAST_SHIFT = 63, MOST_ACCOUNTS = 20_000;
    private static final int ENDS = End.values().length;

    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final Map<Integer, String> accounts = new HashMap<>();
    private final Map<Integer, long[]> sums = new HashMap<>();
    private final Map<String, Life> earlier = new TreeMap<>();
    private long epochMillis;
    private long epochNumber;
    private long file = -1;
    private long lost;
    private boolean told;
    private boolean closed;
    private byte[] bytes;
    private int at;
    private int end;

    /** Reads one frame. */
    public void read(byte[] frame, int length) {
        bytes = frame;
        at = 0;
        end = length;
        while (at < end) {
            entry(bytes[at++]);
        }
    }

    private void entry(byte kind) {
        switch (kind) {
            case Frame.HEADER -> header();
            case Frame.RESET -> {
                told = true;
                open.clear();
                accounts.clear();
                sums.clear();
                earlier.clear();
                lost = 0;
            }
            case Frame.ACCOUNT -> {
                int number = account(MOST_ACCOUNTS);
                accounts.put(number, text());
                sums.put(number, new long[1 + ENDS]);
            }
            case Frame.SUM -> {
                long[] sum = sum(account(MOST_ACCOUNTS));
                for (int i = 0; i < sum.length; i++) {
                    sum[i] = number();
                }
            }
            case Frame.EARLIER -> {
                String name = text();
                long taken = number();
                List<Long> ended = new ArrayList<>();
                for (int i = 0; i < ENDS; i++) {
                    ended.add(number());
                }
                earlier.put(name, new Life(name, taken, ended, number()));
            }
            case Frame.HELD -> begin(false);
            case Frame.OPENED -> begin(true);
            case Frame.ENDED -> {
                Open over = open.remove(number());
                long how = number();
                require(over != null && how >= 0 && how < ENDS, "an end without a beginning");
                sum(over.account)[1 + (int) how]++;
            }
            case Frame.LOST -> lost += number();
            case Frame.CLOSED -> closed = true;
            default -> throw new IllegalArgumentException("no entry begins with " + kind);
        }
    }

    private void header() {
        require(text().equals(Frame.MAGIC), "no journal of a ledger");
        long version = number();
        require(version == Frame.VERSION, "a journal of version " + version + ", and not " + Frame.VERSION);
        epochMillis = number();
        epochNumber = number();
        file = number();
        told = false;
        closed = false;
    }

    private void begin(boolean counted) {
        long request = number();
        int account = account(MOST_ACCOUNTS);
        long[] sum = sum(account);
        require(open.put(request, new Open(account, text())) == null, "a request that begins twice");
        sum[0] += counted ? 1 : 0;
    }

    private long[] sum(int account) {
        long[] sum = sums.get(account);
        require(sum != null, "an account without a name");
        return sum;
    }

    private int account(int most) {
        long number = number();
        require(number >= 0 && number < most, "an account that can't be");
        return (int) number;
    }

    private long number() {
        long value = 0;
        for (int shift = 0; shift <= LAST_SHIFT; shift += SEVEN) {
            require(at < end, "an entry that is cut off");
            byte next = bytes[at++];
            value |= (long) (next & MORE - 1) << shift;
            if ((next & MORE) == 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("a number without an end");
    }

    private String text() {
        long length = number();
        require(length >= 0 && length <= end - at, "a text that is cut off");
        String text = new String(bytes, at, (int) length, StandardCharsets.UTF_8);
        at += (int) length;
        return text;
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException(fault);
        }
    }

    /** Whether a frame that tells all has been read: without one the sums are not known. */
    public boolean isWhole() {
        return told;
    }

    /** Whether the life ended in good order. */
    public boolean isClosed() {
        return closed;
    }

    /** When the life began that wrote this, in milliseconds since 1970. */
    public long epochMillis() {
        return epochMillis;
    }

    /** A number that no other life has. */
    public long epochNumber() {
        return epochNumber;
    }

    /** The number of the file read last, from 0 within its life. */
    public long file() {
        return file;
    }

    /** So many entries of that life were never written: what is open may have ended, and there may be more. */
    public long lost() {
        return lost;
    }

    /** What was open when the journal ends, in the order of their beginning. */
    public List<Orphan> orphans() {
        return open.values().stream().map(o -> new Orphan(accounts.get(o.account), o.id)).toList();
    }

    /** All lives until the end of this one, with what was open booked as orphaned. */
    public Collection<Life> lives() {
        Map<String, Life> all = new TreeMap<>(earlier);
        sums.forEach((account, sum) -> {
            List<Long> ended = new ArrayList<>();
            for (int i = 1; i < sum.length; i++) {
                ended.add(sum[i]);
            }
            long orphaned = open.values().stream().filter(o -> o.account == account).count();
            if (sum[0] != 0) {
                all.merge(accounts.get(account), new Life(accounts.get(account), sum[0], ended, orphaned), Life::plus);
            }
        });
        return List.copyOf(all.values());
    }
}
