package cinderhollow.daemon;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A real process in which two in five system calls fail must become ready. It once neither became ready nor ended: the one socket
 * that the warm-up opens on the main thread could not be opened ('Exception in thread "main"
 * io.netty.channel.ChannelException: Failed to open a socket. ... at cinderhollow.daemon.WarmUp.start'), and the warm-up handled
 * only checked exceptions as its own failure.
 */
class StartFaultsTest {
    private static final int FAULT_PERCENT = 40;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aGatewayStartsThoughSocketsCannotBeOpenedAtFirst(long seed) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "served"));
                GatewayProcess gateway = GatewayProcess.start(folder, SystemCallFaults.faultEnvironment(folder, FAULT_PERCENT,
                        seed, 0), server)) {
            gateway.connectClient().socket.close(); // start() has waited until the process is ready
        }
    }
}
