package cinderhollow.http1;

import cinderhollow.core.LoopActivity;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Chooses the size of socket reads: adapted to what the connection has brought so far, and no larger than a body's allowance, or
 * than the connection may hold. Counts the reads.
 */
final class BodyReadAllocator implements RecvByteBufAllocator {
    /** Minimum, initial and maximum size of a read, in bytes. */
    private static final int MIN_READ_BYTES = 64, INITIAL_READ_BYTES = 2048, MAX_READ_BYTES =
            BodyMemoryBudget.MAX_ALLOWANCE_BYTES;

    private static final RecvByteBufAllocator ADAPTIVE =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    private final BodyMemoryBudget budget;
    private final LoopActivity activity;
    private final IntSupplier maxReadBytes;

    BodyReadAllocator(BodyMemoryBudget budget, LoopActivity activity) {
        this(budget, activity, () -> MAX_READ_BYTES);
    }

    /** {@code maxReadBytes} returns the maximum size of a read at present, in bytes. */
    BodyReadAllocator(BodyMemoryBudget budget, LoopActivity activity, IntSupplier maxReadBytes) {
        this.activity = activity;
        this.maxReadBytes = maxReadBytes;
        this.budget = budget;
    }

    /** Netty's interface has no other type for this than a deprecated one. */
    @SuppressWarnings("deprecation")
    @Override
    public Handle newHandle() {
        return new DelegatingHandle(ADAPTIVE.newHandle()) {
            @Override
            public int guess() {
                return Math.min(super.guess(), Math.min(budget.allowanceBytes(), maxReadBytes.getAsInt()));
            }

            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                ByteBuf buffer = allocator.ioBuffer(guess());
                budget.recordRead(buffer.capacity());
                return buffer;
            }

            @Override
            public void lastBytesRead(int bytes) {
                activity.recordRead(bytes);
                super.lastBytesRead(bytes);
            }
        };
    }
}
