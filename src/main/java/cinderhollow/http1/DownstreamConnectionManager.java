package cinderhollow.http1;

import cinderhollow.core.AcceptErrorHandler;
import cinderhollow.core.CoalescedTask;
import cinderhollow.core.EventLoopLag;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LoopActivity;
import cinderhollow.core.RequestCounters;
import cinderhollow.core.SocketReads;
import cinderhollow.core.Transport;
import cinderhollow.ledger.LedgerCounters;
import cinderhollow.ledger.RequestEnd;
import cinderhollow.lifecycle.ClientPresence;
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
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

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

        /** Reports a request that is refused because of the heap that it holds. */
        void onMemoryRefusal(MemoryRefusal refusal);
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
    private static final HttpResponseStatus REFUSED = HttpResponseStatus.SERVICE_UNAVAILABLE;
    /**
     * Number of bytes that are still read and discarded from a connection whose input is invalid, in order to notice when the
     * client closes it.
     */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;
    /** A connection that brings no byte for this long after the connect is closed. */
    private static final long FIRST_BYTE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** A client that reads nothing of a large response for this long is presumed gone, and its connection is closed. */
    private static final long WRITE_STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    /** Bounds of the outbound buffer of one connection, so that memory does not grow with the size of a response. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /**
     * A client that connects in order to send a request does so within this time; until then its new connection is not closed to
     * make room.
     */
    private static final long FIRST_REQUEST_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /**
     * In milliseconds: the interval of the check for room while the connection limit is exceeded; the minimum delay of the close
     * after a response to unreadable input; the same after a response to an upload whose rest is discarded; the time that a
     * client has for its own close once it has read any other response.
     */
    private static final long RECHECK_MILLIS = 20, LINGER_MILLIS = 200, UPLOAD_DISCARD_MILLIS = 1_000, CLOSE_DELAY_MILLIS = 50;
    /** Size in bytes of the send buffer of a connection that is about to end. The system may double it. */
    private static final int ENDING_SEND_BUFFER_BYTES = 128 * 1024;
    /** The size of a send buffer matters only if what was written to it takes longer than this to be read. */
    private static final long SEND_BUFFER_CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Size in bytes of the largest send buffer that a client's system can be expected to have. */
    private static final int MAX_SEND_BUFFER_BYTES = 8 * 1024 * 1024;
    /** Minimum size of a read in bytes, which shows at least that the client sends or has left. */
    private static final int MIN_READ_BYTES = 512;
    private static final String NO_MEMORY_TEXT = "refused: too many requests are held, trying again is harmless",
            UNREAD_TEXT = "refused: more was sent behind it than can be held, trying again is harmless";
    /** Interval of the polls of the backlog during shutdown, in milliseconds, and their maximum number. */
    static final long SOCKET_POLL_MILLIS = 5;
    static final int MAX_BACKLOG_POLLS = 100;
    /**
     * Idle timeout of connections while more than half of the connection limit is in use: a client that has sent no request for
     * this long is presumed to have no more to send.
     */
    private static final long CROWDED_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * Time in standby before unused connections are closed. A load balancer in front of the gateway polls {@code /ready}
     * periodically, and stops sending this long after the first negative answer at the latest.
     */
    private static final long STANDBY_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EventLoop loop;
    private final Transport transport;
    private final GatewayClock clock;
    private final EventLoopLag lag;
    private final ClientTurns turns;
    private final LoopActivity activity;
    private final Listener listener;
    /** Ledger counters for requests; null if no ledger is kept. */
    private final LedgerCounters ledgerCounters;
    private final int maxConnections;
    private final BodyMemoryBudget budget;
    private final ClientHeapBudget heapBudget;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections that have had a request and have none open, the longest idle first. */
    private final Set<Connection> idleConnections = new LinkedHashSet<>();
    /**
     * Connections with no request open that have never sent one, or have sent a part of the next one; the longest waiting first.
     */
    private final Set<Connection> awaitingRequest = new LinkedHashSet<>();
    /** Connections whose last response has been sent and that are about to be closed. */
    private final Set<Connection> lingeringConnections = new LinkedHashSet<>();
    /** Connections with a large body under way, in either direction, or with a response that is not flushed yet. */
    private final Set<Connection> streamingConnections = new LinkedHashSet<>();
    private final AcceptErrorHandler acceptErrors = new AcceptErrorHandler(this::setAccepting);
    /** Whether accepting is paused because an accept has failed a moment ago. */
    private boolean acceptPaused;
    /** Channel of the listening socket; null if an {@link Acceptor} accepts the connections. */
    private Channel listenerChannel;
    /** Whether another process holds the listening socket too; this process then never closes it. */
    private boolean listenerShared;
    /**
     * Connections dispatched by an {@link Acceptor} that are not registered yet. This and the next two fields are read by the
     * acceptor's thread.
     */
    private final AtomicInteger pendingRegistrations = new AtomicInteger();
    /** Number of connections. */
    private volatile int connectionCount;
    private volatile boolean roomAvailable = true;
    /** Whether each response ends its connection from now on. */
    private boolean shuttingDown;
    /** Whether idle connections are closed from now on. */
    private boolean closingIdle;
    /** True from the start of the shutdown until the listener is closed. */
    private boolean listenerClosing;
    private boolean standby;
    private boolean sharesConnectionLimit;
    /** Number of connections taken in so far. */
    private long acceptedCount;
    private long standbySince;
    private boolean roomCheckPending;

    /**
     * Creates the manager, which accepts no connections yet.
     *
     * @param loop event loop of all connections
     * @param transport kind of sockets to listen with
     * @param clock clock of all times
     * @param lag lag of the event loop, by which the arrival of input is dated
     * @param activity counts what the loop does
     * @param maxConnections maximum number of connections
     * @param budget bounds the memory that bodies hold
     * @param heapBudget bounds the heap that clients make the process hold
     * @param listener handles the requests
     * @param ledgerCounters ledger counters for requests, or null
     */
    public DownstreamConnectionManager(EventLoop loop, Transport transport, GatewayClock clock, EventLoopLag lag,
            LoopActivity activity, int maxConnections, BodyMemoryBudget budget, ClientHeapBudget heapBudget, Listener listener,
            LedgerCounters ledgerCounters) {
        this.budget = budget;
        this.heapBudget = heapBudget;
        this.lag = lag;
        turns = new ClientTurns(loop, clock, lag);
        this.activity = activity;
        this.ledgerCounters = ledgerCounters;
        this.loop = loop;
        this.transport = transport;
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.listener = listener;
        // The check runs after the next poll of the sockets: after a time in which the loop was busy, it must not close
        // connections whose request has been waiting unread.
        loop.scheduleWithFixedDelay(() -> runAfterNextPoll(this::closeOverdueConnections),
                RequestReceiveTimeout.SWEEP_INTERVAL_MILLIS, RequestReceiveTimeout.SWEEP_INTERVAL_MILLIS,
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
     * Accepts from a bound listening socket that another process holds too.
     */
    public ChannelFuture listen(InheritedBacklog backlog) {
        ChannelFuture registered = new ServerBootstrap().group(loop)
                .channelFactory(() -> new NioServerSocketChannel(backlog.listener()))
                .handler(acceptErrors).childHandler(new ConnectionInitializer(backlog::waitingSince)).register();
        listenerChannel = registered.channel();
        listenerChannel.pipeline().addFirst(backlog);
        listenerShared = true;
        if (backlog.firstConnection() != null) {
            addConnection(new NioSocketChannel(backlog.firstConnection()), backlog.firstConnectionWaitingSince());
        }
        return registered;
    }

    /** Stops accepting from a listening socket that another process holds too. From now on each response ends its connection. */
    public void stopAcceptingFromSharedListener() {
        shuttingDown = true;
        if (listenerChannel != null) {
            listenerChannel.config().setAutoRead(false);
        }
    }

    private ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
        if (transport != Transport.IN_PROCESS) {
            bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG);
        }
        ChannelFuture bindFuture = bootstrap.group(loop).channel(transport.serverChannelType())
                .handler(acceptErrors).childHandler(new ConnectionInitializer(() -> InheritedBacklog.NOT_WAITING)).bind(address);
        listenerChannel = bindFuture.channel();
        return bindFuture;
    }

    /** Sets up the pipeline of a client's connection. */
    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        private final LongSupplier waitingSince;

        /** {@code waitingSince}: since when input of the connection may have been waiting, as far as the listener knows. */
        ConnectionInitializer(LongSupplier waitingSince) {
            this.waitingSince = waitingSince;
        }

        @Override
        protected void initChannel(Channel channel) {
            Connection connection = new Connection(channel, waitingSince.getAsLong());
            channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
            channel.config().setRecvByteBufAllocator(new BodyReadAllocator(budget, activity, connection::maxReadBytes));
            channel.pipeline().addLast(connection.decoder, new HttpResponseEncoder(), connection.assembler, connection);
        }
    }

    /**
     * Takes over a connection that an {@link Acceptor} has accepted, and whose input may have been waiting since the given time.
     * Called on the acceptor's thread.
     */
    void addConnection(Channel channel, long waitingSince) {
        pendingRegistrations.incrementAndGet();
        channel.pipeline().addLast(new ConnectionInitializer(() -> waitingSince));
        loop.register(channel).addListener(registered -> {
            pendingRegistrations.decrementAndGet();
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
        return roomAvailable && connectionCount + pendingRegistrations.get() <= maxConnections;
    }

    /**
     * Returns the load by which an {@link Acceptor} orders event loops; the lowest is given the next connection. Connections that
     * were dispatched and are not registered yet outweigh all connections that are held. May be called from any thread.
     */
    long loadScore() {
        return connectionCount + ((long) pendingRegistrations.get() << Integer.SIZE);
    }

    /** Returns the address it listens on, with the actual port if an ephemeral one was requested. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listenerChannel.localAddress();
    }

    /**
     * Stops accepting, closes idle connections, and ends the connection of each response from now on. The listener is closed only
     * after further polls of the sockets: the event loop may have been busy until now, and connections in the backlog and
     * requests that were not read yet count as accepted by the rules of the platform, though this process has not seen them.
     */
    public void stopAccepting() {
        shuttingDown = true;
        closingIdle = true;
        listenerClosing = true;
        List.copyOf(streamingConnections).forEach(Connection::limitSendBuffer);
        enforceConnectionLimit();
        closeListenerWhenBacklogEmpty(MAX_BACKLOG_POLLS);
    }

    /**
     * Closes all connections that have no request open. Clients that have sent a part of a request are answered with a 408, since
     * the rest would come too late.
     */
    public void closeAllWithoutOpenRequest() {
        List.copyOf(awaitingRequest).forEach(Connection::closeOverdue);
        List.copyOf(idleConnections).forEach(Connection::closeIdle);
    }

    /**
     * Closes unused connections after each poll of the sockets, and closes the listener once no further connection can be in the
     * backlog, or no polls are left.
     */
    private void closeListenerWhenBacklogEmpty(int pollsLeft) {
        long acceptedBefore = acceptedCount;
        runAfterNextPoll(() -> {
            List.copyOf(idleConnections).forEach(Connection::closeIdle);
            long graceStart = clock.nanos() - FIRST_REQUEST_GRACE_NANOS;
            List.copyOf(awaitingRequest).stream().filter(c -> !c.requestPartlyReceived && c.awaitingRequestSince <= graceStart)
                    .forEach(Connection::closeAndUnregister);
            enforceConnectionLimit();
            boolean backlogMayHoldMore = acceptedCount != acceptedBefore || !roomAvailable || acceptPaused
                    || !awaitingRequest.isEmpty() && awaitingRequest.iterator().next().awaitingRequestSince > graceStart;
            if (backlogMayHoldMore && pollsLeft > 0) {
                closeListenerWhenBacklogEmpty(pollsLeft - 1);
                return;
            }
            listenerClosing = false;
            if (listenerChannel != null && !listenerShared) {
                listenerChannel.close();
            }
        });
    }

    /** Turns standby on or off. In standby each response ends its connection, and after a time unused connections are closed. */
    public void setStandby(boolean enabled) {
        standbySince = standby ? standbySince : clock.nanos();
        standby = enabled;
    }

    /**
     * Closes unused connections in standby, also those that were opened late and never sent a request; otherwise clients would
     * stay with a gateway that has been drained.
     */
    private void closeUnusedInStandby() {
        long now = clock.nanos();
        if (standby && now - standbySince >= STANDBY_GRACE_NANOS) {
            List.copyOf(idleConnections).forEach(Connection::closeIdle);
            List.copyOf(awaitingRequest).stream()
                    .filter(c -> !c.requestPartlyReceived && now - c.awaitingRequestSince >= STANDBY_GRACE_NANOS)
                    .forEach(Connection::closeAndUnregister);
        }
    }

    /** Returns the number of requests that have been received and wait for an earlier one on their connection. */
    public int pipelinedRequestCount() {
        return connections.stream().mapToInt(Connection::pipelinedRequestCount).sum();
    }

    /** Sets whether another process uses a part of the connection limit; if so, this side uses at most half of it. */
    public void setConnectionLimitShared(boolean limitShared) {
        sharesConnectionLimit = limitShared;
        enforceConnectionLimit();
    }

    private int connectionLimit() {
        return sharesConnectionLimit ? Math.max(1, maxConnections / 2) : maxConnections;
    }

    /**
     * Returns the number of open requests of each account: those whose answer has not begun. Counts them on the connections
     * themselves, independently of the ledger's counters.
     */
    public long[] openRequestsByAccount(int accounts) {
        long[] openRequests = new long[accounts];
        for (Connection connection : connections) {
            Reply reply = connection.openReply;
            if (reply != null && reply.account != NO_ACCOUNT && !reply.concluded) {
                openRequests[reply.account]++;
            }
        }
        return openRequests;
    }

    /** Returns what the connections have pending now. */
    public PendingResponses pendingResponses() {
        int streaming = 0;
        int unanswered = 0;
        int unflushed = 0;
        int closing = 0;
        for (Connection connection : connections) {
            if (connection.openReply != null) {
                streaming += connection.openReply.source != null ? 1 : 0;
                unanswered += connection.openReply.source == null ? 1 : 0;
            } else if (connection.unflushedWrites > 0) {
                unflushed++;
            } else if (connection.closing) {
                closing++;
            }
        }
        int idle = connections.size() - streaming - unanswered - unflushed - closing;
        return new PendingResponses(streaming, unanswered, unflushed, closing, idle);
    }

    /** Returns whether any connection is open, or may yet be taken in. */
    public boolean hasOpenOrPendingConnections() {
        return listenerClosing || pendingRegistrations.get() > 0 || !connections.isEmpty();
    }

    /**
     * Enforces the connection limit, so that file descriptors do not run out, and silent clients do not displace those that send
     * requests. With too many connections, the one of least use is closed; while none can be spared, new connections wait in the
     * backlog.
     */
    private void enforceConnectionLimit() {
        updateAccepting();
        if (!roomAvailable && !roomCheckPending) {
            roomCheckPending = true;
            // After the next poll of the sockets: a connection must not be closed whose request has arrived and is only not read
            // yet.
            runAfterNextPoll(this::makeRoom);
        }
    }

    private void makeRoom() {
        while (connections.size() > connectionLimit()) {
            Connection candidate = chooseConnectionToClose();
            if (candidate == null) {
                break;
            }
            candidate.closeAndUnregister();
        }
        updateAccepting();
        if (roomAvailable) {
            roomCheckPending = false;
        } else {
            loop.schedule(this::makeRoom, RECHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void updateAccepting() {
        roomAvailable = connections.size() <= connectionLimit();
        connectionCount = connections.size();
        boolean accepting = roomAvailable && !acceptPaused && !(listenerShared && shuttingDown);
        if (listenerChannel != null) {
            listenerChannel.config().setAutoRead(accepting);
        }
    }

    private void setAccepting(boolean accepting) {
        acceptPaused = !accepting;
        if (listenerChannel.isOpen()) {
            updateAccepting();
        }
    }

    /**
     * Runs a task once the sockets have been polled again. The task is delayed because all tasks that are due run before the next
     * poll.
     */
    private void runAfterNextPoll(Runnable task) {
        loop.schedule(task, SOCKET_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the connection to close for room, or null. The order is: a connection that is about to be closed anyway, then the
     * one that has waited longest for a request, if its grace period is over; the longest idle one only if there is no such
     * connection at all.
     */
    private Connection chooseConnectionToClose() {
        if (!lingeringConnections.isEmpty()) {
            return lingeringConnections.iterator().next();
        }
        if (!awaitingRequest.isEmpty()) {
            Connection longest = awaitingRequest.iterator().next();
            return clock.nanos() - longest.awaitingRequestSince >= FIRST_REQUEST_GRACE_NANOS ? longest : null;
        }
        return idleConnections.isEmpty() ? null : idleConnections.iterator().next();
    }

    /**
     * Returns whether more than half of the connection limit is in use; then each response ends its connection, and a client with
     * more requests connects anew. Otherwise clients that keep a connection open for good without using it would take one place
     * after the other, until those with requests find none; the same goes for crowds of silent clients that take what is left.
     * This could do harm where connecting is slow or expensive and more clients than half the limit come back often.
     */
    private boolean isCrowded() {
        // Connections that have had their last response are closed first for room, so they take no place from anybody.
        return connections.size() - lingeringConnections.size() > maxConnections / 2;
    }

    /**
     * Closes connections that exceed a time limit, such as those of clients that send nothing, or send so slowly that their
     * request never completes.
     */
    private void closeOverdueConnections() {
        long now = clock.nanos();
        closeUnusedInStandby();
        long idleBefore = now - CROWDED_IDLE_TIMEOUT_NANOS;
        while (isCrowded() && !idleConnections.isEmpty() && idleConnections.iterator().next().idleSince <= idleBefore) {
            idleConnections.iterator().next().closeIdle();
        }
        for (Connection connection : List.copyOf(awaitingRequest)) {
            if (connection.isOverdue(now)) {
                connection.closeOverdue();
            }
        }
        List.copyOf(streamingConnections).forEach(connection -> connection.checkStreamingProgress(now));
        activity.recordHandler(LoopActivity.Handler.SWEEP, clock.nanos() - now);
    }

    /** Sends the response to one request. Only the first response is written; later ones are ignored. */
    public final class Reply {
        private final Connection connection;
        private final boolean keepAliveRequested;
        private Runnable abandonedHandler = () -> { };
        /** Number of the ledger account, if the request was accepted and a ledger is kept. */
        private int account = NO_ACCOUNT;
        private String id;
        /** Counters of requests; may be null. */
        private RequestCounters counters;
        /** Whether the response's head has been sent, or the client has gone. */
        private boolean concluded;
        /** Upstream side of a streamed response until its end; otherwise null. */
        private ResponseSink.Source source;
        /**
         * Whether the body of the streamed response is delimited by the end of the connection, so that only the way the
         * connection ends tells a complete response from an aborted one.
         */
        private boolean closeDelimited;
        /** Whether the connection is kept after this response. */
        private boolean keepAliveGranted;
        /** Upload that carries the request's body; null if the request was received whole. */
        private final Upload upload;
        /** Fields of the request until the response begins; null if there is no request. */
        private final HttpHeaders requestHeaders;
        /** Whether the response must have no body, because the request is a HEAD. */
        private final boolean bodyless;
        /** Whether the request came in HTTP/1.0, whose clients do not know the chunked coding. */
        private final boolean http10;

        private Reply(Connection connection, FullHttpRequest request, Upload upload, boolean keepAliveRequested) {
            this.connection = connection;
            this.upload = upload;
            this.keepAliveRequested = keepAliveRequested;
            requestHeaders = request == null ? null : request.headers();
            bodyless = request != null && request.method().equals(HttpMethod.HEAD);
            http10 = request != null && request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        }

        /** Sets the ledger account of the request, and its id. Must be called before the request is answered. */
        public void setAccount(int accountNumber, String requestId) {
            account = accountNumber;
            id = requestId;
        }

        /** Sets the counters that count the request's end. Must be called before the request is answered. */
        public void setCounters(RequestCounters counts) {
            counters = counts;
        }

        /** Notes that the answer has begun, or that none is needed, so that the request itself is not needed any more. */
        private void conclude() {
            concluded = true;
            connection.openRequestBytes = 0;
            if (requestHeaders != null) {
                // The decoder holds the request until its body has ended, and whoever sends it until its attempts have.
                requestHeaders.clear();
            }
        }

        private void recordEnd(RequestEnd end) {
            ledgerCounters.recordEnded(account, end, id);
        }

        /**
         * Sets the action to run when the client leaves before its response is complete, or when the gateway itself has answered
         * after a failure.
         */
        public void onAbandoned(Runnable action) {
            abandonedHandler = action;
        }

        /**
         * Returns whether the client is present, as far as the operating system can tell. Reads its socket first if input may
         * have been waiting there.
         */
        public ClientPresence clientPresence() {
            return connection.clientPresence(this);
        }

        /** Returns for how many nanoseconds input of the client may have been waiting unread in all. */
        public long totalUnreadNanos() {
            return connection.unreadInput.totalNanos(clock.nanos());
        }

        /** Returns whether the response's head has been sent, or the client has gone. */
        public boolean isConcluded() {
            return concluded;
        }

        /** Returns whether nothing more of the response is to come. */
        public boolean isFinished() {
            return concluded && source == null;
        }

        /**
         * Sends the head of a server's response that is streamed. {@code contentLength} is the length of the body in bytes, or -1
         * if it is known only once the body ends.
         */
        public void startStreaming(long contentLength, ResponseSink.Source upstreamSource) {
            conclude();
            source = upstreamSource;
            if (account != NO_ACCOUNT) {
                recordEnd(RequestEnd.SERVED);
            }
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            closeDelimited = contentLength < 0 && http10;
            if (contentLength >= 0) {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLength);
            } else if (!http10) {
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            keepAliveGranted = canKeepAlive() && !closeDelimited;
            if (shuttingDown) {
                connection.limitSendBuffer();
            }
            setConnectionHeader(head);
            if (closeDelimited) {
                // The body ends with the connection, and a reset marks it as incomplete: whatever ends the connection before,
                // also a kill of this process, must be a reset.
                connection.setSoLinger(0);
            }
            connection.lastProgressAt = clock.nanos();
            connection.sourceReading = true;
            streamingConnections.add(connection);
            connection.channel.write(head);
        }

        /** Writes body bytes of a streamed response, and releases them. */
        public void writeData(ByteBuf bytes) {
            connection.lastProgressAt = clock.nanos();
            int length = bytes.readableBytes();
            connection.trackBody(connection.channel.writeAndFlush(new DefaultHttpContent(bytes)), length);
            connection.applyBackpressure();
        }

        /** Completes a streamed response. */
        public void endStreaming() {
            if (source == null) {
                return;
            }
            source = null;
            if (counters != null) {
                counters.answered(HttpResponseStatus.OK.code());
            }
            if (closeDelimited) {
                connection.setSoLinger(-1);
            }
            connection.writeResponse(LastHttpContent.EMPTY_LAST_CONTENT, keepAliveGranted && connection.channel.isActive());
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
            if (counters != null) {
                counters.answerAborted();
            }
            connection.openReply = null;
            connection.closeAndUnregister();
        }

        private boolean canKeepAlive() {
            // Pipelined requests must still be answered. While a body is still being received, it is unknown where the next
            // request begins.
            boolean shouldClose = (isCrowded() || shuttingDown || standby) && !connection.hasWaitingRequest();
            return keepAliveRequested && !shouldClose && (upload == null || upload.isFullyReceived());
        }

        private void setConnectionHeader(HttpResponse head) {
            if (!keepAliveGranted) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (http10) {
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
        public void respondPlainText(HttpResponseStatus status, String line, long retryAfterNanos) {
            write(status, Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8), retryAfterNanos);
        }

        private void write(HttpResponseStatus status, ByteBuf body, long retryAfterNanos) {
            if (concluded) {
                body.release();
                return;
            }
            conclude();
            if (account != NO_ACCOUNT) {
                // Recorded by the status that is sent, not by the intended one.
                recordEnd(status.equals(HttpResponseStatus.OK) ? RequestEnd.SERVED
                        : status.equals(REFUSED) ? RequestEnd.REFUSED : RequestEnd.FAILED);
            }
            if (counters != null) {
                counters.answered(status.code());
            }
            int length = body.readableBytes();
            if (bodyless) {
                body.clear();
            }
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
            if (retryAfterNanos > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f",
                        (double) retryAfterNanos / TimeUnit.SECONDS.toNanos(1)));
            }
            keepAliveGranted = canKeepAlive();
            setConnectionHeader(response);
            connection.writeResponse(response, keepAliveGranted);
        }
    }

    /** One connection of a client, and the requests on it. */
    private final class Connection extends SimpleChannelInboundHandler<RequestAssembler.AssembledRequest>
            implements RequestDecoder.Connection, ClientTurns.Participant {
        private final Channel channel;
        private final RequestDecoder decoder = new RequestDecoder(this);
        private final RequestAssembler assembler =
                new RequestAssembler(this::setUploadReading, this::onUploadReceived, this::onUploadBroken, budget);
        /** A request that has been decoded and is not handled yet; null if there is none. Further ones wait undecoded. */
        private ReceivedRequest waitingRequest;
        /** What the open request costs in the heap until its answer begins, in bytes. */
        private long openRequestBytes;
        private final ConnectionHeap heap = new ConnectionHeap(heapBudget);
        private final BurstLimit burstLimit = new BurstLimit();
        private final CoalescedTask waitingRequestTask = new CoalescedTask(loop, this::handleWaitingRequest);
        private final CoalescedTask decodeTask = new CoalescedTask(loop, () -> runMeasured(this::decodeWaitingInput));
        /** Reply of the request that is open, or null. */
        private Reply openReply;
        /** Number of responses, or last parts of them, that are not flushed because the client has not read them yet. */
        private int unflushedWrites;
        /** Number of body bytes of responses that are written to the channel and not accepted by the socket yet. */
        private int unwrittenBodyBytes;
        /** Whether the response that is being streamed is read from the server at present. */
        private boolean sourceReading = true;
        /** Whether the upload under way wants more data. */
        private boolean uploadReading = true;
        private final UnreadInput unreadInput = new UnreadInput();
        private boolean readOnScheduled;
        /** Whether {@link #readAllInput} reads now. */
        private boolean readingAllInput;
        /** Whether the last byte of the upload under way was last reported to lie unread possibly. */
        private boolean uploadUnread;
        /** Since when the next request is awaited: the time of the connect, or of the request's first byte. */
        private long awaitingRequestSince;
        private long acceptedAt;
        /** When the handling of the last input that was read began. */
        private long readStartedAt;
        /** Earliest time since when bytes may have been waiting on the connection when it was accepted. */
        private long earliestFirstByteAt;
        private long idleSince;
        /** Time limits of the request that is being received. */
        private final RequestReceiveTimeout receiveTimeout = new RequestReceiveTimeout();
        /** When a part of a large response last went out. */
        private long lastProgressAt;
        /** Whether a request has been received on this connection. */
        private boolean hadRequest;
        /** Whether a request has been answered on this connection. */
        private boolean hadResponse;
        /** Whether a part of the next request has been received. */
        private boolean requestPartlyReceived;
        /** Whether input is ignored: it is unreadable, or the response under way announces the end of the connection. */
        private boolean inputIgnored;
        private boolean closing;
        private final UnreadOutput unreadOutput = new UnreadOutput();
        private boolean sendBufferLimited;
        /** Closes the connection after a delay; null until that is scheduled. */
        private Future<?> closeTask;

        /** {@code waitingSince}: since when its input may have been waiting, as far as the listener knows. */
        Connection(Channel channel, long waitingSince) {
            super(false);
            this.channel = channel;
            earliestFirstByteAt = waitingSince;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            acceptedCount++;
            activity.recordAccept();
            acceptedAt = clock.nanos();
            awaitingRequestSince = acceptedAt;
            earliestFirstByteAt = Math.min(earliestFirstByteAt, lag.earliestArrivalOnNewConnection(acceptedAt));
            awaitingRequest.add(this);
            enforceConnectionLimit();
        }

        /** Returns whether no request is open, and none has been decoded that will be. */
        private boolean hasNoDecodedRequest() {
            return openReply == null && waitingRequest == null;
        }

        /** Returns whether input waits to be taken up. It may be a part of a request only, or of the open request's body. */
        private boolean hasWaitingRequest() {
            return waitingRequest != null || decoder.hasWaitingInput();
        }

        private int pipelinedRequestCount() {
            return (waitingRequest == null ? 0 : 1) + (assembler.isReceiving() ? 0 : decoder.countWaitingRequests());
        }

        private boolean hasNoPendingRequest() {
            return openReply == null && !hasWaitingRequest();
        }

        @Override
        public boolean canTakeInput() {
            boolean taken = assembler.isReceiving() ? uploadReading
                    : hasNoDecodedRequest() && !closing && !hasTooManyUnreadResponses();
            return taken && mayHandleNow();
        }

        /** Returns whether what waits may be handled now; if not, it will be in the connection's next turn. */
        private boolean mayHandleNow() {
            boolean allowed = !burstLimit.isReached(turns.period()) && !turns.isOver();
            if (!allowed) {
                turns.await(this);
            }
            return allowed;
        }

        @Override
        public void beginHandling() {
            turns.enter();
            readStartedAt = clock.nanos();
        }

        @Override
        public void endHandling() {
            activity.recordHandler(LoopActivity.Handler.CLIENT_READ, clock.nanos() - readStartedAt);
            turns.exit();
        }

        @Override
        public void takeTurn() {
            burstLimit.startNext();
            runMeasured(() -> {
                handleNextPipelined();
                decodeWaitingInput();
            });
        }

        private void runMeasured(Runnable work) {
            turns.enter();
            long startedAt = clock.nanos();
            try {
                work.run();
            } finally {
                activity.recordHandler(LoopActivity.Handler.CLIENT_TASK, clock.nanos() - startedAt);
                turns.exit();
            }
        }

        @Override
        public void onInputQueued() {
            updateHeldBytes();
        }

        @Override
        public void onPartDecoded(int bytes) {
            burstLimit.count(BurstLimit.partCost(bytes), turns.period());
        }

        @Override
        public long earliestArrival() {
            return unreadInput.earliest(earliestArrival(clock.nanos()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, RequestAssembler.AssembledRequest incoming) {
            FullHttpRequest request = incoming.request();
            if (inputIgnored) {
                request.release();
                if (incoming.upload() != null) {
                    incoming.upload().discard();
                }
                return;
            }
            requestPartlyReceived = false;
            if (!request.decoderResult().isSuccess()) {
                // Spends no time on parsing the rest of unreadable input.
                inputIgnored = true;
                decoder.startDiscarding(MAX_DISCARDED_BYTES);
            }
            decoder.onRequestPassedOn();
            ReceivedRequest received = new ReceivedRequest(request, incoming.upload(), decoder.decodedInputArrivedAt());
            // Input behind an unreadable request is only discarded: nothing of it is waited for.
            if (inputIgnored || !mayBeStale(clock.nanos()) && !unreadInput.mayExist()) {
                handleRequest(received, null);
                return;
            }
            waitingRequest = received;
            // The client's close may already follow the request; that is read first.
            waitingRequestTask.request();
        }

        /**
         * Returns whether what is read now may have waited for long, so that the client's close may already follow it: because the
         * event loop was late, or since before the connection was accepted. How long a connection has waited to be accepted is
         * not known: while this process did not accept, did not get a core, or did not exist yet.
         */
        private boolean mayBeStale(long now) {
            return lag.isStale(now) || !lag.hasReadAllUntil(acceptedAt);
        }

        /**
         * Returns the earliest time at which a request that is read now may have arrived. Until the first answer, also a further
         * request may have been waiting since before the connection was accepted.
         */
        private long earliestArrival(long now) {
            boolean mayHaveWaited = earliestFirstByteAt < acceptedAt && !hadResponse && !lag.hasReadAllUntil(acceptedAt);
            return mayHaveWaited ? earliestFirstByteAt : lag.earliestArrival(now);
        }

        /**
         * Returns whether the client of the open request is present, as far as the operating system can tell. From within a read
         * of this connection it is not read again: an upload's end may be what has just been read, and its attempt is under way
         * by then. The body of an upload may lie unread in the socket; its last part is forwarded only once nothing does.
         */
        private ClientPresence clientPresence(Reply reply) {
            boolean bodyUnread = reply.upload != null && !reply.upload.isFullyReceived();
            boolean checkNeeded = mayBeStale(clock.nanos()) || !bodyUnread && unreadInput.mayExist();
            boolean inputFits = !unreadInput.mayExist() || bodyUnread || !isInputFull();
            if (channel.isActive() && !decoder.isDecoding() && checkNeeded && inputFits) {
                SocketReads.readNow(channel);
            }
            return !channel.isActive() ? ClientPresence.GONE
                    : !bodyUnread && unreadInput.mayExist() ? ClientPresence.UNKNOWN
                    : ClientPresence.PRESENT;
        }

        /**
         * Reads on if input may be waiting unread, behind which the client's close may lie, and can be held. Returns whether
         * everything that had arrived has been read. What is left after a number of reads is read at the next poll, so that a client
         * that sends as fast as it is read does not keep the event loop.
         */
        private boolean readAllInput() {
            if (unreadInput.mayExist() && !isInputFull()) {
                readingAllInput = true;
                SocketReads.readNow(channel);
                readingAllInput = false;
            }
            return !unreadInput.mayExist();
        }

        /**
         * Brings the heap budget up to date with what this connection holds, and pauses reading while it holds more than it may,
         * so that the requests of one client do not pile up. Otherwise the connection is read also while a request is open: only
         * a read shows that the client has left.
         */
        private void updateHeldBytes() {
            if (connections.contains(this)) {
                long undecodedBytes = decoder.waitingBytes() + decoder.unfinishedHeadBytes();
                heap.set(ClientHeapUse.UNFINISHED_HEADS, closing ? 0 : decoder.unfinishedHeadBytes());
                heap.set(ClientHeapUse.WAITING_INPUT, closing ? 0 : decoder.waitingBytes());
                heap.set(ClientHeapUse.CLOSING_CONNECTIONS, closing ? undecodedBytes : 0);
                long waitingRequestBytes = waitingRequest == null ? 0 : waitingRequest.heapBytes();
                heap.set(ClientHeapUse.OPEN_REQUESTS, openRequestBytes + waitingRequestBytes);
                heap.set(ClientHeapUse.UNREAD_ANSWERS, (long) unflushedWrites * ClientHeapBudget.RESPONSE_BYTES);
            } else {
                heap.release();
            }
            updateAutoRead();
        }

        /** Returns whether as much input waits on this connection as may, so that its requests must end before it is read again. */
        private boolean isInputFull() {
            return heap.freeInputBytes() <= 0;
        }

        /** Returns how much may be read at once, in bytes. All of it may have to wait. */
        int maxReadBytes() {
            return (int) Math.max(MIN_READ_BYTES, Math.min(turns.maxReadBytes(), heap.freeInputBytes()));
        }

        @Override
        public boolean mayHoldHead(long bytes) {
            return heap.tryHoldRequest(bytes);
        }

        private void updateAutoRead() {
            boolean full = hasWaitingRequest() && isInputFull();
            boolean reading = uploadReading && !full && !decoder.hasUsedUpDiscardBudget();
            if (!reading) {
                unreadInput.mayExistSince(clock.nanos());
            } else if (!channel.config().isAutoRead()) {
                scheduleReadOn();
            }
            channel.config().setAutoRead(reading);
        }

        /** Makes sure that it becomes known whether input is waiting: if none is, no poll of the sockets would tell. */
        private void scheduleReadOn() {
            if (!readOnScheduled) {
                readOnScheduled = true;
                runAfterNextPoll(this::readOn);
            }
        }

        private void readOn() {
            readOnScheduled = false;
            if (unreadInput.mayExist() && channel.config().isAutoRead()) {
                SocketReads.readOnce(channel);
            }
        }

        /**
         * Sets whether the upload under way wants more data. The reading of later requests is decided by the heap budget.
         */
        private void setUploadReading(boolean enabled) {
            uploadReading = enabled;
            updateAutoRead();
            if (enabled && decoder.hasWaitingInput()) {
                decodeTask.request();
            }
        }

        /**
         * Ends an upload whose last byte has been received. If parts of it lay unread before, the client may have left meanwhile,
         * which shows only right behind the last byte, at the next poll of the socket; until then the end of the body is not
         * forwarded.
         */
        private void onUploadReceived(Upload upload) {
            upload.markReceived(decoder.decodedInputArrivedAt());
            if (upload.wasReadLate()) {
                loop.schedule(() -> endUpload(upload), SOCKET_POLL_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                upload.end();
            }
        }

        private void endUpload(Upload upload) {
            if (!channel.isActive() || openReply == null || openReply.upload != upload) {
                return;
            }
            if (readAllInput()) {
                upload.end();
            } else if (isInputFull()) {
                reportMemoryRefusal(MemoryRefusal.Stage.INPUT_BEHIND_UNREAD, openRequestBytes);
                abortUpload(REFUSED, UNREAD_TEXT);
            } else {
                loop.schedule(() -> endUpload(upload), SOCKET_POLL_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        /** Answers or closes a request whose body cannot be read any further. */
        private void onUploadBroken() {
            abortUpload(HttpResponseStatus.BAD_REQUEST, "the body can't be read");
        }

        private void abortUpload(HttpResponseStatus status, String line) {
            Reply reply = openReply;
            if (reply != null && !reply.concluded) {
                reply.respondPlainText(status, line, 0);
                reply.abandonedHandler.run();
            } else {
                channel.close();
            }
        }

        /**
         * Stops reading the streamed response from the server while the client's outbound buffer is full, or has as much of the
         * response as the memory budget allows.
         */
        private void applyBackpressure() {
            if (openReply != null && openReply.source != null) {
                sourceReading = channel.isWritable() && unwrittenBodyBytes < budget.allowanceBytes();
                openReply.source.setReading(sourceReading);
            }
        }

        /** Counts body bytes of a streamed response until they are written, or discarded with the connection. */
        private void trackBody(ChannelFuture written, int length) {
            if (written.isDone()) {
                unreadOutput.add(length, clock.nanos());
                return;
            }
            unwrittenBodyBytes += length;
            written.addListener(done -> {
                unwrittenBodyBytes -= length;
                lastProgressAt = clock.nanos();
                unreadOutput.add(length, lastProgressAt);
                applyBackpressure();
            });
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (channel.isWritable()) {
                lastProgressAt = clock.nanos();
            }
            applyBackpressure();
            ctx.fireChannelWritabilityChanged();
        }

        /**
         * Enforces the time limits of large bodies: clients must not occupy a place for good by sending a body too slowly, or by
         * reading nothing of a response.
         */
        private void checkStreamingProgress(long now) {
            Upload upload = openReply == null ? null : openReply.upload;
            boolean receivingUpload = upload != null && !upload.isReceived();
            if (receivingUpload) {
                receiveTimeout.observe(now, assembler.receivedBytes(), upload.isReading());
                reportUnread(upload);
                upload.checkServerProgress();
            }
            boolean writeStalled = openReply != null && openReply.source != null ? !sourceReading : unflushedWrites > 0;
            if (receivingUpload && receiveTimeout.isOverdue(now)) {
                abortUpload(HttpResponseStatus.REQUEST_TIMEOUT, "the body did not come in time");
            } else if (writeStalled && now - lastProgressAt > WRITE_STALL_TIMEOUT_NANOS) {
                channel.close();
            } else if (unflushedWrites == 0 && (openReply == null || !receivingUpload && openReply.source == null)) {
                streamingConnections.remove(this);
            }
        }

        /** Reports whether the last byte of the upload may have arrived though it has not been received, and since when. */
        private void reportUnread(Upload upload) {
            boolean waits = decoder.hasWaitingInput();
            if ((waits || unreadInput.mayExist()) && mayHaveSentAll(upload)) {
                uploadUnread = true;
                upload.reportUnread(waits ? decoder.waitingInputArrivedAt() : unreadInput.since());
            } else if (uploadUnread) {
                uploadUnread = false;
                upload.reportCaughtUp();
            }
        }

        /**
         * Returns whether the client can have sent the last byte of the upload. Of what is missing, no more can be on its way than
         * the buffers of both sockets hold.
         */
        private boolean mayHaveSentAll(Upload upload) {
            long missingBytes = upload.length() - assembler.receivedBytes() - decoder.undecodedBytes();
            return upload.length() < 0 || missingBytes <= MAX_SEND_BUFFER_BYTES
                    || missingBytes <= MAX_SEND_BUFFER_BYTES + channel.config().getOption(ChannelOption.SO_RCVBUF);
        }

        /** Returns whether the connection, which has no request open, has waited too long for its next request. */
        private boolean isOverdue(long now) {
            if (!requestPartlyReceived) {
                return now - awaitingRequestSince >= FIRST_BYTE_TIMEOUT_NANOS;
            }
            receiveTimeout.observe(now, assembler.receivedBytes(), true);
            return receiveTimeout.isOverdue(now);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (!SocketReads.hasReadEverything(channel)) {
                unreadInput.mayExistSince(earliestArrival());
                assembler.noteUnreadInput();
                scheduleReadOn();
            } else if (channel.config().isAutoRead()) {
                unreadInput.clear(clock.nanos());
            } else {
                unreadInput.restart(clock.nanos());
            }
            runMeasured(this::decodeWaitingInput);
            if (waitingRequest != null && !readingAllInput) {
                waitingRequestTask.request();
            }
            ctx.fireChannelReadComplete();
        }

        /** Decodes input that waits, as far as it can be taken, and updates what follows from what has been received. */
        private void decodeWaitingInput() {
            try {
                decoder.decodeWaitingInput();
            } catch (Exception e) {
                channel.pipeline().fireExceptionCaught(e);
            }
            onInputDecoded();
        }

        /** Starts the time limit of a request at its first byte; no later byte renews it. */
        private void onInputDecoded() {
            boolean receiving = hasNoPendingRequest() && (decoder.hasPartialRequest() || assembler.isReceiving());
            if (receiving && !requestPartlyReceived) {
                awaitingRequestSince = hadRequest ? clock.nanos() : awaitingRequestSince;
                receiveTimeout.start(clock.nanos());
            }
            requestPartlyReceived = receiving;
            updateConnectionSets();
            updateHeldBytes();
            RequestHeaders head = decoder.partialHead();
            if (receiving && !closing && !assembler.isReceiving() && head != null && head.isTruncated()) {
                reportMemoryRefusal(MemoryRefusal.Stage.HEAD_UNFINISHED, head.refusedBytes());
                refusePartialRequest(REFUSED, NO_MEMORY_TEXT);
            }
        }

        private void reportMemoryRefusal(MemoryRefusal.Stage stage, long requestBytes) {
            listener.onMemoryRefusal(new MemoryRefusal(channel.remoteAddress(), stage, requestBytes, heap.heldBytes()));
        }

        /** Puts the connection into the sets that its state belongs to. */
        private void updateConnectionSets() {
            // A connection with a response that the client has not read yet is kept until the rest is read.
            boolean quiescent = connections.contains(this) && hasNoPendingRequest() && !inputIgnored && unflushedWrites == 0;
            boolean awaitsRequest = quiescent && (requestPartlyReceived || !hadRequest);
            addOrRemove(awaitingRequest, awaitsRequest);
            boolean wasIdle = idleConnections.contains(this);
            addOrRemove(idleConnections, quiescent && !awaitsRequest);
            idleSince = wasIdle ? idleSince : clock.nanos();
        }

        private void addOrRemove(Set<Connection> set, boolean member) {
            if (member) {
                set.add(this);
            } else {
                set.remove(this);
            }
        }

        /** Opens a request, or refuses it with this text if {@code refusal} is not null. */
        private void handleRequest(ReceivedRequest received, String refusal) {
            FullHttpRequest request = received.request();
            hadRequest = true;
            burstLimit.count(BurstLimit.requestCost(request.headers().size()), turns.period());
            openRequestBytes = received.heapBytes();
            boolean readable = request.decoderResult().isSuccess();
            boolean readinessProbe = request.uri().equals("/ready");
            // Readiness probes come on a connection of their own each; closing it after the response keeps them from taking
            // clients' places.
            Reply reply = new Reply(this, request, received.upload(), readable && !readinessProbe && HttpUtil.isKeepAlive(request));
            openReply = reply;
            updateConnectionSets();
            if (received.upload() != null) {
                uploadUnread = false;
                receiveTimeout.start(clock.nanos());
                streamingConnections.add(this);
            }
            try {
                if (!readable) {
                    reply.respondPlainText(HttpResponseStatus.BAD_REQUEST, "not a readable HTTP request", 0);
                } else if (refusal != null) {
                    reportMemoryRefusal(MemoryRefusal.Stage.INPUT_BEHIND_UNREAD, openRequestBytes);
                    reply.respondPlainText(REFUSED, refusal, 0);
                } else if (received.isTruncated()) {
                    reportMemoryRefusal(MemoryRefusal.Stage.RECEIVED, received.refusedBytes());
                    reply.respondPlainText(REFUSED, NO_MEMORY_TEXT, 0);
                } else if (readinessProbe) {
                    boolean ready = listener.isReady();
                    reply.respondPlainText(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            ready ? "ready" : "starting", 0);
                } else {
                    listener.onRequest(request, received.upload(), received.receivedAt(), reply);
                    if (received.upload() != null && !reply.concluded) {
                        assembler.sendPendingContinue();
                    }
                    if (reply.account != NO_ACCOUNT) {
                        ledgerCounters.recordOpened(reply.account, reply.id);
                    }
                }
            } catch (BadRequest e) {
                reply.respondPlainText(e.status, e.getMessage(), 0);
            } catch (RuntimeException e) {
                // A request that was read is always answered, whatever fails here.
                respondInternalError(reply, e);
            } finally {
                request.release();
            }
        }

        private void respondInternalError(Reply reply, Throwable fault) {
            listener.onInternalError(fault);
            reply.respondPlainText(HttpResponseStatus.BAD_GATEWAY, "failed: it may have run", 0);
            reply.abandonedHandler.run();
        }

        /** Writes the response to the open request, or its last part, and takes up the next request or ends the connection. */
        private void writeResponse(HttpObject response, boolean keepAlive) {
            Upload upload = openReply == null ? null : openReply.upload;
            boolean uploadIncomplete = upload != null && !upload.isFullyReceived();
            if (upload != null) {
                upload.discard();
            }
            openReply = null;
            hadResponse = true;
            streamingConnections.remove(this);
            int length = response instanceof FullHttpResponse full ? full.content().readableBytes() : 0;
            if (keepAlive) {
                trackFlush(channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE), length);
                if (hasWaitingRequest()) {
                    // Scheduled, to avoid recursion through a series of requests that are answered at once.
                    waitingRequestTask.request();
                }
            } else {
                long minDelayMillis = uploadIncomplete ? UPLOAD_DISCARD_MILLIS : inputIgnored ? LINGER_MILLIS : CLOSE_DELAY_MILLIS;
                ignoreInput(uploadIncomplete || inputIgnored ? Long.MAX_VALUE : MAX_DISCARDED_BYTES);
                ChannelFuture written = channel.writeAndFlush(response);
                trackFlush(written, length);
                closeAfterWrite(written, minDelayMillis, !uploadIncomplete);
            }
            updateConnectionSets();
            updateHeldBytes();
        }

        /** Ignores all input from now on, of which so many bytes are still read and discarded. */
        private void ignoreInput(long maxDiscardedBytes) {
            inputIgnored = true;
            closing = true;
            decoder.startDiscarding(maxDiscardedBytes);
        }

        /**
         * Counts a write with a body of this length until it is flushed. A connection must not be taken for idle, and closed, while
         * its client still reads a response.
         */
        private void trackFlush(ChannelFuture written, int length) {
            if (written.isDone()) {
                unreadOutput.add(length, clock.nanos());
                return;
            }
            unflushedWrites++;
            lastProgressAt = clock.nanos();
            streamingConnections.add(this);
            written.addListener(done -> {
                unflushedWrites--;
                lastProgressAt = clock.nanos();
                unreadOutput.add(length, lastProgressAt);
                updateConnectionSets();
                updateHeldBytes();
                if (hasWaitingRequest()) {
                    waitingRequestTask.request();
                }
                if (closingIdle) {
                    runAfterNextPoll(this::closeIfIdle);
                }
            });
        }

        /** Closes the connection after the response is written, as {@link #closeOnceRead} does. */
        private void closeAfterWrite(ChannelFuture written, long minDelayMillis, boolean closableForRoom) {
            written.addListener(done -> {
                if (done.isSuccess() && channel instanceof DuplexChannel) {
                    addOrRemove(lingeringConnections, closableForRoom && connections.contains(this));
                    closeOnceRead(minDelayMillis);
                } else {
                    channel.close();
                }
            });
        }

        /**
         * Half-closes the connection, and closes it once the client has had the time to read everything, after the given delay at the
         * earliest, or when the client closes its own side. Input is read and discarded meanwhile, as far as the discard budget goes:
         * closing with unread input, or receiving some after the close, resets the connection, and the system then discards what the
         * client has not read. A client that gets no response before the end of the connection can tell that nobody handled its
         * request.
         */
        private void closeOnceRead(long minDelayMillis) {
            ((DuplexChannel) channel).shutdownOutput();
            long delayNanos = TimeUnit.MILLISECONDS.toNanos(CLOSE_DELAY_MILLIS) + unreadOutputNanos();
            closeTask = loop.schedule(() -> channel.close(), Math.max(TimeUnit.MILLISECONDS.toNanos(minDelayMillis), delayNanos),
                    TimeUnit.NANOSECONDS);
        }

        /** Returns for how long at most the client may still have something of the responses to read, in nanoseconds. */
        private long unreadOutputNanos() {
            if (unreadOutput.remainingNanos(clock.nanos()) > SEND_BUFFER_CHECK_NANOS) {
                limitSendBuffer();
            }
            return unreadOutput.remainingNanos(clock.nanos());
        }

        /**
         * Limits the send buffer of a connection that is about to end, which may have grown to some megabytes: how much of it the
         * client has read cannot be told, so that the close has to wait for all of it at the lowest rate of a client.
         */
        private void limitSendBuffer() {
            if (sendBufferLimited) {
                return;
            }
            sendBufferLimited = true;
            try {
                Integer oldBytes = channel.config().getOption(ChannelOption.SO_SNDBUF);
                channel.config().setOption(ChannelOption.SO_SNDBUF, ENDING_SEND_BUFFER_BYTES);
                Integer newBytes = channel.config().getOption(ChannelOption.SO_SNDBUF);
                if (oldBytes != null && newBytes != null) {
                    unreadOutput.limitSendBuffer(oldBytes, newBytes, clock.nanos());
                }
            } catch (ChannelException e) {
                channel.close();
            }
        }

        /** Closes an idle connection: at once if its client has read everything, otherwise as {@link #closeOnceRead} does. */
        private void closeIdle() {
            if (channel instanceof DuplexChannel && channel.isActive() && unreadOutputNanos() > 0) {
                ignoreInput(MAX_DISCARDED_BYTES);
                lingeringConnections.add(this);
                closeOnceRead(CLOSE_DELAY_MILLIS);
                updateConnectionSets();
            } else {
                closeAndUnregister();
            }
        }

        private void closeIfIdle() {
            if (idleConnections.contains(this)) {
                closeIdle();
            }
        }

        /**
         * Returns whether the client must read responses before its next request is taken up: while memory is scarce, the
         * responses to a client that sends on and reads nothing must not pile up.
         */
        private boolean hasTooManyUnreadResponses() {
            return unflushedWrites > 0 && (budget.isScarce()
                    || !heapBudget.allowsAnswers((long) unflushedWrites * ClientHeapBudget.RESPONSE_BYTES));
        }

        private void handleWaitingRequest() {
            runMeasured(this::handleNextPipelined);
        }

        /**
         * Takes up the next pipelined request, if there is one that can be: once everything that the client has sent has been
         * read, since its close may lie behind that. If that cannot be held, the request is refused. Each flush of a response, and
         * each read while a request waits, calls this again.
         */
        private void handleNextPipelined() {
            if (!canTakeUpRequest()) {
                return;
            }
            boolean allRead = readAllInput();
            if (!canTakeUpRequest()) {
                return;
            }
            if (waitingRequest != null) {
                boolean bodyUnread = waitingRequest.isBodyUnread();
                if (!allRead && !bodyUnread && !isInputFull()) {
                    return;
                }
                ReceivedRequest next = waitingRequest;
                waitingRequest = null;
                handleRequest(next, allRead || bodyUnread ? null : UNREAD_TEXT);
            }
            decodeWaitingInput();
        }

        private boolean canTakeUpRequest() {
            return openReply == null && !hasTooManyUnreadResponses() && !closing && channel.isActive() && hasWaitingRequest()
                    && mayHandleNow();
        }

        /**
         * Ends a connection whose next request has not been received in time: with a 408 if a part of it has been received,
         * otherwise without a response.
         */
        private void closeOverdue() {
            if (requestPartlyReceived) {
                refusePartialRequest(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time");
            } else {
                closeAndUnregister();
            }
        }

        /** Answers a request of which a part has been received, and ends the connection. */
        private void refusePartialRequest(HttpResponseStatus status, String line) {
            inputIgnored = true;
            decoder.startDiscarding(MAX_DISCARDED_BYTES);
            Reply reply = new Reply(this, null, null, false);
            openReply = reply;
            reply.respondPlainText(status, line, 0);
        }

        /**
         * Sets {@code SO_LINGER}: with 0 the close is a reset, with -1 it is a normal one. Setting it fails on a connection that
         * is broken by now, which is then closed.
         */
        private void setSoLinger(int seconds) {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, seconds);
            } catch (ChannelException e) {
                channel.close();
            }
        }

        /** Closes the connection and removes it from all sets, so that its place is free at once. */
        private void closeAndUnregister() {
            unregister();
            channel.close();
        }

        private void unregister() {
            connections.remove(this);
            idleConnections.remove(this);
            awaitingRequest.remove(this);
            lingeringConnections.remove(this);
            streamingConnections.remove(this);
            turns.remove(this);
            updateHeldBytes();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            unregister();
            if (closeTask != null) {
                // Clients may close more connections during the delay than may be open.
                closeTask.cancel(false);
            }
            if (waitingRequest != null) {
                waitingRequest.release();
                waitingRequest = null;
            }
            enforceConnectionLimit();
            Reply unanswered = openReply;
            openReply = null;
            if (unanswered != null && unanswered.upload != null) {
                // Applies also to an upload that was received whole and still waits for a server.
                unanswered.upload.discard();
            }
            if (unanswered != null && !unanswered.concluded) {
                unanswered.conclude();
                if (unanswered.account != NO_ACCOUNT) {
                    unanswered.recordEnd(RequestEnd.ABANDONED);
                }
                unanswered.abandonedHandler.run();
            } else if (unanswered != null && unanswered.source != null) {
                ResponseSink.Source source = unanswered.source;
                unanswered.source = null;
                source.cancel();
                unanswered.abandonedHandler.run();
            }
            ctx.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException || openReply == null || openReply.concluded) {
                ctx.close();
            } else {
                // The failure is not of this connection but of the handling here.
                respondInternalError(openReply, cause);
            }
        }
    }
}
