package cinderhollow.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The network between the zones of a lab. Gateways reach nodes and each other through relays on the loopback interface that
 * delay, lose and cut the traffic from one zone to another, each direction independently. A cut is silent: open connections stay
 * open without data, and new ones are accepted by the relay but reach no node. Everything runs on one event loop.
 */
final class ZoneNetwork {
    /** State of the network from one zone to another. */
    private static final class Link {
        private boolean streamsEnabled = true;
        private boolean datagramsEnabled = true;
        private long delayMillis;
        private double lossFraction;
    }

    private final EventLoop loop;
    private final Link[][] links;
    private final SplittableRandom random;
    private final List<Channel> listeners = new ArrayList<>();
    private final Set<StreamRelay> relays = new LinkedHashSet<>();
    private Channel[][] datagramChannels = new Channel[0][0];

    ZoneNetwork(EventLoop loop, int zoneCount, long seed) {
        this.loop = loop;
        links = new Link[zoneCount][zoneCount];
        for (Link[] row : links) {
            for (int i = 0; i < zoneCount; i++) {
                row[i] = new Link();
            }
        }
        random = new SplittableRandom(seed);
    }

    /** Opens a relay and returns the address at which the gateways of a zone reach a node. */
    InetSocketAddress openStreamRelay(int fromZone, int toZone, InetSocketAddress nodeAddress) throws InterruptedException {
        Channel listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        relays.add(new StreamRelay(near, nodeAddress, fromZone, toZone));
                    }
                }).bind("127.0.0.1", 0).sync().channel();
        listeners.add(listener);
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Opens relays for datagrams. Row i of the result has the addresses at which gateway i reaches each other gateway, and from
     * which it receives that gateway's datagrams; at index i is its own address.
     */
    List<List<InetSocketAddress>> openDatagramRelays(List<InetSocketAddress> gatewayAddresses, int[] zoneOf)
            throws InterruptedException {
        int n = gatewayAddresses.size();
        datagramChannels = new Channel[n][n];
        List<List<InetSocketAddress>> rows = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            List<InetSocketAddress> row = new ArrayList<>();
            for (int j = 0; j < n; j++) {
                if (i == j) {
                    row.add(gatewayAddresses.get(i));
                    continue;
                }
                int sender = i;
                int receiver = j;
                datagramChannels[i][j] = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                                forwardDatagram(sender, receiver, zoneOf, gatewayAddresses, packet);
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) { }
                        }).bind("127.0.0.1", 0).sync().channel();
                listeners.add(datagramChannels[i][j]);
                row.add((InetSocketAddress) datagramChannels[i][j].localAddress());
            }
            rows.add(row);
        }
        return rows;
    }

    /** Forwards a datagram from gateway i to gateway j, out of the socket that represents i at j; it may be delayed or lost. */
    private void forwardDatagram(int sender, int receiver, int[] zoneOf, List<InetSocketAddress> gatewayAddresses,
            DatagramPacket packet) {
        Link link = links[zoneOf[sender]][zoneOf[receiver]];
        if (!link.datagramsEnabled || random.nextDouble() < link.lossFraction) {
            return;
        }
        DatagramPacket forwarded = new DatagramPacket(packet.content().retain(), gatewayAddresses.get(receiver));
        loop.schedule(() -> datagramChannels[receiver][sender].writeAndFlush(forwarded), link.delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Cuts or restores one direction between two zones. Stream data that is held back is forwarded once it is restored. */
    void setCut(int fromZone, int toZone, boolean cutStreams, boolean cutDatagrams) {
        loop.execute(() -> {
            links[fromZone][toZone].streamsEnabled = !cutStreams;
            links[fromZone][toZone].datagramsEnabled = !cutDatagrams;
            List.copyOf(relays).forEach(StreamRelay::update);
        });
    }

    /** Sets the delay each way, and the fraction of datagrams lost, between all pairs of different zones. */
    void setDelay(long delayMillis, double lossFraction) {
        loop.execute(() -> {
            for (int from = 0; from < links.length; from++) {
                for (int to = 0; to < links.length; to++) {
                    links[from][to].delayMillis = from == to ? 0 : delayMillis;
                    links[from][to].lossFraction = from == to ? 0 : lossFraction;
                }
            }
        });
    }

    /** Returns the event loop of the network. */
    EventLoop loop() {
        return loop;
    }

    /** Closes all relays. */
    void close() {
        listeners.forEach(Channel::close);
        loop.execute(() -> List.copyOf(relays).forEach(relay -> relay.gatewayChannel.close()));
    }

    /** A connection from a gateway through the network to a node. */
    private final class StreamRelay {
        private final Channel gatewayChannel;
        private final InetSocketAddress nodeAddress;
        private final int fromZone;
        private final int toZone;
        /** Connection to the node; null until the link to its zone is open. */
        private Channel nodeChannel;
        private final Direction towardNode = new Direction();
        private final Direction towardGateway = new Direction();

        StreamRelay(Channel gatewayChannel, InetSocketAddress nodeAddress, int fromZone, int toZone) {
            this.gatewayChannel = gatewayChannel;
            this.nodeAddress = nodeAddress;
            this.fromZone = fromZone;
            this.toZone = toZone;
            gatewayChannel.pipeline().addLast(towardNode);
            gatewayChannel.closeFuture().addListener(closed -> {
                relays.remove(this);
                if (nodeChannel != null) {
                    nodeChannel.close();
                }
            });
            // Deferred, since the channel is not registered yet.
            loop.execute(this::update);
        }

        /** Connects to the node if the link is open, and forwards the data that may pass. */
        void update() {
            if (nodeChannel == null && links[fromZone][toZone].streamsEnabled && gatewayChannel.isActive()) {
                nodeChannel = new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false).handler(towardGateway).connect(nodeAddress)
                        .addListener(connected -> {
                            if (connected.isSuccess()) {
                                update();
                            } else {
                                gatewayChannel.close();
                            }
                        }).channel();
                nodeChannel.closeFuture().addListener(closed -> towardNode.closeDelayed(gatewayChannel));
            }
            if (nodeChannel != null && nodeChannel.isActive()) {
                towardNode.forwardPending(nodeChannel, links[fromZone][toZone]);
                towardGateway.forwardPending(gatewayChannel, links[toZone][fromZone]);
                gatewayChannel.config().setAutoRead(links[fromZone][toZone].streamsEnabled);
                nodeChannel.config().setAutoRead(links[toZone][fromZone].streamsEnabled);
            }
        }

        /** One direction of the connection; it holds data that may not pass yet. */
        private final class Direction extends ChannelInboundHandlerAdapter {
            private final ArrayDeque<Object> pendingData = new ArrayDeque<>();

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                pendingData.add(bytes);
                update();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }

            /** Forwards the pending data, with the link's delay, while the link is open. */
            void forwardPending(Channel target, Link link) {
                while (link.streamsEnabled && !pendingData.isEmpty()) {
                    Object data = pendingData.poll();
                    if (link.delayMillis == 0) {
                        target.writeAndFlush(data).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
                    } else {
                        loop.schedule(() -> target.writeAndFlush(data), link.delayMillis, TimeUnit.MILLISECONDS);
                    }
                }
            }

            /** Closes the gateway's side after the node's side has closed, delayed so that data in flight arrives first. */
            void closeDelayed(Channel channel) {
                pendingData.forEach(ReferenceCountUtil::release);
                pendingData.clear();
                loop.schedule(() -> channel.close(), links[toZone][fromZone].delayMillis, TimeUnit.MILLISECONDS);
            }
        }
    }
}
