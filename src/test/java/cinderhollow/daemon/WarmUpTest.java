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
class WarmUpTest {
    private static GatewayConfig config() throws IOException {
        String settings = GatewayFixture.SETTINGS.replace("IDLE", "15000000000");
        InetSocketAddress unusedAddress = new InetSocketAddress("127.0.0.1", 1);
        return GatewayConfig.read(Json.read("{\"seed\":\"2a\",\"settings\":" + settings + "}"),
                unusedAddress, unusedAddress, null);
    }

    /** Returns the warm-up folders of this process; other processes on the machine may be warming up at the same time. */
    private static List<Path> warmUpFolders() throws IOException {
        String ownPrefix = "rehearsal-" + ProcessHandle.current().pid() + "-";
        try (var files = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
            return files.filter(f -> f.getFileName().toString().startsWith(ownPrefix)).toList();
        }
    }

    @Test
    void runsToItsEndAndLeavesNoFiles() throws Exception {
        List<Path> before = warmUpFolders();
        assertTrue(WarmUp.run(config(), GatewayFixture.TIMEOUT_MILLIS * 6));
        assertEquals(before, warmUpFolders());
    }

    /**
     * Connections are never established, as where sockets can't be reached; the warm-up must still end long before its time
     * limit.
     */
    @Test
    void runsInProcessWhereNoConnectionComesUp() throws Exception {
        List<Path> before = warmUpFolders();
        Transport neverConnecting = new Transport(Transport.UNIX_DOMAIN.serverChannelType(), NeverConnectingChannel.class);
        long start = System.nanoTime();
        assertTrue(WarmUp.run(config(), neverConnecting, 60_000));
        assertTrue(System.nanoTime() - start < 30_000_000_000L, "the warm-up waited for a connection that is never established");
        assertEquals(before, warmUpFolders());
    }

    /** A client channel whose connect never completes. */
    public static final class NeverConnectingChannel extends NioSocketChannel {
        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) {
            return false;
        }
    }

    @Test
    void isStoppedWhereItTakesTooLong() throws Exception {
        List<Path> before = warmUpFolders();
        assertFalse(WarmUp.run(config(), 1));
        assertEquals(before, warmUpFolders());
    }
}
