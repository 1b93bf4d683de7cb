package cinderhollow.policy;

import java.util.List;

/**
 * The learned state of a decision module, passed on so that its successor need not learn it again. Each entry is independent:
 * the receiver drops entries that are invalid, since a wrong one would misdirect traffic for many seconds.
 *
 * @param pressure the overload signal: from 0, rising as more of the answers come late
 * @param lateness the ratio of latencies to their classes' latency budgets, over the fleet
 * @param warmRate requests per second and server that arrived at this gateway
 */
public record Memory(double pressure, double lateness, double warmRate, List<OfServer> servers, List<OfClass> classes) {
    private static final double MOST = 1e6;

    /** Copies the lists. */
    public Memory {
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
    }

    /**
     * What was learned of a server since its last start: its share, in-flight limit, recent latency as a multiple of the usual
     * one, failure rate (0 to 1), and whether it was silent.
     */
    public record OfServer(String id, long startedAtNanos, double share, double limit, double recent, double failures,
                           boolean silent) {
        /** Returns whether the values are in their possible ranges. */
        public boolean isSane() {
            return share > 0 && share <= 1 && limit > 0 && limit <= MOST && recent > 0 && recent <= MOST && failures >= 0
                    && failures <= 1;
        }
    }

    /** What was learned of a class: its mean latency, the minimum of that mean, and the number of served answers behind them. */
    public record OfClass(String name, double latencyNanos, double calmestNanos, long served) {
        /** Returns whether the values are possible for a class with this deadline. */
        public boolean isSane(long deadlineNanos) {
            return latencyNanos > 0 && latencyNanos <= deadlineNanos && calmestNanos >= 0 && calmestNanos <= deadlineNanos
                    && served > 0;
        }
    }

    /** Returns whether the values of the whole gateway are in their possible ranges. */
    public boolean isSane() {
        return pressure >= 0 && pressure <= MOST && lateness >= 0 && lateness <= MOST && warmRate >= 0 && warmRate <= MOST;
    }
}
