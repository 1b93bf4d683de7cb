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

/** The side that clients see: takes in requests, and writes one answer to each. */
public final class ClientServer {
    /** What the gateway makes of requests. Each is told on the event loop. */
    public interface Listener {
        /** Whether new clients are welcome. */
        boolean ready();

        /**
         * A request whose last byte came at the given time, or, with an upload, whose body is on its way; a plain line tells
         * the client what is wrong with a bad one.
         */
        void requested(FullHttpRequest request, Upload upload, long arrivedAt, Reply reply) throws BadRequest;

        /** Something failed that nothing was thought to let fail; the request in hand has its answer. */
        void failed(Throwable fault);
    }

    /** A request that can't be taken in. */
    public static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;

        /** Tells the client this status and this plain line. */
        public BadRequest(HttpResponseStatus status, String line) {
            super(line);
            this.status = status;
        }
    }

    static final int BACKLOG = 512;
    private static final int NO_ACCOUNT = -1;
    /** Of what one client, and all together, have sent ahead so much is read, with a figure for what each request takes beside its body. */
    private static final int MOST_AHEAD = 128 * 1024, MOST_AHEAD_IN_ALL = 4 * 1024 * 1024, AHEAD_EACH = 1024;
    /** Of what can't be read so much is looked through for the client's leaving. */
    private static final long MOST_DISCARDED = 256 * 1024;
    /** Who has said nothing for so long from the connect on is closed. */
    private static final long SAYS_NOTHING_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** A client that reads nothing of a large answer for so long has gone. */
    private static final long UNREAD_NANOS = TimeUnit.SECONDS.toNanos(20);
    /** Guards against memory that grows with the number of large answers: what waits for one client. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /** Once clients are accepted again, the backlog is empty after this time, or acceptance has been held back anew. */
    private static final long BACKLOG_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Who connects to ask does so within this time. */
    private static final long YOUNG_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long RECHECK_MILLIS = 20, LINGER_MILLIS = 200, DISCARD_MILLIS = 1_000, CLOSE_MILLIS = 50;
    /** A client may read an answer at 64 kB a second; of one that was passed on so much may still be with the system. */
    private static final int SLOWEST_BYTES_PER_MILLI = 64, LARGE_ANSWER = 128 * 1024;
    /** How far apart looks at the backlog are at the end, and how many there are at the most. */
    static final long LOOK_MILLIS = 5;
    static final int MOST_LOOKS = 100;
    /** Where places are scarce, who has asked nothing for so long is thought to have no more to ask. */
    private static final long LONG_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** A front stops sending so long after the first no at the latest, and looks for it now and then. */
    private static final long FRONT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EventLoop loop;
    private final Transport transport;
    private final GatewayClock clock;
    private final EventLoopLag lag;
    private final Listener listener;
    /** What this side counts of requests; null where nobody keeps account. */
    private final Sheet sheet;
    private final int mostConnections;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Those that have asked and have no request open, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    /** Those that have never asked, or sent a part of a request, with none open, the longest due first. */
    private final Set<Connection> due = new LinkedHashSet<>();
    /** Those that have been told what is wrong and are about to be closed. */
    private final Set<Connection> lingering = new LinkedHashSet<>();
    /** Those with a large body on its way, in or out. */
    private final Set<Connection> moving = new LinkedHashSet<>();
    private final AcceptErrorHandler acceptErrors = new AcceptErrorHandler(this::acceptAgain);
    /** An accept has failed a moment ago. */
    private boolean acceptPaused;
    /** Until when the connections that are accepted may have waited in the backlog, since nobody was accepted for a time. */
    private long heldBackUntil = Long.MIN_VALUE;
    /** Null where another hands over what it accepts. */
    private Channel acceptor;
    /** Others hold the listener too, and it stays open. */
    private boolean shared;
    /** What an {@link Acceptor} goes by, on its own thread. */
    private final AtomicInteger handedOver = new AtomicInteger();
    private volatile int held;
    private volatile boolean room = true;
    private boolean ending;
    /** What stands idle is closed from now on; and until the listener is. */
    private boolean emptying;
    private boolean stopping;
    private boolean standby;
    private boolean sharesPlaces;
    /** Connections taken in so far, and the bytes that all clients have sent ahead and nobody has taken up yet. */
    private long takenIn;
    private long ahead;
    private long standbySince;
    private boolean rechecking;

    /** Holds so many connections at the most; answers come from the listener, and what is taken is counted in the sheet. */
    public ClientServer(EventLoop loop, Transport transport, GatewayClock clock, EventLoopLag lag, int mostConnections,
                        Listener listener, Sheet sheet) {
        this.lag = lag;
        this.sheet = sheet;
        this.loop = loop;
        this.transport = transport;
        this.clock = clock;
        this.mostConnections = mostConnections;
        this.listener = listener;
        // Guards against ending, after a time in which the loop was busy, those whose request has lain unread since.
        loop.scheduleWithFixedDelay(() -> afterALook(this::endOverdue), ArrivalTimer.SWEEP_MILLIS, ArrivalTimer.SWEEP_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Starts to listen; the future fails where the address can't be had. */
    public ChannelFuture listen(SocketAddress address) {
        return listen(new ServerBootstrap(), address);
    }

    /** The same as one of several that share the address, among which the system deals out who connects. */
    public ChannelFuture listenBesideOthers(SocketAddress address) {
        return listen(new ServerBootstrap().option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true), address);
    }

    /** Accepts from a listener that is bound and that others hold too; {@code first} has been accepted, or is null. */
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

    /** Takes in no more from a listener that others hold too; each answer ends its connection from now on. */
    public void leaveListener() {
        ending = true;
        if (acceptor != null) {
            acceptor.config().setAutoRead(false);
        }
    }

    private ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
        if (transport != Transport.PROCESS) {
            bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG);
        }
        ChannelFuture bound = bootstrap.group(loop).channel(transport.server())
                .handler(acceptErrors).childHandler(new Begins()).bind(address);
        acceptor = bound.channel();
        return bound;
    }

    /** The first handler of a client's connection. */
    private final class Begins extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            Connection connection = new Connection(channel);
            channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
            channel.config().setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator(64, 2048, HostPool.LARGEST_READ));
            channel.pipeline().addLast(connection.decoder, new HttpResponseEncoder(), connection.assembler, connection);
        }
    }

    /** Takes over a connection that an {@link Acceptor} has accepted. From its thread. */
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

    /** Whether it can take one more, for which a useless one may make room. From any thread. */
    boolean hasRoom() {
        return room && held + handedOver.get() <= mostConnections;
    }

    /** The more, the less it should be given: what it holds, and first of all what it has not taken over yet. */
    long strain() {
        return held + ((long) handedOver.get() << Integer.SIZE);
    }

    /** Where it listens; of use where the port was left to the system. */
    public InetSocketAddress address() {
        return (InetSocketAddress) acceptor.localAddress();
    }

    /**
     * Takes in no more, closes what stands idle, and from now on each answer ends its connection. Not at once: this may be the
     * work of a loop that was busy until now and has not looked at its sockets since, and what stands in the backlog or unread
     * on a connection by then has been taken, by the platform's words, though nobody here has seen it.
     */
    public void stopAccepting() {
        ending = true;
        emptying = true;
        stopping = true;
        bound();
        lookAgain(MOST_LOOKS);
    }

    /** Ends what has no request open: who has sent a part of one is told that the rest would come too late. */
    public void endAll() {
        List.copyOf(due).forEach(Connection::overdue);
        List.copyOf(idle).forEach(Connection::drop);
    }

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

    /** Sends clients away from now on, and in time closes what stands idle; or welcomes them again. */
    public void standby(boolean empty) {
        standbySince = standby ? standbySince : clock.nanos();
        standby = empty;
    }

    /** Guards against a drained gateway that clients stay with, also those that came late and never asked. */
    private void empty() {
        long now = clock.nanos();
        if (standby && now - standbySince >= FRONT_NANOS) {
            List.copyOf(idle).forEach(Connection::drop);
            List.copyOf(due).stream().filter(c -> !c.begun && now - c.dueSince >= FRONT_NANOS).forEach(Connection::drop);
        }
    }

    /** Requests that have come whole and wait for an earlier one on their connection. */
    public int sentAhead() {
        return connections.stream().mapToInt(connection -> connection.pipelined.size()).sum();
    }

    /** Another process has a part of the places while this holds. */
    public void overlap(boolean shares) {
        sharesPlaces = shares;
        bound();
    }

    private int most() {
        return sharesPlaces ? Math.max(1, mostConnections / 2) : mostConnections;
    }

    /** How many clients wait for the answer to a request of each account, found by looking at each connection. */
    public long[] waiting(int accounts) {
        long[] waiting = new long[accounts];
        for (Connection connection : connections) {
            if (connection.open != null && connection.open.account != NO_ACCOUNT) {
                waiting[connection.open.account]++;
            }
        }
        return waiting;
    }

    /** Whether a client still waits for an answer, or for the rest of one, or may yet be taken in. */
    public boolean holdsAny() {
        return stopping || handedOver.get() > 0 || !connections.isEmpty();
    }

    /**
     * Guards against running out of descriptors, and against silent clients who take the places of those who
     * ask: with too many connections, one of the least use makes room, and while none can be spared, new ones
     * wait in the backlog.
     */
    private void bound() {
        countRoom();
        if (!room && !rechecking) {
            rechecking = true;
            // Guards against sparing one whose request has come and is only not read yet.
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

    /** Not before the sockets have been looked at once more: all tasks that are due come before that. */
    private void afterALook(Runnable task) {
        loop.schedule(task, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** One that is to be closed anyway, or has long been due; the longest idle only where no other is. */
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
     * Guards against clients who keep a connection for good and don't ask on it again: each would cost a
     * place, until those who ask find none. With half of the places taken an answer ends its connection, and
     * who is still to ask connects anew; equally against crowds that say nothing and take what is left.
     * It could do harm where connecting is slow or dear and more clients than half the places come back often.
     */
    private boolean crowded() {
        // Those that have their last answer make room first, and take no place from anybody.
        return connections.size() - lingering.size() > mostConnections / 2;
    }

    /** Guards against clients that say nothing, or send so slowly that their request never comes whole. */
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

    /** The way back to the client of one request. Only the first answer goes out. */
    public final class Reply {
        private final Connection connection;
        private final boolean keepAlive;
        private Runnable left = () -> { };
        /** Of a request that was taken, where account is kept. */
        private int account = NO_ACCOUNT;
        private String id;
        /** Null where nobody counts. */
        private RequestCounters tally;
        /** The answer's head has gone out, or none is wanted any more. */
        private boolean done;
        /** The host's side of an answer that is passed on as it comes, until its end. */
        private Passage.Source source;
        /** Of such an answer: its end can be told from a break by its connection's end alone. */
        private boolean unframed;
        private boolean keepsAlive;
        /** Of a request whose body is passed on as it comes. */
        private final Upload upload;
        /** The request may have no body in its answer, or comes from a client that knows no chunks. */
        private final boolean bodyless;
        private final boolean old;

        private Reply(Connection connection, FullHttpRequest request, Upload upload, boolean keepAlive) {
            this.connection = connection;
            this.upload = upload;
            this.keepAlive = keepAlive;
            bodyless = request != null && request.method().equals(HttpMethod.HEAD);
            old = request != null && request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        }

        /** Which account the request belongs to, and its id; before it has its answer. */
        public void accountedAs(int number, String name) {
            account = number;
            id = name;
        }

        /** Counts its end there; before it has its answer. */
        public void countIn(RequestCounters counts) {
            tally = counts;
        }

        private void count(End end) {
            sheet.end(account, end, id);
        }

        /** What to do when the client leaves before its answer. */
        public void onLeft(Runnable action) {
            left = action;
        }

        /** Whether the client's connection is open, by a look at its socket where the last one was long ago. */
        public boolean isClientPresent() {
            return connection.isPresent();
        }

        /** Whether the client has its answer, or has gone. */
        public boolean isDone() {
            return done;
        }

        /** Whether nothing more is to come of it. */
        public boolean isOver() {
            return done && source == null;
        }

        /** A host's answer begins, and goes out as it comes: of so many bytes, or -1 where only its end will tell. */
        public void begin(long length, Passage.Source from) {
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
                // Its end is the connection's, and a reset is none: whatever ends it before, a kill too, must be a reset.
                connection.lingerOnClose(0);
            }
            connection.movedAt = clock.nanos();
            moving.add(connection);
            connection.channel.write(head);
        }

        /** More of it, which is this one's to release. */
        public void part(ByteBuf bytes) {
            connection.movedAt = clock.nanos();
            connection.channel.writeAndFlush(new DefaultHttpContent(bytes));
            connection.pace();
        }

        /** That was the whole of it. */
        public void end() {
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

        /** It will never be whole, which the client must be able to tell. */
        public void breakOff() {
            if (source == null) {
                return;
            }
            source = null;
            if (tally != null) {
                tally.brokenOff();
            }
            connection.open = null;
            connection.drop();
        }

        private boolean staysOpen() {
            // What was sent ahead is still owed its answer; of a body that is still on its way no end is known.
            boolean spared = (crowded() || ending || standby) && connection.pipelined.isEmpty();
            return keepAlive && !spared && (upload == null || upload.isWhole());
        }

        private void tellConnection(HttpResponse head) {
            if (!keepsAlive) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (old) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
            }
        }

        /** A host's answer, unchanged. */
        public void served(ByteBuf body) {
            write(HttpResponseStatus.OK, body.retain(), 0);
        }

        /** A plain line; {@code pauseNanos} tells when to come back, 0 for no advice. */
        public void plain(HttpResponseStatus status, String line, long pauseNanos) {
            write(status, Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8), pauseNanos);
        }

        private void write(HttpResponseStatus status, ByteBuf body, long pauseNanos) {
            if (done) {
                body.release();
                return;
            }
            done = true;
            if (account != NO_ACCOUNT) {
                // By what goes out and not by what it was meant to be.
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

    /** A request, or what came in place of one, and when its last byte came. */
    private record Arrived(FullHttpRequest request, Upload upload, long at) {
        /** What it takes while it waits, about. */
        long size() {
            return AHEAD_EACH + request.content().capacity();
        }
    }

    private static final class Decoder extends HttpRequestDecoder {
        private static final long READS = -1;
        private long mayDiscard = READS;

        Decoder() {
            super(new HttpDecoderConfig().setAllowDuplicateContentLengths(true));
        }

        /** Guards against smuggling: two readers would find two ends of such a request (RFC 9112, section 6.3). */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both a length and chunks");
        }

        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        /** From now on what comes is looked at no more, but for its end; no more of it than so many bytes. */
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

    private final class Connection extends SimpleChannelInboundHandler<RequestAssembler.Incoming> {
        private final Channel channel;
        private final Decoder decoder = new Decoder();
        private final RequestAssembler assembler = new RequestAssembler(this::isFree, this::read, this::uploadBroke);
        /** Requests that came before the one ahead had its answer. */
        private final ArrayDeque<Arrived> pipelined = new ArrayDeque<>();
        private Reply open;
        /** Answers, or last parts of them, that wait for the client to read. */
        private int unflushed;
        /** Bytes of what is pipelined. */
        private long ahead;
        /** Whether the upload under way wants more. */
        private boolean uploadReads = true;
        /** Since when the next request is due: the connect, or its first byte. */
        private long dueSince;
        /** Since when bytes may have stood on it at its accept. */
        private long openSince;
        private long idleSince;
        /** Of the request that is arriving. */
        private final ArrivalTimer arrival = new ArrivalTimer();
        /** Of a large answer: when a part of it last went out. */
        private long movedAt;
        private boolean asked;
        /** It may have waited to be accepted, so that what lies on it is old: its client's leaving may lie behind its request. */
        private boolean waitedInBacklog;
        /** A part of the next request has come. */
        private boolean begun;
        /** Nothing more is read: what came can't be, or the answer on its way says that the connection ends. */
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
                // Guards against spending time on the rest of what can't be read.
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
                // Its client's leaving may lie right behind it: that is read first.
                loop.execute(this::takeNext);
            }
        }

        /** Whether what is read now may have lain there for long: behind a late loop, or since before the accept. */
        private boolean mayBeOld(long now) {
            return lag.isStale(now) || waitedInBacklog;
        }

        private long earliestArrival(long now) {
            return openSince < dueSince && now - dueSince <= EventLoopLag.BEAT_NANOS ? openSince : lag.earliestArrival(now);
        }

        /** Whether its client is there, as far as the system can tell. Never from within a reading of this connection. */
        private boolean isPresent() {
            if (channel.isActive() && mayBeOld(clock.nanos())) {
                SocketReads.now(channel);
            }
            return channel.isActive();
        }

        /**
         * Guards against piling up what one client sends ahead, without breaking off what is open. As long as something is owed
         * the connection is read where it can be: that its client has left shows in no other way, and what waits here would go
         * to a host all the same.
         */
        private void count(long more) {
            ahead += more;
            ClientServer.this.ahead += more;
            readOn();
        }

        private void readOn() {
            boolean full = ahead >= MOST_AHEAD || ahead > 0 && ClientServer.this.ahead >= MOST_AHEAD_IN_ALL;
            channel.config().setAutoRead(uploadReads && !full && decoder.mayDiscard != 0);
        }

        /** Of an upload; what is to be read of later requests is not its matter. */
        private void read(boolean on) {
            uploadReads = on;
            readOn();
        }

        /** The rest of a body can't be read: the request is as good as gone, and the client is told why. */
        private void uploadBroke() {
            endUpload(HttpResponseStatus.BAD_REQUEST, "the body can't be read");
        }

        private void endUpload(HttpResponseStatus status, String line) {
            Reply reply = open;
            if (reply != null && !reply.done) {
                reply.plain(status, line, 0);
                reply.left.run();
            } else {
                channel.close();
            }
        }

        /** Holds the host back while this client's side is full. */
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

        /** Guards against clients that trickle a body in, or read nothing of an answer, to hold a place for good. */
        private void checkMoving(long now) {
            Upload upload = open == null ? null : open.upload;
            boolean comes = upload != null && !upload.isWhole();
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

        /** Of one that has no request open. */
        private boolean isOverdue(long now) {
            if (!begun) {
                return now - dueSince >= SAYS_NOTHING_NANOS;
            }
            arrival.observe(now, assembler.received(), true);
            return arrival.isOverdue(now);
        }

        /** The limit counts from a request's first byte, and no later byte renews it. */
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

        /** Puts the connection into the set where it belongs. */
        private void place() {
            // One that still has an answer to read is owed the rest of it.
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
            // Guards against probes that take clients' places: each comes on a connection of its own.
            Reply reply = new Reply(this, request, arrived.upload, readable && !probes && HttpUtil.isKeepAlive(request));
            open = reply;
            place();
            if (arrived.upload != null) {
                arrival.start(clock.nanos());
                moving.add(this);
            }
            try {
                if (!readable) {
                    reply.plain(HttpResponseStatus.BAD_REQUEST, "not a readable HTTP request", 0);
                } else if (probes) {
                    boolean ready = listener.ready();
                    reply.plain(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            ready ? "ready" : "starting", 0);
                } else {
                    listener.requested(request, arrived.upload, arrived.at, reply);
                    if (arrived.upload != null && !reply.done) {
                        assembler.goOn();
                    }
                    if (reply.account != NO_ACCOUNT) {
                        sheet.open(reply.account, reply.id);
                    }
                }
            } catch (BadRequest e) {
                reply.plain(e.status, e.getMessage(), 0);
            } catch (RuntimeException e) {
                // A request that was read is owed an answer, whatever fails here.
                answerFault(reply, e);
            } finally {
                request.release();
            }
        }

        private void answerFault(Reply reply, Throwable fault) {
            listener.failed(fault);
            reply.plain(HttpResponseStatus.BAD_GATEWAY, "failed: it may have run", 0);
            reply.left.run();
        }

        /** The answer to the open request, or the last of it. */
        private void answer(HttpObject answer, boolean keepAlive) {
            Upload left = open == null ? null : open.upload;
            boolean partial = left != null && !left.isWhole();
            if (left != null) {
                left.drop();
            }
            open = null;
            waitedInBacklog = false;
            moving.remove(this);
            if (keepAlive) {
                flushed(channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE));
                if (!pipelined.isEmpty()) {
                    // Guards against recursion through a run of requests that are answered at once.
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

        /** Guards against taking a connection for idle, and closing it, while its client still reads an answer. */
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
         * Guards against the reset that closing with bytes unread would be: it would take the answer away from
         * a client that is still sending. Its time begins when the answer is on its way.
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
         * The client reads the answer's end, and closes. What it has sent meanwhile stays unread, so that it can tell that nobody
         * took it; a close at once over such bytes would be a reset, which takes the answer away.
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

        /** Ends a connection whose next request has not come in time, with a word where it has begun. */
        private void overdue() {
            if (begun) {
                deaf = true;
                decoder.discard(MOST_DISCARDED);
                Reply reply = new Reply(this, null, null, false);
                open = reply;
                reply.plain(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time", 0);
            } else {
                drop();
            }
        }

        /** How the system ends it: 0 is a reset, -1 the usual. A connection that has broken by now takes no option. */
        private void lingerOnClose(int seconds) {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, seconds);
            } catch (ChannelException e) {
                channel.close();
            }
        }

        /** Closes it, and forgets it at once so that its place is free. */
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
                // Also of one that has come whole and still waits for its host.
                unanswered.upload.drop();
            }
            if (unanswered != null && !unanswered.done) {
                unanswered.done = true;
                if (unanswered.account != NO_ACCOUNT) {
                    unanswered.count(End.ABANDONED);
                }
                unanswered.left.run();
            } else if (unanswered != null && unanswered.source != null) {
                Passage.Source source = unanswered.source;
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
                // Not its connection, but something here has failed.
                answerFault(open, cause);
            }
        }
    }
}
