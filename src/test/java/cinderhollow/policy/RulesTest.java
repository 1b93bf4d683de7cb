package cinderhollow.policy;

import static cinderhollow.policy.Fleet.FILE;
import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.RULES;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import cinderhollow.operator.OperatorFile;
import cinderhollow.operator.Platform;
import cinderhollow.policy.Protocol.*;
import cinderhollow.routes.RouteCourse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks every action against the four rules in a seeded run of random valid events. */
class RulesTest {
    private static final long TICK = 5 * MS;
    private static final long LENGTH = 60 * SECOND;
    private static final RequestClass CELL_FILE = new RequestClass("cell-file", Effect.KEYED, DedupGroup.CELL, SECOND,
            300 * MS, 2 * SECOND, 2, 0, false);
    private static final RequestClass ANY_FILE = new RequestClass("any-file", Effect.KEYED, DedupGroup.ALL, SECOND,
            300 * MS, 2 * SECOND, 2, 0.3, false);
    private static final List<RequestClass> CLASSES = List.of(READ, ORDER, FILE, CELL_FILE, ANY_FILE);

    private record Send(String server, long at, int number, long until) { }

    /** The test's own record of a request. */
    private static final class Asked {
        final RequestClass kind;
        final long deadline;
        final List<Send> sends = new ArrayList<>();
        final Set<Integer> neverRan = new HashSet<>();
        final Map<Integer, Long> endsAt = new TreeMap<>();
        boolean answered;

        Asked(RequestClass kind, long deadline) {
            this.kind = kind;
            this.deadline = deadline;
        }

        Send firstThatMayRun() {
            return sends.stream().filter(s -> !neverRan.contains(s.number())).findFirst().orElse(null);
        }
    }

    /** A small simulation that delivers events and checks actions. */
    private static final class World {
        final SplittableRandom random;
        final Recorder host = new Recorder();
        final LoadBalancer choice;
        final Map<String, Asked> asked = new TreeMap<>();
        final Map<String, ServerInfo> listed = new TreeMap<>();
        final Map<String, Long> toldNotReady = new HashMap<>();
        final Map<String, List<Long>> coldSends = new HashMap<>();
        final TreeMap<Long, List<Long>> timers = new TreeMap<>();
        long now = 50 * SECOND;
        int count;
        int finals;
        long length = LENGTH;

        /** The operator's route policies by class; may be empty. */
        final Map<String, RoutePolicy> courses;

        World(long seed) {
            this(seed, Map.of());
        }

        World(long seed, Map<String, RoutePolicy> courses) {
            this.courses = courses;
            random = new SplittableRandom(seed);
            choice = new LoadBalancer(settings(false, 1, List.of(new Tenant("t", 20)), CLASSES), seed, host);
        }

        void on(Event e) {
            choice.handle(now, e);
            host.take().forEach(this::check);
        }

        void check(Recorder.Action a) {
            switch (a.what()) {
                case "send" -> checkSend(a);
                case "refuse", "fail" -> checkFinal(a);
                case "setTimer" -> timers.computeIfAbsent(now + Math.max(TICK, a.number()), t -> new ArrayList<>())
                        .add(Long.parseLong(a.id()));
                default -> { }
            }
        }

        void checkSend(Recorder.Action a) {
            Asked r = asked.get(a.id());
            ServerInfo s = listed.get(a.server());
            assertTrue(!r.answered && now < r.deadline, "sent after its end: " + a);
            assertTrue(r.sends.size() < 4, "too many attempts: " + a);
            Long told = toldNotReady.get(a.server());
            assertTrue(told == null || now <= told + RULES.drainGraceNanos(), "drain not kept: " + a);
            Send first = r.firstThatMayRun();
            if (first != null && r.kind.effect() == Effect.UNSAFE) {
                fail("unsafe request sent again: " + a);
            }
            if (first != null && r.kind.effect() == Effect.KEYED) {
                ServerInfo at = listed.get(first.server());
                assertTrue(now - first.at() < r.kind.dedupWindowNanos(), "past its window: " + a);
                assertTrue(r.kind.dedupGroup() != DedupGroup.ZONE || at.zone().equals(s.zone()), "another zone: " + a);
                assertTrue(r.kind.dedupGroup() != DedupGroup.CELL || at.cell() == s.cell(), "another cell: " + a);
            }
            assertEquals(first != null && r.kind.effect() == Effect.KEYED ? first.at() + r.kind.dedupWindowNanos() - now
                    : Long.MAX_VALUE, host.goesOutWithin.get(a.id()), "may go out past its window: " + a);
            if (s.startedAtNanos() > 0 && now - s.startedAtNanos() < RULES.warmUpNanos()) {
                coldSends.computeIfAbsent(a.server(), id -> new ArrayList<>()).add(now);
            }
            int number = r.sends.size();
            assertTrue(a.number() > 0 && now + a.number() <= r.deadline, "waits past the deadline: " + a);
            r.sends.add(new Send(a.server(), now, number, now + a.number()));
            r.endsAt.put(number, Math.min(now + a.number(), now + random.nextLong(MS, random.nextInt(10) == 0
                    ? 3 * SECOND : 150 * MS)));
        }

