import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** The traffic jumps to 2.3 times the usual for some seconds. One request in twenty is a submit with a body of 150 kB. */
final class TrafficJump extends Rig {
    private static final int SERVERS = 4, WORK_MILLIS = 35, WAITING_ROOM = 20, REQUESTS_PER_SECOND = 70, BODY_BYTES = 150_000;
    private static final double JUMP = 2.3;
    private static final int CALM_MILLIS = 6_000, JUMP_MILLIS = 8_500, AFTER_MILLIS = 6_000;
    private static final int VIEW_TIMEOUT_MILLIS = 800, SUBMIT_TIMEOUT_MILLIS = 1_500;
    /** A request is lost if its answer comes later than this after its time. */
    private static final int LOST_AFTER_MILLIS = 500 + 50;
    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    private final AtomicInteger lost = new AtomicInteger(), open = new AtomicInteger();
    private final ConcurrentLinkedDeque<Client> idleConnections = new ConcurrentLinkedDeque<>();
    private volatile double factor = 1;
    private volatile boolean over;

    private TrafficJump(String[] arguments) throws IOException {
        super(arguments);
    }

    public static void main(String[] arguments) throws Exception {
        new TrafficJump(arguments).start();
    }

    @Override
    void run() throws Exception {
        discovery = new Discovery();
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server("s-" + i, oneCore());
            discovery.set(server.name, server.address(), "up");
        }
        GatewayProcess gateway = startGateway("n0", amman(1), 1024);
        background(() -> ask(gateway));
        sleep(CALM_MILLIS);
        note("before: " + new TreeMap<>(results) + ", lost " + lost);
        factor = trouble ? JUMP : 1;
        note(trouble ? "the traffic jumps to " + JUMP + " times the usual" : "the traffic stays as it is");
        sleep(JUMP_MILLIS);
        factor = 1;
        note("the traffic is the usual: " + new TreeMap<>(results) + ", lost " + lost);
        sleep(AFTER_MILLIS);
        over = true;
        for (int i = 0; i < 200 && open.get() > 0; i++) {
            sleep(100);
        }
        finish(lost.get() > 0 || !gateway.isAlive() ? BROKEN : results.isEmpty() ? CANNOT_RUN : HELD, new TreeMap<>(results)
                + ", lost " + lost + (gateway.isAlive() ? "" : "; the gateway ended"));
    }

    /** A server with one core, which works on one request at a time and turns away what doesn't fit into its waiting room. */
    private Handling oneCore() {
        Semaphore core = new Semaphore(1, true);
        AtomicInteger held = new AtomicInteger();
        return (server, connection, request) -> {
            if (held.incrementAndGet() > WAITING_ROOM) {
                held.decrementAndGet();
                connection.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            core.acquire();
            sleep(WORK_MILLIS);
            core.release();
            held.decrementAndGet();
            answer(connection, request.id());
        };
    }

    /** Sends requests at the present rate, whatever becomes of the earlier ones. */
    private void ask(GatewayProcess gateway) {
        ExecutorService clients = Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            return thread;
        });
        long due = System.nanoTime();
        for (int n = 0; !over; n++) {
            int number = n;
            open.incrementAndGet();
            clients.submit(() -> {
                try {
                    boolean large = number % 20 == 0;
                    boolean view = !large && number % 3 != 0;
                    request(gateway, large ? "large submit" : view ? "view" : "submit", view, large ? BODY_BYTES : 0);
                } catch (IOException e) {
                    note("not sent: " + e);
                } finally {
                    open.decrementAndGet();
                }
            });
            due += (long) (NANOS_PER_SECOND / (REQUESTS_PER_SECOND * factor));
            LockSupport.parkNanos(Math.max(0, due - System.nanoTime()));
        }
    }

    private void request(GatewayProcess gateway, String what, boolean view, int length) throws IOException {
        int timeoutMillis = view ? VIEW_TIMEOUT_MILLIS : SUBMIT_TIMEOUT_MILLIS;
        String id = newId();
        Client client = idleConnections.poll();
        boolean kept = client != null;
        client = kept ? client : gateway.connect();
        while (true) {
            long writtenAt = 0;
            try {
                client.write(view ? get("ledger-view", id, timeoutMillis) : postHead("filing-submit", id, timeoutMillis, length));
                client.write(new byte[length]);
                writtenAt = System.nanoTime();
                Answer answer = client.readAnswer(20_000);
                count(what + " " + answer.status);
                long millis = (answer.at - writtenAt) / 1_000_000;
                if (millis > timeoutMillis + LOST_AFTER_MILLIS) {
                    lost.incrementAndGet();
                    note("lost " + id + ", " + what + ": answered " + answer.status + ", " + millis
                            + " ms after its last byte, its time " + timeoutMillis + " ms");
                }
                if (answer.endsConnection()) {
                    client.close();
                } else {
                    idleConnections.push(client);
                }
                return;
            } catch (IOException e) {
                client.close();
                if (kept) {
                    // The gateway may close a connection between requests; then the client sends the request once more.
                    kept = false;
                    client = gateway.connect();
                    continue;
                }
                if (writtenAt > 0) {
                    lost.incrementAndGet();
                    note("lost " + id + ", " + what + ": " + e.getMessage() + ", " + (System.nanoTime() - writtenAt) / 1_000_000
                            + " ms after its last byte");
                } else {
                    count(what + " not written whole");
                }
                return;
            }
        }
    }

    private void count(String result) {
        results.computeIfAbsent(result, r -> new AtomicInteger()).incrementAndGet();
    }
}
