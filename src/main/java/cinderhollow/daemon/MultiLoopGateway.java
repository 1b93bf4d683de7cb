package cinderhollow.daemon;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.Transport;
import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.ZoneStatus;
import cinderhollow.handover.Snapshot;
import cinderhollow.http1.Acceptor;
import cinderhollow.ledger.LedgerMetrics;
import cinderhollow.ops.GatewayStats;
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
final class MultiLoopGateway implements GatewayService {
    private final List<Gateway> gateways;
    private final SocketAddress listenAddress;
    /** Null where each loop has its own listener. */
    private final Acceptor acceptor;
    private final InheritedListener inheritedListener;
    private volatile boolean listening;
    /** Whether another process of this gateway serves beside this one. */
    private volatile boolean overlapping;

    private MultiLoopGateway(List<Gateway> gateways, GatewayConfig config, EventLoop acceptLoop) {
        this.gateways = List.copyOf(gateways);
        listenAddress = config.listenAddress();
        inheritedListener = config.inheritedListener();
        acceptor = config.eventLoops().listenerPerLoop() ? null
                : new Acceptor(acceptLoop, gateways.stream().map(Gateway::downstream).toList());
    }

    /**
     * Opens the gateways, like {@link Gateway#openRequests}. The group has one loop more than there are gateways, which accepts
     * connections.
     */
    static CompletableFuture<GatewayService> open(EventLoopGroup group, GatewayConfig config, Transport transport,
                                           Consumer<String> log) {
        List<CompletableFuture<Gateway>> opened = new ArrayList<>();
        for (int i = 0; i < config.eventLoops().loopCount(); i++) {
            String name = "loop " + i + ": ";
            opened.add(Gateway.open(group.next(), config.forLoop(i), transport, line -> log.accept(name + line)));
        }
        return allOf(opened).thenApply(none -> {
            List<Gateway> gateways = opened.stream().map(CompletableFuture::join).toList();
            gateways.get(0).setFollowers(gateways.subList(1, gateways.size()));
            return new MultiLoopGateway(gateways, config, group.next());
        });
    }

    private static CompletableFuture<Void> allOf(List<? extends CompletableFuture<?>> futures) {
        return CompletableFuture.allOf(futures.toArray(CompletableFuture<?>[]::new));
    }

    @Override
    public CompletableFuture<?> listen() {
        return listenAll().thenRun(() -> {
            gateways.forEach(Gateway::markListening);
            listening = true;
        });
    }

    private CompletableFuture<?> listenAll() {
        if (acceptor == null) {
            // The others use the first one's port, which the system may have chosen.
            return gateways.get(0).listen().thenCompose(first -> allOf(gateways.stream().skip(1)
                    .map(gateway -> gateway.listen(first.address())).toList()));
        }
        return GatewayService.completeWhenDone(new CompletableFuture<>(), inheritedListener == null
                ? acceptor.listen(listenAddress)
                : acceptor.listen(inheritedListener.backlog(new GatewayClock(), overlapping)), this);
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
            gateways.forEach(gateway -> gateway.setSharedAcceptor(acceptor));
        }
        return allOf(gateways.stream().map(Gateway::shutDown).toList());
    }

    @Override
    public List<ShutdownMonitor.LoopState> loopStates() {
        return gateways.stream().flatMap(gateway -> gateway.loopStates().stream()).toList();
    }

    @Override
    public CompletableFuture<List<LedgerMetrics>> ledgerMetrics() {
        List<CompletableFuture<List<LedgerMetrics>>> each = gateways.stream().map(Gateway::ledgerMetrics).toList();
        return allOf(each).thenApply(none -> each.stream().flatMap(figures -> figures.join().stream()).toList());
    }

    /** All loops must be serving: the endpoint list reaches the first loop first. */
    @Override
    public CompletableFuture<Boolean> isServing() {
        List<CompletableFuture<Boolean>> each = gateways.stream().map(Gateway::isServing).toList();
        return allOf(each).thenApply(none -> listening && each.stream().allMatch(CompletableFuture::join));
    }

    @Override
    public CompletableFuture<GatewayStats> stats() {
        List<CompletableFuture<GatewayStats>> each = gateways.stream().map(Gateway::stats).toList();
        return allOf(each).thenApply(none -> each.stream().map(CompletableFuture::join).reduce(GatewayStats::plus).orElseThrow());
    }

    @Override
    public CompletableFuture<Void> setStandby(boolean enabled) {
        return allOf(gateways.stream().map(gateway -> gateway.setStandby(enabled)).toList());
    }

    /** Returns the first loop's snapshot: what one loop has learned is valid for each loop of the successor. */
    @Override
    public CompletableFuture<Snapshot> snapshot() {
        return gateways.get(0).snapshot();
    }

    @Override
    public CompletableFuture<Void> restore(Snapshot snapshot) {
        return allOf(gateways.stream().map(gateway -> gateway.restore(snapshot)).toList());
    }

    @Override
    public void updateOverlap(boolean begins) {
        overlapping = begins;
        gateways.forEach(gateway -> gateway.updateOverlap(begins));
    }

    @Override
    public CompletableFuture<Void> acknowledgeBreaches() {
        return allOf(gateways.stream().map(Gateway::acknowledgeBreaches).toList());
    }

    /** Each loop applies the configuration at its own instant, since they share no request. */
    @Override
    public CompletableFuture<Void> reconfigure(GatewayConfig next) {
        gateways.forEach(gateway -> gateway.checkRoutes(next));
        return allOf(IntStream.range(0, gateways.size())
                .mapToObj(i -> gateways.get(i).reconfigure(next.forLoop(i))).toList());
    }

    /** Returns the first loop's state: a gateway with several event loops has no peers. */
    @Override
    public CompletableFuture<ZoneStatus> zoneStatus() {
        return gateways.get(0).zoneStatus();
    }

    @Override
    public CompletableFuture<Void> order(String zone, Order.Action what, long forMillis) {
        return gateways.get(0).order(zone, what, forMillis);
    }

    @Override
    public void recordRejectedConfig() {
        gateways.forEach(Gateway::recordRejectedConfig);
    }
}
