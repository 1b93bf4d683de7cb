package cinderhollow.lab;

import cinderhollow.lab.Breach.Rule;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks the observations of a fleet against the four rules and records each breach with the request's timeline. It follows
 * requests at the clients and at the nodes, and knows nothing of a gateway's internal state.
 *
 * <p>Observations arrive in causal order: what a node observed of a request comes before what its client observed as a result.
 * Memory is bounded by the requests of the last seconds, and by {@link #MOST_OPEN} in any case. Requests that can't be checked
 * are counted in {@link #unaudited}, and a run with any of them is not reported as clean. Time limits are extended by the
 * lateness of the lab itself ({@link Sighting.Late}), so that it is not attributed to the gateway.
 */
final class Auditor {
    /** The effect of a second run of a class's requests, and where and for how long nodes drop repeats. */
    record Grade(Effect effect, Scope scope, long windowNanos) { }

    /** The effect of a second run of a request. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** Which nodes drop a repeat of a keyed request. */
    enum Scope { ALL, ZONE, CELL }

    /** The zone and cell of a node. */
    record Place(String zone, int cell) { }

    /** The time limits of the rules: slack of answers past the client's deadline, and the grace after a drain. */
    record Limits(long answerSlackNanos, long drainGraceNanos) { }

    /** Numbers of requests by their outcome, and of what was excused or could not be checked. */
    record Counts(long asked, long served, long refused, long failed, long left, long broken, long excused,
                  long unaudited, long unjudgedFalls, long open) { }

    /** An answer up to this long after its client's deadline is late and earns nothing; after that it counts as lost. */
    private static final long LOST_AFTER_NANOS = 500_000_000L;
    /** An attempt that reaches a node longer than this after its client left is a breach, even if the gateway was paused. */
    private static final long LEAVING_NOTICE_NANOS = 100_000_000L;
    /** Requests are kept this long after their end, since further attempts may reach nodes. */
    private static final long SETTLE_NANOS = 2_000_000_000L;
    /** Allowance after a process was resumed: it first has to read all that arrived meanwhile. */
    private static final long WAKE_NANOS = 300_000_000L;
    /** Requests sent up to this long after a kill are excused too, since clients notice the kill late. */
    private static final long KILL_NOTICE_NANOS = 1_000_000_000L;
    private static final long LATE_MEMORY_NANOS = 10_000_000_000L;
    /** Longest time from SIGTERM to the kill. A gateway that was paused within it need not have exited by itself. */
    private static final long END_MEMORY_NANOS = 4_000_000_000L;
    /** Number of event loops of the lab that a request passes through, whose lateness adds up. */
    private static final long LATE_HOPS = 4;
    /**
     * A lab that runs late sends in bursts, which a cold node's overload budget can't distinguish from an overload by gateways.
     * Bursts of up to a fifth of the default overload window are within the headroom that a gateway has to leave.
     */
    private static final long FALL_MEMORY_NANOS = 2_000_000_000L, MOST_LATE_FALL_NANOS = 300_000_000L;
    static final int MOST_OPEN = 200_000, MOST_BREACHES = 100;
    private static final int MOST_LINES = 40;
    /** An overload crash is a breach if at least this fraction of the work came from gateways notified of the node's start. */
    private static final double KNEW = 2.0 / 3;
    private static final int OK = 200, TOO_MANY = 429, UNAVAILABLE = 503;
    private static final double MILLI = 1e6;

    private final Map<String, Grade> grades;
    private final List<Place> places;
    private final Limits limits;
    /** Requests in memory by id, in the order in which clients sent them. */
    private final Map<String, Life> lives = new LinkedHashMap<>();
    private final Map<Long, Long> drainedSince = new HashMap<>();
    private final Map<Long, Long> startTold = new HashMap<>();
    private final Map<Integer, Long> started = new HashMap<>();
    /** Times of all kills by gateway. Not pruned, since a plan has few. */
    private final Map<Integer, List<Long>> killedAt = new HashMap<>();
    private final ArrayDeque<Sighting.Late> late = new ArrayDeque<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Set<Rule> broken = new TreeSet<>();
    private long breachCount;
    private final Map<String, Long> sends = new HashMap<>();
    private long origin = Long.MIN_VALUE;
    private long newestSequence = -1;
    private long asked;
    private long served;
    private long refused;
    private long failed;
    private long left;
    private long brokenOff;
    /** A pause of a gateway's process; {@code untilNanos} is {@link Long#MAX_VALUE} until it is resumed. */
    private record Pause(int gateway, long from, long until) { }

    private final List<Pause> pauses = new ArrayList<>();
    private long excused;
    private long unaudited;
    private long unjudgedFalls;
    private long answeredLate;

    /** How a request ended, as its client observed it. */
    private enum End { NONE, SERVED, REFUSED, FAILED, LEFT, BROKE, GAVE_UP }

    /** An attempt as a node observed it. */
    private static final class Attempt {
        private final int node;
        private final long at;
        /** Since when the gateway had known that the node accepts no new requests, or null if it had not been notified. */
        private final Long drainedSince;
        private boolean turnedAway;

        Attempt(int node, long at, Long drainedSince) {
            this.node = node;
            this.at = at;
            this.drainedSince = drainedSince;
        }
    }

    /** One entry of a request's timeline. */
    private record Line(long at, String text) { }

    /** What is known of a request, until it is judged and removed. */
    private static final class Life {
        private final String id;
        private final int gateway;
        private final String requestClass;
        private final Grade grade;
        private final long askedAt;
        private final long owedBy;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private final List<String> made = new ArrayList<>(1);
        private final List<Line> lines = new ArrayList<>(6);
        private final Set<Rule> named = new TreeSet<>();
        private End end = End.NONE;
        private long endedAt;
        /** Whether its gateway was killed during its shutdown without having answered it. */
        private boolean foundUnanswered;

        Life(String id, int gateway, String requestClass, Grade grade, long askedAt, long owedBy) {
            this.id = id;
            this.gateway = gateway;
            this.requestClass = requestClass;
            this.grade = grade;
            this.askedAt = askedAt;
            this.owedBy = owedBy;
        }

        /** Returns the first attempt that no node has rejected, and that may therefore have run, or null. */
        Attempt firstThatMayHaveRun() {
            for (Attempt attempt : attempts) {
                if (!attempt.turnedAway) {
                    return attempt;
                }
            }
            return null;
        }
    }

    Auditor(Map<String, Grade> grades, List<Place> places, Limits limits) {
        this.grades = Map.copyOf(grades);
        this.places = List.copyOf(places);
        this.limits = limits;
    }

    /** Processes one observation. All observations must come from one thread. */
    void see(Sighting sighting) {
        origin = origin == Long.MIN_VALUE ? sighting.at() : origin;
        if (sighting instanceof Sighting.Asked s) {
            asked(s);
        } else if (sighting instanceof Sighting.Answered s) {
            answered(s);
        } else if (sighting instanceof Sighting.Surplus s) {
            Life life = lives.get(s.id());
            if (life != null) {
                line(life, s.at(), "the client receives a surplus answer");
            }
            breach(Rule.ANSWERED_TWICE, s.id(), life, "the client received more than one answer to this request");
        } else if (sighting instanceof Sighting.GaveUp s) {
            end(s.id(), s.at(), End.GAVE_UP, "the client closes: no answer has come long after its deadline");
        } else if (sighting instanceof Sighting.Paused s) {
            paused(s);
        } else if (sighting instanceof Sighting.Broke s) {
            end(s.id(), s.at(), End.BROKE, "the connection is closed without a complete answer");
        } else if (sighting instanceof Sighting.Left s) {
            end(s.id(), s.at(), End.LEFT, "the client abandons the request and closes");
        } else if (sighting instanceof Sighting.Received s) {
            received(s);
        } else if (sighting instanceof Sighting.Ran s) {
            note(s.id(), s.at(), Names.node(s.node()) + " runs it");
        } else if (sighting instanceof Sighting.TurnedAway s) {
            turnedAway(s);
        } else if (sighting instanceof Sighting.Made s) {
            note(s.id(), s.at(), Names.node(s.node()) + " answers");
            Life life = lives.get(s.id());
            if (life != null) {
                life.made.add(s.body());
            }
        } else if (sighting instanceof Sighting.Told s) {
            if (s.up()) {
                drainedSince.remove(pair(s.gateway(), s.node()));
            } else {
                drainedSince.putIfAbsent(pair(s.gateway(), s.node()), s.at());
            }
        } else if (sighting instanceof Sighting.ToldStart s) {
            startTold.put(pair(s.gateway(), s.node()), s.at());
        } else if (sighting instanceof Sighting.Started s) {
            started.put(s.node(), s.at());
        } else if (sighting instanceof Sighting.Fell s) {
            fell(s);
        } else if (sighting instanceof Sighting.Killed s) {
            killed(s);
        } else if (sighting instanceof Sighting.KilledAtEnd s) {
            killedAtEnd(s);
        } else if (sighting instanceof Sighting.Began s) {
            drainedSince.keySet().removeIf(pair -> pair >> 32 == s.gateway());
            startTold.keySet().removeIf(pair -> pair >> 32 == s.gateway());
        } else if (sighting instanceof Sighting.Ended s) {
            breach(Rule.GATEWAY_ENDED, Names.gateway(s.gateway()), null, "the gateway's process failed: " + s.how());
        } else if (sighting instanceof Sighting.Late s) {
            late.add(s);
            while (late.peekFirst().at() < s.at() - LATE_MEMORY_NANOS) {
                late.removeFirst();
            }
        }
        // Closes at most two requests for each observation, so that the cost is spread evenly.
        forgetOldest(sighting.at(), 2);
    }

    private void asked(Sighting.Asked s) {
        asked++;
        newestSequence = Math.max(newestSequence, Names.sequenceOf(s.id()));
        if (lives.size() >= MOST_OPEN) {
            unaudited++;
            return;
        }
        Life life = new Life(s.id(), s.gateway(), s.requestClass(), grades.get(s.requestClass()), s.at(), s.at() + s.withinNanos());
        lives.put(s.id(), life);
        line(life, s.at(), "asked of " + Names.gateway(s.gateway()) + " as " + s.requestClass() + ", within "
                + s.withinNanos() / 1_000_000 + "ms");
    }

    private void answered(Sighting.Answered s) {
        End how = s.status() == OK ? End.SERVED
                : s.status() == TOO_MANY || s.status() == UNAVAILABLE ? End.REFUSED : End.FAILED;
        Life life = lives.get(s.id());
        if (!end(s.id(), s.at(), how, "answered " + s.status()) || life == null) {
            return;
        }
        if (how == End.SERVED && !life.made.contains(s.body())) {
            breach(Rule.FOREIGN_ANSWER, s.id(), life, "no node produced this body for the request: '" + brief(s.body()) + "'");
        }
        if (how == End.REFUSED && mayNotBeRefused(life)) {
            breach(Rule.REFUSED_THOUGH_RAN, s.id(), life, "refused, which promises that a retry is harmless");
        }
    }

    /** Returns whether a refusal would wrongly tell the client that a retry is harmless. */
    private static boolean mayNotBeRefused(Life life) {
        boolean binds = life.grade.effect() == Effect.UNSAFE
                || life.grade.effect() == Effect.KEYED && life.grade.scope() != Scope.ALL;
        return binds && life.firstThatMayHaveRun() != null;
    }

    /** Records the outcome that the client observed; returns false if the request is not tracked or had already ended. */
    private boolean end(String id, long at, End how, String text) {
        Life life = lives.get(id);
        if (life == null) {
            return false;
        }
        line(life, at, text);
        if (life.end != End.NONE) {
            return false;
        }
        life.end = how;
        life.endedAt = at;
        switch (how) {
            case SERVED -> served++;
            case REFUSED -> refused++;
            case FAILED -> failed++;
            case LEFT -> left++;
            default -> brokenOff++;
        }
        return true;
    }

    private void received(Sighting.Received s) {
        Life life = lives.get(s.id());
        if (life == null) {
            if (unaudited == 0 || Names.sequenceOf(s.id()) < 0 || Names.sequenceOf(s.id()) > newestSequence) {
                boolean old = Names.sequenceOf(s.id()) >= 0 && Names.sequenceOf(s.id()) <= newestSequence;
                breach(old ? Rule.SENT_AFTER_ANSWER : Rule.UNKNOWN_REQUEST, s.id(), null,
                        Names.node(s.node()) + (old ? " got it long after its end" : " got a request that no client sent"));
            }
            return;
        }
        line(life, s.at(), "reaches " + Names.node(s.node()));
        sends.merge(Names.gatewayAndClass(life.gateway, life.requestClass), 1L, Long::sum);
        Attempt first = life.firstThatMayHaveRun();
        if (first != null && life.grade.effect() == Effect.UNSAFE) {
            breach(Rule.RAN_TWICE, s.id(), life, "sent again to " + Names.node(s.node()) + " although "
                    + Names.node(first.node) + " may have run it");
        }
        if (first != null && life.grade.effect() == Effect.KEYED && outside(life.grade, first, s)) {
            breach(Rule.OUTSIDE_GROUP, s.id(), life, "resent to " + Names.node(s.node()) + ", which drops no repeat of what "
                    + Names.node(first.node) + " may have run");
        }
        life.attempts.add(new Attempt(s.node(), s.at(), drainedSince.get(pair(life.gateway, s.node()))));
        if (life.end == End.REFUSED && mayNotBeRefused(life)) {
            breach(Rule.REFUSED_THOUGH_RAN, s.id(), life, "forwarded to a node after it had been refused");
        }
    }

    /** Returns whether the next node lies outside the first one's dedup group, or the dedup window has passed. */
    private boolean outside(Grade grade, Attempt first, Sighting.Received next) {
        Place here = places.get(first.node);
        Place there = places.get(next.node());
        boolean together = switch (grade.scope()) {
            case ALL -> true;
            case ZONE -> here.zone().equals(there.zone());
            case CELL -> here.zone().equals(there.zone()) && here.cell() == there.cell();
        };
        return !together || next.at() - first.at > grade.windowNanos() + limits.answerSlackNanos()
                + excuse(first.at, next.at());
    }

    private void turnedAway(Sighting.TurnedAway s) {
        note(s.id(), s.at(), Names.node(s.node()) + " rejects it");
        Life life = lives.get(s.id());
        if (life != null) {
            for (int i = life.attempts.size() - 1; i >= 0; i--) {
                Attempt attempt = life.attempts.get(i);
                if (attempt.node == s.node() && !attempt.turnedAway) {
                    attempt.turnedAway = true;
                    return;
                }
            }
        }
    }

    private void fell(Sighting.Fell s) {
        double all = 0;
        double knew = 0;
        for (Map.Entry<Integer, Double> part : s.pressure().entrySet()) {
            all += part.getValue();
            Long told = startTold.get(pair(part.getKey(), s.node()));
            knew += told != null && told >= started.getOrDefault(s.node(), Long.MAX_VALUE) ? part.getValue() : 0;
        }
        if (knew >= KNEW * all && excuse(s.at() - FALL_MEMORY_NANOS, s.at()) > LATE_HOPS * MOST_LATE_FALL_NANOS) {
            unjudgedFalls++;
        } else if (knew >= KNEW * all) {
            breach(Rule.PUSHED_OVER, Names.node(s.node()), null, "crashed from overload while cold, with "
                    + Math.round(100 * knew / Math.max(1, all)) + "% of the work from gateways notified of its start");
        }
    }

    private void paused(Sighting.Paused s) {
        if (s.on()) {
            pauses.add(new Pause(s.gateway(), s.at(), Long.MAX_VALUE));
        } else {
            pauses.replaceAll(p -> p.gateway == s.gateway() && p.until == Long.MAX_VALUE ? new Pause(p.gateway, p.from, s.at()) : p);
        }
    }

    /** Returns how long the request's gateway was paused between these times, with an allowance after each resumption. */
    private long asleep(Life life, long from, long to) {
        long sum = 0;
        for (Pause p : pauses) {
            if (p.gateway == life.gateway && p.from < to && p.until + WAKE_NANOS > from) {
                sum += Math.min(to, p.until == Long.MAX_VALUE ? to : p.until + WAKE_NANOS) - Math.max(from, p.from);
            }
        }
        return sum;
    }

    private void killed(Sighting.Killed s) {
        killedAt.computeIfAbsent(s.gateway(), gateway -> new ArrayList<>()).add(s.at());
        lives.values().stream().filter(life -> life.gateway == s.gateway() && life.end == End.NONE)
                .forEach(life -> line(life, s.at(), Names.gateway(s.gateway()) + " is killed"));
    }

    /** Nothing excuses requests that such a kill finds unanswered: the gateway got SIGTERM, and knows when the kill may come. */
    private void killedAtEnd(Sighting.KilledAtEnd s) {
        boolean heldUp = pauses.stream().anyMatch(p -> p.gateway == s.gateway() && p.until > s.at() - END_MEMORY_NANOS);
        if (!heldUp && excuse(s.at() - END_MEMORY_NANOS, s.at()) <= limits.answerSlackNanos()) {
            breach(Rule.GATEWAY_ENDED, Names.gateway(s.gateway()), null, "still running when the platform may kill it");
        }
        for (Life life : lives.values()) {
            if (life.gateway == s.gateway() && life.end == End.NONE && life.askedAt + limits.answerSlackNanos() < s.at()) {
                life.foundUnanswered = true;
                line(life, s.at(), Names.gateway(s.gateway()) + " is killed during its shutdown");
            }
        }
    }

    /** Judges and removes at most {@code maxCount} of the requests whose retention is over, oldest first. */
    private void forgetOldest(long now, int most) {
        Iterator<Life> oldest = lives.values().iterator();
        for (int i = 0; i < most && oldest.hasNext(); i++) {
            Life life = oldest.next();
            long over = Math.max(life.owedBy, life.end == End.NONE ? 0 : life.endedAt)
                    + SETTLE_NANOS + excuse(life.askedAt, now) + asleep(life, life.askedAt, now);
            if (now <= over) {
                return;
            }
            oldest.remove();
            close(life);
        }
    }

    /**
     * Judges a request whose time is over. Rules that depend on time are checked here and not at the observation, because the
     * lab's lateness is reported only after the observations that it delayed.
     */
    private void close(Life life) {
        judgeTimes(life);
        if (life.end != End.NONE && life.end != End.BROKE && life.end != End.GAVE_UP) {
            return;
        }
        if (life.foundUnanswered) {
            breach(Rule.LOST, life.id, life, "its gateway had not answered it when it was killed during its shutdown");
            return;
        }
        if (isExcusedByAKill(life)) {
            excused++;
        } else if (life.end == End.NONE) {
            breach(Rule.LOST, life.id, life, "no answer came");
        } else if (life.end == End.GAVE_UP) {
            // An answer may have waited unread in the lab until its client closed; that is not the gateway's fault.
            if (asleep(life, life.askedAt, life.endedAt) > 0) {
                excused++;
            } else if (life.endedAt > life.owedBy + limits.answerSlackNanos() + excuse(life.askedAt, life.endedAt)) {
                breach(Rule.LOST, life.id, life, "no answer until " + millis(life.endedAt - life.owedBy) + " after its deadline");
            } else {
                unaudited++;
            }
        } else if (!life.attempts.isEmpty()) {
            breach(Rule.LOST, life.id, life, "the gateway had accepted it and closed the connection without an answer");
        }
        // Otherwise the request was sent while its connection was being closed, and the gateway never accepted it.
    }

    /**
     * Returns whether a kill of its gateway excuses the request. All kills are examined, since a request is judged seconds after
     * its end, and its gateway may have been killed again by then.
     */
    private boolean isExcusedByAKill(Life life) {
        return killedAt.getOrDefault(life.gateway, List.of()).stream().anyMatch(killed -> killed + KILL_NOTICE_NANOS >= life.askedAt
                && (life.end == End.NONE || life.endedAt >= killed));
    }

    /** Checks the rules that depend on time: late answers, and attempts after the end or after a drain. */
    private void judgeTimes(Life life) {
        boolean answered = life.end == End.SERVED || life.end == End.REFUSED || life.end == End.FAILED;
        answeredLate += answered && life.endedAt > life.owedBy + limits.answerSlackNanos() ? 1 : 0;
        if (answered && life.endedAt > life.owedBy + LOST_AFTER_NANOS + excuse(life.askedAt, life.endedAt)
                + asleep(life, life.askedAt, life.endedAt)) {
            breach(Rule.LOST, life.id, life, "answered " + millis(life.endedAt - life.owedBy)
                    + " after the client's deadline");
        }
        for (Attempt attempt : life.attempts) {
            long slack = limits.answerSlackNanos() + excuse(life.askedAt, attempt.at)
                    + asleep(life, life.askedAt - limits.drainGraceNanos(), attempt.at);
            boolean left = life.end == End.LEFT || life.end == End.GAVE_UP;
            if (left && attempt.at > life.endedAt + LEAVING_NOTICE_NANOS + excuse(life.askedAt, attempt.at)) {
                breach(Rule.SENT_AFTER_LEAVING, life.id, life, "reaches " + Names.node(attempt.node) + " "
                        + millis(attempt.at - life.endedAt) + " after its client left");
            }
            if (answered && attempt.at > life.endedAt + slack) {
                breach(Rule.SENT_AFTER_ANSWER, life.id, life, "reaches " + Names.node(attempt.node) + " "
                        + millis(attempt.at - life.endedAt) + " after its answer");
            }
            if (attempt.drainedSince != null
                    && attempt.at > attempt.drainedSince + limits.drainGraceNanos() + slack) {
                breach(Rule.SENT_AFTER_DRAIN, life.id, life, Names.node(attempt.node)
                        + " had been known to be draining or gone for " + millis(attempt.at - attempt.drainedSince));
            }
        }
    }

    /** Judges all remaining requests, as if their time were over. */
    void finish() {
        lives.values().forEach(this::close);
        lives.clear();
    }

    /** Returns the delay between these times that the lab's own lateness may account for. */
    private long excuse(long from, long to) {
        long worst = 0;
        for (Sighting.Late one : late) {
            if (one.at() >= from && one.at() - one.byNanos() <= to) {
                worst = Math.max(worst, one.byNanos());
            }
        }
        return LATE_HOPS * worst;
    }

    /** Records a breach, each rule at most once for a request. */
    private void breach(Rule rule, String id, Life life, String what) {
        if (life != null && !life.named.add(rule)) {
            return;
        }
        breachCount++;
        broken.add(rule);
        if (breaches.size() < MOST_BREACHES) {
            List<Line> lines = life == null ? List.of() : life.lines;
            breaches.add(new Breach(rule, id, what, lines.stream().map(line ->
                    String.format(Locale.ROOT, "%9.1fms %s", (line.at - origin) / MILLI, line.text)).toList()));
        }
    }

    private void note(String id, long at, String text) {
        Life life = lives.get(id);
        if (life != null) {
            line(life, at, text);
        }
    }

    private void line(Life life, long at, String text) {
        if (life.lines.size() < MOST_LINES) {
            life.lines.add(new Line(at, text));
        }
    }

    /** Returns the first breaches, at most {@link #MOST_BREACHES}, with their timelines. */
    List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Returns the number of all breaches, including those that were not kept. */
    long breachCount() {
        return breachCount;
    }

    /** Returns the rules that were broken. */
    Set<Rule> broken() {
        return Set.copyOf(broken);
    }

    /** Returns the number of answers that came after their client's deadline and the slack, whether or not they count as lost. */
    long answeredLate() {
        return answeredLate;
    }

    /** Returns the number of requests in memory. */
    int held() {
        return lives.size();
    }

    /** Returns the number of attempts that reached nodes, by the key of {@link Names#gatewayAndClass}. */
    Map<String, Long> sends() {
        return Map.copyOf(sends);
    }

    /** Returns the numbers of requests by outcome so far. */
    Counts counts() {
        return new Counts(asked, served, refused, failed, left, brokenOff, excused, unaudited,
                unjudgedFalls,
                lives.values().stream().filter(life -> life.end == End.NONE).count());
    }

    /** Returns a map key with the gateway in the upper 32 bits and the node in the lower ones. */
    private static long pair(int gateway, int node) {
        return (long) gateway << 32 | node;
    }

    private static String millis(long nanos) {
        return Math.round(nanos / MILLI) + "ms";
    }

    private static String brief(String body) {
        String line = body.lines().findFirst().orElse("");
        return line.length() > 80 ? line.substring(0, 80) + "..." : line;
    }
}
