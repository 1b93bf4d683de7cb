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
    private final List<Side> sides = List.of(new Side(), new Side(), new Side(), new Side());

    /** A complete binary tree in one array: each node is the sum of its two children, the leaves are the shares. */
    private static final class Side {
        private static final int FIRST_LEAVES = 64;
        private Server[] servers = new Server[FIRST_LEAVES];
        private double[] sums = new double[2 * FIRST_LEAVES];
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
                sumUp();
            }
            s.slot = size++;
            servers[s.slot] = s;
            sums[servers.length + s.slot] = s.share;
        }

        void sumUp() {
            for (int i = servers.length - 1; i > 0; i--) {
                sums[i] = sums[2 * i] + sums[2 * i + 1];
            }
        }

        /** Removes a server; the last leaf moves into its place. */
        void remove(Server s) {
            Server last = servers[--size];
            servers[s.slot] = last;
            last.slot = s.slot;
            set(s.slot, last.share);
            servers[size] = null;
            set(size, 0);
            s.slot = -1;
        }

        /** Sets a leaf. The sums above it are computed anew, so that rounding errors do not accumulate. */
        private void set(int slot, double share) {
            int i = servers.length + slot;
            sums[i] = share;
            for (i /= 2; i > 0; i /= 2) {
                sums[i] = sums[2 * i] + sums[2 * i + 1];
            }
        }

        /** Returns the server in whose interval of the added-up shares the point lies. */
        Server at(double drawn) {
            int i = 1;
            double left = drawn;
            while (i < servers.length) {
                i *= 2;
                // Rounding must not lead into an empty subtree.
                if (left >= sums[i] && sums[i + 1] > 0) {
                    left -= sums[i++];
                }
            }
            return servers[i - servers.length];
        }
    }

    /** Replaces the content by these servers, with their current shares and all without a reusable connection. */
    void build(List<Server> ready) {
        sides.forEach(Side::clear);
        for (Server s : ready) {
            s.kept = false;
            side(s).add(s);
        }
        sides.forEach(Side::sumUp);
    }

    /** Adds a server. */
    void add(Server s) {
        Side side = side(s);
        side.add(s);
        side.set(s.slot, s.share);
    }

    void remove(Server s) {
        side(s).remove(s);
    }

    /** Sets whether a server has a reusable connection. */
    void keep(Server s, boolean kept) {
        if (s.kept != kept) {
            remove(s);
            s.kept = kept;
            add(s);
        }
    }

    private Side side(Server s) {
        return side(s.near, s.kept);
    }

    private Side side(boolean near, boolean kept) {
        return sides.get((near ? 2 : 0) + (kept ? 1 : 0));
    }

    /** Returns whether all servers are in the gateway's zone. */
    boolean allNear() {
        return side(false, false).size + side(false, true).size == 0;
    }

    /**
     * Returns the sum of the shares of the servers with or without a reusable connection; those of other zones are multiplied by
     * {@code otherZoneGate}.
     */
    double sum(boolean kept, double farGate) {
        return side(true, kept).sums[1] + side(false, kept).sums[1] * farGate;
    }

    /**
     * Returns a random server of these with a probability in proportion to its share, where shares of other zones are multiplied
     * by {@code otherZoneGate}; null if there is none.
     */
    Server pick(SplittableRandom random, boolean kept, double farGate) {
        double near = side(true, kept).sums[1];
        double others = side(false, kept).sums[1] * farGate;
        double drawn = random.nextDouble() * (near + others);
        if (drawn < near) {
            return side(true, kept).at(drawn);
        }
        return others > 0 ? side(false, kept).at((drawn - near) / farGate) : null;
    }
}
