package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Input of one connection that has been read and waits to be decoded, with the time of its arrival. It is kept undecoded, in the
 * heap and at about its own size: decoded, a request takes many times that. Belongs to one event loop.
 */
final class InputQueue {
    /** A part of the input, all of which arrived at about the same time. */
    record Part(ByteBuf bytes, long arrivedAt) { }

    /** Cost of one part beside its bytes, in bytes of heap. */
    private static final int PART_OVERHEAD_BYTES = 192;
    /** Minimum size of a part, so that input which comes in tiny pieces shares parts. */
    private static final int MIN_PART_BYTES = 1024;
    /** Input that arrives within this time of the start of a part may be added to it, and counts as arrived with it. */
    private static final long MAX_PART_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final ArrayDeque<Part> parts = new ArrayDeque<>(2);
    private long sizeBytes;
    private long readableBytes;

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns what the queue costs in the heap, in bytes. */
    long sizeBytes() {
        return sizeBytes;
    }

    /** Returns the number of bytes that wait. */
    long readableBytes() {
        return readableBytes;
    }

    /** Adds a copy of the readable bytes. */
    void add(ByteBuf input, long arrivedAt) {
        Part last = parts.peekLast();
        boolean fits = last != null && last.bytes.writableBytes() >= input.readableBytes()
                && arrivedAt - last.arrivedAt <= MAX_PART_NANOS;
        if (!fits) {
            int capacity = Math.max(MIN_PART_BYTES, input.readableBytes());
            last = new Part(Unpooled.buffer(capacity, capacity), arrivedAt);
            parts.add(last);
            sizeBytes += capacity + PART_OVERHEAD_BYTES;
        }
        readableBytes += input.readableBytes();
        last.bytes.writeBytes(input);
    }

    /** Adds a copy of the readable bytes before everything else. */
    void addFirst(ByteBuf input, long arrivedAt) {
        int length = input.readableBytes();
        Part first = new Part(Unpooled.buffer(length, length), arrivedAt);
        first.bytes.writeBytes(input, input.readerIndex(), length);
        parts.addFirst(first);
        sizeBytes += length + PART_OVERHEAD_BYTES;
        readableBytes += length;
    }

    /** Returns the given input and everything that waits behind it as one buffer, which shares their bytes. */
    ByteBuf view(ByteBuf before) {
        ByteBuf[] buffers = new ByteBuf[parts.size() + 1];
        int count = 0;
        buffers[count++] = before.duplicate();
        for (Part part : parts) {
            buffers[count++] = part.bytes.duplicate();
        }
        return Unpooled.wrappedBuffer(buffers.length, buffers);
    }

    /** Removes and returns the oldest part, whose bytes the caller then owns; null if there is none. */
    Part poll() {
        Part first = parts.poll();
        if (first != null) {
            sizeBytes -= first.bytes.capacity() + PART_OVERHEAD_BYTES;
            readableBytes -= first.bytes.readableBytes();
        }
        return first;
    }

    /** Returns the oldest part, or null if there is none. */
    Part peek() {
        return parts.peek();
    }

    /** Discards everything. */
    void clear() {
        parts.forEach(part -> part.bytes.release());
        parts.clear();
        sizeBytes = 0;
        readableBytes = 0;
    }
}
