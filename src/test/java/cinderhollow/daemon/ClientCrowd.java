package cinderhollow.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/** Clients that each send the same kind of input, stay for a while, and come again with a new connection. */
final class ClientCrowd implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;
    /** A client whose connection was refused or closed comes again after this time. */
    private static final int RETRY_DELAY_MILLIS = 1;

    private final InetSocketAddress gateway;
    private final LongFunction<String> input;
    private final int stayMillis;
    private final AtomicLong connections = new AtomicLong();
    private volatile boolean ended;

    private ClientCrowd(InetSocketAddress gateway, LongFunction<String> input, int stayMillis) {
        this.gateway = gateway;
        this.input = input;
        this.stayMillis = stayMillis;
    }

    /**
     * Starts so many clients. {@code input} returns what is sent on a connection, by the connection's number. Each client closes
     * its connection after {@code stayMillis}, whatever it is sent; it reads nothing.
     */
    static ClientCrowd start(InetSocketAddress gateway, int clients, int stayMillis, LongFunction<String> input) {
        ClientCrowd crowd = new ClientCrowd(gateway, input, stayMillis);
        for (int i = 0; i < clients; i++) {
            BodyMemoryTest.startDaemonThread(crowd::comeAgainAndAgain);
        }
        return crowd;
    }

    private void comeAgainAndAgain() throws IOException {
        while (!ended) {
            try (Socket socket = new Socket()) {
                socket.connect(gateway, CONNECT_TIMEOUT_MILLIS);
                socket.getOutputStream().write(input.apply(connections.getAndIncrement()).getBytes(StandardCharsets.US_ASCII));
                sleep(stayMillis);
            } catch (IOException e) {
                sleep(RETRY_DELAY_MILLIS); // The gateway has closed the connection, or does not accept any.
            }
        }
    }

    /** Sleeps within work that reports all its faults as those of connections. */
    static void sleep(int millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Returns the number of connections that were opened so far. */
    long connections() {
        return connections.get();
    }

    @Override
    public void close() {
        ended = true;
    }
}
