package cinderhollow.daemon;

import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.ZoneStatus;
import cinderhollow.handover.Snapshot;
import cinderhollow.ledger.LedgerMetrics;
import cinderhollow.ops.GatewayStats;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The control interface of a process's gateway, on one event loop or on several. All methods may be called from any thread.
 */
interface GatewayService {
    /** Starts to accept clients. The future completes once the gateway listens, or exceptionally if it cannot. */
    CompletableFuture<?> listen();

    /**
     * Completes {@code promise} with {@code result} once {@code done} has succeeded, or with its cause if it fails. Returns
     * {@code promise}.
     */
    static <T> CompletableFuture<T> completeWhenDone(CompletableFuture<T> promise, Future<?> done, T result) {
        done.addListener(future -> {
            if (future.isSuccess()) {
                promise.complete(result);
            } else {
                promise.completeExceptionally(future.cause());
            }
        });
        return promise;
    }

    /** Returns whether client requests are accepted. */
    CompletableFuture<Boolean> isServing();

    /** Returns the statistics for the operators' socket, all taken at one instant. */
    CompletableFuture<GatewayStats> stats();

    /** Turns standby on (clients are sent to other gateways) or off; nothing else changes. */
    CompletableFuture<Void> setStandby(boolean enabled);

    /** Returns a snapshot of what this gateway has learned, for a successor process. */
    CompletableFuture<Snapshot> snapshot();

    /** Restores what another process of this gateway has learned. */
    CompletableFuture<Void> restore(Snapshot snapshot);

    /** Notes that one more ({@code begins}), or one fewer, process of this same gateway serves beside this one. */
    void updateOverlap(boolean begins);

    /** Returns the address that clients connect to. */
    InetSocketAddress address();

    /** Returns the state of each event loop that serves clients. Does not wait for the loops. */
    List<ShutdownMonitor.LoopState> loopStates();

    /** Shuts down gracefully: answers every accepted request, then completes the future. */
    CompletableFuture<Void> shutDown();

    /** Returns the ledger figures of each event loop; empty where no ledger is kept. */
    CompletableFuture<List<LedgerMetrics>> ledgerMetrics();

    /** Marks the ledger breaches found so far as seen, so that they are no longer reported as new. */
    CompletableFuture<Void> acknowledgeBreaches();

    /**
     * Applies the settings and the discovery address of a reloaded configuration at one instant; everything else in it takes
     * effect only at a start. The endpoint list and the open requests stay, and requests keep the class they arrived with.
     * The future completes once the configuration is in force. For a configuration that cannot be applied there is an {@link
     * IllegalArgumentException}, and nothing has changed.
     */
    CompletableFuture<Void> reconfigure(GatewayConfig next);

    /** Returns the state of the fleet's zones, or null where this gateway has no peers. */
    CompletableFuture<ZoneStatus> zoneStatus();

    /**
     * Gives the whole fleet an order about a zone, valid for {@code forMillis} milliseconds. An invalid order completes the
     * future with an {@link IllegalArgumentException}.
     */
    CompletableFuture<Void> order(String zone, Order.Action what, long forMillis);

    /** Counts a reload that was rejected because its file was not usable. */
    void recordRejectedConfig();
}
