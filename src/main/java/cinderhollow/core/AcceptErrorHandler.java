package cinderhollow.core;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Netty handler of a listening channel for transient accept errors (ECONNABORTED, ENFILE, EMFILE, ENOBUFS): it stops accepting
 * for a short pause and then resumes. Netty's own acceptor would accept no connection for a second, and log an unhandled
 * exception.
 */
@Sharable
public final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    /** Long enough not to spin while file descriptors are exhausted, short compared with the time of any answer. */
    private static final long ACCEPT_PAUSE_MILLIS = 10;

    private final Consumer<Boolean> acceptingSwitch;
    private long errors;
    private boolean paused;

    /**
     * Creates a handler that calls {@code acceptingSwitch} on the listener's event loop, with false to stop accepting and with
     * true to resume it.
     */
    public AcceptErrorHandler(Consumer<Boolean> acceptingSwitch) {
        this.acceptingSwitch = acceptingSwitch;
    }

    /** Creates a handler that switches the channel's auto-read off and on; for listeners that otherwise always accept. */
    public AcceptErrorHandler() {
        this(null);
    }

    /** Returns how many accepts have failed so far. */
    public long errors() {
        return errors;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        errors++;
        if (paused) {
            return;
        }
        paused = true;
        setAccepting(ctx, false);
        ctx.executor().schedule(() -> {
            paused = false;
            setAccepting(ctx, true);
        }, ACCEPT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void setAccepting(ChannelHandlerContext ctx, boolean on) {
        if (acceptingSwitch != null) {
            acceptingSwitch.accept(on);
        } else if (ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(on);
        }
    }
}
