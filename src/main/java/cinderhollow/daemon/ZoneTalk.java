package cinderhollow.daemon;

import cinderhollow.core.GatewayClock;
import cinderhollow.evacuation.Evacuation;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.Traffic;
import cinderhollow.evacuation.ZoneStanding;
import cinderhollow.peers.Pace;
import cinderhollow.policy.Protocol.Bears;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.Weighed;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The sockets and the clock of {@link Evacuation}: datagrams from and to the other gateways, and what happens to attempts
 * here. Everything runs on the gateway's own event loop. Loaded only where an operator's file has peers.
 */
final class ZoneTalk {
    /** A datagram that is longer than any is cut, and then not believed. */
    private static final int RECEIVED = 512;
    private static final long LEAST_WAIT = TimeUnit.MILLISECONDS.toNanos(1), MOST_WAIT = TimeUnit.MILLISECONDS.toNanos(25);
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop loop;
    private final Peering peering;
    private final GatewayClock clock;
    private final Evacuation evacuation;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private Channel channel;
    private boolean over;

    /** What the module is told goes to {@code module}; whether clients should come to {@code welcome}. */
    ZoneTalk(EventLoop loop, Peering peering, Rules rules, GatewayClock clock, long seed, Consumer<Event> module,
             Consumer<Boolean> welcome, Consumer<String> log) {
        this.loop = loop;
        this.peering = peering;
        this.clock = clock;
        for (int i = 0; i < peering.members().size(); i++) {
            numbers.put(peering.members().get(i), i);
        }
        evacuation = new Evacuation(peering.terms(), rules, peering.roster(), Pace.USUAL, seed, unixMillis(), new Evacuation.Host() {
            @Override
            public void send(int member, byte[] datagram) {
                channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), peering.members().get(member)),
                        channel.voidPromise());
            }

            @Override
            public void weigh(Map<String, Double> byZone) {
                module.accept(new Weighed(byZone));
            }

            @Override
            public void bears(double perSecond) {
                module.accept(new Bears(perSecond));
            }

            @Override
            public void welcome(boolean clients) {
                welcome.accept(clients);
            }

            @Override
            public void log(String line) {
                log.accept(line);
            }
        });
    }

    /** Unix time; the gateway's own clock was set to it once, and does not follow it when it steps. */
    private long unixMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanos());
    }

    /** Begins to listen and to talk; the future fails where the address can't be had. */
    ChannelFuture open() {
        ChannelFuture bound = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVED))
                .handler(new Ear()).bind(peering.listen());
        channel = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                tick();
            }
        });
        return bound;
    }

    private void tick() {
        if (over) {
            return;
        }
        long next = evacuation.tick(clock.nanos(), unixMillis());
        loop.schedule(this::tick, Math.max(LEAST_WAIT, Math.min(MOST_WAIT, next - clock.nanos())), TimeUnit.NANOSECONDS);
    }

    /** Tells the others, so that they need not find out, and talks no more. */
    void close() {
        evacuation.leave();
        over = true;
        channel.close();
    }

    /** How late this gateway's own loop has been lately, in nanoseconds: it doubts what it sees then. */
    void late(long nanos) {
        evacuation.late(nanos >= LATE_NANOS);
    }

    /** Where what happens to requests, and which hosts there are, is told. */
    Traffic traffic() {
        return evacuation.traffic();
    }

    ZoneStanding standing() {
        return evacuation.standing();
    }

    /** An unknown zone is an {@link IllegalArgumentException}. */
    void order(String zone, Order.What what, long forMillis) {
        int number = evacuation.zone(zone);
        if (number < 0) {
            throw new IllegalArgumentException("no zone '" + zone + "' among " + peering.terms().zones());
        }
        evacuation.order(number, what, unixMillis() + forMillis);
    }

    private final class Ear extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int from = numbers.getOrDefault(packet.sender(), -1);
            evacuation.received(clock.nanos(), unixMillis(), from, ByteBufUtil.getBytes(packet.content()));
        }

        /** What a datagram met on its way, as a port that nobody listens on: it is lost, as any may be. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) { }
    }
}
