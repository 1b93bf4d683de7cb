package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** An exception in the middle of a decision, forced by a log that throws on certain lines. */
class DecisionFaultTest {
    private static String shortenTimes(String settings) {
        return settings.replace("\"aim_ns\":10000000000,\"deadline_ns\":20000000000",
                "\"aim_ns\":20000000,\"deadline_ns\":2000000000");
    }

    /** The exception comes in the middle of a tick; the ticks after it must still run. */
    @Test
    void aFaultInATickDoesNotStopLaterTicks() throws Exception {
        AtomicInteger ticksFailed = new AtomicInteger();
        try (GatewayFixture f = GatewayFixture.withLog(line -> {
            if (line.contains("in this tick")) {
                ticksFailed.incrementAndGet();
                throw new IllegalStateException("forced");
            }
        }, DecisionFaultTest::shortenTimes)) {
            Client client = f.connectClient();
            AtomicInteger requestCount = new AtomicInteger();
            await("a second step with refusals", () -> {
                // No server is available for it.
                assertTrue(isRefused(client, "r" + requestCount.incrementAndGet()));
                return ticksFailed.get() > 1;
            });
        }
    }

    private static boolean isRefused(Client client, String id) {
        try {
            return client.exchange(submitRequest(id, 300, "x")).firstLine().contains(" 503 ");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The exception ends a sweep, so held requests are not examined by it; the guard must answer them. */
    @Test
    void requestsLeftBehindByAFaultAreAnsweredInTime() throws Exception {
        int requestCount = 40;
        AtomicInteger faultsForced = new AtomicInteger();
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayFixture f = GatewayFixture.withLog(line -> {
                    if (line.contains(" is silent")) {
                        faultsForced.incrementAndGet();
                        throw new IllegalStateException("forced");
                    }
                }, DecisionFaultTest::shortenTimes, server)) {
            // A server that has answered gets an in-flight limit of more than one.
            for (int i = 0; i < requestCount; i++) {
                assertTrue(f.connectClient().exchange(submitRequest("a" + i, 2_000, "x")).firstLine().contains(" 200 "));
            }
            server.setScript((socket, request) -> { });
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < requestCount; i++) {
                clients.add(f.connectClient());
                clients.get(i).write(submitRequest("r" + i, 2_000, "x"));
            }
            for (Client client : clients) {
                String answer = client.read().firstLine();
                assertTrue(answer.contains(" 50"), answer);
            }
            assertTrue(faultsForced.get() > 0, "the fault was forced");
            await("nothing open", () -> f.countOpenRequests() == 0);
        }
    }
}
