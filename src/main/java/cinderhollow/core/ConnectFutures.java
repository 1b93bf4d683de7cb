package cinderhollow.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/**
 * Helpers for the futures of Netty connects, which handle a connect for which the operating system gave no socket (ENFILE,
 * ENOBUFS). The future's channel was then never registered with an event loop: its close future is never completed, closing it
 * throws an exception, and the future's listeners are called on another thread.
 */
public final class ConnectFutures {
    private ConnectFutures() { }

    /**
     * Runs the action on the event loop once the connecting channel has closed, also if it failed for lack of a socket. Tasks
     * that the event loop already has for the closing itself run first. The action may be run twice.
     */
    public static void onClose(ChannelFuture connectFuture, EventLoop loop, Runnable action) {
        connectFuture.channel().closeFuture().addListener(closed -> loop.execute(action));
        connectFuture.addListener(done -> {
            if (!done.isSuccess() && !connectFuture.channel().isRegistered()) {
                loop.execute(action);
            }
        });
    }

    /** Closes the channel if it is open. A channel that never had a socket is left alone: closing it would throw an exception. */
    public static void closeIfOpen(Channel channel) {
        if (channel.isOpen()) {
            channel.close();
        }
    }
}
