package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.lab.Auditor.Effect;
import cinderhollow.lab.Auditor.NodeLocation;
import cinderhollow.lab.Auditor.RequestSemantics;
import cinderhollow.lab.Auditor.Scope;
import cinderhollow.lab.Breach.Rule;
import cinderhollow.lab.Observation.AnswerProduced;
import cinderhollow.lab.Observation.AnswerReceived;
import cinderhollow.lab.Observation.AttemptReceived;
import cinderhollow.lab.Observation.AttemptRejected;
import cinderhollow.lab.Observation.ClientTimedOut;
import cinderhollow.lab.Observation.ConnectionAborted;
import cinderhollow.lab.Observation.ExecutionStarted;
import cinderhollow.lab.Observation.GatewayKilled;
import cinderhollow.lab.Observation.GatewayKilledAtShutdown;
import cinderhollow.lab.Observation.GatewayPauseChanged;
import cinderhollow.lab.Observation.LabLate;
import cinderhollow.lab.Observation.NodeStarted;
import cinderhollow.lab.Observation.OverloadCrash;
import cinderhollow.lab.Observation.ReadinessNotified;
import cinderhollow.lab.Observation.RequestAbandoned;
import cinderhollow.lab.Observation.RequestSent;
import cinderhollow.lab.Observation.StartNotified;
import cinderhollow.lab.Observation.SurplusAnswer;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks the auditor with simulated time: every breach is reported, and nothing else is. */
class AuditorTest {
    private static final long MS = 1_000_000L, S = 1000 * MS;

    private final Auditor auditor = new Auditor(
            Map.of("status", new RequestSemantics(Effect.SAFE, Scope.ALL, 0), "submit",
            new RequestSemantics(Effect.UNSAFE, Scope.ALL, 0),
                    "amend", new RequestSemantics(Effect.KEYED, Scope.CELL, 2 * S)),
            List.of(new NodeLocation("a", 0), new NodeLocation("a", 0), new NodeLocation("a", 1), new NodeLocation("b", 0)),
            new Auditor.Limits(50 * MS, S));

    private void observe(Observation... observations) {
        for (Observation observation : observations) {
            auditor.observe(observation);
        }
    }

    private void assertBroken(Rule... rules) {
        auditor.finish();
        assertEquals(Set.of(rules), auditor.brokenRules(), () -> auditor.breaches().toString());
        assertEquals(rules.length, auditor.breachCount(), () -> auditor.breaches().toString());
    }

    private static RequestSent requestSent(long at, String id, String requestClass) {
        return new RequestSent(at, id, LabNames.gatewayOf(id), requestClass, 300 * MS);
    }

