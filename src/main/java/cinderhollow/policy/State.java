package cinderhollow.policy;

import cinderhollow.policy.Protocol.Course;
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

/** What a gateway remembers: plain holders without a decision, all of which are in {@link Choice}. */
interface State {

    /** A server as this gateway has seen it since its last start. */
    final class Server {
        ServerInfo info;
        /** The one of all servers that are held alike. */
        Pool like;
        boolean ready;
        /** Where it stands among the ready ones, and in {@link Shares}, or -1. */
        int place;
        int slot = -1;
        boolean near;
        boolean kept;
        /** How much of the usual goes to its zone. */
        double weight = 1;
        double share;
        /** Latencies in this tick and, fading, in those before, as multiples of their classes' means. */
        final Pool tick = new Pool();
        double latency;
        boolean sampled;
        /** Answered in this tick. */
        boolean heard;
        /** The last few latencies, likewise. */
        final Fading recent = new Fading(1);
        int inFlight;
        double limit;
        /** What it adds to the sum of a large fleet's limits. */
        double counted;
        double countedWarm;
        double lateness;
        final Fading failures = new Fading(0);
        long answeredAt;
        /** When the latest sent of its answered attempts went out. */
        long answeredSentAt;
        boolean silent;
        long trialAt;
        final Map<Kind, ClassHealth> classes = new HashMap<>();
        final Bucket cold;
        /** Few at a time, and there may be thousands of servers. */
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>(2);

        Server(Bucket cold, double share, double limit) {
            this.cold = cold;
            this.share = share;
            this.limit = limit;
        }

        /** What another process has learnt of it. */
        void recall(Memory.OfServer o, long now) {
            share = o.share();
            limit = o.limit();
            recent.set(o.recent(), now);
            failures.set(o.failures(), now);
            silent = o.silent();
            // What a cold server may get by now the other process has sent it.
            cold.tokens = 0;
        }

        /** What it did with a class counts for the one of that name that there is now. */
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

    /** How a server has answered one class: the part of errors, and when the next trial may be. */
    final class ClassHealth {
        final Fading errors = new Fading(0);
        long trialAt;
    }

    /** An average of the newest samples, which returns to where it rests as it grows old. */
    final class Fading {
        private final double rest;
        private double value;
        private long at;

        Fading(double rest) {
            this.rest = rest;
            value = rest;
        }

        /** What is left of it by now, where its distance from the rest falls by e in so many nanoseconds. */
        double at(long now, double memory) {
            return value == rest ? rest : rest + (value - rest) * Math.exp((at - now) / memory);
        }

        /** Takes in a sample with so much weight; the average now. */
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

    /** Samples of latency, and how many. */
    final class Pool {
        double sum;
        double samples;

        void add(double latencies, double count) {
            sum += latencies;
            samples += count;
        }

        /** Forgets a part of them, the same of each. */
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

        double mixed(double prior, double weight) {
            return (sum + weight * prior) / (samples + weight);
        }
    }

    /** One send of a request to a server. */
    record Attempt(Request request, Server server, int number, long sentAt) {
        boolean ended() {
            return (request.ended >> number & 1) == 1;
        }

        /** Whether it has ended without a connection to its server, which therefore knows nothing of it. */
        boolean neverReached() {
            return (request.neverReached >> number & 1) == 1;
        }
    }

    /** A request that is owed an answer, or whose attempts have not all ended. */
    final class Request {
        final String id;
        final Kind kind;
        final boolean overShare;
        /** What the operator lets it have, or null. */
        final Course course;
        long arrivedAt;
        long deadline;
        /** Its body is on its way: no server has it in work yet. */
        boolean arriving;
        /** So many attempts it may have. */
        int mostAttempts;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** A bit for each attempt that ended, and for each that is proved never to have run. */
        long ended;
        long neverRan;
        /** Of the latter those that no connection came up for. */
        long neverReached;
        /** A bit for each attempt that holds no place any more. */
        long lost;
        int outstanding;
        boolean concluded;
        boolean streaming;
        /** A second copy is looking for a server. */
        boolean copying;
        double value;
        /** Its number among those that were held. */
        long turn;

        Request(String id, Kind kind, boolean overShare, Course course, long firstAsked, long deadline,
                int mostAttempts) {
            this.id = id;
            this.kind = kind;
            this.overShare = overShare;
            this.course = course;
            arrivedAt = firstAsked;
            this.deadline = deadline;
            this.mostAttempts = mostAttempts;
        }

        /** The first attempt that may have run or may yet run, or null. */
        Attempt firstThatMayRun() {
            int i = Long.numberOfTrailingZeros(~neverRan);
            return i < attempts.size() ? attempts.get(i) : null;
        }

        /**
         * How much longer the newest attempt may go out, in nanoseconds. Guards against one of a keyed request that waits for its
         * connection until the servers have forgotten the key of an earlier one: its effect would happen twice.
         */
        long repeatableFor(long now) {
            Attempt first = firstThatMayRun();
            return kind.spec.effect() != Effect.KEYED || first == attempts.get(attempts.size() - 1) ? Long.MAX_VALUE
                    : first.sentAt() + kind.spec.dedupWindowNanos() - now;
        }
    }

    /** A class as this gateway has seen it. */
    final class Kind {
        /** Time-outs this near to each other, in parts of the deadline, are one: the way here takes some time. */
        private static final double SAME_TIME_OUT = 0.02;
        /** Votes for the usual time-out that count, and answers until a class's mean is known. */
        private static final int MOST_VOTES = 40, LEAST_SAMPLES = 20;
        private static final double MEAN_SAMPLES = 100;
        final RequestClass spec;
        double latency;
        double calmest;
        long served;
        private long usualTimeOut;
        private int votes;
        boolean failsEverywhere;
        /** Servers that gave mostly errors at some time. */
        final Set<Server> failing = new LinkedHashSet<>();

        Kind(RequestClass spec, double firstLatency) {
            this.spec = spec;
            latency = firstLatency;
        }

        /** The same class with other figures. */
        Kind(RequestClass spec, Kind before) {
            this(spec, before.latency);
            calmest = before.calmest;
            served = before.served;
            failing.addAll(before.failing);
        }

        void recall(Memory.OfClass o) {
            latency = o.latencyNanos();
            calmest = o.calmestNanos();
            served = o.served();
        }

        /** The class's mean over about the last hundred answers, and the least it has been once known. */
        void took(long nanos) {
            served++;
            latency += (nanos - latency) * Math.max(1 / MEAN_SAMPLES, 1.0 / served);
            calmest = served < LEAST_SAMPLES ? latency : Math.min(calmest, latency);
        }

        /**
         * Takes in one request's time-out; how much shorter it is than the one that most have, where one is known. A vote
         * finds the time-out that more than a third agree on, in one pass and without a list of them.
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

    /** A tenant's part of its share at this gateway, and what of it is left. */
    record Quota(double perSecond, Bucket bucket) { }

    /** Tokens that come at a rate up to a most. */
    final class Bucket {
        double tokens;
        private long at;

        Bucket(double tokens, long now) {
            this.tokens = tokens;
            at = now;
        }

        double refill(long now, double perNano, double most) {
            tokens = Math.min(most, tokens + (now - at) * perNano);
            at = now;
            return tokens;
        }

        /** Takes a token if there is one. */
        boolean take(long now, double perNano, double most) {
            boolean there = refill(now, perNano, most) >= 1;
            tokens -= there ? 1 : 0;
            return there;
        }
    }
}
