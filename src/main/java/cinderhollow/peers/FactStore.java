package cinderhollow.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Store of the newest known version of each fact. Keeps the queue of facts that are still to be gossiped, and checksums by which
 * two members find their differences in a few small datagrams: 256 leaves in 16 groups, each the sum of the hashes of its
 * facts' versions.
 */
final class FactStore {
    static final int GROUPS = 16, LEAVES = GROUPS * GROUPS, CHECKSUM_BYTES = 4;

    /** Fact that is being gossiped, and how often this member has sent it. */
    private static final class QueuedFact {
        private final Fact fact;
        private final int priority;
        private final long sequence;
        private int sendCount;

        QueuedFact(Fact fact, int priority, long sequence) {
            this.fact = fact;
            this.priority = priority;
            this.sequence = sequence;
        }
    }

    private final Map<Integer, FactKind> kindByNumber = new HashMap<>();
    private final Map<Integer, Fact> newestByKey = new HashMap<>();
    private final List<Map<Integer, Fact>> leaves = new ArrayList<>();
    private final int[] leafSums = new int[LEAVES];
    private final Map<Integer, QueuedFact> queuedByKey = new HashMap<>();
    /** Facts to send, ordered by rank, then by fewest sends, then newest first. */
    private final TreeSet<QueuedFact> sendQueue = new TreeSet<>(Comparator.<QueuedFact>comparingInt(r -> r.priority)
            .thenComparingInt(r -> r.sendCount).thenComparingLong(r -> -r.sequence));
    private long nextSequence;

    FactStore(Collection<FactKind> knownKinds) {
        knownKinds.forEach(kind -> kindByNumber.put(kind.number(), kind));
        for (int i = 0; i < LEAVES; i++) {
            leaves.add(new HashMap<>(2));
        }
    }

    boolean isKnownKind(int kind) {
        return kindByNumber.containsKey(kind);
    }

    Fact get(int kind, int subject) {
        return newestByKey.get(kind << 16 | subject);
    }

    List<Fact> ofKind(int kind) {
        return newestByKey.values().stream().filter(fact -> fact.kind() == kind).toList();
    }

    int size() {
        return newestByKey.size();
    }

    /** Stores a fact and queues it for gossip if it is newer than the known version; returns whether it was. */
    boolean putIfNewer(Fact fact) {
        Fact before = newestByKey.get(fact.key());
        if (before != null && before.version() >= fact.version()) {
            return false;
        }
        newestByKey.put(fact.key(), fact);
        FactKind kind = kindByNumber.get(fact.kind());
        if (kind.reconciled()) {
            int leaf = leafOf(fact.key());
            leafSums[leaf] += hash(fact) - (before == null ? 0 : hash(before));
            leaves.get(leaf).put(fact.key(), fact);
        }
        enqueue(fact);
        return true;
    }

    /** Queues a fact for gossip with its send count reset to 0. */
    void enqueue(Fact fact) {
        QueuedFact previous = queuedByKey.remove(fact.key());
        if (previous != null) {
            sendQueue.remove(previous);
        }
        QueuedFact queued = new QueuedFact(fact, kindByNumber.get(fact.kind()).priority(), nextSequence++);
        queuedByKey.put(fact.key(), queued);
        sendQueue.add(queued);
    }

    boolean hasQueued() {
        return !sendQueue.isEmpty();
    }

    /** Appends the queued facts that fit. A fact that has been sent the given number of times is removed from the queue. */
    void writeQueued(ByteCursor to, int maxSends) {
        List<QueuedFact> written = new ArrayList<>();
        for (QueuedFact queued : sendQueue) {
            if (to.remaining() < Fact.HEADER_BYTES) {
                break;
            }
            if (queued.fact.encodedSize() <= to.remaining()) {
                queued.fact.write(to);
                written.add(queued);
            }
        }
        for (QueuedFact queued : written) {
            sendQueue.remove(queued);
            queued.sendCount++;
            if (queued.sendCount < maxSends) {
                sendQueue.add(queued);
            } else {
                queuedByKey.remove(queued.fact.key());
            }
        }
    }

    private static int mix(long bits) {
        // The finaliser of MurmurHash3.
        long h = bits;
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return (int) (h ^ h >>> 33);
    }

    static int leafOf(int key) {
        return mix(key) & LEAVES - 1;
    }

    private static int hash(Fact fact) {
        return mix(fact.version() * 31 + fact.key());
    }

    /** Writes the checksums of all groups if the group is negative, or else of the leaves of that group. */
    void writeSums(ByteCursor to, int group) {
        for (int i = 0; i < GROUPS; i++) {
            to.put(group < 0 ? groupSum(i) : leafSums[group * GROUPS + i], CHECKSUM_BYTES);
        }
    }

    private int groupSum(int group) {
        int sum = 0;
        for (int i = 0; i < GROUPS; i++) {
            sum += leafSums[group * GROUPS + i];
        }
        return sum;
    }

    /** Reads the other member's checksums and returns the groups, or the leaves of the given group, that differ. */
    List<Integer> findDiffering(ByteCursor from, int group) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < GROUPS; i++) {
            int own = group < 0 ? groupSum(i) : leafSums[group * GROUPS + i];
            if (own != (int) from.readUnsigned(CHECKSUM_BYTES)) {
                differing.add(group < 0 ? i : group * GROUPS + i);
            }
        }
        return differing;
    }

    Collection<Fact> factsInLeaf(int leaf) {
        return leaves.get(leaf).values();
    }
}
