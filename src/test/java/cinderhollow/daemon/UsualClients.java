package cinderhollow.daemon;

import cinderhollow.daemon.ScriptedServer.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send small requests one after the other, and count how these end. */
final class UsualClients implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 1_000;
    /** An answer that comes later than this after its request's time counts as lost. */
    private static final int LOST_AFTER_MILLIS = 500;
    private static final int PAUSE_MILLIS = 20;

    private final InetSocketAddress gateway;
    private final AtomicInteger served = new AtomicInteger(), refused = new AtomicInteger(), lost = new AtomicInteger(),
            lastNumber = new AtomicInteger();
    private volatile boolean ended;
    /** How the last request without an answer ended; null if there is none. */
    private volatile String lastFault;

    private UsualClients(InetSocketAddress gateway) {
        this.gateway = gateway;
    }

    /** Starts so many clients. */
    static UsualClients start(InetSocketAddress gateway, int clients) {
        UsualClients usual = new UsualClients(gateway);
        for (int i = 0; i < clients; i++) {
            BodyMemoryTest.startDaemonThread(usual::send);
        }
        return usual;
    }

    private void send() throws IOException {
        Socket socket = connect();
        while (!ended) {
            Message answer = null;
            try {
                String request = GatewayFixture.statusRequest("usual-" + lastNumber.incrementAndGet(), TIMEOUT_MILLIS);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                answer = Message.read(socket.getInputStream());
                lastFault = answer == null ? "closed without an answer" : lastFault;
                count(answer);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            } catch (IOException e) {
                lastFault = e.toString();
                count(null);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            if (answer == null || "close".equalsIgnoreCase(answer.header("Connection"))) {
                socket.close();
                socket = connect();
            }
        }
        socket.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(TIMEOUT_MILLIS + LOST_AFTER_MILLIS);
        socket.connect(gateway);
        return socket;
    }

    private void count(Message answer) {
        if (!ended) {
            (answer == null ? lost : answer.firstLine().contains(" 200 ") ? served : refused).incrementAndGet();
        }
    }

    /** Returns the number of requests that were answered 200. */
    int served() {
        return served.get();
    }

    /** Returns the number of requests without an answer half a second after their time. */
    int lost() {
        return lost.get();
    }

    @Override
    public String toString() {
        return served + " served, " + refused + " refused or failed, " + lost + " lost"
                + (lastFault == null ? "" : ", the last one: " + lastFault);
    }

    @Override
    public void close() {
        ended = true;
    }
}
