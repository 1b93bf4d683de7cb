package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import cinderhollow.testing.Await;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Errors that nobody handles on an event loop of a gateway process, such as one of memory that runs out. */
class LoopFaultTest {
    private static final long EXIT_MILLIS = 10_000;
    private static final String FEW_FAULTS = "3", ENDLESS_FAULTS = "1000000";

    @TempDir
    private Path folder;

    private GatewayProcess startGateway(String faults, int loops, ScriptedServer server) throws Exception {
        Map<String, String> environment = new HashMap<>(Map.of(GatewayWithLoopFaults.FAULTS_VARIABLE, faults));
        environment.put("LB_OPERATOR", Files.writeString(folder.resolve("operator.toml"), "[gateway]\nloops = " + loops + "\n")
                .toString());
        return GatewayProcess.start(folder, GatewayWithLoopFaults.class, environment, server);
    }

    private static void assertServed(Client client, String id) throws Exception {
        Message answer = client.exchange(statusRequest(id, LONG_TIMEOUT_MILLIS));
        assertTrue(answer != null && answer.firstLine().contains(" 200 "), String.valueOf(answer));
    }

    /** Guards against an event loop that ends by one fault, and with it all connections. */
    @Test
    void aLoopGoesOnAfterAFault() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = startGateway(FEW_FAULTS, 1, server)) {
            Client client = gateway.connectClient();
            assertServed(client, "before");
            gateway.signal("USR2");
            Await.until("the faults are logged", () -> gateway.log().contains("planted"));
            assertServed(client, "behind");
            gateway.signal("TERM");
            assertTrue(gateway.waitForExit(EXIT_MILLIS), gateway.log());
        }
    }

    /** Guards against a process without its event loop that ends as if nothing had failed, or that doesn't end. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void aProcessWhoseLoopEndsByFaultsTellsSo(int loops) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = startGateway(ENDLESS_FAULTS, loops, server)) {
            gateway.signal("USR2");
            assertTrue(gateway.waitForExit(EXIT_MILLIS), gateway.log());
            assertEquals(GatewayDaemon.EXIT_INTERNAL_ERROR, gateway.exitCode(), gateway.log());
            assertTrue(!gateway.log().contains("RejectedExecutionException"), gateway.log());
        }
    }
}
