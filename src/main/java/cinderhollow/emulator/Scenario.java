package cinderhollow.emulator;

import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Group;
import cinderhollow.policy.Protocol.RequestClass;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A fleet and its day. Times are milliseconds unless their names say otherwise.
 *
 * @param load the part of the nodes' warm capacity that first tries ask for
 * @param unevenness deviation of the gateways' traffic, against its mean
 * @param burst how many times the usual traffic comes in the middle fifth of the day
 * @param workScale by how much longer than usual the work of a request is
 * @param shapes the nodes and what connections cost them
 * @param clients how clients ask again
 * @param talks gateways talk with each other and leave zones together
 * @param fault what goes wrong, or null
 */
public record Scenario(int gateways, int nodes, int zones, int seconds, double load, double unevenness, double burst,
                       double workScale, Shapes shapes, Clients clients, boolean talks, Fault fault) {
    /**
     * Of the nodes: part of slow machines and their speed, connections and requests that one holds, what of its capacity a
     * full table of connections takes, what a new connection costs in work and in round trips, and how long one may idle.
     */
    public record Shapes(double slowPart, double slowSpeed, int connections, int queue, double fullTax, double handshakeMillis,
                         double roundTrips, double idleMillis, double coldFrom, double warmUpMillis, double overloadFactor,
                         double overloadForMillis) { }

    /** How often a client tries again, after what wait at first, and which part of its class's deadline a try may take. */
    public record Clients(int retries, double backoffMillis, double tryPart) { }

    /**
     * What can go wrong with a part of the nodes, one zone first; with KILLED of the gateways, and with ROLLED of them in
     * turn; with CUT the first zone, nodes and gateways, can neither be reached from the others nor reach them.
     */
    public enum Kind { SLOW, SILENT, REPLACED, LOST, KILLED, ROLLED, CUT }

    /** From when on, for how long, which part of them; {@code size} is how many times slower a slow one is. */
    public record Fault(Kind kind, double fromSecond, double seconds, double part, double size) {
        /** Refuses what would never begin, never end, or hit nobody. */
        public Fault {
            require(fromSecond >= 0 && fromSecond <= 3_600, "fromSecond", fromSecond);
            require(seconds >= 0 && seconds <= 3_600, "seconds", seconds);
            require(part > 0 && part <= 1, "part", part);
            require(size >= 1 && size <= 1_000, "size", size);
        }
    }

    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    /** The first deployment's, whose classes and machines the pages give. */
    static final List<RequestClass> CLASSES = List.of(
            new RequestClass("status", Effect.SAFE, Group.ALL, 0, 150 * MS, 750 * MS, 1, 0, false),
            new RequestClass("submit", Effect.UNSAFE, Group.ALL, 0, 100 * MS, 300 * MS, 5, 0, false));
    /** Mean work in milliseconds on a machine of speed 1, and the part of the requests, class by class. */
    static final double[] WORK = {20, 10}, PART = {0.51, 0.49};

    /** Refuses what a run would stumble over. */
    public Scenario {
        require(gateways >= 1 && gateways <= 10_000, "gateways", gateways);
        require(nodes >= 1 && nodes <= 20_000, "nodes", nodes);
        require(zones >= 1 && zones <= nodes, "zones", zones);
        require(seconds >= 1 && seconds <= 3_600, "seconds", seconds);
        require(load > 0 && load <= 10, "load", load);
        require(unevenness >= 0 && unevenness <= 5, "unevenness", unevenness);
        require(burst > 0 && burst <= 10, "burst", burst);
        require(workScale > 0 && workScale <= 100, "workScale", workScale);
    }

    private static void require(boolean holds, String name, Number value) {
        if (!holds) {
            throw new IllegalArgumentException(name + " can't be " + value);
        }
    }

    /** The usual fleet of many gateways, each with little traffic. */
    public static Scenario thin(int gateways, int nodes, int seconds, double load) {
        return new Scenario(gateways, nodes, 3, seconds, load, 0.7, 1.5, 2.8,
                new Shapes(0.34, 0.75, 160, 400, 0.26, 3.7, 2.5, 15_000, 0.31, 8_400, 2.5, 1_500),
                new Clients(2, 20, 0.6), false, null);
    }

    /** The same day with something going wrong. */
    public Scenario with(Fault trouble) {
        return new Scenario(gateways, nodes, zones, seconds, load, unevenness, burst, workScale, shapes, clients, talks, trouble);
    }

    /** The same fleet, whose gateways talk with each other. */
    public Scenario talking() {
        return new Scenario(gateways, nodes, zones, seconds, load, unevenness, burst, workScale, shapes, clients, true, fault);
    }

    /** Mean work of a request in nanoseconds on a machine of speed 1. */
    double meanWork() {
        return (WORK[0] * PART[0] + WORK[1] * PART[1]) * workScale * MS;
    }

    double meanSpeed() {
        return 1 - shapes.slowPart * (1 - shapes.slowSpeed);
    }

    /** Requests a second that all nodes together can do when warm. */
    double capacity() {
        return nodes * meanSpeed() * TimeUnit.SECONDS.toNanos(1) / meanWork();
    }
}
