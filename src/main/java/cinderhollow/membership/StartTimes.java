package cinderhollow.membership;

import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Converts the times at which servers started from discovery's clock to the gateway's, whose wall clock may have been stepped
 * before this process set its own by it. A server can't have started in the future, nor long before the last list, which did not
 * name that start: either tells how far the clocks are apart, and the server counts as started just now. Without this a clock that
 * runs ahead takes each cold server for a warm one, and one that is behind takes it for cold until its clock has caught up. No
 * input or output; all times are nanoseconds of the gateway's clock.
 */
public final class StartTimes {
    /** Clocks of one site agree to this without being stepped. */
    private static final long AGREED_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Lists come late by seconds; a start that is unheard of for longer was told by another clock. */
    private static final long LATEST_LIST_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MOST_KNOWN = 100_000;

    /** A start as discovery told it, and when it was by the gateway's clock. */
    private record Start(long told, long at) { }

    private final Map<String, Start> known = new HashMap<>();
    /** How far discovery's clock is ahead. */
    private long offset;
    private boolean listed;
    private long listedAt;

    /** The same list with starts by the gateway's clock; it was received at this time. */
    public EndpointList convert(EndpointList list, long now) {
        boolean changed = false;
        List<Endpoint> endpoints = new ArrayList<>(list.endpoints().size());
        for (Endpoint endpoint : list.endpoints()) {
            ServerInfo info = endpoint.info();
            long at = startedAt(info.id(), info.startedAtNanos(), now);
            changed |= at != info.startedAtNanos();
            endpoints.add(at == info.startedAtNanos() ? endpoint : new Endpoint(new ServerInfo(info.id(), info.zone(), info.kind(),
                    info.cell(), info.readiness(), info.capacityHint(), at), endpoint.address()));
        }
        listed = true;
        listedAt = now;
        return changed ? new EndpointList(list.index(), list.snapshot(), endpoints) : list;
    }

    /** Takes in a list that was told at some earlier time: it tells of starts, and not that others are new. */
    public EndpointList convertCached(EndpointList list, long now) {
        EndpointList converted = convert(list, now);
        listed = false;
        return converted;
    }

    /** How far discovery's clock seems to be ahead of the gateway's. */
    public long offset() {
        return offset;
    }

    private long startedAt(String name, long told, long now) {
        if (told == 0) {
            return 0;
        }
        Start before = known.get(name);
        if (before != null && before.told == told) {
            return before.at;
        }
        long at = told - offset;
        boolean inFuture = at > now + AGREED_NANOS;
        boolean unheardOf = listed && at < listedAt - LATEST_LIST_NANOS;
        if (inFuture || unheardOf) {
            offset = told - now;
            at = now;
        }
        if (known.size() >= MOST_KNOWN) {
            known.clear();
        }
        known.put(name, new Start(told, at));
        return at;
    }
}
