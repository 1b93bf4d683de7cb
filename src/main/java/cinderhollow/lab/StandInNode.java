package cinderhollow.lab;

import cinderhollow.lab.NodeModel.Job;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A stand-in for an application server: a {@link NodeModel} behind a socket that speaks the platform's protocol, with the faults
 * of a fault plan. It runs on one event loop. Unless stated otherwise, its methods must be called on that loop.
 */
final class StandInNode {
    /**
     * What a node allows and costs, beyond its machine. Work is in nanoseconds of the reference machine.
     *
     * @param maxConnections with more connections than this, requests are rejected
     * @param idleTimeoutNanos idle timeout of connections
     * @param handshakeWorkNanos additional work of the first request of a connection
     * @param meanWorkNanos mean work by class; the empty name applies to all other classes
     * @param instantAnswers whether requests take next to no work, to measure gateways
     */
    record Profile(int maxConnections, long idleTimeoutNanos, double handshakeWorkNanos, Map<String, Double> meanWorkNanos,
                boolean instantAnswers) { }

    private static final int MAX_BODY_BYTES = 64 * 1024, BACKLOG = 256;
    private static final long IDLE_CHECK_INTERVAL_MILLIS = 500;

    private final int number;
    private final EventLoop loop;
    private final NodeModel model;
    private final Profile profile;
    private final Consumer<Observation> observer;
    private final SplittableRandom random;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Job, Connection> connectionsByJob = new HashMap<>();
    private final Map<Fault.Kind, Double> faultFractions = new HashMap<>();
    private Channel acceptor;
    private InetSocketAddress address;
    private Future<?> completionTimer;
    private boolean draining;
    private boolean silent;
    private long executedRequests;

    StandInNode(int number, EventLoop loop, NodeModel.Machine machine, long reportPeriodNanos, Profile profile, long seed,
                Consumer<Observation> observer) {
        this.number = number;
        this.loop = loop;
        this.profile = profile;
        this.observer = observer;
        random = new SplittableRandom(seed);
        model = new NodeModel(machine, reportPeriodNanos, 0.1, seed, System.nanoTime(), this::onJobStarted);
    }

    /** Listens on this port of the loopback address, 0 for any free one. May be called from any thread. */
    InetSocketAddress listen(int port) throws InterruptedException {
        acceptor = serverBootstrap(BACKLOG, true).bind("127.0.0.1", port).sync().channel();
        address = (InetSocketAddress) acceptor.localAddress();
        loop.execute(this::closeIdleConnections);
        return address;
    }

