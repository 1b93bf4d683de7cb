package cinderhollow.emulator;

import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.RequestClass;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A fleet, its traffic and its faults in one emulated run. The names of values say their unit.
 *
 * @param gateways number of gateways
 * @param nodes number of nodes
 * @param zones number of zones, to which gateways and nodes are assigned in turn
 * @param seconds length of the run
 * @param load requests of clients, without their retries, as a fraction of the nodes' warm capacity
 * @param rateVariation standard deviation of the gateways' request rates, relative to their mean
 * @param burstFactor factor on the usual traffic in the middle fifth of the run
 * @param workScale factor on the usual work of a request
 * @param nodeSettings properties of the nodes and what connections cost them
 * @param clientSettings how clients retry
 * @param evacuationEnabled whether gateways gossip and evacuate zones together
 * @param fault the fault that occurs, or null for none
 */
public record Scenario(int gateways, int nodes, int zones, int seconds, double load, double rateVariation, double burstFactor,
                       double workScale, NodeSettings nodeSettings, ClientSettings clientSettings, boolean evacuationEnabled,
                       Fault fault) {
    /**
     * Properties of the nodes and costs of connections.
     *
     * @param slowNodeFraction fraction of the nodes that are slow machines
     * @param slowSpeed mean speed of the slow machines; that of the others is 1
     * @param maxConnections maximum number of connections of a node
     * @param maxQueuedRequests maximum number of queued requests of a node
     * @param connectionOverheadFraction fraction of a node's capacity that is lost when its connection table is full
     * @param handshakeMillis work of a new connection at the node
     * @param connectRoundTrips round trips until a new connection is established
     * @param idleTimeoutMillis idle timeout of connections at the nodes
     * @param coldCapacityFraction fraction of its capacity that a just started node has
     * @param warmUpMillis length of the warm-up
     * @param overloadFactor a cold node crashes if it gets more than this multiple of its current capacity and a small slack
     * @param overloadWindowMillis window over which that is measured
     */
    public record NodeSettings(double slowNodeFraction, double slowSpeed, int maxConnections, int maxQueuedRequests,
            double connectionOverheadFraction, double handshakeMillis,
                         double connectRoundTrips, double idleTimeoutMillis, double coldCapacityFraction, double warmUpMillis,
                         double overloadFactor,
                         double overloadWindowMillis) { }

    /**
     * How clients retry.
     *
     * @param maxRetries maximum number of retries of a request
     * @param initialBackoffMillis backoff before the first retry; it doubles with each further one
     * @param timeoutDeadlineFraction timeout of one submission, as a fraction of the deadline of its class
     */
    public record ClientSettings(int maxRetries, double initialBackoffMillis, double timeoutDeadlineFraction) { }

    /**
     * The kinds of faults. SLOW, SILENT, REPLACED and LOST affect a fraction of the nodes, those of one zone first: these work
     * more slowly, report no results, are replaced one after the other by new nodes, or stop and return cold at the end.
     * KILLED kills a fraction of the gateways at once, and ROLLED kills them one after the other. CUT partitions the network:
     * the nodes and gateways of the first zone can't be reached from the other zones, and can't reach them.
     */
    public enum FaultKind { SLOW, SILENT, REPLACED, LOST, KILLED, ROLLED, CUT }

    /**
     * A fault.
     *
     * @param kind what goes wrong
     * @param fromSecond when it starts, in seconds since the start of the run
     * @param seconds how long it lasts
     * @param affectedFraction fraction of the nodes or gateways that is affected
     * @param slowdownFactor how many times slower than usual a slow node is
     */
    public record Fault(FaultKind kind, double fromSecond, double seconds, double affectedFraction, double slowdownFactor) {
        /** Rejects a fault that would never begin, never end, or affect nothing. */
        public Fault {
            require(fromSecond >= 0 && fromSecond <= 3_600, "fromSecond", fromSecond);
            require(seconds >= 0 && seconds <= 3_600, "seconds", seconds);
            require(affectedFraction > 0 && affectedFraction <= 1, "affectedFraction", affectedFraction);
            require(slowdownFactor >= 1 && slowdownFactor <= 1_000, "slowdownFactor", slowdownFactor);
        }
    }

    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    /** The request classes of the first deployment; the documentation describes its classes and machines. */
    static final List<RequestClass> CLASSES = List.of(
            new RequestClass("status", Effect.SAFE, DedupGroup.ALL, 0, 150 * MS, 750 * MS, 1, 0, false),
            new RequestClass("submit", Effect.UNSAFE, DedupGroup.ALL, 0, 100 * MS, 300 * MS, 5, 0, false));
    /** For each class: mean work of a request in milliseconds on a machine of speed 1, and its fraction of all requests. */
    static final double[] MEAN_WORK_MILLIS = {20, 10}, CLASS_FRACTIONS = {0.51, 0.49};

    /** Rejects values with which a run would fail. */
    public Scenario {
        require(gateways >= 1 && gateways <= 10_000, "gateways", gateways);
        require(nodes >= 1 && nodes <= 20_000, "nodes", nodes);
        require(zones >= 1 && zones <= nodes, "zones", zones);
        require(seconds >= 1 && seconds <= 3_600, "seconds", seconds);
        require(load > 0 && load <= 10, "load", load);
        require(rateVariation >= 0 && rateVariation <= 5, "rateVariation", rateVariation);
        require(burstFactor > 0 && burstFactor <= 10, "burstFactor", burstFactor);
        require(workScale > 0 && workScale <= 100, "workScale", workScale);
    }

    /** Throws an exception that names the parameter and its value if the value is not valid. */
    private static void require(boolean valid, String name, Number value) {
        if (!valid) {
            throw new IllegalArgumentException(name + " is out of range: " + value);
        }
    }

    /** Returns the usual scenario: a fleet of many gateways, each with little traffic, and no fault. */
    public static Scenario sparseTraffic(int gateways, int nodes, int seconds, double load) {
        return new Scenario(gateways, nodes, 3, seconds, load, 0.7, 1.5, 2.8,
                new NodeSettings(0.34, 0.75, 160, 400, 0.26, 3.7, 2.5, 15_000, 0.31, 8_400, 2.5, 1_500),
                new ClientSettings(2, 20, 0.6), false, null);
    }

    /** Returns the same scenario with this fault. */
    public Scenario withFault(Fault newFault) {
        return new Scenario(gateways, nodes, zones, seconds, load, rateVariation, burstFactor, workScale, nodeSettings,
                clientSettings, evacuationEnabled, newFault);
    }

    /** Returns the same scenario with gateways that gossip and evacuate zones together. */
    public Scenario withEvacuation() {
        return new Scenario(gateways, nodes, zones, seconds, load, rateVariation, burstFactor, workScale, nodeSettings,
                clientSettings, true, fault);
    }

    /** Returns the mean work of a request in nanoseconds on a machine of speed 1. */
    double meanWorkNanos() {
        return (MEAN_WORK_MILLIS[0] * CLASS_FRACTIONS[0] + MEAN_WORK_MILLIS[1] * CLASS_FRACTIONS[1]) * workScale * MS;
    }

    /** Returns the expected speed of a node. */
    double meanSpeed() {
        return 1 - nodeSettings.slowNodeFraction * (1 - nodeSettings.slowSpeed);
    }

    /** Returns the requests per second that all nodes together can serve when warm. */
    double capacityPerSecond() {
        return nodes * meanSpeed() * TimeUnit.SECONDS.toNanos(1) / meanWorkNanos();
    }
}
