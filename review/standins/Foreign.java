import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.concurrent.locks.LockSupport;

/** A host's second copy of an answer comes some milliseconds late, from another data centre. */
final class Foreign {
    /** One way between data centres, as the brief has it; how late a second copy comes; one answer in so many has one. */
    private static final long ONE_WAY_NANOS = 1_200_000;
    private static final int COPY_LATE_MILLIS = 2, COPY_EVERY = 50, FULL_EVERY = 10, CLIENTS = 12, GATEWAYS = 3, RUN_SECONDS = 10;

    /** Passes on what comes after the time of one way. */
    private static void pump(InputStream in, OutputStream out, Socket a, Socket b) {
        BlockingQueue<Object[]> queue = new LinkedBlockingQueue<>();
        Kit.start(() -> {
            try {
                byte[] buffer = new byte[65536];
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    queue.add(new Object[] {System.nanoTime() + ONE_WAY_NANOS, Arrays.copyOf(buffer, n)});
                }
            } catch (IOException e) {
                // Ended below.
            }
            queue.add(new Object[] {System.nanoTime() + ONE_WAY_NANOS, null});
        });
        Kit.start(() -> {
            try (a; b) {
                while (true) {
                    Object[] next = queue.take();
                    for (long left = (long) next[0] - System.nanoTime(); left > 0; left = (long) next[0] - System.nanoTime()) {
                        LockSupport.parkNanos(left);
                    }
                    if (next[1] == null) {
                        return;
                    }
                    out.write((byte[]) next[1]);
                }
            } catch (IOException | InterruptedException e) {
                // The other side has gone.
            }
        });
    }

    private static int proxy(int target) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress("127.0.0.1", 0));
        Kit.start(() -> {
            while (true) {
                try {
                    Socket near = listener.accept();
                    Socket far = new Socket("127.0.0.1", target);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    pump(near.getInputStream(), far.getOutputStream(), near, far);
                    pump(far.getInputStream(), near.getOutputStream(), near, far);
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener.getLocalPort();
    }

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], 100, () -> {
            AtomicInteger copies = new AtomicInteger();
            Set<String> turnedAway = ConcurrentHashMap.newKeySet();
            Map<String, Integer> runs = new ConcurrentHashMap<>();
            Kit.Discovery discovery = new Kit.Discovery();
            for (String zone : List.of("sincan", "golbasi")) {
                AtomicInteger answers = new AtomicInteger();
                Kit.Host host = new Kit.Host((m, socket, in, out) -> {
                    Kit.sleep(8);
                    if (answers.get() % FULL_EVERY == FULL_EVERY / 3 && turnedAway.add(m.id())) {
                        // A full queue: usual business of a host, with and without the disruption.
                        answers.incrementAndGet();
                        out.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                                .getBytes());
                        return true;
                    }
                    if (runs.merge(m.id(), 1, Integer::sum) > 1) {
                        Kit.note("host in %s: %s RUNS A SECOND TIME", zone, m.id());
                    }
                    byte[] answer = Kit.answer("recorded " + m.id());
                    out.write(answer);
                    if (answers.incrementAndGet() % COPY_EVERY == 0 && Kit.TROUBLE) {
                        sendCopyIfNothingWaits(m.id(), answer, socket, in, out, copies);
                    }
                    return true;
                });
                discovery.endpoints.put("host-" + zone, Kit.endpoint("host-" + zone, "127.0.0.1:" + proxy(host.port), zone,
                        "up", 0));
            }
            List<Kit.Gateway> gateways = new ArrayList<>();
            for (int g = 0; g < GATEWAYS; g++) {
                gateways.add(new Kit.Gateway("n" + g, discovery.port, Kit.settings("unsafe", 750, 300)
                        .replace("\"group_size\":1,\"my_number\":0", "\"group_size\":" + GATEWAYS + ",\"my_number\":" + g),
                        discovery.whole(), 1024, Map.of()));
            }
            for (Kit.Gateway gateway : gateways) {
                gateway.awaitReady();
            }
            AtomicInteger served = new AtomicInteger(), foreign = new AtomicInteger(), other = new AtomicInteger();
            long until = System.nanoTime() + RUN_SECONDS * 1_000_000_000L;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                Kit.Gateway gateway = gateways.get(c % GATEWAYS);
                clients.add(Kit.start(() -> askInTurn(gateway, client, until, served, foreign, other)));
            }
            for (Thread t : clients) {
                t.join();
            }
            for (Kit.Gateway gateway : gateways) {
                gateway.noteLog();
            }
            Kit.note("%d second copies; %d submits ran, %d of them more than once", copies.get(), runs.size(),
                    runs.values().stream().filter(n -> n > 1).count());
            Kit.note("%d submits served with their own answer, %d WITH THE ANSWER OF ANOTHER, %d refused or failed", served.get(),
                    foreign.get(), other.get());
            if (served.get() == 0) {
                throw new IllegalStateException("nothing was served");
            }
            return foreign.get() == 0 && runs.values().stream().allMatch(n -> n == 1);
        });
    }

    /** Waits some milliseconds; if no further request has come on the connection by then, sends the answer once more. */
    private static void sendCopyIfNothingWaits(String id, byte[] answer, Socket socket, InputStream in, OutputStream out,
            AtomicInteger copies) throws IOException {
        socket.setSoTimeout(COPY_LATE_MILLIS);
        in.mark(1);
        try {
            in.read();
            in.reset();
        } catch (SocketTimeoutException nothingWaits) {
            out.write(answer);
            copies.incrementAndGet();
            Kit.note("host: a second copy of the answer to %s, %d ms after the first", id, COPY_LATE_MILLIS);
        }
        socket.setSoTimeout(0);
    }

    /** Sends one submit after the other on one connection. */
    private static void askInTurn(Kit.Gateway gateway, int client, long until, AtomicInteger served, AtomicInteger foreign,
            AtomicInteger other) {
        Kit.Client connection = null;
        for (int i = 0; System.nanoTime() < until; i++) {
            String id = "c" + client + "r" + i;
            try {
                connection = connection == null ? new Kit.Client(gateway.port) : connection;
                connection.send(Kit.post(id, 240, "nomination of " + id));
                Kit.Message m = connection.read(2_000);
                if (m.status != 200) {
                    if (other.incrementAndGet() <= 50) {
                        Kit.note("client: %s was answered %d %s", id, m.status, m.text().strip());
                    }
                } else if (!m.text().equals("recorded " + id)) {
                    if (foreign.incrementAndGet() <= 200) {
                        Kit.note("client: %s was served with '%s'", id, m.text());
                    }
                } else {
                    served.incrementAndGet();
                }
                if ("close".equalsIgnoreCase(m.headers.get("connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                Kit.note("client: %s: %s", id, e);
                connection = null;
            }
        }
    }
}
