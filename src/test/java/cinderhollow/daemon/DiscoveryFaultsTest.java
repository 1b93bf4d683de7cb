package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a real process in which one in five system calls fails; the watch of discovery is established again each time. */
class DiscoveryFaultsTest {
    /** At this rate about one in three connection attempts fails, because socket or connect fails. */
    private static final int FAULT_PERCENT = 20;
    private static final int WATCH_COUNT = 20;
    private static final int FIRST_VERSION = 2;

    @TempDir
    private Path folder;

    @Test
    void theWatchComesBackWhereTheSystemHasNoSocketForIt() throws Exception {
        AtomicInteger version = new AtomicInteger(FIRST_VERSION);
        ScriptedServer.Script endsEachWatch = (socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            GatewayFixture.sendWatchLine(socket, GatewayFixture.endpointListJson(version.getAndIncrement(), false, List.of()));
            socket.close();
        };
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                ScriptedServer discovery = new ScriptedServer(endsEachWatch)) {
            Map<String, String> environment = new HashMap<>(SystemCallFaults.faultEnvironment(folder, FAULT_PERCENT, 1, 0));
            environment.put("LB_DISCOVERY", discovery.addressText());
            try (GatewayProcess gateway = GatewayProcess.start(folder, environment, server)) {
                String lastLogLine = "discovery: version " + (FIRST_VERSION + WATCH_COUNT);
                Await.until("the list of watch " + WATCH_COUNT, () -> gateway.log().contains(lastLogLine));
                assertTrue(gateway.log().contains("has ended: can't connect: "), "no dial failed: " + gateway.log());
            }
        }
    }
}
