package cinderhollow.http1;

/** What one connection makes the process hold in the heap, by its use, as a part of the sum of {@link ClientHeapBudget}. */
final class ConnectionHeap {
    private static final int USES = ClientHeapUse.values().length;

    private final ClientHeapBudget budget;
    private final long[] bytesByUse = new long[USES];
    private long heldBytes;
    private boolean released;

    ConnectionHeap(ClientHeapBudget budget) {
        this.budget = budget;
    }

    /** Sets what the connection holds for one use, in bytes. */
    void set(ClientHeapUse use, long bytes) {
        if (released) {
            return;
        }
        long added = bytes - bytesByUse[use.ordinal()];
        bytesByUse[use.ordinal()] = bytes;
        heldBytes += added;
        budget.add(use, added);
    }

    /** Returns what the connection holds in all, in bytes. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns whether the request that is being received may cost so many bytes, which then count. */
    boolean tryHoldRequest(long bytes) {
        boolean allowed = !released && budget.allowsRequest(bytes);
        if (allowed) {
            set(ClientHeapUse.UNFINISHED_HEADS, bytes);
        }
        return allowed;
    }

    /** Returns how many bytes of further input may wait; 0 or less if none may. */
    long freeInputBytes() {
        return budget.inputAllowance() - bytesByUse[ClientHeapUse.WAITING_INPUT.ordinal()];
    }

    /** Subtracts everything that the connection holds, which has ended. Nothing counts from now on. */
    void release() {
        for (ClientHeapUse use : ClientHeapUse.values()) {
            set(use, 0);
        }
        released = true;
    }
}
