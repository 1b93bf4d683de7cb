package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.FILE;
import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.RULES;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import cinderhollow.operator.OperatorFile;
import cinderhollow.operator.PlatformConstraints;
import cinderhollow.policy.Protocol.*;
import cinderhollow.routes.BudgetedRoutePolicy;
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
    private static final long TICK_NANOS = 5 * MS;
    private static final long RUN_NANOS = 60 * SECOND;
    private static final RequestClass CELL_FILE = new RequestClass("cell-file", Effect.KEYED, DedupGroup.CELL, SECOND,
            300 * MS, 2 * SECOND, 2, 0, false);
    private static final RequestClass ANY_FILE = new RequestClass("any-file", Effect.KEYED, DedupGroup.ALL, SECOND,
            300 * MS, 2 * SECOND, 2, 0.3, false);
    private static final List<RequestClass> CLASSES = List.of(READ, ORDER, FILE, CELL_FILE, ANY_FILE);

    private record Send(String server, long sentAt, int number, long timeoutAt) { }

    /** The test's own record of a request. */
    private static final class TrackedRequest {
        final RequestClass requestClass;
        final long deadline;
        final List<Send> sends = new ArrayList<>();
        final Set<Integer> neverRan = new HashSet<>();
        final Map<Integer, Long> endTimes = new TreeMap<>();
        boolean answered;

        TrackedRequest(RequestClass requestClass, long deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        Send firstThatMayRun() {
            return sends.stream().filter(s -> !neverRan.contains(s.number())).findFirst().orElse(null);
        }
    }

    /** A small simulation that delivers events and checks actions. */
    private static final class Simulation {
        final SplittableRandom random;
        final Recorder recorder = new Recorder();
        final LoadBalancer balancer;
        final Map<String, TrackedRequest> requests = new TreeMap<>();
        final Map<String, ServerInfo> servers = new TreeMap<>();
        final Map<String, Long> notReadySince = new HashMap<>();
        final Map<String, List<Long>> coldSends = new HashMap<>();
        final TreeMap<Long, List<Long>> timers = new TreeMap<>();
        long now = 50 * SECOND;
        int requestCount;
        int finalAnswers;
        long durationNanos = RUN_NANOS;

        /** The operator's route policies by class; may be empty. */
        final Map<String, RoutePolicy> routePolicies;

        Simulation(long seed) {
            this(seed, Map.of());
        }

        Simulation(long seed, Map<String, RoutePolicy> routePolicies) {
            this.routePolicies = routePolicies;
            random = new SplittableRandom(seed);
            balancer = new LoadBalancer(settings(false, 1, List.of(new Tenant("t", 20)), CLASSES), seed, recorder);
        }

        void deliver(Event e) {
            balancer.handle(now, e);
            recorder.take().forEach(this::checkAction);
        }

        void checkAction(Recorder.Action a) {
            switch (a.call()) {
                case "send" -> checkSend(a);
                case "refuse", "fail" -> checkFinal(a);
                case "setTimer" -> timers.computeIfAbsent(now + Math.max(TICK_NANOS, a.value()), t -> new ArrayList<>())
                        .add(Long.parseLong(a.id()));
                default -> { }
            }
        }

        void checkSend(Recorder.Action a) {
            TrackedRequest r = requests.get(a.id());
            ServerInfo s = servers.get(a.server());
            assertTrue(!r.answered && now < r.deadline, "sent after its end: " + a);
            assertTrue(r.sends.size() < 4, "too many attempts: " + a);
            Long notReadyAt = notReadySince.get(a.server());
            assertTrue(notReadyAt == null || now <= notReadyAt + RULES.drainGraceNanos(), "drain not kept: " + a);
            Send first = r.firstThatMayRun();
            if (first != null && r.requestClass.effect() == Effect.UNSAFE) {
                fail("unsafe request sent again: " + a);
            }
            if (first != null && r.requestClass.effect() == Effect.KEYED) {
                ServerInfo at = servers.get(first.server());
                assertTrue(now - first.sentAt() < r.requestClass.dedupWindowNanos(), "past its window: " + a);
                assertTrue(r.requestClass.dedupGroup() != DedupGroup.ZONE || at.zone().equals(s.zone()), "another zone: " + a);
                assertTrue(r.requestClass.dedupGroup() != DedupGroup.CELL || at.cell() == s.cell(), "another cell: " + a);
            }
            assertEquals(first != null && r.requestClass.effect() == Effect.KEYED ? first.sentAt()
                    + r.requestClass.dedupWindowNanos() - now
                    : Long.MAX_VALUE, recorder.startWithinNanos.get(a.id()), "may go out past its window: " + a);
            if (s.startedAtNanos() > 0 && now - s.startedAtNanos() < RULES.warmUpNanos()) {
                coldSends.computeIfAbsent(a.server(), id -> new ArrayList<>()).add(now);
            }
            int number = r.sends.size();
            assertTrue(a.value() > 0 && now + a.value() <= r.deadline, "waits past the deadline: " + a);
            r.sends.add(new Send(a.server(), now, number, now + a.value()));
            r.endTimes.put(number, Math.min(now + a.value(), now + random.nextLong(MS, random.nextInt(10) == 0
                    ? 3 * SECOND : 150 * MS)));
        }

        void checkFinal(Recorder.Action a) {
            TrackedRequest r = requests.get(a.id());
            assertTrue(!r.answered, "answered twice: " + a);
            assertTrue(now <= r.deadline + RULES.answerSlackNanos(), "answered late: " + a);
            if (a.call().equals("refuse") && r.firstThatMayRun() != null) {
                assertTrue(r.requestClass.effect() == Effect.SAFE
                        || r.requestClass.effect() == Effect.KEYED && r.requestClass.dedupGroup() == DedupGroup.ALL, "refused: "
                        + a);
            }
            r.answered = true;
            finalAnswers++;
        }

        void submit() {
            RequestClass c = CLASSES.get(random.nextInt(CLASSES.size()));
            String id = String.format("r%06d", requestCount++);
            long expires = random.nextInt(20) == 0 ? random.nextLong(1, 30 * MS) : c.deadlineNanos();
            requests.put(id, new TrackedRequest(c, now + expires));
            deliver(new RequestArrived(id, c.name(), random.nextBoolean() ? "t" : null, null, expires, 0, false,
                    routePolicies.get(c.name())));
        }

        void endAttempts() {
            for (Map.Entry<String, TrackedRequest> entry : new ArrayList<>(requests.entrySet())) {
                TrackedRequest r = entry.getValue();
                for (int number : List.copyOf(r.endTimes.keySet())) {
                    if (r.endTimes.get(number) <= now) {
                        r.endTimes.remove(number);
                        endAttempt(entry.getKey(), r, number);
                    }
                }
                if (r.answered && r.endTimes.isEmpty()) {
                    requests.remove(entry.getKey());
                }
            }
        }

        void endAttempt(String id, TrackedRequest r, int number) {
            boolean timedOut = now >= r.sends.get(number).timeoutAt();
            Outcome outcome = timedOut ? Outcome.TIMED_OUT : switch (random.nextInt(12)) {
                case 0 -> Outcome.ERROR;
                case 1 -> Outcome.FULL;
                case 2 -> Outcome.CONNECT_FAILED;
                case 3 -> Outcome.RESET;
                default -> Outcome.SERVED;
            };
            if (outcome.provesItNeverRan()) {
                r.neverRan.add(number);
            }
            finalAnswers += outcome == Outcome.SERVED && !r.answered ? 1 : 0;
            r.answered |= outcome == Outcome.SERVED;
            Send s = r.sends.get(number);
            deliver(new AttemptEnded(id, number, s.server(), outcome, now - s.sentAt(), r.answered, null));
        }

        void changeList() {
            String id = "s" + random.nextInt(8);
            ServerInfo before = servers.get(id);
            Readiness readiness = Readiness.values()[random.nextInt(3)];
            long started = before.readiness() == Readiness.READY ? before.startedAtNanos() : now;
            ServerInfo after = new ServerInfo(id, before.zone(), "k", before.cell(), readiness, 1, started);
            servers.put(id, after);
            coldSends.remove(id);
            if (readiness == Readiness.READY) {
                notReadySince.remove(id);
            } else {
                notReadySince.putIfAbsent(id, now);
            }
            boolean whole = random.nextInt(4) == 0;
            deliver(new ListReceived(whole ? ListKind.WHOLE : ListKind.CHANGES, whole
                    ? List.copyOf(servers.values()) : List.of(after)));
        }

        void run() {
            for (int i = 0; i < 8; i++) {
                servers.put("s" + i, new ServerInfo("s" + i, i < 4 ? "a" : "b", "k", i / 2, Readiness.READY, 1, 0));
            }
            deliver(new ListReceived(ListKind.CACHED, List.copyOf(servers.values())));
            for (long end = now + durationNanos; now < end; now += TICK_NANOS) {
                for (int i = random.nextInt(2); i > 0; i--) {
                    submit();
                }
                endAttempts();
                while (!timers.isEmpty() && timers.firstKey() <= now) {
                    timers.pollFirstEntry().getValue().forEach(token -> deliver(new TimerFired(token)));
                }
                if (random.nextInt(400) == 0) {
                    changeList();
                }
                requests.forEach((id, r) -> assertTrue(r.answered || now <= r.deadline + RULES.answerSlackNanos(),
                        "lost: " + id));
                checkColdServers();
            }
        }

        /**
         * Checks that a cold server gets no more in the window than it may, if each request costs a hundredth of a second of its
         * time.
         */
        void checkColdServers() {
            coldSends.forEach((id, sends) -> {
                sends.removeIf(at -> at < now - RULES.overloadWindowNanos());
                double age = (now - servers.get(id).startedAtNanos()) / (double) RULES.warmUpNanos();
                double capacity = RULES.coldCapacityFraction() + (1 - RULES.coldCapacityFraction()) * Math.min(1, age);
                double perSecond = 100 * RULES.overloadFactor() * capacity;
                double maxSends = perSecond * RULES.overloadWindowNanos() / SECOND;
                assertTrue(sends.size() <= maxSends, sends.size() + " to " + id + ", most " + maxSends);
            });
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void everyActionKeepsTheFourRules(long seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run();
        assertTrue(simulation.finalAnswers > 4000, "answered: " + simulation.finalAnswers);
        assertEquals(simulation.requestCount, simulation.finalAnswers + simulation.requests.values().stream()
                .filter(r -> !r.answered).count());
    }

    /** Random operator's files: whichever is accepted, the rules hold through random outcomes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void noAcceptedFileLetsAnythingRunTwice(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PlatformConstraints platform = new PlatformConstraints(CLASSES, 4, true, 400 * MS);
        int accepted = 0;
        for (int i = 0; i < 400 && accepted < 6; i++) {
            String text = randomFile(random);
            OperatorFile file = OperatorFile.parse(text, platform);
            if (!file.findings().isEmpty()) {
                continue;
            }
            accepted++;
            Map<String, RoutePolicy> routePolicies = new HashMap<>();
            file.routes().forEach(route -> routePolicies.put(route.requestClass(), new BudgetedRoutePolicy(0, route.settings())));
            Simulation simulation = new Simulation(seed * 100 + i, routePolicies);
            simulation.durationNanos = 15 * SECOND;
            try {
                simulation.run();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ", file:\n" + text, e);
            }
            assertTrue(simulation.finalAnswers > 800, "answered: " + simulation.finalAnswers);
        }
        assertTrue(accepted >= 3, "accepted " + accepted);
    }

    private static String randomFile(SplittableRandom random) {
        StringBuilder text = new StringBuilder();
        for (RequestClass c : CLASSES) {
            text.append("[class.").append(c.name()).append("]\n");
            appendSometimes(random, text, "total", "\"" + random.nextInt(1, 2100) + "ms\"");
            appendSometimes(random, text, "attempt_timeout", "\"" + random.nextInt(1, 700) + "ms\"");
            appendSometimes(random, text, "attempts", String.valueOf(random.nextInt(1, 5)));
            appendSometimes(random, text, "backoff", "\"" + random.nextInt(0, 60) + "ms\"");
            appendSometimes(random, text, "retry_on", random.nextInt(3) == 0 ? "[\"reset\", \"error\", \"full\"]"
                    : "[\"full\", \"connect-failed\"]");
            appendSometimes(random, text, "retry_budget", "{ share = " + random.nextInt(0, 11) / 10.0 + ", floor_per_s = 5 }");
            if (c.effect() != Effect.UNSAFE || random.nextInt(20) == 0) {
                appendSometimes(random, text, "second_copy", "{ after = \"" + random.nextInt(1, 300)
                        + "ms\", budget = { share = 1.0 } }");
            }
        }
        return text.toString();
    }

    private static void appendSometimes(SplittableRandom random, StringBuilder text, String key, String value) {
        if (random.nextInt(3) == 0) {
            text.append(key).append(" = ").append(value).append('\n');
        }
    }

    @Test
    void aRequestDuringShutdownIsAnsweredBeforeItsEnd() {
        GatewayHarness gateway = new GatewayHarness().withServers(1);
        gateway.balancer.handle(gateway.now, new ShutdownStarted(300 * MS));
        gateway.submit(READ);
        assertEquals(300 * MS, gateway.recorder.take("send").get(0).value());
    }
}
