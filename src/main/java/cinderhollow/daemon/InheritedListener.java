package cinderhollow.daemon;

import cinderhollow.core.GatewayClock;
import cinderhollow.http1.InheritedBacklog;
import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;

/**
 * The listening socket that the platform holds and that every process inherits. Loaded only where the platform provides one.
 *
 * <p>It is not closed as long as the process still writes output: the Java runtime redirects the standard streams to nowhere
 * when the inherited channel is closed. To stop accepting, a process stops reading from it.
 *
 * @param listener the bound, listening socket in non-blocking mode, shared by all processes that hold it
 * @param firstConnection connection that was accepted while the socket was checked, or null
 * @param adoptedAtNanoTime the value of {@link System#nanoTime} when that connection was accepted
 * @param handoverDirectory directory in which the two processes of an upgrade find each other, or null
 */
record InheritedListener(ServerSocketChannel listener, SocketChannel firstConnection, long adoptedAtNanoTime,
        Path handoverDirectory) {
    /**
     * Adopts the file descriptor of this number. An invalid one, or one that does not listen, causes an {@link
     * IllegalArgumentException}.
     */
    static InheritedListener adopt(String descriptor, String handoverDirectory) {
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
            // Accepting is the only way to find out whether the socket listens: the call fails if it does not.
            return new InheritedListener(listener, listener.accept(), System.nanoTime(), handoverDirectory == null ? null
                    : Path.of(handoverDirectory));
        } catch (IOException e) {
            throw new IllegalArgumentException("LB_INHERITED_FD names descriptor 0, which can't accept: " + e.getMessage(), e);
        }
    }

    /** Returns its backlog, now that accepting begins. {@code predecessorAccepts}: whether another process still accepts too. */
    InheritedBacklog backlog(GatewayClock clock, boolean predecessorAccepts) {
        return new InheritedBacklog(listener, firstConnection, clock.ofNanoTime(adoptedAtNanoTime), predecessorAccepts, clock);
    }
}
