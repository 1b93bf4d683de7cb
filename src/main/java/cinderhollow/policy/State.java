package cinderhollow.policy;

import cinderhollow.policy.Protocol.RoutePolicy;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.ServerInfo;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state that a gateway keeps about servers, classes, requests and tenants: plain data holders. All decisions are made in
 * {@link LoadBalancer}.
 */
interface State {

    /** What this gateway knows of a server since the server's last start. */
    final class Server {
        ServerInfo info;
        /** The latency samples of all servers of this zone and machine type. */
        Pool like;
        boolean ready;
        /** The index among the ready servers, and the leaf index in {@link Shares}, or -1 in a small fleet. */
        int place;
        int slot = -1;
        /** Whether it is in the gateway's own zone. Set in large fleets only, like the next field. */
        boolean near;
        /** Whether it is kept in {@link Shares} among those with a reusable connection. */
        boolean kept;
        /** The fraction of its usual load that its zone gets. */
        double weight = 1;
        /** Its part of the requests before gates apply; the shares of the ready servers add up to about 1. */
        double share;
        /** Latency samples of this tick and, with decaying weight, of earlier ones, as multiples of their classes' means. */
        final Pool tick = new Pool();
        /** The estimate of its mean latency from the last tick, as a multiple of its classes' means. */
        double latency;
        /** Whether the last tick had a sample of it, or of servers like it where samples were too few. */
        boolean sampled;
        /** Whether this tick has a latency sample of it. */
        boolean heard;
        /** Average of the last few latencies, as multiples of their classes' means; with age it returns to 1. */
        final Fading recent = new Fading(1);
        int inFlight;
        /** The maximum of attempts in flight from this gateway; may be a fraction of 1 where gateways are many. */
        double limit;
        /** The contribution to the sum of a large fleet's effective limits, and to that of the limits of warm servers. */
        double counted;
        double countedWarm;
        /** Average ratio of latencies to their classes' latency budgets; above 1 the limit falls. */
        double lateness;
        /** Part of the last attempts that failed; it decays to 0. */
        final Fading failures = new Fading(0);
        /** Time of the last answer, or 0. */
        long answeredAt;
        /** The latest send time among its answered attempts. */
        long answeredSentAt;
        /** Whether attempts were overdue without an answer; ends with the next answer. */
        boolean silent;
        /** Time from which on it may get the next trial request while it is suspect. */
        long trialAt;
        final Map<Kind, ClassHealth> classes = new HashMap<>();
        /** Tokens for requests to it during its warm-up. */
        final Bucket cold;
        /**
         * Attempts whose end is awaited. The initial capacity is small: there are few at a time, and there may be thousands of
         * servers.
         */
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>(2);

        Server(Bucket cold, double share, double limit) {
            this.cold = cold;
            this.share = share;
            this.limit = limit;
        }

        /** Takes over what another process has learned of this server. */
        void recall(LearnedState.ServerEntry o, long now) {
            share = o.share();
            limit = o.inFlightLimit();
            recent.set(o.recentRelativeLatency(), now);
            failures.set(o.failureRate(), now);
            silent = o.silent();
            // The other process has already sent what a cold server may get by now.
            cold.tokens = 0;
        }

        /** Moves the health of each class to the class of the same name in the new settings. */
        void retune(Map<String, Kind> kinds) {
            Map<Kind, ClassHealth> known = new HashMap<>(classes);
            classes.clear();
            known.forEach((kind, health) -> {
                if (kinds.containsKey(kind.spec.name())) {
                    classes.put(kinds.get(kind.spec.name()), health);
                }
            });
        }
    }

    /** How a server has answered one class: the rate of errors, and the time from which on the next trial may be sent. */
    final class ClassHealth {
        final Fading errors = new Fading(0);
        long trialAt;
    }

    /** An average of the newest samples that returns exponentially to its rest value as it ages. */
    final class Fading {
        private final double rest;
        private double value;
        private long at;

        Fading(double rest) {
            this.rest = rest;
            value = rest;
        }

        /**
         * Returns the average at this time. Its distance from the rest value falls by a factor of e in each
         * {@code timeConstantNanos}.
         */
        double at(long now, double memory) {
            return value == rest ? rest : rest + (value - rest) * Math.exp((at - now) / memory);
        }

        /** Adds a sample with this weight and returns the new average. */
        double add(double sample, double weight, long now, double memory) {
            double before = at(now, memory);
            set(before + weight * (sample - before), now);
            return value;
        }

        void set(double average, long now) {
            value = average;
            at = now;
        }
    }

    /** A sum of latency samples and their number. */
    final class Pool {
        double sum;
        double samples;

        void add(double latencies, double count) {
            sum += latencies;
            samples += count;
        }

        /** Multiplies the weight of all samples by a factor. */
        void fade(double kept) {
            sum *= kept;
            samples *= kept;
        }

        void clear() {
            sum = 0;
            samples = 0;
        }

        double mean() {
            return sum / Math.max(1, samples);
        }

        /** Returns the mean shrunk towards a prior mean that weighs as much as this number of samples. */
        double mixed(double prior, double weight) {
            return (sum + weight * prior) / (samples + weight);
        }
    }

    /** One sending of a request to a server. */
    record Attempt(Request request, Server server, int number, long sentAt) {
        boolean ended() {
            return (request.ended >> number & 1) == 1;
        }

        /** Returns whether it has ended without a connection to its server, which therefore never received any of it. */
        boolean neverReached() {
            return (request.neverReached >> number & 1) == 1;
        }
    }

