import java.io.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.regex.*;

/** A gateway is killed and started again, while the platform holds the clients' listener. */
final class Backlog {
    private static final int REQUESTS_PER_SECOND = 110, HOSTS = 9, RESTART_AFTER_MILLIS = 1_000;
    /** 0.1 s after the close, and 50 ms that each limit is longer on sockets. */
    private static final double ALLOWED_MILLIS = 150;

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments[0], 90, () -> {
            Map<String, Double> closedAt = new ConcurrentHashMap<>();
            Map<String, Double> ranAt = new ConcurrentHashMap<>();
            Map<String, String> told = new ConcurrentHashMap<>();
            Kit.Discovery discovery = new Kit.Discovery();
            for (int h = 0; h < HOSTS; h++) {
                int number = h;
                Kit.Host host = new Kit.Host((m, socket, in, out) -> {
                    ranAt.put(m.id(), Kit.ms());
                    Double closed = closedAt.get(m.id());
                    if (closed != null) {
                        Kit.note("host-%d: runs %s %.0f ms after its client has closed, told to take %s", number, m.id(),
                                Kit.ms() - closed, m.headers.get("x-timeout"));
                    }
                    Kit.sleep(10);
                    out.write(Kit.answer("recorded " + m.id()));
                    return true;
                });
                discovery.endpoints.put("host-" + h, Kit.endpoint("host-" + h, host.address(), "ostim", "up", 0));
            }
            Path config = Kit.work.resolve("n1.json");
            int port = Kit.freePort();
            Files.writeString(config, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                    + discovery.port + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                    + "\"sockets\":1024},\"known\":" + discovery.whole() + ",\"settings\":" + Kit.settings("unsafe", 750, 300) + "}");
            ProcessBuilder b = new ProcessBuilder("perl", "review/standins/platform.pl", "" + port)
                    .redirectError(ProcessBuilder.Redirect.INHERIT);
            b.environment().putAll(Map.of("LB_NAME", "n1", "LB_LISTEN", "127.0.0.1:" + port, "LB_DISCOVERY",
                    "127.0.0.1:" + discovery.port, "LB_CONFIG", config.toString(), "LB_INHERITED_FD", "0", "TMPDIR",
                    Files.createDirectories(Kit.work.resolve("tmp")).toString()));
            Process platform = Kit.started(b.start());
            BufferedReader from = new BufferedReader(new InputStreamReader(platform.getInputStream()));
            Kit.note("the platform holds port %s", from.readLine());
            Path log = Kit.work.resolve("n1.log");
            long first = start(platform, from, log);
            awaitReady(port);
            AtomicInteger served = new AtomicInteger(), refused = new AtomicInteger(), unanswered = new AtomicInteger();
            AtomicBoolean over = new AtomicBoolean();
            Kit.start(() -> {
                for (int i = 0; !over.get(); i++) {
                    String id = "r" + i;
                    Kit.start(() -> ask(port, id, closedAt, served, refused, unanswered));
                    Kit.sleep(1000.0 / REQUESTS_PER_SECOND);
                }
            });
            Kit.sleep(3_000);
            Kit.note("before: %d served, %d refused or failed, %d given up", served.get(), refused.get(), unanswered.get());
            if (Kit.TROUBLE) {
                Kit.note("SIGKILL to process %d", first);
                new ProcessBuilder("/bin/sh", "-c", "kill -KILL " + first).start().waitFor();
                Kit.sleep(RESTART_AFTER_MILLIS);
                start(platform, from, log);
            }
            Kit.sleep(6_000);
            over.set(true);
            Kit.sleep(1_000);
            Files.readAllLines(log).forEach(line -> Kit.note("    log: %s", line));
            List<String> late = ranAt.keySet().stream().filter(id -> closedAt.containsKey(id)
                    && ranAt.get(id) - closedAt.get(id) > ALLOWED_MILLIS).sorted().toList();
            Kit.note("%d served, %d refused or failed, %d given up; %d ran more than %.0f ms after their client had closed: %s",
                    served.get(), refused.get(), unanswered.get(), late.size(), ALLOWED_MILLIS, late);
            return late.isEmpty();
        });
    }

    private static long start(Process platform, BufferedReader from, Path log) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(Kit.ROOT.resolve("deploy/balancer.toml"))) {
            Matcher m = Pattern.compile("run = \"(.*)\"").matcher(line);
            run = m.matches() ? m.group(1) : run;
        }
        platform.getOutputStream().write((log + "\t" + run + "\n").getBytes());
        platform.getOutputStream().flush();
        long pid = Long.parseLong(from.readLine());
        Kit.note("gateway n1: process %d", pid);
        Kit.started(pid);
        return pid;
    }

    private static void awaitReady(int port) throws Exception {
        for (int i = 0; i < 100; i++) {
            try (Kit.Client c = new Kit.Client(port)) {
                c.send("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                if (c.read(3_000).status == 200) {
                    Kit.note("ready");
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Kit.sleep(100);
        }
        throw new IllegalStateException("the gateway did not become ready");
    }

    /** One submit on a connection of its own; its client gives up at 80% of the class's 300 ms and closes. */
    private static void ask(int port, String id, Map<String, Double> closedAt, AtomicInteger served, AtomicInteger refused,
            AtomicInteger unanswered) {
        double sentAt = Kit.ms();
        Kit.Client c = null;
        try {
            c = new Kit.Client(port);
            sentAt = Kit.ms();
            c.send(Kit.post(id, 240, "nomination of " + id));
            Kit.Message m = c.read(240);
            (m.status == 200 ? served : refused).incrementAndGet();
        } catch (IOException e) {
            unanswered.incrementAndGet();
            if (c != null) {
                c.close();
                closedAt.put(id, Kit.ms());
                Kit.note("client: %s, sent at %.1f, gives up and closes: %s", id, sentAt, e.getMessage());
            }
        }
        if (c != null) {
            c.close();
        }
    }
}
