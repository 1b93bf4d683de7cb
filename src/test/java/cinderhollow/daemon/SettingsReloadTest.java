package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static cinderhollow.daemon.GatewayFixture.submitRequest;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.Json;
import cinderhollow.core.RequestCounters.Counts;
import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.ops.GatewayStats;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Changes of settings while requests are open, and invalid files, which must change nothing. */
class SettingsReloadTest {
    private static final String WITH_ADDED_CLASS =
            "\"grades\":[{\"name\":\"audit\",\"semantics\":\"unsafe\",\"aim_ns\":10000000000,"
            + "\"deadline_ns\":20000000000,\"value\":2},";

    @TempDir
    private Path folder;

    private static String validConfig() {
        return "{\"discovery\":\"127.0.0.1:1\",\"seed\":\"2a\",\"limits\":{\"sockets\":256},\"settings\":"
                + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}";
    }

    private Map<String, String> writeConfig(String configText) throws IOException {
        return Map.of("LB_CONFIG", Files.writeString(folder.resolve("config.json"), configText).toString());
    }

    private static void checkReload(String newConfig) throws IOException {
        ReloadValidator.check(Json.read(validConfig()), Json.read(newConfig));
    }

    /**
     * If a file lacks any key of the running one, the error names the key; otherwise the value would silently become its
     * default.
     */
    @Test
    void aFileWithoutAnyOneKeyIsRejectedWithTheKeysName() throws IOException {
        for (String name : List.of("seed", "discovery", "limits", "sockets", "settings", "group_size", "my_number", "zone",
                "resolution_ns", "grades", "semantics", "aim_ns", "deadline_ns", "value", "accounts", "quota_per_s", "allowed",
                "max_attempts", "may_cancel", "dial_timeout_ns", "conn_idle_ns", "obligations", "drain_grace_ns", "cold_from",
                "overload_factor", "warm_up_ns")) {
            // The key is renamed, so that the file is otherwise valid.
            String incompleteConfig = validConfig().replaceFirst("\"" + name + "\":", "\"no_" + name + "\":");
            String message = assertThrows(IllegalArgumentException.class, () -> checkReload(incompleteConfig)).getMessage();
            assertTrue(message.startsWith("it lacks ") && message.endsWith(name), message);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"max_attempts\":\"5\"", "\"max_attempts\":null", "\"max_attempts\":[5]",
        "\"max_attempts\":true", "\"max_attempts\":{}", "\"max_attempts\":1e999"})
    void aValueOfAnotherTypeIsRejected(String value) {
        assertThrows(IllegalArgumentException.class, () -> checkReload(validConfig().replace("\"max_attempts\":5", value)));
    }

    @Test
    void moreKeysAndMoreOrFewerEntriesAreAccepted() {
        assertDoesNotThrow(() -> checkReload(validConfig().replace("\"grades\":[", WITH_ADDED_CLASS).replace("\"seed\"",
                "\"new\":1,\"seed\"")));
        assertDoesNotThrow(() -> checkReload(validConfig().replace("[{\"name\":\"acme\",\"quota_per_s\":1000.0}]", "[]")));
        assertThrows(IllegalArgumentException.class, () -> checkReload(validConfig().replace("\"grades\":[", WITH_ADDED_CLASS)
                .replaceFirst("\"deadline_ns\":20000000000,", "")), "an added class is held against the others' keys");
    }

    @Test
    void badFilesKeepEverythingAndAreCounted() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture f = GatewayFixture.withOpsSocket(server)) {
            Map<String, String> environment = writeConfig(validConfig());
            Reload reload = new Reload(environment, Json.read(validConfig()), f.gateway);
            List<String> invalidConfigs = List.of("", "{", "[]", "null", validConfig().substring(0, validConfig().length() / 2),
                    validConfig() + "x",
                    validConfig().replace("\"max_attempts\":5", "\"max_attempts\":0"),
                    validConfig().replace("\"max_attempts\":5", "\"max_attempts\":-1"),
                    validConfig().replace("\"max_attempts\":5", "\"max_attempts\":2.5"),
                    validConfig().replace("\"max_attempts\":5", "\"max_attempts\":NaN"),
                    validConfig().replace("\"max_attempts\":5", "\"max_attempts\":5,\"max_attempts\":6"),
                    validConfig().replaceFirst("\"deadline_ns\":20000000000", "\"deadline_ns\":0"),
                    validConfig().replaceFirst("\"deadline_ns\":20000000000", "\"deadline_ns\":-5"),
                    validConfig().replace("\"unsafe\"", "\"odd\""), validConfig().replace("127.0.0.1:1", "nowhere"));
            for (String text : invalidConfigs) {
                writeConfig(text);
                reload.run();
            }
            GatewayStats stats = readStats(f);
            assertEquals(0, stats.reloadsAccepted());
            assertEquals(invalidConfigs.size(), stats.reloadsRejected());
            assertEquals("fine", f.connectClient().exchange(statusRequest("r1", LONG_TIMEOUT_MILLIS)).body());
            assertEquals("fine", f.connectClient().exchange(submitRequest("r2", LONG_TIMEOUT_MILLIS, "x")).body());
        }
    }

    private static GatewayStats readStats(GatewayFixture f) throws Exception {
        return f.gateway.stats().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** One class is added and one is removed while it has an open request; the next file adds it again. */
    @Test
    void anOpenRequestKeepsItsClassAndItsCounts() throws Exception {
        CompletableFuture<Socket> heldSocket = new CompletableFuture<>();
        ScriptedServer.Script script = (socket, request) -> {
            if (!request.header("X-Request-ID").startsWith("hold") || !heldSocket.complete(socket)) {
                ScriptedServer.reply("200 OK", "fine").answer(socket, request);
            }
        };
        try (ScriptedServer server = new ScriptedServer(script); ScriptedServer other = new ScriptedServer(script);
                GatewayFixture f = GatewayFixture.withOpsSocket(server, other)) {
            Map<String, String> environment = writeConfig(validConfig());
            Reload reload = new Reload(environment, Json.read(validConfig()), f.gateway);
            assertTrue(f.connectClient().exchange(submitRequest("a1", LONG_TIMEOUT_MILLIS, "x").replace("/submit", "/audit"))
                    .firstLine().contains(" 404 "));
            Client openClient = f.connectClient();
            openClient.write(submitRequest("hold", LONG_TIMEOUT_MILLIS, "x"));
            Socket serverSocket = heldSocket.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            writeConfig(validConfig().replace("\"grades\":[", WITH_ADDED_CLASS)
                    .replace("\"name\":\"submit\"", "\"name\":\"gone\""));
            reload.run();
            assertEquals("fine", f.connectClient()
                    .exchange(submitRequest("a2", LONG_TIMEOUT_MILLIS, "x").replace("/submit", "/audit")).body());
            assertTrue(f.connectClient().exchange(submitRequest("a3", LONG_TIMEOUT_MILLIS, "x")).firstLine().contains(" 404 "));
            ScriptedServer.reply("200 OK", "of old").answer(serverSocket, null);
            assertEquals("of old", openClient.read().body());
            GatewayStats stats = readStats(f);
            assertEquals(new Counts(1, 0, 0, 1), stats.countsByClass().get("submit"), "a dropped class keeps its counts");
            assertEquals(new Counts(1, 0, 0, 1), stats.countsByClass().get("audit"));
            assertEquals(1, stats.reloadsAccepted());
            writeConfig(validConfig());
            reload.run();
            assertEquals("fine", f.connectClient().exchange(submitRequest("a4", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(new Counts(2, 0, 0, 2), readStats(f).countsByClass().get("submit"));
        }
    }
}
