import java.io.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** Large answers in chunks, which the host gives in pieces, 64 KiB a second. */
final class Cut {
    private static final int REQUESTS = 8;
    private static final int SIZE = 240 * 1024, PIECE = 24 * 1024, PAUSE_MILLIS = 375;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], 100, () -> {
            Kit.Discovery discovery = new Kit.Discovery();
            AtomicInteger cutAtHost = new AtomicInteger();
            for (int h = 0; h < 3; h++) {
                Kit.Host host = new Kit.Host((m, socket, in, out) -> {
                    Kit.sleep(20);
                    try {
                        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                        for (int given = 0; given < SIZE; given += PIECE) {
                            out.write((head + Integer.toHexString(PIECE) + "\r\n" + "x".repeat(PIECE) + "\r\n").getBytes());
                            head.setLength(0);
                            Kit.note("host: %s, %d bytes given", m.id(), given + PIECE);
                            if (Kit.TROUBLE) {
                                Kit.sleep(PAUSE_MILLIS);
                            }
                        }
                        out.write("0\r\n\r\n".getBytes());
                    } catch (IOException e) {
                        cutAtHost.incrementAndGet();
                        Kit.note("host: %s was cut off: %s", m.id(), e.getMessage());
                        throw e;
                    }
                    return true;
                });
                discovery.endpoints.put("host-" + h, Kit.endpoint("host-" + h, host.address(), "ostim", "up", 0));
            }
            Kit.Gateway gateway = new Kit.Gateway("n1", discovery.port, Kit.settings("unsafe", 750, 300), discovery.whole(),
                    1024, Map.of());
            gateway.awaitReady();
            int lost = 0;
            for (int i = 0; i < REQUESTS; i++) {
                try (Kit.Client c = new Kit.Client(gateway.port)) {
                    String id = "big" + i;
                    c.send(i % 2 == 0 ? Kit.get(id, 300) : Kit.post(id, 240, "nomination"));
                    Kit.Message m = c.read(10_000);
                    Kit.note("client: %s was answered %d, %d bytes%s", id, m.status, m.body.length, m.cut ? ", cut" : "");
                    lost += m.status == 200 && m.body.length == SIZE ? 0 : 1;
                }
            }
            gateway.noteLog();
            Kit.note("%d of %d large answers did not reach their client whole; %d were cut off at the host", lost, REQUESTS,
                    cutAtHost.get());
            return lost == 0;
        });
    }
}
