package cinderhollow.lab;

import cinderhollow.lab.Arrivals.Arrival;
import cinderhollow.lab.FleetConfig.RequestClass;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The clients, and the load balancer in front of the gateways that distributes them. Clients send requests as {@link Arrivals}
 * draws them, keep connections alive, wait until their deadline and some time more, retry where the protocol allows it, and some
 * abandon their request early. One event loop owns all state.
 */
final class Clients {
    private static final int LARGEST_BODY = 64 * 1024, OK = 200, UNAVAILABLE = 503, TOO_MANY = 429, DIAL_MILLIS = 1_000;
    /** Interval of the readiness probes of a gateway that refused a connection. */
    private static final long NOTICE_MILLIS = 100;
    /** Bounds of the time after SIGTERM during which clients still open connections to the gateway. */
    private static final long LEAST_NEW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MOST_NEW_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /**
     * Clients wait this long past their deadline, so that late answers are distinguished from missing ones. If the timer itself
     * was late by more than the second value, the timeout is postponed.
     */
    private static final long OVERTIME_NANOS = TimeUnit.SECONDS.toNanos(1), LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final byte[] BODY = ("q".repeat(200)).getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final FleetConfig site;
    private final Consumer<Sighting> auditor;
    private final SplittableRandom random;
    private final Bootstrap dial;
    private final BadClients bad;
    private final List<Gate> gates = new ArrayList<>();
    private final Tally all = new Tally();
    private final Tally second = new Tally();
    private final Map<String, Tally> byClass = new LinkedHashMap<>();
    private final Map<String, Tally> byGateway = new LinkedHashMap<>();
    private long sequence;
    private long open;

    /** What the clients know of a gateway. */
    private final class Gate {
        private final int number;
        private final InetSocketAddress address;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        /** Whether clients are sent there; read by other threads too. */
        private volatile boolean up = true;
        /** After SIGTERM: the time from which on clients open no connections to it; otherwise {@link Long#MAX_VALUE}. */
        private long newUntil = Long.MAX_VALUE;

        Gate(int number, InetSocketAddress address) {
            this.number = number;
            this.address = address;
        }

        /** Returns the statistics of a class at this gateway. */
        Tally tally(RequestClass requestClass) {
            return byGateway.get(Names.gatewayAndClass(number, requestClass.name()));
        }

        /** Returns whether a client may be sent there. During its shutdown, idle connections are still used. */
        boolean takes() {
            dropClosed();
            return newUntil == Long.MAX_VALUE ? up : !idle.isEmpty() || up && System.nanoTime() < newUntil;
        }

        private void dropClosed() {
            idle.removeIf(connection -> !connection.channel.isActive());
        }

        /** Removes and returns the idle connection to use next, or null; during a shutdown the one that was idle longest. */
        Connection takeIdle() {
            dropClosed();
            return newUntil == Long.MAX_VALUE ? idle.pollLast() : idle.pollFirst();
        }

        /** Marks the gateway as down, so that no client is sent there until it is ready again. */
        void refuses() {
            if (up) {
                up = false;
                loop.schedule(this::look, NOTICE_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        /** Requests {@code /ready}, repeatedly until the answer is 200. */
        private void look() {
            dial.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder(),
                            new HttpObjectAggregator(LARGEST_BODY), new Look());
                }
            }).connect(address).channel().closeFuture().addListener(closed -> {
                if (!up) {
                    loop.schedule(this::look, NOTICE_MILLIS, TimeUnit.MILLISECONDS);
                }
            });
        }

