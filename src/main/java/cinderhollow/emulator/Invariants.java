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
    record Breach(Rule rule, long at, int gateway, String seen) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s at %.3f s, gateway %d: %s", rule, at / 1e9, gateway, seen);
        }
    }

    /** The rules that can be broken. */
    enum Rule { LOST, ANSWERED_TWICE, RAN_TWICE, DRAIN, UNKNOWN_NODE, TOO_MANY_ATTEMPTS, REFUSED_THOUGH_IT_MAY_HAVE_RUN }

    /** Maximum number of breaches kept with a description; further ones add no information and are only counted. */
    private static final int MOST_KEPT = 100;

    /** A request without an answer, or with attempts that have not ended. */
    private static final class Open {
        private final RequestClass kind;
        private final long due;
        private int sends;
        /** Number of attempts of which nothing proves that they never ran. */
        private int mayHaveRun;
        private boolean answered;

        Open(RequestClass kind, long due) {
            this.kind = kind;
            this.due = due;
        }
    }

    private final int gateway;
    private final Rules rules;
    private final int mostAttempts;
    private final Map<String, Open> open = new HashMap<>();
    /** By node that is not ready: when the gateway was first notified of it, in nanoseconds. */
    private final Map<String, Long> down = new HashMap<>();
    /** Nodes that a list has named, with their latest readiness. */
    private final Map<String, Boolean> listed = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private long broken;

    Invariants(int gateway, Rules rules, int mostAttempts) {
        this.gateway = gateway;
        this.rules = rules;
        this.mostAttempts = mostAttempts;
    }

    /** Counts a breach, and keeps it if it is one of the first. */
    private void broke(Rule rule, long now, String seen) {
        broken++;
        if (breaches.size() < MOST_KEPT) {
            breaches.add(new Breach(rule, now, gateway, seen));
        }
    }

    /** Returns the number of breaches; {@link #breaches} has the first of them. */
    long broken() {
        return broken;
    }

    /** Returns the first breaches. */
    List<Breach> breaches() {
        return breaches;
    }

    /** Records that the gateway was notified that the node may be used, or that it may not be used any more. */
    void told(long now, String node, boolean usable) {
        listed.put(node, usable);
        if (usable) {
            down.remove(node);
        } else {
            down.putIfAbsent(node, now);
        }
    }

    /** Records that the gateway received a request, which has the given time in nanoseconds until its deadline. */
    void arrived(long now, String request, RequestClass kind, long expiresIn) {
        open.put(request, new Open(kind, now + expiresIn + rules.answerSlackNanos()));
    }

    /** Records that the gateway sends an attempt, and checks whether it may. */
    void sent(long now, String request, String node) {
        Open r = open.get(request);
        if (!listed.containsKey(node)) {
            broke(Rule.UNKNOWN_NODE, now, request + " sent to unknown node " + node);
        } else if (down.containsKey(node) && now > down.get(node) + rules.drainGraceNanos()) {
            broke(Rule.DRAIN, now, request + " sent to " + node + ", notified as not ready at " + down.get(node) / 1e9 + " s");
        }
        if (r == null) {
            broke(Rule.ANSWERED_TWICE, now, "attempt sent for " + request + ", which has already ended");
            return;
        }
        if (r.kind.effect() == Effect.UNSAFE && r.mayHaveRun > 0) {
            broke(Rule.RAN_TWICE, now, request + " of class " + r.kind.name() + " sent again to " + node);
        }
        r.sends++;
        r.mayHaveRun++;
        if (r.sends > mostAttempts) {
            broke(Rule.TOO_MANY_ATTEMPTS, now, request + " has too many attempts: " + r.sends);
        }
    }

    int gateway() {
        return gateway;
    }

    /** Records that an attempt of the request ended with this outcome. */
    void ended(String request, Outcome outcome) {
        Open r = open.get(request);
        if (r != null && outcome.provesItNeverRan()) {
            r.mayHaveRun--;
        }
    }

    /** Records the final answer (served, refused or failed), and checks that it is the only one, allowed and in time. */
    void answered(long now, String request, boolean refused) {
        Open r = open.get(request);
        if (r == null || r.answered) {
            broke(Rule.ANSWERED_TWICE, now, request);
            return;
        }
        r.answered = true;
        if (refused && r.kind.effect() == Effect.UNSAFE && r.mayHaveRun > 0) {
            broke(Rule.REFUSED_THOUGH_IT_MAY_HAVE_RUN, now, request + " refused although it may have run, of class " + r.kind.name());
        }
        if (now > r.due) {
            broke(Rule.LOST, now, request + " answered " + (now - r.due) / 1e6 + " ms too late");
        }
    }

    /** Records that the client of the request left, so that no answer is due. */
    void left(String request) {
        Open r = open.get(request);
        if (r != null) {
            r.answered = true;
        }
    }

    /** Removes a request: it is answered or abandoned and all its attempts have ended, or the gateway was killed. */
    void over(String request) {
        open.remove(request);
    }

    /** Returns the number of requests not removed yet; ended requests must not remain. */
    int held() {
        return open.size();
    }

    /** At the end of a run: records a breach for each request that was due and was never answered. */
    void finish(long now) {
        open.forEach((request, r) -> {
            if (!r.answered && now > r.due) {
                broke(Rule.LOST, now, request + " was never answered");
            }
        });
    }
}
