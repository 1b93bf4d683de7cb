package cinderhollow.evacuation;

import cinderhollow.evacuation.Sightings.Seen;
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
    private static final double PATIENCE = 1.5;
    /** Weight of the newest load report in a zone's smoothed utilisation. */
    private static final double NEWEST = 0.075;
    private static final long RECOUNT = 1_000_000_000L;

    private record Host(int zone, int number, ServerInfo info) { }

    private final List<String> names;
    private final Rules rules;
    private final Sightings sightings;
    private final Map<String, Host> hosts = new HashMap<>();
    private final int[] count;
    private final double[] warm;
    private final double[] use;
    private boolean changed;
    private long countedAt;

    TrafficObserver(List<String> names, Rules rules, Sightings sightings) {
        this.names = names;
        this.rules = rules;
        this.sightings = sightings;
        count = new int[names.size()];
        warm = new double[names.size()];
        use = new double[names.size()];
        Arrays.fill(use, Double.NaN);
    }

    /** Updates the known servers, by a complete list or by those that have changed. */
    public void updateServers(Collection<ServerInfo> servers, boolean whole) {
        if (whole) {
            hosts.clear();
        }
        for (ServerInfo info : servers) {
            if (info.readiness() == Readiness.READY) {
                hosts.put(info.id(), new Host(names.indexOf(info.zone()), info.id().hashCode(), info));
            } else {
                hosts.remove(info.id());
            }
        }
        changed = true;
    }

    /** Counts a received request and returns the observer to notify of its attempts. */
    public RequestObserver onRequestReceived(RequestClass requestClass) {
        sightings.arrived();
        return new RequestObserver(requestClass);
    }

    /** Recounts the servers of each zone after a change, and periodically because servers warm up with time. */
    void recount(long now) {
        if (!changed && now - countedAt < RECOUNT) {
            return;
        }
        changed = false;
        countedAt = now;
        Arrays.fill(count, 0);
        Arrays.fill(warm, 0);
        for (Host host : hosts.values()) {
            if (host.zone >= 0) {
                count[host.zone]++;
                warm[host.zone] += rules.capacityFraction(host.info.startedAtNanos(), now);
            }
        }
    }

    /** Returns the number of listed servers of a zone. */
    int hosts(int zone) {
        return count[zone];
    }

    /** Returns the capacity of a zone's servers in units of a warm server. */
    double warm(int zone) {
        return warm[zone];
    }

    /** Returns the reported utilisation of a zone's servers, where 1 is full, or NaN if none reports it. */
    double use(int zone) {
        return use[zone];
    }

    /**
     * Returns what an outcome says about the server's zone. A timed-out or cancelled attempt counts as a failure only after the
     * aim: a shorter timeout, or a client that left, is not the server's fault.
     */
    static Seen seen(Outcome outcome, boolean late) {
        return switch (outcome) {
            case SERVED -> late ? Seen.LATE : Seen.GOOD;
            case FULL -> Seen.FULL;
            case ERROR, CONNECT_FAILED, RESET -> Seen.BAD;
            case TIMED_OUT, CANCELLED -> late ? Seen.BAD : Seen.NOTHING;
            case NOT_SENT -> Seen.NOTHING;
        };
    }

    /** Observes one request and its attempts, which are numbered from 0. */
    public final class RequestObserver {
        private final RequestClass requestClass;
        private Host[] to = new Host[1];
        private int[] slots = new int[1];
        private int attempts;

        private RequestObserver(RequestClass requestClass) {
            this.requestClass = requestClass;
        }

        /** Records that the next attempt was sent to a server. */
        public void onAttemptSent(long now, String host) {
            if (attempts == to.length) {
                to = Arrays.copyOf(to, 2 * attempts);
                slots = Arrays.copyOf(slots, 2 * attempts);
            }
            Host at = hosts.get(host);
            to[attempts] = at;
            slots[attempts++] = at == null ? -1
                    : sightings.sent(now, at.zone, at.number, (long) (requestClass.aimNanos() * PATIENCE));
        }

        /** Records how an attempt ended; the load report may be null. */
        public void onAttemptEnded(long now, int attempt, Outcome outcome, long elapsedNanos, LoadReport load) {
            sightings.ended(now, slots[attempt], seen(outcome, elapsedNanos > requestClass.aimNanos()));
            Host at = to[attempt];
            if (at == null) {
                return;
            }
            if (outcome == Outcome.SERVED && rules.capacityFraction(at.info.startedAtNanos(), now) >= 1) {
                sightings.served();
            }
            if (load != null && at.zone >= 0 && load.utilisation() >= 0) {
                double before = use[at.zone];
                use[at.zone] = Double.isNaN(before) ? load.utilisation() : before + NEWEST * (load.utilisation() - before);
            }
        }
    }
}
