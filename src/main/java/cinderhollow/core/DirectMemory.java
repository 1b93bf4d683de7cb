package cinderhollow.core;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.internal.PlatformDependent;

/** The process's memory outside the heap, from which the buffers of all sockets are allocated. May be used on any thread. */
public final class DirectMemory {
    private DirectMemory() { }

    /** Returns the limit of the Java runtime ({@code -XX:MaxDirectMemorySize}), in bytes. */
    public static long limitBytes() {
        return PlatformDependent.maxDirectMemory();
    }

    /** Returns how many bytes the buffer pool has reserved; it reserves whole chunks, of which parts may be free. */
    public static long reservedBytes() {
        return ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider pool ? pool.metric().usedDirectMemory() : 0;
    }

    /**
     * Returns the size of all buffers that are in use, in bytes. A buffer counts whole as long as any slice of it is in use. An
     * allocator that does not count its buffers reports what it has reserved.
     */
    public static long inUseBytes() {
        return ByteBufAllocator.DEFAULT instanceof PooledByteBufAllocator pool ? pool.pinnedDirectMemory() : reservedBytes();
    }
}
