package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.status;
import static cinderhollow.daemon.GatewayFixture.submit;
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
class RetuningTest {
    private static final String ADDED = "\"grades\":[{\"name\":\"audit\",\"semantics\":\"unsafe\",\"aim_ns\":10000000000,"
            + "\"deadline_ns\":20000000000,\"value\":2},";

    @TempDir
    private Path folder;

    private static String file() {
        return "{\"discovery\":\"127.0.0.1:1\",\"seed\":\"2a\",\"limits\":{\"sockets\":256},\"settings\":"
                + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}";
    }

    private Map<String, String> environment(String text) throws IOException {
        return Map.of("LB_CONFIG", Files.writeString(folder.resolve("config.json"), text).toString());
    }

    private static void check(String next) throws IOException {
        ReloadValidator.check(Json.read(file()), Json.read(next));
    }

    /**
     * If a file lacks any key of the running one, the error names the key; otherwise the value would silently become its
     * default.
     */
    @Test
    void aFileShortOfAnyKeyIsTurnedDownByItsName() throws IOException {
        for (String name : List.of("seed", "discovery", "limits", "sockets", "settings", "group_size", "my_number", "zone",
                "resolution_ns", "grades", "semantics", "aim_ns", "deadline_ns", "value", "accounts", "quota_per_s", "allowed",
                "max_attempts", "may_cancel", "dial_timeout_ns", "conn_idle_ns", "obligations", "drain_grace_ns", "cold_from",
                "overload_factor", "warm_up_ns")) {
            // The key is renamed, so that the file is otherwise valid.
            String without = file().replaceFirst("\"" + name + "\":", "\"no_" + name + "\":");
            String line = assertThrows(IllegalArgumentException.class, () -> check(without)).getMessage();
            assertTrue(line.startsWith("it lacks ") && line.endsWith(name), line);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"max_attempts\":\"5\"", "\"max_attempts\":null", "\"max_attempts\":[5]",
        "\"max_attempts\":true", "\"max_attempts\":{}", "\"max_attempts\":1e999"})
    void aValueOfAnotherTypeIsTurnedDown(String value) {
        assertThrows(IllegalArgumentException.class, () -> check(file().replace("\"max_attempts\":5", value)));
    }

    @Test
    void moreKeysAndMoreOrFewerEntriesAreWelcome() {
        assertDoesNotThrow(() -> check(file().replace("\"grades\":[", ADDED).replace("\"seed\"", "\"new\":1,\"seed\"")));
        assertDoesNotThrow(() -> check(file().replace("[{\"name\":\"acme\",\"quota_per_s\":1000.0}]", "[]")));
        assertThrows(IllegalArgumentException.class, () -> check(file().replace("\"grades\":[", ADDED)
                .replaceFirst("\"deadline_ns\":20000000000,", "")), "an added class is held against the others' keys");
    }

    @Test
    void badFilesKeepEverythingAndAreCounted() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture f = GatewayFixture.asked(host)) {
            Map<String, String> environment = environment(file());
            Reload reload = new Reload(environment, Json.read(file()), f.gateway);
            List<String> bad = List.of("", "{", "[]", "null", file().substring(0, file().length() / 2), file() + "x",
                    file().replace("\"max_attempts\":5", "\"max_attempts\":0"),
                    file().replace("\"max_attempts\":5", "\"max_attempts\":-1"),
                    file().replace("\"max_attempts\":5", "\"max_attempts\":2.5"),
                    file().replace("\"max_attempts\":5", "\"max_attempts\":NaN"),
                    file().replace("\"max_attempts\":5", "\"max_attempts\":5,\"max_attempts\":6"),
                    file().replaceFirst("\"deadline_ns\":20000000000", "\"deadline_ns\":0"),
                    file().replaceFirst("\"deadline_ns\":20000000000", "\"deadline_ns\":-5"),
                    file().replace("\"unsafe\"", "\"odd\""), file().replace("127.0.0.1:1", "nowhere"));
            for (String text : bad) {
                environment(text);
                reload.run();
            }
            GatewayStats now = standing(f);
            assertEquals(0, now.reloadsAccepted());
            assertEquals(bad.size(), now.reloadsRejected());
            assertEquals("fine", f.client().ask(status("r1", LONG_MILLIS)).body());
            assertEquals("fine", f.client().ask(submit("r2", LONG_MILLIS, "x")).body());
        }
    }

    private static GatewayStats standing(GatewayFixture f) throws Exception {
        return f.gateway.stats().get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** One class is added and one is removed while it has an open request; the next file adds it again. */
    @Test
    void anOpenRequestKeepsItsClassAndItsCounts() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        ScriptedHost.Script script = (socket, request) -> {
            if (!request.header("X-Request-ID").startsWith("hold") || !held.complete(socket)) {
                ScriptedHost.reply("200 OK", "fine").answer(socket, request);
            }
        };
        try (ScriptedHost host = new ScriptedHost(script); ScriptedHost other = new ScriptedHost(script);
                GatewayFixture f = GatewayFixture.asked(host, other)) {
            Map<String, String> environment = environment(file());
            Reload reload = new Reload(environment, Json.read(file()), f.gateway);
            assertTrue(f.client().ask(submit("a1", LONG_MILLIS, "x").replace("/submit", "/audit")).firstLine().contains(" 404 "));
            Client open = f.client();
            open.write(submit("hold", LONG_MILLIS, "x"));
            Socket asked = held.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            environment(file().replace("\"grades\":[", ADDED).replace("\"name\":\"submit\"", "\"name\":\"gone\""));
            reload.run();
            assertEquals("fine", f.client().ask(submit("a2", LONG_MILLIS, "x").replace("/submit", "/audit")).body());
            assertTrue(f.client().ask(submit("a3", LONG_MILLIS, "x")).firstLine().contains(" 404 "));
            ScriptedHost.reply("200 OK", "of old").answer(asked, null);
            assertEquals("of old", open.read().body());
            GatewayStats now = standing(f);
            assertEquals(new Counts(1, 0, 0, 1), now.countsByClass().get("submit"), "a dropped class keeps its counts");
            assertEquals(new Counts(1, 0, 0, 1), now.countsByClass().get("audit"));
            assertEquals(1, now.reloadsAccepted());
            environment(file());
            reload.run();
            assertEquals("fine", f.client().ask(submit("a4", LONG_MILLIS, "x")).body());
            assertEquals(new Counts(2, 0, 0, 2), standing(f).countsByClass().get("submit"));
        }
    }
}
