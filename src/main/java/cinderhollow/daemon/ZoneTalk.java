package cinderhollow.daemon;

import cinderhollow.core.GatewayClock;
import cinderhollow.evacuation.Evacuation;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.Sightings;
import cinderhollow.evacuation.ZoneStanding;
import cinderhollow.membership.EndpointList;
import cinderhollow.peers.Pace;
import cinderhollow.policy.Protocol.Bears;
import cinderhollow.policy.Protocol.Event;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
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
    private static final long LEAST_WAIT = TimeUnit.MILLISECONDS.toNanos(1), MOST_WAIT = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100), RELIST = TimeUnit.SECONDS.toNanos(1);
    /** An attempt without an answer for so many times its aim says something of where it is. */
    private static final double PATIENCE = 1.5;

    private record Host(int zone, int number, ServerInfo info) { }

    private final EventLoop loop;
    private final Peering peering;
    private final Rules rules;
    private final GatewayClock clock;
    private final Evacuation evacuation;
    private final Sightings sightings;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private Channel channel;
    private long listedAt;
    private boolean over;

    /** What the module is told goes to {@code module}; whether clients should come to {@code welcome}. */
    ZoneTalk(EventLoop loop, Peering peering, Rules rules, GatewayClock clock, long seed, Consumer<Event> module,
             Consumer<Boolean> welcome, Consumer<String> log) {
        this.loop = loop;
        this.peering = peering;
        this.rules = rules;
        this.clock = clock;
        for (int i = 0; i < peering.members().size(); i++) {
            numbers.put(peering.members().get(i), i);
        }
        evacuation = new Evacuation(peering.terms(), peering.roster(), Pace.USUAL, seed, unixMillis(), new Evacuation.Host() {
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
        sightings = evacuation.sightings();
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
        long now = clock.nanos();
        if (now - listedAt >= RELIST) {
            relist(now);
        }
        long next = evacuation.tick(now, unixMillis());
        loop.schedule(this::tick, Math.max(LEAST_WAIT, Math.min(MOST_WAIT, next - clock.nanos())), TimeUnit.NANOSECONDS);
    }

    /** Tells the others, so that they need not find out, and talks no more. */
    void close() {
        evacuation.leave();
        over = true;
        channel.close();
    }

    /** The loop's own lateness, as answers are due that much earlier. */
    void late(long nanos) {
        evacuation.late(nanos >= LATE_NANOS);
    }

    void listed(EndpointList list, boolean whole) {
        if (whole) {
            hosts.clear();
        }
        for (ServerInfo info : list.servers()) {
            if (info.readiness() == Readiness.READY) {
                hosts.put(info.id(), new Host(evacuation.zone(info.zone()), info.id().hashCode(), info));
            } else {
                hosts.remove(info.id());
            }
        }
        relist(clock.nanos());
    }

    private void relist(long now) {
        listedAt = now;
        int[] count = new int[peering.terms().zones().size()];
        double[] warm = new double[count.length];
        for (Host host : hosts.values()) {
            if (host.zone >= 0) {
                count[host.zone]++;
                warm[host.zone] += warmth(host.info, now);
            }
        }
        for (int zone = 0; zone < count.length; zone++) {
            evacuation.listed(zone, count[zone], warm[zone]);
        }
    }

    private double warmth(ServerInfo info, long now) {
        long age = now - info.startedAtNanos();
        return info.startedAtNanos() == 0 || age >= rules.warmUpNanos() ? 1
                : rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age) / rules.warmUpNanos();
    }

    void arrived() {
        sightings.arrived();
    }

    /** An attempt goes out; what is given back is told with its end. */
    int sent(String host, RequestClass requestClass) {
        Host to = hosts.get(host);
        return to == null ? -1 : sightings.sent(clock.nanos(), to.zone, to.number, (long) (requestClass.aimNanos() * PATIENCE));
    }

    void ended(int slot, String host, RequestClass requestClass, Outcome outcome, long elapsedNanos, LoadReport load) {
        long now = clock.nanos();
        sightings.ended(now, slot, seen(requestClass, outcome, elapsedNanos));
        Host at = hosts.get(host);
        if (at != null) {
            if (outcome == Outcome.SERVED && warmth(at.info, now) >= 1) {
                sightings.served();
            }
            if (load != null) {
                evacuation.reported(at.zone, load.utilisation());
            }
        }
    }

    /** Guards against a short time-out, or a client that left, speaking against a host: only what outlasts the aim tells. */
    static Sightings.Seen seen(RequestClass requestClass, Outcome outcome, long elapsedNanos) {
        boolean late = elapsedNanos > requestClass.aimNanos();
        return switch (outcome) {
            case SERVED -> late ? Sightings.Seen.LATE : Sightings.Seen.GOOD;
            case FULL -> Sightings.Seen.FULL;
            case ERROR, CONNECT_FAILED, RESET -> Sightings.Seen.BAD;
            case TIMED_OUT, CANCELLED -> late ? Sightings.Seen.BAD : Sightings.Seen.NOTHING;
            case NOT_SENT -> Sightings.Seen.NOTHING;
        };
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
