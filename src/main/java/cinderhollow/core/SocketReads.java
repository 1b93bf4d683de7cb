package cinderhollow.core;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads sockets at once, without waiting for the event loop's next poll, where input that has arrived must be known now. */
public final class SocketReads {
    /** Two reads, as the end of a connection shows only in the read after the one that returned its last byte. */
    private static final int READ_COUNT = 2;

    private SocketReads() { }

    /**
     * Reads what has arrived at the channel's socket. Must be called on the channel's event loop, and never while the same
     * channel is being read.
     */
    public static void readNow(Channel channel) {
        for (int read = 0; read < READ_COUNT && channel.isActive(); read++) {
            if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
                unsafe.read();
            }
        }
    }
}
