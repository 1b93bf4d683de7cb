package cinderhollow.policy;

import cinderhollow.policy.State.Server;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The ready servers of a large fleet by their shares. Picks a server with a probability in proportion to its share, and applies
 * changes, in time logarithmic in the size of the fleet. It has four sum trees: servers of the gateway's zone and of other zones
 * are apart, since the weight of other zones changes from moment to moment, and in each, servers with a reusable connection are
 * apart from the rest.
 */
final class Shares {
    private final List<SumTree> trees = List.of(new SumTree(), new SumTree(), new SumTree(), new SumTree());

    /** A complete binary tree in one array: each node is the sum of its two children, the leaves are the shares. */
    private static final class SumTree {
        private static final int INITIAL_LEAVES = 64;
        private Server[] servers = new Server[INITIAL_LEAVES];
        private double[] sums = new double[2 * INITIAL_LEAVES];
        private int size;

        void clear() {
            Arrays.fill(servers, 0, size, null);
            Arrays.fill(sums, servers.length, servers.length + size, 0);
            size = 0;
        }

        /** Adds a server as the last leaf and doubles the tree if it is full. The new leaf is not yet part of the sums. */
        void add(Server s) {
            if (size == servers.length) {
                double[] leaves = Arrays.copyOfRange(sums, size, 2 * size);
                servers = Arrays.copyOf(servers, 2 * size);
                sums = new double[4 * size];
                System.arraycopy(leaves, 0, sums, 2 * size, size);
                rebuildSums();
            }
            s.leafIndex = size++;
            servers[s.leafIndex] = s;
            sums[servers.length + s.leafIndex] = s.share;
        }

        void rebuildSums() {
            for (int i = servers.length - 1; i > 0; i--) {
                sums[i] = sums[2 * i] + sums[2 * i + 1];
            }
        }

        /** Removes a server; the last leaf moves into its place. */
        void remove(Server s) {
            Server last = servers[--size];
            servers[s.leafIndex] = last;
            last.leafIndex = s.leafIndex;
            set(s.leafIndex, last.share);
            servers[size] = null;
            set(size, 0);
            s.leafIndex = -1;
        }

        /** Sets a leaf. The sums above it are computed anew, so that rounding errors do not accumulate. */
        private void set(int leafIndex, double share) {
            int i = servers.length + leafIndex;
            sums[i] = share;
            for (i /= 2; i > 0; i /= 2) {
                sums[i] = sums[2 * i] + sums[2 * i + 1];
            }
        }

        /** Returns the server in whose interval of the added-up shares the point lies. */
        Server serverAt(double point) {
            int i = 1;
            double remainder = point;
            while (i < servers.length) {
                i *= 2;
                // Rounding must not lead into an empty subtree.
                if (remainder >= sums[i] && sums[i + 1] > 0) {
                    remainder -= sums[i++];
                }
            }
            return servers[i - servers.length];
        }
    }

    /** Replaces the content by these servers, with their current shares and all without a reusable connection. */
    void build(List<Server> readyServers) {
        trees.forEach(SumTree::clear);
        for (Server s : readyServers) {
            s.connectionReusable = false;
            tree(s).add(s);
        }
        trees.forEach(SumTree::rebuildSums);
    }

    /** Adds a server. */
    void add(Server s) {
        SumTree tree = tree(s);
        tree.add(s);
        tree.set(s.leafIndex, s.share);
    }

    void remove(Server s) {
        tree(s).remove(s);
    }

    /** Sets whether a server has a reusable connection. */
    void setReusable(Server s, boolean reusable) {
        if (s.connectionReusable != reusable) {
            remove(s);
            s.connectionReusable = reusable;
            add(s);
        }
    }

    private SumTree tree(Server s) {
        return tree(s.inOwnZone, s.connectionReusable);
    }

    private SumTree tree(boolean inOwnZone, boolean reusable) {
        return trees.get((inOwnZone ? 2 : 0) + (reusable ? 1 : 0));
    }

    /** Returns whether all servers are in the gateway's zone. */
    boolean areAllInOwnZone() {
        return tree(false, false).size + tree(false, true).size == 0;
    }

    /**
     * Returns the sum of the shares of the servers with or without a reusable connection; those of other zones are multiplied by
     * {@code otherZoneGate}.
     */
    double sum(boolean reusable, double otherZoneGate) {
        return tree(true, reusable).sums[1] + tree(false, reusable).sums[1] * otherZoneGate;
    }

    /**
     * Returns a random server of these with a probability in proportion to its share, where shares of other zones are multiplied
     * by {@code otherZoneGate}; null if there is none.
     */
    Server pick(SplittableRandom random, boolean reusable, double otherZoneGate) {
        double ownZoneSum = tree(true, reusable).sums[1];
        double otherZonesSum = tree(false, reusable).sums[1] * otherZoneGate;
        double point = random.nextDouble() * (ownZoneSum + otherZonesSum);
        if (point < ownZoneSum) {
            return tree(true, reusable).serverAt(point);
        }
        return otherZonesSum > 0 ? tree(false, reusable).serverAt((point - ownZoneSum) / otherZoneGate) : null;
    }
}
