package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SWEEP_TOKEN;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.ResponseBegun;
import org.junit.jupiter.api.Test;

/** Servers whose long answers have begun and take longer than the aim: they are not rated as silent. */
class BegunResponseTest {
    private static final int REQUESTS = 40, SLOW_REQUESTS = 2;

    private final GatewayHarness gateway = new GatewayHarness();

    private void startRequests(boolean answersBegin) {
        gateway.withServers(1);
        for (int i = 0; i < REQUESTS; i++) {
            gateway.serveConcurrently(READ, REQUESTS, 20 * MS);
        }
        for (int i = 0; i < SLOW_REQUESTS; i++) {
            gateway.balancer.handle(gateway.now, new RequestArrived("slow" + i, READ.name(), null, null, READ.deadlineNanos(), 0, false));
            assertEquals("s0", gateway.takeSendTarget());
        }
        gateway.now += 10 * MS;
        for (int i = 0; answersBegin && i < SLOW_REQUESTS; i++) {
            gateway.balancer.handle(gateway.now, new ResponseBegun("slow" + i, 0));
        }
        gateway.now += READ.aimNanos() * 3 / 4;
        gateway.fireTimer(SWEEP_TOKEN);
    }

    private boolean isSilent() {
        return gateway.recorder.take("log").stream().anyMatch(line -> line.id().startsWith("server s0 is silent"));
    }

    @Test
    void aServerWhoseAnswersHaveNotBegunIsSilent() {
        startRequests(false);
        assertTrue(isSilent());
    }

    /** Guards against a server that is avoided though it is answering. */
    @Test
    void aServerWhoseAnswersHaveBegunIsNotSilent() {
        startRequests(true);
        assertFalse(isSilent());
        for (int i = 0; i < SLOW_REQUESTS; i++) {
            gateway.endAttempt("slow" + i, 0, "s0", Outcome.SERVED, 10 * MS);
        }
        assertEquals("s0", gateway.submitAndEnd(READ, Outcome.SERVED, 20 * MS));
    }
}
