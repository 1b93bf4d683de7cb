package cinderhollow.emulator;

import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks each step of one gateway against the rules that it must keep: each request is answered once and in time; a request
 * that must not run twice is not sent again after an attempt that may have run; nothing is sent to a node after the drain grace
 * that follows the notice that it is draining or gone. Callers pass the time; only open requests and known nodes are kept.
 */
final class Invariants {
    /** A breach: the rule, when it was broken (nanoseconds), the gateway, and what was observed. */
    record Breach(Rule rule, long atNanos, int gateway, String description) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s at %.3f s, gateway %d: %s", rule, atNanos / 1e9, gateway, description);
        }
    }

    /** The rules that can be broken. */
    enum Rule { LOST, ANSWERED_TWICE, RAN_TWICE, DRAIN, UNKNOWN_NODE, TOO_MANY_ATTEMPTS, REFUSED_THOUGH_IT_MAY_HAVE_RUN }

    /** Maximum number of breaches kept with a description; further ones add no information and are only counted. */
    private static final int MAX_RECORDED_BREACHES = 100;

    /** A request without an answer, or with attempts that have not ended. */
    private static final class OpenRequest {
        private final RequestClass requestClass;
        private final long answerDueAt;
        private int attemptCount;
        /** Number of attempts of which nothing proves that they never ran. */
        private int possibleRuns;
        private boolean answered;

        OpenRequest(RequestClass requestClass, long answerDueAt) {
            this.requestClass = requestClass;
            this.answerDueAt = answerDueAt;
        }
    }

    private final int gateway;
    private final Rules rules;
    private final int maxAttempts;
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
    /** By node that is not ready: when the gateway was first notified of it, in nanoseconds. */
    private final Map<String, Long> notReadySince = new HashMap<>();
    /** Nodes that a list has named, with their latest readiness. */
    private final Map<String, Boolean> listedNodes = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private long breachCount;

    Invariants(int gateway, Rules rules, int maxAttempts) {
        this.gateway = gateway;
        this.rules = rules;
        this.maxAttempts = maxAttempts;
    }

    /** Counts a breach, and keeps it if it is one of the first. */
    private void recordBreach(Rule rule, long now, String description) {
        breachCount++;
        if (breaches.size() < MAX_RECORDED_BREACHES) {
            breaches.add(new Breach(rule, now, gateway, description));
        }
    }

    /** Returns the number of breaches; {@link #breaches} has the first of them. */
    long breachCount() {
        return breachCount;
    }

    /** Returns the first breaches. */
    List<Breach> breaches() {
        return breaches;
    }

    /** Records that the gateway was notified that the node may be used, or that it may not be used any more. */
    void onNodeReadiness(long now, String node, boolean ready) {
        listedNodes.put(node, ready);
        if (ready) {
            notReadySince.remove(node);
        } else {
            notReadySince.putIfAbsent(node, now);
        }
    }

    /** Records that the gateway received a request, which has the given time in nanoseconds until its deadline. */
    void onRequestArrived(long now, String request, RequestClass requestClass, long expiresInNanos) {
        openRequests.put(request, new OpenRequest(requestClass, now + expiresInNanos + rules.answerSlackNanos()));
    }

    /** Records that the gateway sends an attempt, and checks whether it may. */
    void onAttemptSent(long now, String request, String node) {
        OpenRequest openRequest = openRequests.get(request);
        if (!listedNodes.containsKey(node)) {
            recordBreach(Rule.UNKNOWN_NODE, now, request + " sent to unknown node " + node);
        } else if (notReadySince.containsKey(node) && now > notReadySince.get(node) + rules.drainGraceNanos()) {
            recordBreach(Rule.DRAIN, now, request + " sent to " + node + ", notified as not ready at "
                    + notReadySince.get(node) / 1e9 + " s");
        }
        if (openRequest == null) {
            recordBreach(Rule.ANSWERED_TWICE, now, "attempt sent for " + request + ", which has already ended");
            return;
        }
        if (openRequest.requestClass.effect() == Effect.UNSAFE && openRequest.possibleRuns > 0) {
            recordBreach(Rule.RAN_TWICE, now, request + " of class " + openRequest.requestClass.name() + " sent again to "
                    + node);
        }
        openRequest.attemptCount++;
        openRequest.possibleRuns++;
        if (openRequest.attemptCount > maxAttempts) {
            recordBreach(Rule.TOO_MANY_ATTEMPTS, now, request + " has too many attempts: " + openRequest.attemptCount);
        }
    }

    int gateway() {
        return gateway;
    }

    /** Records that an attempt of the request ended with this outcome. */
    void onAttemptEnded(String request, Outcome outcome) {
        OpenRequest openRequest = openRequests.get(request);
        if (openRequest != null && outcome.provesItNeverRan()) {
            openRequest.possibleRuns--;
        }
    }

    /** Records the final answer (served, refused or failed), and checks that it is the only one, allowed and in time. */
    void onAnswered(long now, String request, boolean refused) {
        OpenRequest openRequest = openRequests.get(request);
        if (openRequest == null || openRequest.answered) {
            recordBreach(Rule.ANSWERED_TWICE, now, request);
            return;
        }
        openRequest.answered = true;
        if (refused && openRequest.requestClass.effect() == Effect.UNSAFE && openRequest.possibleRuns > 0) {
            recordBreach(Rule.REFUSED_THOUGH_IT_MAY_HAVE_RUN, now, request + " refused although it may have run, of class "
                    + openRequest.requestClass.name());
        }
        if (now > openRequest.answerDueAt) {
            recordBreach(Rule.LOST, now, request + " answered " + (now - openRequest.answerDueAt) / 1e6 + " ms too late");
        }
    }

    /** Records that the client of the request left, so that no answer is due. */
    void onClientLeft(String request) {
        OpenRequest openRequest = openRequests.get(request);
        if (openRequest != null) {
            openRequest.answered = true;
        }
    }

    /** Removes a request: it is answered or abandoned and all its attempts have ended, or the gateway was killed. */
    void onRequestDone(String request) {
        openRequests.remove(request);
    }

    /** Returns the number of requests not removed yet; ended requests must not remain. */
    int openRequestCount() {
        return openRequests.size();
    }

    /** At the end of a run: records a breach for each request that was due and was never answered. */
    void checkUnanswered(long now) {
        openRequests.forEach((request, openRequest) -> {
            if (!openRequest.answered && now > openRequest.answerDueAt) {
                recordBreach(Rule.LOST, now, request + " was never answered");
            }
        });
    }
}
