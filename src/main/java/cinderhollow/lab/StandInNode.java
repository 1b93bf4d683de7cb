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
     * @param mostConnections with more connections than this, requests are rejected
     * @param idleNanos idle timeout of connections
     * @param handshakeWork additional work of the first request of a connection
     * @param meanWork mean work by class; the empty name applies to all other classes
     * @param instant whether requests take next to no work, to measure gateways
     */
    record Ways(int mostConnections, long idleNanos, double handshakeWork, Map<String, Double> meanWork,
                boolean instant) { }

    private static final int LARGEST_BODY = 64 * 1024, BACKLOG = 256;
    private static final long SWEEP_MILLIS = 500;

    private final int number;
    private final EventLoop loop;
    private final NodeModel model;
    private final Ways ways;
    private final Consumer<Sighting> auditor;
    private final SplittableRandom random;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Job, Connection> jobs = new HashMap<>();
    private final Map<Fault.Kind, Double> faults = new HashMap<>();
    private Channel acceptor;
    private InetSocketAddress address;
    private Future<?> wake;
    private boolean draining;
    private boolean mute;
    private long runs;

    StandInNode(int number, EventLoop loop, NodeModel.Machine machine, long reportPeriodNanos, Ways ways, long seed,
                Consumer<Sighting> auditor) {
        this.number = number;
        this.loop = loop;
        this.ways = ways;
        this.auditor = auditor;
        random = new SplittableRandom(seed);
        model = new NodeModel(machine, reportPeriodNanos, 0.1, seed, System.nanoTime(), this::begins);
    }

    /** Listens on this port of the loopback address, 0 for any free one. May be called from any thread. */
    InetSocketAddress listen(int port) throws InterruptedException {
        acceptor = listener(BACKLOG, true).bind("127.0.0.1", port).sync().channel();
        address = (InetSocketAddress) acceptor.localAddress();
        loop.execute(this::sweep);
        return address;
    }

    private ServerBootstrap listener(int backlog, boolean accepts) {
        return new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, backlog).option(ChannelOption.AUTO_READ, accepts)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LARGEST_BODY),
                                new Connection(channel));
                    }
                });
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the number of requests run so far. Another thread may read an older value. */
    long runs() {
        return runs;
    }

    /** Returns whether the node listens, answers and has not crashed from overload. */
    boolean isUp() {
        return acceptor.isOpen() && !mute && !model.hasFallen();
    }

    /** Crashes the node: its connections are reset, and new ones are refused. */
    void crash() {
        acceptor.close();
        List.copyOf(connections).forEach(Connection::reset);
        jobs.clear();
    }

    /** Restarts the node; it is cold. */
    void restart() {
        model.restart(System.nanoTime());
        auditor.accept(new Sighting.Started(System.nanoTime(), number));
        rebind(BACKLOG, true);
    }

    /** Cuts the node off, or restores it. While cut off, connections stay open but silent, and new ones are not established. */
    void vanish(boolean gone) {
        mute = gone;
        acceptor.close();
        if (!gone) {
            // A machine that is restored does not know its earlier connections.
            List.copyOf(connections).forEach(Connection::reset);
        }
        rebind(gone ? 1 : BACKLOG, !gone);
    }

    /** Binds the listener again without blocking the event loop; retries until the port is free. */
    private void rebind(int backlog, boolean accepts) {
        listener(backlog, accepts).bind(address).addListener((ChannelFutureListener) bound -> {
            if (bound.isSuccess()) {
                acceptor = bound.channel();
            } else {
                loop.schedule(() -> rebind(backlog, accepts), 20, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Makes the node silent (it accepts connections but does not answer), or ends that. */
    void silence(boolean on) {
        mute = on;
    }

    /** Makes the node reject new requests, or ends that. */
    void drain(boolean on) {
        draining = on;
    }

    /** Sets the factor by which the node works slower; 1 is normal. */
    void slow(double factor) {
        model.slowness(factor);
    }

    /** Sets the fraction of requests that meet this fault; 0 ends it. */
    void trouble(Fault.Kind kind, double part) {
        faults.put(kind, part);
    }

    /** Returns whether the current request meets this fault, by a random draw. */
    private boolean strikes(Fault.Kind kind) {
        double part = faults.getOrDefault(kind, 0.0);
        return part > 0 && random.nextDouble() < part;
    }

    /** Closes the listener and all connections for good. */
    void close() {
        acceptor.close();
        List.copyOf(connections).forEach(connection -> connection.channel.close());
    }

    /** Closes idle connections, and schedules the next check. */
    private void sweep() {
        if (acceptor.isOpen()) {
            long before = System.nanoTime() - ways.idleNanos();
            for (Connection connection : List.copyOf(connections)) {
                if (!mute && connection.job == null && connection.idleSince <= before) {
                    connection.channel.close();
                }
            }
        }
        if (!loop.isShuttingDown()) {
            loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void begins(Job job) {
        runs++;
        auditor.accept(new Sighting.Ran(System.nanoTime(), job.id, number));
    }

    /** Sets the timer for the next request that finishes. */
    private void plan() {
        if (wake != null) {
            wake.cancel(false);
        }
        long next = model.nextAt();
        wake = next == Long.MAX_VALUE ? null
                : loop.schedule(this::finish, Math.max(0, next - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void finish() {
        wake = null;
        for (Job job : model.finished(System.nanoTime())) {
            Connection connection = jobs.remove(job);
            if (connection != null) {
                connection.served(job);
            }
        }
        plan();
    }

    /** A connection from a gateway, with one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private Job job;
        private long idleSince = System.nanoTime();
        private boolean fresh = true;

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
                model.drop(job);
                jobs.remove(job);
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
                write(HttpResponseStatus.NOT_FOUND, "no such thing", false);
                return;
            }
            if (mute) {
                return; // A machine that is cut off has not received it, and a silent one never answers.
            }
            auditor.accept(new Sighting.Received(now, id, number));
            if (strikes(Fault.Kind.RESET_BEFORE)) {
                reset();
            } else if (draining || connections.size() > ways.mostConnections()) {
                turnAway(id);
            } else if (strikes(Fault.Kind.ERRORS)) {
                model.failed();
                auditor.accept(new Sighting.Made(now, id, number, ""));
                write(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed", false);
            } else {
                take(id, firstPart(request.uri()), now);
            }
        }

        private void take(String id, String requestClass, long now) {
            double mean = ways.meanWork().getOrDefault(requestClass, ways.meanWork().getOrDefault("", 0.0));
            double work = ways.instant() ? 1 : mean * -Math.log(1 - random.nextDouble());
            if (fresh) {
                work += ways.handshakeWork();
                fresh = false;
            }
            boolean stood = !model.hasFallen();
            job = model.offer(now, id, Names.gatewayOf(id), work);
            if (model.hasFallen()) {
                if (stood) {
                    auditor.accept(new Sighting.Fell(now, number, model.pressure()));
                }
                crash();
            } else if (job == null) {
                turnAway(id);
            } else {
                jobs.put(job, this);
                plan();
            }
        }

        private void turnAway(String id) {
            auditor.accept(new Sighting.TurnedAway(System.nanoTime(), id, number));
            write(HttpResponseStatus.SERVICE_UNAVAILABLE, "full", true);
        }

        private void served(Job done) {
            job = null;
            if (mute) {
                return;
            }
            String body = "made for " + done.id + " by " + Names.node(number) + ", run " + runs + "\n";
            if (strikes(Fault.Kind.RESET_AFTER)) {
                reset();
            } else if (strikes(Fault.Kind.SPOILT)) {
                channel.writeAndFlush(Unpooled.copiedBuffer(spoilt(), StandardCharsets.US_ASCII));
            } else {
                auditor.accept(new Sighting.Made(System.nanoTime(), done.id, number, body));
                write(HttpResponseStatus.OK, body, false);
                if (strikes(Fault.Kind.SURPLUS)) {
                    channel.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain",
                            StandardCharsets.US_ASCII));
                }
            }
        }

        /** Returns a random one of several malformed responses. */
        private String spoilt() {
            return switch (random.nextInt(4)) {
                case 0 -> "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + "x".repeat(4000);
                case 1 -> "?/?? ??\r\n\u0001\u0002noise\r\n\r\n";
                case 2 -> "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd";
                default -> "HTTP/1.1 200 OK\r\nNo colon here\r\n\r\n";
            };
        }

        private void write(HttpResponseStatus status, String text, boolean neverRan) {
            ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().setInt("Content-Length", body.readableBytes());
            if (neverRan) {
                answer.headers().set("X-Not-Processed", "1");
            }
            NodeModel.Load load = model.report(System.nanoTime());
            answer.headers().set("X-Server-Load", String.format(Locale.ROOT, "qps=%.1f,util=%.3f,eps=%.1f",
                    load.requestsPerSecond(), load.utilisation(), load.errorsPerSecond()));
            idleSince = System.nanoTime();
            channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    /** Returns the first segment of a path, which is the class of the request. */
    static String firstPart(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.substring(Math.min(1, uri.length()), Math.max(1, Math.min(end, uri.length())));
    }
}
