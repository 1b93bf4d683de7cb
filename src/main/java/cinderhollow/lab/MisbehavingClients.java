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
final class MisbehavingClients {
    /** Delay in milliseconds before a silent client whose connection was closed connects again. */
    private static final long RECONNECT_DELAY_MILLIS = 100;
    private static final List<String> MALFORMED_REQUESTS = List.of(
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
    private final Bootstrap bootstrap;
    private final List<InetSocketAddress> gatewayAddresses;
    private long malformedConnections;
    private long closedMalformedConnections;

    /** Creates clients that connect to these gateways by the bootstrap, whose event loop must be {@code loop}. */
    MisbehavingClients(EventLoop loop, Bootstrap bootstrap, List<InetSocketAddress> gatewayAddresses) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.gatewayAddresses = List.copyOf(gatewayAddresses);
    }

    /** Opens connections that send malformed requests. The gateway must answer each with an error or close it. */
    void sendMalformed(int gateway, int count) {
        for (int i = 0; i < count; i++) {
            String text = MALFORMED_REQUESTS.get(i % MALFORMED_REQUESTS.size());
            malformedConnections++;
            Channel channel = bootstrap.clone().handler(new SendOnceHandler(text)).connect(gatewayAddresses.get(gateway))
                    .channel();
            channel.closeFuture().addListener(closed -> closedMalformedConnections++);
        }
    }

    /** Returns the number of connections with a malformed request that have got neither an error nor a close. */
    long openMalformedConnections() {
        return malformedConnections - closedMalformedConnections;
    }

    /** Starts clients that connect and send nothing, and connect again when they are closed, for this time. */
    void startSilentClients(int gateway, int count, long millis) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (int i = 0; i < count; i++) {
            connectSilently(gateway, untilNanos);
        }
    }

    private void connectSilently(int gateway, long untilNanos) {
        long remainingNanos = untilNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            return;
        }
        Channel channel = bootstrap.clone().handler(new SendOnceHandler("")).connect(gatewayAddresses.get(gateway)).channel();
        loop.schedule(() -> channel.close(), remainingNanos, TimeUnit.NANOSECONDS);
        channel.closeFuture().addListener(closed ->
                loop.schedule(() -> connectSilently(gateway, untilNanos), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** Sends a text once it is connected, and closes the connection at the first bytes of an answer. */
    private static final class SendOnceHandler extends ChannelInboundHandlerAdapter {
        private final String text;

        SendOnceHandler(String text) {
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
