package cinderhollow.daemon;

import cinderhollow.core.GatewayClock;
import cinderhollow.evacuation.Evacuation;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.TrafficObserver;
import cinderhollow.evacuation.ZoneStatus;
import cinderhollow.peers.GossipSettings;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.WarmServerRateReceived;
import cinderhollow.policy.Protocol.ZoneWeightsChanged;
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
 * The sockets and the clock of {@link Evacuation}: exchanges datagrams with the other gateways and passes on how attempts end
 * here. Everything runs on the gateway's own event loop. Loaded only where an operator's file has peers.
 */
final class PeerTransport {
    /** Longest datagram that is read, in bytes, longer than any valid one; a longer one is truncated and then rejected. */
    private static final int MAX_DATAGRAM_BYTES = 512;
    private static final long MIN_TICK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1), MAX_TICK_DELAY_NANOS =
            TimeUnit.MILLISECONDS.toNanos(25);
    /** Lateness of the event loop from which the gateway doubts its own observations, in nanoseconds. */
    private static final long LATE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop loop;
    private final Peering peering;
    private final GatewayClock clock;
    private final Evacuation evacuation;
    private final Map<InetSocketAddress, Integer> memberNumbers = new HashMap<>();
    private Channel channel;
    private boolean closed;

    /**
     * Creates the exchange. Events for the decision module go to {@code eventSink}, and whether clients should come to this
     * gateway goes to {@code zoneAvailable}.
     */
    PeerTransport(EventLoop loop, Peering peering, Rules rules, GatewayClock clock, long seed, Consumer<Event> eventSink,
             Consumer<Boolean> zoneAvailable, Consumer<String> log) {
        this.loop = loop;
        this.peering = peering;
        this.clock = clock;
        for (int i = 0; i < peering.members().size(); i++) {
            memberNumbers.put(peering.members().get(i), i);
        }
        evacuation = new Evacuation(peering.evacuationConfig(), rules, peering.roster(), GossipSettings.DEFAULT, seed,
                unixMillis(), new Evacuation.Callbacks() {
            @Override
            public void send(int member, byte[] datagram) {
                channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), peering.members().get(member)),
                        channel.voidPromise());
            }

            @Override
            public void setZoneWeights(Map<String, Double> byZone) {
                eventSink.accept(new ZoneWeightsChanged(byZone));
            }

            @Override
            public void setWarmServerRate(double perSecond) {
                eventSink.accept(new WarmServerRateReceived(perSecond));
            }

            @Override
            public void setAcceptingClients(boolean clients) {
                zoneAvailable.accept(clients);
            }

            @Override
            public void log(String line) {
                log.accept(line);
            }
        });
    }

    /**
     * Returns Unix time in milliseconds, from the gateway's clock, which was set to it once and does not follow when it is
     * adjusted.
     */
    private long unixMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanos());
    }

    /** Binds the socket and starts the exchange; the future fails if the address cannot be bound. */
    ChannelFuture open() {
        ChannelFuture bound = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new DatagramHandler()).bind(peering.listenAddress());
        channel = bound.channel();
        bound.addListener(done -> {
            if (done.isSuccess()) {
                tick();
            }
        });
        return bound;
    }

    private void tick() {
        if (closed) {
            return;
        }
        long next = evacuation.tick(clock.nanos(), unixMillis());
        loop.schedule(this::tick, Math.max(MIN_TICK_DELAY_NANOS, Math.min(MAX_TICK_DELAY_NANOS, next - clock.nanos())),
                TimeUnit.NANOSECONDS);
    }

    /** Tells the other gateways that this one leaves, so that they need not detect it, and stops the exchange. */
    void close() {
        evacuation.leaveFleet();
        closed = true;
        channel.close();
    }

    /**
     * Passes on how late this gateway's own event loop was recently, in nanoseconds: from {@link #LATE_THRESHOLD_NANOS} on, it doubts
     * its own observations.
     */
    void updateLateness(long lateNanos) {
        evacuation.setLoopLate(lateNanos >= LATE_THRESHOLD_NANOS);
    }

    /** Returns the receiver of the outcomes of attempts and of the endpoint list. */
    TrafficObserver traffic() {
        return evacuation.traffic();
    }

    ZoneStatus zoneStatus() {
        return evacuation.status();
    }

    /**
     * Gives the fleet an order about a zone, valid for {@code forMillis} milliseconds. An unknown zone causes an {@link
     * IllegalArgumentException}.
     */
    void order(String zone, Order.Action what, long forMillis) {
        int number = evacuation.zoneNumber(zone);
        if (number < 0) {
            throw new IllegalArgumentException("no zone '" + zone + "' among " + peering.evacuationConfig().zones());
        }
        evacuation.issueOrder(number, what, unixMillis() + forMillis);
    }

    /** Receives the datagrams of the other gateways. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int from = memberNumbers.getOrDefault(packet.sender(), -1);
            evacuation.onDatagram(clock.nanos(), unixMillis(), from, ByteBufUtil.getBytes(packet.content()));
        }

        /**
         * Ignores errors of datagrams already sent, such as a port that nobody listens on: such a datagram is lost, as any
         * may be.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) { }
    }
}
