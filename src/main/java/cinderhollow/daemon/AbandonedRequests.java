package cinderhollow.daemon;

import cinderhollow.http1.ClientHeapBudget;
import cinderhollow.http1.ClientHeapUse;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers for a while the ids of requests that may have run and must not run twice, and whose clients left before the answer: if
 * such an id comes again, nobody knows whether it has had its effect. What this costs in the heap counts in the clients' budget and
 * is bounded; over the bound the oldest ids are forgotten. Belongs to one event loop; times are nanoseconds of one clock.
 */
final class AbandonedRequests {
    /** For how long an id is remembered; longer than clients wait for an answer. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Bound of the heap that the ids take, and what one costs beside its characters, in bytes. */
    private static final long MAX_BYTES = 1 << 20;
    private static final int ENTRY_BYTES = 160;

    private final ClientHeapBudget budget;
    /** When each id was abandoned; the oldest first. */
    private final Map<String, Long> abandonedAt = new LinkedHashMap<>();
    private long heldBytes;

    AbandonedRequests(ClientHeapBudget budget) {
        this.budget = budget;
    }

    /** Remembers an id from now on. */
    void add(String id, long now) {
        if (abandonedAt.putIfAbsent(id, now) == null) {
            count(bytesOf(id));
        }
        forget(now);
    }

    /** Returns whether a request with this id was abandoned a short time ago. */
    boolean contains(String id, long now) {
        forget(now);
        return abandonedAt.containsKey(id);
    }

    private void forget(long now) {
        for (Iterator<Map.Entry<String, Long>> oldest = abandonedAt.entrySet().iterator(); oldest.hasNext();) {
            Map.Entry<String, Long> entry = oldest.next();
            if (now - entry.getValue() < RETENTION_NANOS && heldBytes <= MAX_BYTES) {
                return;
            }
            oldest.remove();
            count(-bytesOf(entry.getKey()));
        }
    }

    private void count(long bytes) {
        heldBytes += bytes;
        budget.add(ClientHeapUse.ABANDONED_IDS, bytes);
    }

    private static long bytesOf(String id) {
        return ENTRY_BYTES + id.length();
    }
}
