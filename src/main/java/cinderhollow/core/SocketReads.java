package cinderhollow.core;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads sockets outside of the event loop's own turn, where what lies there has to be known now. */
public final class SocketReads {
    /** The end of a connection shows only behind its last byte. */
    private static final int LOOKS = 2;

    private SocketReads() { }

    /** Reads what lies in the channel's socket. On the channel's event loop, and never from within a reading of the same channel. */
    public static void now(Channel channel) {
        for (int look = 0; look < LOOKS && channel.isActive(); look++) {
            if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
                unsafe.read();
            }
        }
    }
}
