package cinderhollow.ops;

import java.util.concurrent.CompletableFuture;

/** What the door asks of a gateway. From any thread; each answer is of one instant of the gateway's own. */
public interface Desk {
    /** Whether this process can serve. */
    CompletableFuture<Boolean> serves();

    /** The figures now. */
    CompletableFuture<Standing> standing();

    /** Empties the gateway of clients, or takes clients again. */
    CompletableFuture<Void> standby(boolean empty);
}
