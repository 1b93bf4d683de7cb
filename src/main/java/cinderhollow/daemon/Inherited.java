package cinderhollow.daemon;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;

/**
 * The listener that the platform holds and every process inherits. Loaded only where it names one.
 *
 * <p>It is never closed while the process has something to say: the runtime sends the standard streams to nowhere when
 * the inherited channel is closed. Who takes in no more stops reading from it.
 *
 * @param listener bound, listening, in non-blocking mode, which all processes that hold it share
 * @param first who was accepted while it was looked at, or null
 * @param folder where both processes of an upgrade find each other, or null
 */
record Inherited(ServerSocketChannel listener, SocketChannel first, Path folder) {
    /** Takes over the descriptor of this number; one that is none, or doesn't listen, is an {@link IllegalArgumentException}. */
    static Inherited take(String descriptor, String folder) {
        if (!descriptor.equals("0")) {
            throw new IllegalArgumentException("LB_INHERITED_FD names descriptor '" + descriptor
                    + "', and only 0 can be taken over");
        }
        try {
            Channel channel = System.inheritedChannel();
            if (!(channel instanceof ServerSocketChannel listener)) {
                throw new IllegalArgumentException("LB_INHERITED_FD names descriptor 0, which is no listening socket");
            }
            listener.configureBlocking(false);
            // The only way to tell a socket that listens from one that doesn't: the call fails there.
            return new Inherited(listener, listener.accept(), folder == null ? null : Path.of(folder));
        } catch (IOException e) {
            throw new IllegalArgumentException("LB_INHERITED_FD names descriptor 0, which can't accept: " + e.getMessage(), e);
        }
    }
}
