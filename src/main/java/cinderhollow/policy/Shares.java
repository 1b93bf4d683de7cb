package cinderhollow.policy;

import cinderhollow.policy.State.Server;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Servers by their shares, for picks in proportion to them that don't walk the fleet: running sums, made anew when
 * shares move (once a second, and with the list), and searched by halving. Those of the gateway's zone and the others
 * stand apart, since how much the others count moves by the moment.
 */
final class Shares {
    private final Side near = new Side();
    private final Side far = new Side();

    private static final class Side {
        private final List<Server> servers = new ArrayList<>();
        private double[] sums = {};

        void build() {
            sums = new double[servers.size()];
            double sum = 0;
            for (int i = 0; i < sums.length; i++) {
                sum += servers.get(i).share;
                sums[i] = sum;
            }
        }

        double sum() {
            return sums.length == 0 ? 0 : sums[sums.length - 1];
        }

        Server at(double drawn) {
            int found = Arrays.binarySearch(sums, drawn);
            // The sum that was hit belongs to the servers up to it; what is drawn lies beyond.
            return servers.get(Math.min(sums.length - 1, found < 0 ? -found - 1 : found + 1));
        }
    }

    /** Takes these servers with the shares that they have now. */
    void build(List<Server> ready, String zone) {
        near.servers.clear();
        far.servers.clear();
        for (Server s : ready) {
            (s.info.zone().equals(zone) ? near : far).servers.add(s);
        }
        near.build();
        far.build();
    }

    /** One in proportion to its share, those of other zones times {@code farGate}; null where there is none. */
    Server pick(SplittableRandom random, double farGate) {
        double others = far.sum() * farGate;
        double drawn = random.nextDouble() * (near.sum() + others);
        if (drawn < near.sum()) {
            return near.at(drawn);
        }
        return others > 0 ? far.at((drawn - near.sum()) / farGate) : null;
    }
}
