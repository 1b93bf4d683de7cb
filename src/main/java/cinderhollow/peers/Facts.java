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
final class Facts {
    static final int GROUPS = 16, LEAVES = GROUPS * GROUPS, SUM_BYTES = 4;

    /** Fact that is being gossiped, and how often this member has sent it. */
    private static final class Rumour {
        private final Fact fact;
        private final int rank;
        private final long turn;
        private int sent;

        Rumour(Fact fact, int rank, long turn) {
            this.fact = fact;
            this.rank = rank;
            this.turn = turn;
        }
    }

    private final Map<Integer, Kind> kinds = new HashMap<>();
    private final Map<Integer, Fact> byKey = new HashMap<>();
    private final List<Map<Integer, Fact>> leaves = new ArrayList<>();
    private final int[] sums = new int[LEAVES];
    private final Map<Integer, Rumour> rumours = new HashMap<>();
    /** Facts to send, ordered by rank, then by fewest sends, then newest first. */
    private final TreeSet<Rumour> queue = new TreeSet<>(Comparator.<Rumour>comparingInt(r -> r.rank)
            .thenComparingInt(r -> r.sent).thenComparingLong(r -> -r.turn));
    private long turns;

    Facts(Collection<Kind> known) {
        known.forEach(kind -> kinds.put(kind.number(), kind));
        for (int i = 0; i < LEAVES; i++) {
            leaves.add(new HashMap<>(2));
        }
    }

    boolean knows(int kind) {
        return kinds.containsKey(kind);
    }

    Fact get(int kind, int subject) {
        return byKey.get(kind << 16 | subject);
    }

    List<Fact> all(int kind) {
        return byKey.values().stream().filter(fact -> fact.kind() == kind).toList();
    }

    int size() {
        return byKey.size();
    }

    /** Stores a fact and queues it for gossip if it is newer than the known version; returns whether it was. */
    boolean take(Fact fact) {
        Fact before = byKey.get(fact.key());
        if (before != null && before.version() >= fact.version()) {
            return false;
        }
        byKey.put(fact.key(), fact);
        Kind kind = kinds.get(fact.kind());
        if (kind.lasting()) {
            int leaf = leaf(fact.key());
            sums[leaf] += hash(fact) - (before == null ? 0 : hash(before));
            leaves.get(leaf).put(fact.key(), fact);
        }
        passOn(fact);
        return true;
    }

    /** Queues a fact for gossip with its send count reset to 0. */
    void passOn(Fact fact) {
        Rumour old = rumours.remove(fact.key());
        if (old != null) {
            queue.remove(old);
        }
        Rumour rumour = new Rumour(fact, kinds.get(fact.kind()).rank(), turns++);
        rumours.put(fact.key(), rumour);
        queue.add(rumour);
    }

    boolean hasRumours() {
        return !queue.isEmpty();
    }

    /** Appends the queued facts that fit. A fact that has been sent the given number of times is removed from the queue. */
    void write(Bytes to, int mostSends) {
        List<Rumour> written = new ArrayList<>();
        for (Rumour rumour : queue) {
            if (to.left() < Fact.HEAD) {
                break;
            }
            if (rumour.fact.size() <= to.left()) {
                rumour.fact.write(to);
                written.add(rumour);
            }
        }
        for (Rumour rumour : written) {
            queue.remove(rumour);
            rumour.sent++;
            if (rumour.sent < mostSends) {
                queue.add(rumour);
            } else {
                rumours.remove(rumour.fact.key());
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

    static int leaf(int key) {
        return mix(key) & LEAVES - 1;
    }

    private static int hash(Fact fact) {
        return mix(fact.version() * 31 + fact.key());
    }

    /** Writes the checksums of all groups if the group is negative, or else of the leaves of that group. */
    void writeSums(Bytes to, int group) {
        for (int i = 0; i < GROUPS; i++) {
            to.put(group < 0 ? sum(i) : sums[group * GROUPS + i], SUM_BYTES);
        }
    }

    private int sum(int group) {
        int sum = 0;
        for (int i = 0; i < GROUPS; i++) {
            sum += sums[group * GROUPS + i];
        }
        return sum;
    }

    /** Reads the other member's checksums and returns the groups, or the leaves of the given group, that differ. */
    List<Integer> differing(Bytes from, int group) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < GROUPS; i++) {
            int own = group < 0 ? sum(i) : sums[group * GROUPS + i];
            if (own != (int) from.take(SUM_BYTES)) {
                differing.add(group < 0 ? i : group * GROUPS + i);
            }
        }
        return differing;
    }

    Collection<Fact> inLeaf(int leaf) {
        return leaves.get(leaf).values();
    }
}
