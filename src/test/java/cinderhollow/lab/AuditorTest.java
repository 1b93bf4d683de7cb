package cinderhollow.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.lab.Auditor.Effect;
import cinderhollow.lab.Auditor.Grade;
import cinderhollow.lab.Auditor.Place;
import cinderhollow.lab.Auditor.Scope;
import cinderhollow.lab.Breach.Rule;
import cinderhollow.lab.Sighting.Answered;
import cinderhollow.lab.Sighting.Asked;
import cinderhollow.lab.Sighting.Broke;
import cinderhollow.lab.Sighting.Fell;
import cinderhollow.lab.Sighting.GaveUp;
import cinderhollow.lab.Sighting.Paused;
import cinderhollow.lab.Sighting.Killed;
import cinderhollow.lab.Sighting.KilledAtEnd;
import cinderhollow.lab.Sighting.Late;
import cinderhollow.lab.Sighting.Left;
import cinderhollow.lab.Sighting.Made;
import cinderhollow.lab.Sighting.Ran;
import cinderhollow.lab.Sighting.Received;
import cinderhollow.lab.Sighting.Started;
import cinderhollow.lab.Sighting.Surplus;
import cinderhollow.lab.Sighting.Told;
import cinderhollow.lab.Sighting.ToldStart;
import cinderhollow.lab.Sighting.TurnedAway;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks the auditor with simulated time: every breach is reported, and nothing else is. */
class AuditorTest {
    private static final long MS = 1_000_000L, S = 1000 * MS;

    private final Auditor auditor = new Auditor(
            Map.of("status", new Grade(Effect.SAFE, Scope.ALL, 0), "submit", new Grade(Effect.UNSAFE, Scope.ALL, 0),
                    "amend", new Grade(Effect.KEYED, Scope.CELL, 2 * S)),
            List.of(new Place("a", 0), new Place("a", 0), new Place("a", 1), new Place("b", 0)),
            new Auditor.Limits(50 * MS, S));

    private void see(Sighting... sightings) {
        for (Sighting sighting : sightings) {
            auditor.see(sighting);
        }
    }

    private void verdict(Rule... rules) {
        auditor.finish();
        assertEquals(Set.of(rules), auditor.broken(), () -> auditor.breaches().toString());
        assertEquals(rules.length, auditor.breachCount(), () -> auditor.breaches().toString());
    }

    private static Asked asked(long at, String id, String requestClass) {
        return new Asked(at, id, Names.gatewayOf(id), requestClass, 300 * MS);
    }

