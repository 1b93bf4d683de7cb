package cinderhollow.http1;

import cinderhollow.core.Dials;
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
 * Kept-alive connections to the hosts, and the attempts on them. A connection carries one request at a time.
 * Nothing is ever sent a second time here: an attempt whose connection breaks has ended.
 */
public final class HostPool {
    /** Told once for each attempt, on the event loop, never from within {@link #send} or a cancel. */
    public interface Listener {
        /** {@code body} is there for a served attempt alone, and is the listener's for the call's length. */
        void ended(Attempt attempt, Outcome outcome, long atNanos, LoadReport load, ByteBuf body);

        /** The attempt's last byte has been written. */
        void written();

        /**
         * Asked right before the attempt's first byte would be written, however long ago it was started. {@code serverAvailable}
         * goes by the list as the pool has it.
         */
        SendDecision decideSend(BooleanSupplier serverAvailable);

        /** Where transitions that are forbidden are counted. */
        TransitionMonitor monitor();

        /**
         * A served attempt's answer is passed on as it comes, {@code length} being -1 where only its end tells; the attempt has
         * ended with this, and {@link #ended} is not told. Null where nobody wants the answer any more.
         */
        Passage begun(Attempt attempt, long atNanos, LoadReport load, long length, Passage.Source source);

        /** The account that the request belongs to, where account is kept. */
        int account();

        /** The request's id. */
        String id();
    }

    /** Guards against a request that crosses the host's own closing of an idle connection. */
    private static final double IDLE_PART = 2.0 / 3;
    /**
     * Guards against hosts that answer a second time some milliseconds later: with another request out by then, what no host
     * made for it would pass for its answer. Once one has brought more than its answer, nothing else goes out on any connection
     * for so long after an answer, until no more such has come for a time. What is to go out waits, since a new connection takes
     * as long and costs the host work: under load each would be given up for the next request.
     */
    private static final long SETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(8), UNTIDY_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long SWEEP_MILLIS = 500;
    /** A host that gives, or takes, nothing of a large body for so long is thought to be gone. */
    private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Of what is on its way to one host: guards against memory that grows with the number of large bodies. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /** What is read at once. */
    static final int LARGEST_READ = 64 * 1024;

    private final EventLoop loop;
    private final GatewayClock clock;
    private final LagAwareTimers timers;
    private final int mostConnections;
    /** What this side counts of attempts, and how many are out by account; null where nobody keeps account. */
    private final Sheet sheet;
    private final long[] out;
    private long idleNanos;
    private final Bootstrap bootstrap;
    private final Map<String, Host> hosts = new HashMap<>();
    /** Those that carry a large body now. */
    private final Set<Connection> moving = new HashSet<>();
    private int connections;
    private long untidyUntil = Long.MIN_VALUE;
    private boolean sharesPlaces;

