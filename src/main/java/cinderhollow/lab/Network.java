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
final class Network {
    /** State of the network from one zone to another. */
    private static final class Way {
        private boolean streams = true;
        private boolean datagrams = true;
        private long delayMillis;
        private double loss;
    }

    private final EventLoop loop;
    private final Way[][] ways;
    private final SplittableRandom random;
    private final List<Channel> listeners = new ArrayList<>();
    private final Set<Pipe> pipes = new LinkedHashSet<>();
    private Channel[][] wires = new Channel[0][0];

    Network(EventLoop loop, int zones, long seed) {
        this.loop = loop;
        ways = new Way[zones][zones];
        for (Way[] row : ways) {
            for (int i = 0; i < zones; i++) {
                row[i] = new Way();
            }
        }
        random = new SplittableRandom(seed);
    }

    /** Opens a relay and returns the address at which the gateways of a zone reach a node. */
    InetSocketAddress stream(int from, int to, InetSocketAddress node) throws InterruptedException {
        Channel listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        pipes.add(new Pipe(near, node, from, to));
                    }
                }).bind("127.0.0.1", 0).sync().channel();
        listeners.add(listener);
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Opens relays for datagrams. Row i of the result has the addresses at which gateway i reaches each other gateway, and from
     * which it receives that gateway's datagrams; at index i is its own address.
     */
    List<List<InetSocketAddress>> datagrams(List<InetSocketAddress> gateways, int[] zoneOf) throws InterruptedException {
        int n = gateways.size();
        wires = new Channel[n][n];
        List<List<InetSocketAddress>> rows = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            List<InetSocketAddress> row = new ArrayList<>();
            for (int j = 0; j < n; j++) {
                if (i == j) {
                    row.add(gateways.get(i));
                    continue;
                }
                int from = i;
                int to = j;
                wires[i][j] = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                        .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                                carry(from, to, zoneOf, gateways, packet);
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) { }
                        }).bind("127.0.0.1", 0).sync().channel();
                listeners.add(wires[i][j]);
                row.add((InetSocketAddress) wires[i][j].localAddress());
            }
            rows.add(row);
        }
        return rows;
    }

    /** Forwards a datagram from gateway i to gateway j, out of the socket that represents i at j; it may be delayed or lost. */
    private void carry(int i, int j, int[] zoneOf, List<InetSocketAddress> gateways, DatagramPacket packet) {
        Way way = ways[zoneOf[i]][zoneOf[j]];
        if (!way.datagrams || random.nextDouble() < way.loss) {
            return;
        }
        DatagramPacket onward = new DatagramPacket(packet.content().retain(), gateways.get(j));
        loop.schedule(() -> wires[j][i].writeAndFlush(onward), way.delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Cuts or restores one direction between two zones. Stream data that is held back is forwarded once it is restored. */
    void cut(int from, int to, boolean streams, boolean datagrams) {
        loop.execute(() -> {
            ways[from][to].streams = !streams;
            ways[from][to].datagrams = !datagrams;
            List.copyOf(pipes).forEach(Pipe::look);
        });
    }

    /** Sets the delay each way, and the fraction of datagrams lost, between all pairs of different zones. */
    void delay(long millis, double loss) {
        loop.execute(() -> {
            for (int from = 0; from < ways.length; from++) {
                for (int to = 0; to < ways.length; to++) {
                    ways[from][to].delayMillis = from == to ? 0 : millis;
                    ways[from][to].loss = from == to ? 0 : loss;
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
        loop.execute(() -> List.copyOf(pipes).forEach(pipe -> pipe.near.close()));
    }

    /** A connection from a gateway through the network to a node. */
    private final class Pipe {
        private final Channel near;
        private final InetSocketAddress node;
        private final int from;
        private final int to;
        /** Connection to the node; null until the link to its zone is open. */
        private Channel far;
        private final End out = new End();
        private final End back = new End();

        Pipe(Channel near, InetSocketAddress node, int from, int to) {
            this.near = near;
            this.node = node;
            this.from = from;
            this.to = to;
            near.pipeline().addLast(out);
            near.closeFuture().addListener(closed -> {
                pipes.remove(this);
                if (far != null) {
                    far.close();
                }
            });
            // Deferred, since the channel is not registered yet.
            loop.execute(this::look);
        }

        /** Connects to the node if the link is open, and forwards the data that may pass. */
        void look() {
            if (far == null && ways[from][to].streams && near.isActive()) {
                far = new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false).handler(back).connect(node)
                        .addListener(up -> {
                            if (up.isSuccess()) {
                                look();
                            } else {
                                near.close();
                            }
                        }).channel();
                far.closeFuture().addListener(closed -> out.passClose(near));
            }
            if (far != null && far.isActive()) {
                out.flow(far, ways[from][to]);
                back.flow(near, ways[to][from]);
                near.config().setAutoRead(ways[from][to].streams);
                far.config().setAutoRead(ways[to][from].streams);
            }
        }

        /** One direction of the connection; it holds data that may not pass yet. */
        private final class End extends ChannelInboundHandlerAdapter {
            private final ArrayDeque<Object> waiting = new ArrayDeque<>();

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                waiting.add(bytes);
                look();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }

            /** Forwards the pending data, with the link's delay, while the link is open. */
            void flow(Channel other, Way way) {
                while (way.streams && !waiting.isEmpty()) {
                    Object next = waiting.poll();
                    if (way.delayMillis == 0) {
                        other.writeAndFlush(next).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
                    } else {
                        loop.schedule(() -> other.writeAndFlush(next), way.delayMillis, TimeUnit.MILLISECONDS);
                    }
                }
            }

            /** Closes the gateway's side after the node's side has closed, delayed so that data in flight arrives first. */
            void passClose(Channel side) {
                waiting.forEach(ReferenceCountUtil::release);
                waiting.clear();
                loop.schedule(() -> side.close(), ways[to][from].delayMillis, TimeUnit.MILLISECONDS);
            }
        }
    }
}
