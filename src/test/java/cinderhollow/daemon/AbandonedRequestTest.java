package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** A client leaves before the answer to its request, and the request's id comes again. */
class AbandonedRequestTest {
    private static void sendAndLeave(GatewayFixture f, ScriptedServer server, String request) throws Exception {
        int before = server.requests.size();
        Client client = f.connectClient();
        client.write(request);
        GatewayFixture.await("the request", () -> server.requests.size() > before);
        client.socket.close();
        GatewayFixture.await("its end", () -> f.countOpenRequests() == 0);
    }

    /** Guards against an unsafe request that runs twice, because its id comes again after its client has left. */
    @Test
    void anUnsafeRequestThatMayHaveRunIsNotRunAgain() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.await(goOn);
            ScriptedServer.reply("200 OK", "served").answer(socket, request);
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            sendAndLeave(f, server, submitRequest("same", LONG_TIMEOUT_MILLIS, "x"));
            goOn.countDown();
            Client client = f.connectClient();
            assertTrue(client.exchange(submitRequest("same", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 409 "));
            assertTrue(client.exchange(submitRequest("other", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 200 "));
            assertEquals(2, server.requests.size());
        }
    }

    @Test
    void aSafeRequestMayRunAgain() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((socket, request) -> {
            ScriptedServer.await(goOn);
            ScriptedServer.reply("200 OK", "served").answer(socket, request);
        }); GatewayFixture f = GatewayFixture.withServers(server)) {
            sendAndLeave(f, server, statusRequest("same", LONG_TIMEOUT_MILLIS));
            goOn.countDown();
            assertTrue(f.connectClient().exchange(statusRequest("same", LONG_TIMEOUT_MILLIS)).firstLine().contains(" 200 "));
        }
    }
}
