package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.endpointJson;
import static cinderhollow.daemon.GatewayFixture.endpointListJson;
import static cinderhollow.daemon.GatewayFixture.sendWatchLine;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
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

    private Map<String, String> writeConfig(String discovery) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"" + discovery
                + "\",\"seed\":\"2a\",\"settings\":" + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
        return Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", discovery, "LB_LISTEN", "127.0.0.1:0");
    }

    /** Creates a reload as after a start from the present file. */
    private static Reload createReload(GatewayFixture f, Map<String, String> environment) {
        return new Reload(environment, GatewayConfig.readFile(environment), f.gateway);
    }

    private static ScriptedServer startDiscovery(int index, List<Socket> watchSockets) throws IOException {
        return new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(index, false, List.of()));
            watchSockets.add(socket);
        });
    }

    @Test
    void movesToTheNewDiscoveryAtOnceAndKeepsTheListAndOpenRequests() throws Exception {
        List<Socket> oldWatchSockets = new CopyOnWriteArrayList<>();
        List<Socket> newWatchSockets = new CopyOnWriteArrayList<>();
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        ScriptedServer oldDiscovery = startDiscovery(40, oldWatchSockets);
        try (ScriptedServer newDiscovery = startDiscovery(7, newWatchSockets);
                ScriptedServer server = new ScriptedServer((socket, request) -> heldSocket.complete(socket));
                ScriptedServer newServer = new ScriptedServer(ScriptedServer.reply("200 OK", "new"));
                GatewayFixture f = new GatewayFixture(endpointListJson(40, true, List.of(endpointJson("s", server, "up", 0))),
                        oldDiscovery,
                        60_000_000_000L, 1024)) {
            Client openClient = f.connectClient();
            openClient.write(submitRequest("r1", LONG_TIMEOUT_MILLIS, "x"));
            Socket serverSocket = heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            createReload(f, writeConfig(newDiscovery.addressText())).run();
            await("the watch at the new address", () -> newWatchSockets.size() == 1);
            await("the end of the old watch", () -> oldDiscovery.connections.get(0).isClosed());
            ScriptedServer.reply("200 OK", "old").answer(serverSocket, null);
            assertEquals("old", openClient.read().body(), "the host and the open request are kept");
            // Versions are compared per address: the list of the new address is applied although its version is lower.
            sendWatchLine(newWatchSockets.get(0), endpointListJson(8, false, List.of(endpointJson("s", server, "removed", 0),
                    endpointJson("n", newServer, "up", 0))));
            await("the newcomer's request", () -> isServed(f, "new"));
        }
    }

    private static boolean isServed(GatewayFixture f, String body) {
        try {
            return f.connectClient().exchange(statusRequest("r" + System.nanoTime(), 200)).body().equals(body);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void keepsTheOldConfigurationWhereTheNewOneCannotBeRead() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        ScriptedServer discovery = startDiscovery(1, watchSockets);
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of()), discovery, 60_000_000_000L, 1024)) {
            Map<String, String> environment = writeConfig("nowhere");
            Reload reload = createReload(f, environment);
            reload.run();
            for (String text : List.of("", "{", "[]", "{\"discovery\":17}")) {
                Files.writeString(folder.resolve("config.json"), text);
                reload.run();
            }
            Files.delete(folder.resolve("config.json"));
            reload.run();
            sendWatchLine(watchSockets.get(0), endpointListJson(2, false, List.of(endpointJson("s", server, "up", 0))));
            await("what the old watch tells", () -> isServed(f, "fine"));
            assertEquals(1, discovery.connections.size(), "the old watch was never replaced");
        }
    }

    /** Uses a whole process, because it is the Java runtime that ends a program on SIGHUP. */
    @Test
    void aProcessSurvivesHangUpsAndFollowsTheNewFile() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        try (ScriptedServer firstDiscovery = startDiscovery(1, watchSockets); ScriptedServer secondDiscovery =
                startDiscovery(1, watchSockets)) {
            ProcessBuilder processBuilder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx64m", "-cp", System.getProperty("java.class.path"), "cinderhollow.cli.Main", "serve");
            processBuilder.environment().putAll(writeConfig(firstDiscovery.addressText()));
            processBuilder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
            Process process = processBuilder.start();
            try {
                await("the first watch", () -> firstDiscovery.requests.size() == 1);
                writeConfig(secondDiscovery.addressText());
                sendHangUp(process);
                await("the watch after the first signal", () -> secondDiscovery.requests.size() == 1);
                writeConfig(firstDiscovery.addressText());
                sendHangUp(process);
                await("the watch after the second signal", () -> firstDiscovery.requests.size() == 2);
                assertTrue(process.isAlive());
            } finally {
                process.destroy();
                assertTrue(process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "ends when asked");
            }
        }
    }

    /**
     * Twenty files and signals in a row, alternately valid and invalid: the last valid file is in force, and no request is
     * lost.
     */
    @Test
    void ofManyReloadsTheLastValidFileWins() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        ScriptedServer discoveryServer = startDiscovery(1, watchSockets);
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture f = new GatewayFixture(endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))),
                        discoveryServer,
                        60_000_000_000L, 1024)) {
            Map<String, String> environment = writeConfig(discoveryServer.addressText());
            Reload reload = createReload(f, environment);
            String validConfig = Files.readString(folder.resolve("config.json"));
            for (int i = 1; i <= 20; i++) {
                Files.writeString(folder.resolve("config.json"), i % 2 == 0 ? validConfig.substring(0, validConfig.length() - i)
                        : validConfig.replace("\"name\":\"submit\"", "\"name\":\"submit" + i + "\""));
                reload.run();
            }
            assertEquals("fine", f.connectClient()
                    .exchange(submitRequest("r1", LONG_TIMEOUT_MILLIS, "x").replace("/submit", "/submit19")).body());
            assertTrue(f.connectClient().exchange(submitRequest("r2", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 404 "));
            assertEquals(10, f.gateway.stats().get().reloadsAccepted());
            assertEquals(10, f.gateway.stats().get().reloadsRejected());
            assertEquals(1, discoveryServer.connections.size(), "discovery, where it was, was asked no second time");
        }
    }

    private static void sendHangUp(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }
}
