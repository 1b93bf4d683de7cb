package cinderhollow.membership;

import cinderhollow.core.ConnectFutures;
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
 * Watches discovery's list of endpoints: an HTTP call whose answer stays open and brings the list and then its changes. Each
 * watch that {@link #watch} opens ends with one call of {@link Listener#watchEnded}, unless {@link #close} or {@link #moveTo} ends
 * it; the decision module decides when to watch again. Used on its event loop only.
 */
public final class Discovery {
    /** Receives the lists; called on the event loop, never from within {@link #watch}. */
    public interface Listener {
        /** Called when the list, or changes to it, have been received. */
        void listReceived(EndpointList list);

        /** Called when the watch has ended, or could not be opened. */
        void watchEnded();
    }

    /**
     * Read timeout of a watch. Discovery sends an empty line every 2 s. If the other side vanishes, nothing closes the
     * connection, so a watch without any data for this long is ended. A change counts as known to the gateway 6 s after it was
     * made; by then a second watch must have received it, even if its connect hangs first.
     */
    public static final long SILENCE_TIMEOUT_MILLIS = 3_500;
    /** The connect timeout, and the number of characters above which a list is parsed off the event loop. */
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500, MAX_INLINE_PARSE_CHARS = 1 << 16;
    /**
     * Timeout until the answer begins. Discovery queues a call for at most 2 s and then answers it. A second watch that gets no
     * answer, right after the first one fell silent, would be noticed too late by {@link #SILENCE_TIMEOUT_MILLIS} for the limit of 6 s.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 2_500;
    /**
     * Size limits of a list in bytes, for usual fleets and for large ones of up to 100,000 servers. A longer list, or one that
     * never ends, ends the watch.
     */
    public static final int MAX_LIST_BYTES = 1 << 20, MAX_LARGE_FLEET_LIST_BYTES = 1 << 24;

    private final EventLoop loop;
    private final Transport transport;
    private final Listener listener;
    private final long silenceTimeoutMillis;
    private final int maxListBytes;
    private final Consumer<String> log;
    private SocketAddress address;
    private long index;
    private Channel watch;
    /** Why this side ended the watch; null if it did not. */
    private String endReason;
    /** The reason that was logged last, cleared by the next list, so that an outage is logged once and not for each call. */
    private String lastLoggedReason;

    /**
     * Creates a watch that is not open yet. It follows the changes after the list version {@code index}.
     *
     * @param silenceTimeoutMillis a watch without any data for this long is ended
     * @param maxListBytes size limit of a list in bytes
     */
    public Discovery(EventLoop loop, Transport transport, SocketAddress address, long index, long silenceTimeoutMillis,
              int maxListBytes, Listener listener, Consumer<String> log) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.index = index;
        this.silenceTimeoutMillis = silenceTimeoutMillis;
        this.maxListBytes = maxListBytes;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Switches to another address of discovery at once. The listener is not called: the list that it has stays valid, and what
     * the new address sends is applied to it. The version there may be lower, as that of any answer may be. A watch that is
     * already open at that address stays open, as a call costs discovery as much as one more gateway does.
     */
    public void moveTo(SocketAddress next) {
        if (next.equals(address) && watch != null) {
            return;
        }
        log.accept("discovery: switching from " + address + " to " + next);
        address = next;
        close();
        watch();
    }

    /** Opens a watch, unless one is open or is being opened. */
    public void watch() {
        if (watch != null) {
            return;
        }
        ChannelFuture connectFuture = new Bootstrap().group(loop).channel(transport.clientChannelType())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        JsonFrameDecoder objects = new JsonFrameDecoder(maxListBytes);
                        ReadTimeoutHandler answer = new ReadTimeoutHandler(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                        channel.pipeline().addLast(new ReadTimeoutHandler(silenceTimeoutMillis, TimeUnit.MILLISECONDS), answer,
                                new HttpClientCodec(), new AnswerBodyHandler(answer), objects, new ListReader(objects));
                    }
                }).connect(address);
        watch = connectFuture.channel();
        endReason = null;
        // The close future, unlike a handler's channelInactive, also completes if the connect failed.
        ConnectFutures.onClose(connectFuture, loop, () -> ended(connectFuture));
    }

    /** Reads at once what has arrived on the watch's socket, without waiting for the event loop's next poll. */
    public void readNow() {
        if (watch != null) {
            SocketReads.readNow(watch);
        }
    }

    /** Closes the watch without calling the listener. */
    public void close() {
        Channel old = watch;
        watch = null;
        if (old != null) {
            ConnectFutures.closeIfOpen(old);
        }
    }

    private void ended(ChannelFuture connectFuture) {
        if (connectFuture.channel() == watch) {
            watch = null;
            logEnd(connectFuture.cause() != null ? "can't connect: " + connectFuture.cause() : endReason != null ? endReason
                    : "closed by discovery");
            listener.watchEnded();
        }
    }

    private void logEnd(String reason) {
        if (!reason.equals(lastLoggedReason)) {
            lastLoggedReason = reason;
            log.accept("discovery: the watch at " + address + " has ended: " + reason);
        }
    }

    private void logList(EndpointList list) {
        lastLoggedReason = null;
        log.accept("discovery: version " + list.index() + (list.snapshot() ? " full, " : " changes, ") + list.endpoints().size()
                + " endpoints");
    }

    /** Closes the connection; if it is that of the current watch, the reason is logged when the watch has ended. */
    private void endWatch(ChannelHandlerContext ctx, String reason) {
        if (ctx.channel() == watch && endReason == null) {
            endReason = reason;
        }
        ctx.close();
    }

    /** Passes on the body of an answer with status 200; closes the connection after its end, and on any other answer. */
    private final class AnswerBodyHandler extends SimpleChannelInboundHandler<HttpObject> {
        /** The timeout until the answer begins; removed from the pipeline when it has begun. */
        private final ReadTimeoutHandler answerTimeout;

        AnswerBodyHandler(ReadTimeoutHandler answerTimeout) {
            this.answerTimeout = answerTimeout;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                endWatch(ctx, "malformed HTTP answer: " + part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpResponse head && !head.status().equals(HttpResponseStatus.OK)) {
                endWatch(ctx, "unexpected HTTP status " + head.status().code());
                return;
            }
            if (part instanceof HttpResponse) {
                ctx.pipeline().remove(answerTimeout);
            }
            if (part instanceof HttpContent content) {
                ctx.fireChannelRead(content.content().retain());
            }
            if (part instanceof LastHttpContent) {
                endWatch(ctx, "discovery ended its answer");
            }
        }
    }

    /** Splits the body into JSON objects: usually there is one on each line, but an object may be indented over many lines. */
    private static final class JsonFrameDecoder extends JsonObjectDecoder {
        JsonFrameDecoder(int maxFrameBytes) {
            super(maxFrameBytes);
        }

        boolean hasPartialFrame() {
            return actualReadableBytes() > 0;
        }
    }

    /** Sends the call and reads the answer list by list. */
    private final class ListReader extends ChannelInboundHandlerAdapter {
        private final JsonFrameDecoder frameDecoder;
        /** Number of complete lists received so far. */
        private long listsReceived;
        /** Whether a check for a list that stalls is scheduled. */
        private boolean stallCheckPending;

        ListReader(JsonFrameDecoder frameDecoder) {
            this.frameDecoder = frameDecoder;
        }

        /**
         * Schedules a check that ends the watch if a list is not complete within the read timeout. The read timeout alone would
         * never end a watch whose list arrives byte by byte without an end, as each byte restarts it.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (frameDecoder.hasPartialFrame() && !stallCheckPending) {
                stallCheckPending = true;
                long listsBefore = listsReceived;
                ctx.executor().schedule(() -> {
                    stallCheckPending = false;
                    if (listsReceived == listsBefore && frameDecoder.hasPartialFrame()) {
                        endWatch(ctx, "a list was not complete within the read timeout");
                    }
                }, silenceTimeoutMillis, TimeUnit.MILLISECONDS);
            }
            ctx.fireChannelReadComplete();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            DefaultFullHttpRequest watchRequest = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/v1/endpoints?follow=1&since=" + index);
            watchRequest.headers().set(HttpHeaderNames.HOST, host());
            ctx.writeAndFlush(watchRequest);
        }

        /** Lists received that wait until a long one before them has been parsed. */
        private final ArrayDeque<String> unparsedLists = new ArrayDeque<>();
        private boolean parsing;

        private String host() {
            return address instanceof InetSocketAddress a ? a.getHostString() + ":" + a.getPort() : "localhost";
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            listsReceived++;
            try {
                unparsedLists.add(((ByteBuf) message).toString(StandardCharsets.UTF_8));
            } finally {
                ReferenceCountUtil.release(message);
            }
            parseNext(ctx);
        }

        private void parseNext(ChannelHandlerContext ctx) {
            while (!parsing && !unparsedLists.isEmpty()) {
                String line = unparsedLists.poll();
                if (line.length() > MAX_INLINE_PARSE_CHARS) {
                    // Off the event loop, which would stall: a list of 10,000 servers takes tens of milliseconds to parse.
                    parsing = true;
                    GlobalEventExecutor.INSTANCE.execute(() -> {
                        EndpointList list = parse(line);
                        loop.execute(() -> {
                            parsing = false;
                            deliver(ctx, list);
                            parseNext(ctx);
                        });
                    });
                } else {
                    deliver(ctx, parse(line));
                }
            }
        }

        /** Parses one list; returns null if it is malformed. */
        private EndpointList parse(String line) {
            try {
                return EndpointList.read(Json.read(line));
            } catch (IOException | RuntimeException e) {
                // Any runtime exception too: on the other thread nothing else would catch it, and the watch would wait for ever.
                return null;
            }
        }

        private void deliver(ChannelHandlerContext ctx, EndpointList list) {
            if (list == null) {
                // A malformed list leaves a gap in the changes; the next watch starts before it and receives them again.
                unparsedLists.clear();
                endWatch(ctx, "malformed list");
            } else if (ctx.channel() == watch) {
                index = list.index();
                logList(list);
                listener.listReceived(list);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            endWatch(ctx, cause instanceof ReadTimeoutException ? "no data within the read timeout" : cause.toString());
        }
    }
}
