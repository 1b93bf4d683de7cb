package cinderhollow.http1;

import cinderhollow.core.AcceptErrorHandler;
import cinderhollow.core.EventLoopLag;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.RequestCounters;
import cinderhollow.core.SocketReads;
import cinderhollow.core.Transport;
import cinderhollow.ledger.End;
import cinderhollow.ledger.Sheet;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Manages the connections of clients: accepts them, hands their requests to a listener, and writes one response to each request.
 * Enforces the limits on connections, pipelining and time. Belongs to one event loop; methods that other threads may call say so.
 */
public final class DownstreamConnectionManager {
    /** Handles the requests that have been received. All methods are called on the event loop. */
    public interface Listener {
        /** Returns whether the gateway is ready for new clients, which is the answer to {@code /ready}. */
        boolean isReady();

        /**
         * Handles a request. {@code arrivedAt} is the time at which its last byte was received, or, with an upload, at which the
         * upload began, while the rest of the body is still to come. {@code upload} is null if the request is whole.
         *
         * @throws BadRequest if the request is invalid; its message is sent to the client as the response's body
         */
        void onRequest(FullHttpRequest request, Upload upload, long arrivedAt, Reply reply) throws BadRequest;

        /** Reports an unexpected exception; the request that was being handled is answered by the caller. */
        void onInternalError(Throwable fault);
    }

    /** Thrown for a request that is rejected, with the status and the text of the response. */
    public static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;

