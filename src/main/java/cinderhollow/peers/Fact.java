package cinderhollow.peers;

/**
 * Versioned value that gossip spreads to all members. Of two versions for the same kind and subject the higher one applies,
 * regardless of the order in which and how often they arrive.
 *
 * @param kind number of the fact's {@link FactKind}, 0 to 255; 0 is a member's state
 * @param subject number of what the fact is about, such as a member or a zone; up to 65,535
 * @param version version, up to 48 bits
 * @param value encoded value, at most {@link #MAX_VALUE_BYTES} bytes
 */
public record Fact(int kind, int subject, long version, byte[] value) {
    /** Maximum size of a value in bytes, so that each fact fits into one datagram. */
    public static final int MAX_VALUE_BYTES = 160;
    /** Size in bytes of the header: kind, subject, version and length of the value. */
    static final int HEADER_BYTES = 10;
    static final int VERSION_BYTES = 6;
    static final long MAX_VERSION = (1L << 8 * VERSION_BYTES) - 1;

    /** Checks the bounds of all components. */
    public Fact {
        if (kind < 0 || kind > 255 || subject < 0 || subject > 65_535 || version < 0 || version > MAX_VERSION
                || value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("fact out of bounds (kind, subject, version, size): " + kind + ", " + subject
                    + ", " + version + ", " + value.length
                    + " bytes");
        }
    }

    int encodedSize() {
        return HEADER_BYTES + value.length;
    }

    int key() {
        return kind << 16 | subject;
    }

    void write(ByteCursor to) {
        to.put(kind, 1).put(subject, 2).put(version, VERSION_BYTES).put(value.length, 1).put(value);
    }

    static Fact read(ByteCursor from) {
        int kind = (int) from.readUnsigned(1);
        int subject = (int) from.readUnsigned(2);
        long version = from.readUnsigned(VERSION_BYTES);
        return new Fact(kind, subject, version, from.readBytes((int) from.readUnsigned(1)));
    }
}