    @Test
    void aServedRequestIsClean() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new ExecutionStarted(MS, "0.1", 2),
                new AnswerProduced(9 * MS, "0.1", 2, "x"),
                new AnswerReceived(10 * MS, "0.1", 200, "x"));
        assertBroken();
        assertEquals(1, auditor.counts().served());
    }

    @Test
    void anAnswerThatNeverComesIsLostAndItsTimelineIsReported() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new ExecutionStarted(2 * MS, "0.1", 2));
        assertBroken(Rule.LOST);
        String text = auditor.breaches().get(0).toString();
        assertTrue(text.contains("asked of gw-0 as submit") && text.contains("node-2 runs it"), text);
    }

    /** By the operators' documentation an answer up to half a second late only earns nothing; it is counted. */
    @Test
    void anAnswerHalfASecondAfterTheClientsTimeIsLost() {
        observe(requestSent(0, "0.1", "status"), new AnswerReceived(801 * MS, "0.1", 502, ""), requestSent(S, "0.2", "status"),
                new AnswerReceived(S + 799 * MS, "0.2", 502, ""), requestSent(2 * S, "0.3", "status"),
                new AnswerReceived(2 * S + 349 * MS, "0.3", 502, ""));
        assertBroken(Rule.LOST);
        assertEquals("0.1", auditor.breaches().get(0).subject());
        assertEquals(2, auditor.answeredLate());
    }

    /** Guards against judging an answer before the lab's own lateness is known, which is reported after the late answer. */
    @Test
    void lateAnswersAreExcusedWhereTheLabItselfRanLate() {
        observe(requestSent(0, "0.1", "status"), new AnswerReceived(900 * MS, "0.1", 502, ""), new LabLate(901 * MS, 200 * MS));
        assertBroken();
    }

    @Test
    void latenessAtAnotherTimeExcusesNothing() {
        observe(new LabLate(0, 200 * MS), requestSent(S, "0.1", "status"), new AnswerReceived(S + 900 * MS, "0.1", 502, ""),
                new LabLate(3 * S, 200 * MS));
        assertBroken(Rule.LOST);
    }

    @Test
    void aConnectionThatEndsAfterItsRequestWasForwardedIsALoss() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new ConnectionAborted(5 * MS, "0.1"));
        assertBroken(Rule.LOST);
    }

    /** A client closes a second after its deadline. If the lab was as late, an answer may have been waiting to be read. */
    @Test
    void aClientTimeoutIsALossUnlessTheLabWasLate() {
        observe(requestSent(0, "0.1", "status"), new AttemptReceived(MS, "0.1", 2), new ClientTimedOut(1_200 * MS, "0.1"));
        assertBroken(Rule.LOST);
        observe(requestSent(10 * S, "0.2", "status"), new AttemptReceived(10 * S + MS, "0.2", 2),
                new ClientTimedOut(12 * S, "0.2"),
                new LabLate(12 * S, 1_400 * MS));
        auditor.finish();
        assertEquals(1, auditor.breachCount());
        assertEquals(1, auditor.counts().unaudited());
    }

    /** Guards against forgetting the first kill: the request is judged only after its gateway has been killed again. */
    @Test
    void aRequestOpenAtAKillIsExcusedThoughAnotherKillFollows() {
        observe(new RequestSent(0, "0.1", 0, "status", 3 * S), new AttemptReceived(MS, "0.1", 2), new GatewayKilled(30 * MS, 0),
                new ConnectionAborted(31 * MS, "0.1"),
                new GatewayKilled(4 * S, 0));
        assertBroken();
        assertEquals(1, auditor.counts().excused());
    }

    /**
     * The platform's kill after SIGTERM excuses no request, whether or not a node has received it. A request sent within the
     * slack before the kill was not accepted.
     */
    @Test
    void requestsUnansweredAtTheKillAfterSigtermAreLost() {
        observe(new GatewayPauseChanged(0, 0, true), new GatewayPauseChanged(50 * MS, 0, false),
                requestSent(S, "0.1", "status"), requestSent(3_640 * MS, "0.2", "status"),
                requestSent(3_690 * MS, "0.3", "status"), requestSent(3_000 * MS, "1.1", "status"),
                new AnswerReceived(3_010 * MS, "1.1", 503, ""),
                new GatewayKilledAtShutdown(3_700 * MS, 0), new ConnectionAborted(3_701 * MS, "0.1"),
                new ConnectionAborted(3_701 * MS, "0.2"),
                new ConnectionAborted(3_701 * MS, "0.3"));
        auditor.finish();
        assertEquals(Set.of(Rule.LOST), auditor.brokenRules());
        assertEquals(List.of("0.1", "0.2"), auditor.breaches().stream().map(Breach::subject).toList());
    }

    /** A gateway that was paused during its shutdown need not have exited by itself; any other must. */
    @Test
    void aGatewayThatStillRunsAtTheKillIsABreachUnlessItWasPaused() {
        observe(new LabLate(0, 0), new GatewayKilledAtShutdown(3_700 * MS, 0));
        assertBroken(Rule.GATEWAY_ENDED);
        observe(new GatewayPauseChanged(10 * S, 1, true), new GatewayPauseChanged(10 * S + 100 * MS, 1, false),
                new GatewayKilledAtShutdown(13 * S, 1));
        assertEquals(1, auditor.breachCount());
    }

    /** A pause excuses late answers, but not a second attempt of an unsafe request after it. */
    @Test
    void aPausedGatewayMayAnswerLateButRunNothingTwice() {
        observe(new GatewayPauseChanged(0, 0, true), requestSent(MS, "0.1", "status"), new AttemptReceived(2 * MS, "0.1", 2),
                new GatewayPauseChanged(5 * S, 0, false),
                new AnswerReceived(5 * S + 100 * MS, "0.1", 502, ""));
        assertBroken();
        observe(requestSent(20 * S, "0.2", "status"), new AnswerReceived(25 * S, "0.2", 502, ""));
        auditor.finish();
        assertEquals(1, auditor.breachCount());
        observe(new GatewayPauseChanged(40 * S, 0, true), requestSent(40 * S, "0.3", "submit"),
                new AttemptReceived(40 * S + MS, "0.3", 2), new ExecutionStarted(40 * S + MS, "0.3", 2),
                new GatewayPauseChanged(45 * S, 0, false), new AttemptReceived(45 * S + MS, "0.3", 1));
        auditor.finish();
        assertEquals(Rule.RAN_TWICE, auditor.breaches().get(1).rule());
    }

    /** A gateway may close an idle connection; a request sent at that moment was never accepted. */
    @Test
    void aRequestSentWhileItsConnectionClosesIsNoLoss() {
        observe(requestSent(0, "0.1", "submit"), new ConnectionAborted(5 * MS, "0.1"));
        assertBroken();
    }

    @Test
    void requestsOpenAtAKilledGatewayAreExcused() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), requestSent(0, "1.2", "submit"),
                new AttemptReceived(MS, "1.2", 2), new GatewayKilled(2 * MS, 0), new ConnectionAborted(3 * MS, "0.1"),
                new ConnectionAborted(3 * MS, "1.2"));
        assertBroken(Rule.LOST);
        assertEquals("1.2", auditor.breaches().get(0).subject());
        assertEquals(1, auditor.counts().excused());
    }

    @Test
    void aSecondAnswerIsNamed() {
        observe(requestSent(0, "0.1", "submit"), new AnswerProduced(MS, "0.1", 2, "x"),
                new AnswerReceived(2 * MS, "0.1", 200, "x"),
                new SurplusAnswer(3 * MS, "0.1"));
        assertBroken(Rule.ANSWERED_TWICE);
    }

    @Test
    void swappedAnswersAreForeignToBoth() {
        observe(requestSent(0, "0.1", "submit"), requestSent(0, "0.2", "submit"), new AnswerProduced(MS, "0.1", 2, "x"),
                new AnswerProduced(MS, "0.2", 2, "y"),
                new AnswerReceived(2 * MS, "0.1", 200, "y"), new AnswerReceived(2 * MS, "0.2", 200, "x"));
        auditor.finish();
        assertEquals(Set.of(Rule.FOREIGN_ANSWER), auditor.brokenRules());
        assertEquals(2, auditor.breachCount());
    }

    @Test
    void anUnsafeRequestThatMayHaveRunMustNotBeSentAgain() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new AttemptReceived(2 * MS, "0.1", 3),
                new AnswerProduced(MS, "0.1", 3, "x"), new AnswerReceived(3 * MS, "0.1", 200, "x"));
        assertBroken(Rule.RAN_TWICE);
    }

    @Test
    void anUnsafeRequestThatWasTurnedAwayMayBeSentAgainOrRefused() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new AttemptRejected(MS, "0.1", 2),
                new AttemptReceived(2 * MS, "0.1", 3), new AttemptRejected(2 * MS, "0.1", 3),
                new AnswerReceived(3 * MS, "0.1", 503, ""));
        assertBroken();
    }

    @Test
    void aSafeRequestMayBeSentAgainAndRefused() {
        observe(requestSent(0, "0.1", "status"), new AttemptReceived(MS, "0.1", 2), new AttemptReceived(2 * MS, "0.1", 3),
                new AnswerReceived(3 * MS, "0.1", 503, ""));
        assertBroken();
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsNamed() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new AnswerReceived(3 * MS, "0.1", 429, ""));
        assertBroken(Rule.REFUSED_THOUGH_RAN);
    }

    @Test
    void forwardingAfterARefusalIsABreach() {
        observe(requestSent(0, "0.1", "submit"), new AnswerReceived(3 * MS, "0.1", 503, ""),
                new AttemptReceived(4 * MS, "0.1", 2));
        assertBroken(Rule.REFUSED_THOUGH_RAN);
    }

    @Test
    void aKeyedRequestStaysInItsGroupAndItsWindow() {
        observe(requestSent(0, "0.1", "amend"), new AttemptReceived(MS, "0.1", 0), new AttemptReceived(2 * MS, "0.1", 1),
                new AnswerReceived(3 * MS, "0.1", 502, ""));
        assertBroken();
        observe(requestSent(S, "0.2", "amend"), new AttemptReceived(S, "0.2", 0), new AttemptReceived(S + MS, "0.2", 2),
                new AnswerReceived(S + 3 * MS, "0.2", 502, ""));
        assertBroken(Rule.OUTSIDE_GROUP);
    }

    @Test
    void aKeyedRequestIsNotResentAfterItsWindow() {
        observe(new RequestSent(0, "0.1", 0, "amend", 5 * S), new AttemptReceived(0, "0.1", 0),
                new AttemptReceived(2 * S + 60 * MS, "0.1", 0),
                new AnswerReceived(2 * S + 70 * MS, "0.1", 502, ""));
        assertBroken(Rule.OUTSIDE_GROUP);
    }

    @Test
    void nothingIsSentAfterTheFinalAnswer() {
        observe(requestSent(0, "0.1", "status"), new AnswerReceived(3 * MS, "0.1", 502, ""),
                new AttemptReceived(40 * MS, "0.1", 2),
                requestSent(S, "0.2", "status"), new AnswerReceived(S, "0.2", 502, ""),
                new AttemptReceived(S + 60 * MS, "0.2", 2));
        assertBroken(Rule.SENT_AFTER_ANSWER);
        assertEquals("0.2", auditor.breaches().get(0).subject());
    }

    @Test
    void aDrainedNodeGetsNothingOnceTheGraceIsOver() {
        observe(new ReadinessNotified(0, 0, 2, false), requestSent(900 * MS, "0.1", "status"),
                new AttemptReceived(1040 * MS, "0.1", 2),
                new AnswerReceived(1050 * MS, "0.1", 502, ""), requestSent(2 * S, "1.2", "status"),
                new AttemptReceived(2 * S, "1.2", 2),
                new AnswerReceived(2 * S, "1.2", 502, ""));
        assertBroken();
        observe(requestSent(2 * S, "0.3", "status"), new AttemptReceived(2 * S, "0.3", 2),
                new AnswerReceived(2 * S, "0.3", 502, ""));
        assertBroken(Rule.SENT_AFTER_DRAIN);
    }

    @Test
    void aNodeThatIsUpAgainMayGetRequests() {
        observe(new ReadinessNotified(0, 0, 2, false), new ReadinessNotified(3 * S, 0, 2, true),
                requestSent(4 * S, "0.1", "status"),
                new AttemptReceived(4 * S, "0.1", 2), new AnswerReceived(4 * S, "0.1", 502, ""));
        assertBroken();
    }

    /** A restarted gateway may have an old list, and discovery may be down. */
    @Test
    void aRestartedGatewayDoesNotKnowWhatThePreviousProcessWasNotifiedOf() {
        observe(new ReadinessNotified(0, 0, 2, false), new Observation.GatewayStarting(S, 0), requestSent(2 * S, "0.1", "status"),
                new AttemptReceived(2 * S, "0.1", 2), new AnswerReceived(2 * S, "0.1", 502, ""));
        assertBroken();
    }

    @Test
    void anOverloadCrashByGatewaysThatKnewOfTheStartIsABreach() {
        observe(new NodeStarted(0, 2), new StartNotified(MS, 0, 2), new OverloadCrash(S, 2, Map.of(0, 9.0, 1, 1.0)));
        assertBroken(Rule.PUSHED_OVER);
    }

    @Test
    void anOverloadCrashByGatewaysThatWereNotNotifiedIsNoBreach() {
        observe(new StartNotified(0, 1, 2), new NodeStarted(MS, 2), new StartNotified(2 * MS, 0, 2),
                new OverloadCrash(S, 2, Map.of(0, 5.0, 1, 5.0)));
        assertBroken();
    }

    @Test
    void aRequestThatNoClientSentIsABreach() {
        observe(new AttemptReceived(0, "rude-3", 2));
        assertBroken(Rule.UNKNOWN_REQUEST);
    }

    /** One client leaves at the moment of its answer; the request of the other runs on a node after the client has left. */
    @Test
    void anAbandonedRequestNeedsNoAnswer() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new AnswerProduced(2 * MS, "0.1", 2, "x"),
                new RequestAbandoned(2 * MS, "0.1"), requestSent(0, "0.2", "submit"), new RequestAbandoned(MS, "0.2"),
                new AttemptReceived(MS, "0.2", 3),
                new ExecutionStarted(2 * MS, "0.2", 3));
        assertBroken();
        assertEquals(2, auditor.counts().abandoned());
    }

    /** The node ran the request and crashed before its answer: the gateway may only fail the request. */
    @Test
    void aNodeThatDiesAfterItRanARequestLeavesAFailure() {
        observe(requestSent(0, "0.1", "submit"), new AttemptReceived(MS, "0.1", 2), new ExecutionStarted(MS, "0.1", 2),
                new AnswerReceived(5 * MS, "0.1", 502, ""));
        assertBroken();
    }

    @Test
    void memoryIsBoundedInALongRun() {
        for (int i = 0; i < 400_000; i++) {
            String id = "0." + i;
            long at = i * MS;
            observe(requestSent(at, id, "status"), new AttemptReceived(at, id, 1), new AnswerProduced(at, id, 1, id),
                    new AnswerReceived(at, id, 200, id));
        }
        assertEquals(0, auditor.counts().unaudited());
        assertTrue(auditor.trackedRequestCount() < 5_000, "held " + auditor.trackedRequestCount());
        assertBroken();
    }

    @Test
    void requestsBeyondTheMemoryBoundCountAsUnaudited() {
        for (int i = 0; i < Auditor.MAX_TRACKED_REQUESTS + 5; i++) {
            observe(requestSent(i, "0." + i, "status"));
        }
        assertEquals(5, auditor.counts().unaudited());
    }

    @Test
    void aBreachIsNamedOnceForARequestAndTheListIsBounded() {
        for (int i = 0; i < 500; i++) {
            observe(requestSent(i, "0." + i, "submit"), new AttemptReceived(i, "0." + i, 0), new AttemptReceived(i, "0." + i, 1),
                    new AttemptReceived(i, "0." + i, 2), new AnswerReceived(i, "0." + i, 502, ""));
        }
        auditor.finish();
        assertEquals(500, auditor.breachCount());
        assertEquals(Auditor.MAX_RECORDED_BREACHES, auditor.breaches().size());
    }
}