    private ServerBootstrap serverBootstrap(int backlog, boolean accepts) {
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, backlog).option(ChannelOption.AUTO_READ, accepts)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES),
                                new Connection(channel));
                    }
                });
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the number of requests run so far. Another thread may read an older value. */
    long executedRequests() {
        return executedRequests;
    }

    /** Returns whether the node listens, answers and has not crashed from overload. */
    boolean isUp() {
        return acceptor.isOpen() && !silent && !model.hasCrashedFromOverload();
    }

    /** Crashes the node: its connections are reset, and new ones are refused. */
    void crash() {
        acceptor.close();
        List.copyOf(connections).forEach(Connection::reset);
        connectionsByJob.clear();
    }

    /** Restarts the node; it is cold. */
    void restart() {
        model.restart(System.nanoTime());
        observer.accept(new Observation.NodeStarted(System.nanoTime(), number));
        rebind(BACKLOG, true);
    }

    /** Cuts the node off, or restores it. While cut off, connections stay open but silent, and new ones are not established. */
    void setVanished(boolean gone) {
        silent = gone;
        acceptor.close();
        if (!gone) {
            // A machine that is restored does not know its earlier connections.
            List.copyOf(connections).forEach(Connection::reset);
        }
        rebind(gone ? 1 : BACKLOG, !gone);
    }

    /** Binds the listener again without blocking the event loop; retries until the port is free. */
    private void rebind(int backlog, boolean accepts) {
        serverBootstrap(backlog, accepts).bind(address).addListener((ChannelFutureListener) bound -> {
            if (bound.isSuccess()) {
                acceptor = bound.channel();
            } else {
                loop.schedule(() -> rebind(backlog, accepts), 20, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Makes the node silent (it accepts connections but does not answer), or ends that. */
    void setSilent(boolean on) {
        silent = on;
    }

    /** Makes the node reject new requests, or ends that. */
    void setDraining(boolean on) {
        draining = on;
    }

    /** Sets the factor by which the node works slower; 1 is normal. */
    void setSlowdownFactor(double factor) {
        model.setSlowdownFactor(factor);
    }

    /** Sets the fraction of requests that meet this fault; 0 ends it. */
    void setFault(Fault.Kind kind, double fraction) {
        faultFractions.put(kind, fraction);
    }

    /** Returns whether the current request meets this fault, by a random draw. */
    private boolean shouldInject(Fault.Kind kind) {
        double fraction = faultFractions.getOrDefault(kind, 0.0);
        return fraction > 0 && random.nextDouble() < fraction;
    }

    /** Closes the listener and all connections for good. */
    void close() {
        acceptor.close();
        List.copyOf(connections).forEach(connection -> connection.channel.close());
    }

    /** Closes idle connections, and schedules the next check. */
    private void closeIdleConnections() {
        if (acceptor.isOpen()) {
            long idleSinceLimitNanos = System.nanoTime() - profile.idleTimeoutNanos();
            for (Connection connection : List.copyOf(connections)) {
                if (!silent && connection.job == null && connection.idleSinceNanos <= idleSinceLimitNanos) {
                    connection.channel.close();
                }
            }
        }
        if (!loop.isShuttingDown()) {
            loop.schedule(this::closeIdleConnections, IDLE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onJobStarted(Job job) {
        executedRequests++;
        observer.accept(new Observation.ExecutionStarted(System.nanoTime(), job.id, number));
    }

    /** Sets the timer for the next request that finishes. */
    private void scheduleCompletion() {
        if (completionTimer != null) {
            completionTimer.cancel(false);
        }
        long nextFinishAtNanos = model.nextFinishAtNanos();
        completionTimer = nextFinishAtNanos == Long.MAX_VALUE ? null
                : loop.schedule(this::completeJobs, Math.max(0, nextFinishAtNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void completeJobs() {
        completionTimer = null;
        for (Job job : model.takeFinished(System.nanoTime())) {
            Connection connection = connectionsByJob.remove(job);
            if (connection != null) {
                connection.sendAnswer(job);
            }
        }
        scheduleCompletion();
    }

    /** A connection from a gateway, with one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private Job job;
        private long idleSinceNanos = System.nanoTime();
        private boolean isNew = true;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            if (job != null) {
                model.abandon(job);
                connectionsByJob.remove(job);
                job = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        /** Closes the connection with a TCP reset. */
        void reset() {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // The peer has just closed the connection, so there is nothing to reset.
            }
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("X-Request-ID");
            long now = System.nanoTime();
            if (id == null || !request.decoderResult().isSuccess()) {
                writeAnswer(HttpResponseStatus.NOT_FOUND, "no such thing", false);
                return;
            }
            if (silent) {
                return; // A machine that is cut off has not received it, and a silent one never answers.
            }
            observer.accept(new Observation.AttemptReceived(now, id, number));
            if (shouldInject(Fault.Kind.RESET_BEFORE)) {
                reset();
            } else if (draining || connections.size() > profile.maxConnections()) {
                reject(id);
            } else if (shouldInject(Fault.Kind.ERRORS)) {
                model.recordError();
                observer.accept(new Observation.AnswerProduced(now, id, number, ""));
                writeAnswer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed", false);
            } else {
                offerToModel(id, firstPathSegment(request.uri()), now);
            }
        }

        private void offerToModel(String id, String requestClass, long now) {
            double meanWorkNanos = profile.meanWorkNanos()
                    .getOrDefault(requestClass, profile.meanWorkNanos().getOrDefault("", 0.0));
            double workNanos = profile.instantAnswers() ? 1 : meanWorkNanos * -Math.log(1 - random.nextDouble());
            if (isNew) {
                workNanos += profile.handshakeWorkNanos();
                isNew = false;
            }
            boolean wasUp = !model.hasCrashedFromOverload();
            job = model.offer(now, id, LabNames.gatewayOf(id), workNanos);
            if (model.hasCrashedFromOverload()) {
                if (wasUp) {
                    observer.accept(new Observation.OverloadCrash(now, number, model.workByGateway()));
                }
                crash();
            } else if (job == null) {
                reject(id);
            } else {
                connectionsByJob.put(job, this);
                scheduleCompletion();
            }
        }

        private void reject(String id) {
            observer.accept(new Observation.AttemptRejected(System.nanoTime(), id, number));
            writeAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE, "full", true);
        }

        private void sendAnswer(Job finishedJob) {
            job = null;
            if (silent) {
                return;
            }
            String body = "made for " + finishedJob.id + " by " + LabNames.nodeName(number) + ", run " + executedRequests + "\n";
            if (shouldInject(Fault.Kind.RESET_AFTER)) {
                reset();
            } else if (shouldInject(Fault.Kind.SPOILT)) {
                channel.writeAndFlush(Unpooled.copiedBuffer(malformedAnswer(), StandardCharsets.US_ASCII));
            } else {
                observer.accept(new Observation.AnswerProduced(System.nanoTime(), finishedJob.id, number, body));
                writeAnswer(HttpResponseStatus.OK, body, false);
                if (shouldInject(Fault.Kind.SURPLUS)) {
                    channel.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain",
                            StandardCharsets.US_ASCII));
                }
            }
        }

        /** Returns a random one of several malformed responses. */
        private String malformedAnswer() {
            return switch (random.nextInt(4)) {
                case 0 -> "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + "x".repeat(4000);
                case 1 -> "?/?? ??\r\n\u0001\u0002noise\r\n\r\n";
                case 2 -> "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd";
                default -> "HTTP/1.1 200 OK\r\nNo colon here\r\n\r\n";
            };
        }

        private void writeAnswer(HttpResponseStatus status, String text, boolean notProcessed) {
            ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().setInt("Content-Length", body.readableBytes());
            if (notProcessed) {
                answer.headers().set("X-Not-Processed", "1");
            }
            NodeModel.LoadReport loadReport = model.report(System.nanoTime());
            answer.headers().set("X-Server-Load", String.format(Locale.ROOT, "qps=%.1f,util=%.3f,eps=%.1f",
                    loadReport.requestsPerSecond(), loadReport.utilisation(), loadReport.errorsPerSecond()));
            idleSinceNanos = System.nanoTime();
            channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    /** Returns the first segment of a path, which is the class of the request. */
    static String firstPathSegment(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.substring(Math.min(1, uri.length()), Math.max(1, Math.min(end, uri.length())));
    }
}