        /** Requests {@code /ready} once and closes the connection. */
        private final class Look extends SimpleChannelInboundHandler<FullHttpResponse> {
            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                ctx.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/ready"));
            }

            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
                if (answer.status().code() == OK) {
                    up = true;
                    newUntil = Long.MAX_VALUE;
                }
                ctx.close();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }

    Clients(EventLoop loop, FleetConfig site, List<InetSocketAddress> gateways, Consumer<Sighting> auditor) {
        this.loop = loop;
        this.site = site;
        this.auditor = auditor;
        random = new SplittableRandom(site.seed() ^ 0x636c69656e7473L);
        dial = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_MILLIS).option(ChannelOption.TCP_NODELAY, true);
        bad = new BadClients(loop, dial, gateways);
        for (int i = 0; i < gateways.size(); i++) {
            gates.add(new Gate(i, gateways.get(i)));
        }
        site.classes().forEach(c -> byClass.put(c.name(), new Tally()));
        gates.forEach(gate -> site.classes().forEach(c ->
                byGateway.put(Names.gatewayAndClass(gate.number, c.name()), new Tally())));
    }

    /** Sends requests as the arrivals say, until {@code endNanos} after {@code startNanos}. Must be called on the event loop. */
    void run(Arrivals arrivals, long start, long endNanos) {
        Arrival next = arrivals.next();
        while (next.atNanos() < endNanos && start + next.atNanos() <= System.nanoTime()) {
            new Call(next).attempt();
            next = arrivals.next();
        }
        if (next.atNanos() < endNanos) {
            Arrival due = next;
            loop.schedule(() -> {
                new Call(due).attempt();
                run(arrivals, start, endNanos);
            }, Math.max(0, start + due.atNanos() - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    /** Returns the number of requests that have not ended. Must be called on the event loop. */
    long open() {
        return open;
    }

    /** Returns the statistics of all requests. */
    Tally all() {
        return all;
    }

    /** Returns the statistics since the last reset, for the summary of each second. */
    Tally second() {
        return second;
    }

    /** Returns the statistics by class. */
    Map<String, Tally> byClass() {
        return byClass;
    }

    /** Returns the statistics of tries by the key of {@link Names#gatewayAndClass}. */
    Map<String, Tally> byGateway() {
        return byGateway;
    }

    /** Returns the clients that send no valid request; they run on the same event loop. */
    BadClients bad() {
        return bad;
    }

    /** Returns whether clients are sent to this gateway. May be called from any thread. */
    boolean isUp(int gateway) {
        return gates.get(gateway).up;
    }

    /** Opens further connections to this gateway, each with a request, and keeps them alive after the answer. */
    void keepMore(int gateway, int count) {
        for (int i = 0; i < count; i++) {
            RequestClass requestClass = site.classes().get(random.nextInt(site.classes().size()));
            new Call(new Arrival(0, requestClass, 0, random.nextDouble())).attemptAnew(gates.get(gateway));
        }
    }

    /** Notes that the gateway gets SIGTERM: clients still connect for a short time, and go on using open connections. */
    void ends(int gateway) {
        Gate gate = gates.get(gateway);
        gate.newUntil = System.nanoTime() + random.nextLong(LEAST_NEW_NANOS, MOST_NEW_NANOS);
        loop.schedule(gate::refuses, MOST_NEW_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Closes all idle connections, and ends the readiness probes. */
    void close() {
        for (Gate gate : gates) {
            gate.up = true;
            List.copyOf(gate.idle).forEach(connection -> connection.channel.close());
        }
    }

    /** Returns the gateway for a try by a draw from 0 to 1: an available one, or any if none is. */
    private Gate front(double chance) {
        List<Gate> up = gates.stream().filter(Gate::takes).toList();
        List<Gate> among = up.isEmpty() ? gates : up;
        return among.get((int) (chance * among.size()));
    }

    /** A request of a client, over all its tries. */
    private final class Call {
        private final RequestClass requestClass;
        private final long begunAt = System.nanoTime();
        private final long deadline;
        private final long leavesAfter;
        private double chance;
        private int tries;

        Call(Arrival arrival) {
            requestClass = arrival.requestClass();
            deadline = begunAt + TimeUnit.MILLISECONDS.toNanos(requestClass.deadlineMillis());
            leavesAfter = arrival.leavesAfterNanos();
            chance = arrival.chance();
            open++;
            all.asked++;
            second.asked++;
            byClass.get(requestClass.name()).asked++;
        }

        boolean safe() {
            return requestClass.semantics().equals("safe");
        }

        /** Sends a try to one of the gateways, or fails the request if its time is over. */
        void attempt() {
            long left = deadline - System.nanoTime();
            if (left <= TimeUnit.MILLISECONDS.toNanos(1)) {
                over(tally -> tally.failed++);
                return;
            }
            tries++;
            Gate gate = front(chance);
            chance = random.nextDouble();
            Connection idle = gate.takeIdle();
            if (idle != null) {
                idle.ask(this);
            } else {
                new Connection(gate).open(this);
            }
        }

        /** Sends the first try to this gateway on a new connection. */
        void attemptAnew(Gate gate) {
            tries++;
            new Connection(gate).open(this);
        }

        /** Retries the request after a backoff if that is harmless and retries are left; otherwise ends and counts it. */
        void again(boolean harmless, long pauseNanos, Consumer<Tally> otherwise) {
            if (harmless && tries <= site.retries()) {
                all.retries++;
                second.retries++;
                byClass.get(requestClass.name()).retries++;
                loop.schedule(this::attempt, Math.max(pauseNanos, BACKOFF_NANOS << tries - 1), TimeUnit.NANOSECONDS);
            } else {
                over(otherwise);
            }
        }

        /** Ends the request and counts its outcome. */
        void over(Consumer<Tally> how) {
            open--;
            how.accept(all);
            how.accept(second);
            how.accept(byClass.get(requestClass.name()));
        }

        void served() {
            long took = System.nanoTime() - begunAt;
            over(tally -> tally.served(took, took <= TimeUnit.MILLISECONDS.toNanos(requestClass.aimMillis())));
        }
    }

    /** A client's connection to a gateway, with one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Gate gate;
        private Channel channel;
        private Call call;
        private String id;
        private String lastId;
        private long askedAt;
        private Future<?> patience;
        private long givesUpAt;
        private boolean gaveUp;
        private Future<?> leaving;

        Connection(Gate gate) {
            this.gate = gate;
        }

        void open(Call first) {
            ChannelFuture dialled = dial.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder(),
                            new HttpObjectAggregator(LARGEST_BODY), Connection.this);
                }
            }).connect(gate.address);
            channel = dialled.channel();
            dialled.addListener(done -> {
                if (done.isSuccess()) {
                    ask(first);
                } else {
                    // The connection was not accepted and nothing was sent: a retry at another gateway is harmless for any class.
                    gate.refuses();
                    first.again(true, 0, tally -> tally.failed++);
                }
            });
        }

        void ask(Call next) {
            call = next;
            lastId = id;
            id = Names.request(gate.number, sequence++);
            askedAt = System.nanoTime();
            long within = Math.max(TimeUnit.MILLISECONDS.toNanos(1), next.deadline - askedAt);
            boolean safe = next.safe();
            ByteBuf body = safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST, "/" + next.requestClass.name() + "/7", body);
            request.headers().set("Host", "backend.local").set("X-Request-ID", id)
                    .set("X-Timeout", TimeUnit.NANOSECONDS.toMicros(within) + "u");
            if (!safe) {
                request.headers().setInt("Content-Length", BODY.length);
            }
            if (next.requestClass.semantics().equals("keyed")) {
                request.headers().set("Idempotency-Key", id);
            }
            gate.tally(next.requestClass).asked++;
            auditor.accept(new Sighting.Asked(askedAt, id, gate.number, next.requestClass.name(), within));
            givesUpAt = askedAt + within + OVERTIME_NANOS;
            patience = loop.schedule(this::giveUp, within + OVERTIME_NANOS, TimeUnit.NANOSECONDS);
            if (next.leavesAfter > 0 && next.tries == 1) {
                leaving = loop.schedule(this::leave, next.leavesAfter, TimeUnit.NANOSECONDS);
            }
            channel.writeAndFlush(request);
        }

        /** Closes the connection, or postpones that if the event loop ran late, since an answer may be waiting to be read. */
        private void giveUp() {
            long late = System.nanoTime() - givesUpAt;
            if (late > LATE_NANOS) {
                givesUpAt += late;
                patience = loop.schedule(this::giveUp, late, TimeUnit.NANOSECONDS);
                return;
            }
            gaveUp = true;
            channel.close();
        }

        /** Abandons the request before its answer and closes the connection. */
        private void leave() {
            if (call != null) {
                auditor.accept(new Sighting.Left(System.nanoTime(), id));
                gate.tally(call.requestClass).left++;
                Call gone = call;
                done();
                gone.over(tally -> tally.left++);
                channel.close();
            }
        }

        /** Clears the current request and cancels its timers. */
        private void done() {
            call = null;
            patience.cancel(false);
            if (leaving != null) {
                leaving.cancel(false);
                leaving = null;
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            String body = answer.content().toString(StandardCharsets.UTF_8);
            if (call == null || lastId != null && body.startsWith("made for " + lastId + " ")) {
                auditor.accept(new Sighting.Surplus(System.nanoTime(), call == null ? id : lastId));
                return;
            }
            int status = answer.status().code();
            auditor.accept(new Sighting.Answered(System.nanoTime(), id, status, body));
            Call answered = call;
            done();
            if (HttpUtil.isKeepAlive(answer) && answer.decoderResult().isSuccess()) {
                gate.idle.addLast(this);
            } else {
                ctx.close();
            }
            if (status == OK) {
                gate.tally(answered.requestClass).served(System.nanoTime() - askedAt,
                        System.nanoTime() - askedAt <= TimeUnit.MILLISECONDS.toNanos(answered.requestClass.aimMillis()));
                answered.served();
            } else if (status == UNAVAILABLE || status == TOO_MANY) {
                gate.tally(answered.requestClass).refused++;
                answered.again(true, retryAfter(answer), tally -> tally.refused++);
            } else {
                gate.tally(answered.requestClass).failed++;
                answered.again(answered.safe(), 0, tally -> tally.failed++);
            }
        }

        private static long retryAfter(FullHttpResponse answer) {
            String value = answer.headers().get("Retry-After");
            try {
                return value == null ? 0 : Math.round(Double.parseDouble(value) * TimeUnit.SECONDS.toNanos(1));
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            gate.idle.remove(this);
            if (call != null) {
                auditor.accept(gaveUp ? new Sighting.GaveUp(System.nanoTime(), id) : new Sighting.Broke(System.nanoTime(), id));
                Call cut = call;
                gate.tally(cut.requestClass).broken++;
                boolean crossed = lastId != null;
                done();
                // The gateway may have closed a reused connection before it read the request.
                cut.again(cut.safe() || crossed && cut.tries == 1, 0, tally -> tally.broken++);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
