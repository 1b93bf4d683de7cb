package cinderhollow.daemon;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A real process of whose system calls two in five fail comes up all the same. What happened: the process stayed, neither ready nor
 * ended, since the one socket that the rehearsal makes on the main thread could not be had ('Exception in thread "main"
 * io.netty.channel.ChannelException: Failed to open a socket. ... at cinderhollow.daemon.Rehearsal.play') and the rehearsal took only
 * checked exceptions for its own failure.
 */
class StartFaultsTest {
    private static final int PERCENT = 40;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aStartComesUpThoughSocketsCannotBeHadAtFirst(long seed) throws Exception {
        try (ScriptedHost server = new ScriptedHost(ScriptedHost.reply("200 OK", "served"));
                GatewayProcess gateway = GatewayProcess.start(folder, SystemCallFaults.environment(folder, PERCENT, seed, 0), server)) {
            gateway.client().socket.close(); // its start has waited until it is ready
        }
    }
}
