package cinderhollow.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The side that clients see: takes in requests, and writes one answer to each. */
final class ClientServer {
    /** What the gateway makes of requests. Each is told on the event loop. */
    interface Listener {
        boolean ready();

        /** A request with its last byte; a plain line tells the client what is wrong with a bad one. */
        void requested(FullHttpRequest request, Reply reply) throws BadRequest;
    }

    /** A request that can't be taken in. */
    static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;

        BadRequest(HttpResponseStatus status, String line) {
            super(line);
            this.status = status;
        }
    }

    private static final int BACKLOG = 512, MOST_PIPELINED = 16;

    private final EventLoop loop;
    private final Transport transport;
    private final Listener listener;
    private final int mostConnections;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Those with no request open, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    private Channel acceptor;
    private boolean ending;

    ClientServer(EventLoop loop, Transport transport, int mostConnections, Listener listener) {
        this.loop = loop;
        this.transport = transport;
        this.mostConnections = mostConnections;
        this.listener = listener;
    }

    /** Starts to listen; the future fails where the address can't be had. */
    ChannelFuture listen(SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(transport.server())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new HttpObjectAggregator(AnswerReader.LARGEST_BODY), new Connection(channel));
                    }
                }).bind(address);
        acceptor = bound.channel();
        return bound;
    }

    /** Where it listens; of use where the port was left to the system. */
    InetSocketAddress address() {
        return (InetSocketAddress) acceptor.localAddress();
    }

    /** From now on each answer ends its connection. */
    void startEnding() {
        ending = true;
    }

    /** Takes in no more, and closes what stands idle. */
    void stopAccepting() {
        ending = true;
        acceptor.close();
        List.copyOf(idle).forEach(connection -> connection.channel.close());
    }

    /** Whether a client still waits for an answer, or for the rest of one. */
    boolean holdsAny() {
        return !connections.isEmpty();
    }

    /**
     * Guards against running out of descriptors: the longest idle makes room, and while none is idle, new
     * clients wait in the backlog.
     */
    private void bound() {
        if (connections.size() > mostConnections && !idle.isEmpty()) {
            idle.iterator().next().channel.close();
        }
        acceptor.config().setAutoRead(connections.size() <= mostConnections);
    }

    /** The way back to the client of one request. Only the first answer goes out. */
    final class Reply {
        private final Connection connection;
        private final boolean keepAlive;
        private Runnable left = () -> { };
        private boolean done;

        private Reply(Connection connection, boolean keepAlive) {
            this.connection = connection;
            this.keepAlive = keepAlive;
        }

        /** What to do when the client leaves before its answer. */
        void onLeft(Runnable action) {
            left = action;
        }

        /** Whether the client has its answer, or has gone. */
        boolean isDone() {
            return done;
        }

        /** A host's answer, unchanged. */
        void served(ByteBuf body) {
            write(HttpResponseStatus.OK, body.retain(), 0);
        }

        /** A plain line; {@code pauseNanos} tells when to come back, 0 for no advice. */
        void plain(HttpResponseStatus status, String line, long pauseNanos) {
            write(status, Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8), pauseNanos);
        }

        private void write(HttpResponseStatus status, ByteBuf body, long pauseNanos) {
            if (done) {
                body.release();
                return;
            }
            done = true;
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (pauseNanos > 0) {
                answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f",
                        (double) pauseNanos / TimeUnit.SECONDS.toNanos(1)));
            }
            connection.answer(answer, keepAlive && !ending);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        /** Requests that came before the one ahead had its answer. */
        private final ArrayDeque<FullHttpRequest> pipelined = new ArrayDeque<>();
        private Reply open;
        private boolean closing;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            idle.add(this);
            bound();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (closing) {
                return; // it was told so with the answer that is on its way
            }
            if (open != null || !pipelined.isEmpty()) {
                pipelined.add(request.retain());
                // Guards against piling up what one client sends ahead, without breaking off what is open.
                channel.config().setAutoRead(pipelined.size() < MOST_PIPELINED);
            } else {
                take(request);
            }
        }

        private void take(FullHttpRequest request) {
            idle.remove(this);
            boolean readable = request.decoderResult().isSuccess();
            Reply reply = new Reply(this, readable && HttpUtil.isKeepAlive(request));
            open = reply;
            if (!readable) {
                reply.plain(HttpResponseStatus.BAD_REQUEST, "not a readable HTTP request", 0);
            } else if (request.uri().equals("/ready")) {
                boolean ready = listener.ready();
                reply.plain(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        ready ? "ready" : "starting", 0);
            } else {
                try {
                    listener.requested(request, reply);
                } catch (BadRequest e) {
                    reply.plain(e.status, e.getMessage(), 0);
                }
            }
        }

        private void answer(DefaultFullHttpResponse answer, boolean keepAlive) {
            open = null;
            closing = !keepAlive;
            ChannelFuture written;
            if (keepAlive) {
                written = channel.writeAndFlush(answer);
            } else {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                written = channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            }
            written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            if (keepAlive && pipelined.isEmpty()) {
                idle.add(this);
            } else if (keepAlive) {
                // Guards against recursion through a run of requests that are answered at once.
                loop.execute(this::takeNext);
            }
        }

        private void takeNext() {
            if (open == null && !closing && channel.isActive() && !pipelined.isEmpty()) {
                FullHttpRequest next = pipelined.poll();
                channel.config().setAutoRead(true);
                try {
                    take(next);
                } finally {
                    next.release();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            idle.remove(this);
            pipelined.forEach(FullHttpRequest::release);
            pipelined.clear();
            bound();
            Reply unanswered = open;
            open = null;
            if (unanswered != null && !unanswered.done) {
                unanswered.done = true;
                unanswered.left.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
