package cinderhollow.membership;

import cinderhollow.core.Dials;
import cinderhollow.core.Json;
import cinderhollow.core.SocketReads;
import cinderhollow.core.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.handler.timeout.ReadTimeoutException;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The watch on the list of hosts. Each {@link #watch} ends as one {@link Listener#failed}, sooner or later;
 * when to watch again is the module's decision.
 */
public final class Discovery {
    /** Told on the event loop, never from within {@link #watch}. */
    public interface Listener {
        /** The list, or changes to it, has come. */
        void listed(EndpointList list);

        /** The watch has ended. */
        void failed();
    }

    /**
     * An empty line comes every two seconds. Guards against a watch whose far side vanished: nothing ends
     * such a connection, and what it would have told counts as told after six seconds. By then a second watch has to have
     * told it, also where a dial hangs first.
     */
    public static final long SILENCE_MILLIS = 3_500;
    private static final int DIAL_MILLIS = 1_500, LONG_LINE = 1 << 16;
    /**
     * A call waits its turn for two seconds at the most, and is answered by then. Guards against a second silence right behind
     * the first, which would be noticed too late for what counts as told.
     */
    private static final long ANSWER_MILLIS = 2_500;
    /** The longest list: a longer one, or one without an end, breaks the watch. That of a large fleet has 100,000 hosts. */
    public static final int USUAL_LINE = 1 << 20, LARGE_LINE = 1 << 24;

    private final EventLoop loop;
    private final Transport transport;
    private final Listener listener;
    private final long silenceMillis;
    private final int longestLine;
    private final Consumer<String> log;
    private SocketAddress address;
    private long index;
    private Channel watch;
    /** Why this side ended the watch, or null. */
    private String endedFor;
    /** The reason that was logged last, until a list comes: one outage is told once and not with each call. */
    private String lastReason;

    /** Follows what changes after the version {@code index}; a watch that is silent for so long is broken. */
    public Discovery(EventLoop loop, Transport transport, SocketAddress address, long index, long silenceMillis,
              int longestLine, Listener listener, Consumer<String> log) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.index = index;
        this.silenceMillis = silenceMillis;
        this.longestLine = longestLine;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Goes over to another address at once, without a word to the listener: the list that it has still holds,
     * and what the new address tells comes on top. Its version may be lower, as that of any answer.
     * A watch that is open at that address already stays: a call costs discovery as much as one gateway more.
     */
    public void moveTo(SocketAddress next) {
        if (next.equals(address) && watch != null) {
            return;
        }
        log.accept("discovery: moves from " + address + " to " + next);
        address = next;
        close();
        watch();
    }

    /** Opens the watch; one that is open, or on its way, stays the only one. */
    public void watch() {
        if (watch != null) {
            return;
        }
        ChannelFuture dial = new Bootstrap().group(loop).channel(transport.client())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Objects objects = new Objects(longestLine);
                        ReadTimeoutHandler answer = new ReadTimeoutHandler(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
                        channel.pipeline().addLast(new ReadTimeoutHandler(silenceMillis, TimeUnit.MILLISECONDS), answer,
                                new HttpClientCodec(), new BodyBytes(answer), objects, new Lists(objects));
                    }
                }).connect(address);
        watch = dial.channel();
        endedFor = null;
        // The close future, unlike the end of a handler, is also told of a dial that failed.
        Dials.onEnd(dial, loop, () -> ended(dial));
    }

    /** Reads what the watch has told and nobody has read yet. */
    public void readNow() {
        if (watch != null) {
            SocketReads.now(watch);
        }
    }

    /** Ends the watch without a word to the listener. */
    public void close() {
        Channel old = watch;
        watch = null;
        if (old != null) {
            Dials.close(old);
        }
    }

    private void ended(ChannelFuture dial) {
        if (dial.channel() == watch) {
            watch = null;
            logEnd(dial.cause() != null ? "can't connect: " + dial.cause() : endedFor != null ? endedFor : "closed by discovery");
            listener.failed();
        }
    }

    private void logEnd(String reason) {
        if (!reason.equals(lastReason)) {
            lastReason = reason;
            log.accept("discovery: the watch at " + address + " has ended: " + reason);
        }
    }

    private void logList(EndpointList list) {
        lastReason = null;
        log.accept("discovery: version " + list.index() + (list.snapshot() ? " whole, " : " changes, ") + list.endpoints().size()
                + " endpoints");
    }

    /** Ends the watch, for a reason that is logged. */
    private void endFor(ChannelHandlerContext ctx, String reason) {
        if (ctx.channel() == watch && endedFor == null) {
            endedFor = reason;
        }
        ctx.close();
    }

    /** Lets through the bytes of a 200 answer, and ends the connection on any other and after the last. */
    private final class BodyBytes extends SimpleChannelInboundHandler<HttpObject> {
        /** Until the answer has begun. */
        private final ReadTimeoutHandler unanswered;

        BodyBytes(ReadTimeoutHandler unanswered) {
            this.unanswered = unanswered;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                endFor(ctx, "an answer that can't be read: " + part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpResponse head && !head.status().equals(HttpResponseStatus.OK)) {
                endFor(ctx, "answered " + head.status().code());
                return;
            }
            if (part instanceof HttpResponse) {
                ctx.pipeline().remove(unanswered);
            }
            if (part instanceof HttpContent content) {
                ctx.fireChannelRead(content.content().retain());
            }
            if (part instanceof LastHttpContent) {
                endFor(ctx, "its answer is over");
            }
        }
    }

    /** Cuts what comes where an object ends: usually one stands on each line, but they may come indented, over many. */
    private static final class Objects extends JsonObjectDecoder {
        Objects(int longest) {
            super(longest);
        }

        boolean isAmidst() {
            return actualReadableBytes() > 0;
        }
    }

    /** Asks, and reads the answer list by list. */
    private final class Lists extends ChannelInboundHandlerAdapter {
        private final Objects objects;
        /** Lists that have come whole so far. */
        private long told;
        private boolean watched;

        Lists(Objects objects) {
            this.objects = objects;
        }

        /** Guards against a list that trickles in and never ends: each byte of it would pass for a sign of life. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (objects.isAmidst() && !watched) {
                watched = true;
                long before = told;
                ctx.executor().schedule(() -> {
                    watched = false;
                    if (told == before && objects.isAmidst()) {
                        endFor(ctx, "a list that does not come whole");
                    }
                }, silenceMillis, TimeUnit.MILLISECONDS);
            }
            ctx.fireChannelReadComplete();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            DefaultFullHttpRequest ask = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/v1/endpoints?follow=1&since=" + index);
            ask.headers().set(HttpHeaderNames.HOST, host());
            ctx.writeAndFlush(ask);
        }

        /** Lists that wait for a long one before them to be read. */
        private final ArrayDeque<String> waiting = new ArrayDeque<>();
        private boolean reading;

        private String host() {
            return address instanceof InetSocketAddress a ? a.getHostString() + ":" + a.getPort() : "localhost";
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            told++;
            try {
                waiting.add(((ByteBuf) message).toString(StandardCharsets.UTF_8));
            } finally {
                ReferenceCountUtil.release(message);
            }
            readOn(ctx);
        }

        private void readOn(ChannelHandlerContext ctx) {
            while (!reading && !waiting.isEmpty()) {
                String line = waiting.poll();
                if (line.length() > LONG_LINE) {
                    // Guards against a stall: ten thousand hosts take the parser tens of milliseconds.
                    reading = true;
                    GlobalEventExecutor.INSTANCE.execute(() -> {
                        EndpointList list = read(line);
                        loop.execute(() -> {
                            reading = false;
                            listed(ctx, list);
                            readOn(ctx);
                        });
                    });
                } else {
                    listed(ctx, read(line));
                }
            }
        }

        /** Null where it can't be read. */
        private EndpointList read(String line) {
            try {
                return EndpointList.read(Json.read(line));
            } catch (IOException | RuntimeException e) {
                // Whatever it is: on the other thread nobody else would notice, and the watch would wait for ever.
                return null;
            }
        }

        private void listed(ChannelHandlerContext ctx, EndpointList list) {
            if (list == null) {
                // A change that can't be read leaves a gap: the next watch brings it again.
                waiting.clear();
                endFor(ctx, "a list that can't be read");
            } else if (ctx.channel() == watch) {
                index = list.index();
                logList(list);
                listener.listed(list);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            endFor(ctx, cause instanceof ReadTimeoutException ? "silent for too long" : cause.toString());
        }
    }
}
