package cinderhollow.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Clients that send malformed requests, or connect and send nothing. One event loop owns all state. */
final class BadClients {
    /** Delay in milliseconds before a silent client whose connection was closed connects again. */
    private static final long RECONNECT_MILLIS = 100;
    private static final List<String> UNREADABLE = List.of(
            "GET /status/1 HTTP/1.1\r\nHost: x\r\n\r\n",
            "\u0001\u0002\u0003 garbage\r\n\r\n",
            "POST /submit HTTP/1.1\r\nX-Request-ID: rude-1\r\nContent-Length: -5\r\n\r\n",
            "POST /submit HTTP/1.1\r\nX-Request-ID: rude-2\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "0\r\n\r\nPOST /submit HTTP/1.1\r\nX-Request-ID: rude-3\r\nContent-Length: 1\r\n\r\nx",
            "POST /submit HTTP/1.1\r\nX-Request-ID: rude-4\r\nContent-Length: 60000000\r\n\r\n",
            "GET /nonsense HTTP/1.1\r\nX-Request-ID: rude-5\r\n\r\n",
            "GET /status/1 HTTP/1.1\r\nX-Request-ID: rude-6\r\nX-Timeout: soon\r\n\r\n",
            "POST /submit HTTP/1.1\r\nX-Requ",
            "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: rude-7\r\nContent-Length: 100\r\n\r\nhalf",
            "POST /submit HTTP/1.1\r\nHost: x\r\nX-Request-ID: rude-8\r\nContent-Length: 900000\r\n\r\n" + "x".repeat(3_000));

    private final EventLoop loop;
    private final Bootstrap dial;
    private final List<InetSocketAddress> gateways;
    private long owed;
    private long ended;

    /** Creates clients that connect to these gateways by the bootstrap, whose event loop must be {@code loop}. */
    BadClients(EventLoop loop, Bootstrap dial, List<InetSocketAddress> gateways) {
        this.loop = loop;
        this.dial = dial;
        this.gateways = List.copyOf(gateways);
    }

    /** Opens connections that send malformed requests. The gateway must answer each with an error or close it. */
    void rude(int gateway, int count) {
        for (int i = 0; i < count; i++) {
            String text = UNREADABLE.get(i % UNREADABLE.size());
            owed++;
            Channel channel = dial.clone().handler(new Talker(text)).connect(gateways.get(gateway)).channel();
            channel.closeFuture().addListener(closed -> ended++);
        }
    }

    /** Returns the number of connections with a malformed request that have got neither an error nor a close. */
    long rudeLeft() {
        return owed - ended;
    }

    /** Starts clients that connect and send nothing, and connect again when they are closed, for this time. */
    void crowd(int gateway, int count, long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (int i = 0; i < count; i++) {
            sayNothing(gateway, until);
        }
    }

    private void sayNothing(int gateway, long until) {
        long left = until - System.nanoTime();
        if (left <= 0) {
            return;
        }
        Channel channel = dial.clone().handler(new Talker("")).connect(gateways.get(gateway)).channel();
        loop.schedule(() -> channel.close(), left, TimeUnit.NANOSECONDS);
        channel.closeFuture().addListener(closed ->
                loop.schedule(() -> sayNothing(gateway, until), RECONNECT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Sends a text once it is connected, and closes the connection at the first bytes of an answer. */
    private static final class Talker extends ChannelInboundHandlerAdapter {
        private final String text;

        Talker(String text) {
            this.text = text;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (!text.isEmpty()) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ((ByteBuf) message).release();
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
