package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.core.Transport;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The warm-up before a gateway listens ends in any case, and leaves no files behind. */
class RehearsalTest {
    private static GatewayConfig config() throws IOException {
        String settings = GatewayFixture.SETTINGS.replace("IDLE", "15000000000");
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        return GatewayConfig.read(Json.read("{\"seed\":\"2a\",\"settings\":" + settings + "}"),
                nowhere, nowhere, null);
    }

    /** Returns the warm-up folders of this process; other processes on the machine may be warming up at the same time. */
    private static List<Path> folders() throws IOException {
        String own = "rehearsal-" + ProcessHandle.current().pid() + "-";
        try (var files = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
            return files.filter(f -> f.getFileName().toString().startsWith(own)).toList();
        }
    }

    @Test
    void isPlayedToItsEndAndLeavesNothing() throws Exception {
        List<Path> before = folders();
        assertTrue(WarmUp.run(config(), GatewayFixture.PATIENCE_MILLIS * 6));
        assertEquals(before, folders());
    }

    /**
     * Connections are never established, as where sockets can't be reached; the warm-up must still end long before its time
     * limit.
     */
    @Test
    void isPlayedWithinTheProcessWhereNobodyComesToSockets() throws Exception {
        List<Path> before = folders();
        Transport deaf = new Transport(Transport.UNIX_DOMAIN.serverChannelType(), NeverConnects.class);
        long start = System.nanoTime();
        assertTrue(WarmUp.run(config(), deaf, 60_000));
        assertTrue(System.nanoTime() - start < 30_000_000_000L, "the warm-up waited for a connection that is never established");
        assertEquals(before, folders());
    }

    /** A client channel whose connect never completes. */
    public static final class NeverConnects extends NioSocketChannel {
        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) {
            return false;
        }
    }

    @Test
    void isCutShortWhereItTakesTooLong() throws Exception {
        List<Path> before = folders();
        assertFalse(WarmUp.run(config(), 1));
        assertEquals(before, folders());
    }
}
