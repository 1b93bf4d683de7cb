package cinderhollow.core;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The handler of a listener whose accepts fail for a moment (ECONNABORTED, ENFILE, EMFILE, ENOBUFS): it goes on after a short
 * pause. Netty's own acceptor would take nobody in for a second, and tell of an exception that nobody handled.
 */
@Sharable
public final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    /** Long enough not to spin while descriptors are out, short against any answer's time. */
    private static final long PAUSE_MILLIS = 10;

    private final Consumer<Boolean> accepting;
    private long errors;
    private boolean paused;

    /** Stops and starts accepting by this, on the listener's event loop. */
    public AcceptErrorHandler(Consumer<Boolean> accepting) {
        this.accepting = accepting;
    }

    /** Turns the listener's reading off and on, for listeners that accept at any time. */
    public AcceptErrorHandler() {
        this(null);
    }

    /** How many accepts have failed so far. */
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
        accept(ctx, false);
        ctx.executor().schedule(() -> {
            paused = false;
            accept(ctx, true);
        }, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void accept(ChannelHandlerContext ctx, boolean on) {
        if (accepting != null) {
            accepting.accept(on);
        } else if (ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(on);
        }
    }
}
