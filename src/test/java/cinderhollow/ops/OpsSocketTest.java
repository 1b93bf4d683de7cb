package cinderhollow.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.RequestCounters;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The operators' socket with valid, invalid and idle connections, and a gateway whose replies the test sets. */
class OpsSocketTest {
    private static final int TIMEOUT_MILLIS = 20_000, MAX_CONNECTIONS = 16;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Boolean> standbyCalls = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean serving = true;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws Exception {
        OpsSocket opsSocket = new OpsSocket(group.next(), new GatewayControl() {
            @Override
            public CompletableFuture<Boolean> isServing() {
                return CompletableFuture.completedFuture(serving);
            }

            @Override
            public CompletableFuture<GatewayStats> stats() {
                return CompletableFuture.supplyAsync(() -> new GatewayStats(
                        Map.of("sub\"mit", new RequestCounters.Counts(1, 2, 3, 4)), 5, 6, 7, 8, 9), group.next());
            }

            @Override
            public CompletableFuture<Void> setStandby(boolean empty) {
                standbyCalls.add(empty);
                return CompletableFuture.completedFuture(null);
            }
        }, MAX_CONNECTIONS);
        opsSocket.open(new InetSocketAddress("127.0.0.1", 0)).await(TIMEOUT_MILLIS);
        address = (InetSocketAddress) opsSocket.address();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(TIMEOUT_MILLIS);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads until the operators' socket ends the connection. */
    private static String readReply(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private String execute(String text) throws IOException {
        Socket socket = connect();
        write(socket, text);
        return readReply(socket);
    }

    @Test
    void eachCommandHasOneReplyAndTheConnectionEnds() throws Exception {
        assertEquals("200 serving\n", execute("status\n"));
        assertEquals("200 standby\n", execute("standby\r\n"));
        assertEquals("200 active\n", execute(" active \n"));
        assertEquals(List.of(true, false), standbyCalls);
        serving = false;
        assertTrue(execute("status\n").startsWith("400 "));
        assertEquals("{\"operations\":{\"sub\\\"mit\":{\"fulfilled\":1,\"throttled\":2,\"faulted\":3,\"relayed\":4}},\"relayed\":4,"
                + "\"open_requests\":5,\"registry_entries\":6,\"out_of_rotation\":7,\"cfg_accepted\":8,\"cfg_invalid\":9}\nEOF\n",
                execute("stats\n"));
    }

    @Test
    void aLineMayComeInPiecesAndASecondOneIsNotAnswered() throws Exception {
        Socket slowSocket = connect();
        for (String piece : List.of("s", "ta", "tus", "\r")) {
            write(slowSocket, piece);
            assertEquals("200 serving\n", execute("status\n"), "while another connection has sent part of a command");
        }
        write(slowSocket, "\nstandby\n");
        assertEquals("200 serving\n", readReply(slowSocket));
        assertEquals(List.of(), standbyCalls);
    }

    @Test
    void unknownCommandsAreRejected() throws Exception {
        for (String text : List.of("\n", "reboot\n", "STATUS\n", "\0\1\377\n", "status now\n", "x".repeat(100_000) + "\n")) {
            assertTrue(execute(text).startsWith("400 "), text.substring(0, Math.min(20, text.length())));
        }
    }

    /** Guards against idle connections, without a command or with part of one, that use up the limit and block valid ones. */
    @Test
    void idleConnectionsAreClosedForNewOnes() throws Exception {
        for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
            write(connect(), i % 2 == 0 ? "" : "stat");
            if (i % 10 == 0) {
                assertEquals("200 serving\n", execute("status\n"));
            }
        }
        assertEquals("200 serving\n", execute("status\n"));
    }
}
