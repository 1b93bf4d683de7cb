package cinderhollow.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Entries of a ledger's journal as bytes, gathered by the event loop that owns it until another thread writes them as one.
 * Each entry is its kind, and then whole numbers of seven bits a byte (as LEB128 has them) and texts of UTF-8 with their
 * length ahead.
 */
public final class Frame {
    static final int VERSION = 1;
    static final String MAGIC = "kestrelpier ledger";
    static final byte HEADER = 1, RESET = 2, ACCOUNT = 3, SUM = 4, EARLIER = 5, HELD = 6, OPENED = 7, ENDED = 8, LOST = 9,
            CLOSED = 10;
    private static final int SEVEN = 7, MORE = 0x80, LONGEST_NUMBER = 10;

    private byte[] bytes;
    private int length;
    private int entries;
    private boolean checkpoint;

    /** An empty one with room for so many bytes at first; it grows. */
    public Frame(int room) {
        bytes = new byte[room];
    }

    /** The bytes, of which {@link #length} count. */
    public byte[] bytes() {
        return bytes;
    }

    /** So many of the bytes are entries. */
    public int length() {
        return length;
    }

    /** So many requests' beginnings and ends are in it. */
    public int entries() {
        return entries;
    }

    /** Whether it tells all that is known, so that nothing before it is needed. */
    public boolean isCheckpoint() {
        return checkpoint;
    }

    /** Empties it, to be used again. */
    public void clear() {
        length = 0;
        entries = 0;
        checkpoint = false;
    }

    /** What a file begins with: which life of the process writes it. */
    public void header(long epochMillis, long epochNumber, long file) {
        kind(HEADER);
        text(MAGIC);
        number(VERSION);
        number(epochMillis);
        number(epochNumber);
        number(file);
    }

    /** A request has begun; its number is its own within this life and loop. */
    public void opened(long request, int account, String id) {
        kind(OPENED);
        number(request);
        number(account);
        text(id);
        entries++;
    }

    /** A request is over. */
    public void ended(long request, End end) {
        kind(ENDED);
        number(request);
        number(end.ordinal());
        entries++;
    }

    /** So many entries never got here: the disk was too slow, or refused. */
    public void lost(long count) {
        kind(LOST);
        number(count);
    }

    /** The process ends in good order. */
    public void closed() {
        kind(CLOSED);
    }

    /** Begins to tell all: the sums of this life and of the earlier ones. What is open must follow, by {@link #held}. */
    public void reset(Ledger ledger, List<Life> earlier) {
        checkpoint = true;
        kind(RESET);
        Sheet sheet = ledger.sheet(Place.CORE);
        for (int account = 0; account < ledger.accounts().size(); account++) {
            kind(ACCOUNT);
            number(account);
            text(ledger.accounts().get(account));
            if (sheet.opened(account) != 0) {
                kind(SUM);
                number(account);
                number(sheet.opened(account));
                sheet.ends(account).forEach(this::number);
            }
        }
        for (Life life : earlier) {
            kind(EARLIER);
            text(life.account());
            number(life.taken());
            life.ended().forEach(this::number);
            number(life.orphaned());
        }
    }

    /** A request that was open when all was told. */
    public void held(long request, int account, String id) {
        kind(HELD);
        number(request);
        number(account);
        text(id);
    }

    private void kind(byte kind) {
        room(1);
        bytes[length++] = kind;
    }

    private void room(int more) {
        if (length + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + more));
        }
    }

    private void number(long value) {
        room(LONGEST_NUMBER);
        long rest = value;
        while ((rest & ~(MORE - 1L)) != 0) {
            bytes[length++] = (byte) (rest & MORE - 1 | MORE);
            rest >>>= SEVEN;
        }
        bytes[length++] = (byte) rest;
    }

    /** Ids are ASCII and are put in place; only other texts need an array of their own on the way. */
    private void text(String text) {
        int chars = text.length();
        int start = length;
        number(chars);
        room(chars);
        for (int i = 0; i < chars; i++) {
            char c = text.charAt(i);
            if (c >= MORE) {
                length = start;
                encoded(text.getBytes(StandardCharsets.UTF_8));
                return;
            }
            bytes[length++] = (byte) c;
        }
    }

    private void encoded(byte[] utf8) {
        number(utf8.length);
        room(utf8.length);
        System.arraycopy(utf8, 0, bytes, length, utf8.length);
        length += utf8.length;
    }
}
