package cinderhollow.lab;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A stand-in for discovery. It serves the whole list and watches of its changes, with empty lines as keep-alive, and simulates
 * outages and moves to another address. Each gateway has an address of its own, so that notifications are recorded by gateway.
 */
final class StandInDiscovery {
    /** Status of a node in the list. */
    enum Status {
        UP("up"), DRAINING("draining"), REMOVED("removed");

        private final String wireName;

        Status(String wireName) {
            this.wireName = wireName;
        }
    }

    /** A node in the list. */
    private static final class Entry {
        /** The address for the gateways of each zone, or a single one for all zones. */
        private final List<String> addresses;
        private final Auditor.NodeLocation location;
        private Status status = Status.UP;
        private long startedAtMillis;
        private long version = 1;

        Entry(List<String> addresses, Auditor.NodeLocation location) {
            this.addresses = addresses;
            this.location = location;
        }
    }

    private static final long KEEP_ALIVE_LINE_MILLIS = 2_000, OLD_WATCH_GRACE_MILLIS = 1_500;
    private static final int MAX_REQUEST_BYTES = 8 * 1024;

    private final EventLoop loop;
    private final Consumer<Observation> observer;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Channel> acceptors = new ArrayList<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private long index = 1;
    private boolean down;

    StandInDiscovery(EventLoop loop, Consumer<Observation> observer) {
        this.loop = loop;
        this.observer = observer;
        loop.scheduleWithFixedDelay(() -> watches.forEach(watch -> watch.writeChunk("\n")),
                KEEP_ALIVE_LINE_MILLIS, KEEP_ALIVE_LINE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Adds a node that has long been up, with one address for all zones or one for each. Call it before the start only. */
    void addNode(List<InetSocketAddress> addresses, Auditor.NodeLocation location) {
        entries.add(new Entry(addresses.stream().map(StandInDiscovery::formatAddress).toList(), location));
    }

    /** Formats an address as host:port. */
    static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Opens a new address for each gateway and returns them. The previous addresses accept no more connections, and their watches
     * are closed after a grace.
     */
    List<String> openListeners(int gateways) throws InterruptedException {
        List<Channel> oldAcceptors = List.copyOf(acceptors);
        acceptors.clear();
        oldAcceptors.forEach(Channel::close);
        loop.execute(() -> {
            List<Watch> oldWatches = List.copyOf(watches);
            loop.schedule(() -> oldWatches.forEach(watch -> watch.channel.close()), OLD_WATCH_GRACE_MILLIS,
                    TimeUnit.MILLISECONDS);
        });
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            int gateway = i;
            Channel acceptor = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                    new RequestHandler(gateway));
                        }
                    }).bind("127.0.0.1", 0).sync().channel();
            acceptors.add(acceptor);
            addresses.add(formatAddress((InetSocketAddress) acceptor.localAddress()));
        }
        return addresses;
    }

    /** Returns the current list for this gateway, as a snapshot message of discovery. */
    Map<String, Object> buildSnapshot(int gateway) {
        return buildMessage(gateway, true, 0);
    }

    /** Sets a node's status and start time (Unix time in milliseconds, or 0 if unknown), and notifies all watches. */
    void updateStatus(int node, Status status, long startedAtMillis) {
        loop.execute(() -> {
            Entry entry = entries.get(node);
            entry.status = status;
            entry.startedAtMillis = startedAtMillis;
            entry.version = ++index;
            watches.forEach(watch -> watch.sendChanges(index - 1));
        });
    }

    /** Starts an outage, in which calls get 503 and all watches are closed, or ends it. */
    void setOutage(boolean active) {
        loop.execute(() -> {
            down = active;
            if (active) {
                List.copyOf(watches).forEach(watch -> watch.channel.close());
            }
        });
    }

    /** Closes all listeners and watches. */
    void close() {
        acceptors.forEach(Channel::close);
        loop.execute(() -> List.copyOf(watches).forEach(watch -> watch.channel.close()));
    }

    private Map<String, Object> buildMessage(int gateway, boolean snapshot, long sinceIndex) {
        List<Map<String, Object>> endpoints = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (snapshot ? entry.status != Status.REMOVED : entry.version > sinceIndex) {
                Map<String, Object> fields = new LinkedHashMap<>();
                fields.put("name", LabNames.nodeName(i));
                fields.put("address", entry.addresses.get(FleetConfig.zoneOf(gateway) % entry.addresses.size()));
                fields.put("zone", entry.location.zone());
                fields.put("type", "std");
                fields.put("group", entry.location.cell());
                fields.put("status", entry.status.wireName);
                fields.put("weight", 1.0);
                fields.put("since_ms", entry.startedAtMillis);
                endpoints.add(fields);
            }
        }
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("index", index);
        message.put("snapshot", snapshot);
        message.put("endpoints", endpoints);
        return message;
    }

    /** Formats a map as JSON. */
    static String toJson(Map<String, Object> message) {
        try {
            return JSON.std.asString(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What a message says of a node. */
    private record NodeUpdate(int node, boolean up, boolean hasStartTime) { }

    /** Returns what a message says of nodes. It is kept until the message is written, since the list may change meanwhile. */
    private List<NodeUpdate> nodeUpdates(boolean snapshot, long sinceIndex) {
        List<NodeUpdate> updates = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (snapshot || entry.version > sinceIndex) {
                updates.add(new NodeUpdate(i, entry.status == Status.UP, entry.startedAtMillis > 0));
            }
        }
        return updates;
    }

    /** Reports the updates as notified to the gateway, as of now: it is called once the message has been written. */
    private void recordNotified(int gateway, List<NodeUpdate> updates) {
        long nowNanos = System.nanoTime();
        for (NodeUpdate update : updates) {
            observer.accept(new Observation.ReadinessNotified(nowNanos, gateway, update.node, update.up));
            if (update.hasStartTime) {
                observer.accept(new Observation.StartNotified(nowNanos, gateway, update.node));
            }
        }
    }

    /** Answers the calls of a gateway on one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int gateway;
        private Watch watch;

        RequestHandler(int gateway) {
            this.gateway = gateway;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (down || !query.path().equals("/v1/endpoints")) {
                writeResponse(ctx, down ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NOT_FOUND, "no");
            } else if (query.parameters().containsKey("follow")) {
                watch = new Watch(ctx.channel(), gateway);
                watches.add(watch);
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set("Transfer-Encoding", "chunked");
                ctx.write(head);
                watch.sendChanges(parseSince(query));
            } else {
                writeResponse(ctx, HttpResponseStatus.OK, toJson(buildSnapshot(gateway)));
                recordNotified(gateway, nodeUpdates(true, 0));
            }
        }

        private long parseSince(QueryStringDecoder query) {
            try {
                long sinceIndex = Long.parseLong(query.parameters().getOrDefault("since", List.of("0")).get(0));
                return sinceIndex > index ? 0 : sinceIndex;
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void writeResponse(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
            ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().setInt("Content-Length", body.readableBytes());
            ctx.writeAndFlush(answer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.remove(watch);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A watch of the list by a gateway. */
    private final class Watch {
        private final Channel channel;
        private final int gateway;

        Watch(Channel channel, int gateway) {
            this.channel = channel;
            this.gateway = gateway;
        }

        /** Sends the changes since this index, or the whole list for index 0. */
        void sendChanges(long sinceIndex) {
            boolean snapshot = sinceIndex == 0;
            List<NodeUpdate> updates = nodeUpdates(snapshot, sinceIndex);
            writeChunk(toJson(buildMessage(gateway, snapshot, sinceIndex)) + "\n")
                    .addListener((ChannelFutureListener) written -> {
                if (written.isSuccess()) {
                    recordNotified(gateway, updates);
                }
            });
        }

        /** Writes a line as a chunk of the answer. */
        ChannelFuture writeChunk(String line) {
            return channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
        }
    }
}
