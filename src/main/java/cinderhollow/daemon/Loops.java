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
 * Several gateways in one process, each on its own event loop with its own policy, clients and connections. They share only
 * the listener and the endpoint list, which the first one follows for all. The policy's limits, trials and cold budgets
 * depend on the number of gateways, and each loop counts as one.
 */
final class Loops implements GatewayService {
    private final List<Gateway> gateways;
    private final SocketAddress listen;
    /** Null where each loop has its own listener. */
    private final Acceptor acceptor;
    private final InheritedListener inherited;
    private volatile boolean listening;

    private Loops(List<Gateway> gateways, GatewayConfig config, EventLoop accepting) {
        this.gateways = List.copyOf(gateways);
        listen = config.listen();
        inherited = config.inherited();
        acceptor = config.scale().eachListens() ? null
                : new Acceptor(accepting, gateways.stream().map(Gateway::clients).toList());
    }

    /**
     * Opens the gateways, like {@link Gateway#open}. The group has one loop more than there are gateways, which accepts
     * connections.
     */
    static CompletableFuture<GatewayService> open(EventLoopGroup group, GatewayConfig config, Transport transport,
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
            // The others use the first one's port, which the system may have chosen.
            return gateways.get(0).listen().thenCompose(first -> all(gateways.stream().skip(1)
                    .map(gateway -> gateway.listen(first.address())).toList()));
        }
        return GatewayService.tell(new CompletableFuture<>(), inherited == null ? acceptor.listen(listen)
                : acceptor.listen(inherited.listener(), inherited.first()), this);
    }

    @Override
    public InetSocketAddress address() {
        return acceptor == null ? gateways.get(0).address() : (InetSocketAddress) acceptor.address();
    }

    /**
     * Shuts all gateways down. All serve on for the same time; the shared listener closes with the first that stops
     * accepting.
     */
    @Override
    public CompletableFuture<Void> shutDown() {
        if (acceptor != null) {
            gateways.forEach(gateway -> gateway.stopsWith(acceptor));
        }
        return all(gateways.stream().map(Gateway::shutDown).toList());
    }

    @Override
    public CompletableFuture<List<Figures>> ledgerMetrics() {
        List<CompletableFuture<List<Figures>>> each = gateways.stream().map(Gateway::ledgerMetrics).toList();
        return all(each).thenApply(none -> each.stream().flatMap(figures -> figures.join().stream()).toList());
    }

    /** All loops must be serving: the endpoint list reaches the first loop first. */
    @Override
    public CompletableFuture<Boolean> isServing() {
        List<CompletableFuture<Boolean>> each = gateways.stream().map(Gateway::isServing).toList();
        return all(each).thenApply(none -> listening && each.stream().allMatch(CompletableFuture::join));
    }

    @Override
    public CompletableFuture<Standing> stats() {
        List<CompletableFuture<Standing>> each = gateways.stream().map(Gateway::stats).toList();
        return all(each).thenApply(none -> each.stream().map(CompletableFuture::join).reduce(Standing::plus).orElseThrow());
    }

    @Override
    public CompletableFuture<Void> setStandby(boolean empty) {
        return all(gateways.stream().map(gateway -> gateway.setStandby(empty)).toList());
    }

    /** Returns the first loop's snapshot: what one loop has learned is valid for each loop of the successor. */
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

    /** Each loop applies the configuration at its own instant, since they share no request. */
    @Override
    public CompletableFuture<Void> reconfigure(GatewayConfig next) {
        gateways.forEach(gateway -> gateway.checkRoutes(next));
        return all(IntStream.range(0, gateways.size())
                .mapToObj(i -> gateways.get(i).reconfigure(next.loop(i))).toList());
    }

    /** Returns the first loop's state: a gateway with several event loops has no peers. */
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
