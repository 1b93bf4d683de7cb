package cinderhollow.policy;

import java.util.List;
import java.util.Map;

/**
 * The interface of the decision module {@link Choice}: what a gateway tells it and what it may ask for.
 * All times are nanoseconds; the clock starts anywhere and only moves forward.
 *
 * <p>A gateway owns one {@link Choice} and calls it from one thread, each event as it happens. It delivers
 * each request once, under an id that is not used again; exactly one {@link AttemptEnded} for each send; a
 * {@link TimerFired} for each timer, never early; and the server list whenever it changes. In return each
 * request gets one final answer: the first SERVED outcome, which the host passes to the client itself, a
 * refusal or a failure, all before the request expires. Equal settings, seed and events give equal actions.
 */
public interface Protocol {

    /** How an attempt ended. */
    enum Outcome {
        SERVED(false), ERROR(false), FULL(true), TIMED_OUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the server never ran the request. */
        public boolean provesItNeverRan() {
            return neverRan;
        }
    }

    /** What a second run of the same request would do. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** Which servers drop a repeat of a keyed request: all, those of one zone, or those of one cell. */
    enum Group { ALL, ZONE, CELL }

    /** What the server list says of a server. */
    enum Readiness { READY, DRAINING, GONE }

    /** Changes only, the whole list, the list as last held by a gateway that starts, or a failed call. */
    enum ListKind { CHANGES, WHOLE, CACHED, FAILED }

    /** A class of requests; {@code dedupWindowNanos} counts from the first send that may have run. */
    record RequestClass(String name, Effect effect, Group group, long dedupWindowNanos, long aimNanos,
                        long deadlineNanos, double worth, double lateWorth, boolean stream) { }

    /** A tenant and the requests a second, over all gateways, that are within its share. */
    record Tenant(String name, double quotaPerSecond) { }

    /** What a gateway may do; servers close a connection that has idled for so long. */
    record Allowed(int maxAttempts, boolean cancel, long idleNanos) {
        private static final long USUAL_IDLE_NANOS = 15_000_000_000L;

        /** With the usual time for connections. */
        public Allowed(int maxAttempts, boolean cancel) {
            this(maxAttempts, cancel, USUAL_IDLE_NANOS);
        }
    }

