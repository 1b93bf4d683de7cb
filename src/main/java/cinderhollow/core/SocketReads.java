package cinderhollow.core;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads sockets at once, without waiting for the event loop's next poll, where input that has arrived must be known now. */
public final class SocketReads {
    /**
     * The end of a connection shows only in the read after the one that returned its last byte. A channel whose reading is paused
     * is read this often.
     */
    private static final int MIN_READS = 2;
    /** Reads end after this many, for a peer that sends as fast as it is read. */
    private static final int MAX_READS = 8;

    private SocketReads() { }

    /**
     * Reads what has arrived at the channel's socket, until nothing more is there or its handlers pause reading. Must be called on
     * the channel's event loop, and never while the same channel is being read.
     */
    public static void readNow(Channel channel) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
            return;
        }
        boolean mayHaveMore = true;
        for (int read = 0; read < MAX_READS && mayHaveMore && channel.isActive(); read++) {
            unsafe.read();
            mayHaveMore = unsafe.recvBufAllocHandle().lastBytesRead() > 0
                    && (read + 1 < MIN_READS || channel.config().isAutoRead());
        }
    }

    /** Reads as the event loop does when its poll finds input: once, and on only while there is more and reading is not paused. */
    public static void readOnce(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }

    /** Returns whether the channel's last read found no more than it could take, so that the socket was empty behind it. */
    public static boolean hasReadEverything(Channel channel) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
            return true;
        }
        return unsafe.recvBufAllocHandle().lastBytesRead() < unsafe.recvBufAllocHandle().attemptedBytesRead();
    }
}
