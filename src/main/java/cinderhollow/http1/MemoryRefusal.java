package cinderhollow.http1;

import java.net.SocketAddress;

/**
 * A request that was refused because what it holds, or would hold, in the heap is more than its connection may.
 *
 * @param client address of the client
 * @param stage how much of the request had been received
 * @param requestBytes what the request costs in the heap, or would have cost with the first field that was dropped, in bytes
 * @param connectionBytes what its connection holds, in bytes
 */
public record MemoryRefusal(SocketAddress client, Stage stage, long requestBytes, long connectionBytes) {
    /** How much of a request had been received when it was refused. */
    public enum Stage {
        /** A part of its head. */
        HEAD_UNFINISHED("a head that is not finished"),
        /** Its head, and its body as far as it is not forwarded as it arrives. */
        RECEIVED("a request"),
        /** All of it, and more behind it than can be held. */
        INPUT_BEHIND_UNREAD("a request with more unread behind it");

        private final String description;

        Stage(String description) {
            this.description = description;
        }
    }

    @Override
    public String toString() {
        return stage.description + " of client " + client + ", with " + requestBytes + " bytes of heap; its connection holds "
                + connectionBytes;
    }
}
