package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.FILE;
import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.SHARE_UPDATE_TOKEN;
import static cinderhollow.policy.GatewayHarness.SUBSCRIBE_TOKEN;
import static cinderhollow.policy.GatewayHarness.SWEEP_TOKEN;
import static cinderhollow.policy.GatewayHarness.server;
import static cinderhollow.policy.GatewayHarness.settings;
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
class LoadBalancerTest {
    private static final int DRAWS = 6000;

    /** Counts how often each server is drawn when every request is answered at once. */
    private static Map<String, Integer> countDraws(GatewayHarness gateway, int n) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < n; i++) {
            counts.merge(gateway.submitAndEnd(READ, Outcome.SERVED, 10 * MS), 1, Integer::sum);
        }
        return counts;
    }

    /** Time after an answer at which the queue gate no longer depends on it. */
    private static final long QUEUE_FORGOTTEN_NANOS = 200 * SECOND;

    /** Runs one tick in which each server answers this many requests with the given latencies. Only the shares change by it. */
    private static void runTick(GatewayHarness gateway, int each, long... elapsed) {
        int[] remaining = new int[elapsed.length];
        java.util.Arrays.fill(remaining, each);
        for (int n = 0; n < each * elapsed.length;) {
            String id = gateway.submit(READ);
            String s = gateway.takeSendTarget();
            if (s == null) {
                continue; // shed
            }
            int i = Integer.parseInt(s.substring(1));
            boolean counted = remaining[i]-- > 0;
            n += counted ? 1 : 0;
            gateway.endAttempt(id, 0, s, counted ? Outcome.SERVED : Outcome.NOT_SENT, elapsed[i], true);
            gateway.now += counted ? QUEUE_FORGOTTEN_NANOS : 0;
        }
        gateway.fireTimer(SHARE_UPDATE_TOKEN);
        gateway.recorder.take();
    }

    private static void assertDrawnFraction(double expected, Map<String, Integer> counts, String server) {
        double fraction = counts.getOrDefault(server, 0) / (double) DRAWS;
        assertEquals(expected, fraction, 0.03, server + " of " + counts);
    }

    /** The timeout of an attempt is all that is left of the client's time, however short or long. */
    @Test
    void anAttemptIsGivenAllThatIsLeftOfTheClientsTime() {
        GatewayHarness gateway = new GatewayHarness().withServers(4);
        for (long left : new long[] {2 * SECOND, 1_700 * MS, 500 * MS, 40 * MS}) {
            gateway.submit(ORDER, null, left);
            assertEquals(left, gateway.recorder.take("send").get(0).value());
        }
    }

    @Test
    void drawsFollowEqualSharesAtStart() {
        Map<String, Integer> counts = countDraws(new GatewayHarness().withServers(4), DRAWS);
        for (int i = 0; i < 4; i++) {
            assertDrawnFraction(0.25, counts, "s" + i);
        }
    }

    @Test
    void aShareUpdateMovesSharesAsThePaperSays() {
        GatewayHarness gateway = new GatewayHarness().withServers(2);
        // l = 30 and 10, l_mean = 20, l^ = 0.5: with many samples, factors 0.9 and 1.1 on shares of 0.5 in each update.
        for (int i = 0; i < 5; i++) {
            runTick(gateway, 400, 30 * MS, 10 * MS);
        }
        double slow = Math.pow(0.9, 5) / (Math.pow(0.9, 5) + Math.pow(1.1, 5));
        Map<String, Integer> counts = countDraws(gateway, DRAWS);
        assertDrawnFraction(slow, counts, "s0");
        assertDrawnFraction(1 - slow, counts, "s1");
    }

    @Test
    void aServerWithoutSamplesKeepsItsShare() {
        GatewayHarness gateway = new GatewayHarness().withServers(2);
        gateway.fireTimer(SHARE_UPDATE_TOKEN);
        gateway.fireTimer(SHARE_UPDATE_TOKEN);
        assertDrawnFraction(0.5, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void aFastErrorOrFullAnswerDoesNotLowerTheRecentLatency() {
        for (Outcome quick : List.of(Outcome.FULL, Outcome.ERROR)) {
            GatewayHarness gateway = new GatewayHarness().withServers(2);
            gateway.submitAndEnd(READ, Outcome.SERVED, 50 * MS);
            gateway.submitAndEnd(READ, Outcome.SERVED, 50 * MS);
            double before = gateway.balancer.readyServers().get(0).recentRelativeLatency.valueAt(gateway.now, SECOND)
                    + gateway.balancer.readyServers().get(1).recentRelativeLatency.valueAt(gateway.now, SECOND);
            gateway.submitAndEnd(ORDER, quick, MS, true);
            double after = gateway.balancer.readyServers().get(0).recentRelativeLatency.valueAt(gateway.now, SECOND)
                    + gateway.balancer.readyServers().get(1).recentRelativeLatency.valueAt(gateway.now, SECOND);
            assertTrue(after >= before, quick + ": " + before + " to " + after);
        }
    }

    @Test
    void aSingleServerAndAMeanOfZeroKeepAllShares() {
        GatewayHarness one = new GatewayHarness().withServers(1);
        runTick(one, 5, 10 * MS);
        assertEquals("s0", one.submitAndEnd(READ, Outcome.SERVED, MS));
        GatewayHarness zero = new GatewayHarness().withServers(2);
        runTick(zero, 5, 0, 0);
        assertDrawnFraction(0.5, countDraws(zero, DRAWS), "s0");
    }

    @Test
    void aFactorThatWouldTurnNegativeOnlyHalvesAndTheShareComesBack() {
        GatewayHarness gateway = new GatewayHarness().withServers(8);
        long[] elapsed = {2000 * MS, MS, MS, MS, MS, MS, MS, MS};
        runTick(gateway, 50, elapsed); // l^ = 7 at this server: the factor 1 - 0.2 * 7 would be negative
        double others = 1 + 0.2 * 0.98;
        double expected = 0.5 / (0.5 + 7 * others);
        assertDrawnFraction(expected, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void classesOfDifferentLatencyDontMakeServersLookSlow() {
        RequestClass brief = new RequestClass("brief", Effect.SAFE, DedupGroup.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        GatewayHarness gateway = new GatewayHarness(settings(false, 1, List.of(), List.of(READ, brief)), 7).withServers(2);
        for (int t = 0; t < 6; t++) {
            for (int i = 0; i < 400; i++) { // s0 gets only long work, s1 only short work
                RequestClass c = i % 2 == 0 ? READ : brief;
                String id = gateway.submit(c);
                boolean fits = gateway.takeSendTarget().equals(c == READ ? "s0" : "s1");
                gateway.endAttempt(id, 0, c == READ == fits ? "s0" : "s1", fits ? Outcome.SERVED : Outcome.NOT_SENT,
                        c == READ ? 80 * MS : 8 * MS, true);
            }
            gateway.fireTimer(SHARE_UPDATE_TOKEN);
            gateway.recorder.take();
        }
        assertDrawnFraction(0.5, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void aClassWhoseAnswersAllTookLongerThanItsAimIsTriedAgain() {
        GatewayHarness gateway = new GatewayHarness(settings(false, 1, List.of(), List.of(ORDER)), 7).withServers(4);
        for (int i = 0; i < 400; i++) {
            gateway.submitAndEnd(ORDER, Outcome.SERVED, 800 * MS);
            gateway.now += 5 * MS;
        }
        gateway.fireTimer(SWEEP_TOKEN);
        gateway.recorder.take();
        for (int i = 0; i < 2000; i++) { // low load again
            gateway.submitAndEnd(ORDER, Outcome.SERVED, 10 * MS);
            gateway.now += 5 * MS;
        }
        int served = 0;
        for (int i = 0; i < 100; i++) {
            served += gateway.submitAndEnd(ORDER, Outcome.SERVED, 10 * MS) == null ? 0 : 1;
            gateway.now += 5 * MS;
        }
        assertEquals(100, served);
    }

    @Test
    void requestsStayInTheirZoneUntilMostOfItsAnswersTakeHalfTheirAim() {
        GatewayHarness gateway = new GatewayHarness().withServers(4, "b"); // s1 and s3 are in the other zone
        assertEquals(Set.of("s0", "s2"), countDraws(gateway, 200).keySet());
        for (int i = 0; i < 12; i++) {
            gateway.submitAndEnd(READ, Outcome.SERVED, 260 * MS);
        }
        Set<String> drawn = countDraws(gateway, 12).keySet();
        assertTrue(drawn.contains("s1") || drawn.contains("s3"), drawn::toString);
    }

    @Test
    void whereTheOwnZoneHasNoServerTheOthersGetAll() {
        GatewayHarness gateway = new GatewayHarness();
        gateway.receiveList(ListKind.CACHED, server("s0", "b", Readiness.READY, 0), server("s1", "c", Readiness.READY, 0));
        assertDrawnFraction(0.5, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void nothingNewGoesToADrainingOrGoneServer() {
        GatewayHarness gateway = new GatewayHarness().withServers(3);
        gateway.receiveList(ListKind.CHANGES, server("s0", "a", Readiness.DRAINING, 0),
                server("s1", "b", Readiness.GONE, 0));
        assertEquals(Set.of("s2"), countDraws(gateway, 50).keySet());
    }

    @Test
    void aServerMissingFromAWholeListIsGoneAndOneMissingFromChangesIsNot() {
        GatewayHarness gateway = new GatewayHarness().withServers(2);
        gateway.receiveList(ListKind.CHANGES, server("s2"));
        assertEquals(Set.of("s0", "s1", "s2"), countDraws(gateway, 100).keySet());
        gateway.receiveList(ListKind.WHOLE, server("s2"));
        assertEquals(Set.of("s2"), countDraws(gateway, 20).keySet());
    }

    @Test
    void aServerThatComesBackIntoTheListStartsAfresh() {
        GatewayHarness gateway = new GatewayHarness().withServers(2);
        for (int i = 0; i < 4; i++) {
            runTick(gateway, 20, 10 * MS, 90 * MS);
        }
        gateway.receiveList(ListKind.CHANGES, server("s1", "a", Readiness.GONE, 0));
        gateway.receiveList(ListKind.CHANGES, server("s1", "a", Readiness.READY, 0));
        assertDrawnFraction(0.5, countDraws(gateway, DRAWS), "s1");
    }

    @Test
    void anEmptyListHoldsRequestsAndAnswersThemInTime() {
        GatewayHarness gateway = new GatewayHarness().withServers(0);
        String id = gateway.submit(ORDER);
        assertNull(gateway.takeSendTarget());
        gateway.now += 600 * MS; // past the aim, and late answers have no worth
        gateway.fireTimer(SWEEP_TOKEN);
        assertEquals(id, gateway.recorder.take("refuse").get(0).id());
    }

    @Test
    void aHeldRequestGoesOutWhenAServerAppears() {
        GatewayHarness gateway = new GatewayHarness().withServers(0);
        gateway.submit(ORDER);
        gateway.receiveList(ListKind.CHANGES, server("s9"));
        assertEquals("s9", gateway.takeSendTarget());
    }

    @Test
    void aRequestWithLessTimeThanTheNextSweepIsAnsweredAtOnce() {
        GatewayHarness gateway = new GatewayHarness().withServers(0);
        String id = gateway.submit(READ, null, 4 * MS);
        assertEquals(id, gateway.recorder.take("refuse").get(0).id());
    }

    @Test
    void anUnsafeRequestIsTriedAgainOnlyAfterProofThatItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.SERVED) {
                continue;
            }
            GatewayHarness gateway = new GatewayHarness().withServers(3);
            String id = gateway.submit(ORDER);
            String first = gateway.takeSendTarget();
            gateway.endAttempt(id, 0, first, outcome, MS);
            List<Recorder.Action> after = gateway.recorder.take();
            boolean sent = after.stream().anyMatch(a -> a.call().equals("send"));
            boolean failed = after.stream().anyMatch(a -> a.call().equals("fail"));
            assertEquals(outcome.provesItNeverRan(), sent, outcome.toString());
            assertEquals(!outcome.provesItNeverRan(), failed, outcome.toString());
        }
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsGroupAndWindow() {
        for (int i = 0; i < 20; i++) {
            GatewayHarness gateway = new GatewayHarness(settings(false), i).withServers(6, "b");
            String id = gateway.submit(FILE);
            String first = gateway.takeSendTarget();
            gateway.endAttempt(id, 0, first, Outcome.ERROR, MS);
            String second = gateway.takeSendTarget();
            assertNotEquals(first, second);
            assertEquals(Integer.parseInt(first.substring(1)) % 2, Integer.parseInt(second.substring(1)) % 2);
        }
        RequestClass brief = new RequestClass("brief", Effect.KEYED, DedupGroup.ALL, 50 * MS, 500 * MS, SECOND, 1, 0,
                false);
        GatewayHarness gateway = new GatewayHarness(settings(false, 1, List.of(), List.of(brief)), 7).withServers(6);
        String id = gateway.submit(brief);
        String first = gateway.takeSendTarget();
        gateway.now += 60 * MS;
        gateway.endAttempt(id, 0, first, Outcome.ERROR, 60 * MS);
        assertNull(gateway.takeSendTarget(), "the window has passed");
    }

    @Test
    void aKeyedRequestOfOneZoneThatMayHaveRunIsFailedAndNotRefused() {
        GatewayHarness gateway = new GatewayHarness();
        gateway.receiveList(ListKind.CACHED, server("s0"), server("s1", "b", Readiness.READY, 0));
        String id = gateway.submit(FILE);
        gateway.endAttempt(id, 0, gateway.takeSendTarget(), Outcome.ERROR, MS);
        gateway.now += 1990 * MS;
        gateway.fireTimer(SWEEP_TOKEN);
        List<Recorder.Action> actions = gateway.recorder.take();
        assertTrue(actions.stream().anyMatch(a -> a.call().equals("fail") && a.id().equals(id)), actions::toString);
        assertTrue(actions.stream().noneMatch(a -> a.call().equals("refuse") || a.call().equals("send")));
    }

    @Test
    void furtherTriesStopAtTheAllowedNumberAndNeverGoToTheSameServer() {
        GatewayHarness gateway = new GatewayHarness().withServers(8);
        String id = gateway.submit(READ);
        Set<String> tried = new HashSet<>();
        for (int attempt = 0; attempt < 4; attempt++) {
            String s = gateway.takeSendTarget();
            assertTrue(tried.add(s), "tried twice: " + s);
            gateway.endAttempt(id, attempt, s, Outcome.CONNECT_FAILED, MS);
        }
        assertEquals(1, gateway.recorder.take("refuse").size());
    }

    @Test
    void triesAfterFailuresStayWithinTheirBudget() {
        GatewayHarness gateway = new GatewayHarness().withServers(8);
        int sends = 0;
        for (int i = 0; i < 500; i++) {
            String id = gateway.submit(READ);
            for (int attempt = 0; attempt < 4; attempt++) {
                String s = gateway.takeSendTarget();
                if (s == null) {
                    break;
                }
                sends++;
                gateway.endAttempt(id, attempt, s, Outcome.ERROR, MS);
            }
            gateway.recorder.take();
        }
        assertTrue(sends <= 500 + 50 + 10, "sends: " + sends);
    }

    @Test
    void anAnswerAfterTheRequestEndedIsIgnored() {
        GatewayHarness gateway = new GatewayHarness().withServers(2);
        String id = gateway.submit(READ);
        String s = gateway.takeSendTarget();
        gateway.endAttempt(id, 0, s, Outcome.SERVED, MS);
        gateway.recorder.take();
        gateway.endAttempt(id, 0, s, Outcome.SERVED, MS);
        gateway.balancer.handle(gateway.now, new ClientLeft(id));
        assertEquals(List.of(), gateway.recorder.take());
    }

    @Test
    void afterTheClientLeftNothingIsSentAndTheAttemptIsCancelled() {
        GatewayHarness gateway = new GatewayHarness().withServers(2);
        String id = gateway.submit(READ);
        String s = gateway.takeSendTarget();
        gateway.balancer.handle(gateway.now, new ClientLeft(id));
        assertEquals(1, gateway.recorder.take("cancel").size());
        gateway.endAttempt(id, 0, s, Outcome.CANCELLED, MS, true);
        assertEquals(List.of(), gateway.recorder.take());
    }

    @Test
    void aRepeatWhoseAimPassedWithItsFirstTryWaitsBehindFreshRequests() {
        GatewayHarness gateway = new GatewayHarness(settings(false, 1, List.of(), List.of(READ)), 7).withServers(1);
        for (int i = 0; i < 30; i++) {
            gateway.submit(READ, null, 1500 * MS);
        }
        String fresh = gateway.submit(READ, null, 1501 * MS);
        String repeat = gateway.submit(READ, null, 1200 * MS);
        List<String> sent = gateway.answerAll(100 * MS);
        assertEquals(32, sent.size());
        assertTrue(sent.indexOf(fresh) < sent.indexOf(repeat));
        assertEquals(repeat, sent.get(31), "800 ms of 2 s are gone, the aim is 500 ms");
    }

    @Test
    void clientsWithManyTimeoutsAreNotTakenForRepeats() {
        GatewayHarness gateway = new GatewayHarness(settings(false, 1, List.of(), List.of(READ)), 7).withServers(1);
        for (int i = 0; i < 30; i++) {
            gateway.submit(READ, null, (1000 + 100 * (i % 7)) * MS);
        }
        String last = gateway.submit(READ, null, 1200 * MS);
        assertEquals(1, gateway.answerAll(100 * MS).indexOf(last), "the newest is the first after the one in flight");
    }

    @Test
    void aStartedStreamIsNotRetriedCancelledOrAnswered() {
        GatewayHarness gateway = new GatewayHarness().withServers(3);
        String id = gateway.submit(READ);
        gateway.balancer.handle(gateway.now, new StreamStarted(id, 0, gateway.takeSendTarget()));
        gateway.now += 5 * SECOND;
        gateway.fireTimer(SWEEP_TOKEN);
        assertTrue(gateway.recorder.take().stream().noneMatch(a -> Set.of("send", "cancel", "fail", "refuse")
                .contains(a.call())));
    }

    /** Servers whose in-flight limits have risen above one by early answers. */
    private static GatewayHarness withRaisedLimits(int servers) {
        GatewayHarness gateway = new GatewayHarness().withServers(servers);
        gateway.serveConcurrently(READ, 50 * servers, 10 * MS);
        gateway.recorder.take();
        return gateway;
    }

    @Test
    void aServerWithFastErrorsLosesTrafficAndRegainsItAfterRecovery() {
        GatewayHarness gateway = new GatewayHarness().withServers(4);
        int failed = 0;
        for (int i = 0; i < 200; i++) {
            failed += submitFailingAtS0(gateway) ? 1 : 0;
        }
        assertTrue(failed >= 2 && failed <= 8, "of 200 requests the failing server got " + failed);
        gateway.now += 30 * SECOND;
        assertDrawnFraction(0.25, countDraws(gateway, DRAWS), "s0");
    }

    /** Submits an order, which s0 answers with an error and all others serve; returns whether s0 got it. */
    private static boolean submitFailingAtS0(GatewayHarness gateway) {
        String id = gateway.submit(ORDER);
        String s = gateway.takeSendTarget();
        boolean fails = s.equals("s0");
        gateway.endAttempt(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
        gateway.recorder.take();
        return fails;
    }

    @Test
    void manyGatewaysTogetherTryAFailingServerOnceASecond() {
        assertEquals(9, countTrials(1, 10), 1, "alone, in ten seconds");
        assertEquals(1, countTrials(10, 10), 1, "one of ten");
    }

    /** Returns how many requests a server that is known to fail gets from one of this many gateways. */
    private static int countTrials(int gateways, int seconds) {
        GatewayHarness gateway = new GatewayHarness(settings(false, gateways, List.of(), List.of(ORDER)), 7).withServers(20);
        int before = 0;
        int after = 0;
        for (int i = 0; i < 400 + 100 * seconds; i++) {
            boolean failed = submitFailingAtS0(gateway);
            before += failed && i < 400 ? 1 : 0;
            after += failed && i >= 400 ? 1 : 0;
            gateway.now += i < 400 ? 0 : 10 * MS;
        }
        assertTrue(before >= 2, "it is known as failing, after " + before + " of 400 from one of " + gateways);
        return after;
    }

    @Test
    void aFullFleetDoesNotSendItsOverflowToADeadServer() {
        GatewayHarness gateway = new GatewayHarness().withServers(3);
        int toDead = 0;
        for (int i = 0; i < 200; i++) { // the other servers never answer, so they have no room
            gateway.submit(READ);
            for (List<Recorder.Action> out = gateway.recorder.take("send"); !out.isEmpty();
                    out = gateway.recorder.take("send")) {
                for (Recorder.Action a : out) {
                    if (a.server().equals("s0")) {
                        toDead++;
                        gateway.endAttempt(a.id(), 0, "s0", Outcome.CONNECT_FAILED, MS);
                    }
                }
            }
            gateway.now += MS;
        }
        assertTrue(toDead >= 2 && toDead <= 4, "in a fifth of a second the dead server got " + toDead);
    }

    @Test
    void whileAnswersTakeHalfTheirAimTheLowestPriorityIsShedAndTheHighestIsNot() {
        RequestClass bulk = new RequestClass("bulk", Effect.SAFE, DedupGroup.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        for (long elapsed : new long[] {200 * MS, 300 * MS}) {
            GatewayHarness gateway = new GatewayHarness(settings(false, 1, List.of(), List.of(bulk, ORDER)), 7).withServers(9);
            for (int i = 0; i < 60; i++) {
                gateway.submitAndEnd(i % 2 == 0 ? bulk : ORDER, Outcome.SERVED, elapsed);
            }
            gateway.fireTimer(SWEEP_TOKEN);
            int orders = 0;
            int bulks = 0;
            for (int i = 0; i < 300; i++) { // with outcomes that don't count for or against a server
                orders += gateway.submitAndEnd(ORDER, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
                bulks += gateway.submitAndEnd(bulk, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
            }
            boolean late = elapsed > ORDER.aimNanos() / 2;
            assertEquals(300, orders);
            assertTrue(late ? bulks < 150 : bulks == 300, "bulk " + bulks);
        }
    }

    @Test
    void aLostZoneOfMostServersGetsTrialsOnlyAndOneThatServesSomeStaysInUse() {
        int dead = countSentToFailing(1);
        assertTrue(dead <= 12, "dead, in two seconds: " + dead);
        int some = countSentToFailing(2);
        assertTrue(some > 40, "every second answer is an error: " + some);
    }

    /** Returns how many of 200 requests go to four of five servers, where one request in this many fails. */
    private static int countSentToFailing(int oneIn) {
        GatewayHarness gateway = new GatewayHarness().withServers(5);
        int sent = 0;
        for (int i = 0; i < 500; i++) {
            String id = gateway.submit(ORDER);
            String s = gateway.takeSendTarget();
            boolean fails = !s.equals("s0") && i % oneIn == 0;
            gateway.endAttempt(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
            gateway.now += 10 * MS;
            gateway.fireTimer(SWEEP_TOKEN);
            gateway.recorder.take();
            sent += i >= 300 && !s.equals("s0") ? 1 : 0;
        }
        return sent;
    }

    @Test
    void whereAllServersAreSuspectNoneIsAvoided() {
        GatewayHarness gateway = new GatewayHarness().withServers(3);
        for (int i = 0; i < 60; i++) {
            gateway.submitAndEnd(ORDER, Outcome.ERROR, MS);
            gateway.fireTimer(SWEEP_TOKEN);
            gateway.recorder.take();
        }
        for (int i = 0; i < 20; i++) {
            assertNotEquals(null, gateway.submitAndEnd(ORDER, Outcome.SERVED, MS));
        }
    }

    @Test
    void aSilentServerIsAvoidedWithinATickAndUsedAgainAfterItsFirstAnswer() {
        GatewayHarness gateway = withRaisedLimits(3);
        Map<String, String> unanswered = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String id = gateway.submit(ORDER); // orders get no hedges
            String s = gateway.takeSendTarget();
            if (s.equals("s0") && unanswered.size() < 3) {
                unanswered.put(id, s);
            } else {
                gateway.endAttempt(id, 0, s, Outcome.SERVED, 10 * MS);
            }
        }
        gateway.now += 300 * MS;
        gateway.fireTimer(SWEEP_TOKEN);
        List<Recorder.Action> logged = gateway.recorder.take("log");
        assertEquals(1, logged.size());
        assertTrue(logged.get(0).id().startsWith("server s0 is silent"), logged::toString);
        assertEquals(Set.of("s1", "s2"), countDraws(gateway, 100).keySet());
        unanswered.forEach((id, s) -> gateway.endAttempt(id, 0, s, Outcome.SERVED, 900 * MS));
        gateway.now += 2 * SECOND;
        gateway.recorder.take();
        assertTrue(countDraws(gateway, 200).containsKey("s0"));
    }

    @Test
    void oneOverdueAttemptMarksARarelyUsedServerAsSilent() {
        GatewayHarness gateway = new GatewayHarness(settings(false, 20, List.of(), List.of(ORDER)), 7).withServers(40);
        String first = gateway.submit(ORDER);
        String s = gateway.takeSendTarget();
        gateway.now += 300 * MS;
        gateway.fireTimer(SWEEP_TOKEN);
        assertEquals(1, gateway.recorder.take("log").size());
        gateway.now += 900 * MS;
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            met.add(gateway.submitAndEnd(ORDER, Outcome.SERVED, 20 * MS));
        }
        assertTrue(!met.contains(s) && met.size() > 30, met::toString);
        // With all servers healthy, one answer in ten is late: a late answer also shows that its server is not silent.
        gateway.endAttempt(first, 0, s, Outcome.SERVED, 1200 * MS);
        for (int i = 0; i < 400; i++) {
            met.add(gateway.submitAndEnd(ORDER, Outcome.SERVED, 20 * MS));
        }
        assertTrue(met.contains(s), met::toString);
    }

    @Test
    void aRequestThatHasWaitedHalfItsAimIsRefusedWhereLateAnswersAreWorthNothing() {
        GatewayHarness gateway = new GatewayHarness().withServers(0);
        String id = gateway.submit(ORDER);
        gateway.now += ORDER.aimNanos() / 2 - 10 * MS;
        gateway.fireTimer(SWEEP_TOKEN);
        assertEquals(List.of(), gateway.recorder.take("refuse"));
        gateway.now += 20 * MS;
        gateway.fireTimer(SWEEP_TOKEN);
        assertEquals(id, gateway.recorder.take("refuse").get(0).id());
    }

    @Test
    void theFirstShareUpdateComesAtARandomPhase() {
        Set<Long> phases = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            GatewayHarness gateway = new GatewayHarness(settings(false), seed).withServers(1);
            phases.add(gateway.recorder.take("setTimer").get(0).value());
        }
        assertEquals(20, phases.size());
    }

    @Test
    void sharesOfUnsampledServersFollowSimilarServersWhereSamplesAreFew() {
        GatewayHarness gateway = new GatewayHarness();
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            list.add(new ServerInfo("s" + i, "a", i % 2 == 0 ? "slow" : "fast", 0, Readiness.READY, 1, 0));
        }
        gateway.receiveList(ListKind.CACHED, list);
        for (int t = 0; t < 30; t++) {
            for (int i = 0; i < 10; i++) { // a quarter of a sample for each server
                String id = gateway.submit(READ);
                String s = gateway.takeSendTarget();
                long elapsed = Integer.parseInt(s.substring(1)) % 2 == 0 ? 60 * MS : 20 * MS;
                gateway.endAttempt(id, 0, s, Outcome.SERVED, elapsed);
            }
            gateway.fireTimer(SHARE_UPDATE_TOKEN);
            gateway.recorder.take();
        }
        Map<String, Integer> counts = countDraws(gateway, DRAWS);
        for (int i = 0; i < 40; i += 2) {
            assertTrue(counts.getOrDefault("s" + i, 0) < DRAWS / 80, "s" + i + " of " + counts);
        }
    }

    @Test
    void inFlightIsBoundedWhenAnswersComeLateAndTheRestIsHeld() {
        GatewayHarness gateway = new GatewayHarness().withServers(2);
        int sent = gateway.countSent(READ, 100);
        assertTrue(sent >= 2 && sent <= 20, "in flight: " + sent);
    }

    @Test
    void limitsDontRiseWhileTheGatewayHasRoom() {
        GatewayHarness gateway = new GatewayHarness().withServers(4);
        countDraws(gateway, 400);
        assertEquals(4, gateway.measureMaxInFlight(), "one at each, as at the start");
    }

    @Test
    void inFlightRisesWhileAnswersComeEarlyAndFallsWhenTheyComeLate() {
        GatewayHarness gateway = new GatewayHarness().withServers(1);
        assertEquals(1, gateway.measureMaxInFlight());
        for (int i = 0; i < 5; i++) {
            gateway.serveConcurrently(READ, 10, 20 * MS);
        }
        int early = gateway.measureMaxInFlight();
        assertTrue(early >= 5, "after early answers: " + early);
        for (int i = 0; i < 5; i++) {
            gateway.serveConcurrently(READ, 10, 240 * MS);
        }
        assertEquals(3, gateway.measureMaxInFlight(), "the floor");
    }

    @Test
    void anAimThatIsShortForTheWorkDoesNotPinTheLimitToItsFloor() {
        RequestClass tight = new RequestClass("tight", Effect.SAFE, DedupGroup.ALL, 0, 200 * MS, SECOND, 1, 0, false);
        GatewayHarness gateway = new GatewayHarness(settings(false, 1, List.of(), List.of(tight)), 7).withServers(1);
        for (int i = 0; i < 14; i++) { // a fifth of the aim is 40 ms, the median at the lowest load is 0.69 * 80 ms
            gateway.serveConcurrently(tight, 10, (i < 10 ? 80 : 50) * MS);
        }
        assertTrue(gateway.measureMaxInFlight() > 3);
    }

    @Test
    void aServerIsNotSilentWhereTheWholeFleetIsAsLate() {
        GatewayHarness gateway = new GatewayHarness().withServers(4);
        for (int i = 0; i < 4000; i++) {
            gateway.submitAndEnd(READ, Outcome.SERVED, 400 * MS);
        }
        for (int i = 0; i < 12; i++) {
            gateway.submit(READ);
        }
        gateway.now += 350 * MS; // past half the aim, but within the time that answers take now
        gateway.fireTimer(SWEEP_TOKEN);
        assertTrue(gateway.recorder.take("log").isEmpty());
    }

    @Test
    void refusalsAreLoggedOnceATick() {
        GatewayHarness gateway = new GatewayHarness().withServers(0);
        gateway.submit(ORDER);
        gateway.submit(ORDER);
        gateway.now += ORDER.aimNanos();
        gateway.fireTimer(SWEEP_TOKEN);
        assertEquals(2, gateway.recorder.take("refuse").size());
        gateway.fireTimer(SHARE_UPDATE_TOKEN);
        List<Recorder.Action> logged = gateway.recorder.take("log");
        assertEquals(1, logged.size());
        assertEquals("refused 2 requests in this tick, 2 arrived", logged.get(0).id());
        gateway.fireTimer(SHARE_UPDATE_TOKEN);
        assertEquals(List.of(), gateway.recorder.take("log"));
    }

    @Test
    void manyGatewaysTogetherStayWithinOneServersLimit() {
        GatewayHarness gateway = new GatewayHarness(settings(false, 20, List.of(), List.of(READ)), 7).withServers(40);
        int sent = gateway.countSent(READ, 200);
        assertTrue(sent >= 2 && sent <= 5, "a twentieth of 1 at each of 40 servers, and chance: " + sent);
    }

    @Test
    void heldRequestsAreSentByPriorityAndWithinQuotaFirst() {
        Settings s = settings(false, 1, List.of(new Tenant("t", 1)), List.of(READ, ORDER));
        GatewayHarness gateway = new GatewayHarness(s, 7).withServers(0);
        gateway.submit(ORDER, "t", 2 * SECOND);
        String over = gateway.submit(ORDER, "t", 2 * SECOND);
        String read = gateway.submit(READ);
        String order = gateway.submit(ORDER);
        gateway.receiveList(ListKind.CHANGES, server("s0"));
        List<String> sent = gateway.answerAll(100 * MS);
        assertEquals(4, sent.size());
        assertEquals(order, sent.get(0));
        assertTrue(sent.indexOf(read) < sent.indexOf(over), sent::toString);
    }

    @Test
    void aColdServerGetsLittleAndRequestsWaitRatherThanOverloadIt() {
        GatewayHarness gateway = new GatewayHarness();
        gateway.receiveList(ListKind.CACHED, server("s0", "a", Readiness.READY, gateway.now));
        int sent = 0;
        for (int i = 0; i < 300; i++) {
            sent += gateway.submitAndEnd(READ, Outcome.SERVED, MS) == null ? 0 : 1;
            gateway.now += 5 * MS;
        }
        // 200 requests arrive a second; 0.5 * 2.5 * 0.2 of that may go to the cold server, rising slowly as it warms up
        assertTrue(sent > 10 && sent < 110, "sent in 1.5 s: " + sent);
    }

    @Test
    void aColdServerAmongWarmOnesStartsAtItsColdCapacity() {
        GatewayHarness gateway = new GatewayHarness().withServers(3);
        countDraws(gateway, 300);
        gateway.now += SECOND;
        gateway.receiveList(ListKind.CHANGES, server("s9", "a", Readiness.READY, gateway.now));
        gateway.now += SECOND;
        int cold = countDraws(gateway, 300).getOrDefault("s9", 0);
        gateway.now += 2 * GatewayHarness.WARM_UP;
        int warm = countDraws(gateway, 300).getOrDefault("s9", 0);
        assertTrue(cold < warm / 2, cold + " cold, " + warm + " warm");
    }

    @Test
    void subscribesAtOnceAndAsksAgainAfterAFailure() {
        GatewayHarness gateway = new GatewayHarness(settings(true), 7).withServers(1);
        assertEquals(1, gateway.recorder.take("subscribe").size());
        for (int i = 0; i < 12; i++) {
            gateway.receiveList(ListKind.FAILED);
            long wait = gateway.recorder.take("setTimer").get(0).value();
            assertTrue(wait > 0 && wait <= 5 * SECOND, "asked again after " + wait);
            gateway.fireTimer(SUBSCRIBE_TOKEN);
            assertEquals(1, gateway.recorder.take("subscribe").size());
        }
    }

    @Test
    void errorsNameTheBadSettingOrEvent() {
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> settings(false, 0,
                List.of(), List.of(READ)));
        assertEquals("settings: gateways can't be 0", e.getMessage());
        GatewayHarness gateway = new GatewayHarness().withServers(1);
        e = assertThrows(IllegalArgumentException.class, () -> gateway.balancer.handle(gateway.now,
                new RequestArrived("r", "unheard", null, null, SECOND, 0, false)));
        assertEquals("requestClass: unknown class unheard", e.getMessage());
        e = assertThrows(IllegalArgumentException.class, () -> gateway.balancer.handle(1, new TimerFired(SHARE_UPDATE_TOKEN)));
        assertTrue(e.getMessage().startsWith("nowNanos: "), e.getMessage());
    }
}