    /** The figures of the four rules. */
    record Rules(long answerSlackNanos, long drainGraceNanos, long askWithinNanos, double coldFrom,
                 long warmUpNanos, double overloadFactor, long overloadForNanos) {
        /** Which part of its capacity a server surely has that started then, 0 being long ago: it rises with time, at the slowest. */
        public double warmth(long startedAtNanos, long now) {
            long age = now - startedAtNanos;
            return startedAtNanos == 0 || age >= warmUpNanos ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age) / warmUpNanos;
        }
    }

    /** What a gateway is told once, at its start. */
    record Settings(int gateways, int gatewayNumber, String zone, boolean subscribe, long resolutionNanos,
                    List<RequestClass> classes, List<Tenant> tenants, double overShareWorth,
                    Allowed allowed, Rules rules) {
        /** Checks each figure that a decision divides by or waits for. */
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            require(gateways >= 1, "gateways", gateways);
            require(!classes.isEmpty(), "classes", "none");
            for (RequestClass c : classes) {
                require(c.aimNanos() > 0, c.name() + ".aimNanos", c.aimNanos());
                require(c.deadlineNanos() > 0, c.name() + ".deadlineNanos", c.deadlineNanos());
                require(c.worth() >= 0, c.name() + ".worth", c.worth());
            }
            require(resolutionNanos > 0, "resolutionNanos", resolutionNanos);
            require(allowed.maxAttempts() >= 1, "maxAttempts", allowed.maxAttempts());
            require(rules.coldFrom() > 0 && rules.coldFrom() <= 1, "coldFrom", rules.coldFrom());
            require(rules.warmUpNanos() >= 0, "warmUpNanos", rules.warmUpNanos());
            require(rules.drainGraceNanos() >= 0, "drainGraceNanos", rules.drainGraceNanos());
            require(rules.overloadFactor() > 0, "overloadFactor", rules.overloadFactor());
            require(rules.overloadForNanos() > 0, "overloadForNanos", rules.overloadForNanos());
        }

        private static void require(boolean holds, String field, Object value) {
            if (!holds) {
                throw new IllegalArgumentException("settings: " + field + " can't be " + value);
            }
        }
    }

    /** One entry of the server list; {@code startedAtNanos} is 0 where the start is long ago. */
    record ServerInfo(String id, String zone, String kind, int cell, Readiness readiness,
                      double capacityHint, long startedAtNanos) { }

    /** A server's own account of its load; a value that it doesn't report is NaN. */
    record LoadReport(double requestsPerSecond, double utilisation, double errorsPerSecond,
                      double inFlight, double queued, double latencyMillis) { }

    /** What the host tells the module. */
    sealed interface Event { }

    /** The server list, or changes to it; empty where a call failed. */
    record ListReceived(ListKind kind, List<ServerInfo> servers) implements Event { }

    /**
     * What an operator lets the module do for the requests of a route. The module asks it and decides the rest; its
     * rules on effects, drains and cold servers hold all the same. Times are nanoseconds.
     */
    interface Course {
        /** The most time until the final answer. */
        long totalNanos();

        /** When an attempt is given up. */
        long attemptNanos();

        /** How many attempts a request may have, second copies among them. */
        int attempts();

        /** A request of the route has arrived. */
        void arrived(long now);

        /** An attempt was served after so long. */
        void served(long nanos);

        /** Whether another attempt may follow this end of one; if so it counts as made. */
        boolean mayRetry(Outcome outcome, long now);

        /** How long to wait at the most before this retry, the first being 1. */
        long backoffNanos(int retry);

        /** How long after the first attempt a second copy is due; 0 for never. */
        long copyAfterNanos();

        /** Whether a second copy may go out now; if so it counts as made. */
        boolean mayCopy(long now);

        /** What a refusal tells the client to wait; 0 for nothing. */
        long adviceNanos();
    }

    /**
     * A request; {@code tenant} and {@code key} may be null, {@code workNanos} is 0 where unknown, and
     * {@code course} is null where no operator has set anything.
     */
    record RequestArrived(String id, String requestClass, String tenant, String key, long expiresInNanos,
                          long workNanos, boolean retry, Course course) implements Event {
        /** One for which no operator has set anything. */
        public RequestArrived(String id, String requestClass, String tenant, String key, long expiresInNanos,
                              long workNanos, boolean retry) {
            this(id, requestClass, tenant, key, expiresInNanos, workNanos, retry, null);
        }
    }

    /**
     * A request whose body is still on its way. A server is wanted for it now, but its time, and what it costs a server, begin
     * with {@link Whole}.
     */
    record Arriving(RequestArrived request) implements Event { }

    /** The last byte of a request that was {@link Arriving} has come: it expires so long from now. */
    record Whole(String id, long expiresInNanos) implements Event { }

    /** A part of the request is gone: it can't be sent to another server any more. */
    record Spent(String id) implements Event { }

    /** The client left, or the answer is overdue: nothing is owed any more. */
    record ClientLeft(String id) implements Event { }

    /** A streamed answer has begun: the attempt is the client's and no time-out runs any more. */
    record StreamStarted(String id, int attempt, String server) implements Event { }

    /** An attempt ended; {@code concluded} says that the request has its final answer. */
    record AttemptEnded(String id, int attempt, String server, Outcome outcome, long elapsedNanos,
                        boolean concluded, LoadReport load) implements Event { }

    /** A probe ended. */
    record Probed(String server, Outcome outcome, long elapsedNanos, LoadReport load) implements Event { }

    /** Another gateway's message. */
    record PeerSaid(int gateway, byte[] body) implements Event { }

    /** The gateway is to end: what comes from now on needs its final answer within this time. */
    record Ending(long answerWithinNanos) implements Event { }

    /**
     * So many gateways share each server from now on, where that is not all of them: in-flight limits and trials go by
     * it, tenants' quotas by the settings.
     */
    record Sharing(int gateways) implements Event { }

    /** Other settings from now on; requests that are open keep the class and the number of attempts that they came with. */
    record Retuned(Settings settings) implements Event { }

    /** What another process of this same gateway has learnt before this one. */
    record Recalled(Memory memory) implements Event { }

    /**
     * Whether another process of this same gateway serves beside this one: to rules and limits both are one, so that
     * each has a part of what may go to cold servers, of trials and of tenants' quotas.
     */
    record Overlap(boolean begins) implements Event { }

    /**
     * How much of the usual goes to the servers of each zone from now on, 0 to 1; zones that are not named are as usual. One
     * whose weight comes up again begins anew: what made its servers doubtful was the zone's.
     */
    record Weighed(Map<String, Double> byZone) implements Event {
        /** Keeps a copy. */
        public Weighed {
            byZone = Map.copyOf(byZone);
        }
    }

    /** Requests a second that a warm server bears of this gateway's traffic, as the fleet has seen; 0 where nobody knows. */
    record Bears(double perSecond) implements Event { }

    /** A timer that the module set. */
    record TimerFired(long token) implements Event { }

    /**
     * What the module asks of its host. Each is called from within {@link Choice#on}, on its thread, and
     * takes effect at the time of the event under way; none may call the module. Those with a default body
     * are no-ops unless a host implements them.
     */
    interface Actions {
        /**
         * Starts the request's next attempt; attempts count from 0. The host owes one {@link AttemptEnded}
         * for it, at the time-out at the latest.
         */
        void send(String request, String server, long timeoutNanos);

        /**
         * The same of an attempt of which nothing may go out any more when so long is over: it has then not been sent. Where
         * sending takes no time that is any attempt.
         */
        default void send(String request, String server, long timeoutNanos, long withinNanos) {
            send(request, server, timeoutNanos);
        }

        /** Final answer: not served, and a further try is harmless, best after the pause (0: no advice). */
        void refuse(String request, long pauseNanos);

        /** Final answer: failed, it may have run. */
        void fail(String request);

        /** Stops waiting for an attempt; how it ended is still told. */
        void cancel(String request, int attempt);

        /** Asks for a {@link TimerFired}; timers can't be taken back. */
        void setTimer(long delayNanos, long token);

        /** Asks for changes to the server list from now on; a {@link ListReceived} answers. */
        void subscribe();

        /** Asks for the whole server list once. */
        default void fetchList() { }

        /** Checks a server. */
        default void probe(String server) { }

        /** Sends a message to all other gateways. */
        default void tellAll(byte[] body) { }

        /** A line for the operators. */
        default void log(String line) { }
    }
}
