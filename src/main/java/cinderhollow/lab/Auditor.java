package cinderhollow.lab;

import cinderhollow.lab.Breach.Rule;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks the observations of a fleet against the four rules and records each breach with the request's timeline. The rules: no
 * request lost; no effect twice; no request sent to a draining node; no cold node overloaded. The members of {@link Breach.Rule}
 * refine them. The auditor follows requests at the clients and at the nodes, and knows nothing of a gateway's internal state.
 *
 * <p>Observations arrive in causal order: what a node observed of a request comes before what its client observed as a result.
 * Memory is bounded by the requests of the last seconds, and by {@link #MAX_TRACKED_REQUESTS} in any case. Requests that can't be
 * checked are counted in {@link #unaudited}, and a run with any of them is not reported as clean. Time limits are extended by the
 * lateness of the lab itself ({@link Observation.LabLate}), so that it is not attributed to the gateway.
 */
final class Auditor {
    /** The effect of a second run of a class's requests, and where and for how long nodes drop repeats. */
    record RequestSemantics(Effect effect, Scope dedupScope, long dedupWindowNanos) { }

    /** The effect of a second run of a request. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** Which nodes drop a repeat of a keyed request. */
    enum Scope { ALL, ZONE, CELL }

    /** The zone and cell of a node. */
    record NodeLocation(String zone, int cell) { }

    /**
     * The time limits of the rules.
     *
     * @param answerSlackNanos slack of answers past the client's deadline, and of the other comparisons of times that have no
     *     limit of their own: dedup windows, attempts after an answer or a drain, and kills at a shutdown
     * @param drainGraceNanos how long a gateway may go on sending to a node after it was notified that the node is draining
     */
    record Limits(long answerSlackNanos, long drainGraceNanos) { }

    /**
     * Numbers of requests by their outcome, and of what was excused or could not be checked. {@code unanswered} counts two ends:
     * the gateway closed the connection without a complete answer, and the client closed long after its deadline. Requests that
     * have not ended are counted in {@code open} while they are tracked.
     */
    record Counts(long requests, long served, long refused, long failed, long abandoned, long unanswered, long excused,
                  long unaudited, long unjudgedOverloadCrashes, long open) { }

    /** An answer past the slack and up to this long after its client's deadline only counts as late; after that also as lost. */
    private static final long LOST_ANSWER_DELAY_NANOS = 500_000_000L;
    /** An attempt that reaches a node longer than this after its client left is a breach, even if the gateway was paused. */
    private static final long ABANDONMENT_GRACE_NANOS = 100_000_000L;
    /** Requests are kept this long after the later of deadline and end, since further attempts may reach nodes. */
    private static final long RETENTION_AFTER_END_NANOS = 2_000_000_000L;
    /** Allowance after a process was resumed: it first has to read all that arrived meanwhile. */
    private static final long RESUME_GRACE_NANOS = 300_000_000L;
    /** Requests sent up to this long after a kill are excused too, since clients notice the kill late. */
    private static final long KILL_EXCUSE_NANOS = 1_000_000_000L;
    private static final long LATENESS_RETENTION_NANOS = 10_000_000_000L;
    /** Longest time from SIGTERM to the kill. A gateway that was paused within it need not have exited by itself. */
    private static final long MAX_SHUTDOWN_NANOS = 4_000_000_000L;
    /** Number of event loops of the lab that a request passes through, whose lateness adds up. */
    private static final long LATENESS_FACTOR = 4;
    /**
     * A lab that runs late sends in bursts, which a cold node's overload budget can't distinguish from an overload by gateways.
     * Bursts of up to a fifth of the default overload window are within the headroom that a gateway has to leave.
     */
    private static final long OVERLOAD_LOOKBACK_NANOS = 2_000_000_000L, MAX_LATENESS_AT_OVERLOAD_NANOS = 300_000_000L;
    static final int MAX_TRACKED_REQUESTS = 200_000, MAX_RECORDED_BREACHES = 100;
    private static final int MAX_TIMELINE_ENTRIES = 40;
    /** An overload crash is a breach if at least this fraction of the work came from gateways notified of the node's start. */
    private static final double MIN_INFORMED_WORK_FRACTION = 2.0 / 3;
    private static final int OK = 200, TOO_MANY_REQUESTS = 429, SERVICE_UNAVAILABLE = 503;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<String, RequestSemantics> semanticsByClass;
    private final List<NodeLocation> nodeLocations;
    private final Limits limits;
    /** Requests in memory by id, in the order in which clients sent them. */
    private final Map<String, TrackedRequest> trackedRequests = new LinkedHashMap<>();
    private final Map<Long, Long> drainNotifiedAtNanos = new HashMap<>();
    private final Map<Long, Long> startNotifiedAtNanos = new HashMap<>();
    private final Map<Integer, Long> nodeStartedAtNanos = new HashMap<>();
    /** Times of all kills by gateway. Not pruned, since a plan has few. */
    private final Map<Integer, List<Long>> killTimesByGateway = new HashMap<>();
    private final ArrayDeque<Observation.LabLate> recentLateness = new ArrayDeque<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Set<Rule> brokenRules = new TreeSet<>();
    private long breachCount;
    private final Map<String, Long> attemptCounts = new HashMap<>();
    private long timelineOriginNanos = Long.MIN_VALUE;
    private long newestSequence = -1;
    private long requestCount;
    private long served;
    private long refused;
    private long failed;
    private long abandoned;
    private long unanswered;
    /** A pause of a gateway's process; {@code untilNanos} is {@link Long#MAX_VALUE} until it is resumed. */
    private record Pause(int gateway, long fromNanos, long untilNanos) { }

    private final List<Pause> pauses = new ArrayList<>();
    private long excused;
    private long unaudited;
    private long unjudgedOverloadCrashes;
    private long answeredLate;

    /** How a request ended, as its client observed it. */
    private enum RequestOutcome { NONE, SERVED, REFUSED, FAILED, ABANDONED, ABORTED, TIMED_OUT }

    /** An attempt as a node observed it. */
    private static final class Attempt {
        private final int node;
        private final long atNanos;
        /** Since when the gateway had known that the node accepts no new requests, or null if it had not been notified. */
        private final Long drainNotifiedAtNanos;
        private boolean rejected;

        Attempt(int node, long atNanos, Long drainNotifiedAtNanos) {
            this.node = node;
            this.atNanos = atNanos;
            this.drainNotifiedAtNanos = drainNotifiedAtNanos;
        }
    }

    /** One entry of a request's timeline. */
    private record TimelineEntry(long atNanos, String text) { }

    /** What is known of a request, until it is judged and removed. */
    private static final class TrackedRequest {
        private final String id;
        private final int gateway;
        private final String requestClass;
        private final RequestSemantics semantics;
        private final long sentAtNanos;
        private final long deadlineNanos;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private final List<String> producedBodies = new ArrayList<>(1);
        private final List<TimelineEntry> timeline = new ArrayList<>(6);
        private final Set<Rule> brokenRules = new TreeSet<>();
        private RequestOutcome outcome = RequestOutcome.NONE;
        private long endedAtNanos;
        /** Whether its gateway was killed during its shutdown without having answered it. */
        private boolean unansweredAtKill;

        TrackedRequest(String id, int gateway, String requestClass, RequestSemantics semantics, long sentAtNanos,
                long deadlineNanos) {
            this.id = id;
            this.gateway = gateway;
            this.requestClass = requestClass;
            this.semantics = semantics;
            this.sentAtNanos = sentAtNanos;
            this.deadlineNanos = deadlineNanos;
        }

        /** Returns the first attempt that no node has rejected, and that may therefore have run, or null. */
        Attempt firstUnrejectedAttempt() {
            for (Attempt attempt : attempts) {
                if (!attempt.rejected) {
                    return attempt;
                }
            }
            return null;
        }
    }

    Auditor(Map<String, RequestSemantics> semanticsByClass, List<NodeLocation> nodeLocations, Limits limits) {
        this.semanticsByClass = Map.copyOf(semanticsByClass);
        this.nodeLocations = List.copyOf(nodeLocations);
        this.limits = limits;
    }

    /** Processes one observation. All observations must come from one thread. */
    void observe(Observation observation) {
        timelineOriginNanos = timelineOriginNanos == Long.MIN_VALUE ? observation.atNanos() : timelineOriginNanos;
        if (observation instanceof Observation.RequestSent s) {
            onRequestSent(s);
        } else if (observation instanceof Observation.AnswerReceived s) {
            onAnswerReceived(s);
        } else if (observation instanceof Observation.SurplusAnswer s) {
            TrackedRequest request = trackedRequests.get(s.id());
            if (request != null) {
                addTimelineEntry(request, s.atNanos(), "the client receives a surplus answer");
            }
            recordBreach(Rule.ANSWERED_TWICE, s.id(), request, "the client received more than one answer to this request");
        } else if (observation instanceof Observation.ClientTimedOut s) {
            recordOutcome(s.id(), s.atNanos(), RequestOutcome.TIMED_OUT,
                    "the client closes: no answer has come long after its deadline");
        } else if (observation instanceof Observation.GatewayPauseChanged s) {
            onGatewayPauseChanged(s);
        } else if (observation instanceof Observation.ConnectionAborted s) {
            recordOutcome(s.id(), s.atNanos(), RequestOutcome.ABORTED, "the connection is closed without a complete answer");
        } else if (observation instanceof Observation.RequestAbandoned s) {
            recordOutcome(s.id(), s.atNanos(), RequestOutcome.ABANDONED, "the client abandons the request and closes");
        } else if (observation instanceof Observation.AttemptReceived s) {
            onAttemptReceived(s);
        } else if (observation instanceof Observation.ExecutionStarted s) {
            addTimelineEntryById(s.id(), s.atNanos(), LabNames.nodeName(s.node()) + " runs it");
        } else if (observation instanceof Observation.AttemptRejected s) {
            onAttemptRejected(s);
        } else if (observation instanceof Observation.AnswerProduced s) {
            addTimelineEntryById(s.id(), s.atNanos(), LabNames.nodeName(s.node()) + " answers");
            TrackedRequest request = trackedRequests.get(s.id());
            if (request != null) {
                request.producedBodies.add(s.body());
            }
        } else if (observation instanceof Observation.ReadinessNotified s) {
            if (s.up()) {
                drainNotifiedAtNanos.remove(gatewayNodeKey(s.gateway(), s.node()));
            } else {
                drainNotifiedAtNanos.putIfAbsent(gatewayNodeKey(s.gateway(), s.node()), s.atNanos());
            }
        } else if (observation instanceof Observation.StartNotified s) {
            startNotifiedAtNanos.put(gatewayNodeKey(s.gateway(), s.node()), s.atNanos());
        } else if (observation instanceof Observation.NodeStarted s) {
            nodeStartedAtNanos.put(s.node(), s.atNanos());
        } else if (observation instanceof Observation.OverloadCrash s) {
            onOverloadCrash(s);
        } else if (observation instanceof Observation.GatewayKilled s) {
            onGatewayKilled(s);
        } else if (observation instanceof Observation.GatewayKilledAtShutdown s) {
            onGatewayKilledAtShutdown(s);
        } else if (observation instanceof Observation.GatewayStarting s) {
            drainNotifiedAtNanos.keySet().removeIf(key -> key >> 32 == s.gateway());
            startNotifiedAtNanos.keySet().removeIf(key -> key >> 32 == s.gateway());
        } else if (observation instanceof Observation.GatewayExited s) {
            recordBreach(Rule.GATEWAY_ENDED, LabNames.gatewayName(s.gateway()), null, "the gateway's process failed: "
                    + s.reason());
        } else if (observation instanceof Observation.LabLate s) {
            recentLateness.add(s);
            while (recentLateness.peekFirst().atNanos() < s.atNanos() - LATENESS_RETENTION_NANOS) {
                recentLateness.removeFirst();
            }
        }
        // Closes at most two requests for each observation, so that the cost is spread evenly.
        closeExpired(observation.atNanos(), 2);
    }

    private void onRequestSent(Observation.RequestSent s) {
        requestCount++;
        newestSequence = Math.max(newestSequence, LabNames.sequenceOf(s.id()));
        if (trackedRequests.size() >= MAX_TRACKED_REQUESTS) {
            unaudited++;
            return;
        }
        TrackedRequest request = new TrackedRequest(s.id(), s.gateway(), s.requestClass(),
                semanticsByClass.get(s.requestClass()), s.atNanos(), s.atNanos() + s.timeoutNanos());
        trackedRequests.put(s.id(), request);
        addTimelineEntry(request, s.atNanos(), "asked of " + LabNames.gatewayName(s.gateway()) + " as " + s.requestClass()
                + ", within "
                + s.timeoutNanos() / 1_000_000 + "ms");
    }

    private void onAnswerReceived(Observation.AnswerReceived s) {
        RequestOutcome outcome = s.status() == OK ? RequestOutcome.SERVED
                : s.status() == TOO_MANY_REQUESTS || s.status() == SERVICE_UNAVAILABLE ? RequestOutcome.REFUSED
                : RequestOutcome.FAILED;
        TrackedRequest request = trackedRequests.get(s.id());
        if (!recordOutcome(s.id(), s.atNanos(), outcome, "answered " + s.status()) || request == null) {
            return;
        }
        if (outcome == RequestOutcome.SERVED && !request.producedBodies.contains(s.body())) {
            recordBreach(Rule.FOREIGN_ANSWER, s.id(), request, "no node produced this body for the request: '"
                    + abbreviate(s.body()) + "'");
        }
        if (outcome == RequestOutcome.REFUSED && isRefusalForbidden(request)) {
            recordBreach(Rule.REFUSED_THOUGH_RAN, s.id(), request, "refused, although a node may have run it");
        }
    }

    /** Returns whether a refusal would wrongly tell the client that a retry is harmless. */
    private static boolean isRefusalForbidden(TrackedRequest request) {
        boolean repeatIsHarmful = request.semantics.effect() == Effect.UNSAFE
                || request.semantics.effect() == Effect.KEYED && request.semantics.dedupScope() != Scope.ALL;
        return repeatIsHarmful && request.firstUnrejectedAttempt() != null;
    }

    /** Records the outcome that the client observed; returns false if the request is not tracked or had already ended. */
    private boolean recordOutcome(String id, long at, RequestOutcome outcome, String text) {
        TrackedRequest request = trackedRequests.get(id);
        if (request == null) {
            return false;
        }
        addTimelineEntry(request, at, text);
        if (request.outcome != RequestOutcome.NONE) {
            return false;
        }
        request.outcome = outcome;
        request.endedAtNanos = at;
        switch (outcome) {
            case SERVED -> served++;
            case REFUSED -> refused++;
            case FAILED -> failed++;
            case ABANDONED -> abandoned++;
            default -> unanswered++;
        }
        return true;
    }

    private void onAttemptReceived(Observation.AttemptReceived s) {
        TrackedRequest request = trackedRequests.get(s.id());
        if (request == null) {
            // With any unaudited request, an id that was sent proves nothing: it may be that of a request that was never tracked.
            if (unaudited == 0 || LabNames.sequenceOf(s.id()) < 0 || LabNames.sequenceOf(s.id()) > newestSequence) {
                boolean sentEarlier = LabNames.sequenceOf(s.id()) >= 0 && LabNames.sequenceOf(s.id()) <= newestSequence;
                recordBreach(sentEarlier ? Rule.SENT_AFTER_ANSWER : Rule.UNKNOWN_REQUEST, s.id(), null,
                        LabNames.nodeName(s.node()) + (sentEarlier ? " got it long after its end"
                        : " got a request that no client sent"));
            }
            return;
        }
        addTimelineEntry(request, s.atNanos(), "reaches " + LabNames.nodeName(s.node()));
        attemptCounts.merge(LabNames.gatewayClassKey(request.gateway, request.requestClass), 1L, Long::sum);
        Attempt first = request.firstUnrejectedAttempt();
        if (first != null && request.semantics.effect() == Effect.UNSAFE) {
            recordBreach(Rule.RAN_TWICE, s.id(), request, "sent again to " + LabNames.nodeName(s.node()) + " although "
                    + LabNames.nodeName(first.node) + " may have run it");
        }
        if (first != null && request.semantics.effect() == Effect.KEYED && isOutsideDedup(request.semantics, first, s)) {
            recordBreach(Rule.OUTSIDE_GROUP, s.id(), request, "resent to " + LabNames.nodeName(s.node())
                    + ", which drops no repeat of what "
                    + LabNames.nodeName(first.node) + " may have run");
        }
        request.attempts.add(new Attempt(s.node(), s.atNanos(),
                drainNotifiedAtNanos.get(gatewayNodeKey(request.gateway, s.node()))));
        if (request.outcome == RequestOutcome.REFUSED && isRefusalForbidden(request)) {
            recordBreach(Rule.REFUSED_THOUGH_RAN, s.id(), request, "forwarded to a node after it had been refused");
        }
    }

    /** Returns whether the next node lies outside the first one's dedup group, or the dedup window has passed. */
    private boolean isOutsideDedup(RequestSemantics semantics, Attempt first, Observation.AttemptReceived next) {
        NodeLocation firstLocation = nodeLocations.get(first.node);
        NodeLocation nextLocation = nodeLocations.get(next.node());
        boolean sameGroup = switch (semantics.dedupScope()) {
            case ALL -> true;
            case ZONE -> firstLocation.zone().equals(nextLocation.zone());
            case CELL -> firstLocation.zone().equals(nextLocation.zone()) && firstLocation.cell() == nextLocation.cell();
        };
        return !sameGroup || next.atNanos() - first.atNanos > semantics.dedupWindowNanos() + limits.answerSlackNanos()
                + latenessAllowanceNanos(first.atNanos, next.atNanos());
    }

    private void onAttemptRejected(Observation.AttemptRejected s) {
        addTimelineEntryById(s.id(), s.atNanos(), LabNames.nodeName(s.node()) + " rejects it");
        TrackedRequest request = trackedRequests.get(s.id());
        if (request != null) {
            for (int i = request.attempts.size() - 1; i >= 0; i--) {
                Attempt attempt = request.attempts.get(i);
                if (attempt.node == s.node() && !attempt.rejected) {
                    attempt.rejected = true;
                    return;
                }
            }
        }
    }

    private void onOverloadCrash(Observation.OverloadCrash s) {
        double totalWork = 0;
        double informedWork = 0;
        for (Map.Entry<Integer, Double> gatewayWork : s.workByGateway().entrySet()) {
            totalWork += gatewayWork.getValue();
            Long notifiedAtNanos = startNotifiedAtNanos.get(gatewayNodeKey(gatewayWork.getKey(), s.node()));
            informedWork += notifiedAtNanos != null
                    && notifiedAtNanos >= nodeStartedAtNanos.getOrDefault(s.node(), Long.MAX_VALUE) ? gatewayWork.getValue() : 0;
        }
        if (informedWork >= MIN_INFORMED_WORK_FRACTION * totalWork
                && latenessAllowanceNanos(s.atNanos() - OVERLOAD_LOOKBACK_NANOS,
                s.atNanos()) > LATENESS_FACTOR * MAX_LATENESS_AT_OVERLOAD_NANOS) {
            unjudgedOverloadCrashes++;
        } else if (informedWork >= MIN_INFORMED_WORK_FRACTION * totalWork) {
            recordBreach(Rule.PUSHED_OVER, LabNames.nodeName(s.node()), null, "crashed from overload while cold, with "
                    + Math.round(100 * informedWork / Math.max(1, totalWork))
                    + "% of the work from gateways notified of its start");
        }
    }

    private void onGatewayPauseChanged(Observation.GatewayPauseChanged s) {
        if (s.paused()) {
            pauses.add(new Pause(s.gateway(), s.atNanos(), Long.MAX_VALUE));
        } else {
            pauses.replaceAll(p -> p.gateway == s.gateway() && p.untilNanos == Long.MAX_VALUE
                    ? new Pause(p.gateway, p.fromNanos, s.atNanos()) : p);
        }
    }

    /** Returns how long the request's gateway was paused between these times, with an allowance after each resumption. */
    private long pausedNanos(TrackedRequest request, long from, long to) {
        long sum = 0;
        for (Pause p : pauses) {
            if (p.gateway == request.gateway && p.fromNanos < to && p.untilNanos + RESUME_GRACE_NANOS > from) {
                sum += Math.min(to, p.untilNanos == Long.MAX_VALUE ? to : p.untilNanos + RESUME_GRACE_NANOS) - Math.max(from,
                        p.fromNanos);
            }
        }
        return sum;
    }

    private void onGatewayKilled(Observation.GatewayKilled s) {
        killTimesByGateway.computeIfAbsent(s.gateway(), gateway -> new ArrayList<>()).add(s.atNanos());
        trackedRequests.values().stream()
                .filter(request -> request.gateway == s.gateway() && request.outcome == RequestOutcome.NONE)
                .forEach(request -> addTimelineEntry(request, s.atNanos(), LabNames.gatewayName(s.gateway()) + " is killed"));
    }

    /**
     * Nothing excuses requests that such a kill finds unanswered: the gateway got SIGTERM, and knows when the kill may come.
     * Only those sent within the answer slack before the kill are spared here, and judged like any other.
     */
    private void onGatewayKilledAtShutdown(Observation.GatewayKilledAtShutdown s) {
        boolean wasPaused = pauses.stream()
                .anyMatch(p -> p.gateway == s.gateway() && p.untilNanos > s.atNanos() - MAX_SHUTDOWN_NANOS);
        if (!wasPaused && latenessAllowanceNanos(s.atNanos() - MAX_SHUTDOWN_NANOS, s.atNanos()) <= limits.answerSlackNanos()) {
            recordBreach(Rule.GATEWAY_ENDED, LabNames.gatewayName(s.gateway()), null,
                    "still running when the platform may kill it");
        }
        for (TrackedRequest request : trackedRequests.values()) {
            if (request.gateway == s.gateway() && request.outcome == RequestOutcome.NONE && request.sentAtNanos
                    + limits.answerSlackNanos() < s.atNanos()) {
                request.unansweredAtKill = true;
                addTimelineEntry(request, s.atNanos(), LabNames.gatewayName(s.gateway()) + " is killed during its shutdown");
            }
        }
    }

    /** Judges and removes at most {@code maxCount} of the requests whose retention is over, oldest first. */
    private void closeExpired(long now, int maxCount) {
        Iterator<TrackedRequest> oldest = trackedRequests.values().iterator();
        for (int i = 0; i < maxCount && oldest.hasNext(); i++) {
            TrackedRequest request = oldest.next();
            long expiresAtNanos = Math.max(request.deadlineNanos, request.outcome == RequestOutcome.NONE ? 0
                    : request.endedAtNanos)
                    + RETENTION_AFTER_END_NANOS + latenessAllowanceNanos(request.sentAtNanos, now)
                    + pausedNanos(request, request.sentAtNanos, now);
            if (now <= expiresAtNanos) {
                return;
            }
            oldest.remove();
            closeRequest(request);
        }
    }

    /**
     * Judges a request whose time is over. {@link Rule#LOST}, {@link Rule#SENT_AFTER_LEAVING}, {@link Rule#SENT_AFTER_DRAIN} and,
     * while the request is tracked, {@link Rule#SENT_AFTER_ANSWER} are judged here and not at the observation, because they
     * depend on time, and the lab's lateness is reported only after the observations that it delayed. All other rules are judged
     * at the observation, among them {@link Rule#OUTSIDE_GROUP}, with the lateness that is known by then.
     */
    private void closeRequest(TrackedRequest request) {
        checkTimes(request);
        if (request.outcome != RequestOutcome.NONE && request.outcome != RequestOutcome.ABORTED
                && request.outcome != RequestOutcome.TIMED_OUT) {
            return;
        }
        if (request.unansweredAtKill) {
            recordBreach(Rule.LOST, request.id, request,
                    "its gateway had not answered it when it was killed during its shutdown");
            return;
        }
        if (isExcusedByAKill(request)) {
            excused++;
        } else if (request.outcome == RequestOutcome.NONE) {
            recordBreach(Rule.LOST, request.id, request, "no answer came");
        } else if (request.outcome == RequestOutcome.TIMED_OUT) {
            if (pausedNanos(request, request.sentAtNanos, request.endedAtNanos) > 0) {
                excused++;
            } else if (request.endedAtNanos > request.deadlineNanos + limits.answerSlackNanos()
                    + latenessAllowanceNanos(request.sentAtNanos, request.endedAtNanos)) {
                recordBreach(Rule.LOST, request.id, request, "no answer until "
                        + formatMillis(request.endedAtNanos - request.deadlineNanos) + " after its deadline");
            } else {
                // An answer may have waited unread in the lab until its client closed; that is not the gateway's fault.
                unaudited++;
            }
        } else if (!request.attempts.isEmpty()) {
            // That the gateway had accepted the request is inferred from an attempt that a node saw.
            recordBreach(Rule.LOST, request.id, request,
                    "the gateway had accepted it and closed the connection without an answer");
        }
        // Otherwise no node saw it: it is taken for a request sent while its connection was closing, and never accepted.
    }

    /**
     * Returns whether a kill of its gateway excuses the request. All kills are examined, since a request is judged seconds after
     * its end, and its gateway may have been killed again by then.
     */
    private boolean isExcusedByAKill(TrackedRequest request) {
        return killTimesByGateway.getOrDefault(request.gateway, List.of()).stream()
                .anyMatch(killedAtNanos -> killedAtNanos + KILL_EXCUSE_NANOS >= request.sentAtNanos
                && (request.outcome == RequestOutcome.NONE || request.endedAtNanos >= killedAtNanos));
    }

    /** Checks the rules that depend on time: late answers, and attempts after the end or after a drain. */
    private void checkTimes(TrackedRequest request) {
        boolean answered = request.outcome == RequestOutcome.SERVED || request.outcome == RequestOutcome.REFUSED
                || request.outcome == RequestOutcome.FAILED;
        answeredLate += answered && request.endedAtNanos > request.deadlineNanos + limits.answerSlackNanos() ? 1 : 0;
        if (answered && request.endedAtNanos > request.deadlineNanos + LOST_ANSWER_DELAY_NANOS
                + latenessAllowanceNanos(request.sentAtNanos, request.endedAtNanos)
                + pausedNanos(request, request.sentAtNanos, request.endedAtNanos)) {
            recordBreach(Rule.LOST, request.id, request, "answered " + formatMillis(request.endedAtNanos - request.deadlineNanos)
                    + " after the client's deadline");
        }
        for (Attempt attempt : request.attempts) {
            long slackNanos = limits.answerSlackNanos() + latenessAllowanceNanos(request.sentAtNanos, attempt.atNanos)
                    + pausedNanos(request, request.sentAtNanos - limits.drainGraceNanos(), attempt.atNanos);
            boolean clientGone = request.outcome == RequestOutcome.ABANDONED || request.outcome == RequestOutcome.TIMED_OUT;
            if (clientGone && attempt.atNanos > request.endedAtNanos + ABANDONMENT_GRACE_NANOS
                    + latenessAllowanceNanos(request.sentAtNanos, attempt.atNanos)) {
                recordBreach(Rule.SENT_AFTER_LEAVING, request.id, request, "reaches " + LabNames.nodeName(attempt.node) + " "
                        + formatMillis(attempt.atNanos - request.endedAtNanos) + " after its client left");
            }
            if (answered && attempt.atNanos > request.endedAtNanos + slackNanos) {
                recordBreach(Rule.SENT_AFTER_ANSWER, request.id, request, "reaches " + LabNames.nodeName(attempt.node) + " "
                        + formatMillis(attempt.atNanos - request.endedAtNanos) + " after its answer");
            }
            if (attempt.drainNotifiedAtNanos != null
                    && attempt.atNanos > attempt.drainNotifiedAtNanos + limits.drainGraceNanos() + slackNanos) {
                recordBreach(Rule.SENT_AFTER_DRAIN, request.id, request, LabNames.nodeName(attempt.node)
                        + " had been known to be draining or gone for "
                        + formatMillis(attempt.atNanos - attempt.drainNotifiedAtNanos));
            }
        }
    }

    /** Judges all remaining requests, as if their time were over. */
    void finish() {
        trackedRequests.values().forEach(this::closeRequest);
        trackedRequests.clear();
    }

    /** Returns the delay between these times that the lab's own lateness may account for. */
    private long latenessAllowanceNanos(long from, long to) {
        long worstNanos = 0;
        for (Observation.LabLate lateness : recentLateness) {
            if (lateness.atNanos() >= from && lateness.atNanos() - lateness.latenessNanos() <= to) {
                worstNanos = Math.max(worstNanos, lateness.latenessNanos());
            }
        }
        return LATENESS_FACTOR * worstNanos;
    }

    /** Records a breach, each rule at most once for a request. */
    private void recordBreach(Rule rule, String subject, TrackedRequest request, String description) {
        if (request != null && !request.brokenRules.add(rule)) {
            return;
        }
        breachCount++;
        brokenRules.add(rule);
        if (breaches.size() < MAX_RECORDED_BREACHES) {
            List<TimelineEntry> timeline = request == null ? List.of() : request.timeline;
            breaches.add(new Breach(rule, subject, description, timeline.stream().map(entry ->
                    String.format(Locale.ROOT, "%9.1fms %s", (entry.atNanos - timelineOriginNanos) / NANOS_PER_MILLI,
                            entry.text)).toList()));
        }
    }

    private void addTimelineEntryById(String id, long at, String text) {
        TrackedRequest request = trackedRequests.get(id);
        if (request != null) {
            addTimelineEntry(request, at, text);
        }
    }

    private void addTimelineEntry(TrackedRequest request, long at, String text) {
        if (request.timeline.size() < MAX_TIMELINE_ENTRIES) {
            request.timeline.add(new TimelineEntry(at, text));
        }
    }

    /** Returns the first breaches, at most {@link #MAX_RECORDED_BREACHES}, with their timelines. */
    List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Returns the number of all breaches, including those that were not kept. */
    long breachCount() {
        return breachCount;
    }

    /** Returns the rules that were broken. */
    Set<Rule> brokenRules() {
        return Set.copyOf(brokenRules);
    }

    /** Returns the number of answers that came after their client's deadline and the slack, whether or not they count as lost. */
    long answeredLate() {
        return answeredLate;
    }

    /** Returns the number of requests in memory. */
    int trackedRequestCount() {
        return trackedRequests.size();
    }

    /** Returns the number of attempts that reached nodes, by the key of {@link LabNames#gatewayClassKey}. */
    Map<String, Long> attemptCounts() {
        return Map.copyOf(attemptCounts);
    }

    /** Returns the numbers of requests by outcome so far. */
    Counts counts() {
        return new Counts(requestCount, served, refused, failed, abandoned, unanswered, excused, unaudited,
                unjudgedOverloadCrashes,
                trackedRequests.values().stream().filter(request -> request.outcome == RequestOutcome.NONE).count());
    }

    /** Returns a map key with the gateway in the upper 32 bits and the node in the lower ones. */
    private static long gatewayNodeKey(int gateway, int node) {
        return (long) gateway << 32 | node;
    }

    private static String formatMillis(long nanos) {
        return Math.round(nanos / NANOS_PER_MILLI) + "ms";
    }

    private static String abbreviate(String body) {
        String line = body.lines().findFirst().orElse("");
        return line.length() > 80 ? line.substring(0, 80) + "..." : line;
    }
}
