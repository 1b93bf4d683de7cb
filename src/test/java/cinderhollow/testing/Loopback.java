package cinderhollow.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Provides a loopback address that no other process uses. The system assigns the ports of 127.0.0.1 to every client on that
 * address, so a port that was free there may belong to another process by the time a process started by a test binds it.
 */
public final class Loopback {
    private static final int BYTE_MASK = 0xff, SECOND_OCTET_BASE = 64;

    private Loopback() { }

    /** Returns the loopback address of this test process, which is derived from its process id. */
    public static InetAddress processAddress() throws IOException {
        long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(new byte[] {127, (byte) (SECOND_OCTET_BASE + (pid >> 16) % SECOND_OCTET_BASE),
                (byte) (pid >> 8 & BYTE_MASK), (byte) (pid & BYTE_MASK)});
    }

    /** Returns a port that is free on {@link #processAddress}. */
    public static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, processAddress())) {
            return probe.getLocalPort();
        }
    }
}
