package cinderhollow.peers;

import java.util.Arrays;

/** Byte array with a position, for reading and writing unsigned big-endian numbers. */
public final class Bytes {
    private byte[] bytes;
    private int at;

    private Bytes(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns a buffer for writing up to this number of bytes. */
    public static Bytes ofSize(int most) {
        return new Bytes(new byte[most]);
    }

    /** Returns a buffer for reading these bytes; reading past the end throws {@link IndexOutOfBoundsException}. */
    public static Bytes reading(byte[] bytes) {
        return new Bytes(bytes);
    }

    /** Writes the given count of lowest-order bytes of a number, most significant first. */
    public Bytes put(long number, int count) {
        for (int shift = 8 * (count - 1); shift >= 0; shift -= 8) {
            bytes[at++] = (byte) (number >>> shift);
        }
        return this;
    }

    /** Writes all of these bytes. */
    public Bytes put(byte[] more) {
        System.arraycopy(more, 0, bytes, at, more.length);
        at += more.length;
        return this;
    }

    /** Reads an unsigned number of this number of bytes. */
    public long take(int count) {
        long number = 0;
        for (int i = 0; i < count; i++) {
            number = number << 8 | bytes[at++] & 0xff;
        }
        return number;
    }

    /** Reads this number of bytes. */
    public byte[] takeBytes(int count) {
        if (count > left()) {
            throw new IndexOutOfBoundsException("cannot read " + count + " bytes, bytes left: " + left());
        }
        at += count;
        return Arrays.copyOfRange(bytes, at - count, at);
    }

    /** Returns the number of bytes left to read or to write. */
    public int left() {
        return bytes.length - at;
    }

    /** Returns a copy of the bytes written so far. */
    public byte[] written() {
        return Arrays.copyOf(bytes, at);
    }
}
