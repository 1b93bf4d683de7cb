package cinderhollow.daemon;

import cinderhollow.evacuation.Order;
import cinderhollow.evacuation.ZoneStanding;
import cinderhollow.handover.Snapshot;
import cinderhollow.ledger.Figures;
import cinderhollow.ops.Standing;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** What a process serves with, on one event loop or on several. All from any thread. */
interface Serving {
    /** Starts to take clients; the future ends when it does, or tells why it can't. */
    CompletableFuture<?> listen();

    /** Ends with the result when this has succeeded, or tells why it has not. */
    static <T> CompletableFuture<T> tell(CompletableFuture<T> told, Future<?> done, T result) {
        done.addListener(future -> {
            if (future.isSuccess()) {
                told.complete(result);
            } else {
                told.completeExceptionally(future.cause());
            }
        });
        return told;
    }

    /** Whether it takes clients' requests. */
    CompletableFuture<Boolean> serves();

    /** What operators are told, at one instant. */
    CompletableFuture<Standing> standing();

    /** Sends clients away, or takes them again; all else goes on. */
    CompletableFuture<Void> standby(boolean empty);

    /** What a successor need not learn again. */
    CompletableFuture<Snapshot> snapshot();

    /** Takes over what another process of this gateway has learnt. */
    CompletableFuture<Void> recall(Snapshot from);

    /** One more process of this same gateway serves beside this one, or one less. */
    void overlap(boolean begins);

    /** Where clients connect. */
    InetSocketAddress address();

    /** Ends in good order: all that was taken is answered, and then the future is completed. */
    CompletableFuture<Void> end();

    /** What the ledger of each event loop has; empty where nobody keeps account. */
    CompletableFuture<List<Figures>> figures();

    /** The breaches found so far have been seen. */
    CompletableFuture<Void> acknowledge();

    /**
     * Goes over to the settings and to discovery's address in this, at one instant; all else in it counts at a start only.
     * The list and the open requests stay, with the classes that they came with. The future ends when it counts; one that
     * can't be is an {@link IllegalArgumentException}, and then nothing has changed.
     */
    CompletableFuture<Void> retune(GatewayConfig next);

    /** How the fleet stands to its zones, or null where it talks with nobody. */
    CompletableFuture<ZoneStanding> zones();

    /** An order to the whole fleet for so long; one that can't be is an {@link IllegalArgumentException} in the future. */
    CompletableFuture<Void> order(String zone, Order.What what, long forMillis);

    /** A file was of no use. */
    void turnedDown();
}
