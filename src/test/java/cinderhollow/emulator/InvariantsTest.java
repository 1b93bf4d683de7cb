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
        invariants.told(0, "n-1", true);
        invariants.told(0, "n-2", true);
    }

    private void broken(Rule... rules) {
        invariants.finish(10_000 * MS);
        assertEquals(List.of(rules), invariants.breaches().stream().map(Invariants.Breach::rule).toList());
    }

    @Test
    void anAnswerInTimeAfterATryThatNeverRanBreaksNothing() {
        invariants.arrived(0, "r", UNSAFE, 100 * MS);
        invariants.sent(1, "r", "n-1");
        invariants.ended("r", Outcome.CONNECT_FAILED);
        invariants.sent(2, "r", "n-2");
        invariants.ended("r", Outcome.SERVED);
        invariants.answered(150 * MS, "r", false);
        invariants.over("r");
        assertEquals(0, invariants.held());
        broken();
    }

    @Test
    void aSecondRunOfWhatMustNotRunTwice() {
        invariants.arrived(0, "r", UNSAFE, 100 * MS);
        invariants.sent(1, "r", "n-1");
        invariants.ended("r", Outcome.RESET);
        invariants.sent(2, "r", "n-2");
        invariants.answered(3, "r", false);
        broken(Rule.RAN_TWICE);
    }

    @Test
    void aRefusalOfWhatMayHaveRun() {
        invariants.arrived(0, "r", UNSAFE, 100 * MS);
        invariants.sent(1, "r", "n-1");
        invariants.ended("r", Outcome.TIMED_OUT);
        invariants.answered(2, "r", true);
        invariants.arrived(0, "s", SAFE, 100 * MS);
        invariants.sent(1, "s", "n-1");
        invariants.ended("s", Outcome.TIMED_OUT);
        invariants.answered(2, "s", true);
        broken(Rule.REFUSED_THOUGH_IT_MAY_HAVE_RUN);
    }

    @Test
    void aSendLaterThanTheGraceAfterANodeWasToldToDrain() {
        invariants.told(100 * MS, "n-1", false);
        invariants.told(900 * MS, "n-1", false);
        invariants.arrived(0, "r", SAFE, 5_000 * MS);
        invariants.sent(1_100 * MS, "r", "n-1");
        invariants.sent(1_101 * MS, "r", "n-1");
        invariants.answered(1_200 * MS, "r", false);
        broken(Rule.DRAIN);
    }

    @Test
    void anAnswerThatIsLateAndOneThatNeverCame() {
        invariants.arrived(0, "r", SAFE, 100 * MS);
        invariants.answered(151 * MS, "r", false);
        invariants.arrived(0, "s", SAFE, 100 * MS);
        invariants.arrived(0, "gone", SAFE, 100 * MS);
        invariants.left("gone");
        broken(Rule.LOST, Rule.LOST);
    }

    @Test
    void twoAnswersTooManyAttemptsAndANodeThatNobodyNamed() {
        invariants.arrived(0, "r", SAFE, 100 * MS);
        invariants.sent(1, "r", "n-1");
        invariants.sent(1, "r", "n-2");
        invariants.sent(1, "r", "n-9");
        invariants.answered(2, "r", false);
        invariants.answered(3, "r", false);
        broken(Rule.UNKNOWN_NODE, Rule.TOO_MANY_ATTEMPTS, Rule.ANSWERED_TWICE);
    }
}
