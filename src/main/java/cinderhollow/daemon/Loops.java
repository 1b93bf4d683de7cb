package cinderhollow.daemon;

import cinderhollow.core.Transport;
import cinderhollow.http1.Acceptor;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.ZoneStanding;
import cinderhollow.handover.Snapshot;
import cinderhollow.ledger.Figures;
import cinderhollow.ops.Standing;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Several gateways in one process, each on an event loop of its own with its own decisions, clients and connections.
 * They share the list of nodes, which the first one follows for all, and the listener, and nothing else: the module's
 * limits, trials and cold budgets go by how many gateways there are, and each loop counts as one.
 */
final class Loops implements Serving {
    private final List<Gateway> gateways;
    private final SocketAddress listen;
    /** Null where each loop listens for itself. */
    private final Acceptor acceptor;
    private final Inherited inherited;
    private volatile boolean listening;

    private Loops(List<Gateway> gateways, GatewayConfig config, EventLoop accepting) {
        this.gateways = List.copyOf(gateways);
        listen = config.listen();
        inherited = config.inherited();
        acceptor = config.scale().eachListens() ? null
                : new Acceptor(accepting, gateways.stream().map(Gateway::clients).toList());
    }

    /** As {@link Gateway#open}; the group has one loop more than there are gateways, which accepts. */
    static CompletableFuture<Serving> open(EventLoopGroup group, GatewayConfig config, Transport transport,
                                           Consumer<String> log) {
        List<CompletableFuture<Gateway>> opened = new ArrayList<>();
        for (int i = 0; i < config.scale().loops(); i++) {
            String name = "loop " + i + ": ";
            opened.add(Gateway.open(group.next(), config.loop(i), transport, line -> log.accept(name + line)));
        }
        return all(opened).thenApply(none -> {
            List<Gateway> gateways = opened.stream().map(CompletableFuture::join).toList();
            gateways.get(0).leads(gateways.subList(1, gateways.size()));
            return new Loops(gateways, config, group.next());
        });
    }

    private static CompletableFuture<Void> all(List<? extends CompletableFuture<?>> futures) {
        return CompletableFuture.allOf(futures.toArray(CompletableFuture<?>[]::new));
    }

    @Override
    public CompletableFuture<?> listen() {
        return listenAll().thenRun(() -> {
            gateways.forEach(Gateway::listened);
            listening = true;
        });
    }

    private CompletableFuture<?> listenAll() {
        if (acceptor == null) {
            // The first's port is the others': it may have been left to the system.
            return gateways.get(0).listen().thenCompose(first -> all(gateways.stream().skip(1)
                    .map(gateway -> gateway.listen(first.address())).toList()));
        }
        return Serving.tell(new CompletableFuture<>(), inherited == null ? acceptor.listen(listen)
                : acceptor.listen(inherited.listener(), inherited.first()), this);
    }

    @Override
    public InetSocketAddress address() {
        return acceptor == null ? gateways.get(0).address() : (InetSocketAddress) acceptor.address();
    }

    /** All serve on for the same time; the listener closes with the first that takes in no more. */
    @Override
    public CompletableFuture<Void> end() {
        if (acceptor != null) {
            gateways.forEach(gateway -> gateway.stopsWith(acceptor));
        }
        return all(gateways.stream().map(Gateway::end).toList());
    }

    @Override
    public CompletableFuture<List<Figures>> figures() {
        List<CompletableFuture<List<Figures>>> each = gateways.stream().map(Gateway::figures).toList();
        return all(each).thenApply(none -> each.stream().flatMap(figures -> figures.join().stream()).toList());
    }

    /** The list comes to the first one first. */
    @Override
    public CompletableFuture<Boolean> serves() {
        List<CompletableFuture<Boolean>> each = gateways.stream().map(Gateway::serves).toList();
        return all(each).thenApply(none -> listening && each.stream().allMatch(CompletableFuture::join));
    }

    @Override
    public CompletableFuture<Standing> standing() {
        List<CompletableFuture<Standing>> each = gateways.stream().map(Gateway::standing).toList();
        return all(each).thenApply(none -> each.stream().map(CompletableFuture::join).reduce(Standing::plus).orElseThrow());
    }

    @Override
    public CompletableFuture<Void> standby(boolean empty) {
        return all(gateways.stream().map(gateway -> gateway.standby(empty)).toList());
    }

    /** What one loop has learnt is as good for each of the successor's. */
    @Override
    public CompletableFuture<Snapshot> snapshot() {
        return gateways.get(0).snapshot();
    }

    @Override
    public CompletableFuture<Void> recall(Snapshot from) {
        return all(gateways.stream().map(gateway -> gateway.recall(from)).toList());
    }

    @Override
    public void overlap(boolean begins) {
        gateways.forEach(gateway -> gateway.overlap(begins));
    }

    @Override
    public CompletableFuture<Void> acknowledge() {
        return all(gateways.stream().map(Gateway::acknowledge).toList());
    }

    /** Each loop at an instant of its own: they share no request. */
    @Override
    public CompletableFuture<Void> retune(GatewayConfig next) {
        gateways.forEach(gateway -> gateway.checkRoutes(next));
        return all(IntStream.range(0, gateways.size())
                .mapToObj(i -> gateways.get(i).retune(next.loop(i))).toList());
    }

    /** Several loops talk with nobody. */
    @Override
    public CompletableFuture<ZoneStanding> zones() {
        return gateways.get(0).zones();
    }

    @Override
    public CompletableFuture<Void> order(String zone, Order.What what, long forMillis) {
        return gateways.get(0).order(zone, what, forMillis);
    }

    @Override
    public void turnedDown() {
        gateways.forEach(Gateway::turnedDown);
    }
}