        void checkFinal(Recorder.Action a) {
            Asked r = asked.get(a.id());
            assertTrue(!r.answered, "answered twice: " + a);
            assertTrue(now <= r.deadline + RULES.answerSlackNanos(), "answered late: " + a);
            if (a.what().equals("refuse") && r.firstThatMayRun() != null) {
                assertTrue(r.kind.effect() == Effect.SAFE
                        || r.kind.effect() == Effect.KEYED && r.kind.dedupGroup() == DedupGroup.ALL, "refused: " + a);
            }
            r.answered = true;
            finals++;
        }

        void ask() {
            RequestClass c = CLASSES.get(random.nextInt(CLASSES.size()));
            String id = String.format("r%06d", count++);
            long expires = random.nextInt(20) == 0 ? random.nextLong(1, 30 * MS) : c.deadlineNanos();
            asked.put(id, new Asked(c, now + expires));
            on(new RequestArrived(id, c.name(), random.nextBoolean() ? "t" : null, null, expires, 0, false, courses.get(c.name())));
        }

        void endAttempts() {
            for (Map.Entry<String, Asked> entry : new ArrayList<>(asked.entrySet())) {
                Asked r = entry.getValue();
                for (int number : List.copyOf(r.endsAt.keySet())) {
                    if (r.endsAt.get(number) <= now) {
                        r.endsAt.remove(number);
                        end(entry.getKey(), r, number);
                    }
                }
                if (r.answered && r.endsAt.isEmpty()) {
                    asked.remove(entry.getKey());
                }
            }
        }

        void end(String id, Asked r, int number) {
            boolean due = now >= r.sends.get(number).until();
            Outcome outcome = due ? Outcome.TIMED_OUT : switch (random.nextInt(12)) {
                case 0 -> Outcome.ERROR;
                case 1 -> Outcome.FULL;
                case 2 -> Outcome.CONNECT_FAILED;
                case 3 -> Outcome.RESET;
                default -> Outcome.SERVED;
            };
            if (outcome.provesItNeverRan()) {
                r.neverRan.add(number);
            }
            finals += outcome == Outcome.SERVED && !r.answered ? 1 : 0;
            r.answered |= outcome == Outcome.SERVED;
            Send s = r.sends.get(number);
            on(new AttemptEnded(id, number, s.server(), outcome, now - s.at(), r.answered, null));
        }

        void changeList() {
            String id = "s" + random.nextInt(8);
            ServerInfo before = listed.get(id);
            Readiness readiness = Readiness.values()[random.nextInt(3)];
            long started = before.readiness() == Readiness.READY ? before.startedAtNanos() : now;
            ServerInfo after = new ServerInfo(id, before.zone(), "k", before.cell(), readiness, 1, started);
            listed.put(id, after);
            coldSends.remove(id);
            if (readiness == Readiness.READY) {
                toldNotReady.remove(id);
            } else {
                toldNotReady.putIfAbsent(id, now);
            }
            boolean whole = random.nextInt(4) == 0;
            on(new ListReceived(whole ? ListKind.WHOLE : ListKind.CHANGES, whole
                    ? List.copyOf(listed.values()) : List.of(after)));
        }

