package cinderhollow.peers;

import java.util.Arrays;

/** Byte array with a position, for reading and writing unsigned big-endian numbers. */
public final class ByteCursor {
    private byte[] bytes;
    private int position;

    private ByteCursor(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns a buffer for writing up to this number of bytes. */
    public static ByteCursor allocate(int capacity) {
        return new ByteCursor(new byte[capacity]);
    }

    /** Returns a buffer for reading these bytes; reading past the end throws {@link IndexOutOfBoundsException}. */
    public static ByteCursor wrap(byte[] bytes) {
        return new ByteCursor(bytes);
    }

    /** Writes the given count of lowest-order bytes of a number, most significant first. */
    public ByteCursor put(long number, int count) {
        for (int shift = 8 * (count - 1); shift >= 0; shift -= 8) {
            bytes[position++] = (byte) (number >>> shift);
        }
        return this;
    }

    /** Writes all of these bytes. */
    public ByteCursor put(byte[] more) {
        System.arraycopy(more, 0, bytes, position, more.length);
        position += more.length;
        return this;
    }

    /** Reads an unsigned number of this number of bytes. */
    public long readUnsigned(int count) {
        long number = 0;
        for (int i = 0; i < count; i++) {
            number = number << 8 | bytes[position++] & 0xff;
        }
        return number;
    }

    /** Reads this number of bytes. */
    public byte[] readBytes(int count) {
        if (count > remaining()) {
            throw new IndexOutOfBoundsException("cannot read " + count + " bytes, bytes left: " + remaining());
        }
        position += count;
        return Arrays.copyOfRange(bytes, position - count, position);
    }

    /** Returns the number of bytes left to read or to write. */
    public int remaining() {
        return bytes.length - position;
    }

    /** Returns a copy of the bytes written so far. */
    public byte[] toByteArray() {
        return Arrays.copyOf(bytes, position);
    }
}
