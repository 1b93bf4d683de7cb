package cinderhollow.policy;

import static cinderhollow.policy.Fleet.ASK;
import static cinderhollow.policy.Fleet.FILE;
import static cinderhollow.policy.Fleet.MS;
import static cinderhollow.policy.Fleet.ORDER;
import static cinderhollow.policy.Fleet.READ;
import static cinderhollow.policy.Fleet.SECOND;
import static cinderhollow.policy.Fleet.STEP;
import static cinderhollow.policy.Fleet.SWEEP;
import static cinderhollow.policy.Fleet.server;
import static cinderhollow.policy.Fleet.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.*;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Decisions of one gateway: draws by share, gates, retries, shedding, the server list and errors in events and settings. */
class ChoiceTest {
    private static final int DRAWS = 6000;

    /** Counts how often each server is drawn when every request is answered at once. */
    private static Map<String, Integer> draws(Fleet fleet, int n) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < n; i++) {
            counts.merge(fleet.serve(READ, Outcome.SERVED, 10 * MS), 1, Integer::sum);
        }
        return counts;
    }

    /** Time after an answer at which the queue gate no longer depends on it. */
    private static final long QUEUE_FORGOTTEN = 200 * SECOND;

    /** Runs one tick in which each server answers this many requests with the given latencies. Only the shares change by it. */
    private static void tick(Fleet fleet, int each, long... elapsed) {
        int[] left = new int[elapsed.length];
        java.util.Arrays.fill(left, each);
        for (int n = 0; n < each * elapsed.length;) {
            String id = fleet.ask(READ);
            String s = fleet.sentTo();
            if (s == null) {
                continue; // shed
            }
            int i = Integer.parseInt(s.substring(1));
            boolean counted = left[i]-- > 0;
            n += counted ? 1 : 0;
            fleet.end(id, 0, s, counted ? Outcome.SERVED : Outcome.NOT_SENT, elapsed[i], true);
            fleet.now += counted ? QUEUE_FORGOTTEN : 0;
        }
        fleet.fire(STEP);
        fleet.host.take();
    }

    private static void assertPart(double expected, Map<String, Integer> counts, String server) {
        double part = counts.getOrDefault(server, 0) / (double) DRAWS;
        assertEquals(expected, part, 0.03, server + " of " + counts);
    }

    /** The timeout of an attempt is all that is left of the client's time, however short or long. */
    @Test
    void anAttemptIsGivenAllThatIsLeftOfTheClientsTime() {
        Fleet fleet = new Fleet().with(4);
        for (long left : new long[] {2 * SECOND, 1_700 * MS, 500 * MS, 40 * MS}) {
            fleet.ask(ORDER, null, left);
            assertEquals(left, fleet.host.take("send").get(0).number());
        }
    }

    @Test
    void drawsFollowEqualSharesAtStart() {
        Map<String, Integer> counts = draws(new Fleet().with(4), DRAWS);
        for (int i = 0; i < 4; i++) {
            assertPart(0.25, counts, "s" + i);
        }
    }

    @Test
    void aStepMovesSharesAsThePaperSays() {
        Fleet fleet = new Fleet().with(2);
        // l = 30 and 10, l_mean = 20, l^ = 0.5: with many samples, factors 0.9 and 1.1 on shares of 0.5 in each update.
        for (int i = 0; i < 5; i++) {
            tick(fleet, 400, 30 * MS, 10 * MS);
        }
        double slow = Math.pow(0.9, 5) / (Math.pow(0.9, 5) + Math.pow(1.1, 5));
        Map<String, Integer> counts = draws(fleet, DRAWS);
        assertPart(slow, counts, "s0");
        assertPart(1 - slow, counts, "s1");
    }

    @Test
    void aServerWithoutSamplesKeepsItsShare() {
        Fleet fleet = new Fleet().with(2);
        fleet.fire(STEP);
        fleet.fire(STEP);
        assertPart(0.5, draws(fleet, DRAWS), "s0");
    }

    @Test
    void aServerThatIsFullOrErrsAtOnceHasNoShortQueue() {
        for (Outcome quick : List.of(Outcome.FULL, Outcome.ERROR)) {
            Fleet fleet = new Fleet().with(2);
            fleet.serve(READ, Outcome.SERVED, 50 * MS);
            fleet.serve(READ, Outcome.SERVED, 50 * MS);
            double before = fleet.choice.ready().get(0).recent.at(fleet.now, SECOND)
                    + fleet.choice.ready().get(1).recent.at(fleet.now, SECOND);
            fleet.serve(ORDER, quick, MS, true);
            double after = fleet.choice.ready().get(0).recent.at(fleet.now, SECOND)
                    + fleet.choice.ready().get(1).recent.at(fleet.now, SECOND);
            assertTrue(after >= before, quick + ": " + before + " to " + after);
        }
    }

    @Test
    void aSingleServerAndAMeanOfZeroKeepAllShares() {
        Fleet one = new Fleet().with(1);
        tick(one, 5, 10 * MS);
        assertEquals("s0", one.serve(READ, Outcome.SERVED, MS));
        Fleet zero = new Fleet().with(2);
        tick(zero, 5, 0, 0);
        assertPart(0.5, draws(zero, DRAWS), "s0");
    }

    @Test
    void aFactorThatWouldTurnNegativeOnlyHalvesAndTheShareComesBack() {
        Fleet fleet = new Fleet().with(8);
        long[] elapsed = {2000 * MS, MS, MS, MS, MS, MS, MS, MS};
        tick(fleet, 50, elapsed); // l^ = 7 at this server: the factor 1 - 0.2 * 7 would be negative
        double others = 1 + 0.2 * 0.98;
        double expected = 0.5 / (0.5 + 7 * others);
        assertPart(expected, draws(fleet, DRAWS), "s0");
    }

    @Test
    void classesOfUnlikeLengthDontPassForSlowServers() {
        RequestClass brief = new RequestClass("brief", Effect.SAFE, DedupGroup.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        Fleet fleet = new Fleet(settings(false, 1, List.of(), List.of(READ, brief)), 7).with(2);
        for (int t = 0; t < 6; t++) {
            for (int i = 0; i < 400; i++) { // s0 gets only long work, s1 only short work
                RequestClass c = i % 2 == 0 ? READ : brief;
                String id = fleet.ask(c);
                boolean fits = fleet.sentTo().equals(c == READ ? "s0" : "s1");
                fleet.end(id, 0, c == READ == fits ? "s0" : "s1", fits ? Outcome.SERVED : Outcome.NOT_SENT,
                        c == READ ? 80 * MS : 8 * MS, true);
            }
            fleet.fire(STEP);
            fleet.host.take();
        }
        assertPart(0.5, draws(fleet, DRAWS), "s0");
    }

    @Test
    void aClassWhoseAnswersAllTookLongerThanItsAimIsTriedAgain() {
        Fleet fleet = new Fleet(settings(false, 1, List.of(), List.of(ORDER)), 7).with(4);
        for (int i = 0; i < 400; i++) {
            fleet.serve(ORDER, Outcome.SERVED, 800 * MS);
            fleet.now += 5 * MS;
        }
        fleet.fire(SWEEP);
        fleet.host.take();
        for (int i = 0; i < 2000; i++) { // low load again
            fleet.serve(ORDER, Outcome.SERVED, 10 * MS);
            fleet.now += 5 * MS;
        }
        int served = 0;
        for (int i = 0; i < 100; i++) {
            served += fleet.serve(ORDER, Outcome.SERVED, 10 * MS) == null ? 0 : 1;
            fleet.now += 5 * MS;
        }
        assertEquals(100, served);
    }

    @Test
    void requestsStayInTheirZoneUntilMostOfItsAnswersTakeHalfTheirAim() {
        Fleet fleet = new Fleet().with(4, "b"); // s1 and s3 are in the other zone
        assertEquals(Set.of("s0", "s2"), draws(fleet, 200).keySet());
        for (int i = 0; i < 12; i++) {
            fleet.serve(READ, Outcome.SERVED, 260 * MS);
        }
        Set<String> drawn = draws(fleet, 12).keySet();
        assertTrue(drawn.contains("s1") || drawn.contains("s3"), drawn::toString);
    }

    @Test
    void whereTheOwnZoneHasNoServerTheOthersGetAll() {
        Fleet fleet = new Fleet();
        fleet.list(ListKind.CACHED, server("s0", "b", Readiness.READY, 0), server("s1", "c", Readiness.READY, 0));
        assertPart(0.5, draws(fleet, DRAWS), "s0");
    }

    @Test
    void nothingNewGoesToADrainingOrGoneServer() {
        Fleet fleet = new Fleet().with(3);
        fleet.list(ListKind.CHANGES, server("s0", "a", Readiness.DRAINING, 0),
                server("s1", "b", Readiness.GONE, 0));
        assertEquals(Set.of("s2"), draws(fleet, 50).keySet());
    }

    @Test
    void aServerMissingFromAWholeListIsGoneAndOneMissingFromChangesIsNot() {
        Fleet fleet = new Fleet().with(2);
        fleet.list(ListKind.CHANGES, server("s2"));
        assertEquals(Set.of("s0", "s1", "s2"), draws(fleet, 100).keySet());
        fleet.list(ListKind.WHOLE, server("s2"));
        assertEquals(Set.of("s2"), draws(fleet, 20).keySet());
    }

    @Test
    void aServerThatComesBackIntoTheListStartsAfresh() {
        Fleet fleet = new Fleet().with(2);
        for (int i = 0; i < 4; i++) {
            tick(fleet, 20, 10 * MS, 90 * MS);
        }
        fleet.list(ListKind.CHANGES, server("s1", "a", Readiness.GONE, 0));
        fleet.list(ListKind.CHANGES, server("s1", "a", Readiness.READY, 0));
        assertPart(0.5, draws(fleet, DRAWS), "s1");
    }

    @Test
    void anEmptyListHoldsRequestsAndAnswersThemInTime() {
        Fleet fleet = new Fleet().with(0);
        String id = fleet.ask(ORDER);
        assertNull(fleet.sentTo());
        fleet.now += 600 * MS; // past the aim, and late answers have no worth
        fleet.fire(SWEEP);
        assertEquals(id, fleet.host.take("refuse").get(0).id());
    }

    @Test
    void aHeldRequestGoesOutWhenAServerAppears() {
        Fleet fleet = new Fleet().with(0);
        fleet.ask(ORDER);
        fleet.list(ListKind.CHANGES, server("s9"));
        assertEquals("s9", fleet.sentTo());
    }

    @Test
    void aRequestWithLessTimeThanTheNextSweepIsAnsweredAtOnce() {
        Fleet fleet = new Fleet().with(0);
        String id = fleet.ask(READ, null, 4 * MS);
        assertEquals(id, fleet.host.take("refuse").get(0).id());
    }

    @Test
    void anUnsafeRequestIsTriedAgainOnlyAfterProofThatItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.SERVED) {
                continue;
            }
            Fleet fleet = new Fleet().with(3);
            String id = fleet.ask(ORDER);
            String first = fleet.sentTo();
            fleet.end(id, 0, first, outcome, MS);
            List<Recorder.Action> after = fleet.host.take();
            boolean sent = after.stream().anyMatch(a -> a.what().equals("send"));
            boolean failed = after.stream().anyMatch(a -> a.what().equals("fail"));
            assertEquals(outcome.provesItNeverRan(), sent, outcome.toString());
            assertEquals(!outcome.provesItNeverRan(), failed, outcome.toString());
        }
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsGroupAndWindow() {
        for (int i = 0; i < 20; i++) {
            Fleet fleet = new Fleet(settings(false), i).with(6, "b");
            String id = fleet.ask(FILE);
            String first = fleet.sentTo();
            fleet.end(id, 0, first, Outcome.ERROR, MS);
            String second = fleet.sentTo();
            assertNotEquals(first, second);
            assertEquals(Integer.parseInt(first.substring(1)) % 2, Integer.parseInt(second.substring(1)) % 2);
        }
        RequestClass brief = new RequestClass("brief", Effect.KEYED, DedupGroup.ALL, 50 * MS, 500 * MS, SECOND, 1, 0,
                false);
        Fleet fleet = new Fleet(settings(false, 1, List.of(), List.of(brief)), 7).with(6);
        String id = fleet.ask(brief);
        String first = fleet.sentTo();
        fleet.now += 60 * MS;
        fleet.end(id, 0, first, Outcome.ERROR, 60 * MS);
        assertNull(fleet.sentTo(), "the window has passed");
    }

    @Test
    void aKeyedRequestOfOneZoneThatMayHaveRunIsFailedAndNotRefused() {
        Fleet fleet = new Fleet();
        fleet.list(ListKind.CACHED, server("s0"), server("s1", "b", Readiness.READY, 0));
        String id = fleet.ask(FILE);
        fleet.end(id, 0, fleet.sentTo(), Outcome.ERROR, MS);
        fleet.now += 1990 * MS;
        fleet.fire(SWEEP);
        List<Recorder.Action> actions = fleet.host.take();
        assertTrue(actions.stream().anyMatch(a -> a.what().equals("fail") && a.id().equals(id)), actions::toString);
        assertTrue(actions.stream().noneMatch(a -> a.what().equals("refuse") || a.what().equals("send")));
    }

    @Test
    void furtherTriesStopAtTheAllowedNumberAndNeverGoToTheSameServer() {
        Fleet fleet = new Fleet().with(8);
        String id = fleet.ask(READ);
        Set<String> tried = new HashSet<>();
        for (int attempt = 0; attempt < 4; attempt++) {
            String s = fleet.sentTo();
            assertTrue(tried.add(s), "tried twice: " + s);
            fleet.end(id, attempt, s, Outcome.CONNECT_FAILED, MS);
        }
        assertEquals(1, fleet.host.take("refuse").size());
    }

    @Test
    void triesAfterFailuresStayWithinTheirBudget() {
        Fleet fleet = new Fleet().with(8);
        int sends = 0;
        for (int i = 0; i < 500; i++) {
            String id = fleet.ask(READ);
            for (int attempt = 0; attempt < 4; attempt++) {
                String s = fleet.sentTo();
                if (s == null) {
                    break;
                }
                sends++;
                fleet.end(id, attempt, s, Outcome.ERROR, MS);
            }
            fleet.host.take();
        }
        assertTrue(sends <= 500 + 50 + 10, "sends: " + sends);
    }

    @Test
    void anAnswerAfterTheRequestEndedIsPassedOver() {
        Fleet fleet = new Fleet().with(2);
        String id = fleet.ask(READ);
        String s = fleet.sentTo();
        fleet.end(id, 0, s, Outcome.SERVED, MS);
        fleet.host.take();
        fleet.end(id, 0, s, Outcome.SERVED, MS);
        fleet.choice.handle(fleet.now, new ClientLeft(id));
        assertEquals(List.of(), fleet.host.take());
    }

    @Test
    void afterTheClientLeftNothingGoesOutAndTheAttemptIsCalledOff() {
        Fleet fleet = new Fleet().with(2);
        String id = fleet.ask(READ);
        String s = fleet.sentTo();
        fleet.choice.handle(fleet.now, new ClientLeft(id));
        assertEquals(1, fleet.host.take("cancel").size());
        fleet.end(id, 0, s, Outcome.CANCELLED, MS, true);
        assertEquals(List.of(), fleet.host.take());
    }

    @Test
    void aRepeatWhoseAimPassedWithItsFirstTryWaitsBehindFreshRequests() {
        Fleet fleet = new Fleet(settings(false, 1, List.of(), List.of(READ)), 7).with(1);
        for (int i = 0; i < 30; i++) {
            fleet.ask(READ, null, 1500 * MS);
        }
        String fresh = fleet.ask(READ, null, 1501 * MS);
        String repeat = fleet.ask(READ, null, 1200 * MS);
        List<String> sent = fleet.answerAll(100 * MS);
        assertEquals(32, sent.size());
        assertTrue(sent.indexOf(fresh) < sent.indexOf(repeat));
        assertEquals(repeat, sent.get(31), "800 ms of 2 s are gone, the aim is 500 ms");
    }

    @Test
    void clientsOfManyTimeOutsDontPassForRepeats() {
        Fleet fleet = new Fleet(settings(false, 1, List.of(), List.of(READ)), 7).with(1);
        for (int i = 0; i < 30; i++) {
            fleet.ask(READ, null, (1000 + 100 * (i % 7)) * MS);
        }
        String last = fleet.ask(READ, null, 1200 * MS);
        assertEquals(1, fleet.answerAll(100 * MS).indexOf(last), "the newest is the first after the one in flight");
    }

    @Test
    void aStreamThatBeganIsLeftAlone() {
        Fleet fleet = new Fleet().with(3);
        String id = fleet.ask(READ);
        fleet.choice.handle(fleet.now, new StreamStarted(id, 0, fleet.sentTo()));
        fleet.now += 5 * SECOND;
        fleet.fire(SWEEP);
        assertTrue(fleet.host.take().stream().noneMatch(a -> Set.of("send", "cancel", "fail", "refuse")
                .contains(a.what())));
    }

    /** Servers whose in-flight limits have risen above one by early answers. */
    private static Fleet fastServers(int servers) {
        Fleet fleet = new Fleet().with(servers);
        fleet.serveTogether(READ, 50 * servers, 10 * MS);
        fleet.host.take();
        return fleet;
    }

    @Test
    void fastErrorsLoseTrafficAndWinItBackAfterRecovery() {
        Fleet fleet = new Fleet().with(4);
        int failed = 0;
        for (int i = 0; i < 200; i++) {
            failed += failsAtS0(fleet) ? 1 : 0;
        }
        assertTrue(failed >= 2 && failed <= 8, "of 200 requests the failing server got " + failed);
        fleet.now += 30 * SECOND;
        assertPart(0.25, draws(fleet, DRAWS), "s0");
    }

    /** Submits an order, which s0 answers with an error and all others serve; returns whether s0 got it. */
    private static boolean failsAtS0(Fleet fleet) {
        String id = fleet.ask(ORDER);
        String s = fleet.sentTo();
        boolean fails = s.equals("s0");
        fleet.end(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
        fleet.host.take();
        return fails;
    }

    @Test
    void manyGatewaysTogetherTryAFailingServerOnceASecond() {
        assertEquals(9, trials(1, 10), 1, "alone, in ten seconds");
        assertEquals(1, trials(10, 10), 1, "one of ten");
    }

    /** Returns how many requests a server that is known to fail gets from one of this many gateways. */
    private static int trials(int gateways, int seconds) {
        Fleet fleet = new Fleet(settings(false, gateways, List.of(), List.of(ORDER)), 7).with(20);
        int before = 0;
        int after = 0;
        for (int i = 0; i < 400 + 100 * seconds; i++) {
            boolean failed = failsAtS0(fleet);
            before += failed && i < 400 ? 1 : 0;
            after += failed && i >= 400 ? 1 : 0;
            fleet.now += i < 400 ? 0 : 10 * MS;
        }
        assertTrue(before >= 2, "it is known as failing, after " + before + " of 400 from one of " + gateways);
        return after;
    }

    @Test
    void aFullFleetDoesNotPourItsRestIntoADeadServer() {
        Fleet fleet = new Fleet().with(3);
        int toDead = 0;
        for (int i = 0; i < 200; i++) { // the other servers never answer, so they have no room
            fleet.ask(READ);
            for (List<Recorder.Action> out = fleet.host.take("send"); !out.isEmpty();
                    out = fleet.host.take("send")) {
                for (Recorder.Action a : out) {
                    if (a.server().equals("s0")) {
                        toDead++;
                        fleet.end(a.id(), 0, "s0", Outcome.CONNECT_FAILED, MS);
                    }
                }
            }
            fleet.now += MS;
        }
        assertTrue(toDead >= 2 && toDead <= 4, "in a fifth of a second the dead server got " + toDead);
    }

    @Test
    void whileAnswersTakeHalfTheirAimTheLeastWorthForItsWorkIsShedAndTheMostIsNot() {
        RequestClass bulk = new RequestClass("bulk", Effect.SAFE, DedupGroup.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        for (long elapsed : new long[] {200 * MS, 300 * MS}) {
            Fleet fleet = new Fleet(settings(false, 1, List.of(), List.of(bulk, ORDER)), 7).with(9);
            for (int i = 0; i < 60; i++) {
                fleet.serve(i % 2 == 0 ? bulk : ORDER, Outcome.SERVED, elapsed);
            }
            fleet.fire(SWEEP);
            int orders = 0;
            int bulks = 0;
            for (int i = 0; i < 300; i++) { // with outcomes that don't count for or against a server
                orders += fleet.serve(ORDER, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
                bulks += fleet.serve(bulk, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
            }
            boolean late = elapsed > ORDER.aimNanos() / 2;
            assertEquals(300, orders);
            assertTrue(late ? bulks < 150 : bulks == 300, "bulk " + bulks);
        }
    }

    @Test
    void aLostZoneOfMostServersGetsTrialsOnlyAndOneThatServesSomeGoesOn() {
        int dead = toFourOfFive(1);
        assertTrue(dead <= 12, "dead, in two seconds: " + dead);
        int some = toFourOfFive(2);
        assertTrue(some > 40, "every second answer is an error: " + some);
    }

    /** Returns how many of 200 requests go to four of five servers, where one request in this many fails. */
    private static int toFourOfFive(int oneIn) {
        Fleet fleet = new Fleet().with(5);
        int sent = 0;
        for (int i = 0; i < 500; i++) {
            String id = fleet.ask(ORDER);
            String s = fleet.sentTo();
            boolean fails = !s.equals("s0") && i % oneIn == 0;
            fleet.end(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
            fleet.now += 10 * MS;
            fleet.fire(SWEEP);
            fleet.host.take();
            sent += i >= 300 && !s.equals("s0") ? 1 : 0;
        }
        return sent;
    }

    @Test
    void whereAllServersAreDoubtfulNoneIs() {
        Fleet fleet = new Fleet().with(3);
        for (int i = 0; i < 60; i++) {
            fleet.serve(ORDER, Outcome.ERROR, MS);
            fleet.fire(SWEEP);
            fleet.host.take();
        }
        for (int i = 0; i < 20; i++) {
            assertNotEquals(null, fleet.serve(ORDER, Outcome.SERVED, MS));
        }
    }

    @Test
    void aSilentServerIsLeftWellWithinATickAndComesBackWithItsFirstAnswer() {
        Fleet fleet = fastServers(3);
        Map<String, String> unanswered = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String id = fleet.ask(ORDER); // orders get no hedges
            String s = fleet.sentTo();
            if (s.equals("s0") && unanswered.size() < 3) {
                unanswered.put(id, s);
            } else {
                fleet.end(id, 0, s, Outcome.SERVED, 10 * MS);
            }
        }
        fleet.now += 300 * MS;
        fleet.fire(SWEEP);
        List<Recorder.Action> logged = fleet.host.take("log");
        assertEquals(1, logged.size());
        assertTrue(logged.get(0).id().startsWith("server s0 is silent"), logged::toString);
        assertEquals(Set.of("s1", "s2"), draws(fleet, 100).keySet());
        unanswered.forEach((id, s) -> fleet.end(id, 0, s, Outcome.SERVED, 900 * MS));
        fleet.now += 2 * SECOND;
        fleet.host.take();
        assertTrue(draws(fleet, 200).containsKey("s0"));
    }

    @Test
    void oneOverdueAttemptMarksAServerThatThisGatewaySeldomMeets() {
        Fleet fleet = new Fleet(settings(false, 20, List.of(), List.of(ORDER)), 7).with(40);
        String first = fleet.ask(ORDER);
        String s = fleet.sentTo();
        fleet.now += 300 * MS;
        fleet.fire(SWEEP);
        assertEquals(1, fleet.host.take("log").size());
        fleet.now += 900 * MS;
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            met.add(fleet.serve(ORDER, Outcome.SERVED, 20 * MS));
        }
        assertTrue(!met.contains(s) && met.size() > 30, met::toString);
        // With all servers healthy, one answer in ten is late: a late answer also shows that its server is not silent.
        fleet.end(first, 0, s, Outcome.SERVED, 1200 * MS);
        for (int i = 0; i < 400; i++) {
            met.add(fleet.serve(ORDER, Outcome.SERVED, 20 * MS));
        }
        assertTrue(met.contains(s), met::toString);
    }

    @Test
    void aRequestThatHasWaitedHalfItsAimIsRefusedWhereLateAnswersAreWorthNothing() {
        Fleet fleet = new Fleet().with(0);
        String id = fleet.ask(ORDER);
        fleet.now += ORDER.aimNanos() / 2 - 10 * MS;
        fleet.fire(SWEEP);
        assertEquals(List.of(), fleet.host.take("refuse"));
        fleet.now += 20 * MS;
        fleet.fire(SWEEP);
        assertEquals(id, fleet.host.take("refuse").get(0).id());
    }

    @Test
    void theFirstStepFallsOnAPhaseOfItsOwn() {
        Set<Long> phases = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            Fleet fleet = new Fleet(settings(false), seed).with(1);
            phases.add(fleet.host.take("setTimer").get(0).number());
        }
        assertEquals(20, phases.size());
    }

    @Test
    void serversWithoutASampleMoveWithTheirLikeWhereSamplesAreFew() {
        Fleet fleet = new Fleet();
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            list.add(new ServerInfo("s" + i, "a", i % 2 == 0 ? "slow" : "fast", 0, Readiness.READY, 1, 0));
        }
        fleet.list(ListKind.CACHED, list);
        for (int t = 0; t < 30; t++) {
            for (int i = 0; i < 10; i++) { // a quarter of a sample for each server
                String id = fleet.ask(READ);
                String s = fleet.sentTo();
                long elapsed = Integer.parseInt(s.substring(1)) % 2 == 0 ? 60 * MS : 20 * MS;
                fleet.end(id, 0, s, Outcome.SERVED, elapsed);
            }
            fleet.fire(STEP);
            fleet.host.take();
        }
        Map<String, Integer> counts = draws(fleet, DRAWS);
        for (int i = 0; i < 40; i += 2) {
            assertTrue(counts.getOrDefault("s" + i, 0) < DRAWS / 80, "s" + i + " of " + counts);
        }
    }

    @Test
    void inFlightIsBoundedWhenAnswersComeLateAndTheRestIsHeld() {
        Fleet fleet = new Fleet().with(2);
        int out = fleet.sentOf(READ, 100);
        assertTrue(out >= 2 && out <= 20, "in flight: " + out);
    }

    @Test
    void limitsDontRiseWhileTheGatewayHasRoom() {
        Fleet fleet = new Fleet().with(4);
        draws(fleet, 400);
        assertEquals(4, fleet.inFlightAtMost(), "one at each, as at the start");
    }

    @Test
    void inFlightRisesWhileAnswersComeEarlyAndFallsWhenTheyComeLate() {
        Fleet fleet = new Fleet().with(1);
        assertEquals(1, fleet.inFlightAtMost());
        for (int i = 0; i < 5; i++) {
            fleet.serveTogether(READ, 10, 20 * MS);
        }
        int early = fleet.inFlightAtMost();
        assertTrue(early >= 5, "after early answers: " + early);
        for (int i = 0; i < 5; i++) {
            fleet.serveTogether(READ, 10, 240 * MS);
        }
        assertEquals(3, fleet.inFlightAtMost(), "the floor");
    }

    @Test
    void anAimThatIsShortForTheWorkDoesNotPinTheLimitToItsFloor() {
        RequestClass tight = new RequestClass("tight", Effect.SAFE, DedupGroup.ALL, 0, 200 * MS, SECOND, 1, 0, false);
        Fleet fleet = new Fleet(settings(false, 1, List.of(), List.of(tight)), 7).with(1);
        for (int i = 0; i < 14; i++) { // a fifth of the aim is 40 ms, the median at the lowest load is 0.69 * 80 ms
            fleet.serveTogether(tight, 10, (i < 10 ? 80 : 50) * MS);
        }
        assertTrue(fleet.inFlightAtMost() > 3);
    }

    @Test
    void aServerIsNotSilentWhereTheWholeFleetIsAsLate() {
        Fleet fleet = new Fleet().with(4);
        for (int i = 0; i < 4000; i++) {
            fleet.serve(READ, Outcome.SERVED, 400 * MS);
        }
        for (int i = 0; i < 12; i++) {
            fleet.ask(READ);
        }
        fleet.now += 350 * MS; // past half the aim, but within the time that answers take now
        fleet.fire(SWEEP);
        assertTrue(fleet.host.take("log").isEmpty());
    }

    @Test
    void refusalsAreLoggedOnceATick() {
        Fleet fleet = new Fleet().with(0);
        fleet.ask(ORDER);
        fleet.ask(ORDER);
        fleet.now += ORDER.aimNanos();
        fleet.fire(SWEEP);
        assertEquals(2, fleet.host.take("refuse").size());
        fleet.fire(STEP);
        List<Recorder.Action> logged = fleet.host.take("log");
        assertEquals(1, logged.size());
        assertEquals("refused 2 requests in this tick, 2 arrived", logged.get(0).id());
        fleet.fire(STEP);
        assertEquals(List.of(), fleet.host.take("log"));
    }

    @Test
    void manyGatewaysTogetherStayWithinWhatOneServerBears() {
        Fleet fleet = new Fleet(settings(false, 20, List.of(), List.of(READ)), 7).with(40);
        int out = fleet.sentOf(READ, 200);
        assertTrue(out >= 2 && out <= 5, "a twentieth of 1 at each of 40 servers, and chance: " + out);
    }

    @Test
    void whatIsHeldGoesOutByWorthForWorkAndWithinSharesFirst() {
        Settings s = settings(false, 1, List.of(new Tenant("t", 1)), List.of(READ, ORDER));
        Fleet fleet = new Fleet(s, 7).with(0);
        fleet.ask(ORDER, "t", 2 * SECOND);
        String over = fleet.ask(ORDER, "t", 2 * SECOND);
        String read = fleet.ask(READ);
        String order = fleet.ask(ORDER);
        fleet.list(ListKind.CHANGES, server("s0"));
        List<String> sent = fleet.answerAll(100 * MS);
        assertEquals(4, sent.size());
        assertEquals(order, sent.get(0));
        assertTrue(sent.indexOf(read) < sent.indexOf(over), sent::toString);
    }

    @Test
    void aColdServerGetsLittleAndRequestsWaitRatherThanTopplingIt() {
        Fleet fleet = new Fleet();
        fleet.list(ListKind.CACHED, server("s0", "a", Readiness.READY, fleet.now));
        int sent = 0;
        for (int i = 0; i < 300; i++) {
            sent += fleet.serve(READ, Outcome.SERVED, MS) == null ? 0 : 1;
            fleet.now += 5 * MS;
        }
        // 200 requests arrive a second; 0.5 * 2.5 * 0.2 of that may go to the cold server, rising slowly as it warms up
        assertTrue(sent > 10 && sent < 110, "sent in 1.5 s: " + sent);
    }

    @Test
    void aColdServerAmongWarmOnesStartsAtItsColdPart() {
        Fleet fleet = new Fleet().with(3);
        draws(fleet, 300);
        fleet.now += SECOND;
        fleet.list(ListKind.CHANGES, server("s9", "a", Readiness.READY, fleet.now));
        fleet.now += SECOND;
        int cold = draws(fleet, 300).getOrDefault("s9", 0);
        fleet.now += 2 * Fleet.WARM_UP;
        int warm = draws(fleet, 300).getOrDefault("s9", 0);
        assertTrue(cold < warm / 2, cold + " cold, " + warm + " warm");
    }

    @Test
    void subscribesAtOnceAndAsksAgainAfterAFailure() {
        Fleet fleet = new Fleet(settings(true), 7).with(1);
        assertEquals(1, fleet.host.take("subscribe").size());
        for (int i = 0; i < 12; i++) {
            fleet.list(ListKind.FAILED);
            long wait = fleet.host.take("setTimer").get(0).number();
            assertTrue(wait > 0 && wait <= 5 * SECOND, "asked again after " + wait);
            fleet.fire(ASK);
            assertEquals(1, fleet.host.take("subscribe").size());
        }
    }

    @Test
    void badSettingsAndEventsAreNamed() {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> settings(false, 0,
                List.of(), List.of(READ)));
        assertEquals("settings: gateways can't be 0", e.getMessage());
        Fleet fleet = new Fleet().with(1);
        e = assertThrows(IllegalArgumentException.class, () -> fleet.choice.handle(fleet.now,
                new RequestArrived("r", "unheard", null, null, SECOND, 0, false)));
        assertEquals("requestClass: unknown class unheard", e.getMessage());
        e = assertThrows(IllegalArgumentException.class, () -> fleet.choice.handle(1, new TimerFired(STEP)));
        assertTrue(e.getMessage().startsWith("nowNanos: "), e.getMessage());
    }
}
