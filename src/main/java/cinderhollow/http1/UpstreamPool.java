package cinderhollow.http1;

import cinderhollow.core.ConnectFutures;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LagAwareTimers;
import cinderhollow.core.Transport;
import cinderhollow.ledger.Sheet;
import cinderhollow.lifecycle.AttemptLifecycle;
import cinderhollow.lifecycle.AttemptState;
import cinderhollow.lifecycle.SendDecision;
import cinderhollow.lifecycle.TransitionMonitor;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.membership.EndpointList;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import java.util.ArrayList;
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

        /** Called when the attempt's last byte has been written. */
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
    private static final double IDLE_PART = 2.0 / 3;
    /**
     * Reuse delay, and for how long it applies. Some servers send a second response a few milliseconds after the first; if
     * another request were in flight on the connection by then, those bytes would be taken for its response. Once a server has
     * sent more than its response, no connection is reused until 8 ms after its last response, until no such excess data has been
     * seen for 60 s. The request waits for the delay rather than for a new connection: dialling takes as long and costs the
     * server work, and under load each connection would be discarded for the next request.
     */
    private static final long SETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(8), UNTIDY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long SWEEP_MILLIS = 500;
    /**
     * A connection with a large body on which the server neither sends nor accepts data for this long is closed; the server is
     * presumed gone.
     */
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /**
     * Bounds of the outbound buffer of one connection, so that memory does not grow with the number of large bodies in flight.
     */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /** Maximum number of bytes of one socket read. */
    static final int LARGEST_READ = 64 * 1024;

    private final EventLoop loop;
    private final GatewayClock clock;
    private final LagAwareTimers timers;
    private final int mostConnections;
    /** Ledger counters for attempts; null if no ledger is kept. */
    private final Sheet sheet;
    /** Number of attempts in flight, by account. */
    private final long[] openAttempts;
    private long idleNanos;
    private final Bootstrap bootstrap;
    private final Map<String, Host> hosts = new HashMap<>();
    /** Connections with a large body under way. */
    private final Set<Connection> moving = new HashSet<>();
    private int connections;
    private long untidyUntil = Long.MIN_VALUE;
    private boolean sharesPlaces;

    /**
     * Creates a pool without servers.
     *
     * @param loop event loop of all connections
     * @param transport kind of sockets to connect with
     * @param clock clock of all times
     * @param dialTimeoutNanos how long a connect may take
     * @param idleNanos idle timeout of the servers; idle connections are kept for a part of it
     * @param mostConnections maximum number of connections, open or being dialled
     * @param sheet ledger counters for attempts, or null
     * @param accounts number of ledger accounts
     */
    public UpstreamPool(EventLoop loop, Transport transport, GatewayClock clock, long dialTimeoutNanos, long idleNanos,
             int mostConnections, Sheet sheet, int accounts) {
        this.sheet = sheet;
        openAttempts = new long[accounts];
        this.loop = loop;
        this.clock = clock;
        timers = new LagAwareTimers(loop, clock);
        this.mostConnections = mostConnections;
        bootstrap = new Bootstrap().group(loop).channel(transport.clientChannelType())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(64, 2048, LARGEST_READ));
        setTimeouts(dialTimeoutNanos, idleNanos);
        loop.scheduleWithFixedDelay(this::retireIdle, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the connect timeout and the servers' idle timeout. The connect timeout applies to connections dialled from now on.
     */
    public void setTimeouts(long dialTimeoutNanos, long hostsIdleNanos) {
        idleNanos = (long) (hostsIdleNanos * IDLE_PART);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(dialTimeoutNanos)));
    }

    /**
     * Updates the servers from an endpoint list. Must be called before the decision module receives the list, so that each server
     * it may choose has an address here.
     */
    public void update(EndpointList list) {
        Set<String> named = new HashSet<>();
        for (Endpoint endpoint : list.endpoints()) {
            named.add(endpoint.info().id());
            update(endpoint);
        }
        if (list.snapshot()) {
            for (String name : List.copyOf(hosts.keySet())) {
                if (!named.contains(name)) {
                    hosts.remove(name).keepConnections(false);
                }
            }
        }
    }

    private void update(Endpoint endpoint) {
        String name = endpoint.info().id();
        Host old = hosts.get(name);
        if (endpoint.isGone()) {
            hosts.remove(name);
        } else if (old == null || !old.is(endpoint)) {
            hosts.put(name, new Host(endpoint));
        } else {
            old.endpoint = endpoint;
            old.keepConnections(endpoint.info().readiness() == Readiness.READY);
            return;
        }
        if (old != null) {
            old.keepConnections(false);
            if (!endpoint.isGone()) {
                old.breakBefore(endpoint.info().startedAtNanos());
            }
        }
    }

    /** Starts an attempt. This method takes ownership of the request and releases it. */
    public Attempt send(String host, FullHttpRequest request, long timeoutNanos, Listener listener) {
        Attempt attempt = new Attempt(request, null, clock.nanos(), listener);
        attempt.setTimeout(timeoutNanos);
        return start(host, attempt);
    }

    /**
     * Starts an attempt of a request whose body is forwarded as it arrives. Its timeout starts with {@link Attempt#setTimeout}.
     */
    public Attempt send(String host, HttpRequest head, Upload upload, Listener listener) {
        return start(host, new Attempt(head, upload, clock.nanos(), listener));
    }

    private Attempt start(String host, Attempt attempt) {
        Host target = hosts.get(host);
        Connection idle = target == null ? null : target.takeIdle();
        if (idle != null) {
            idle.carryOnceSettled(attempt);
        } else if (target != null && (connections < (sharesPlaces ? mostConnections / 2 : mostConnections) || closeOneIdle())) {
            target.dial(attempt);
        } else {
            loop.execute(() -> attempt.end(Outcome.CONNECT_FAILED, null, null));
        }
        return attempt;
    }

    /** Returns the number of attempts of an account that are in flight. */
    public long openAttempts(int account) {
        return openAttempts[account];
    }

    /** Sets whether another process uses a part of the connection limit; if so, this pool uses at most half of it. */
    public void setConnectionLimitShared(boolean shares) {
        sharesPlaces = shares;
    }

    /** Returns the endpoints of the current list. */
    public List<Endpoint> endpoints() {
        return hosts.values().stream().map(host -> host.endpoint).toList();
    }

    /** Returns the number of servers in the current list. */
    public int serverCount() {
        return hosts.size();
    }

    /** Returns the number of connections that are open or being dialled. */
    public int connections() {
        return connections;
    }

    private void retireIdle() {
        long before = clock.nanos() - idleNanos;
        hosts.values().forEach(host -> host.closeIdle(before));
        long silent = clock.nanos() - SILENT_NANOS;
        List.copyOf(moving).forEach(connection -> connection.closeIfStill(silent));
    }

    private boolean closeOneIdle() {
        for (Host host : hosts.values()) {
            Connection longest = host.idle.pollFirst();
            if (longest != null) {
                longest.channel.close();
                return true;
            }
        }
        return false;
    }

    /** One server since its last start, at one address. A restart or a change of address makes a new instance. */
    private final class Host {
        private Endpoint endpoint;
        /** Idle connections, the most recently used last. */
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private final Set<Connection> all = new HashSet<>();
        private boolean keeps;

        Host(Endpoint endpoint) {
            this.endpoint = endpoint;
            keeps = endpoint.info().readiness() == Readiness.READY;
        }

        boolean is(Endpoint other) {
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
            Connection resting = null;
            for (Iterator<Connection> latestFirst = idle.descendingIterator(); latestFirst.hasNext();) {
                Connection connection = latestFirst.next();
                if (connection.channel.isActive() && now - connection.idleSince <= idleNanos) {
                    if (connection.rest(now) <= 0) {
                        latestFirst.remove();
                        return connection;
                    }
                    resting = connection;
                } else {
                    latestFirst.remove();
                    connection.channel.close();
                }
            }
            if (resting != null) {
                idle.remove(resting);
            }
            return resting;
        }

        void dial(Attempt attempt) {
            connections++;
            Connection connection = new Connection(this, attempt);
            all.add(connection);
            attempt.connection = connection;
            ChannelFuture dial = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    AnswerReader reader = new AnswerReader(connection, clock);
                    channel.pipeline().addLast(reader.decoder(), new HttpRequestEncoder(), reader);
                }
            }).connect(endpoint.address());
            connection.channel = dial.channel();
            // Runs after the channel's last read: a response that is delimited by the end of the connection is completed in a
            // task of its own.
            ConnectFutures.onClose(dial, loop, () -> loop.execute(connection::closed));
            dial.addListener(done -> {
                if (!done.isSuccess()) {
                    // If no socket could be created, the future is completed on another thread.
                    loop.execute(() -> attempt.listener.monitor().connectFailed(endpoint.info().id(), done.cause()));
                }
            });
            dial.addListener(done -> {
                if (loop.inEventLoop()) {
                    connection.dialled(done);
                }
            });
        }

        void closeIdle(long before) {
            while (!idle.isEmpty() && idle.peekFirst().idleSince <= before) {
                idle.pollFirst().channel.close();
            }
        }

        /**
         * Sets whether the server takes new requests. If not (draining or gone), closes its idle connections, of which a server
         * may allow only a few, and fails the attempts that wait for a connection, since the connection may come up late and the
         * request would still be sent to this server. Requests that have been sent may still be answered.
         */
        void keepConnections(boolean keep) {
            keeps = keep;
            if (!keep) {
                closeIdle(Long.MAX_VALUE);
                all.forEach(Connection::turnBack);
            }
        }

        /**
         * Closes the connections opened before the server restarted: the process at their other end no longer exists, and its
         * machine may never report that.
         */
        void breakBefore(long startOfNext) {
            for (Connection connection : List.copyOf(all)) {
                if (connection.openedAt < startOfNext) {
                    ConnectFutures.closeIfOpen(connection.channel);
                }
            }
        }
    }

    /** One connection to a server, open or being dialled. */
    private final class Connection implements AnswerReader.Listener, Upload.Sink, ResponseSink.Source {
        private final Host host;
        private final long openedAt = clock.nanos();
        private Channel channel;
        private Attempt attempt;
        private long idleSince;
        /** Whether a request has been sent on this connection. */
        private boolean carried;
        private boolean closed;
        /** Receiver of the response, if the response is being streamed; otherwise null. */
        private ResponseSink passage;
        /** When a part of a large body was last sent or received. */
        private long movedAt;
        /** Whether this side has paused reading the response from the server. */
        private boolean heldBack;

        Connection(Host host, Attempt first) {
            this.host = host;
            attempt = first;
        }

        /**
         * Ends an attempt that waits for this connection, as failed to connect: none of it has been written, so it can be sent to
         * another server.
         */
        void turnBack() {
            Attempt waits = attempt;
            if (waits != null && !waits.lifecycle.isWritingOrWritten()) {
                attempt = null;
                waits.connection = null;
                loop.execute(() -> waits.end(Outcome.CONNECT_FAILED, null, null));
            }
        }

        void dialled(Future<?> done) {
            if (!done.isSuccess()) {
                ConnectFutures.closeIfOpen(channel);
                return;
            }
            if (attempt == null) {
                release(true);
            } else {
                carry(attempt);
            }
        }

        /** Returns how much longer the reuse delay lasts, in nanoseconds; zero or negative if the connection can be used now. */
        long rest(long now) {
            return carried && now < untidyUntil ? idleSince + SETTLED_NANOS - now : 0;
        }

        /**
         * Sends the attempt now, or once the reuse delay is over. An attempt that waits for this is as unsent as one that waits
         * for a connect.
         */
        void carryOnceSettled(Attempt next) {
            long rest = rest(clock.nanos());
            if (rest <= 0) {
                carry(next);
                return;
            }
            attempt = next;
            next.connection = this;
            loop.schedule(() -> {
                if (attempt == next) {
                    carryOnceSettled(next);
                } else if (attempt == null) {
                    release(true);
                }
            }, rest, TimeUnit.NANOSECONDS);
        }

        /** Sends the attempt on this connection, unless its send deadline has passed or the listener decides against it. */
        void carry(Attempt next) {
            if (clock.nanos() > next.outBy) {
                // The timer of the send deadline is due as well, but the event loop was late.
                giveBack(next);
                loop.execute(next::notOut);
                return;
            }
            if (next.listener.decideSend(() -> host.keeps) != SendDecision.SEND) {
                giveBack(next);
                loop.execute(next::withheld);
                return;
            }
            carried = true;
            attempt = next;
            next.connection = this;
            HttpRequest request = next.request;
            next.request = null;
            next.lifecycle.transitionTo(AttemptState.WRITING);
            next.tellDeadline(request);
            if (next.upload == null) {
                channel.writeAndFlush(request).addListener(write -> next.written(write.isSuccess(), channel));
                return;
            }
            moved();
            channel.writeAndFlush(request);
            next.upload.to(this);
        }

        /** Releases the connection, for use by others, from an attempt that is not sent. */
        private void giveBack(Attempt unsent) {
            attempt = null;
            unsent.connection = null;
            release(true);
        }

        @Override
        public boolean roomy() {
            return channel.isActive() && channel.isWritable();
        }

        @Override
        public void part(ByteBuf bytes) {
            if (passage != null) {
                moved();
                passage.onData(bytes);
            } else if (attempt != null && attempt.upload != null) {
                moved();
                channel.writeAndFlush(new DefaultHttpContent(bytes));
            } else {
                bytes.release();
            }
        }

        @Override
        public void last() {
            Attempt last = attempt;
            moving.remove(this);
            if (last != null) {
                // The elapsed time counts from here. It excludes the upload's time, which depends on the client: a server starts
                // processing with the last byte.
                last.sentAt = clock.nanos();
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(write -> last.written(write.isSuccess(), channel));
            }
        }

        @Override
        public void writable() {
            if (attempt != null && attempt.upload != null) {
                moved();
                attempt.upload.flow();
            }
        }

        private void moved() {
            movedAt = clock.nanos();
            moving.add(this);
        }

        /**
         * Closes the connection if the server has sent or accepted nothing of a large body since the given time. Time in which
         * the client, and not the server, has to make progress does not count.
         */
        void closeIfStill(long since) {
            boolean hostsTurn = passage != null ? !heldBack : attempt != null && attempt.upload != null && !attempt.upload.isRead();
            if (!hostsTurn) {
                movedAt = clock.nanos();
            } else if (movedAt <= since) {
                channel.close();
            }
        }

        @Override
        public boolean waits() {
            return attempt != null && attempt.lifecycle.isWritingOrWritten() || passage != null;
        }

        @Override
        public boolean begun(HttpResponse head, long length) {
            Attempt answered = attempt;
            if (answered == null || answered.isUnsent()) {
                return false;
            }
            attempt = null;
            passage = answered.begun(LoadReports.read(head.headers().getAll("X-Server-Load")), length, this);
            if (passage != null) {
                moved();
            }
            return passage != null;
        }

        @Override
        public void ended(HttpResponse head, boolean reusable) {
            ResponseSink done = passage;
            passage = null;
            moving.remove(this);
            release(reusable && HttpUtil.isKeepAlive(head));
            if (done != null) {
                done.onEnd();
            }
        }

        @Override
        public void reading(boolean on) {
            heldBack = !on;
            channel.config().setAutoRead(on);
        }

        @Override
        public void cancel() {
            passage = null;
            channel.close();
        }

        @Override
        public void answered(HttpResponse head, ByteBuf body, boolean framed, boolean clean) {
            Attempt answered = attempt;
            if (answered == null) {
                return; // cancelled during this same read, and the connection closed
            }
            attempt = null;
            if (!clean) {
                untidyUntil = clock.nanos() + UNTIDY_NANOS;
            }
            // Releases the connection first: the decision module may send the next attempt at once.
            release(clean && framed && HttpUtil.isKeepAlive(head) && !answered.isUnsent());
            Outcome outcome = outcome(head, !answered.isUnsent());
            answered.end(outcome, LoadReports.read(head.headers().getAll("X-Server-Load")),
                    outcome == Outcome.SERVED ? body : null);
        }

        @Override
        public void spoilt() {
            Attempt answered = attempt;
            attempt = null;
            channel.close();
            boolean unasked = passage == null && (answered == null || !answered.lifecycle.isWritingOrWritten());
            if (unasked) {
                untidyUntil = clock.nanos() + UNTIDY_NANOS;
            }
            if (answered != null) {
                answered.end(unasked ? Outcome.CONNECT_FAILED : Outcome.ERROR, null, null);
            }
            breakOff();
        }

        private void breakOff() {
            ResponseSink broken = passage;
            passage = null;
            if (broken != null) {
                broken.onAborted();
            }
        }

        /**
         * Returns the outcome of an attempt by its response. A 200 that comes before the whole request has been sent is an error:
         * no server can have processed a request that it does not have whole.
         */
        private Outcome outcome(HttpResponse head, boolean asked) {
            HttpResponseStatus status = head.status();
            if (status.equals(HttpResponseStatus.OK)) {
                return asked ? Outcome.SERVED : Outcome.ERROR;
            }
            boolean turnedAway = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                    || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
            return turnedAway && "1".equals(head.headers().get("X-Not-Processed")) ? Outcome.FULL : Outcome.ERROR;
        }

        private void release(boolean reusable) {
            if (reusable && host.keeps && channel.isActive()) {
                idleSince = clock.nanos();
                host.idle.addLast(this);
            } else {
                channel.close();
            }
        }

        /** Called after the last write has completed or failed, so that it is known by now whether the last byte was sent. */
        private void closed() {
            if (closed) {
                return;
            }
            closed = true;
            connections--;
            moving.remove(this);
            breakOff();
            host.all.remove(this);
            host.idle.remove(this);
            Attempt broken = attempt;
            attempt = null;
            if (broken != null) {
                broken.end(broken.isUnsent() ? Outcome.CONNECT_FAILED : Outcome.RESET, null, null);
            }
        }
    }

    /** One sending of a request to a server. */
    public final class Attempt {
        private final Listener listener;
        /** Upload that carries the body; null if the request already holds its whole body. */
        private final Upload upload;
        private long sentAt;
        private HttpRequest request;
        private Connection connection;
        private Future<?> timer;
        /** Send deadline: from this time on no byte of the attempt is sent. */
        private long outBy = Long.MAX_VALUE;
        /** When the attempt times out; {@code Long.MAX_VALUE} as long as that is unknown. */
        private long deadline = Long.MAX_VALUE;
        private final AttemptLifecycle lifecycle;
        /** Null until it has ended. */
        private Outcome outcome;

        private Attempt(HttpRequest request, Upload upload, long sentAt, Listener listener) {
            this.request = request;
            this.upload = upload;
            this.sentAt = sentAt;
            this.listener = listener;
            lifecycle = new AttemptLifecycle(listener.id(), listener.monitor());
            if (sheet != null) {
                openAttempts[listener.account()]++;
                sheet.open(listener.account(), listener.id());
            }
        }

        /** Returns how long the attempt has been in flight at the given time, in nanoseconds. */
        public long elapsed(long at) {
            return Math.max(0, at - sentAt);
        }

        /** Returns how the attempt ended, or null if it is in flight. */
        public Outcome outcome() {
            return outcome;
        }

        /** Sets the attempt's timeout, in nanoseconds from now. */
        public void setTimeout(long nanos) {
            if (!lifecycle.isEnded()) {
                deadline = clock.nanos() + nanos;
                timer = timers.schedule(Math.max(0, nanos), this::timedOut);
            }
        }

        /** Sets {@code X-Timeout} to the time left now: the request may have waited for its connection. */
        private void tellDeadline(HttpRequest unsent) {
            if (deadline != Long.MAX_VALUE) {
                RequestReader.setTimeout(unsent, deadline - clock.nanos());
            }
        }

        private void withheld() {
            end(Outcome.NOT_SENT, null, null);
        }

        /** Requires the attempt to be sent whole within the given time from now; otherwise it ends as failed to connect. */
        public void setSendTimeout(long nanos) {
            if (!lifecycle.isEnded() && isUnsent()) {
                outBy = clock.nanos() + nanos;
                loop.schedule(this::notOut, nanos, TimeUnit.NANOSECONDS);
            }
        }

        private void notOut() {
            if (isUnsent()) {
                abandon();
                end(Outcome.CONNECT_FAILED, null, null);
            }
        }

        private void written(boolean done, Channel channel) {
            if (done) {
                if (!lifecycle.isEnded()) {
                    lifecycle.transitionTo(AttemptState.WRITTEN);
                }
                listener.onRequestWritten();
            } else {
                channel.close();
            }
        }

        private ResponseSink begun(LoadReport load, long length, ResponseSink.Source source) {
            if (lifecycle.isEnded()) {
                return null;
            }
            over(Outcome.SERVED);
            return listener.onStreamStarted(this, clock.nanos(), load, length, source);
        }

        /** Cancels the attempt; no further byte of it is sent. */
        public void cancel() {
            abandon();
            loop.execute(() -> end(Outcome.CANCELLED, null, null));
        }

        /**
         * Cancels the attempt if no server can have received it whole. This cancels no work on a server, so it also applies where
         * servers may not be asked to cancel. Without it, a request could be sent on a connection that comes up long after the
         * client has left.
         */
        public void cancelIfUnsent() {
            if (!lifecycle.isEnded() && isUnsent()) {
                cancel();
            }
        }

        /**
         * Returns whether the last byte of the request was never handed to the operating system. In that case no server has it
         * whole: what this process still holds of it is discarded with its connection.
         */
        public boolean isUnsent() {
            return !lifecycle.mayHaveRun();
        }

        private void timedOut() {
            abandon();
            // A request that no server can have received whole has provably not run.
            end(isUnsent() ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT, null, null);
        }

        /**
         * Detaches the attempt from its connection. A connection on which the request was begun is closed; one that is still
         * being dialled is kept for other attempts.
         */
        private void abandon() {
            if (!lifecycle.isEnded() && connection != null) {
                connection.attempt = null;
                if (lifecycle.isWritingOrWritten()) {
                    ConnectFutures.closeIfOpen(connection.channel);
                }
                connection = null;
            }
        }

        private void end(Outcome how, LoadReport load, ByteBuf body) {
            if (lifecycle.isEnded()) {
                return;
            }
            over(how);
            listener.onAttemptEnded(this, how, clock.nanos(), load, body);
        }

        private void over(Outcome how) {
            lifecycle.transitionTo(AttemptState.ENDED);
            outcome = how;
            if (sheet != null) {
                openAttempts[listener.account()]--;
                sheet.end(listener.account(), how, listener.id());
            }
            if (timer != null) {
                timer.cancel(false);
            }
            if (upload != null) {
                upload.to(null);
            }
            ReferenceCountUtil.release(request);
            request = null;
        }
    }
}
