package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.entry;
import static cinderhollow.daemon.GatewayFixture.line;
import static cinderhollow.daemon.GatewayFixture.list;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A configuration that is replaced while the gateway runs. */
class ReloadTest {
    @TempDir
    private Path folder;

    private Map<String, String> environment(String discovery) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"" + discovery
                + "\",\"seed\":\"2a\",\"settings\":" + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
        return Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", discovery, "LB_LISTEN", "127.0.0.1:0");
    }

    /** Creates a reload as after a start from the present file. */
    private static Reload reload(GatewayFixture f, Map<String, String> environment) {
        return new Reload(environment, GatewayConfig.readFile(environment), f.gateway);
    }

    private static ScriptedHost discovery(int index, List<Socket> watches) throws IOException {
        return new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(index, false, List.of()));
            watches.add(socket);
        });
    }

    @Test
    void goesOverAtOnceAndKeepsTheListAndWhatIsOpen() throws Exception {
        List<Socket> before = new CopyOnWriteArrayList<>();
        List<Socket> after = new CopyOnWriteArrayList<>();
        CompletableFuture<Socket> held = new CompletableFuture<>();
        ScriptedHost old = discovery(40, before);
        try (ScriptedHost next = discovery(7, after);
                ScriptedHost host = new ScriptedHost((socket, request) -> held.complete(socket));
                ScriptedHost newcomer = new ScriptedHost(ScriptedHost.reply("200 OK", "new"));
                GatewayFixture f = new GatewayFixture(list(40, true, List.of(entry("s", host, "up", 0))), old,
                        60_000_000_000L, 1024)) {
            Client open = f.client();
            open.write(submit("r1", LONG_MILLIS, "x"));
            Socket asked = held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            reload(f, environment(next.addressText())).run();
            await("the watch at the new address", () -> after.size() == 1);
            await("the end of the old watch", () -> old.connections.get(0).isClosed());
            ScriptedHost.reply("200 OK", "old").answer(asked, null);
            assertEquals("old", open.read().body(), "the host and the open request are kept");
            // Versions are compared per address: the list of the new address is applied although its version is lower.
            line(after.get(0), list(8, false, List.of(entry("s", host, "removed", 0),
                    entry("n", newcomer, "up", 0))));
            await("the newcomer's request", () -> served(f, "new"));
        }
    }

    private static boolean served(GatewayFixture f, String body) {
        try {
            return f.client().ask(status("r" + System.nanoTime(), 200)).body().equals(body);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void keepsTheOldConfigurationWhereTheNewOneCannotBeRead() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = discovery(1, watches);
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture f = new GatewayFixture(list(1, true, List.of()), discovery, 60_000_000_000L, 1024)) {
            Map<String, String> environment = environment("nowhere");
            Reload reload = reload(f, environment);
            reload.run();
            for (String text : List.of("", "{", "[]", "{\"discovery\":17}")) {
                Files.writeString(folder.resolve("config.json"), text);
                reload.run();
            }
            Files.delete(folder.resolve("config.json"));
            reload.run();
            line(watches.get(0), list(2, false, List.of(entry("s", host, "up", 0))));
            await("what the old watch tells", () -> served(f, "fine"));
            assertEquals(1, discovery.connections.size(), "the old watch was never replaced");
        }
    }

    /** Uses a whole process, because it is the Java runtime that ends a program on SIGHUP. */
    @Test
    void aProcessLivesThroughHangUpsAndFollowsTheNewFile() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        try (ScriptedHost first = discovery(1, watches); ScriptedHost second = discovery(1, watches)) {
            ProcessBuilder program = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx64m", "-cp", System.getProperty("java.class.path"), "cinderhollow.cli.Main", "serve");
            program.environment().putAll(environment(first.addressText()));
            program.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
            Process process = program.start();
            try {
                await("the first watch", () -> first.requests.size() == 1);
                environment(second.addressText());
                hangUp(process);
                await("the watch after the first signal", () -> second.requests.size() == 1);
                environment(first.addressText());
                hangUp(process);
                await("the watch after the second signal", () -> first.requests.size() == 2);
                assertTrue(process.isAlive());
            } finally {
                process.destroy();
                assertTrue(process.waitFor(PATIENCE_MILLIS, TimeUnit.MILLISECONDS), "ends when asked");
            }
        }
    }

    /**
     * Twenty files and signals in a row, alternately valid and invalid: the last valid file is in force, and no request is
     * lost.
     */
    @Test
    void ofManySignalsTheLastFileWins() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost old = discovery(1, watches);
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture f = new GatewayFixture(list(1, true, List.of(entry("s", host, "up", 0))), old,
                        60_000_000_000L, 1024)) {
            Map<String, String> environment = environment(old.addressText());
            Reload reload = reload(f, environment);
            String good = Files.readString(folder.resolve("config.json"));
            for (int i = 1; i <= 20; i++) {
                Files.writeString(folder.resolve("config.json"), i % 2 == 0 ? good.substring(0, good.length() - i)
                        : good.replace("\"name\":\"submit\"", "\"name\":\"submit" + i + "\""));
                reload.run();
            }
            assertEquals("fine", f.client().ask(submit("r1", LONG_MILLIS, "x").replace("/submit", "/submit19")).body());
            assertTrue(f.client().ask(submit("r2", LONG_MILLIS, "x")).firstLine().contains(" 404 "));
            assertEquals(10, f.gateway.stats().get().reloadsAccepted());
            assertEquals(10, f.gateway.stats().get().reloadsRejected());
            assertEquals(1, old.connections.size(), "discovery, where it was, was asked no second time");
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }
}
