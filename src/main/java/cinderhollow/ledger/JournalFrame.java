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
    static final byte HEADER = 1, CHECKPOINT = 2, ACCOUNT = 3, ACCOUNT_TOTALS = 4, EARLIER_TOTALS = 5, OPEN_REQUEST = 6,
            OPENED = 7, ENDED = 8, LOST_ENTRIES = 9,
            CLEAN_END = 10;
    private static final int LEB128_BITS_PER_BYTE = 7, LEB128_CONTINUATION_BIT = 0x80, MAX_LEB128_BYTES = 10;

    private byte[] bytes;
    private int length;
    private int entryCount;
    private boolean checkpoint;

    /** Creates an empty frame with this initial capacity in bytes; it grows as needed. */
    public JournalFrame(int initialCapacity) {
        bytes = new byte[initialCapacity];
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
    public void writeHeader(long epochMillis, long epochNumber, long segmentNumber) {
        writeType(HEADER);
        writeText(MAGIC);
        writeNumber(VERSION);
        writeNumber(epochMillis);
        writeNumber(epochNumber);
        writeNumber(segmentNumber);
    }

    /** Writes that a request has begun. Its number is unique within this run of the process and this event loop. */
    public void writeOpened(long request, int account, String id) {
        writeType(OPENED);
        writeNumber(request);
        writeNumber(account);
        writeText(id);
        entryCount++;
    }

    /** Writes that a request has ended. */
    public void writeEnded(long request, RequestEnd end) {
        writeType(ENDED);
        writeNumber(request);
        writeNumber(end.ordinal());
        entryCount++;
    }

    /** Writes how many entries were lost because the disk was too slow or writing failed. */
    public void writeLostEntries(long count) {
        writeType(LOST_ENTRIES);
        writeNumber(count);
    }

    /** Writes that the process ends normally. */
    public void writeCleanEnd() {
        writeType(CLEAN_END);
    }

    /**
     * Begins a checkpoint: writes the totals of this run and of earlier runs. The caller must then add each open request with
     * {@link #writeOpenRequest}.
     */
    public void writeCheckpoint(Ledger ledger, List<EarlierRunTotals> earlierTotals) {
        checkpoint = true;
        writeType(CHECKPOINT);
        LedgerCounters coreCounters = ledger.counters(LedgerPlace.CORE);
        for (int account = 0; account < ledger.accounts().size(); account++) {
            writeType(ACCOUNT);
            writeNumber(account);
            writeText(ledger.accounts().get(account));
            if (coreCounters.openedCount(account) != 0) {
                writeType(ACCOUNT_TOTALS);
                writeNumber(account);
                writeNumber(coreCounters.openedCount(account));
                coreCounters.endedCountsOf(account).forEach(this::writeNumber);
            }
        }
        for (EarlierRunTotals totals : earlierTotals) {
            writeType(EARLIER_TOTALS);
            writeText(totals.account());
            writeNumber(totals.taken());
            totals.endedCounts().forEach(this::writeNumber);
            writeNumber(totals.orphaned());
        }
    }

    /** Writes a request that is open at the checkpoint. */
    public void writeOpenRequest(long request, int account, String id) {
        writeType(OPEN_REQUEST);
        writeNumber(request);
        writeNumber(account);
        writeText(id);
    }

    private void writeType(byte type) {
        ensureCapacity(1);
        bytes[length++] = type;
    }

    private void ensureCapacity(int additionalBytes) {
        if (length + additionalBytes > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + additionalBytes));
        }
    }

    private void writeNumber(long value) {
        ensureCapacity(MAX_LEB128_BYTES);
        long remaining = value;
        while ((remaining & ~(LEB128_CONTINUATION_BIT - 1L)) != 0) {
            bytes[length++] = (byte) (remaining & LEB128_CONTINUATION_BIT - 1 | LEB128_CONTINUATION_BIT);
            remaining >>>= LEB128_BITS_PER_BYTE;
        }
        bytes[length++] = (byte) remaining;
    }

    /** Writes a text. ASCII texts, such as request ids, are written without allocation; others need a temporary array. */
    private void writeText(String text) {
        int charCount = text.length();
        int startOffset = length;
        writeNumber(charCount);
        ensureCapacity(charCount);
        for (int i = 0; i < charCount; i++) {
            char c = text.charAt(i);
            if (c >= LEB128_CONTINUATION_BIT) {
                length = startOffset;
                writeUtf8(text.getBytes(StandardCharsets.UTF_8));
                return;
            }
            bytes[length++] = (byte) c;
        }
    }

    private void writeUtf8(byte[] utf8) {
        writeNumber(utf8.length);
        ensureCapacity(utf8.length);
        System.arraycopy(utf8, 0, bytes, length, utf8.length);
        length += utf8.length;
    }
}
