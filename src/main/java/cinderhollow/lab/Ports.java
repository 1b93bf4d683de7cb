package cinderhollow.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for listeners that must come back at the same address. They lie below those that the system gives to
 * outgoing connections. Guards against a connection that takes a listener's port while the listener is down.
 */
final class Ports {
    private static final int FIRST = 12_000, COUNT = 18_000, STEP = 977;
    /** Several labs in this process share it; those of other processes begin elsewhere. */
    private static final AtomicInteger NEXT = new AtomicInteger((int) (ProcessHandle.current().pid() * STEP % COUNT));

    private Ports() { }

    /** A port that was free a moment ago, and that this process gives to nobody else for long. */
    static int free() throws IOException {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST + " to " + (FIRST + COUNT - 1));
    }

    private static boolean isFree(int port) {
        try {
            new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
