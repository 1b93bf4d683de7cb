package cinderhollow.policy;

import static cinderhollow.policy.GatewayHarness.MS;
import static cinderhollow.policy.GatewayHarness.ORDER;
import static cinderhollow.policy.GatewayHarness.READ;
import static cinderhollow.policy.GatewayHarness.SECOND;
import static cinderhollow.policy.GatewayHarness.SWEEP_TOKEN;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.policy.Protocol.Outcome;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestBodyAwaited;
import cinderhollow.policy.Protocol.RequestBodyBlocked;
import cinderhollow.policy.Protocol.RequestBodyReceived;
import cinderhollow.policy.Protocol.RequestBodyUnread;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.policy.Protocol.RequestHeadArrived;
import cinderhollow.policy.Protocol.RequestNotReplayable;
import org.junit.jupiter.api.Test;

/** Requests whose bodies are not read: they have deadlines, and the module learns from servers that accept nothing of them. */
class BlockedUploadTest {
    private static final long SHORT = 200 * MS;
    private static final int REQUESTS = 40;

    private final GatewayHarness gateway = new GatewayHarness();
    private int uploads;

    private String startUpload(RequestClass requestClass) {
        String id = "upload" + uploads++;
        gateway.balancer.handle(gateway.now, new RequestHeadArrived(
                new RequestArrived(id, requestClass.name(), null, null, requestClass.deadlineNanos(), 0, false)));
        return id;
    }

    /** Starts uploads until one is sent to this server. */
    private String startUploadAt(String server) {
        for (int i = 0; i < REQUESTS; i++) {
            String id = startUpload(ORDER);
            String target = gateway.takeSendTarget();
            gateway.balancer.handle(gateway.now, new RequestNotReplayable(id));
            if (server.equals(target)) {
                return id;
            }
            gateway.endAttempt(id, 0, target, Outcome.SERVED, 20 * MS);
        }
        throw new AssertionError("no upload was sent to " + server);
    }

    private void setBlocked(String id, boolean blocked) {
        gateway.balancer.handle(gateway.now, new RequestBodyBlocked(id, blocked));
    }

    private void advance(long nanos) {
        gateway.now += nanos;
        gateway.fireTimer(SWEEP_TOKEN);
    }

    /** Guards against requests that are held without a deadline while their bodies are not read. */
    @Test
    void aHeldRequestWhoseBodyIsUnreadIsRefusedAtItsDeadline() {
        String id = startUpload(ORDER);
        gateway.balancer.handle(gateway.now, new RequestBodyUnread(id, SHORT));
        advance(SHORT / 2);
        assertEquals(0, gateway.recorder.take("refuse").size());
        advance(SHORT / 2);
        assertEquals(id, gateway.recorder.take("refuse").get(0).id());
    }

    @Test
    void aHeldRequestWhoseBodyIsAwaitedAgainHasNoDeadline() {
        String id = startUpload(READ);
        gateway.balancer.handle(gateway.now, new RequestBodyUnread(id, SHORT));
        gateway.balancer.handle(gateway.now, new RequestBodyAwaited(id));
        advance(10 * SHORT);
        gateway.withServers(1);
        assertNotNull(gateway.takeSendTarget());
    }

    /** Guards against a server that hangs while it is sent bodies, and is sent one after the other. */
    @Test
    void aServerThatAcceptsNothingOfTwoBodiesIsAvoided() {
        gateway.withServers(2);
        for (int i = 0; i < REQUESTS; i++) {
            gateway.serveConcurrently(ORDER, REQUESTS, 20 * MS);
        }
        setBlocked(startUploadAt("s0"), true);
        setBlocked(startUploadAt("s0"), true);
        advance(ORDER.aimNanos() * 3 / 4);
        for (int i = 0; i < REQUESTS; i++) {
            assertNotEquals("s0", gateway.submitAndEnd(ORDER, Outcome.SERVED, 20 * MS));
        }
    }

    /** Each end of a blocked upload frees the place that it took at its server, and no more than that. */
    @Test
    void placesOfBlockedUploadsAreFreedOnce() {
        gateway.withServers(1);
        int limit = gateway.measureMaxInFlight();
        String served = startUploadAt("s0");
        setBlocked(served, true);
        setBlocked(served, false);
        setBlocked(served, true);
        gateway.balancer.handle(gateway.now, new RequestBodyReceived(served, SECOND));
        gateway.endAttempt(served, 0, "s0", Outcome.SERVED, 20 * MS);
        String failed = startUploadAt("s0");
        setBlocked(failed, true);
        gateway.endAttempt(failed, 0, "s0", Outcome.CONNECT_FAILED, 20 * MS);
        String unblocked = startUploadAt("s0");
        setBlocked(unblocked, true);
        setBlocked(unblocked, false);
        gateway.endAttempt(unblocked, 0, "s0", Outcome.CONNECT_FAILED, 20 * MS);
        gateway.recorder.take();
        assertTrue(Math.abs(limit - gateway.measureMaxInFlight()) <= 1, "of " + limit);
        assertNull(gateway.takeSendTarget());
    }
}
