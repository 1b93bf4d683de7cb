package cinderhollow.http1;

import cinderhollow.core.ConnectFutures;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LagAwareTimers;
import cinderhollow.core.LoopActivity;
import cinderhollow.core.Transport;
import cinderhollow.ledger.LedgerCounters;
import cinderhollow.lifecycle.AttemptLifecycle;
import cinderhollow.lifecycle.AttemptState;
import cinderhollow.lifecycle.SendDecision;
import cinderhollow.lifecycle.TransitionMonitor;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Pool of persistent HTTP/1.1 connections to the servers, and the attempts sent on them. A connection carries one request at a
 * time. The pool never sends a request a second time: an attempt whose connection breaks has ended. Belongs to one event loop.
 */
public final class UpstreamPool {
    /**
     * Receives the events of one attempt, on the event loop. The end of the attempt is never reported from within {@link #send}
     * or a cancel.
     */
    public interface Listener {
        /**
         * Called once when the attempt has ended. {@code body} is non-null only for a served attempt; it is valid only during the
         * call.
         */
        void onAttemptEnded(Attempt attempt, Outcome outcome, long atNanos, LoadReport load, ByteBuf body);

        /** Called when the server has sent the head of a response that may be streamed, and the rest is still to come. */
        void onResponseBegun(Attempt attempt);

        /** Called when the attempt's last byte has been written; this may also be after the attempt has ended. */
        void onRequestWritten();

        /**
         * Decides whether the attempt is sent; called right before its first byte is written, however long ago the attempt was
         * started. {@code serverAvailable} tells whether the server takes new requests according to the pool's current endpoint
         * list.
         */
        SendDecision decideSend(BooleanSupplier serverAvailable);

        /** Returns the monitor that counts forbidden state transitions of attempts. */
        TransitionMonitor monitor();

        /**
         * Called when a served attempt's response is streamed. The attempt has ended with this call, and {@link #onAttemptEnded} is not
         * called for it. {@code length} is the length of the body in bytes, or -1 if it is known only once the body ends. Returns
         * the receiver of the body, or null if the response is not wanted any more.
         */
        ResponseSink onStreamStarted(Attempt attempt, long atNanos, LoadReport load, long length, ResponseSink.Source source);

        /** Returns the number of the ledger account that the request belongs to; used only if a ledger is kept. */
        int account();

        /** Returns the request's id. */
        String id();
    }

