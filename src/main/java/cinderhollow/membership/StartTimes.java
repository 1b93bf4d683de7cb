package cinderhollow.membership;

import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Converts the start times of servers from discovery's clock to the gateway's. The two differ if the machine's wall clock was
 * stepped before this process set its own clock by it. A server can't have started in the future, nor long before the last list
 * if that did not contain this start. In both cases the difference of the clocks follows from the start time, and the server
 * counts as started just now. Without this a gateway whose clock is ahead takes every cold server for a warm one, and a gateway
 * whose clock is behind takes a server for cold until its own clock has caught up. Does no input or output; all times are
 * nanoseconds of the gateway's clock unless stated otherwise.
 */
public final class StartTimes {
    /** Clocks of one site differ by no more than this unless one has been stepped. */
    private static final long MAX_CLOCK_SKEW_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Lists are delayed by seconds at most; a start that was not listed for longer than this comes from a clock that differs. */
    private static final long MAX_LIST_DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Limits the memory; a full map is cleared, and fills again with the next starts. */
    private static final int MAX_KNOWN_STARTS = 100_000;

    /** The start of a server by discovery's clock and by the gateway's clock. */
    private record Start(long discoveryNanos, long gatewayNanos) { }

    private final Map<String, Start> knownStarts = new HashMap<>();
    /** How far discovery's clock is ahead of the gateway's; negative if it is behind. */
    private long clockOffsetNanos;
    /** Whether a list that is not a cached one has been converted. */
    private boolean hasLiveList;
    private long lastListAt;

    /** Returns the list with start times by the gateway's clock; {@code now} is when the list was received. */
    public EndpointList convert(EndpointList list, long now) {
        boolean changed = false;
        List<Endpoint> endpoints = new ArrayList<>(list.endpoints().size());
        for (Endpoint endpoint : list.endpoints()) {
            ServerInfo info = endpoint.info();
            long gatewayNanos = toGatewayTime(info.id(), info.startedAtNanos(), now);
            changed |= gatewayNanos != info.startedAtNanos();
            endpoints.add(gatewayNanos == info.startedAtNanos() ? endpoint
                    : new Endpoint(new ServerInfo(info.id(), info.zone(), info.machineType(),
                    info.cell(), info.readiness(), info.capacityHint(), gatewayNanos), endpoint.address()));
        }
        hasLiveList = true;
        lastListAt = now;
        return changed ? new EndpointList(list.index(), list.snapshot(), endpoints) : list;
    }

    /**
     * Converts a list that was received at some earlier time, such as by the process before. Its starts become known, but a start
     * that it does not contain is not taken for a new one.
     */
    public EndpointList convertCached(EndpointList list, long now) {
        EndpointList converted = convert(list, now);
        hasLiveList = false;
        return converted;
    }

    /** Returns by how many nanoseconds discovery's clock seems to be ahead of the gateway's. */
    public long clockOffsetNanos() {
        return clockOffsetNanos;
    }

    private long toGatewayTime(String serverId, long discoveryNanos, long now) {
        if (discoveryNanos == 0) {
            return 0;
        }
        Start previous = knownStarts.get(serverId);
        if (previous != null && previous.discoveryNanos == discoveryNanos) {
            return previous.gatewayNanos;
        }
        long gatewayNanos = discoveryNanos - clockOffsetNanos;
        boolean inFuture = gatewayNanos > now + MAX_CLOCK_SKEW_NANOS;
        boolean tooOld = hasLiveList && gatewayNanos < lastListAt - MAX_LIST_DELAY_NANOS;
        if (inFuture || tooOld) {
            clockOffsetNanos = discoveryNanos - now;
            gatewayNanos = now;
        }
        if (knownStarts.size() >= MAX_KNOWN_STARTS) {
            knownStarts.clear();
        }
        knownStarts.put(serverId, new Start(discoveryNanos, gatewayNanos));
        return gatewayNanos;
    }
}
