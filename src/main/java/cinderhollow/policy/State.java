package cinderhollow.policy;

import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.RoutePolicy;
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
        LatencySamples similarSamples;
        boolean ready;
        /** The index among the ready servers, and the leaf index in {@link Shares}, or -1 in a small fleet. */
        int readyIndex;
        int leafIndex = -1;
        /** Whether it is in the gateway's own zone. Set in large fleets only, like the next field. */
        boolean inOwnZone;
        /** Whether it is kept in {@link Shares} among those with a reusable connection. */
        boolean connectionReusable;
        /** The fraction of its usual load that its zone gets. */
        double zoneWeight = 1;
        /** Its part of the requests before gates apply; the shares of the ready servers add up to about 1. */
        double share;
        /** Latency samples of this tick and, with decaying weight, of earlier ones, as multiples of their classes' means. */
        final LatencySamples latencySamples = new LatencySamples();
        /** The estimate of its mean latency from the last tick, as a multiple of its classes' means. */
        double relativeLatency;
        /** Whether the last tick had a sample of it, or of servers like it where samples were too few. */
        boolean sampled;
        /** Whether this tick has a latency sample of it. */
        boolean sampledThisTick;
        /** Average of the last few latencies, as multiples of their classes' means; with age it returns to 1. */
        final DecayingAverage recentRelativeLatency = new DecayingAverage(1);
        int inFlight;
        /** The maximum of attempts in flight from this gateway; may be a fraction of 1 where gateways are many. */
        double inFlightLimit;
        /** The contribution to the sum of a large fleet's effective limits, and to that of the limits of warm servers. */
        double countedLimit;
        double countedWarmLimit;
        /** Average ratio of latencies to their classes' latency budgets; above 1 the limit falls. */
        double latencyToBudgetRatio;
        /** Part of the last attempts that failed; it decays to 0. */
        final DecayingAverage failureRate = new DecayingAverage(0);
        /** Time of the last answer, or 0. */
        long lastAnswerAt;
        /** The latest send time among its answered attempts. */
        long newestAnsweredSentAt;
        /** Whether attempts were overdue without an answer; ends with the next answer. */
        boolean silent;
        /** Time from which on it may get the next trial request while it is suspect. */
        long nextTrialAt;
        final Map<ClassState, ClassHealth> healthByClass = new HashMap<>();
        /** Tokens for requests to it during its warm-up. */
        final TokenBucket coldBucket;
        /**
         * Attempts whose end is awaited. The initial capacity is small: there are few at a time, and there may be thousands of
         * servers.
         */
        final ArrayDeque<Attempt> awaitedAttempts = new ArrayDeque<>(2);

        Server(TokenBucket coldBucket, double share, double inFlightLimit) {
            this.coldBucket = coldBucket;
            this.share = share;
            this.inFlightLimit = inFlightLimit;
        }

        /** Takes over what another process has learned of this server. */
        void restore(LearnedState.ServerEntry o, long now) {
            share = o.share();
            inFlightLimit = o.inFlightLimit();
            recentRelativeLatency.set(o.recentRelativeLatency(), now);
            failureRate.set(o.failureRate(), now);
            silent = o.silent();
            // The other process has already sent what a cold server may get by now.
            coldBucket.tokens = 0;
        }

        /** Moves the health of each class to the class of the same name in the new settings. */
        void remapClasses(Map<String, ClassState> classStates) {
            Map<ClassState, ClassHealth> previous = new HashMap<>(healthByClass);
            healthByClass.clear();
            previous.forEach((kind, health) -> {
                if (classStates.containsKey(kind.requestClass.name())) {
                    healthByClass.put(classStates.get(kind.requestClass.name()), health);
                }
            });
        }
    }

    /** How a server has answered one class: the rate of errors, and the time from which on the next trial may be sent. */
    final class ClassHealth {
        final DecayingAverage errorRate = new DecayingAverage(0);
        long nextTrialAt;
    }

    /** An average of the newest samples that returns exponentially to its rest value as it ages. */
    final class DecayingAverage {
        private final double restValue;
        private double value;
        private long updatedAt;

        DecayingAverage(double restValue) {
            this.restValue = restValue;
            value = restValue;
        }

        /**
         * Returns the average at this time. Its distance from the rest value falls by a factor of e in each
         * {@code timeConstantNanos}.
         */
        double valueAt(long now, double timeConstantNanos) {
            return value == restValue ? restValue : restValue
                    + (value - restValue) * Math.exp((updatedAt - now) / timeConstantNanos);
        }

        /** Adds a sample with this weight and returns the new average. */
        double add(double sample, double weight, long now, double timeConstantNanos) {
            double before = valueAt(now, timeConstantNanos);
            set(before + weight * (sample - before), now);
            return value;
        }

        void set(double average, long now) {
            value = average;
            updatedAt = now;
        }
    }

    /** A sum of latency samples and their number. */
    final class LatencySamples {
        double sum;
        double sampleCount;

        void add(double latencies, double count) {
            sum += latencies;
            sampleCount += count;
        }

        /** Multiplies the weight of all samples by a factor. */
        void decay(double factor) {
            sum *= factor;
            sampleCount *= factor;
        }

        void clear() {
            sum = 0;
            sampleCount = 0;
        }

        double mean() {
            return sum / Math.max(1, sampleCount);
        }

        /** Returns the mean shrunk towards a prior mean that weighs as much as this number of samples. */
        double shrunkMean(double priorMean, double priorSamples) {
            return (sum + priorSamples * priorMean) / (sampleCount + priorSamples);
        }
    }

    /** One sending of a request to a server. */
    record Attempt(Request request, Server server, int number, long sentAt) {
        boolean hasEnded() {
            return (request.endedMask >> number & 1) == 1;
        }

        /** Returns whether it is taken as lost and no longer counts as in flight. */
        boolean isLost() {
            return (request.lostMask >> number & 1) == 1;
        }

        /** Returns whether it has ended without a connection to its server, which therefore never received any of it. */
        boolean neverReached() {
            return (request.neverReachedMask >> number & 1) == 1;
        }
    }

    /** A request that needs an answer, or that has attempts in flight. */
    final class Request {
        /** Deadline of a request whose body is awaited from its client. */
        static final long NO_DEADLINE_NANOS = Long.MAX_VALUE / 2;
        final String id;
        final ClassState classState;
        final boolean overQuota;
        /** The operator's policy for its route, or null. */
        final RoutePolicy routePolicy;
        /** When the time of its aim began: its arrival or, for a client's retry, the estimated time of the first try. */
        long aimStartedAt;
        long deadline;
        /** Whether its body is still being received; until then its attempts count as in flight only while it is blocked. */
        boolean receivingBody;
        /** Whether its server accepts nothing of the body at present. */
        boolean bodyBlocked;
        /** The maximum number of attempts. */
        int maxAttempts;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** One bit for each attempt that has ended, and for each that is proved never to have run. */
        long endedMask;
        long neverRanMask;
        /** One bit for each attempt that ended without a connection to its server. */
        long neverReachedMask;
        /** One bit for each attempt that is taken as lost and no longer counts as in flight. */
        long lostMask;
        /** The number of attempts that have not ended. */
        int outstanding;
        /** Whether it has its final answer or needs none any more. */
        boolean concluded;
        boolean streaming;
        /** Whether a server for a hedge is being chosen. */
        boolean hedging;
        /** The worth of its answer for the work it takes; held requests are sent by descending priority. */
        double priority;
        /** Its sequence number among held requests. */
        long holdSequence;

        Request(String id, ClassState classState, boolean overQuota, RoutePolicy routePolicy, long firstAskedAt, long deadline,
                int maxAttempts) {
            this.id = id;
            this.classState = classState;
            this.overQuota = overQuota;
            this.routePolicy = routePolicy;
            aimStartedAt = firstAskedAt;
            this.deadline = deadline;
            this.maxAttempts = maxAttempts;
        }

        /** Returns whether its attempts count as in flight: their servers work on them, or should accept them. */
        boolean countsInFlight() {
            return !receivingBody || bodyBlocked;
        }

        /** Returns the first attempt that may have run or may yet run, or null. */
        Attempt firstThatMayRun() {
            int i = Long.numberOfTrailingZeros(~neverRanMask);
            return i < attempts.size() ? attempts.get(i) : null;
        }

        /**
         * Returns for how many nanoseconds from now sending the newest attempt may still start. A repeat of a keyed request that
         * waits for its connection beyond the dedup window of an earlier attempt would have its effect twice.
         */
        long startWithinNanos(long now) {
            Attempt first = firstThatMayRun();
            return classState.requestClass.effect() != Effect.KEYED || first == attempts.get(attempts.size() - 1) ? Long.MAX_VALUE
                    : first.sentAt() + classState.requestClass.dedupWindowNanos() - now;
        }
    }

    /** A class of requests and what this gateway has learned of it. */
    final class ClassState {
        /**
         * Timeouts that differ by at most this fraction of the deadline count as equal, since the way to the gateway takes a
         * varying time.
         */
        private static final double SAME_TIMEOUT_FRACTION = 0.02;
        /**
         * Maximum number of votes for the usual timeout, and number of answers from which on the mean latency counts as known.
         */
        private static final int MAX_VOTES = 40, MIN_SAMPLES = 20;
        /** Number of answers over which the mean latency is averaged. */
        private static final double MEAN_WINDOW_SAMPLES = 100;
        final RequestClass requestClass;
        /** The mean latency in nanoseconds, and its minimum so far. */
        double meanLatencyNanos;
        double minMeanLatencyNanos;
        long servedCount;
        private long usualTimeoutNanos;
        private int votes;
        /** Whether all ready servers fail this class. */
        boolean failsEverywhere;
        /** Servers that answered this class mostly with errors at some time. */
        final Set<Server> failingServers = new LinkedHashSet<>();

        ClassState(RequestClass requestClass, double initialLatencyNanos) {
            this.requestClass = requestClass;
            meanLatencyNanos = initialLatencyNanos;
        }

        /** Creates the state of a class whose figures changed, with what was learned of it before. */
        ClassState(RequestClass requestClass, ClassState previous) {
            this(requestClass, previous.meanLatencyNanos);
            minMeanLatencyNanos = previous.minMeanLatencyNanos;
            servedCount = previous.servedCount;
            failingServers.addAll(previous.failingServers);
        }

        /** Takes over what another process has learned of this class. */
        void restore(LearnedState.ClassEntry o) {
            meanLatencyNanos = o.meanLatencyNanos();
            minMeanLatencyNanos = o.minMeanLatencyNanos();
            servedCount = o.servedCount();
        }

        /**
         * Adds the latency of a served answer to the class's mean, which covers about the last hundred answers, and to the
         * minimum of that mean once it is known.
         */
        void recordLatency(long latencyNanos) {
            servedCount++;
            meanLatencyNanos += (latencyNanos - meanLatencyNanos) * Math.max(1 / MEAN_WINDOW_SAMPLES, 1.0 / servedCount);
            minMeanLatencyNanos = servedCount < MIN_SAMPLES ? meanLatencyNanos : Math.min(minMeanLatencyNanos, meanLatencyNanos);
        }

        /**
         * Estimates how long ago a request was first asked from its timeout, and takes that timeout into account. The result is
         * the difference to the deadline where the timeout is shorter than the usual one, and 0 while no usual timeout is known.
         * A majority vote finds the timeout that more than a third of requests have, in one pass and without a list.
         */
        long estimateElapsedNanos(long timeoutNanos) {
            if (Math.abs(timeoutNanos - usualTimeoutNanos) <= requestClass.deadlineNanos() * SAME_TIMEOUT_FRACTION) {
                votes = Math.min(MAX_VOTES, votes + 2);
                return 0;
            } else if (--votes < 0) {
                usualTimeoutNanos = timeoutNanos;
                votes = 0;
            }
            return votes > MAX_VOTES / 2 ? requestClass.deadlineNanos() - timeoutNanos : 0;
        }
    }

    /** A tenant's quota at this gateway in requests per second, and the tokens that are left of it. */
    record Quota(double perSecond, TokenBucket bucket) { }

    /** A token bucket that is refilled at a rate up to a capacity. */
    final class TokenBucket {
        double tokens;
        private long refilledAt;

        TokenBucket(double tokens, long now) {
            this.tokens = tokens;
            refilledAt = now;
        }

        /** Refills the bucket up to this time and returns its tokens. */
        double refill(long now, double perNano, double capacity) {
            tokens = Math.min(capacity, tokens + (now - refilledAt) * perNano);
            refilledAt = now;
            return tokens;
        }

        /** Takes a token and returns true if there is one. */
        boolean tryTake(long now, double perNano, double capacity) {
            boolean available = refill(now, perNano, capacity) >= 1;
            tokens -= available ? 1 : 0;
            return available;
        }
    }
}
