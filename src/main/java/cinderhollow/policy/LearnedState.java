package cinderhollow.policy;

import java.util.List;

/**
 * The learned state of a decision module, passed on so that its successor need not learn it again. Each entry is independent:
 * the receiver drops entries that are invalid, since a wrong one would misdirect traffic for many seconds.
 *
 * @param pressure the overload signal: from 0, rising as more of the answers come late
 * @param latencyToBudgetRatio the ratio of latencies to their classes' latency budgets, over the fleet
 * @param requestRatePerServer requests per second and server that arrived at this gateway
 */
public record LearnedState(double pressure, double latencyToBudgetRatio, double requestRatePerServer, List<ServerEntry> servers,
        List<ClassEntry> classes) {
    private static final double MAX_PLAUSIBLE = 1e6;

    /** Copies the lists. */
    public LearnedState {
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
    }

    /**
     * What was learned of a server since its last start: its share, in-flight limit, recent latency as a multiple of the usual
     * one, failure rate (0 to 1), and whether it was silent.
     */
    public record ServerEntry(String id, long startedAtNanos, double share, double inFlightLimit, double recentRelativeLatency,
            double failureRate,
                           boolean silent) {
        /** Returns whether the values are in their possible ranges. */
        public boolean isValid() {
            return share > 0 && share <= 1 && inFlightLimit > 0 && inFlightLimit <= MAX_PLAUSIBLE && recentRelativeLatency > 0
                    && recentRelativeLatency <= MAX_PLAUSIBLE && failureRate >= 0
                    && failureRate <= 1;
        }
    }

    /** What was learned of a class: its mean latency, the minimum of that mean, and the number of served answers behind them. */
    public record ClassEntry(String name, double meanLatencyNanos, double minMeanLatencyNanos, long servedCount) {
        /** Returns whether the values are possible for a class with this deadline. */
        public boolean isValid(long deadlineNanos) {
            return meanLatencyNanos > 0 && meanLatencyNanos <= deadlineNanos && minMeanLatencyNanos >= 0
                    && minMeanLatencyNanos <= deadlineNanos
                    && servedCount > 0;
        }
    }

    /** Returns whether the values of the whole gateway are in their possible ranges. */
    public boolean isValid() {
        return pressure >= 0 && pressure <= MAX_PLAUSIBLE && latencyToBudgetRatio >= 0 && latencyToBudgetRatio <= MAX_PLAUSIBLE
                && requestRatePerServer >= 0 && requestRatePerServer <= MAX_PLAUSIBLE;
    }
}
