package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.testing.Await;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The time of a request counts from its arrival at the socket, even if the event loop was stalled and read it later. */
class StalledLoopTest {
    private static final int TIMEOUT_MILLIS = 4_000;

    /**
     * The request is unread for three quarters of its time, and its server does not answer. If the time were counted from the
     * reading, the answer would come three quarters of the time too late, and the server would be given the whole time.
     */
    @Test
    void aRequestThatLayUnreadIsAnsweredByWhenItCameAndNotByWhenItWasRead() throws Exception {
        try (ScriptedServer server = new ScriptedServer((socket, request) -> { });
                GatewayFixture f = GatewayFixture.withServers(server)) {
            Client client = f.connectClient();
            client.exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            Client lateClient = f.connectClient();
            Runnable resume = f.stallLoop();
            long sentAtNanos = System.nanoTime();
            lateClient.write(submitRequest("r1", TIMEOUT_MILLIS, "x"));
            long unreadNanos = TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS * 3 / 4);
            Await.until("the request has lain unread", () -> System.nanoTime() - sentAtNanos >= unreadNanos);
            resume.run();
            Await.until("sent to the host", () -> server.requests.size() == 1);
            long forwardedMicros = Long.parseLong(server.requests.get(0).header("X-Timeout").replace("u", ""));
            assertTrue(forwardedMicros <= TIMEOUT_MILLIS * 1_000L / 2, "the time-out forwarded to the server is "
                    + forwardedMicros + " us");
            assertFalse(lateClient.read().firstLine().contains(" 200 "));
        }
    }
}
