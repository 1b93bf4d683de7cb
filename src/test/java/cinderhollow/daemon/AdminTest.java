package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.ledger.LedgerPlace;
import cinderhollow.ledger.RequestEnd;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The admin listener serves metrics to permitted callers, and no caller can harm the gateway. */
class AdminTest {
    private static final int MAX_CONNECTIONS = 16;

    @TempDir
    private Path folder;

    private GatewayFixture startGateway(String furtherToml, ScriptedServer server) throws Exception {
        Path file = Files.writeString(folder.resolve("operator.toml"), "[ledger]\n" + furtherToml);
        return GatewayFixture.withOperatorFile(file.toString(), server);
    }

    private static ScriptedServer startServer() throws IOException {
        return new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
    }

    private static Admin listenOnAnyPort(GatewayFixture f) {
        return Admin.listen(new InetSocketAddress("127.0.0.1", 0), f.gateway);
    }

    private static String addressText(Admin admin) {
        return "127.0.0.1:" + ((InetSocketAddress) admin.address()).getPort();
    }

    @Test
    void reportsTheSumsOfAllLoops() throws Exception {
        try (ScriptedServer a = startServer(); GatewayFixture f = startGateway("[gateway]\nloops = 2\n", a); Admin admin =
                listenOnAnyPort(f)) {
            for (int i = 0; i < 10; i++) {
                f.connectClient().exchange(statusRequest("r" + i, LONG_TIMEOUT_MILLIS));
            }
            String table = AdminClient.ledgerTotals(List.of(addressText(admin))).formatTable();
            assertTrue(table.contains(" 10 "), table);
            assertTrue(table.endsWith("all adds up"), table);
            assertEquals(2, f.gateway.ledgerMetrics().join().size());
        }
    }

    @Test
    void aBreachStaysUntilItIsAcknowledged() throws Exception {
        try (ScriptedServer a = startServer(); GatewayFixture f = startGateway("", a); Admin admin = listenOnAnyPort(f)) {
            f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS));
            Gateway gateway = (Gateway) f.gateway;
            f.eventLoops().get(0).submit(() -> {
                gateway.ledger().counters(LedgerPlace.CORE).recordEnded(0, RequestEnd.SERVED, "twice");
                gateway.findNewBreaches();
            }).sync();
            List<String> address = List.of(addressText(admin));
            assertTrue(AdminClient.ledgerTotals(address).formatTable().contains(" 2 breaches"));
            AdminClient.acknowledgeBreaches(address);
            String table = AdminClient.ledgerTotals(address).formatTable();
            assertTrue(table.contains(" 0 breaches"), table);
            assertTrue(table.endsWith("IT DOES NOT ADD UP"), table);
        }
    }

    @Test
    void aUnixSocketIsPrivateToItsOwnerAndAStaleOneIsReplaced() throws Exception {
        Path file = folder.resolve("admin.sock");
        UnixDomainSocketAddress address = UnixDomainSocketAddress.of(file);
        try (java.nio.channels.ServerSocketChannel staleListener = java.nio.channels.ServerSocketChannel.open(
                java.net.StandardProtocolFamily.UNIX)) {
            staleListener.bind(address);
        }
        assertTrue(Files.exists(file), "left behind");
        try (ScriptedServer a = startServer(); GatewayFixture f = startGateway("", a)) {
            try (Admin admin = Admin.listen(address, f.gateway)) {
                assertEquals("rw-------", java.nio.file.attribute.PosixFilePermissions.toString(
                        Files.getPosixFilePermissions(file)));
                assertTrue(AdminClient.sendRequest("unix:" + file, "GET", "/metrics").endsWith("# EOF\n"));
                assertTrue(assertThrows(IllegalArgumentException.class, () -> Admin.listen(address, f.gateway))
                        .getMessage().contains("another process listens there"));
                assertTrue(admin.address().toString().contains("admin.sock"));
            }
            assertTrue(Files.notExists(file), "gone with its owner");
        }
    }

    @Test
    void otherPathsAndMethodsAndNoiseAreTurnedAway() throws Exception {
        try (ScriptedServer a = startServer(); GatewayFixture f = startGateway("", a); Admin admin = listenOnAnyPort(f)) {
            String address = addressText(admin);
            assertTrue(assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/")).getMessage()
                    .contains(" 404 "));
            assertTrue(assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/ledger/acknowledge"))
                    .getMessage().contains(" 405 "));
            assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "x y", "/metrics"));
            assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/" + "x".repeat(100_000)));
            assertTrue(AdminClient.sendRequest(address, "GET", "/metrics").endsWith("# EOF\n"));
        }
    }

    /**
     * A scraper that connects and reads nothing uses up one of the few admin connections, and never one that clients may
     * have.
     */
    @Test
    void silentScrapersTakeNoConnectionOfClients() throws Exception {
        List<Socket> silentScrapers = new ArrayList<>();
        try (ScriptedServer a = startServer(); GatewayFixture f = startGateway("", a); Admin admin = listenOnAnyPort(f)) {
            int port = ((InetSocketAddress) admin.address()).getPort();
            for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
                silentScrapers.add(new Socket("127.0.0.1", port));
            }
            // Connections beyond the limit are closed at once, so a read on them returns the end of the stream.
            await("the bound", () -> silentScrapers.stream().filter(AdminTest::isClosed).count() == 2 * MAX_CONNECTIONS);
            assertEquals("fine", f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)).body());
        } finally {
            for (Socket socket : silentScrapers) {
                socket.close();
            }
        }
    }

    private static boolean isClosed(Socket socket) {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** While a latch blocks the event loop, the scraper gets an error that says so, and the admin listener goes on working. */
    @Test
    void aStalledLoopIsReportedAs503() throws Exception {
        CountDownLatch resumeLoop = new CountDownLatch(1);
        try (ScriptedServer a = startServer(); GatewayFixture f = startGateway("", a); Admin admin = listenOnAnyPort(f)) {
            f.eventLoops().get(0).execute(() -> {
                try {
                    resumeLoop.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            String address = addressText(admin);
            assertTrue(assertThrows(IOException.class, () -> AdminClient.sendRequest(address, "GET", "/metrics")).getMessage()
                    .contains(" 503 "));
            resumeLoop.countDown();
            assertTrue(AdminClient.sendRequest(address, "GET", "/metrics").endsWith("# EOF\n"));
        } finally {
            resumeLoop.countDown();
        }
    }

    /** A scrape during shutdown is answered or refused, and does not delay the shutdown. */
    @Test
    void aScrapeDuringShutdownIsAnswered() throws Exception {
        try (ScriptedServer a = startServer(); GatewayFixture f = startGateway("", a); Admin admin = listenOnAnyPort(f)) {
            f.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS));
            var shutdownDone = f.gateway.shutDown();
            assertTrue(AdminClient.ledgerTotals(List.of(addressText(admin))).formatTable().endsWith("all adds up"));
            await("the end", shutdownDone::isDone);
            assertTrue(AdminClient.ledgerTotals(List.of(addressText(admin))).formatTable().endsWith("all adds up"));
        }
    }
}
