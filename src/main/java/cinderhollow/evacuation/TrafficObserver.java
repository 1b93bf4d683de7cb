package cinderhollow.evacuation;

import cinderhollow.evacuation.AttemptWindow.ZoneSignal;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Observes the requests, the attempts and the server list of a gateway, for the assessment of zones. */
public final class TrafficObserver {
    /** Multiple of the aim after which a missing answer counts as a failure of the server's zone. */
    private static final double SILENCE_LIMIT_FACTOR = 1.5;
    /** Weight of the newest load report in a zone's smoothed utilisation. */
    private static final double UTILISATION_SMOOTHING_FACTOR = 0.075;
    private static final long RECOUNT_INTERVAL_NANOS = 1_000_000_000L;

    private record Server(int zone, int idHash, ServerInfo info) { }

    private final List<String> zoneNames;
    private final Rules rules;
    private final AttemptWindow attemptWindow;
    private final Map<String, Server> knownServers = new HashMap<>();
    private final int[] serverCounts;
    private final double[] warmCapacity;
    private final double[] utilisation;
    private boolean changed;
    private long countedAtNanos;

    TrafficObserver(List<String> zoneNames, Rules rules, AttemptWindow attemptWindow) {
        this.zoneNames = zoneNames;
        this.rules = rules;
        this.attemptWindow = attemptWindow;
        serverCounts = new int[zoneNames.size()];
        warmCapacity = new double[zoneNames.size()];
        utilisation = new double[zoneNames.size()];
        Arrays.fill(utilisation, Double.NaN);
    }

    /** Updates the known servers, by a complete list or by those that have changed. */
    public void updateServers(Collection<ServerInfo> servers, boolean fullList) {
        if (fullList) {
            knownServers.clear();
        }
        for (ServerInfo info : servers) {
            if (info.readiness() == Readiness.READY) {
                knownServers.put(info.id(), new Server(zoneNames.indexOf(info.zone()), info.id().hashCode(), info));
            } else {
                knownServers.remove(info.id());
            }
        }
        changed = true;
    }

    /** Counts a received request and returns the observer to notify of its attempts. */
    public RequestObserver onRequestReceived(RequestClass requestClass) {
        attemptWindow.onRequestReceived();
        return new RequestObserver(requestClass);
    }

    /** Recounts the servers of each zone after a change, and periodically because servers warm up with time. */
    void recount(long now) {
        if (!changed && now - countedAtNanos < RECOUNT_INTERVAL_NANOS) {
            return;
        }
        changed = false;
        countedAtNanos = now;
        Arrays.fill(serverCounts, 0);
        Arrays.fill(warmCapacity, 0);
        for (Server host : knownServers.values()) {
            if (host.zone >= 0) {
                serverCounts[host.zone]++;
                warmCapacity[host.zone] += rules.capacityFraction(host.info.startedAtNanos(), now);
            }
        }
    }

    /** Returns the number of listed servers of a zone. */
    int serverCount(int zone) {
        return serverCounts[zone];
    }

    /** Returns the capacity of a zone's servers in units of a warm server. */
    double warmCapacity(int zone) {
        return warmCapacity[zone];
    }

    /** Returns the reported utilisation of a zone's servers, where 1 is full, or NaN if none reports it. */
    double utilisation(int zone) {
        return utilisation[zone];
    }

    /**
     * Returns what an outcome says about the server's zone. A timed-out or cancelled attempt counts as a failure only after the
     * aim: a shorter timeout, or a client that left, is not the server's fault.
     */
    static ZoneSignal signalOf(Outcome outcome, boolean late) {
        return switch (outcome) {
            case SERVED -> late ? ZoneSignal.LATE : ZoneSignal.GOOD;
            case FULL -> ZoneSignal.FULL;
            case ERROR, CONNECT_FAILED, RESET -> ZoneSignal.FAILED;
            case TIMED_OUT, CANCELLED -> late ? ZoneSignal.FAILED : ZoneSignal.INCONCLUSIVE;
            case NOT_SENT -> ZoneSignal.INCONCLUSIVE;
        };
    }

    /** Observes one request and its attempts, which are numbered from 0. */
    public final class RequestObserver {
        private final RequestClass requestClass;
        private Server[] attemptServers = new Server[1];
        private int[] windowSlots = new int[1];
        private int attemptCount;

        private RequestObserver(RequestClass requestClass) {
            this.requestClass = requestClass;
        }

        /** Records that the next attempt was sent to a server. */
        public void onAttemptSent(long now, String serverId) {
            if (attemptCount == attemptServers.length) {
                attemptServers = Arrays.copyOf(attemptServers, 2 * attemptCount);
                windowSlots = Arrays.copyOf(windowSlots, 2 * attemptCount);
            }
            Server server = knownServers.get(serverId);
            attemptServers[attemptCount] = server;
            windowSlots[attemptCount++] = server == null ? -1
                    : attemptWindow.onAttemptSent(now, server.zone, server.idHash,
                    (long) (requestClass.aimNanos() * SILENCE_LIMIT_FACTOR));
        }

        /** Records how an attempt ended; the load report may be null. */
        public void onAttemptEnded(long now, int attempt, Outcome outcome, long elapsedNanos, LoadReport load) {
            attemptWindow.onAttemptEnded(now, windowSlots[attempt], signalOf(outcome, elapsedNanos > requestClass.aimNanos()));
            Server server = attemptServers[attempt];
            if (server == null) {
                return;
            }
            if (outcome == Outcome.SERVED && rules.capacityFraction(server.info.startedAtNanos(), now) >= 1) {
                attemptWindow.onWarmServed();
            }
            if (load != null && server.zone >= 0 && load.utilisation() >= 0) {
                double before = utilisation[server.zone];
                utilisation[server.zone] = Double.isNaN(before) ? load.utilisation() : before
                        + UTILISATION_SMOOTHING_FACTOR * (load.utilisation() - before);
            }
        }
    }
}
