package cinderhollow.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * Ledger journal entries encoded as bytes. The event loop that owns the frame adds entries until another thread writes them
 * to the journal as one unit. An entry is a type byte followed by integers, encoded as unsigned LEB128 (7 value bits per
 * byte), and texts, encoded as a length in bytes and UTF-8.
 */
public final class JournalFrame {
    static final int VERSION = 1;
    static final String MAGIC = "kestrelpier ledger";
    static final byte HEADER = 1, RESET = 2, ACCOUNT = 3, SUM = 4, EARLIER = 5, HELD = 6, OPENED = 7, ENDED = 8, LOST = 9,
            CLOSED = 10;
    private static final int SEVEN = 7, MORE = 0x80, LONGEST_NUMBER = 10;

    private byte[] bytes;
    private int length;
    private int entryCount;
    private boolean checkpoint;

    /** Creates an empty frame with this initial capacity in bytes; it grows as needed. */
    public JournalFrame(int room) {
        bytes = new byte[room];
    }

    /** Returns the internal byte array, of which the first {@link #length} bytes are in use. */
    public byte[] bytes() {
        return bytes;
    }

    /** Returns the number of bytes in use. */
    public int length() {
        return length;
    }

    /** Returns the number of OPENED and ENDED entries in the frame. */
    public int entryCount() {
        return entryCount;
    }

    /** Returns whether the frame contains a checkpoint, so that recovery needs nothing that was written before it. */
    public boolean isCheckpoint() {
        return checkpoint;
    }

    /** Removes all entries, so that the frame can be reused. */
    public void clear() {
        length = 0;
        entryCount = 0;
        checkpoint = false;
    }

    /** Writes the header of a segment file: which run of the process writes it, and the segment's number within that run. */
    public void writeHeader(long epochMillis, long epochNumber, long file) {
        kind(HEADER);
        text(MAGIC);
        number(VERSION);
        number(epochMillis);
        number(epochNumber);
        number(file);
    }

    /** Writes that a request has begun. Its number is unique within this run of the process and this event loop. */
    public void writeOpened(long request, int account, String id) {
        kind(OPENED);
        number(request);
        number(account);
        text(id);
        entryCount++;
    }

    /** Writes that a request has ended. */
    public void writeEnded(long request, RequestEnd end) {
        kind(ENDED);
        number(request);
        number(end.ordinal());
        entryCount++;
    }

    /** Writes how many entries were lost because the disk was too slow or writing failed. */
    public void writeLostEntries(long count) {
        kind(LOST);
        number(count);
    }

    /** Writes that the process ends normally. */
    public void writeCleanEnd() {
        kind(CLOSED);
    }

    /**
     * Begins a checkpoint: writes the totals of this run and of earlier runs. The caller must then add each open request with
     * {@link #writeOpenRequest}.
     */
    public void writeCheckpoint(Ledger ledger, List<EarlierRunTotals> earlier) {
        checkpoint = true;
        kind(RESET);
        LedgerCounters sheet = ledger.counters(LedgerPlace.CORE);
        for (int account = 0; account < ledger.accounts().size(); account++) {
            kind(ACCOUNT);
            number(account);
            text(ledger.accounts().get(account));
            if (sheet.openedCount(account) != 0) {
                kind(SUM);
                number(account);
                number(sheet.openedCount(account));
                sheet.ends(account).forEach(this::number);
            }
        }
        for (EarlierRunTotals life : earlier) {
            kind(EARLIER);
            text(life.account());
            number(life.taken());
            life.ended().forEach(this::number);
            number(life.orphaned());
        }
    }

    /** Writes a request that is open at the checkpoint. */
    public void writeOpenRequest(long request, int account, String id) {
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

    /** Writes a text. ASCII texts, such as request ids, are written without allocation; others need a temporary array. */
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