    /** A request that needs an answer, or that has attempts in flight. */
    final class Request {
        final String id;
        final Kind kind;
        final boolean overShare;
        /** The operator's policy for its route, or null. */
        final RoutePolicy course;
        /** When the time of its aim began: its arrival or, for a client's retry, the estimated time of the first try. */
        long arrivedAt;
        long deadline;
        /** Whether its body is still being received; until then its attempts do not count as in flight. */
        boolean arriving;
        /** The maximum number of attempts. */
        int mostAttempts;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** One bit for each attempt that has ended, and for each that is proved never to have run. */
        long ended;
        long neverRan;
        /** One bit for each attempt that ended without a connection to its server. */
        long neverReached;
        /** One bit for each attempt that is taken as lost and no longer counts as in flight. */
        long lost;
        /** The number of attempts that have not ended. */
        int outstanding;
        /** Whether it has its final answer or needs none any more. */
        boolean concluded;
        boolean streaming;
        /** Whether a server for a hedge is being chosen. */
        boolean copying;
        /** The worth of its answer for the work it takes; held requests are sent by descending priority. */
        double value;
        /** Its sequence number among held requests. */
        long turn;

        Request(String id, Kind kind, boolean overShare, RoutePolicy course, long firstAsked, long deadline,
                int mostAttempts) {
            this.id = id;
            this.kind = kind;
            this.overShare = overShare;
            this.course = course;
            arrivedAt = firstAsked;
            this.deadline = deadline;
            this.mostAttempts = mostAttempts;
        }

        /** Returns the first attempt that may have run or may yet run, or null. */
        Attempt firstThatMayRun() {
            int i = Long.numberOfTrailingZeros(~neverRan);
            return i < attempts.size() ? attempts.get(i) : null;
        }

        /**
         * Returns for how many nanoseconds from now sending the newest attempt may still start. A repeat of a keyed request that
         * waits for its connection beyond the dedup window of an earlier attempt would have its effect twice.
         */
        long repeatableFor(long now) {
            Attempt first = firstThatMayRun();
            return kind.spec.effect() != Effect.KEYED || first == attempts.get(attempts.size() - 1) ? Long.MAX_VALUE
                    : first.sentAt() + kind.spec.dedupWindowNanos() - now;
        }
    }

    /** A class of requests and what this gateway has learned of it. */
    final class Kind {
        /**
         * Timeouts that differ by at most this fraction of the deadline count as equal, since the way to the gateway takes a
         * varying time.
         */
        private static final double SAME_TIME_OUT = 0.02;
        /**
         * Maximum number of votes for the usual timeout, and number of answers from which on the mean latency counts as known.
         */
        private static final int MOST_VOTES = 40, LEAST_SAMPLES = 20;
        /** Number of answers over which the mean latency is averaged. */
        private static final double MEAN_SAMPLES = 100;
        final RequestClass spec;
        /** The mean latency in nanoseconds, and its minimum so far. */
        double latency;
        double calmest;
        long served;
        private long usualTimeOut;
        private int votes;
        /** Whether all ready servers fail this class. */
        boolean failsEverywhere;
        /** Servers that answered this class mostly with errors at some time. */
        final Set<Server> failing = new LinkedHashSet<>();

        Kind(RequestClass spec, double firstLatency) {
            this.spec = spec;
            latency = firstLatency;
        }

        /** Creates the state of a class whose figures changed, with what was learned of it before. */
        Kind(RequestClass spec, Kind before) {
            this(spec, before.latency);
            calmest = before.calmest;
            served = before.served;
            failing.addAll(before.failing);
        }

        /** Takes over what another process has learned of this class. */
        void recall(LearnedState.ClassEntry o) {
            latency = o.meanLatencyNanos();
            calmest = o.minMeanLatencyNanos();
            served = o.servedCount();
        }

        /**
         * Adds the latency of a served answer to the class's mean, which covers about the last hundred answers, and to the
         * minimum of that mean once it is known.
         */
        void took(long nanos) {
            served++;
            latency += (nanos - latency) * Math.max(1 / MEAN_SAMPLES, 1.0 / served);
            calmest = served < LEAST_SAMPLES ? latency : Math.min(calmest, latency);
        }

        /**
         * Estimates how long ago a request was first asked from its timeout, and takes that timeout into account. The result is
         * the difference to the deadline where the timeout is shorter than the usual one, and 0 while no usual timeout is known.
         * A majority vote finds the timeout that more than a third of requests have, in one pass and without a list.
         */
        long shorterBy(long timeOut) {
            if (Math.abs(timeOut - usualTimeOut) <= spec.deadlineNanos() * SAME_TIME_OUT) {
                votes = Math.min(MOST_VOTES, votes + 2);
                return 0;
            } else if (--votes < 0) {
                usualTimeOut = timeOut;
                votes = 0;
            }
            return votes > MOST_VOTES / 2 ? spec.deadlineNanos() - timeOut : 0;
        }
    }

    /** A tenant's quota at this gateway in requests per second, and the tokens that are left of it. */
    record Quota(double perSecond, Bucket bucket) { }

    /** A token bucket that is refilled at a rate up to a capacity. */
    final class Bucket {
        double tokens;
        private long at;

        Bucket(double tokens, long now) {
            this.tokens = tokens;
            at = now;
        }

        /** Refills the bucket up to this time and returns its tokens. */
        double refill(long now, double perNano, double most) {
            tokens = Math.min(most, tokens + (now - at) * perNano);
            at = now;
            return tokens;
        }

        /** Takes a token and returns true if there is one. */
        boolean take(long now, double perNano, double most) {
            boolean there = refill(now, perNano, most) >= 1;
            tokens -= there ? 1 : 0;
            return there;
        }
    }
}
