package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.testing.Await;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The time of a request counts from its arrival at the socket, even if the event loop was stalled and read it later. */
class LateLoopTest {
    private static final int TIMEOUT_MILLIS = 4_000;

    /**
     * The request is unread for three quarters of its time, and its server does not answer. If the time were counted from the
     * reading, the answer would come three quarters of the time too late, and the server would be given the whole time.
     */
    @Test
    void aRequestThatLayUnreadIsAnsweredByWhenItCameAndNotByWhenItWasRead() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> { });
                GatewayFixture f = GatewayFixture.knowing(host)) {
            Client client = f.client();
            client.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            Client asks = f.client();
            Runnable goOn = f.holdLoop();
            long asked = System.nanoTime();
            asks.write(submit("r1", TIMEOUT_MILLIS, "x"));
            long unread = TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS * 3 / 4);
            Await.until("the request has lain unread", () -> System.nanoTime() - asked >= unread);
            goOn.run();
            Await.until("sent to the host", () -> host.requests.size() == 1);
            long given = Long.parseLong(host.requests.get(0).header("X-Timeout").replace("u", ""));
            assertTrue(given <= TIMEOUT_MILLIS * 1_000L / 2, "the time-out forwarded to the server is " + given + " us");
            assertFalse(asks.read().firstLine().contains(" 200 "));
        }
    }
}
