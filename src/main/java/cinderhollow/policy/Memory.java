package cinderhollow.policy;

import java.util.List;

/**
 * What a module has learnt and its successor need not learn again. Each entry stands alone: one that can't be is dropped by
 * whoever recalls it, since a wrong one would steer traffic for many seconds.
 *
 * @param pressure how much more work is felt than the servers drawn on do in time
 * @param lateness the fleet's, as parts of the classes' budgets
 * @param warmRate requests a second that a warm server bears
 */
public record Memory(double pressure, double lateness, double warmRate, List<OfServer> servers, List<OfClass> classes) {
    private static final double MOST = 1e6;

    /** Keeps copies. */
    public Memory {
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
    }

    /** Of a server since its last start: its share, limit in flight, last latencies as multiples of the usual, failures. */
    public record OfServer(String id, long startedAtNanos, double share, double limit, double recent, double failures,
                           boolean silent) {
        /** Whether it can be. */
        public boolean isSane() {
            return share > 0 && share <= 1 && limit > 0 && limit <= MOST && recent > 0 && recent <= MOST && failures >= 0
                    && failures <= 1;
        }
    }

    /** Of a class: its mean latency, the least that has been, and of how many answers. */
    public record OfClass(String name, double latencyNanos, double calmestNanos, long served) {
        /** Whether it can be for a class with this deadline. */
        public boolean isSane(long deadlineNanos) {
            return latencyNanos > 0 && latencyNanos <= deadlineNanos && calmestNanos >= 0 && calmestNanos <= deadlineNanos
                    && served > 0;
        }
    }

    /** Whether the figures of the whole gateway can be. */
    public boolean isSane() {
        return pressure >= 0 && pressure <= MOST && lateness >= 0 && lateness <= MOST && warmRate >= 0 && warmRate <= MOST;
    }
}
