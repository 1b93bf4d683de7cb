package cinderhollow.http1;

import io.netty.buffer.ByteBuf;

/**
 * Merges small parts of a body. A part that is kept as an object of its own costs some hundred bytes of heap, so that a body in
 * pieces of a few bytes would cost a multiple of its size.
 */
final class SmallParts {
    /** A part below this size is merged with those behind it. */
    private static final int SMALL_BYTES = 1024;
    /** Initial and maximum size of a buffer of merged parts. */
    private static final int INITIAL_BYTES = 256, MERGED_BYTES = 4096;

    private SmallParts() { }

    /** Returns the part itself or, if it is small, a buffer with its bytes and room for more. Takes ownership of the part. */
    static ByteBuf mergeable(ByteBuf part) {
        if (part.readableBytes() >= SMALL_BYTES) {
            return part;
        }
        ByteBuf merged = part.alloc().buffer(Math.max(INITIAL_BYTES, part.readableBytes()), MERGED_BYTES);
        merge(merged, part);
        return merged;
    }

    /** Returns whether a part is small, and fits into the room of a buffer that {@link #mergeable} has made. */
    static boolean fits(ByteBuf merged, ByteBuf part) {
        return part.readableBytes() < SMALL_BYTES && merged.maxCapacity() == MERGED_BYTES
                && part.readableBytes() <= merged.maxWritableBytes();
    }

    /** Appends a part to a buffer into which it fits, and releases it. */
    static void merge(ByteBuf merged, ByteBuf part) {
        merged.writeBytes(part);
        part.release();
    }
}
