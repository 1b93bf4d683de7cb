package cinderhollow.core;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/**
 * What a connection attempt of Netty's leaves to its caller. Where the system gives no socket (ENFILE, ENOBUFS), the future's
 * channel is one that was never registered: its close future is never completed, closing it throws, and the future's listeners
 * are told on another thread.
 */
public final class Dials {
    private Dials() { }

    /**
     * Runs the action on the loop once the connection attempt's channel has ended, also where there never was one. The loop's
     * tasks of the end itself run first. May run it twice.
     */
    public static void onEnd(ChannelFuture dial, EventLoop loop, Runnable action) {
        dial.channel().closeFuture().addListener(closed -> loop.execute(action));
        dial.addListener(done -> {
            if (!done.isSuccess() && !dial.channel().isRegistered()) {
                loop.execute(action);
            }
        });
    }

    /** Closes a channel, unless it never was one. */
    public static void close(Channel channel) {
        if (channel.isOpen()) {
            channel.close();
        }
    }
}
