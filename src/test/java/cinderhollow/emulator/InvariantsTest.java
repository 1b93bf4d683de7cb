package cinderhollow.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cinderhollow.emulator.Invariants.Rule;
import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.Rules;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Breaks each rule and checks that it is reported by name, and that similar steps that are allowed are not reported. */
class InvariantsTest {
    private static final long MS = 1_000_000L;
    private static final RequestClass SAFE = Scenario.CLASSES.get(0);
    private static final RequestClass UNSAFE = Scenario.CLASSES.get(1);

    private final Invariants invariants = new Invariants(3, new Rules(50 * MS, 1_000 * MS, 0, 0.3, 0, 2.5, 1), 2);

    InvariantsTest() {
        invariants.onNodeReadiness(0, "n-1", true);
        invariants.onNodeReadiness(0, "n-2", true);
    }

    private void assertBreaches(Rule... rules) {
        invariants.checkUnanswered(10_000 * MS);
        assertEquals(List.of(rules), invariants.breaches().stream().map(Invariants.Breach::rule).toList());
    }

    @Test
    void anAnswerInTimeAfterAnAttemptThatNeverRanBreaksNoRule() {
        invariants.onRequestArrived(0, "r", UNSAFE, 100 * MS);
        invariants.onAttemptSent(1, "r", "n-1");
        invariants.onAttemptEnded("r", Outcome.CONNECT_FAILED);
        invariants.onAttemptSent(2, "r", "n-2");
        invariants.onAttemptEnded("r", Outcome.SERVED);
        invariants.onAnswered(150 * MS, "r", false);
        invariants.onRequestDone("r");
        assertEquals(0, invariants.openRequestCount());
        assertBreaches();
    }

    @Test
    void aSecondAttemptOfAnUnsafeRequestThatMayHaveRunIsABreach() {
        invariants.onRequestArrived(0, "r", UNSAFE, 100 * MS);
        invariants.onAttemptSent(1, "r", "n-1");
        invariants.onAttemptEnded("r", Outcome.RESET);
        invariants.onAttemptSent(2, "r", "n-2");
        invariants.onAnswered(3, "r", false);
        assertBreaches(Rule.RAN_TWICE);
    }

    @Test
    void aRefusalOfAnUnsafeRequestThatMayHaveRunIsABreach() {
        invariants.onRequestArrived(0, "r", UNSAFE, 100 * MS);
        invariants.onAttemptSent(1, "r", "n-1");
        invariants.onAttemptEnded("r", Outcome.TIMED_OUT);
        invariants.onAnswered(2, "r", true);
        invariants.onRequestArrived(0, "s", SAFE, 100 * MS);
        invariants.onAttemptSent(1, "s", "n-1");
        invariants.onAttemptEnded("s", Outcome.TIMED_OUT);
        invariants.onAnswered(2, "s", true);
        assertBreaches(Rule.REFUSED_THOUGH_IT_MAY_HAVE_RUN);
    }

    @Test
    void aSendAfterTheDrainGraceIsABreach() {
        invariants.onNodeReadiness(100 * MS, "n-1", false);
        invariants.onNodeReadiness(900 * MS, "n-1", false);
        invariants.onRequestArrived(0, "r", SAFE, 5_000 * MS);
        invariants.onAttemptSent(1_100 * MS, "r", "n-1");
        invariants.onAttemptSent(1_101 * MS, "r", "n-1");
        invariants.onAnswered(1_200 * MS, "r", false);
        assertBreaches(Rule.DRAIN);
    }

    @Test
    void aLateAnswerAndAMissingAnswerAreBreaches() {
        invariants.onRequestArrived(0, "r", SAFE, 100 * MS);
        invariants.onAnswered(151 * MS, "r", false);
        invariants.onRequestArrived(0, "s", SAFE, 100 * MS);
        invariants.onRequestArrived(0, "gone", SAFE, 100 * MS);
        invariants.onClientLeft("gone");
        assertBreaches(Rule.LOST, Rule.LOST);
    }

    @Test
    void twoAnswersTooManyAttemptsAndAnUnknownNodeAreBreaches() {
        invariants.onRequestArrived(0, "r", SAFE, 100 * MS);
        invariants.onAttemptSent(1, "r", "n-1");
        invariants.onAttemptSent(1, "r", "n-2");
        invariants.onAttemptSent(1, "r", "n-9");
        invariants.onAnswered(2, "r", false);
        invariants.onAnswered(3, "r", false);
        assertBreaches(Rule.UNKNOWN_NODE, Rule.TOO_MANY_ATTEMPTS, Rule.ANSWERED_TWICE);
    }
}
