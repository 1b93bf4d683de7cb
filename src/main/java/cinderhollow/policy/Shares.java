package cinderhollow.policy;

import cinderhollow.policy.State.Server;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Servers by their shares, for picks in proportion to them and changes that don't walk the fleet: trees of sums for
 * those of the gateway's zone and for the others, since how much the others count moves by the moment; of each, one for
 * those that are kept and one for the rest.
 */
final class Shares {
    private final List<Side> sides = List.of(new Side(), new Side(), new Side(), new Side());

    /** A complete binary tree in one array: each node is the sum of the two below it, the leaves are the shares. */
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

        /** The last one takes its place. */
        void remove(Server s) {
            Server last = servers[--size];
            servers[s.slot] = last;
            last.slot = s.slot;
            set(s.slot, last.share);
            servers[size] = null;
            set(size, 0);
            s.slot = -1;
        }

        /** Sums are made anew on the way up, so that no error adds up. */
        private void set(int slot, double share) {
            int i = servers.length + slot;
            sums[i] = share;
            for (i /= 2; i > 0; i /= 2) {
                sums[i] = sums[2 * i] + sums[2 * i + 1];
            }
        }

        Server at(double drawn) {
            int i = 1;
            double left = drawn;
            while (i < servers.length) {
                i *= 2;
                // Guards against rounding that leads to where nobody stands.
                if (left >= sums[i] && sums[i + 1] > 0) {
                    left -= sums[i++];
                }
            }
            return servers[i - servers.length];
        }
    }

    /** Takes these servers, none of them kept, and no others, with the shares that they have now. */
    void build(List<Server> ready) {
        sides.forEach(Side::clear);
        for (Server s : ready) {
            s.kept = false;
            side(s).add(s);
        }
        sides.forEach(Side::sumUp);
    }

    /** Takes in one more. */
    void add(Server s) {
        Side side = side(s);
        side.add(s);
        side.set(s.slot, s.share);
    }

    void remove(Server s) {
        side(s).remove(s);
    }

    /** Whether it is one of the kept from now on. */
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

    boolean allNear() {
        return side(false, false).size + side(false, true).size == 0;
    }

    /** Of the kept or of the rest, those of other zones times {@code farGate}. */
    double sum(boolean kept, double farGate) {
        return side(true, kept).sums[1] + side(false, kept).sums[1] * farGate;
    }

    /** One of them in proportion to its share, those of other zones times {@code farGate}; null where there is none. */
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
