package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A server's process is gone, and another server's process has its address, while both are listed. */
class ReplacedServerTest {
    /** Guards against a server that has just started, and gets at once what the warm one before it at its address got. */
    @Test
    void aNewServerIsNotTakenForTheWarmOneThatHadItsAddress() throws Exception {
        CompletableFuture<Socket> watch = new CompletableFuture<>();
        ScriptedServer discovery = new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            GatewayFixture.sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watch.complete(socket);
        });
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s-old", server, "up", 0))),
                        discovery, TimeUnit.SECONDS.toNanos(60), 1024)) {
            GatewayFixture.sendWatchLine(watch.get(), endpointListJson(2, false,
                    List.of(endpointJson("s-new", server, "up", System.currentTimeMillis()))));
            GatewayFixture.await("the old server's removal", () -> f.gateway.stats().join().endpoints() == 1);
            assertTrue(f.connectClient().exchange(submitRequest("r", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 200 "));
        }
    }
}