        void run() {
            for (int i = 0; i < 8; i++) {
                listed.put("s" + i, new ServerInfo("s" + i, i < 4 ? "a" : "b", "k", i / 2, Readiness.READY, 1, 0));
            }
            on(new ListReceived(ListKind.CACHED, List.copyOf(listed.values())));
            for (long end = now + length; now < end; now += TICK) {
                for (int i = random.nextInt(2); i > 0; i--) {
                    ask();
                }
                endAttempts();
                while (!timers.isEmpty() && timers.firstKey() <= now) {
                    timers.pollFirstEntry().getValue().forEach(token -> on(new TimerFired(token)));
                }
                if (random.nextInt(400) == 0) {
                    changeList();
                }
                asked.forEach((id, r) -> assertTrue(r.answered || now <= r.deadline + RULES.answerSlackNanos(),
                        "lost: " + id));
                checkCold();
            }
        }

        /**
         * Checks that a cold server gets no more in the window than it may, if each request costs a hundredth of a second of its
         * time.
         */
        void checkCold() {
            coldSends.forEach((id, sends) -> {
                sends.removeIf(at -> at < now - RULES.overloadForNanos());
                double age = (now - listed.get(id).startedAtNanos()) / (double) RULES.warmUpNanos();
                double capacity = RULES.coldFrom() + (1 - RULES.coldFrom()) * Math.min(1, age);
                double perSecond = 100 * RULES.overloadFactor() * capacity;
                double most = perSecond * RULES.overloadForNanos() / SECOND;
                assertTrue(sends.size() <= most, sends.size() + " to " + id + ", most " + most);
            });
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void everyActionKeepsTheFourRules(long seed) {
        World world = new World(seed);
        world.run();
        assertTrue(world.finals > 4000, "answered: " + world.finals);
        assertEquals(world.count, world.finals + world.asked.values().stream().filter(r -> !r.answered).count());
    }

    /** Random operator's files: whichever is accepted, the rules hold through random outcomes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noAcceptedFileLetsAnythingRunTwice(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Platform platform = new Platform(CLASSES, 4, true, 400 * MS);
        int accepted = 0;
        for (int i = 0; i < 400 && accepted < 6; i++) {
            String text = file(random);
            OperatorFile file = OperatorFile.parse(text, platform);
            if (!file.findings().isEmpty()) {
                continue;
            }
            accepted++;
            Map<String, RoutePolicy> courses = new HashMap<>();
            file.routes().forEach(route -> courses.put(route.requestClass(), new RouteCourse(0, route.terms())));
            World world = new World(seed * 100 + i, courses);
            world.length = 15 * SECOND;
            try {
                world.run();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ", file:\n" + text, e);
            }
            assertTrue(world.finals > 800, "answered: " + world.finals);
        }
        assertTrue(accepted >= 3, "accepted " + accepted);
    }

    private static String file(SplittableRandom random) {
        StringBuilder text = new StringBuilder();
        for (RequestClass c : CLASSES) {
            text.append("[class.").append(c.name()).append("]\n");
            maybe(random, text, "total", "\"" + random.nextInt(1, 2100) + "ms\"");
            maybe(random, text, "attempt_timeout", "\"" + random.nextInt(1, 700) + "ms\"");
            maybe(random, text, "attempts", String.valueOf(random.nextInt(1, 5)));
            maybe(random, text, "backoff", "\"" + random.nextInt(0, 60) + "ms\"");
            maybe(random, text, "retry_on", random.nextInt(3) == 0 ? "[\"reset\", \"error\", \"full\"]"
                    : "[\"full\", \"connect-failed\"]");
            maybe(random, text, "retry_budget", "{ share = " + random.nextInt(0, 11) / 10.0 + ", floor_per_s = 5 }");
            if (c.effect() != Effect.UNSAFE || random.nextInt(20) == 0) {
                maybe(random, text, "second_copy", "{ after = \"" + random.nextInt(1, 300)
                        + "ms\", budget = { share = 1.0 } }");
            }
        }
        return text.toString();
    }

    private static void maybe(SplittableRandom random, StringBuilder text, String key, String value) {
        if (random.nextInt(3) == 0) {
            text.append(key).append(" = ").append(value).append('\n');
        }
    }

    @Test
    void whatComesAtTheEndIsAnsweredBeforeIt() {
        Fleet fleet = new Fleet().with(1);
        fleet.choice.handle(fleet.now, new ShutdownStarted(300 * MS));
        fleet.ask(READ);
        assertEquals(300 * MS, fleet.host.take("send").get(0).number());
    }
}
