package cinderhollow.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for listeners that must be reopened at the same address. The ports lie below those that the system uses for
 * outgoing connections, so that no outgoing connection takes a listener's port while the listener is closed.
 */
final class Ports {
    private static final int FIRST_PORT = 12_000, PORT_COUNT = 18_000, PID_STRIDE = 977;
    /** Shared by all labs in this process. It starts at an offset that depends on the process id, to avoid other labs' ports. */
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PID_STRIDE % PORT_COUNT));

    private Ports() { }

    /** Returns a port that is free now, and that this process does not allocate again until all others have been tried. */
    static int allocate() throws IOException {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
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
