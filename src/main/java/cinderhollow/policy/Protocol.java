package cinderhollow.policy;

import java.util.List;
import java.util.Map;

/**
 * The interface of the decision module {@link LoadBalancer}: the events that a gateway delivers to it and the actions that it may
 * request. All times are nanoseconds; the clock has an arbitrary origin and never goes back.
 *
 * <p>A gateway owns one {@link LoadBalancer} and calls it from one thread, each event as it happens. It delivers each request once,
 * under an id that is not used again; exactly one {@link AttemptEnded} for each send; a {@link TimerFired} for each timer, never
 * early; and the server list whenever it changes. In return each request gets one final answer before it expires: the first
 * SERVED outcome, which the host passes to the client itself, a refusal or a failure. Equal settings, seed and events give equal
 * actions.
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

        /** Returns whether this outcome proves that the server never ran the request. */
        public boolean provesItNeverRan() {
            return neverRan;
        }
    }

    /**
     * The effect of running the same request twice: SAFE, none; KEYED, none while servers drop repeats of its key; UNSAFE, it
     * may do harm.
     */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** The servers that drop a repeat of a keyed request: all, those of one zone, or those of one cell. */
    enum DedupGroup { ALL, ZONE, CELL }

    /** The state of a server according to the server list. */
    enum Readiness { READY, DRAINING, GONE }

    /**
     * What a server list contains: changes only, the whole list, the list as it was last known to a gateway that starts, or
     * nothing because the call failed.
     */
    enum ListKind { CHANGES, WHOLE, CACHED, FAILED }

    /**
     * A class of requests.
     *
     * @param dedupWindowNanos how long servers drop repeats of a keyed request, from the first send that may have run
     * @param aimNanos the target latency
     * @param deadlineNanos the end of a request's time, counted from its arrival
     * @param worth the value of an answer in time
     * @param lateWorth the factor on the worth of an answer after the aim
     * @param stream whether answers are streamed
     */
    record RequestClass(String name, Effect effect, DedupGroup dedupGroup, long dedupWindowNanos, long aimNanos,
                        long deadlineNanos, double worth, double lateWorth, boolean stream) { }

    /** A tenant and its quota in requests per second, over all gateways. */
    record Tenant(String name, double quotaPerSecond) { }

    /**
     * What a gateway may do with attempts: how many a request may have, whether they can be cancelled, and the idle time after
     * which servers close a connection.
     */
    record UpstreamOptions(int maxAttempts, boolean mayCancel, long idleTimeoutNanos) {
        private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 15_000_000_000L;

        /** Creates options with the default idle timeout. */
        public UpstreamOptions(int maxAttempts, boolean mayCancel) {
            this(maxAttempts, mayCancel, DEFAULT_IDLE_TIMEOUT_NANOS);
        }
    }

    /**
     * The figures of the four rules that the gateways are held to: answers in time, no sends to draining servers, a new list
     * call soon after a failed one, and no overload of cold servers.
     *
     * @param answerSlackNanos how long after its deadline a request may still be answered
     * @param drainGraceNanos how long after a server was first listed as not ready sends to it are tolerated
     * @param discoveryRetryWithinNanos the time after a failed list call within which the next must follow
     * @param coldCapacityFraction the fraction of its capacity that a server has at its start
     * @param warmUpNanos the time from its start until a server has its full capacity
     * @param overloadFactor the multiple of its capacity that a cold server may get
     * @param overloadWindowNanos the length of the window over which that is measured
     */
    record Rules(long answerSlackNanos, long drainGraceNanos, long discoveryRetryWithinNanos, double coldCapacityFraction,
                 long warmUpNanos, double overloadFactor, long overloadWindowNanos) {
        /**
         * Returns the fraction of its capacity that a server with this start time has at least, where a start time of 0 means
         * long ago. It rises linearly over the warm-up.
         */
        public double capacityFraction(long startedAtNanos, long now) {
            long age = now - startedAtNanos;
            return startedAtNanos == 0 || age >= warmUpNanos ? 1 : coldCapacityFraction
                    + (1 - coldCapacityFraction) * Math.max(0, age) / warmUpNanos;
        }
    }

    /**
     * The settings of a gateway.
     *
     * @param gateways how many gateways share the servers
     * @param gatewayNumber this gateway's number among them
     * @param zone the gateway's own zone
     * @param subscribe whether to subscribe to the server list at the start
     * @param timerResolutionNanos the resolution of the host's timers
     * @param overQuotaWorth the factor on the worth of requests beyond their tenant's quota
     */
    record Settings(int gateways, int gatewayNumber, String zone, boolean subscribe, long timerResolutionNanos,
                    List<RequestClass> classes, List<Tenant> tenants, double overQuotaWorth,
                    UpstreamOptions upstreamOptions, Rules rules) {
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
            require(timerResolutionNanos > 0, "resolutionNanos", timerResolutionNanos);
            require(upstreamOptions.maxAttempts() >= 1, "maxAttempts", upstreamOptions.maxAttempts());
            require(rules.coldCapacityFraction() > 0 && rules.coldCapacityFraction() <= 1, "coldFrom",
                    rules.coldCapacityFraction());
            require(rules.warmUpNanos() >= 0, "warmUpNanos", rules.warmUpNanos());
            require(rules.drainGraceNanos() >= 0, "drainGraceNanos", rules.drainGraceNanos());
            require(rules.overloadFactor() > 0, "overloadFactor", rules.overloadFactor());
            require(rules.overloadWindowNanos() > 0, "overloadForNanos", rules.overloadWindowNanos());
        }

        private static void require(boolean holds, String field, Object value) {
            if (!holds) {
                throw new IllegalArgumentException("settings: " + field + " can't be " + value);
            }
        }
    }

    /** One entry of the server list; {@code startedAtNanos} is 0 if the server started long ago. */
    record ServerInfo(String id, String zone, String machineType, int cell, Readiness readiness,
                      double capacityHint, long startedAtNanos) { }

    /** The load that a server reports of itself; a value that it does not report is NaN. */
    record LoadReport(double requestsPerSecond, double utilisation, double errorsPerSecond,
                      double inFlight, double queued, double latencyMillis) { }

    /** An event that the host delivers to the module. */
    sealed interface Event { }

    /** An event of a request whose body is still being received. */
    sealed interface UploadEvent extends Event {
        /** Returns the request's id. */
        String id();
    }

    /** The server list, or changes to it; empty if the call failed. */
    record ListReceived(ListKind kind, List<ServerInfo> servers) implements Event { }

    /**
     * The operator's policy for the requests of a route. The module consults it and makes all other decisions itself; its rules
     * on effects, drains and cold servers apply regardless. Times are nanoseconds.
     */
    interface RoutePolicy {
        /** Returns the maximum time from a request's arrival to its final answer. */
        long totalTimeoutNanos();

        /** Returns the timeout of one attempt. */
        long attemptTimeoutNanos();

        /** Returns how many attempts a request may have, hedges included. */
        int maxAttempts();

        /** Records that a request of the route has arrived. */
        void recordRequest(long now);

        /** Records that an attempt was served, with its latency. */
        void recordServed(long nanos);

        /** Returns whether a retry may follow an attempt with this outcome; if so, it is counted against the retry budget. */
        boolean tryWithdrawRetry(Outcome outcome, long now);

        /** Returns the maximum backoff before a retry; the first retry has the number 1. */
        long backoffNanos(int retry);

        /** Returns the time from an attempt to its hedge, or 0 for no hedge. */
        long hedgeDelayNanos();

        /** Returns whether a hedge may be sent now; if so, it is counted against the hedge budget. */
        boolean tryWithdrawHedge(long now);

        /** Returns how long a refusal advises the client to wait before a retry, or 0 for no advice. */
        long retryAfterNanos();
    }

    /**
     * A request has arrived; {@code tenant} and {@code key} may be null, {@code workNanos} is 0 if unknown, and
     * {@code routePolicy} is null if the operator has set none for its route.
     */
    record RequestArrived(String id, String requestClass, String tenant, String key, long expiresInNanos,
                          long workNanos, boolean retry, RoutePolicy routePolicy) implements Event {
        /** Creates the event of a request without a route policy. */
        public RequestArrived(String id, String requestClass, String tenant, String key, long expiresInNanos,
                              long workNanos, boolean retry) {
            this(id, requestClass, tenant, key, expiresInNanos, workNanos, retry, null);
        }
    }

    /**
     * The head of a request has arrived, and its body is still being received. The module chooses a server now, but the
     * request's time limit and its cost to the server begin with {@link RequestBodyReceived}, or while its body lies unread.
     */
    record RequestHeadArrived(RequestArrived request) implements Event { }

    /**
     * The last byte of a request that began with {@link RequestHeadArrived} has been received; it expires {@code expiresInNanos} from now.
     */
    record RequestBodyReceived(String id, long expiresInNanos) implements UploadEvent { }

    /**
     * Parts of the body of a request that began with {@link RequestHeadArrived} lie unread, and its last byte may be among them: if
     * so, the request expires {@code expiresInNanos} from now. May be repeated.
     */
    record RequestBodyUnread(String id, long expiresInNanos) implements UploadEvent { }

    /** After {@link RequestBodyUnread}: all that the client has sent has been read, and the last byte is still to come. */
    record RequestBodyAwaited(String id) implements UploadEvent { }

    /**
     * The server of a request that began with {@link RequestHeadArrived} has accepted nothing of the body for a while though bytes
     * wait for it, or accepts them again.
     */
    record RequestBodyBlocked(String id, boolean blocked) implements UploadEvent { }

    /** A part of the request's body is no longer buffered, so that it can't be sent to another server. */
    record RequestNotReplayable(String id) implements Event { }

    /** The client left, or the time for its answer is over: no answer is needed any more. */
    record ClientLeft(String id) implements Event { }

    /** A server has sent the head of a successful answer that may be streamed, and the rest is still to come. */
    record ResponseBegun(String id, int attempt) implements Event { }

    /** A streamed answer has begun: it is forwarded to the client, and the attempt's timeout no longer applies. */
    record StreamStarted(String id, int attempt, String server) implements Event { }

    /** An attempt ended; {@code concluded} says whether the request has its final answer. */
    record AttemptEnded(String id, int attempt, String server, Outcome outcome, long elapsedNanos,
                        boolean concluded, LoadReport load) implements Event { }

    /** A probe of a server ended. */
    record ProbeEnded(String server, Outcome outcome, long elapsedNanos, LoadReport load) implements Event { }

    /** A message of another gateway was received. */
    record PeerMessageReceived(int gateway, byte[] body) implements Event { }

    /** Shutdown of the gateway started: requests that arrive from now on need their final answer within this time. */
    record ShutdownStarted(long answerWithinNanos) implements Event { }

    /**
     * The number of gateways that share each server changed, where that is not all of them. In-flight limits and trials follow
     * this number, tenants' quotas follow the settings.
     */
    record GatewaysPerServerChanged(int gateways) implements Event { }

    /** The settings changed. Open requests keep their class and their maximum number of attempts. */
    record SettingsChanged(Settings settings) implements Event { }

    /** The state that another process of this same gateway learned earlier was received. */
    record LearnedStateReceived(LearnedState learnedState) implements Event { }

    /**
     * Another process of this same gateway began or stopped serving beside this one. Rules and limits treat both as one gateway,
     * so each gets a part of the trials, of tenants' quotas and of what may go to cold servers.
     */
    record ProcessOverlapChanged(boolean overlapping) implements Event { }

    /**
     * The weights of zones changed: the fraction of its usual load that each zone gets from now on, 0 to 1. Zones that are not
     * named have the weight 1. The servers of a zone that returns to service are no longer suspect, since the cause was their
     * zone.
     */
    record ZoneWeightsChanged(Map<String, Double> weightByZone) implements Event {
        /** Copies the map. */
        public ZoneWeightsChanged {
            weightByZone = Map.copyOf(weightByZone);
        }
    }

    /** The requests per second of this gateway that a warm server bears, as observed by the fleet; 0 if unknown. */
    record WarmServerRateReceived(double requestsPerSecond) implements Event { }

    /** A timer that the module set has fired. */
    record TimerFired(long token) implements Event { }

    /**
     * The actions that the module requests from its host. Each is called from within {@link LoadBalancer#handle}, on its thread, and takes
     * effect at the time of the current event; none may call the module. Actions with a default body are optional for a host.
     */
    interface Actions {
        /**
         * Starts the request's next attempt; attempts count from 0. The host must deliver one {@link AttemptEnded} for it, at
         * its timeout at the latest.
         */
        void send(String request, String server, long timeoutNanos);

        /**
         * Starts the next attempt like {@link #send(String, String, long)}, on condition that sending starts within
         * {@code startWithinNanos}; after that time nothing may be sent, and the attempt ends as not sent. A host whose sends
         * take no time can ignore the condition.
         */
        default void send(String request, String server, long timeoutNanos, long startWithinNanos) {
            send(request, server, timeoutNanos);
        }

        /**
         * Refuses the request as its final answer: it was not served, and a retry is harmless, preferably after the pause (0: no
         * advice).
         */
        void refuse(String request, long retryAfterNanos);

        /** Fails the request as its final answer: it may have run. */
        void fail(String request);

        /** Stops waiting for an attempt; its end is still reported. */
        void cancel(String request, int attempt);

        /** Sets a timer, which fires as {@link TimerFired} and can't be cancelled. */
        void setTimer(long delayNanos, long token);

        /** Subscribes to changes of the server list; a {@link ListReceived} follows. */
        void subscribe();

        /** Requests the whole server list once. */
        default void fetchList() { }

        /** Probes a server. */
        default void probe(String server) { }

        /** Sends a message to all other gateways. */
        default void broadcast(byte[] body) { }

        /** Logs a line for the operators. */
        default void log(String line) { }
    }
}