    /**
     * Part of the servers' idle timeout for which an idle connection is kept. Below 1, so that a request is not sent just as the
     * server closes its idle connection.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 2.0 / 3;
    /**
     * Reuse delay, and for how long it applies. Some servers send a second response a few milliseconds after the first; if
     * another request were in flight on the connection by then, those bytes would be taken for its response. Once a server has
     * sent more than its response, no connection is reused until 8 ms after its last response, until no such excess data has been
     * seen for 60 s. The request waits for the delay rather than for a new connection: dialling takes as long and costs the
     * server work, and under load each connection would be discarded for the next request.
     */
    private static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(8), REUSE_DELAY_ACTIVE_NANOS =
            TimeUnit.SECONDS.toNanos(60);
    private static final long SWEEP_INTERVAL_MILLIS = 500;
    /**
     * A connection with a large body on which the server neither sends nor accepts data for this long is closed; the server is
     * presumed gone.
     */
    private static final long STREAM_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /**
     * Bounds of the outbound buffer of one connection, so that memory grows with the number of large bodies in flight but not
     * with their size.
     */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);

    private final EventLoop loop;
    private final GatewayClock clock;
    private final LoopActivity activity;
    private final BodyMemoryBudget budget;
    private final LagAwareTimers timers;
    private final int maxConnections;
    /** Ledger counters for attempts; null if no ledger is kept. */
    private final LedgerCounters ledgerCounters;
    /** Number of attempts in flight, by account; counted only if a ledger is kept. */
    private final long[] openAttempts;
    private long idleTimeoutNanos;
    private final Bootstrap bootstrap;
    private final Map<String, Server> servers = new HashMap<>();
    /** Connections with a large body under way. */
    private final Set<Connection> streamingConnections = new HashSet<>();
    private int connectionCount;
    private long reuseDelayUntil = Long.MIN_VALUE;
    private boolean sharesConnectionLimit;

    /**
     * Creates a pool without servers.
     *
     * @param loop event loop of all connections
     * @param transport kind of sockets to connect with
     * @param clock clock of all times
     * @param activity counts what the loop does
     * @param dialTimeoutNanos how long a connect may take
     * @param serverIdleTimeoutNanos idle timeout of the servers; idle connections are kept for a part of it
     * @param maxConnections maximum number of connections, open or being dialled
     * @param budget bounds the memory that bodies hold
     * @param ledgerCounters ledger counters for attempts, or null
     * @param accounts number of ledger accounts
     */
    public UpstreamPool(EventLoop loop, Transport transport, GatewayClock clock, LoopActivity activity, long dialTimeoutNanos,
            long serverIdleTimeoutNanos, int maxConnections, BodyMemoryBudget budget, LedgerCounters ledgerCounters, int accounts) {
        this.budget = budget;
        this.ledgerCounters = ledgerCounters;
        openAttempts = new long[accounts];
        this.loop = loop;
        this.clock = clock;
        this.activity = activity;
        timers = new LagAwareTimers(loop, clock);
        this.maxConnections = maxConnections;
        bootstrap = new Bootstrap().group(loop).channel(transport.clientChannelType())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new BodyReadAllocator(budget, activity));
        setTimeouts(dialTimeoutNanos, serverIdleTimeoutNanos);
        loop.scheduleWithFixedDelay(this::closeIdleAndStalled, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the connect timeout and the servers' idle timeout. The connect timeout applies to connections dialled from now on.
     */
    public void setTimeouts(long dialTimeoutNanos, long serverIdleTimeoutNanos) {
        idleTimeoutNanos = (long) (serverIdleTimeoutNanos * IDLE_TIMEOUT_FRACTION);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(dialTimeoutNanos)));
    }

    /**
     * Updates the servers from an endpoint list. Must be called before the decision module receives the list, so that each server
     * it may choose has an address here.
     */
    public void update(EndpointList list) {
        Set<String> listedIds = new HashSet<>();
        for (Endpoint endpoint : list.endpoints()) {
            listedIds.add(endpoint.info().id());
            update(endpoint);
        }
        if (list.snapshot()) {
            for (String name : List.copyOf(servers.keySet())) {
                if (!listedIds.contains(name)) {
                    servers.remove(name).setAvailable(false);
                }
            }
        }
    }

    private void update(Endpoint endpoint) {
        String name = endpoint.info().id();
        Server old = servers.get(name);
        if (endpoint.isGone()) {
            servers.remove(name);
        } else if (old == null || !old.matches(endpoint)) {
            servers.put(name, new Server(endpoint));
        } else {
            old.endpoint = endpoint;
            old.setAvailable(endpoint.info().readiness() == Readiness.READY);
            return;
        }
        if (old != null) {
            old.setAvailable(false);
            if (!endpoint.isGone()) {
                old.closeConnectionsOpenedBefore(endpoint.info().startedAtNanos());
            }
        }
    }

    /** Starts an attempt. This method takes ownership of the request and releases it. */
    public Attempt send(String server, FullHttpRequest request, long timeoutNanos, Listener listener) {
        Attempt attempt = new Attempt(request, null, clock.nanos(), listener);
        attempt.setTimeout(timeoutNanos);
        return start(server, attempt);
    }

    /**
     * Starts an attempt of a request whose body is forwarded as it arrives. Its timeout starts with {@link Attempt#setTimeout}.
     */
    public Attempt send(String server, HttpRequest head, Upload upload, Listener listener) {
        return start(server, new Attempt(head, upload, clock.nanos(), listener));
    }

    private Attempt start(String server, Attempt attempt) {
        Server target = servers.get(server);
        Connection idle = target == null ? null : target.takeIdle();
        if (idle != null) {
            idle.sendWhenReusable(attempt);
        } else if (target != null && (connectionCount < (sharesConnectionLimit ? maxConnections / 2 : maxConnections)
                || closeOneIdle())) {
            target.dial(attempt);
        } else {
            loop.execute(() -> attempt.end(Outcome.CONNECT_FAILED, null, null));
        }
        return attempt;
    }

    /** Returns the number of attempts of an account that are in flight; 0 if no ledger is kept. */
    public long openAttempts(int account) {
        return openAttempts[account];
    }

    /** Sets whether another process uses a part of the connection limit; if so, this pool uses at most half of it. */
    public void setConnectionLimitShared(boolean limitShared) {
        sharesConnectionLimit = limitShared;
    }

    /** Returns the endpoints of the current list. */
    public List<Endpoint> endpoints() {
        return servers.values().stream().map(host -> host.endpoint).toList();
    }

    /** Returns the number of servers in the current list. */
    public int serverCount() {
        return servers.size();
    }

    /** Returns the number of connections that are open or being dialled. */
    public int connectionCount() {
        return connectionCount;
    }

    private void closeIdleAndStalled() {
        long now = clock.nanos();
        servers.values().forEach(host -> host.closeIdle(now - idleTimeoutNanos));
        List.copyOf(streamingConnections).forEach(connection -> connection.closeIfStalled(now - STREAM_IDLE_TIMEOUT_NANOS));
        activity.recordHandler(LoopActivity.Handler.SWEEP, clock.nanos() - now);
    }

    /** Closes the longest idle connection of the first server that has an idle one; returns false if there is none. */
    private boolean closeOneIdle() {
        for (Server server : servers.values()) {
            Connection oldest = server.idleConnections.pollFirst();
            if (oldest != null) {
                oldest.channel.close();
                return true;
            }
        }
        return false;
    }

    /** One server since its last start, at one address. A restart or a change of address makes a new instance. */
    private final class Server {
        private Endpoint endpoint;
        /** Idle connections, the most recently used last. */
        private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
        private final Set<Connection> allConnections = new HashSet<>();
        private boolean available;

        Server(Endpoint endpoint) {
            this.endpoint = endpoint;
            available = endpoint.info().readiness() == Readiness.READY;
        }

        boolean matches(Endpoint other) {
            return endpoint.address().equals(other.address())
                    && endpoint.info().startedAtNanos() == other.info().startedAtNanos();
        }

        /**
         * Returns an idle connection, or null. Prefers the most recently used one that can be reused at once, so that the others
         * reach their idle timeout; if all are within the reuse delay, returns the one whose delay ends first. Connections that
         * the server has closed, or that have been idle for too long, are closed and skipped.
         */
        Connection takeIdle() {
            long now = clock.nanos();
            Connection soonestReusable = null;
            for (Iterator<Connection> latestFirst = idleConnections.descendingIterator(); latestFirst.hasNext();) {
                Connection connection = latestFirst.next();
                if (connection.channel.isActive() && now - connection.idleSince <= idleTimeoutNanos) {
                    if (connection.remainingReuseDelayNanos(now) <= 0) {
                        latestFirst.remove();
                        return connection;
                    }
                    soonestReusable = connection;
                } else {
                    latestFirst.remove();
                    connection.channel.close();
                }
            }
            if (soonestReusable != null) {
                idleConnections.remove(soonestReusable);
            }
            return soonestReusable;
        }

        void dial(Attempt attempt) {
            connectionCount++;
            Connection connection = new Connection(this, attempt);
            allConnections.add(connection);
            attempt.connection = connection;
            ChannelFuture dial = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    ResponseAssembler reader = new ResponseAssembler(connection, timers, activity, budget);
                    connection.reader = reader;
                    channel.pipeline().addLast(reader.decoder(), new HttpRequestEncoder(), reader);
                }
            }).connect(endpoint.address());
            connection.channel = dial.channel();
            // Runs after the channel's last read: a response that is delimited by the end of the connection is completed in a
            // task of its own.
            ConnectFutures.onClose(dial, loop, () -> loop.execute(connection::onClosed));
            dial.addListener(done -> {
                if (!done.isSuccess()) {
                    // If no socket could be created, the future is completed on another thread.
                    loop.execute(() -> attempt.listener.monitor().connectFailed(endpoint.info().id(), done.cause()));
                }
            });
            dial.addListener(done -> {
                if (loop.inEventLoop()) {
                    connection.onDialCompleted(done);
                }
            });
        }

        void closeIdle(long before) {
            while (!idleConnections.isEmpty() && idleConnections.peekFirst().idleSince <= before) {
                idleConnections.pollFirst().channel.close();
            }
        }

        /**
         * Sets whether the server takes new requests. If not (draining or gone), closes its idle connections, of which a server
         * may allow only a few, and fails the attempts that wait for a connection, since the connection may come up late and the
         * request would still be sent to this server. Requests that have been sent may still be answered.
         */
        void setAvailable(boolean nowAvailable) {
            available = nowAvailable;
            if (!nowAvailable) {
                closeIdle(Long.MAX_VALUE);
                allConnections.forEach(Connection::failUnsentAttempt);
            }
        }

        /**
         * Closes the connections opened before the server restarted: the process at their other end no longer exists, and its
         * machine may never report that.
         */
        void closeConnectionsOpenedBefore(long restartedAt) {
            for (Connection connection : List.copyOf(allConnections)) {
                if (connection.openedAt < restartedAt) {
                    ConnectFutures.closeIfOpen(connection.channel);
                }
            }
        }
    }

    /** One connection to a server, open or being dialled. */
    private final class Connection implements ResponseAssembler.Listener, Upload.Sink, ResponseSink.Source {
        private final Server server;
        private final long openedAt = clock.nanos();
        private Channel channel;
        /** Null until the channel has been set up. */
        private ResponseAssembler reader;
        private Attempt attempt;
        private long idleSince;
        /** Whether a request has been sent on this connection. */
        private boolean used;
        private boolean closed;
        /** Receiver of the response, if the response is being streamed; otherwise null. */
        private ResponseSink responseSink;
        /** When a part of a large body was last sent or received. */
        private long lastProgressAt;
        /** Whether this side has paused reading the response from the server. */
        private boolean readPaused;

        Connection(Server server, Attempt first) {
            this.server = server;
            attempt = first;
        }

        /**
         * Ends an attempt that waits for this connection, as failed to connect. Unsent means here that nothing of it has been
         * written, so it can be sent to another server.
         */
        void failUnsentAttempt() {
            Attempt unsent = attempt;
            if (unsent != null && !unsent.lifecycle.isWritingOrWritten()) {
                attempt = null;
                unsent.connection = null;
                loop.execute(() -> unsent.end(Outcome.CONNECT_FAILED, null, null));
            }
        }

        void onDialCompleted(Future<?> dialFuture) {
            if (!dialFuture.isSuccess()) {
                ConnectFutures.closeIfOpen(channel);
                return;
            }
            if (attempt == null) {
                release(true);
            } else {
                trySend(attempt);
            }
        }

        /** Returns how much longer the reuse delay lasts, in nanoseconds; zero or negative if the connection can be used now. */
        long remainingReuseDelayNanos(long now) {
            return used && now < reuseDelayUntil ? idleSince + REUSE_DELAY_NANOS - now : 0;
        }

        /**
         * Sends the attempt now, or once the reuse delay is over. Of an attempt that waits for this, nothing has been written, as
         * of one that waits for a connect.
         */
        void sendWhenReusable(Attempt newAttempt) {
            long delayNanos = remainingReuseDelayNanos(clock.nanos());
            if (delayNanos <= 0) {
                trySend(newAttempt);
                return;
            }
            attempt = newAttempt;
            newAttempt.connection = this;
            loop.schedule(() -> {
                if (attempt == newAttempt) {
                    sendWhenReusable(newAttempt);
                } else if (attempt == null) {
                    release(true);
                }
            }, delayNanos, TimeUnit.NANOSECONDS);
        }

        /** Sends the attempt on this connection, unless its send deadline has passed or the listener decides against it. */
        void trySend(Attempt newAttempt) {
            if (clock.nanos() > newAttempt.sendDeadline) {
                // The timer of the send deadline is due as well, but the event loop was late.
                releaseUnsent(newAttempt);
                loop.execute(newAttempt::onSendTimeout);
                return;
            }
            if (newAttempt.listener.decideSend(() -> server.available) != SendDecision.SEND) {
                releaseUnsent(newAttempt);
                loop.execute(newAttempt::endNotSent);
                return;
            }
            used = true;
            attempt = newAttempt;
            newAttempt.connection = this;
            HttpRequest request = newAttempt.request;
            newAttempt.request = null;
            newAttempt.lifecycle.transitionTo(AttemptState.WRITING);
            newAttempt.updateTimeoutHeader(request);
            if (newAttempt.upload == null) {
                channel.writeAndFlush(request).addListener(write -> newAttempt.onWritten(write.isSuccess(), channel));
                return;
            }
            recordProgress();
            channel.writeAndFlush(request);
            newAttempt.upload.setSink(this);
        }

        /** Releases the connection, for use by others, from an attempt of which nothing has been written. */
        private void releaseUnsent(Attempt unsent) {
            attempt = null;
            unsent.connection = null;
            release(true);
        }

        @Override
        public boolean isWritable() {
            return channel.isActive() && channel.isWritable();
        }

        @Override
        public void onData(ByteBuf bytes) {
            if (responseSink != null) {
                recordProgress();
                responseSink.onData(bytes);
            } else {
                bytes.release();
            }
        }

        @Override
        public void forward(ByteBuf bytes, Runnable onWritten) {
            Attempt current = attempt;
            if (current == null || current.upload == null) {
                bytes.release();
                onWritten.run();
                return;
            }
            recordProgress();
            channel.writeAndFlush(new DefaultHttpContent(bytes)).addListener(written -> {
                if (attempt == current) {
                    lastProgressAt = clock.nanos();
                }
                onWritten.run();
            });
        }

        @Override
        public void onEnd() {
            Attempt current = attempt;
            streamingConnections.remove(this);
            if (current != null) {
                // The elapsed time counts from here. It excludes the upload's time, which depends on the client: a server starts
                // processing with the last byte.
                current.sentAt = clock.nanos();
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(write -> current.onWritten(write.isSuccess(), channel));
            }
        }

        @Override
        public void onWritable() {
            if (attempt != null && attempt.upload != null) {
                recordProgress();
                attempt.upload.forwardBuffered();
            }
        }

        private void recordProgress() {
            lastProgressAt = clock.nanos();
            streamingConnections.add(this);
        }

        /**
         * Closes the connection if the server has sent or accepted nothing of a large body since the given time. Time in which
         * the client, and not the server, has to make progress does not count.
         */
        void closeIfStalled(long stalledSince) {
            boolean waitsForServer = responseSink != null ? !readPaused : attempt != null && attempt.upload != null
                    && !attempt.upload.isReading();
            if (!waitsForServer) {
                lastProgressAt = clock.nanos();
            } else if (lastProgressAt <= stalledSince) {
                channel.close();
            }
        }

        @Override
        public boolean expectsResponse() {
            return attempt != null && attempt.lifecycle.isWritingOrWritten() || responseSink != null;
        }

        @Override
        public void onHeadReceived(boolean announcesLength) {
            if (attempt != null) {
                attempt.responseTimes.recordHead(clock.nanos(), announcesLength);
            }
        }

        @Override
        public void onResponseBegun() {
            if (attempt != null && !attempt.isUnsent()) {
                attempt.listener.onResponseBegun(attempt);
            }
        }

        @Override
        public void onBodyBuffered() {
            if (attempt != null) {
                attempt.responseTimes.recordBody(clock.nanos());
            }
        }

        @Override
        public boolean onStreamStarted(HttpResponse head, long length) {
            Attempt current = attempt;
            if (current == null || current.isUnsent()) {
                return false;
            }
            attempt = null;
            responseSink = current.startStreaming(LoadReportParser.parse(head.headers().getAll("X-Server-Load")), length, this);
            if (responseSink != null) {
                recordProgress();
            }
            return responseSink != null;
        }

        @Override
        public void onStreamEnded(HttpResponse head, boolean reusable) {
            ResponseSink finishedSink = responseSink;
            responseSink = null;
            streamingConnections.remove(this);
            // The receiver may have paused reading with the last bytes, and nobody else would resume it.
            setReading(true);
            release(reusable && HttpUtil.isKeepAlive(head));
            if (finishedSink != null) {
                finishedSink.onEnd();
            }
        }

        @Override
        public void setReading(boolean on) {
            readPaused = !on;
            channel.config().setAutoRead(on);
        }

        @Override
        public void cancel() {
            responseSink = null;
            channel.close();
        }

        @Override
        public void onResponse(HttpResponse head, ByteBuf body, boolean framed, boolean noExtraData) {
            Attempt current = attempt;
            if (current == null) {
                return; // cancelled during this same read, and the connection closed
            }
            attempt = null;
            if (!noExtraData) {
                reuseDelayUntil = clock.nanos() + REUSE_DELAY_ACTIVE_NANOS;
            }
            // Releases the connection first: the decision module may send the next attempt at once.
            release(noExtraData && framed && HttpUtil.isKeepAlive(head) && !current.isUnsent());
            Outcome outcome = classifyResponse(head, !current.isUnsent());
            current.end(outcome, LoadReportParser.parse(head.headers().getAll("X-Server-Load")),
                    outcome == Outcome.SERVED ? body : null);
        }

        @Override
        public void onInvalidResponse() {
            Attempt current = attempt;
            attempt = null;
            channel.close();
            boolean unsolicited = responseSink == null && (current == null || !current.lifecycle.isWritingOrWritten());
            if (unsolicited) {
                reuseDelayUntil = clock.nanos() + REUSE_DELAY_ACTIVE_NANOS;
            }
            if (current != null) {
                current.end(unsolicited ? Outcome.CONNECT_FAILED : Outcome.ERROR, null, null);
            }
            abortStream();
        }

        private void abortStream() {
            ResponseSink abortedSink = responseSink;
            responseSink = null;
            if (abortedSink != null) {
                abortedSink.onAborted();
            }
        }

        /**
         * Returns the outcome of an attempt by its response. A 200 that comes before the whole request has been sent is an error:
         * no server can have processed a request that it does not have whole.
         */
        private Outcome classifyResponse(HttpResponse head, boolean requestSent) {
            HttpResponseStatus status = head.status();
            if (status.equals(HttpResponseStatus.OK)) {
                return requestSent ? Outcome.SERVED : Outcome.ERROR;
            }
            boolean unavailable = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                    || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
            return unavailable && "1".equals(head.headers().get("X-Not-Processed")) ? Outcome.FULL : Outcome.ERROR;
        }

        private void release(boolean reusable) {
            if (reusable && server.available && channel.isActive()) {
                idleSince = clock.nanos();
                server.idleConnections.addLast(this);
            } else {
                channel.close();
            }
        }

        /** Called after the last write has completed or failed, so that it is known by now whether the last byte was sent. */
        private void onClosed() {
            if (closed) {
                return;
            }
            closed = true;
            connectionCount--;
            streamingConnections.remove(this);
            abortStream();
            server.allConnections.remove(this);
            server.idleConnections.remove(this);
            Attempt current = attempt;
            attempt = null;
            if (current != null) {
                current.end(current.isUnsent() ? Outcome.CONNECT_FAILED : Outcome.RESET, null, null);
            }
        }
    }

    /** One sending of a request to a server. */
    public final class Attempt {
        private final Listener listener;
        /** Upload that carries the body; null if the request already holds its whole body. */
        private final Upload upload;
        /** When the attempt was started, connect included; once an upload has ended, the time of its end. */
        private long sentAt;
        private HttpRequest request;
        private Connection connection;
        private Future<?> timer;
        /** Send deadline: from this time on no byte of the attempt is sent. */
        private long sendDeadline = Long.MAX_VALUE;
        /** When the attempt times out; {@code Long.MAX_VALUE} as long as that is unknown. */
        private long deadline = Long.MAX_VALUE;
        private final AttemptLifecycle lifecycle;
        private final ResponseTimes responseTimes = new ResponseTimes();
        /** Null until it has ended. */
        private Outcome outcome;

        private Attempt(HttpRequest request, Upload upload, long sentAt, Listener listener) {
            this.request = request;
            this.upload = upload;
            this.sentAt = sentAt;
            this.listener = listener;
            lifecycle = new AttemptLifecycle(listener.id(), listener.monitor());
            if (ledgerCounters != null) {
                openAttempts[listener.account()]++;
                ledgerCounters.recordOpened(listener.account(), listener.id());
            }
        }

        /**
         * Returns the time, in nanoseconds, from the start of the attempt, before any connect, to the given time; after an
         * upload, from the upload's end.
         */
        public long elapsed(long at) {
            return Math.max(0, at - sentAt);
        }

        /**
         * Returns the same time up to the head of the response, which must have been received: the rest of a response that is
         * streamed depends on its length and on the client.
         */
        public long elapsedUntilHead() {
            return elapsed(responseTimes.headAt());
        }

        /**
         * Returns a description, for the log, of the outcome, and of a response that began and was not passed on.
         */
        public String describe() {
            String response = outcome == Outcome.SERVED ? "" : responseTimes.describeHeld(sentAt);
            return (outcome == null ? "in flight" : outcome.toString()) + response;
        }

        /** Sets the attempt's timeout, in nanoseconds from now. If it has passed, nothing more of the attempt is sent. */
        public void setTimeout(long nanos) {
            clearTimeout();
            if (lifecycle.isEnded()) {
                return;
            }
            deadline = clock.nanos() + nanos;
            if (nanos <= 0) {
                detachFromConnection();
            }
            timer = timers.schedule(Math.max(0, nanos), this::onTimeout);
        }

        /** Removes the attempt's timeout: the end of the request is still to come. */
        public void clearTimeout() {
            if (timer != null) {
                timer.cancel(false);
            }
            timer = null;
            deadline = Long.MAX_VALUE;
        }

        /** Sets {@code X-Timeout} to the time left now: the request may have waited for its connection. */
        private void updateTimeoutHeader(HttpRequest unsentRequest) {
            if (deadline != Long.MAX_VALUE) {
                RequestReader.setTimeoutHeader(unsentRequest, deadline - clock.nanos());
            }
        }

        private void endNotSent() {
            end(Outcome.NOT_SENT, null, null);
        }

        /** Requires the attempt to be sent whole within the given time from now; otherwise it ends as failed to connect. */
        public void setSendTimeout(long nanos) {
            if (!lifecycle.isEnded() && isUnsent()) {
                sendDeadline = clock.nanos() + nanos;
                loop.schedule(this::onSendTimeout, nanos, TimeUnit.NANOSECONDS);
            }
        }

        private void onSendTimeout() {
            if (isUnsent()) {
                detachFromConnection();
                end(Outcome.CONNECT_FAILED, null, null);
            }
        }

        private void onWritten(boolean success, Channel channel) {
            if (success) {
                if (!lifecycle.isEnded()) {
                    lifecycle.transitionTo(AttemptState.WRITTEN);
                }
                listener.onRequestWritten();
            } else {
                channel.close();
            }
        }

        private ResponseSink startStreaming(LoadReport load, long length, ResponseSink.Source source) {
            if (lifecycle.isEnded()) {
                return null;
            }
            markEnded(Outcome.SERVED);
            return listener.onStreamStarted(this, clock.nanos(), load, length, source);
        }

        /** Cancels the attempt; no further byte of it is sent. */
        public void cancel() {
            detachFromConnection();
            loop.execute(() -> end(Outcome.CANCELLED, null, null));
        }

        /**
         * Cancels the attempt if no server can have received it whole, even if a part was written. This cancels no work on a
         * server, so it also applies where servers may not be asked to cancel. Without it, a request could be sent on a
         * connection that comes up long after the client has left.
         */
        public void cancelIfUnsent() {
            if (!lifecycle.isEnded() && isUnsent()) {
                cancel();
            }
        }

        /**
         * Returns whether the operating system had not accepted the last byte of the request when the attempt ended, or has not
         * by now; earlier bytes may have been sent. In that case no server has it whole: what this process still holds of it is
         * discarded with its connection.
         */
        public boolean isUnsent() {
            return !lifecycle.mayHaveRun();
        }

        private void onTimeout() {
            if (clock.nanos() < deadline) {
                return; // The timeout was changed while this waited for a poll of the sockets.
            }
            if (connection != null && !isUnsent() && connection.reader.streamUnfinishedResponse()) {
                return; // The server has begun its answer in time.
            }
            detachFromConnection();
            // A request that no server can have received whole has provably not run.
            end(isUnsent() ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT, null, null);
        }

        /**
         * Detaches the attempt from its connection. A connection on which the request was begun is closed; one that is still
         * being dialled is kept for other attempts.
         */
        private void detachFromConnection() {
            if (!lifecycle.isEnded() && connection != null) {
                connection.attempt = null;
                if (lifecycle.isWritingOrWritten()) {
                    ConnectFutures.closeIfOpen(connection.channel);
                }
                connection = null;
            }
        }

        private void end(Outcome finalOutcome, LoadReport load, ByteBuf body) {
            if (lifecycle.isEnded()) {
                return;
            }
            markEnded(finalOutcome);
            listener.onAttemptEnded(this, finalOutcome, clock.nanos(), load, body);
        }

        private void markEnded(Outcome finalOutcome) {
            lifecycle.transitionTo(AttemptState.ENDED);
            outcome = finalOutcome;
            if (ledgerCounters != null) {
                openAttempts[listener.account()]--;
                ledgerCounters.recordEnded(listener.account(), finalOutcome, listener.id());
            }
            if (timer != null) {
                timer.cancel(false);
            }
            if (upload != null) {
                upload.setSink(null);
            }
            ReferenceCountUtil.release(request);
            request = null;
        }
    }
}
