import java.io.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** Hundreds of clients read large answers slowly, beside a light usual traffic. */
final class SlowReaders {
    private static final int SLOW_CLIENTS = 300, HOSTS = 9, USUAL_CLIENTS = 6;
    private static final long ANSWER_BYTES = 32L << 20;
    /** 4 KiB each 50 ms: 80 kB/s. */
    private static final int READ_BYTES = 4096, READ_EVERY_MILLIS = 50;
    private static final double LATE_MILLIS = 550;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], 110, () -> {
            Kit.Discovery discovery = new Kit.Discovery();
            byte[] block = new byte[64 * 1024];
            for (int h = 0; h < HOSTS; h++) {
                Kit.Host host = new Kit.Host((m, socket, in, out) -> {
                    Kit.sleep(10);
                    if (!m.id().startsWith("slow") || !Kit.TROUBLE) {
                        out.write(Kit.answer("recorded " + m.id()));
                        return true;
                    }
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n").getBytes());
                    for (long given = 0; given < ANSWER_BYTES; given += block.length) {
                        out.write(block);
                    }
                    return true;
                });
                discovery.endpoints.put("host-" + h, Kit.endpoint("host-" + h, host.address(), "ostim", "up", 0));
            }
            Kit.Gateway gateway = new Kit.Gateway("n1", discovery.port, Kit.settings("unsafe", 750, 300), discovery.whole(),
                    1024, Map.of());
            gateway.awaitReady();
            AtomicBoolean over = new AtomicBoolean();
            AtomicInteger served = new AtomicInteger(), refused = new AtomicInteger(), failed = new AtomicInteger(),
                    lost = new AtomicInteger(), begun = new AtomicInteger(), notBegun = new AtomicInteger(),
                    cut = new AtomicInteger();
            for (int c = 0; c < USUAL_CLIENTS; c++) {
                int client = c;
                Kit.start(() -> usualClient(gateway, client, over, served, refused, failed, lost));
            }
            Kit.sleep(3_000);
            Kit.note("usual traffic alone: %d served, %d refused, %d failed, %d lost", served.get(), refused.get(), failed.get(),
                    lost.get());
            for (int c = 0; c < SLOW_CLIENTS; c++) {
                int client = c;
                Kit.start(() -> slowClient(gateway, client, over, begun, notBegun, cut));
                Kit.sleep(20);
            }
            for (int second = 0; second < 16 && gateway.process.isAlive(); second += 2) {
                Kit.sleep(2_000);
                Kit.note("usual: %d served, %d refused, %d failed, %d lost; large: %d begun, %d refused or failed, %d broken off;"
                        + " gateway %s", served.get(), refused.get(), failed.get(), lost.get(), begun.get(), notBegun.get(),
                        cut.get(), gateway.process.isAlive() ? "runs" : "HAS ENDED");
            }
            over.set(true);
            boolean alive = gateway.process.isAlive();
            gateway.noteLog();
            return alive && lost.get() == 0 && cut.get() == 0;
        });
    }

    /** Asks twice a second and waits for each answer for half a second over its time. */
    private static void usualClient(Kit.Gateway gateway, int client, AtomicBoolean over, AtomicInteger served,
            AtomicInteger refused, AtomicInteger failed, AtomicInteger lost) {
        Kit.Client connection = null;
        for (int i = 0; !over.get(); i++) {
            String id = "u" + client + "r" + i;
            boolean submit = i % 2 == 0;
            int time = submit ? 240 : 600;
            double sentAt = Kit.ms();
            boolean written = false;
            try {
                connection = connection == null ? new Kit.Client(gateway.port) : connection;
                sentAt = Kit.ms();
                connection.send(submit ? Kit.post(id, time, "nomination " + id) : Kit.get(id, time));
                written = true;
                Kit.Message m = connection.read(time + (int) LATE_MILLIS);
                if (Kit.ms() - sentAt > time + LATE_MILLIS) {
                    throw new IOException("answered late");
                }
                (m.status == 200 ? served : m.status == 503 ? refused : failed).incrementAndGet();
                if ("close".equalsIgnoreCase(m.headers.get("connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                if (written && !over.get()) {
                    lost.incrementAndGet();
                    Kit.note("usual client: %s %s, sent at %.1f, within %d ms: no answer in time: %s", submit ? "submit" : "status",
                            id, sentAt, time, e.getMessage());
                }
                if (connection != null) {
                    connection.close();
                }
                connection = null;
            }
            Kit.sleep(500);
        }
    }

    private static void slowClient(Kit.Gateway gateway, int client, AtomicBoolean over, AtomicInteger begun,
            AtomicInteger notBegun, AtomicInteger cut) {
        String id = "slow" + client;
        long got = 0;
        boolean streaming = false;
        try (Kit.Client c = new Kit.Client(gateway.port, 16 * 1024)) {
            c.send(Kit.get(id, 600));
            InputStream in = c.socket.getInputStream();
            byte[] buffer = new byte[READ_BYTES];
            int n = in.read(buffer);
            streaming = n > 0 && new String(buffer, 0, Math.min(n, 12)).endsWith("200");
            (streaming ? begun : notBegun).incrementAndGet();
            if (!streaming || !Kit.TROUBLE) {
                return;
            }
            for (; n > 0 && !over.get(); n = in.read(buffer)) {
                got += n;
                Kit.sleep(READ_EVERY_MILLIS);
            }
            if (n < 0 && got < ANSWER_BYTES) {
                throw new EOFException("the connection ended");
            }
        } catch (IOException e) {
            if (streaming && !over.get()) {
                cut.incrementAndGet();
                Kit.note("slow client: %s was broken off after %d of %d bytes: %s", id, got, ANSWER_BYTES, e.getMessage());
            }
        }
    }
}
