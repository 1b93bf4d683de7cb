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

        private final String word;

        Status(String word) {
            this.word = word;
        }
    }

    /** A node in the list. */
    private static final class Entry {
        /** The address for the gateways of each zone, or a single one for all zones. */
        private final List<String> addresses;
        private final Auditor.Place place;
        private Status status = Status.UP;
        private long sinceMillis;
        private long version = 1;

        Entry(List<String> addresses, Auditor.Place place) {
            this.addresses = addresses;
            this.place = place;
        }
    }

    private static final long EMPTY_LINE_MILLIS = 2_000, OLD_WATCH_MILLIS = 1_500;
    private static final int LARGEST_REQUEST = 8 * 1024;

    private final EventLoop loop;
    private final Consumer<Sighting> auditor;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Channel> acceptors = new ArrayList<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private long index = 1;
    private boolean down;

    StandInDiscovery(EventLoop loop, Consumer<Sighting> auditor) {
        this.loop = loop;
        this.auditor = auditor;
        loop.scheduleWithFixedDelay(() -> watches.forEach(watch -> watch.write("\n")),
                EMPTY_LINE_MILLIS, EMPTY_LINE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Adds a node that has long been up, with one address for all zones or one for each. Call it before the start only. */
    void add(List<InetSocketAddress> addresses, Auditor.Place place) {
        entries.add(new Entry(addresses.stream().map(StandInDiscovery::text).toList(), place));
    }

    /** Formats an address as host:port. */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Opens a new address for each gateway and returns them. The previous addresses accept no more connections, and their watches
     * are closed after a grace.
     */
    List<String> open(int gateways) throws InterruptedException {
        List<Channel> old = List.copyOf(acceptors);
        acceptors.clear();
        old.forEach(Channel::close);
        loop.execute(() -> {
            List<Watch> before = List.copyOf(watches);
            loop.schedule(() -> before.forEach(watch -> watch.channel.close()), OLD_WATCH_MILLIS, TimeUnit.MILLISECONDS);
        });
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            int gateway = i;
            Channel acceptor = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(LARGEST_REQUEST),
                                    new Caller(gateway));
                        }
                    }).bind("127.0.0.1", 0).sync().channel();
            acceptors.add(acceptor);
            addresses.add(text((InetSocketAddress) acceptor.localAddress()));
        }
        return addresses;
    }

    /** Returns the current list for this gateway, as a snapshot message of discovery. */
    Map<String, Object> whole(int gateway) {
        return message(gateway, true, 0);
    }

    /** Sets a node's status and start time (Unix time in milliseconds, or 0 if unknown), and notifies all watches. */
    void learn(int node, Status status, long sinceMillis) {
        loop.execute(() -> {
            Entry entry = entries.get(node);
            entry.status = status;
            entry.sinceMillis = sinceMillis;
            entry.version = ++index;
            watches.forEach(watch -> watch.tell(index - 1));
        });
    }

    /** Starts an outage, in which calls get 503 and all watches are closed, or ends it. */
    void outage(boolean on) {
        loop.execute(() -> {
            down = on;
            if (on) {
                List.copyOf(watches).forEach(watch -> watch.channel.close());
            }
        });
    }

    /** Closes all listeners and watches. */
    void close() {
        acceptors.forEach(Channel::close);
        loop.execute(() -> List.copyOf(watches).forEach(watch -> watch.channel.close()));
    }

    private Map<String, Object> message(int gateway, boolean snapshot, long since) {
        List<Map<String, Object>> list = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (snapshot ? entry.status != Status.REMOVED : entry.version > since) {
                Map<String, Object> fields = new LinkedHashMap<>();
                fields.put("name", Names.node(i));
                fields.put("address", entry.addresses.get(FleetConfig.zoneOf(gateway) % entry.addresses.size()));
                fields.put("zone", entry.place.zone());
                fields.put("type", "std");
                fields.put("group", entry.place.cell());
                fields.put("status", entry.status.word);
                fields.put("weight", 1.0);
                fields.put("since_ms", entry.sinceMillis);
                list.add(fields);
            }
        }
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("index", index);
        message.put("snapshot", snapshot);
        message.put("endpoints", list);
        return message;
    }

    /** Formats a map as JSON. */
    static String json(Map<String, Object> message) {
        try {
            return JSON.std.asString(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What a message says of a node. */
    private record News(int node, boolean up, boolean hasStart) { }

    /** Returns what a message says of nodes. It is kept until the message is written, since the list may change meanwhile. */
    private List<News> news(boolean snapshot, long since) {
        List<News> news = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            if (snapshot || entry.version > since) {
                news.add(new News(i, entry.status == Status.UP, entry.sinceMillis > 0));
            }
        }
        return news;
    }

    /** Reports the updates as notified to the gateway, as of now: it is called once the message has been written. */
    private void told(int gateway, List<News> news) {
        long at = System.nanoTime();
        for (News one : news) {
            auditor.accept(new Sighting.Told(at, gateway, one.node, one.up));
            if (one.hasStart) {
                auditor.accept(new Sighting.ToldStart(at, gateway, one.node));
            }
        }
    }

    /** Answers the calls of a gateway on one connection. */
    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int gateway;
        private Watch watch;

        Caller(int gateway) {
            this.gateway = gateway;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (down || !query.path().equals("/v1/endpoints")) {
                plain(ctx, down ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NOT_FOUND, "no");
            } else if (query.parameters().containsKey("follow")) {
                watch = new Watch(ctx.channel(), gateway);
                watches.add(watch);
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set("Transfer-Encoding", "chunked");
                ctx.write(head);
                watch.tell(since(query));
            } else {
                plain(ctx, HttpResponseStatus.OK, json(whole(gateway)));
                told(gateway, news(true, 0));
            }
        }

        private long since(QueryStringDecoder query) {
            try {
                long since = Long.parseLong(query.parameters().getOrDefault("since", List.of("0")).get(0));
                return since > index ? 0 : since;
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void plain(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
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
        void tell(long since) {
            boolean snapshot = since == 0;
            List<News> news = news(snapshot, since);
            write(json(message(gateway, snapshot, since)) + "\n").addListener((ChannelFutureListener) written -> {
                if (written.isSuccess()) {
                    told(gateway, news);
                }
            });
        }

        /** Writes a line as a chunk of the answer. */
        ChannelFuture write(String line) {
            return channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
        }
    }
}