    @Test
    void aServedRequestIsClean() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new Ran(MS, "0.1", 2), new Made(9 * MS, "0.1", 2, "x"),
                new Answered(10 * MS, "0.1", 200, "x"));
        verdict();
        assertEquals(1, auditor.counts().served());
    }

    @Test
    void anAnswerThatNeverComesIsLostAndItsLifeIsTold() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new Ran(2 * MS, "0.1", 2));
        verdict(Rule.LOST);
        String text = auditor.breaches().get(0).toString();
        assertTrue(text.contains("asked of gw-0 as submit") && text.contains("node-2 runs it"), text);
    }

    /** By the operators' documentation an answer up to half a second late only earns nothing; it is counted. */
    @Test
    void anAnswerHalfASecondAfterTheClientsTimeIsLost() {
        see(asked(0, "0.1", "status"), new Answered(801 * MS, "0.1", 502, ""), asked(S, "0.2", "status"),
                new Answered(S + 799 * MS, "0.2", 502, ""), asked(2 * S, "0.3", "status"), new Answered(2 * S + 349 * MS, "0.3", 502, ""));
        verdict(Rule.LOST);
        assertEquals("0.1", auditor.breaches().get(0).request());
        assertEquals(2, auditor.answeredLate());
    }

    /** Guards against judging an answer before the lab's own lateness is known, which is reported after the late answer. */
    @Test
    void lateAnswersAreExcusedWhereTheLabItselfRanLate() {
        see(asked(0, "0.1", "status"), new Answered(900 * MS, "0.1", 502, ""), new Late(901 * MS, 200 * MS));
        verdict();
    }

    @Test
    void latenessAtAnotherTimeExcusesNothing() {
        see(new Late(0, 200 * MS), asked(S, "0.1", "status"), new Answered(S + 900 * MS, "0.1", 502, ""),
                new Late(3 * S, 200 * MS));
        verdict(Rule.LOST);
    }

    @Test
    void aConnectionThatEndsUnderARequestThatWasSentOnIsALoss() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new Broke(5 * MS, "0.1"));
        verdict(Rule.LOST);
    }

    /** A client closes a second after its deadline. If the lab was as late, an answer may have been waiting to be read. */
    @Test
    void aClientThatWaitedInVainIsALossUnlessTheLabWasLate() {
        see(asked(0, "0.1", "status"), new Received(MS, "0.1", 2), new GaveUp(1_200 * MS, "0.1"));
        verdict(Rule.LOST);
        see(asked(10 * S, "0.2", "status"), new Received(10 * S + MS, "0.2", 2), new GaveUp(12 * S, "0.2"),
                new Late(12 * S, 1_400 * MS));
        auditor.finish();
        assertEquals(1, auditor.breachCount());
        assertEquals(1, auditor.counts().unaudited());
    }

    /** Guards against forgetting the first kill: the request is judged only after its gateway has been killed again. */
    @Test
    void whatAKillHeldIsExcusedThoughAnotherKillFollows() {
        see(new Asked(0, "0.1", 0, "status", 3 * S), new Received(MS, "0.1", 2), new Killed(30 * MS, 0), new Broke(31 * MS, "0.1"),
                new Killed(4 * S, 0));
        verdict();
        assertEquals(1, auditor.counts().excused());
    }

    /**
     * The platform's kill after SIGTERM excuses no request, whether or not a node has received it. A request sent within the
     * slack before the kill was not accepted.
     */
    @Test
    void whatTheKillAtAGatewaysEndFindsUnansweredIsLost() {
        see(new Paused(0, 0, true), new Paused(50 * MS, 0, false), asked(S, "0.1", "status"), asked(3_640 * MS, "0.2", "status"),
                asked(3_690 * MS, "0.3", "status"), asked(3_000 * MS, "1.1", "status"), new Answered(3_010 * MS, "1.1", 503, ""),
                new KilledAtEnd(3_700 * MS, 0), new Broke(3_701 * MS, "0.1"), new Broke(3_701 * MS, "0.2"),
                new Broke(3_701 * MS, "0.3"));
        auditor.finish();
        assertEquals(Set.of(Rule.LOST), auditor.broken());
        assertEquals(List.of("0.1", "0.2"), auditor.breaches().stream().map(Breach::request).toList());
    }

    /** A gateway that was paused during its shutdown need not have exited by itself; any other must. */
    @Test
    void aGatewayThatStillRunsAtTheKillIsNamedUnlessItWasHeldUp() {
        see(new Late(0, 0), new KilledAtEnd(3_700 * MS, 0));
        verdict(Rule.GATEWAY_ENDED);
        see(new Paused(10 * S, 1, true), new Paused(10 * S + 100 * MS, 1, false), new KilledAtEnd(13 * S, 1));
        assertEquals(1, auditor.breachCount());
    }

    /** A pause excuses late answers, but not a second attempt of an unsafe request after it. */
    @Test
    void aStoppedGatewayIsLateAndMayStillRunNothingTwice() {
        see(new Paused(0, 0, true), asked(MS, "0.1", "status"), new Received(2 * MS, "0.1", 2), new Paused(5 * S, 0, false),
                new Answered(5 * S + 100 * MS, "0.1", 502, ""));
        verdict();
        see(asked(20 * S, "0.2", "status"), new Answered(25 * S, "0.2", 502, ""));
        auditor.finish();
        assertEquals(1, auditor.breachCount());
        see(new Paused(40 * S, 0, true), asked(40 * S, "0.3", "submit"), new Received(40 * S + MS, "0.3", 2), new Ran(40 * S + MS, "0.3", 2),
                new Paused(45 * S, 0, false), new Received(45 * S + MS, "0.3", 1));
        auditor.finish();
        assertEquals(Rule.RAN_TWICE, auditor.breaches().get(1).rule());
    }

    /** A gateway may close an idle connection; a request sent at that moment was never accepted. */
    @Test
    void aRequestThatCrossesTheEndOfItsConnectionIsNoLoss() {
        see(asked(0, "0.1", "submit"), new Broke(5 * MS, "0.1"));
        verdict();
    }

    @Test
    void whatAKilledGatewayHeldFallsToItsClients() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), asked(0, "1.2", "submit"),
                new Received(MS, "1.2", 2), new Killed(2 * MS, 0), new Broke(3 * MS, "0.1"), new Broke(3 * MS, "1.2"));
        verdict(Rule.LOST);
        assertEquals("1.2", auditor.breaches().get(0).request());
        assertEquals(1, auditor.counts().excused());
    }

    @Test
    void aSecondAnswerIsNamed() {
        see(asked(0, "0.1", "submit"), new Made(MS, "0.1", 2, "x"), new Answered(2 * MS, "0.1", 200, "x"),
                new Surplus(3 * MS, "0.1"));
        verdict(Rule.ANSWERED_TWICE);
    }

    @Test
    void swappedAnswersAreForeignToBoth() {
        see(asked(0, "0.1", "submit"), asked(0, "0.2", "submit"), new Made(MS, "0.1", 2, "x"), new Made(MS, "0.2", 2, "y"),
                new Answered(2 * MS, "0.1", 200, "y"), new Answered(2 * MS, "0.2", 200, "x"));
        auditor.finish();
        assertEquals(Set.of(Rule.FOREIGN_ANSWER), auditor.broken());
        assertEquals(2, auditor.breachCount());
    }

    @Test
    void anUnsafeRequestThatMayHaveRunMustNotBeSentAgain() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new Received(2 * MS, "0.1", 3),
                new Made(MS, "0.1", 3, "x"), new Answered(3 * MS, "0.1", 200, "x"));
        verdict(Rule.RAN_TWICE);
    }

    @Test
    void anUnsafeRequestThatWasTurnedAwayMayBeSentAgainOrRefused() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new TurnedAway(MS, "0.1", 2),
                new Received(2 * MS, "0.1", 3), new TurnedAway(2 * MS, "0.1", 3), new Answered(3 * MS, "0.1", 503, ""));
        verdict();
    }

    @Test
    void aSafeRequestMayBeSentAgainAndRefused() {
        see(asked(0, "0.1", "status"), new Received(MS, "0.1", 2), new Received(2 * MS, "0.1", 3),
                new Answered(3 * MS, "0.1", 503, ""));
        verdict();
    }

    @Test
    void aRefusalOfWhatMayHaveRunIsNamed() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new Answered(3 * MS, "0.1", 429, ""));
        verdict(Rule.REFUSED_THOUGH_RAN);
    }

    @Test
    void aRefusalThatIsSentOnLaterIsNamed() {
        see(asked(0, "0.1", "submit"), new Answered(3 * MS, "0.1", 503, ""), new Received(4 * MS, "0.1", 2));
        verdict(Rule.REFUSED_THOUGH_RAN);
    }

    @Test
    void aKeyedRequestStaysInItsGroupAndItsWindow() {
        see(asked(0, "0.1", "amend"), new Received(MS, "0.1", 0), new Received(2 * MS, "0.1", 1),
                new Answered(3 * MS, "0.1", 502, ""));
        verdict();
        see(asked(S, "0.2", "amend"), new Received(S, "0.2", 0), new Received(S + MS, "0.2", 2),
                new Answered(S + 3 * MS, "0.2", 502, ""));
        verdict(Rule.OUTSIDE_GROUP);
    }

    @Test
    void aKeyedRequestIsNotResentAfterItsWindow() {
        see(new Asked(0, "0.1", 0, "amend", 5 * S), new Received(0, "0.1", 0), new Received(2 * S + 60 * MS, "0.1", 0),
                new Answered(2 * S + 70 * MS, "0.1", 502, ""));
        verdict(Rule.OUTSIDE_GROUP);
    }

    @Test
    void nothingIsSentAfterTheFinalAnswer() {
        see(asked(0, "0.1", "status"), new Answered(3 * MS, "0.1", 502, ""), new Received(40 * MS, "0.1", 2),
                asked(S, "0.2", "status"), new Answered(S, "0.2", 502, ""), new Received(S + 60 * MS, "0.2", 2));
        verdict(Rule.SENT_AFTER_ANSWER);
        assertEquals("0.2", auditor.breaches().get(0).request());
    }

    @Test
    void aDrainedNodeGetsNothingOnceTheGraceIsOver() {
        see(new Told(0, 0, 2, false), asked(900 * MS, "0.1", "status"), new Received(1040 * MS, "0.1", 2),
                new Answered(1050 * MS, "0.1", 502, ""), asked(2 * S, "1.2", "status"), new Received(2 * S, "1.2", 2),
                new Answered(2 * S, "1.2", 502, ""));
        verdict();
        see(asked(2 * S, "0.3", "status"), new Received(2 * S, "0.3", 2), new Answered(2 * S, "0.3", 502, ""));
        verdict(Rule.SENT_AFTER_DRAIN);
    }

    @Test
    void aNodeThatIsBackMayGetRequestsAgain() {
        see(new Told(0, 0, 2, false), new Told(3 * S, 0, 2, true), asked(4 * S, "0.1", "status"),
                new Received(4 * S, "0.1", 2), new Answered(4 * S, "0.1", 502, ""));
        verdict();
    }

    /** A restarted gateway may have an old list, and discovery may be down. */
    @Test
    void aGatewayThatStartsAnewDoesNotKnowWhatTheOneBeforeWasTold() {
        see(new Told(0, 0, 2, false), new Sighting.Began(S, 0), asked(2 * S, "0.1", "status"),
                new Received(2 * S, "0.1", 2), new Answered(2 * S, "0.1", 502, ""));
        verdict();
    }

    @Test
    void aColdNodePushedOverByGatewaysThatKnewIsNamed() {
        see(new Started(0, 2), new ToldStart(MS, 0, 2), new Fell(S, 2, Map.of(0, 9.0, 1, 1.0)));
        verdict(Rule.PUSHED_OVER);
    }

    @Test
    void aColdNodePushedOverByThoseWhoWereNotToldIsNoBreach() {
        see(new ToldStart(0, 1, 2), new Started(MS, 2), new ToldStart(2 * MS, 0, 2),
                new Fell(S, 2, Map.of(0, 5.0, 1, 5.0)));
        verdict();
    }

    @Test
    void whatNoClientSentIsNamed() {
        see(new Received(0, "rude-3", 2));
        verdict(Rule.UNKNOWN_REQUEST);
    }

    /** One client leaves at the moment of its answer; the request of the other runs on a node after the client has left. */
    @Test
    void whoLeavesIsOwedNothing() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new Made(2 * MS, "0.1", 2, "x"),
                new Left(2 * MS, "0.1"), asked(0, "0.2", "submit"), new Left(MS, "0.2"), new Received(MS, "0.2", 3),
                new Ran(2 * MS, "0.2", 3));
        verdict();
        assertEquals(2, auditor.counts().left());
    }

    /** The node ran the request and crashed before its answer: the gateway may only fail the request. */
    @Test
    void aNodeThatDiesAfterItRanARequestLeavesAFailure() {
        see(asked(0, "0.1", "submit"), new Received(MS, "0.1", 2), new Ran(MS, "0.1", 2),
                new Answered(5 * MS, "0.1", 502, ""));
        verdict();
    }

    @Test
    void memoryIsBoundedInALongRun() {
        for (int i = 0; i < 400_000; i++) {
            String id = "0." + i;
            long at = i * MS;
            see(asked(at, id, "status"), new Received(at, id, 1), new Made(at, id, 1, id), new Answered(at, id, 200, id));
        }
        assertEquals(0, auditor.counts().unaudited());
        assertTrue(auditor.held() < 5_000, "held " + auditor.held());
        verdict();
    }

    @Test
    void whatCannotBeHeldIsCountedAndNotPassedForClean() {
        for (int i = 0; i < Auditor.MOST_OPEN + 5; i++) {
            see(asked(i, "0." + i, "status"));
        }
        assertEquals(5, auditor.counts().unaudited());
    }

    @Test
    void aBreachIsNamedOnceForARequestAndTheListIsBounded() {
        for (int i = 0; i < 500; i++) {
            see(asked(i, "0." + i, "submit"), new Received(i, "0." + i, 0), new Received(i, "0." + i, 1),
                    new Received(i, "0." + i, 2), new Answered(i, "0." + i, 502, ""));
        }
        auditor.finish();
        assertEquals(500, auditor.breachCount());
        assertEquals(Auditor.MOST_BREACHES, auditor.breaches().size());
    }
}
