package cinderhollow.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.AdminClient;
import cinderhollow.testing.Await;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs three gateway processes that exchange gossip, and checks that orders survive the failure of some of them. */
class ZoneProcessesTest {
    private static final String CONFIG = """
            {"seed":"1","limits":{"sockets":1024},"settings":{"group_size":3,"my_number":NUMBER,"zone":"ZONE","discovery":"subscribe",
            "resolution_ns":1000000,"grades":[{"name":"status","semantics":"safe","aim_ns":100000000,
            "deadline_ns":300000000}],"allowed":{"dial_timeout_ns":50000000,"conn_idle_ns":15000000000},
            "obligations":{"drain_grace_ns":1000000000}}}""";
    private static final int GATEWAY_COUNT = 3;
    private static final String ORDER_MILLIS = "600000";

    @TempDir
    private Path folder;
    private final List<Integer> peerPorts = new ArrayList<>();
    private final List<Integer> adminPorts = new ArrayList<>();
    private final Process[] processes = new Process[GATEWAY_COUNT];

    @BeforeEach
    void startAll() throws Exception {
        for (int i = 0; i < GATEWAY_COUNT; i++) {
            peerPorts.add(freePort());
            adminPorts.add(freePort());
        }
        for (int i = 0; i < GATEWAY_COUNT; i++) {
            start(i);
        }
        for (int i = 0; i < GATEWAY_COUNT; i++) {
            awaitZoneStatus(i, "3 of 3 alive");
        }
    }

    @AfterEach
    void stopAll() throws Exception {
        for (Process process : processes) {
            // A process paused by SIGSTOP does not react to SIGTERM, so it is killed.
            process.destroyForcibly();
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    private void start(int number) throws IOException {
        String zone = List.of("a", "b", "c").get(number);
        Path configFile = Files.writeString(folder.resolve("config-" + number), CONFIG.replace("NUMBER", String.valueOf(number))
                .replace("ZONE", zone));
        Path secretFile = Files.writeString(folder.resolve("secret"), "of this fleet");
        String members = String.join(", ", peerPorts.stream().map(port -> "\"127.0.0.1:" + port + "\"").toList());
        Path operatorFile = Files.writeString(folder.resolve("operator-" + number),
                "[peers]\nfleet = \"t\"\nlisten = \"127.0.0.1:"
                + peerPorts.get(number) + "\"\nmembers = [" + members + "]\nnumber = " + number + "\nsecret = \"" + secretFile
                + "\"\n[zones]\nnames = [\"a\", \"b\", \"c\"]\n[admin]\nlisten = \"" + adminAddress(number) + "\"\n");
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "cinderhollow.cli.Main",
                "serve").redirectErrorStream(true).redirectOutput(folder.resolve("log-" + number).toFile());
        builder.environment().putAll(Map.of("LB_LISTEN", "127.0.0.1:0", "LB_DISCOVERY", "127.0.0.1:1", "LB_CONFIG",
                configFile.toString(), "LB_OPERATOR", operatorFile.toString()));
        processes[number] = builder.start();
    }

    private String adminAddress(int number) {
        return "127.0.0.1:" + adminPorts.get(number);
    }

    private void awaitZoneStatus(int number, String text) throws Exception {
        Await.until("gateway " + number + " shows '" + text + "'", () -> {
            assertTrue(processes[number].isAlive(), () -> readLog(number));
            try {
                return AdminClient.zoneStatus(adminAddress(number)).contains(text);
            } catch (IOException e) {
                return false;
            }
        });
    }

    private String readLog(int number) {
        try {
            return Files.readString(folder.resolve("log-" + number));
        } catch (IOException e) {
            return e.toString();
        }
    }

    private void signal(String name, int number) throws Exception {
        assertTrue(new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + processes[number].pid()).start().waitFor() == 0);
    }

    /**
     * A gateway that is killed and restarted without state, or paused and resumed, must get the newest order from the others,
     * and they must report which member lacks it.
     */
    @Test
    void ordersSurviveKillsRestartsAndPauses() throws Exception {
        AdminClient.order(adminAddress(0), "leave", "a", Long.parseLong(ORDER_MILLIS));
        for (int i = 0; i < GATEWAY_COUNT; i++) {
            awaitZoneStatus(i, "zone a: weight 0.00, ordered to leave");
            awaitZoneStatus(i, "all members know the newest orders");
        }
        processes[0].destroyForcibly().waitFor();
        awaitZoneStatus(1, "2 of 3 alive");
        awaitZoneStatus(1, "not known to have heard: [0]");
        start(0);
        awaitZoneStatus(0, "zone a: weight 0.00, ordered to leave");
        awaitZoneStatus(1, "all members know the newest orders");

        signal("STOP", 2);
        awaitZoneStatus(1, "2 of 3 alive");
        AdminClient.order(adminAddress(1), "none", "a", Long.parseLong(ORDER_MILLIS));
        awaitZoneStatus(0, "zone a: weight 1.00\n");
        signal("CONT", 2);
        awaitZoneStatus(2, "zone a: weight 1.00\n");
        awaitZoneStatus(2, "3 of 3 alive");
        awaitZoneStatus(1, "all members know the newest orders");
    }

    /** Datagrams without the fleet's secret, even from a member's IP address, must be counted and must change nothing. */
    @Test
    void invalidDatagramsAreCountedAndDropped() throws Exception {
        byte[] noise = new byte[100];
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            SocketAddress target = new java.net.InetSocketAddress("127.0.0.1", peerPorts.get(0));
            socket.send(new DatagramPacket(noise, noise.length, target));
            noise[0] = 1;
            socket.send(new DatagramPacket(noise, noise.length, target));
            socket.send(new DatagramPacket(noise, 5, target));
        }
        for (String why : List.of("version", "fleet", "length")) {
            Await.until("dropped datagram counted: " + why, () -> AdminClient.metrics(adminAddress(0))
                    .contains("dropped_total{why=\"" + why + "\"} 1"));
        }
        awaitZoneStatus(0, "3 of 3 alive");
    }
}
