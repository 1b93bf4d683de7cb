import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * No case but a look at two entries of KNOWN-RED.txt: a gateway is held up for 0.15 s, while a burst of clients comes and leaves.
 * Run from the root: {@code java -cp target/review HeldUp FOLDER}, which ends with 11 if submits ran too long after their clients left,
 * and with 10 if not.
 */
final class HeldUp {
    private static final int BURST = 400, HELD_UP_MILLIS = 150, HOSTS = 9, USUAL_CLIENTS = 8;
    /** 0.1 s after the close, and 50 ms that each limit is longer on sockets. */
    private static final double ALLOWED_MILLIS = 150;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], 60, () -> {
            Map<String, Double> closedAt = new ConcurrentHashMap<>();
            Map<String, Double> ranAt = new ConcurrentHashMap<>();
            Kit.Discovery discovery = new Kit.Discovery();
            for (int h = 0; h < HOSTS; h++) {
                Kit.Host host = new Kit.Host((m, socket, in, out) -> {
                    ranAt.put(m.id(), Kit.ms());
                    Kit.sleep(10);
                    out.write(Kit.answer("recorded " + m.id()));
                    return true;
                });
                discovery.endpoints.put("host-" + h, Kit.endpoint("host-" + h, host.address(), "ostim", "up", 0));
            }
            Kit.Gateway gateway = new Kit.Gateway("n1", discovery.port, Kit.settings("unsafe", 750, 300), discovery.whole(), 1024,
                    Map.of());
            gateway.awaitReady();
            AtomicBoolean over = new AtomicBoolean();
            for (int c = 0; c < USUAL_CLIENTS; c++) {
                int client = c;
                Kit.start(() -> usualClient(gateway.port, client, over));
            }
            Kit.sleep(3_000);
            if (Kit.TROUBLE) {
                gateway.signal("STOP");
            }
            double begin = Kit.ms();
            List<Thread> burst = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                String id = "b" + i;
                burst.add(Kit.start(() -> askAndLeave(gateway.port, id, closedAt)));
            }
            for (Thread t : burst) {
                t.join();
            }
            if (Kit.TROUBLE) {
                Kit.sleep(Math.max(0, HELD_UP_MILLIS - 3 - (Kit.ms() - begin)));
                gateway.signal("CONT");
                Kit.note("held up for %.0f ms", Kit.ms() - begin);
            }
            Kit.sleep(2_000);
            over.set(true);
            gateway.noteLog();
            long ran = closedAt.keySet().stream().filter(ranAt::containsKey).count();
            double[] late = closedAt.keySet().stream().filter(ranAt::containsKey)
                    .mapToDouble(id -> ranAt.get(id) - closedAt.get(id)).filter(ms -> ms > ALLOWED_MILLIS).toArray();
            Kit.note("%d of %d submits ran though their clients had closed, %d of them over %.0f ms after the close, the last %.0f ms",
                    ran, closedAt.size(), late.length, ALLOWED_MILLIS, Arrays.stream(late).max().orElse(0));
            return late.length == 0;
        });
    }

    private static void usualClient(int port, int client, AtomicBoolean over) {
        try (Kit.Client c = new Kit.Client(port)) {
            for (int i = 0; !over.get(); i++) {
                c.send(Kit.post("u" + client + "r" + i, 240, "nomination"));
                c.read(3_000);
                Kit.sleep(20);
            }
        } catch (IOException e) {
            Kit.note("usual client %d: %s", client, e);
        }
    }

    private static void askAndLeave(int port, String id, Map<String, Double> closedAt) {
        try (Kit.Client c = new Kit.Client(port)) {
            c.send(Kit.post(id, 240, "nomination"));
            c.close();
            closedAt.put(id, Kit.ms());
        } catch (IOException e) {
            Kit.note("client %s: %s", id, e);
        }
    }
}
