package cinderhollow.policy;

import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.State.Attempt;
import cinderhollow.policy.State.Request;
import cinderhollow.policy.State.Server;
import java.util.List;

/**
 * Decides from a request's earlier attempts which server it may be sent to and whether its client may be refused. Times are
 * nanoseconds.
 */
final class RetryRules {
    /** Pause before a server is retried to which no connection could be opened; doubled with each such attempt. */
    private static final long RETRY_PAUSE_NANOS = 20_000_000L;
    /** Gate of a server that had the request already: it is drawn only if no other server may have it. */
    private static final double LEAST_AGAIN = 1e-9;

    private RetryRules() { }

    /** Returns whether the request may be sent to the server now, given its class's effect and its earlier attempts. */
    static boolean mayHave(Request r, Server s, long now) {
        return effectAllows(r, s, now) && mayTry(r, s, now);
    }

    /**
     * Returns whether a server that had the request may have it again. A server to which no connection could be opened may be
     * retried, after a pause that prevents a storm of retries; the maximum number of attempts bounds them. If no server were
     * ever tried twice, a moment without sockets would use up all servers of a small fleet, and the request would be held until
     * half of its aim is over and then refused. A server that has turned the request away is not asked again.
     */
    private static boolean mayTry(Request r, Server s, long now) {
        int before = 0;
        long newest = 0;
        for (int i = 0; i < r.attempts.size(); i++) {
            Attempt a = r.attempts.get(i);
            if (a.server() == s) {
                if (!a.neverReached()) {
                    return false;
                }
                before++;
                newest = a.sentAt();
            }
        }
        return before == 0 || now - newest >= RETRY_PAUSE_NANOS << before - 1;
    }

    /**
     * Returns whether no server may ever take the request: each has failed it or turned it away, or is excluded by its effect.
     * Such a request would be held for nothing, and its client would learn only at half of its aim that it should ask elsewhere.
     */
    static boolean isExhausted(Request r, List<Server> ready, long now) {
        return !r.attempts.isEmpty() && !ready.isEmpty() && ready.stream().noneMatch(s -> effectAllows(r, s, now)
                && r.attempts.stream().allMatch(a -> a.server() != s || a.neverReached()));
    }

    /** Returns the gate that keeps a server from being retried while another has not been tried. */
    static double triedGate(Request r, Server s) {
        return !r.attempts.isEmpty() && r.attempts.stream().anyMatch(a -> a.server() == s) ? LEAST_AGAIN : 1;
    }

    /**
     * Returns whether a run at this server would be harmless: nothing may have run yet, the request is safe, or the server drops
     * it as a repeat, within the dedup window and group of the first attempt that may have run.
     */
    private static boolean effectAllows(Request r, Server s, long now) {
        RequestClass c = r.kind.spec;
        Attempt first = r.firstThatMayRun();
        if (c.effect() == Effect.SAFE || first == null) {
            return true;
        }
        boolean dropped = c.effect() == Effect.KEYED && now - first.sentAt() < c.dedupWindowNanos();
        return dropped && switch (c.dedupGroup()) {
            case ALL -> true;
            case ZONE -> s.info.zone().equals(first.server().info.zone());
            case CELL -> s.info.cell() == first.server().info.cell();
        };
    }

    /**
     * Returns whether the request may be refused instead of failed. Every refusal is checked here, since it tells the client
     * that a retry is harmless.
     */
    static boolean mayRefuse(Request r) {
        RequestClass c = r.kind.spec;
        return c.effect() == Effect.SAFE || r.firstThatMayRun() == null
                || c.effect() == Effect.KEYED && c.dedupGroup() == DedupGroup.ALL;
    }
}
