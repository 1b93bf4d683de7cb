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
    private static final int MAX_BODY_BYTES = 64 * 1024, OK = 200, SERVICE_UNAVAILABLE = 503, TOO_MANY_REQUESTS = 429,
            CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Interval of the readiness probes of a gateway that refused a connection. */
    private static final long READINESS_CHECK_INTERVAL_MILLIS = 100;
    /** Bounds of the time after SIGTERM during which clients still open connections to the gateway. */
    private static final long MIN_SHUTDOWN_CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MAX_SHUTDOWN_CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long BASE_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /**
     * Clients wait this long past their deadline, so that late answers are distinguished from missing ones. If the timer itself
     * was late by more than the second value, the timeout is postponed.
     */
    private static final long TIMEOUT_GRACE_NANOS = TimeUnit.SECONDS.toNanos(1), LATE_THRESHOLD_NANOS =
            TimeUnit.MILLISECONDS.toNanos(20);
    private static final byte[] REQUEST_BODY = ("q".repeat(200)).getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final FleetConfig fleetConfig;
    private final Consumer<Observation> observer;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;
    private final MisbehavingClients misbehavingClients;
    private final List<GatewayState> gatewayStates = new ArrayList<>();
    private final RequestStats totals = new RequestStats();
    private final RequestStats currentSecond = new RequestStats();
    private final Map<String, RequestStats> statsByClass = new LinkedHashMap<>();
    private final Map<String, RequestStats> statsByGateway = new LinkedHashMap<>();
    private long sequence;
    private long openRequests;

    /** What the clients know of a gateway. */
    private final class GatewayState {
        private final int number;
        private final InetSocketAddress address;
        private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
        /** Whether clients are sent there; read by other threads too. */
        private volatile boolean up = true;
        /** After SIGTERM: the time from which on clients open no connections to it; otherwise {@link Long#MAX_VALUE}. */
        private long newConnectionsUntilNanos = Long.MAX_VALUE;

        GatewayState(int number, InetSocketAddress address) {
            this.number = number;
            this.address = address;
        }

        /** Returns the statistics of a class at this gateway. */
        RequestStats statsOf(RequestClass requestClass) {
            return statsByGateway.get(LabNames.gatewayClassKey(number, requestClass.name()));
        }

        /** Returns whether a client may be sent there. During its shutdown, idle connections are still used. */
        boolean isAvailable() {
            dropClosed();
            return newConnectionsUntilNanos == Long.MAX_VALUE ? up : !idleConnections.isEmpty() || up
                    && System.nanoTime() < newConnectionsUntilNanos;
        }

        private void dropClosed() {
            idleConnections.removeIf(connection -> !connection.channel.isActive());
        }

        /** Removes and returns the idle connection to use next, or null; during a shutdown the one that was idle longest. */
        Connection takeIdle() {
            dropClosed();
            return newConnectionsUntilNanos == Long.MAX_VALUE ? idleConnections.pollLast() : idleConnections.pollFirst();
        }

        /** Marks the gateway as down, so that no client is sent there until it is ready again. */
        void markDown() {
            if (up) {
                up = false;
                loop.schedule(this::probeReadiness, READINESS_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        /** Requests {@code /ready}, repeatedly until the answer is 200. */
        private void probeReadiness() {
            bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder(),
                            new HttpObjectAggregator(MAX_BODY_BYTES), new ReadinessProbe());
                }
            }).connect(address).channel().closeFuture().addListener(closed -> {
                if (!up) {
                    loop.schedule(this::probeReadiness, READINESS_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                }
            });
        }

        /** Requests {@code /ready} once and closes the connection. */
        private final class ReadinessProbe extends SimpleChannelInboundHandler<FullHttpResponse> {
            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                ctx.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/ready"));
            }

            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
                if (answer.status().code() == OK) {
                    up = true;
                    newConnectionsUntilNanos = Long.MAX_VALUE;
                }
                ctx.close();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }

    Clients(EventLoop loop, FleetConfig fleetConfig, List<InetSocketAddress> gatewayAddresses, Consumer<Observation> observer) {
        this.loop = loop;
        this.fleetConfig = fleetConfig;
        this.observer = observer;
        random = new SplittableRandom(fleetConfig.seed() ^ 0x636c69656e7473L);
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS).option(ChannelOption.TCP_NODELAY, true);
        misbehavingClients = new MisbehavingClients(loop, bootstrap, gatewayAddresses);
        for (int i = 0; i < gatewayAddresses.size(); i++) {
            gatewayStates.add(new GatewayState(i, gatewayAddresses.get(i)));
        }
        fleetConfig.classes().forEach(c -> statsByClass.put(c.name(), new RequestStats()));
        gatewayStates.forEach(gatewayState -> fleetConfig.classes().forEach(c ->
                statsByGateway.put(LabNames.gatewayClassKey(gatewayState.number, c.name()), new RequestStats())));
    }

    /** Sends requests as the arrivals say, until {@code endNanos} after {@code startNanos}. Must be called on the event loop. */
    void run(Arrivals arrivals, long startNanos, long endNanos) {
        Arrival nextArrival = arrivals.next();
        while (nextArrival.atNanos() < endNanos && startNanos + nextArrival.atNanos() <= System.nanoTime()) {
            new ClientRequest(nextArrival).send();
            nextArrival = arrivals.next();
        }
        if (nextArrival.atNanos() < endNanos) {
            Arrival dueArrival = nextArrival;
            loop.schedule(() -> {
                new ClientRequest(dueArrival).send();
                run(arrivals, startNanos, endNanos);
            }, Math.max(0, startNanos + dueArrival.atNanos() - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    /** Returns the number of requests that have not ended. Must be called on the event loop. */
    long openRequests() {
        return openRequests;
    }

    /** Returns the statistics of all requests. */
    RequestStats totals() {
        return totals;
    }

    /** Returns the statistics since the last reset, for the summary of each second. */
    RequestStats currentSecond() {
        return currentSecond;
    }

    /** Returns the statistics by class. */
    Map<String, RequestStats> statsByClass() {
        return statsByClass;
    }

    /** Returns the statistics of tries by the key of {@link LabNames#gatewayClassKey}. */
    Map<String, RequestStats> statsByGateway() {
        return statsByGateway;
    }

    /** Returns the clients that send no valid request; they run on the same event loop. */
    MisbehavingClients misbehavingClients() {
        return misbehavingClients;
    }

    /** Returns whether clients are sent to this gateway. May be called from any thread. */
    boolean isUp(int gateway) {
        return gatewayStates.get(gateway).up;
    }

    /** Opens further connections to this gateway, each with a request, and keeps them alive after the answer. */
    void addKeepAliveConnections(int gateway, int count) {
        for (int i = 0; i < count; i++) {
            RequestClass requestClass = fleetConfig.classes().get(random.nextInt(fleetConfig.classes().size()));
            new ClientRequest(new Arrival(0, requestClass, 0, random.nextDouble()))
                    .sendOnNewConnection(gatewayStates.get(gateway));
        }
    }

    /** Notes that the gateway gets SIGTERM: clients still connect for a short time, and go on using open connections. */
    void markTerminating(int gateway) {
        GatewayState gatewayState = gatewayStates.get(gateway);
        gatewayState.newConnectionsUntilNanos = System.nanoTime()
                + random.nextLong(MIN_SHUTDOWN_CONNECT_NANOS, MAX_SHUTDOWN_CONNECT_NANOS);
        loop.schedule(gatewayState::markDown, MAX_SHUTDOWN_CONNECT_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Closes all idle connections, and ends the readiness probes. */
    void close() {
        for (GatewayState gatewayState : gatewayStates) {
            gatewayState.up = true;
            List.copyOf(gatewayState.idleConnections).forEach(connection -> connection.channel.close());
        }
    }

    /** Returns the gateway for a try by a draw from 0 to 1: an available one, or any if none is. */
    private GatewayState pickGateway(double draw) {
        List<GatewayState> available = gatewayStates.stream().filter(GatewayState::isAvailable).toList();
        List<GatewayState> candidates = available.isEmpty() ? gatewayStates : available;
        return candidates.get((int) (draw * candidates.size()));
    }

    /** A request of a client, over all its tries. */
    private final class ClientRequest {
        private final RequestClass requestClass;
        private final long startedAtNanos = System.nanoTime();
        private final long deadlineNanos;
        private final long abandonsAfterNanos;
        private double gatewayDraw;
        private int tries;

        ClientRequest(Arrival arrival) {
            requestClass = arrival.requestClass();
            deadlineNanos = startedAtNanos + TimeUnit.MILLISECONDS.toNanos(requestClass.deadlineMillis());
            abandonsAfterNanos = arrival.abandonsAfterNanos();
            gatewayDraw = arrival.gatewayDraw();
            openRequests++;
            totals.requests++;
            currentSecond.requests++;
            statsByClass.get(requestClass.name()).requests++;
        }

        boolean isSafe() {
            return requestClass.effect().equals("safe");
        }

        /** Sends a try to one of the gateways, or fails the request if its time is over. */
        void send() {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= TimeUnit.MILLISECONDS.toNanos(1)) {
                finish(stats -> stats.failed++);
                return;
            }
            tries++;
            GatewayState gatewayState = pickGateway(gatewayDraw);
            gatewayDraw = random.nextDouble();
            Connection idleConnection = gatewayState.takeIdle();
            if (idleConnection != null) {
                idleConnection.sendRequest(this);
            } else {
                new Connection(gatewayState).connect(this);
            }
        }

        /** Sends the first try to this gateway on a new connection. */
        void sendOnNewConnection(GatewayState gatewayState) {
            tries++;
            new Connection(gatewayState).connect(this);
        }

        /** Retries the request after a backoff if that is harmless and retries are left; otherwise ends and counts it. */
        void retryOrFinish(boolean mayRetry, long minDelayNanos, Consumer<RequestStats> countOutcome) {
            if (mayRetry && tries <= fleetConfig.maxRetries()) {
                totals.retries++;
                currentSecond.retries++;
                statsByClass.get(requestClass.name()).retries++;
                loop.schedule(this::send, Math.max(minDelayNanos, BASE_BACKOFF_NANOS << tries - 1), TimeUnit.NANOSECONDS);
            } else {
                finish(countOutcome);
            }
        }

        /** Ends the request and counts its outcome. */
        void finish(Consumer<RequestStats> countOutcome) {
            openRequests--;
            countOutcome.accept(totals);
            countOutcome.accept(currentSecond);
            countOutcome.accept(statsByClass.get(requestClass.name()));
        }

        void finishServed() {
            long elapsedNanos = System.nanoTime() - startedAtNanos;
            finish(stats -> stats.recordServed(elapsedNanos,
                    elapsedNanos <= TimeUnit.MILLISECONDS.toNanos(requestClass.aimMillis())));
        }
    }

    /** A client's connection to a gateway, with one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final GatewayState gatewayState;
        private Channel channel;
        private ClientRequest clientRequest;
        private String requestId;
        private String previousRequestId;
        private long sentAtNanos;
        private Future<?> timeoutTimer;
        private long timesOutAtNanos;
        private boolean timedOut;
        private Future<?> abandonTimer;

        Connection(GatewayState gatewayState) {
            this.gatewayState = gatewayState;
        }

        void connect(ClientRequest firstRequest) {
            ChannelFuture connectFuture = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder(),
                            new HttpObjectAggregator(MAX_BODY_BYTES), Connection.this);
                }
            }).connect(gatewayState.address);
            channel = connectFuture.channel();
            connectFuture.addListener(future -> {
                if (future.isSuccess()) {
                    sendRequest(firstRequest);
                } else {
                    // The connection was not accepted and nothing was sent: a retry at another gateway is harmless for any class.
                    gatewayState.markDown();
                    firstRequest.retryOrFinish(true, 0, stats -> stats.failed++);
                }
            });
        }

        void sendRequest(ClientRequest nextRequest) {
            clientRequest = nextRequest;
            previousRequestId = requestId;
            requestId = LabNames.requestId(gatewayState.number, sequence++);
            sentAtNanos = System.nanoTime();
            long timeoutNanos = Math.max(TimeUnit.MILLISECONDS.toNanos(1), nextRequest.deadlineNanos - sentAtNanos);
            boolean safe = nextRequest.isSafe();
            ByteBuf body = safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(REQUEST_BODY);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST, "/" + nextRequest.requestClass.name() + "/7", body);
            request.headers().set("Host", "backend.local").set("X-Request-ID", requestId)
                    .set("X-Timeout", TimeUnit.NANOSECONDS.toMicros(timeoutNanos) + "u");
            if (!safe) {
                request.headers().setInt("Content-Length", REQUEST_BODY.length);
            }
            if (nextRequest.requestClass.effect().equals("keyed")) {
                request.headers().set("Idempotency-Key", requestId);
            }
            gatewayState.statsOf(nextRequest.requestClass).requests++;
            observer.accept(new Observation.RequestSent(sentAtNanos, requestId, gatewayState.number,
                    nextRequest.requestClass.name(), timeoutNanos));
            timesOutAtNanos = sentAtNanos + timeoutNanos + TIMEOUT_GRACE_NANOS;
            timeoutTimer = loop.schedule(this::onTimeout, timeoutNanos + TIMEOUT_GRACE_NANOS, TimeUnit.NANOSECONDS);
            if (nextRequest.abandonsAfterNanos > 0 && nextRequest.tries == 1) {
                abandonTimer = loop.schedule(this::abandon, nextRequest.abandonsAfterNanos, TimeUnit.NANOSECONDS);
            }
            channel.writeAndFlush(request);
        }

        /** Closes the connection, or postpones that if the event loop ran late, since an answer may be waiting to be read. */
        private void onTimeout() {
            long latenessNanos = System.nanoTime() - timesOutAtNanos;
            if (latenessNanos > LATE_THRESHOLD_NANOS) {
                timesOutAtNanos += latenessNanos;
                timeoutTimer = loop.schedule(this::onTimeout, latenessNanos, TimeUnit.NANOSECONDS);
                return;
            }
            timedOut = true;
            channel.close();
        }

        /** Abandons the request before its answer and closes the connection. */
        private void abandon() {
            if (clientRequest != null) {
                observer.accept(new Observation.RequestAbandoned(System.nanoTime(), requestId));
                gatewayState.statsOf(clientRequest.requestClass).abandoned++;
                ClientRequest abandonedRequest = clientRequest;
                clearRequest();
                abandonedRequest.finish(stats -> stats.abandoned++);
                channel.close();
            }
        }

        /** Clears the current request and cancels its timers. */
        private void clearRequest() {
            clientRequest = null;
            timeoutTimer.cancel(false);
            if (abandonTimer != null) {
                abandonTimer.cancel(false);
                abandonTimer = null;
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            String body = answer.content().toString(StandardCharsets.UTF_8);
            if (clientRequest == null || previousRequestId != null && body.startsWith("made for " + previousRequestId + " ")) {
                observer.accept(new Observation.SurplusAnswer(System.nanoTime(), clientRequest == null ? requestId
                        : previousRequestId));
                return;
            }
            int status = answer.status().code();
            observer.accept(new Observation.AnswerReceived(System.nanoTime(), requestId, status, body));
            ClientRequest answeredRequest = clientRequest;
            clearRequest();
            if (HttpUtil.isKeepAlive(answer) && answer.decoderResult().isSuccess()) {
                gatewayState.idleConnections.addLast(this);
            } else {
                ctx.close();
            }
            if (status == OK) {
                gatewayState.statsOf(answeredRequest.requestClass).recordServed(System.nanoTime() - sentAtNanos,
                        System.nanoTime() - sentAtNanos <= TimeUnit.MILLISECONDS.toNanos(answeredRequest.requestClass.aimMillis()));
                answeredRequest.finishServed();
            } else if (status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS) {
                gatewayState.statsOf(answeredRequest.requestClass).refused++;
                answeredRequest.retryOrFinish(true, retryAfterNanos(answer), stats -> stats.refused++);
            } else {
                gatewayState.statsOf(answeredRequest.requestClass).failed++;
                answeredRequest.retryOrFinish(answeredRequest.isSafe(), 0, stats -> stats.failed++);
            }
        }

        private static long retryAfterNanos(FullHttpResponse answer) {
            String value = answer.headers().get("Retry-After");
            try {
                return value == null ? 0 : Math.round(Double.parseDouble(value) * TimeUnit.SECONDS.toNanos(1));
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            gatewayState.idleConnections.remove(this);
            if (clientRequest != null) {
                observer.accept(timedOut ? new Observation.ClientTimedOut(System.nanoTime(), requestId)
                        : new Observation.ConnectionAborted(System.nanoTime(), requestId));
                ClientRequest interruptedRequest = clientRequest;
                gatewayState.statsOf(interruptedRequest.requestClass).unanswered++;
                boolean wasReused = previousRequestId != null;
                clearRequest();
                // The gateway may have closed a reused connection before it read the request.
                interruptedRequest.retryOrFinish(interruptedRequest.isSafe() || wasReused && interruptedRequest.tries == 1, 0,
                        stats -> stats.unanswered++);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