        /** Creates an exception that answers the client with this status and this line of plain text. */
        public BadRequest(HttpResponseStatus status, String line) {
            super(line);
            this.status = status;
        }
    }

    /** Maximum length of the listening socket's queue of connections that are not accepted yet. */
    static final int BACKLOG = 512;
    private static final int NO_ACCOUNT = -1;
    /**
     * Bounds, in bytes, of pipelined requests: of one connection, and of all connections together. Each request counts with a
     * fixed overhead beside its body. A connection over its bound is not read.
     */
    private static final int MOST_AHEAD = 128 * 1024, MOST_AHEAD_IN_ALL = 4 * 1024 * 1024, AHEAD_EACH = 1024;
    /**
     * Number of bytes that are still read and discarded from a connection whose input is invalid, in order to notice when the
     * client closes it.
     */
    private static final long MOST_DISCARDED = 256 * 1024;
    /** A connection that brings no byte for this long after the connect is closed. */
    private static final long SAYS_NOTHING_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** A client that reads nothing of a large response for this long is presumed gone, and its connection is closed. */
    private static final long UNREAD_NANOS = TimeUnit.SECONDS.toNanos(20);
    /** Bounds of the outbound buffer of one connection, so that memory does not grow with the number of large responses. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /** Time after which the backlog is empty once accepting has resumed, unless accepting has been paused again by then. */
    private static final long BACKLOG_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * A client that connects in order to send a request does so within this time; until then its new connection is not closed to
     * make room.
     */
    private static final long YOUNG_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /**
     * In milliseconds: the interval of the check for room while the connection limit is exceeded; the delay of the close after a
     * response to unreadable input; the time for which the rest of an upload is discarded before the close; the minimum delay of
     * any other close after a response.
     */
    private static final long RECHECK_MILLIS = 20, LINGER_MILLIS = 200, DISCARD_MILLIS = 1_000, CLOSE_MILLIS = 50;
    /**
     * Clients may read a response at a rate as low as 64 kB/s; the delay of the close behind a response allows for it. Of a
     * streamed response, up to {@code MAX_UNSENT_STREAMED_BYTES} may still be in the socket's send buffer.
     */
    private static final int SLOWEST_BYTES_PER_MILLI = 64, LARGE_ANSWER = 128 * 1024;
    /** Interval of the polls of the backlog during shutdown, in milliseconds, and their maximum number. */
    static final long LOOK_MILLIS = 5;
    static final int MOST_LOOKS = 100;
    /**
     * Idle timeout of connections while more than half of the connection limit is in use: a client that has sent no request for
     * this long is presumed to have no more to send.
     */
    private static final long LONG_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * Time in standby before unused connections are closed. A load balancer in front of the gateway polls {@code /ready}
     * periodically, and stops sending this long after the first negative answer at the latest.
     */
    private static final long FRONT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EventLoop loop;
    private final Transport transport;
    private final GatewayClock clock;
    private final EventLoopLag lag;
    private final Listener listener;
    /** Ledger counters for requests; null if no ledger is kept. */
    private final Sheet sheet;
    private final int mostConnections;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections that have had a request and have none open, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    /**
     * Connections with no request open that have never sent one, or have sent a part of the next one; the longest waiting first.
     */
    private final Set<Connection> due = new LinkedHashSet<>();
    /** Connections whose last response has been sent and that are about to be closed. */
    private final Set<Connection> lingering = new LinkedHashSet<>();
    /** Connections with a large body under way, in either direction, or with a response that is not flushed yet. */
    private final Set<Connection> moving = new LinkedHashSet<>();
    private final AcceptErrorHandler acceptErrors = new AcceptErrorHandler(this::acceptAgain);
    /** Whether accepting is paused because an accept has failed a moment ago. */
    private boolean acceptPaused;
    /** Connections accepted before this time may have waited in the backlog, because accepting was paused for a time. */
    private long heldBackUntil = Long.MIN_VALUE;
    /** Channel of the listening socket; null if an {@link Acceptor} accepts the connections. */
    private Channel acceptor;
    /** Whether another process holds the listening socket too; this process then never closes it. */
    private boolean shared;
    /**
     * Connections dispatched by an {@link Acceptor} that are not registered yet. This and the next two fields are read by the
     * acceptor's thread.
     */
    private final AtomicInteger handedOver = new AtomicInteger();
    /** Number of connections. */
    private volatile int held;
    private volatile boolean room = true;
    /** Whether each response ends its connection from now on. */
    private boolean ending;
    /** Whether idle connections are closed from now on. */
    private boolean emptying;
    /** True from the start of the shutdown until the listener is closed. */
    private boolean stopping;
    private boolean standby;
    private boolean sharesPlaces;
    /** Number of connections taken in so far. */
    private long takenIn;
    /** Size of the pipelined requests of all connections, in bytes. */
    private long ahead;
    private long standbySince;
    private boolean rechecking;

    /**
     * Creates the manager, which accepts no connections yet.
     *
     * @param loop event loop of all connections
     * @param transport kind of sockets to listen with
     * @param clock clock of all times
     * @param lag lag of the event loop, by which the arrival of input is dated
     * @param mostConnections maximum number of connections
     * @param listener handles the requests
     * @param sheet ledger counters for requests, or null
     */
    public DownstreamConnectionManager(EventLoop loop, Transport transport, GatewayClock clock, EventLoopLag lag, int mostConnections,
                        Listener listener, Sheet sheet) {
        this.lag = lag;
        this.sheet = sheet;
        this.loop = loop;
        this.transport = transport;
        this.clock = clock;
        this.mostConnections = mostConnections;
        this.listener = listener;
        // The check runs after the next poll of the sockets: after a time in which the loop was busy, it must not close
        // connections whose request has been waiting unread.
        loop.scheduleWithFixedDelay(() -> afterALook(this::endOverdue), ArrivalTimer.SWEEP_MILLIS, ArrivalTimer.SWEEP_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Starts to listen on an address. The future fails if the address cannot be bound. */
    public ChannelFuture listen(SocketAddress address) {
        return listen(new ServerBootstrap(), address);
    }

    /**
     * Starts to listen with {@code SO_REUSEPORT}, as one of several listeners on the same address among which the kernel
     * distributes connections.
     */
    public ChannelFuture listenWithReusePort(SocketAddress address) {
        return listen(new ServerBootstrap().option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true), address);
    }

    /**
     * Accepts from a bound listening socket that another process holds too. {@code first} is a connection that has already been
     * accepted from it, or null.
     */
    public ChannelFuture listen(ServerSocketChannel held, SocketChannel first) {
        ChannelFuture registered = new ServerBootstrap().group(loop).channelFactory(() -> new NioServerSocketChannel(held))
                .handler(acceptErrors).childHandler(new Begins()).register();
        acceptor = registered.channel();
        shared = true;
        if (first != null) {
            adopt(new NioSocketChannel(first));
        }
        return registered;
    }

    /** Stops accepting from a listening socket that another process holds too. From now on each response ends its connection. */
    public void stopAcceptingFromSharedListener() {
        ending = true;
        if (acceptor != null) {
            acceptor.config().setAutoRead(false);
        }
    }

    private ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
        if (transport != Transport.IN_PROCESS) {
            bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG);
        }
        ChannelFuture bound = bootstrap.group(loop).channel(transport.serverChannelType())
                .handler(acceptErrors).childHandler(new Begins()).bind(address);
        acceptor = bound.channel();
        return bound;
    }

    /** Sets up the pipeline of a client's connection. */
    private final class Begins extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            Connection connection = new Connection(channel);
            channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
            channel.config().setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator(64, 2048, UpstreamPool.LARGEST_READ));
            channel.pipeline().addLast(connection.decoder, new HttpResponseEncoder(), connection.assembler, connection);
        }
    }

    /** Takes over a connection that an {@link Acceptor} has accepted. Called on the acceptor's thread. */
    void adopt(Channel channel) {
        handedOver.incrementAndGet();
        channel.pipeline().addLast(new Begins());
        loop.register(channel).addListener(registered -> {
            handedOver.decrementAndGet();
            if (!registered.isSuccess()) {
                channel.close();
            }
        });
    }

    /**
     * Returns whether one more connection can be taken; a connection that is of little use may be closed to make room for it. May
     * be called from any thread.
     */
    boolean hasRoom() {
        return room && held + handedOver.get() <= mostConnections;
    }

    /**
     * Returns the load by which an {@link Acceptor} orders event loops; the lowest is given the next connection. Connections that
     * were dispatched and are not registered yet outweigh all connections that are held. May be called from any thread.
     */
    long strain() {
        return held + ((long) handedOver.get() << Integer.SIZE);
    }

    /** Returns the address it listens on, with the actual port if an ephemeral one was requested. */
    public InetSocketAddress address() {
        return (InetSocketAddress) acceptor.localAddress();
    }

    /**
     * Stops accepting, closes idle connections, and ends the connection of each response from now on. The listener is closed only
     * after further polls of the sockets: the event loop may have been busy until now, and connections in the backlog and
     * requests that were not read yet count as accepted by the rules of the platform, though this process has not seen them.
     */
    public void stopAccepting() {
        ending = true;
        emptying = true;
        stopping = true;
        bound();
        lookAgain(MOST_LOOKS);
    }

    /**
     * Closes all connections that have no request open. Clients that have sent a part of a request are answered with a 408, since
     * the rest would come too late.
     */
    public void closeAllWithoutOpenRequest() {
        List.copyOf(due).forEach(Connection::overdue);
        List.copyOf(idle).forEach(Connection::drop);
    }

    /**
     * Closes unused connections after each poll of the sockets, and closes the listener once no further connection can be in the
     * backlog, or no polls are left.
     */
    private void lookAgain(int left) {
        long before = takenIn;
        afterALook(() -> {
            List.copyOf(idle).forEach(Connection::drop);
            long old = clock.nanos() - YOUNG_NANOS;
            List.copyOf(due).stream().filter(c -> !c.begun && c.dueSince <= old).forEach(Connection::drop);
            bound();
            boolean mayWait = takenIn != before || !room || acceptPaused || !due.isEmpty() && due.iterator().next().dueSince > old;
            if (mayWait && left > 0) {
                lookAgain(left - 1);
                return;
            }
            stopping = false;
            if (acceptor != null && !shared) {
                acceptor.close();
            }
        });
    }

    /** Turns standby on or off. In standby each response ends its connection, and after a time unused connections are closed. */
    public void setStandby(boolean empty) {
        standbySince = standby ? standbySince : clock.nanos();
        standby = empty;
    }

    /**
     * Closes unused connections in standby, also those that were opened late and never sent a request; otherwise clients would
     * stay with a gateway that has been drained.
     */
    private void empty() {
        long now = clock.nanos();
        if (standby && now - standbySince >= FRONT_NANOS) {
            List.copyOf(idle).forEach(Connection::drop);
            List.copyOf(due).stream().filter(c -> !c.begun && now - c.dueSince >= FRONT_NANOS).forEach(Connection::drop);
        }
    }

    /** Returns the number of requests that have been received and wait for an earlier one on their connection. */
    public int pipelinedRequestCount() {
        return connections.stream().mapToInt(connection -> connection.pipelined.size()).sum();
    }

    /** Sets whether another process uses a part of the connection limit; if so, this side uses at most half of it. */
    public void setConnectionLimitShared(boolean shares) {
        sharesPlaces = shares;
        bound();
    }

    private int most() {
        return sharesPlaces ? Math.max(1, mostConnections / 2) : mostConnections;
    }

    /**
     * Returns the number of open requests of each account. Counts them on the connections themselves, independently of the
     * ledger's counters.
     */
    public long[] openRequestsByAccount(int accounts) {
        long[] waiting = new long[accounts];
        for (Connection connection : connections) {
            if (connection.open != null && connection.open.account != NO_ACCOUNT) {
                waiting[connection.open.account]++;
            }
        }
        return waiting;
    }

    /** Returns whether any connection is open, or may yet be taken in. */
    public boolean hasOpenOrPendingConnections() {
        return stopping || handedOver.get() > 0 || !connections.isEmpty();
    }

    /**
     * Enforces the connection limit, so that file descriptors do not run out, and silent clients do not displace those that send
     * requests. With too many connections, the one of least use is closed; while none can be spared, new connections wait in the
     * backlog.
     */
    private void bound() {
        countRoom();
        if (!room && !rechecking) {
            rechecking = true;
            // After the next poll of the sockets: a connection must not be closed whose request has arrived and is only not read
            // yet.
            afterALook(this::makeRoom);
        }
    }

    private void makeRoom() {
        while (connections.size() > most()) {
            Connection spared = leastUseful();
            if (spared == null) {
                break;
            }
            spared.drop();
        }
        countRoom();
        if (room) {
            rechecking = false;
        } else {
            loop.schedule(this::makeRoom, RECHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void countRoom() {
        room = connections.size() <= most();
        held = connections.size();
        boolean accepts = room && !acceptPaused && !(shared && ending);
        if (!accepts) {
            heldBackUntil = Long.MAX_VALUE;
        } else if (heldBackUntil == Long.MAX_VALUE) {
            heldBackUntil = clock.nanos() + BACKLOG_NANOS;
        }
        if (acceptor != null) {
            acceptor.config().setAutoRead(accepts);
        }
    }

    private void acceptAgain(boolean on) {
        acceptPaused = !on;
        if (acceptor.isOpen()) {
            countRoom();
        }
    }

    /**
     * Runs a task once the sockets have been polled again. The task is delayed because all tasks that are due run before the next
     * poll.
     */
    private void afterALook(Runnable task) {
        loop.schedule(task, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the connection to close for room, or null. The order is: a connection that is about to be closed anyway, then the
     * one that has waited longest for a request, if its grace period is over; the longest idle one only if there is no such
     * connection at all.
     */
    private Connection leastUseful() {
        if (!lingering.isEmpty()) {
            return lingering.iterator().next();
        }
        if (!due.isEmpty()) {
            Connection longest = due.iterator().next();
            return clock.nanos() - longest.dueSince >= YOUNG_NANOS ? longest : null;
        }
        return idle.isEmpty() ? null : idle.iterator().next();
    }

    /**
     * Returns whether more than half of the connection limit is in use; then each response ends its connection, and a client with
     * more requests connects anew. Otherwise clients that keep a connection open for good without using it would take one place
     * after the other, until those with requests find none; the same goes for crowds of silent clients that take what is left.
     * This could do harm where connecting is slow or expensive and more clients than half the limit come back often.
     */
    private boolean crowded() {
        // Connections that have had their last response are closed first for room, so they take no place from anybody.
        return connections.size() - lingering.size() > mostConnections / 2;
    }

    /**
     * Closes connections that exceed a time limit, such as those of clients that send nothing, or send so slowly that their
     * request never completes.
     */
    private void endOverdue() {
        empty();
        long unused = clock.nanos() - LONG_IDLE_NANOS;
        while (crowded() && !idle.isEmpty() && idle.iterator().next().idleSince <= unused) {
            idle.iterator().next().drop();
        }
        long now = clock.nanos();
        for (Connection connection : List.copyOf(due)) {
            if (connection.isOverdue(now)) {
                connection.overdue();
            }
        }
        List.copyOf(moving).forEach(connection -> connection.checkMoving(now));
    }

    /** Sends the response to one request. Only the first response is written; later ones are ignored. */
    public final class Reply {
        private final Connection connection;
        private final boolean keepAlive;
        private Runnable left = () -> { };
        /** Number of the ledger account, if the request was accepted and a ledger is kept. */
        private int account = NO_ACCOUNT;
        private String id;
        /** Counters of requests; may be null. */
        private RequestCounters tally;
        /** Whether the response's head has been sent, or the client has gone. */
        private boolean done;
        /** Upstream side of a streamed response until its end; otherwise null. */
        private ResponseSink.Source source;
        /**
         * Whether the body of the streamed response is delimited by the end of the connection, so that only the way the
         * connection ends tells a complete response from an aborted one.
         */
        private boolean unframed;
        /** Whether the connection is kept after this response. */
        private boolean keepsAlive;
        /** Upload that carries the request's body; null if the request was received whole. */
        private final Upload upload;
        /** Whether the response must have no body, because the request is a HEAD. */
        private final boolean bodyless;
        /** Whether the request came in HTTP/1.0, whose clients do not know the chunked coding. */
        private final boolean old;

        private Reply(Connection connection, FullHttpRequest request, Upload upload, boolean keepAlive) {
            this.connection = connection;
            this.upload = upload;
            this.keepAlive = keepAlive;
            bodyless = request != null && request.method().equals(HttpMethod.HEAD);
            old = request != null && request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        }

        /** Sets the ledger account of the request, and its id. Must be called before the request is answered. */
        public void setAccount(int number, String name) {
            account = number;
            id = name;
        }

        /** Sets the counters that count the request's end. Must be called before the request is answered. */
        public void setCounters(RequestCounters counts) {
            tally = counts;
        }

        private void count(End end) {
            sheet.end(account, end, id);
        }

        /**
         * Sets the action to run when the client leaves before its response is complete, or when the gateway itself has answered
         * after a failure.
         */
        public void onAbandoned(Runnable action) {
            left = action;
        }

        /**
         * Returns whether the client's connection is open. Reads its socket first if input may have been waiting there for long.
         */
        public boolean isClientPresent() {
            return connection.isPresent();
        }

        /** Returns whether the response's head has been sent, or the client has gone. */
        public boolean isConcluded() {
            return done;
        }

        /** Returns whether nothing more of the response is to come. */
        public boolean isFinished() {
            return done && source == null;
        }

        /**
         * Sends the head of a server's response that is streamed. {@code contentLength} is the length of the body in bytes, or -1
         * if it is known only once the body ends.
         */
        public void startStreaming(long length, ResponseSink.Source from) {
            done = true;
            source = from;
            if (account != NO_ACCOUNT) {
                count(End.SERVED);
            }
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            unframed = length < 0 && old;
            if (length >= 0) {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            } else if (!old) {
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            keepsAlive = staysOpen() && !unframed;
            tellConnection(head);
            if (unframed) {
                // The body ends with the connection, and a reset marks it as incomplete: whatever ends the connection before,
                // also a kill of this process, must be a reset.
                connection.lingerOnClose(0);
            }
            connection.movedAt = clock.nanos();
            moving.add(connection);
            connection.channel.write(head);
        }

        /** Writes body bytes of a streamed response, and releases them. */
        public void writeData(ByteBuf bytes) {
            connection.movedAt = clock.nanos();
            connection.channel.writeAndFlush(new DefaultHttpContent(bytes));
            connection.pace();
        }

        /** Completes a streamed response. */
        public void endStreaming() {
            if (source == null) {
                return;
            }
            source = null;
            if (tally != null) {
                tally.answered(HttpResponseStatus.OK.code());
            }
            if (unframed) {
                connection.lingerOnClose(-1);
            }
            connection.answer(LastHttpContent.EMPTY_LAST_CONTENT, keepsAlive && connection.channel.isActive());
        }

        /**
         * Aborts a streamed response that cannot be completed, by closing the connection, so that the client can tell that it is
         * incomplete.
         */
        public void abortStreaming() {
            if (source == null) {
                return;
            }
            source = null;
            if (tally != null) {
                tally.answerAborted();
            }
            connection.open = null;
            connection.drop();
        }

        private boolean staysOpen() {
            // Pipelined requests must still be answered. While a body is still being received, it is unknown where the next
            // request begins.
            boolean spared = (crowded() || ending || standby) && connection.pipelined.isEmpty();
            return keepAlive && !spared && (upload == null || upload.isFullyReceived());
        }

        private void tellConnection(HttpResponse head) {
            if (!keepsAlive) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (old) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
            }
        }

        /** Sends a server's 200 response with its body unchanged. */
        public void respondOk(ByteBuf body) {
            write(HttpResponseStatus.OK, body.retain(), 0);
        }

        /**
         * Sends a status and a line of plain text. {@code retryAfterNanos} is sent as {@code Retry-After}, in seconds; 0 sends
         * none.
         */
        public void respondPlainText(HttpResponseStatus status, String line, long pauseNanos) {
            write(status, Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8), pauseNanos);
        }

        private void write(HttpResponseStatus status, ByteBuf body, long pauseNanos) {
            if (done) {
                body.release();
                return;
            }
            done = true;
            if (account != NO_ACCOUNT) {
                // Recorded by the status that is sent, not by the intended one.
                count(status.equals(HttpResponseStatus.OK) ? End.SERVED
                        : status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? End.REFUSED : End.FAILED);
            }
            if (tally != null) {
                tally.answered(status.code());
            }
            int length = body.readableBytes();
            if (bodyless) {
                body.clear();
            }
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
            if (pauseNanos > 0) {
                answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f",
                        (double) pauseNanos / TimeUnit.SECONDS.toNanos(1)));
            }
            keepsAlive = staysOpen();
            tellConnection(answer);
            connection.answer(answer, keepsAlive);
        }
    }

    /** A request, or what stands for one that was unreadable, and when its last byte was received. */
    private record Arrived(FullHttpRequest request, Upload upload, long at) {
        /** Returns roughly how many bytes of memory it takes while it waits. */
        long size() {
            return AHEAD_EACH + request.content().capacity();
        }
    }

    /** Netty's request decoder, made stricter, which can change over to discarding its input. */
    private static final class Decoder extends HttpRequestDecoder {
        /** Value of the budget while input is decoded and not discarded. */
        private static final long READS = -1;
        /** Number of input bytes that may still be discarded. */
        private long mayDiscard = READS;

        Decoder() {
            super(new HttpDecoderConfig().setAllowDuplicateContentLengths(true));
        }

        /**
         * Rejects a request with both a length and chunks, against request smuggling: two readers would find two different ends
         * of it (RFC 9112, section 6.3).
         */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
        }

        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        /**
         * Discards all input from now on, up to the given number of bytes; then stops reading. Reading on makes the end of the
         * connection visible.
         */
        void discard(long most) {
            mayDiscard = most;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (mayDiscard == READS) {
                super.channelRead(ctx, message);
                return;
            }
            mayDiscard = Math.max(0, mayDiscard - ((ByteBuf) message).readableBytes());
            ReferenceCountUtil.release(message);
            if (mayDiscard == 0) {
                ctx.channel().config().setAutoRead(false);
            }
        }
    }

    /** One connection of a client, and the requests on it. */
    private final class Connection extends SimpleChannelInboundHandler<RequestAssembler.Incoming> {
        private final Channel channel;
        private final Decoder decoder = new Decoder();
        private final RequestAssembler assembler = new RequestAssembler(this::isFree, this::read, this::uploadBroke);
        /** Pipelined requests: received before the response to an earlier one was complete. */
        private final ArrayDeque<Arrived> pipelined = new ArrayDeque<>();
        /** Reply of the request that is open, or null. */
        private Reply open;
        /** Number of responses, or last parts of them, that are not flushed because the client has not read them yet. */
        private int unflushed;
        /** Size of the pipelined requests in bytes. */
        private long ahead;
        /** Whether the upload under way wants more data. */
        private boolean uploadReads = true;
        /** Since when the next request is awaited: the time of the connect, or of the request's first byte. */
        private long dueSince;
        /** Earliest time since when bytes may have been waiting on the connection when it was accepted. */
        private long openSince;
        private long idleSince;
        /** Time limits of the request that is being received. */
        private final ArrivalTimer arrival = new ArrivalTimer();
        /** When a part of a large response last went out. */
        private long movedAt;
        /** Whether a request has been received on this connection. */
        private boolean asked;
        /**
         * Whether the connection may have waited in the backlog, so that its input is old: the client's close may already follow
         * its request.
         */
        private boolean waitedInBacklog;
        /** Whether a part of the next request has been received. */
        private boolean begun;
        /** Whether input is ignored: it is unreadable, or the response under way announces the end of the connection. */
        private boolean deaf;
        private boolean closing;

        Connection(Channel channel) {
            super(false);
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            takenIn++;
            dueSince = clock.nanos();
            openSince = lag.earliestArrivalOnNewConnection(dueSince);
            waitedInBacklog = dueSince < heldBackUntil;
            due.add(this);
            bound();
        }

        private boolean isFree() {
            return open == null && pipelined.isEmpty();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RequestAssembler.Incoming incoming) {
            FullHttpRequest request = incoming.request();
            if (deaf) {
                request.release();
                if (incoming.upload() != null) {
                    incoming.upload().drop();
                }
                return;
            }
            begun = false;
            if (!request.decoderResult().isSuccess()) {
                // Spends no time on parsing the rest of unreadable input.
                deaf = true;
                decoder.discard(MOST_DISCARDED);
            }
            long now = clock.nanos();
            Arrived arrived = new Arrived(request, incoming.upload(), asked ? lag.earliestArrival(now) : earliestArrival(now));
            boolean free = isFree();
            if (free && !mayBeOld(now)) {
                take(arrived);
                return;
            }
            pipelined.add(arrived);
            count(arrived.size());
            if (free) {
                // The client's close may already follow the request; that is read first.
                loop.execute(this::takeNext);
            }
        }

        /**
         * Returns whether what is read now may have waited for long, because the event loop was late or since before the
         * connection was accepted.
         */
        private boolean mayBeOld(long now) {
            return lag.isStale(now) || waitedInBacklog;
        }

        private long earliestArrival(long now) {
            return openSince < dueSince && now - dueSince <= EventLoopLag.TICK_INTERVAL_NANOS ? openSince : lag.earliestArrival(now);
        }

        /**
         * Returns whether the client is present, as far as the operating system can tell. Must not be called from within a read
         * of this connection.
         */
        private boolean isPresent() {
            if (channel.isActive() && mayBeOld(clock.nanos())) {
                SocketReads.readNow(channel);
            }
            return channel.isActive();
        }

        /**
         * Adjusts the size of the pipelined requests, and pauses reading over the bound, so that one client's requests do not
         * pile up and the open request is not aborted. While a response is pending, the connection is read where possible: only a
         * read shows that the client has left, and pipelined requests would otherwise still be sent to a server.
         */
        private void count(long more) {
            ahead += more;
            DownstreamConnectionManager.this.ahead += more;
            readOn();
        }

        private void readOn() {
            boolean full = ahead >= MOST_AHEAD || ahead > 0 && DownstreamConnectionManager.this.ahead >= MOST_AHEAD_IN_ALL;
            channel.config().setAutoRead(uploadReads && !full && decoder.mayDiscard != 0);
        }

        /**
         * Sets whether the upload under way wants more data. The reading of later requests is decided by the pipelining bounds.
         */
        private void read(boolean on) {
            uploadReads = on;
            readOn();
        }

        /** Answers or closes a request whose body cannot be read any further. */
        private void uploadBroke() {
            endUpload(HttpResponseStatus.BAD_REQUEST, "the body can't be read");
        }

        private void endUpload(HttpResponseStatus status, String line) {
            Reply reply = open;
            if (reply != null && !reply.done) {
                reply.respondPlainText(status, line, 0);
                reply.left.run();
            } else {
                channel.close();
            }
        }

        /** Stops reading the streamed response from the server while the client's outbound buffer is full. */
        private void pace() {
            if (open != null && open.source != null) {
                open.source.reading(channel.isWritable());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (channel.isWritable()) {
                movedAt = clock.nanos();
            }
            pace();
            ctx.fireChannelWritabilityChanged();
        }

        /**
         * Enforces the time limits of large bodies: clients must not occupy a place for good by sending a body too slowly, or by
         * reading nothing of a response.
         */
        private void checkMoving(long now) {
            Upload upload = open == null ? null : open.upload;
            boolean comes = upload != null && !upload.isFullyReceived();
            if (comes) {
                arrival.observe(now, assembler.received(), upload.isRead());
            }
            boolean stuck = open != null && open.source != null ? !channel.isWritable() : unflushed > 0;
            if (comes && arrival.isOverdue(now)) {
                endUpload(HttpResponseStatus.REQUEST_TIMEOUT, "the body did not come in time");
            } else if (stuck && now - movedAt > UNREAD_NANOS) {
                channel.close();
            } else if (unflushed == 0 && (open == null || !comes && open.source == null)) {
                moving.remove(this);
            }
        }

        /** Returns whether the connection, which has no request open, has waited too long for its next request. */
        private boolean isOverdue(long now) {
            if (!begun) {
                return now - dueSince >= SAYS_NOTHING_NANOS;
            }
            arrival.observe(now, assembler.received(), true);
            return arrival.isOverdue(now);
        }

        /** Starts the time limit of a request at its first byte; no later byte renews it. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean amidst = decoder.holdsBytes() || assembler.amidst();
            if (amidst && !begun) {
                dueSince = asked ? clock.nanos() : dueSince;
                arrival.start(clock.nanos());
            }
            begun = amidst;
            place();
            ctx.fireChannelReadComplete();
        }

        /** Puts the connection into the sets that its state belongs to. */
        private void place() {
            // A connection with a response that the client has not read yet is kept until the rest is read.
            boolean rests = connections.contains(this) && isFree() && !deaf && unflushed == 0;
            boolean isDue = rests && (begun || !asked);
            keep(due, isDue);
            boolean wasIdle = idle.contains(this);
            keep(idle, rests && !isDue);
            idleSince = wasIdle ? idleSince : clock.nanos();
        }

        private void keep(Set<Connection> set, boolean in) {
            if (in) {
                set.add(this);
            } else {
                set.remove(this);
            }
        }

        private void take(Arrived arrived) {
            FullHttpRequest request = arrived.request;
            asked = true;
            boolean readable = request.decoderResult().isSuccess();
            boolean probes = request.uri().equals("/ready");
            // Readiness probes come on a connection of their own each; closing it after the response keeps them from taking
            // clients' places.
            Reply reply = new Reply(this, request, arrived.upload, readable && !probes && HttpUtil.isKeepAlive(request));
            open = reply;
            place();
            if (arrived.upload != null) {
                arrival.start(clock.nanos());
                moving.add(this);
            }
            try {
                if (!readable) {
                    reply.respondPlainText(HttpResponseStatus.BAD_REQUEST, "not a readable HTTP request", 0);
                } else if (probes) {
                    boolean ready = listener.isReady();
                    reply.respondPlainText(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            ready ? "ready" : "starting", 0);
                } else {
                    listener.onRequest(request, arrived.upload, arrived.at, reply);
                    if (arrived.upload != null && !reply.done) {
                        assembler.goOn();
                    }
                    if (reply.account != NO_ACCOUNT) {
                        sheet.open(reply.account, reply.id);
                    }
                }
            } catch (BadRequest e) {
                reply.respondPlainText(e.status, e.getMessage(), 0);
            } catch (RuntimeException e) {
                // A request that was read is always answered, whatever fails here.
                answerFault(reply, e);
            } finally {
                request.release();
            }
        }

        private void answerFault(Reply reply, Throwable fault) {
            listener.onInternalError(fault);
            reply.respondPlainText(HttpResponseStatus.BAD_GATEWAY, "failed: it may have run", 0);
            reply.left.run();
        }

        /** Writes the response to the open request, or its last part, and takes up the next request or ends the connection. */
        private void answer(HttpObject answer, boolean keepAlive) {
            Upload left = open == null ? null : open.upload;
            boolean partial = left != null && !left.isFullyReceived();
            if (left != null) {
                left.drop();
            }
            open = null;
            waitedInBacklog = false;
            moving.remove(this);
            if (keepAlive) {
                flushed(channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE));
                if (!pipelined.isEmpty()) {
                    // Scheduled, to avoid recursion through a series of requests that are answered at once.
                    loop.execute(this::takeNext);
                } else {
                    assembler.goOn();
                }
            } else {
                boolean unread = deaf;
                deaf = true;
                closing = true;
                int length = answer instanceof FullHttpResponse full ? full.content().readableBytes() : LARGE_ANSWER;
                ChannelFuture written = channel.writeAndFlush(answer);
                flushed(written);
                if (partial) {
                    endLater(written, DISCARD_MILLIS);
                } else if (unread) {
                    written.addListener(done -> keep(lingering, connections.contains(this)));
                    endLater(written, LINGER_MILLIS);
                } else {
                    closeBehind(written, length);
                }
            }
            place();
        }

        /**
         * Counts a write until it is flushed. A connection must not be taken for idle, and closed, while its client still reads a
         * response.
         */
        private void flushed(ChannelFuture written) {
            if (!written.isDone()) {
                unflushed++;
                movedAt = clock.nanos();
                moving.add(this);
                written.addListener(done -> {
                    unflushed--;
                    movedAt = clock.nanos();
                    place();
                    if (emptying) {
                        afterALook(() -> {
                            if (idle.contains(this)) {
                                drop();
                            }
                        });
                    }
                });
            }
        }

        /**
         * Half-closes the connection after the response is written, and closes it after the given time. Closing with unread input
         * causes a reset, which would discard the response of a client that is still sending. The time starts when the response
         * has been written.
         */
        private void endLater(ChannelFuture written, long millis) {
            written.addListener(done -> {
                if (done.isSuccess()) {
                    ((DuplexChannel) channel).shutdownOutput();
                    loop.schedule(() -> channel.close(), millis, TimeUnit.MILLISECONDS);
                } else {
                    channel.close();
                }
            });
        }

        /**
         * Half-closes the connection after the response is written, and closes it once the client has had the time to read the
         * response and close its own side. Input received meanwhile stays unread, so that the client can tell that nobody
         * processed it; an immediate close with such input pending would cause a reset, which discards the response.
         */
        private void closeBehind(ChannelFuture written, int length) {
            written.addListener(done -> {
                if (!done.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
                    channel.close();
                    return;
                }
                keep(lingering, connections.contains(this));
                channel.config().setAutoRead(false);
                duplex.shutdownOutput();
                loop.schedule(() -> channel.close(), CLOSE_MILLIS + length / SLOWEST_BYTES_PER_MILLI, TimeUnit.MILLISECONDS);
            });
        }

        private void takeNext() {
            if (open == null && !closing && channel.isActive() && !pipelined.isEmpty()) {
                Arrived next = pipelined.poll();
                count(-next.size());
                take(next);
            }
        }

        /**
         * Ends a connection whose next request has not been received in time: with a 408 if a part of it has been received,
         * otherwise without a response.
         */
        private void overdue() {
            if (begun) {
                deaf = true;
                decoder.discard(MOST_DISCARDED);
                Reply reply = new Reply(this, null, null, false);
                open = reply;
                reply.respondPlainText(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time", 0);
            } else {
                drop();
            }
        }

        /**
         * Sets {@code SO_LINGER}: with 0 the close is a reset, with -1 it is a normal one. Setting it fails on a connection that
         * is broken by now, which is then closed.
         */
        private void lingerOnClose(int seconds) {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, seconds);
            } catch (ChannelException e) {
                channel.close();
            }
        }

        /** Closes the connection and removes it from all sets, so that its place is free at once. */
        private void drop() {
            forget();
            channel.close();
        }

        private void forget() {
            connections.remove(this);
            idle.remove(this);
            due.remove(this);
            lingering.remove(this);
            moving.remove(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            forget();
            pipelined.forEach(arrived -> {
                arrived.request.release();
                if (arrived.upload != null) {
                    arrived.upload.drop();
                }
            });
            pipelined.clear();
            count(-ahead);
            bound();
            Reply unanswered = open;
            open = null;
            if (unanswered != null && unanswered.upload != null) {
                // Applies also to an upload that was received whole and still waits for a server.
                unanswered.upload.drop();
            }
            if (unanswered != null && !unanswered.done) {
                unanswered.done = true;
                if (unanswered.account != NO_ACCOUNT) {
                    unanswered.count(End.ABANDONED);
                }
                unanswered.left.run();
            } else if (unanswered != null && unanswered.source != null) {
                ResponseSink.Source source = unanswered.source;
                unanswered.source = null;
                source.cancel();
                unanswered.left.run();
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException || open == null || open.done) {
                ctx.close();
            } else {
                // The failure is not of this connection but of the handling here.
                answerFault(open, cause);
            }
        }
    }
}
