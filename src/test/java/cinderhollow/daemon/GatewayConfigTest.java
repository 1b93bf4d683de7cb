package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading of the configuration at the start, and the error messages about what is invalid in it. */
class GatewayConfigTest {
    @TempDir
    private Path folder;

    private Map<String, String> environment(String json) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), json);
        return new HashMap<>(Map.of("LB_LISTEN", "127.0.0.1:8080", "LB_DISCOVERY", "127.0.0.1:8500",
                "LB_CONFIG", file.toString()));
    }

    private static String validConfig() {
        return "{\"seed\":\"f00000000000002a\",\"limits\":{\"sockets\":256},\"settings\":"
                + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}";
    }

    private static void assertRejected(Map<String, String> environment, String expectedText) {
        String message = assertThrows(IllegalArgumentException.class,
                () -> GatewayConfig.read(environment, GatewayConfig.readFile(environment))).getMessage();
        assertTrue(message.contains(expectedText), message);
        assertEquals(1, message.lines().count(), message);
    }

    @Test
    void readsSettingsUnderTheSimulatorsNames() throws IOException {
        GatewayConfig config = GatewayConfig.read(environment(validConfig()), GatewayConfig.readFile(environment(validConfig())));
        assertEquals(256, config.maxDescriptors());
        assertEquals(15_000_000_000L, config.idleTimeoutNanos());
        assertEquals("submit", config.settings().classes().get(1).name());
        assertEquals("acme", config.settings().tenants().get(0).name());
        assertEquals(0xf00000000000002aL, config.seed());
        assertEquals(0, config.knownEndpoints().endpoints().size(), "no list was known");
    }

    @Test
    void saysInOneLineWhatIsWrong() throws IOException {
        Map<String, String> incomplete = environment(validConfig());
        incomplete.remove("LB_DISCOVERY");
        assertRejected(incomplete, "LB_DISCOVERY");
        Map<String, String> noPort = environment(validConfig());
        noPort.put("LB_LISTEN", "127.0.0.1");
        assertRejected(noPort, "127.0.0.1");
        Map<String, String> noFile = environment(validConfig());
        noFile.put("LB_CONFIG", folder.resolve("none").toString());
        assertRejected(noFile, "none");
        assertRejected(environment("{"), "can't read");
        assertRejected(environment(validConfig().replace("f00000000000002a", "xyz")), "seed");
        assertRejected(environment(validConfig().replace("\"dial_timeout_ns\":2000000000,", "")), "dial_timeout_ns");
        assertRejected(environment(validConfig().replace("unsafe", "odd")), "odd");
    }
}