    /**
     * Dials for so long, keeps idle connections for a part of so long, and holds so many at the most; attempts are counted in
     * the sheet, which may be null, for so many accounts.
     */
    public HostPool(EventLoop loop, Transport transport, GatewayClock clock, long dialTimeoutNanos, long idleNanos,
             int mostConnections, Sheet sheet, int accounts) {
        this.sheet = sheet;
        out = new long[accounts];
        this.loop = loop;
        this.clock = clock;
        timers = new LagAwareTimers(loop, clock);
        this.mostConnections = mostConnections;
        bootstrap = new Bootstrap().group(loop).channel(transport.client())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(64, 2048, LARGEST_READ));
        retune(dialTimeoutNanos, idleNanos);
        loop.scheduleWithFixedDelay(this::retireIdle, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Other times than those it was made with, from the next connection on. */
    public void retune(long dialTimeoutNanos, long hostsIdleNanos) {
        idleNanos = (long) (hostsIdleNanos * IDLE_PART);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(dialTimeoutNanos)));
    }

    /** Takes in a list before the module is told of it, so that each host it names has an address. */
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
        if (endpoint.gone()) {
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
            if (!endpoint.gone()) {
                old.breakBefore(endpoint.info().startedAtNanos());
            }
        }
    }

    /** Starts an attempt. The request is this method's to release. */
    public Attempt send(String host, FullHttpRequest request, long timeoutNanos, Listener listener) {
        Attempt attempt = new Attempt(request, null, clock.nanos(), listener);
        attempt.timeOutIn(timeoutNanos);
        return start(host, attempt);
    }

    /** The same of a request whose body comes behind it; its time-out starts with {@link Attempt#timeOutIn}. */
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

    /** How many attempts of an account have not ended. */
    public long out(int account) {
        return out[account];
    }

    /** Another process has a part of the places while this holds. */
    public void overlap(boolean shares) {
        sharesPlaces = shares;
    }

    /** The list as it stands. */
    public List<Endpoint> list() {
        return hosts.values().stream().map(host -> host.endpoint).toList();
    }

    /** How many hosts the list names. */
    public int listed() {
        return hosts.size();
    }

    /** Connections that are open or on their way. */
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

    /** One host since its last start, at one address. */
    private final class Host {
        private Endpoint endpoint;
        /** The latest used last. */
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
         * The latest used of those that have settled, so that the others come of age, or else the one that will first; one that
         * the host has closed is passed over.
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
            // After the channel's last reading, which a task of its own makes of an answer that the connection's end ends.
            Dials.onEnd(dial, loop, () -> loop.execute(connection::closed));
            dial.addListener(done -> {
                if (!done.isSuccess()) {
                    // Without a socket the future is told on another thread.
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
         * Guards against holding connections, of which a host has few, to one that drains or is gone; and against a request
         * that still goes there since its connection came up late. What is in work there may still be answered.
         */
        void keepConnections(boolean keep) {
            keeps = keep;
            if (!keep) {
                closeIdle(Long.MAX_VALUE);
                all.forEach(Connection::turnBack);
            }
        }

        /** Guards against waiting on a process that is no more: its machine may never say so. */
        void breakBefore(long startOfNext) {
            for (Connection connection : List.copyOf(all)) {
                if (connection.openedAt < startOfNext) {
                    Dials.close(connection.channel);
                }
            }
        }
    }

    private final class Connection implements AnswerReader.Listener, Upload.Sink, Passage.Source {
        private final Host host;
        private final long openedAt = clock.nanos();
        private Channel channel;
        private Attempt attempt;
        private long idleSince;
        /** Whether there has been a request on it. */
        private boolean carried;
        private boolean closed;
        /** Where the answer on it goes, if that is passed on as it comes. */
        private Passage passage;
        /** When a part of a large body last moved, and whether this side holds the answer back. */
        private long movedAt;
        private boolean heldBack;

        Connection(Host host, Attempt first) {
            this.host = host;
            attempt = first;
        }

        /** What waits for it to come up has to go elsewhere: nothing of it was ever written. */
        void turnBack() {
            Attempt waits = attempt;
            if (waits != null && !waits.lifecycle.hasBegun()) {
                attempt = null;
                waits.connection = null;
                loop.execute(() -> waits.end(Outcome.CONNECT_FAILED, null, null));
            }
        }

        void dialled(Future<?> done) {
            if (!done.isSuccess()) {
                Dials.close(channel);
                return;
            }
            if (attempt == null) {
                release(true);
            } else {
                carry(attempt);
            }
        }

        /** How much longer nothing goes out on it, in nanoseconds. */
        long rest(long now) {
            return carried && now < untidyUntil ? idleSince + SETTLED_NANOS - now : 0;
        }

        /** At once, or when it has rested; what waits for that is as unsent as what waits for a connection to come up. */
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

        void carry(Attempt next) {
            if (clock.nanos() > next.outBy) {
                // Its timer is due too, and the loop was late.
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
            next.lifecycle.become(AttemptState.WRITING);
            next.tellDeadline(request);
            if (next.upload == null) {
                channel.writeAndFlush(request).addListener(write -> next.written(write.isSuccess(), channel));
                return;
            }
            moved();
            channel.writeAndFlush(request);
            next.upload.to(this);
        }

        /** The attempt is not sent, and the connection is free for others. */
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
                passage.part(bytes);
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
                // Not the way of the body here, which was the client's: a host begins with the last byte.
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

        /** Guards against a host that takes or gives nothing more, while nobody else is waited for. */
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
            return attempt != null && attempt.lifecycle.hasBegun() || passage != null;
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
            Passage done = passage;
            passage = null;
            moving.remove(this);
            release(reusable && HttpUtil.isKeepAlive(head));
            if (done != null) {
                done.end();
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
                return; // called off within this very read, and closed
            }
            attempt = null;
            if (!clean) {
                untidyUntil = clock.nanos() + UNTIDY_NANOS;
            }
            // A free connection first: the module may send again at once.
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
            boolean unasked = passage == null && (answered == null || !answered.lifecycle.hasBegun());
            if (unasked) {
                untidyUntil = clock.nanos() + UNTIDY_NANOS;
            }
            if (answered != null) {
                answered.end(unasked ? Outcome.CONNECT_FAILED : Outcome.ERROR, null, null);
            }
            breakOff();
        }

        private void breakOff() {
            Passage broken = passage;
            passage = null;
            if (broken != null) {
                broken.broken();
            }
        }

        /** Guards against an answer to a part of a request: no host can have served what it doesn't have whole. */
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

        /** After the write's own end, so that it is known by now whether the last byte went out. */
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

    /** One send of a request to a host. */
    public final class Attempt {
        private final Listener listener;
        /** Null where the request has its whole body. */
        private final Upload upload;
        private long sentAt;
        private HttpRequest request;
        private Connection connection;
        private Future<?> timer;
        /** From then on no byte of it goes out. */
        private long outBy = Long.MAX_VALUE;
        /** When its time is over, where that is known. */
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
                out[listener.account()]++;
                sheet.open(listener.account(), listener.id());
            }
        }

        /** How long it has been out at that time, in nanoseconds. */
        public long elapsed(long at) {
            return Math.max(0, at - sentAt);
        }

        /** How it ended, or null. */
        public Outcome outcome() {
            return outcome;
        }

        /** Gives up after so long from now. */
        public void timeOutIn(long nanos) {
            if (!lifecycle.isEnded()) {
                deadline = clock.nanos() + nanos;
                timer = timers.in(Math.max(0, nanos), this::timedOut);
            }
        }

        /** The server is told what is left now: the request may have waited here for its connection. */
        private void tellDeadline(HttpRequest unsent) {
            if (deadline != Long.MAX_VALUE) {
                RequestReader.setTimeout(unsent, deadline - clock.nanos());
            }
        }

        private void withheld() {
            end(Outcome.NOT_SENT, null, null);
        }

        /** Goes out whole within so long from now, or ends as never sent. */
        public void outWithin(long nanos) {
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
                    lifecycle.become(AttemptState.WRITTEN);
                }
                listener.written();
            } else {
                channel.close();
            }
        }

        private Passage begun(LoadReport load, long length, Passage.Source source) {
            if (lifecycle.isEnded()) {
                return null;
            }
            over(Outcome.SERVED);
            return listener.begun(this, clock.nanos(), load, length, source);
        }

        /** Stops waiting; from now on no byte of it goes out. */
        public void cancel() {
            abandon();
            loop.execute(() -> end(Outcome.CANCELLED, null, null));
        }

        /**
         * Stops waiting if no host can have it whole, which calls off no work: the same where hosts may not be asked to cancel.
         * Guards against a request that goes out when a connection comes up long after its client has left.
         */
        public void callOff() {
            if (!lifecycle.isEnded() && isUnsent()) {
                cancel();
            }
        }

        /** Whether the system was never given its last byte: what this process still holds of it goes with its connection. */
        public boolean isUnsent() {
            return !lifecycle.mayHaveRun();
        }

        private void timedOut() {
            abandon();
            // What a host can't have whole is proved not to have run.
            end(isUnsent() ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT, null, null);
        }

        /** A connection with a request on it is closed; one that is still coming up is kept for others. */
        private void abandon() {
            if (!lifecycle.isEnded() && connection != null) {
                connection.attempt = null;
                if (lifecycle.hasBegun()) {
                    Dials.close(connection.channel);
                }
                connection = null;
            }
        }

        private void end(Outcome how, LoadReport load, ByteBuf body) {
            if (lifecycle.isEnded()) {
                return;
            }
            over(how);
            listener.ended(this, how, clock.nanos(), load, body);
        }

        private void over(Outcome how) {
            lifecycle.become(AttemptState.ENDED);
            outcome = how;
            if (sheet != null) {
                out[listener.account()]--;
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
