package cinderhollow.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * A loopback address that no other process uses. Guards against a port that was free a moment ago and is another process's by
 * the time a started one binds it: the system gives out the ports of 127.0.0.1 to every client there.
 */
public final class Loopback {
    private static final int BYTE = 0xff, FIRST = 64;

    private Loopback() { }

    /** This test process's own, by its number. */
    public static InetAddress own() throws IOException {
        long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(new byte[] {127, (byte) (FIRST + (pid >> 16) % FIRST), (byte) (pid >> 8 & BYTE), (byte) (pid & BYTE)});
    }

    /** A port that nobody has there. */
    public static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, own())) {
            return any.getLocalPort();
        }
    }
}
