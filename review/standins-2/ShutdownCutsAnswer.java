import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart while clients read large answers slowly, and the servers still give them. The platform sends SIGTERM, and
 * SIGKILL much later than it may.
 */
final class ShutdownCutsAnswer extends Rig {
    private static final int CLIENTS = 4, ANSWER_BYTES = 30_000_000, PIECE_BYTES = 150_000, PIECE_MILLIS = 100;
    private static final int KILL_AFTER_MILLIS = 60_000;
    private final byte[] largeAnswer = new byte[ANSWER_BYTES];
    private final AtomicInteger whole = new AtomicInteger(), cut = new AtomicInteger(), ended = new AtomicInteger();

    private ShutdownCutsAnswer(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new ShutdownCutsAnswer(arguments).start();
    }

    @Override
    void run() throws Exception {
        discovery = new Discovery();
        for (int i = 0; i < 3; i++) {
            Server server = new Server("s-" + i, (self, connection, request) -> {
                sleep(10);
                connection.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                try {
                    connection.getOutputStream().write(largeAnswer);
                    note("server " + self.name + " has given the whole answer to " + request.id());
                } catch (IOException e) {
                    note("server " + self.name + " could not give the rest of the answer to " + request.id()
                            + ", the gateway ended the connection: " + e.getMessage());
                }
            });
            discovery.set(server.name, server.address(), "up");
        }
        GatewayProcess gateway = startGateway("n0", ankara(1), 1024);
        for (int i = 0; i < CLIENTS; i++) {
            background(() -> readLargeAnswer(gateway));
        }
        sleep(2_000);
        if (trouble) {
            gateway.signal("TERM");
            note("SIGTERM to the gateway; SIGKILL may come 1450 ms later, and comes " + KILL_AFTER_MILLIS + " ms later");
            background(() -> {
                if (!gateway.process.waitFor(KILL_AFTER_MILLIS, TimeUnit.MILLISECONDS)) {
                    note("SIGKILL to the gateway");
                    gateway.process.destroyForcibly();
                } else {
                    note("the gateway has ended by itself, exit code " + gateway.process.exitValue());
                }
            });
        }
        for (int i = 0; i < 600 && ended.get() < CLIENTS; i++) {
            sleep(100);
        }
        sleep(200);
        if (whole.get() + cut.get() < CLIENTS) {
            finish(CANNOT_RUN, "an answer did not begin, or not all ended: whole " + whole + ", cut " + cut);
        }
        finish(cut.get() > 0 ? BROKEN : HELD, whole + " answers whole, " + cut + " cut off by the gateway");
    }

    private void readLargeAnswer(GatewayProcess gateway) throws Exception {
        String id = newId();
        long got = 0;
        try (Client client = gateway.connect(256 * 1024)) {
            client.write(get("status", id, 750));
            InputStream in = client.socket.getInputStream();
            client.socket.setSoTimeout(20_000);
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                int c = in.read();
                if (c < 0) {
                    throw new IOException("no answer");
                }
                head.append((char) c);
            }
            if (!head.toString().startsWith("HTTP/1.1 200")) {
                throw new IOException("not served: " + head);
            }
            note("the answer to " + id + " has begun");
            byte[] piece = new byte[PIECE_BYTES];
            while (got < ANSWER_BYTES) {
                int n = in.readNBytes(piece, 0, (int) Math.min(PIECE_BYTES, ANSWER_BYTES - got));
                got += n;
                if (n == 0) {
                    throw new IOException("the gateway ended the connection");
                }
                sleep(PIECE_MILLIS);
            }
            whole.incrementAndGet();
            note("the answer to " + id + " is whole");
        } catch (IOException e) {
            if (got > 0) {
                cut.incrementAndGet();
            }
            note("the answer to " + id + " ended after " + got + " of " + ANSWER_BYTES + " bytes: " + e.getMessage());
        } finally {
            ended.incrementAndGet();
        }
    }
}
