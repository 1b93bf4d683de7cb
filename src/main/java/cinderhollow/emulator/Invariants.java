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
 * The rules that a gateway has to keep, held against each step of one: an answer to each request, once and in time; no second
 * run of what must not run twice; nothing to a node that it was told is draining or gone. Told the time; keeps what is open.
 */
final class Invariants {
    /** Which rule, when, and what was seen. */
    record Breach(Rule rule, long at, int gateway, String seen) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s at %.3f s, gateway %d: %s", rule, at / 1e9, gateway, seen);
        }
    }

    /** What can be broken. */
    enum Rule { LOST, ANSWERED_TWICE, RAN_TWICE, DRAIN, UNKNOWN_NODE, TOO_MANY_ATTEMPTS, REFUSED_THOUGH_IT_MAY_HAVE_RUN }

    /** More of them tell no more. */
    private static final int MOST_KEPT = 100;

    private static final class Open {
        private final RequestClass kind;
        private final long due;
        private int sends;
        /** Attempts of which nothing proves that they never ran. */
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
    /** Nodes that may be sent to, and since when those that may not are known to be so. */
    private final Map<String, Long> down = new HashMap<>();
    private final Map<String, Boolean> listed = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private long broken;

    Invariants(int gateway, Rules rules, int mostAttempts) {
        this.gateway = gateway;
        this.rules = rules;
        this.mostAttempts = mostAttempts;
    }

    private void broke(Rule rule, long now, String seen) {
        broken++;
        if (breaches.size() < MOST_KEPT) {
            breaches.add(new Breach(rule, now, gateway, seen));
        }
    }

    /** How many there were, and the first of them. */
    long broken() {
        return broken;
    }

    List<Breach> breaches() {
        return breaches;
    }

    /** The gateway was told that the node may be used, or not any more. */
    void told(long now, String node, boolean usable) {
        listed.put(node, usable);
        if (usable) {
            down.remove(node);
        } else {
            down.putIfAbsent(node, now);
        }
    }

    void arrived(long now, String request, RequestClass kind, long expiresIn) {
        open.put(request, new Open(kind, now + expiresIn + rules.answerSlackNanos()));
    }

    void sent(long now, String request, String node) {
        Open r = open.get(request);
        if (!listed.containsKey(node)) {
            broke(Rule.UNKNOWN_NODE, now, request + " to " + node);
        } else if (down.containsKey(node) && now > down.get(node) + rules.drainGraceNanos()) {
            broke(Rule.DRAIN, now, request + " to " + node + ", told at " + down.get(node) / 1e9 + " s");
        }
        if (r == null) {
            broke(Rule.ANSWERED_TWICE, now, "a send for " + request + ", which is over");
            return;
        }
        if (r.kind.effect() == Effect.UNSAFE && r.mayHaveRun > 0) {
            broke(Rule.RAN_TWICE, now, request + " of " + r.kind.name() + " again, to " + node);
        }
        r.sends++;
        r.mayHaveRun++;
        if (r.sends > mostAttempts) {
            broke(Rule.TOO_MANY_ATTEMPTS, now, request + ": " + r.sends);
        }
    }

    int gateway() {
        return gateway;
    }

    void ended(String request, Outcome outcome) {
        Open r = open.get(request);
        if (r != null && outcome.provesItNeverRan()) {
            r.mayHaveRun--;
        }
    }

    /** The final answer; served, refused or failed. */
    void answered(long now, String request, boolean refused) {
        Open r = open.get(request);
        if (r == null || r.answered) {
            broke(Rule.ANSWERED_TWICE, now, request);
            return;
        }
        r.answered = true;
        if (refused && r.kind.effect() == Effect.UNSAFE && r.mayHaveRun > 0) {
            broke(Rule.REFUSED_THOUGH_IT_MAY_HAVE_RUN, now, request + " of " + r.kind.name());
        }
        if (now > r.due) {
            broke(Rule.LOST, now, request + " answered " + (now - r.due) / 1e6 + " ms too late");
        }
    }

    /** Its client has gone: nothing is owed. */
    void left(String request) {
        Open r = open.get(request);
        if (r != null) {
            r.answered = true;
        }
    }

    /** All of its attempts have ended, and it has its answer. */
    void over(String request) {
        open.remove(request);
    }

    /** How many requests it holds: what is over must not stay. */
    int held() {
        return open.size();
    }

    /** Nothing more is to come. */
    void finish(long now) {
        open.forEach((request, r) -> {
            if (!r.answered && now > r.due) {
                broke(Rule.LOST, now, request + " never answered");
            }
        });
    }
}
