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

    private static String good() {
        return "{\"seed\":\"f00000000000002a\",\"limits\":{\"sockets\":256},\"settings\":"
                + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}";
    }

    private static void refuses(Map<String, String> environment, String part) {
        String line = assertThrows(IllegalArgumentException.class, () -> GatewayConfig.read(environment, GatewayConfig.readFile(environment))).getMessage();
        assertTrue(line.contains(part), line);
        assertEquals(1, line.lines().count(), line);
    }

    @Test
    void readsSettingsUnderTheSimulatorsNames() throws IOException {
        GatewayConfig config = GatewayConfig.read(environment(good()), GatewayConfig.readFile(environment(good())));
        assertEquals(256, config.maxDescriptors());
        assertEquals(15_000_000_000L, config.idleTimeoutNanos());
        assertEquals("submit", config.settings().classes().get(1).name());
        assertEquals("acme", config.settings().tenants().get(0).name());
        assertEquals(0xf00000000000002aL, config.seed());
        assertEquals(0, config.knownEndpoints().endpoints().size(), "no list was known");
    }

    @Test
    void saysInOneLineWhatIsWrong() throws IOException {
        Map<String, String> incomplete = environment(good());
        incomplete.remove("LB_DISCOVERY");
        refuses(incomplete, "LB_DISCOVERY");
        Map<String, String> noPort = environment(good());
        noPort.put("LB_LISTEN", "127.0.0.1");
        refuses(noPort, "127.0.0.1");
        Map<String, String> noFile = environment(good());
        noFile.put("LB_CONFIG", folder.resolve("none").toString());
        refuses(noFile, "none");
        refuses(environment("{"), "can't read");
        refuses(environment(good().replace("f00000000000002a", "xyz")), "seed");
        refuses(environment(good().replace("\"dial_timeout_ns\":2000000000,", "")), "dial_timeout_ns");
        refuses(environment(good().replace("unsafe", "odd")), "odd");
    }
}
