package cinderhollow.ops;

import java.util.concurrent.CompletableFuture;

/**
 * Commands that the operators' socket sends to a gateway. The methods may be called from any thread; each result reflects the
 * state of the gateway at one moment.
 */
public interface GatewayControl {
    /** Returns whether this process takes client requests. */
    CompletableFuture<Boolean> isServing();

    /** Returns the current figures of the gateway. */
    CompletableFuture<GatewayStats> stats();

    /** Turns standby on, which makes clients leave this gateway, or off, so that it takes clients again. */
    CompletableFuture<Void> setStandby(boolean enabled);
}
