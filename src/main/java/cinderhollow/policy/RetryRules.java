package cinderhollow.policy;

import cinderhollow.policy.Protocol.DedupGroup;
import cinderhollow.policy.Protocol.Effect;
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
    private static final long RECONNECT_PAUSE_NANOS = 20_000_000L;
    /** Gate of a server that had the request already: it is drawn only if no other server may have it. */
    private static final double TRIED_SERVER_GATE = 1e-9;

    private RetryRules() { }

    /** Returns whether the request may be sent to the server now, given its class's effect and its earlier attempts. */
    static boolean maySendTo(Request r, Server s, long now) {
        return effectAllows(r, s, now) && mayRetryServer(r, s, now);
    }

    /**
     * Returns whether a server that had the request may have it again. A server to which no connection could be opened may be
     * retried, after a pause that prevents a storm of retries; the maximum number of attempts bounds them. If no server were
     * ever tried twice, a moment without sockets would use up all servers of a small fleet, and the request would be held until
     * half of its aim is over and then refused. A server that has turned the request away is not asked again.
     */
    private static boolean mayRetryServer(Request r, Server s, long now) {
        int earlierAttempts = 0;
        long newestSentAt = 0;
        for (int i = 0; i < r.attempts.size(); i++) {
            Attempt a = r.attempts.get(i);
            if (a.server() == s) {
                if (!a.neverReached()) {
                    return false;
                }
                earlierAttempts++;
                newestSentAt = a.sentAt();
            }
        }
        return earlierAttempts == 0 || now - newestSentAt >= RECONNECT_PAUSE_NANOS << earlierAttempts - 1;
    }

    /**
     * Returns whether no server may ever take the request: each has failed it or turned it away, or is excluded by its effect.
     * Such a request would be held for nothing, and its client would learn only at half of its aim that it should ask elsewhere.
     */
    static boolean isExhausted(Request r, List<Server> readyServers, long now) {
        return !r.attempts.isEmpty() && !readyServers.isEmpty() && readyServers.stream().noneMatch(s -> effectAllows(r, s, now)
                && r.attempts.stream().allMatch(a -> a.server() != s || a.neverReached()));
    }

    /** Returns the gate that keeps a server from being retried while another has not been tried. */
    static double triedGate(Request r, Server s) {
        return !r.attempts.isEmpty() && r.attempts.stream().anyMatch(a -> a.server() == s) ? TRIED_SERVER_GATE : 1;
    }

    /**
     * Returns whether a run at this server would be harmless: nothing may have run yet, the request is safe, or the server drops
     * it as a repeat, within the dedup window and group of the first attempt that may have run.
     */
    private static boolean effectAllows(Request r, Server s, long now) {
        RequestClass c = r.classState.requestClass;
        Attempt first = r.firstThatMayRun();
        if (c.effect() == Effect.SAFE || first == null) {
            return true;
        }
        boolean repeatIsDropped = c.effect() == Effect.KEYED && now - first.sentAt() < c.dedupWindowNanos();
        return repeatIsDropped && switch (c.dedupGroup()) {
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
        RequestClass c = r.classState.requestClass;
        return c.effect() == Effect.SAFE || r.firstThatMayRun() == null
                || c.effect() == Effect.KEYED && c.dedupGroup() == DedupGroup.ALL;
    }
}
