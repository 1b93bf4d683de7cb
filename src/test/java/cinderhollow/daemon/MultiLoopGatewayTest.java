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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.daemon.GatewayFixture.Client;
import cinderhollow.daemon.ScriptedServer.Message;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway with several event loops in one process, and subsets, on sockets. */
class MultiLoopGatewayTest {
    private static final int CLIENT_COUNT = 4;
    private static final String SHARED_LISTENER = "[gateway]\nloops = 3\n", LISTENER_PER_LOOP = SHARED_LISTENER
            + "listeners = \"each\"\n";
    private static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

    @TempDir
    private Path folder;

    private GatewayFixture startGateway(String operatorToml, ScriptedServer discovery, String knownList) throws Exception {
        Path path = Files.writeString(folder.resolve("operator.toml"), operatorToml);
        return new GatewayFixture(knownList, discovery, IDLE_TIMEOUT_NANOS, 1024, path.toString());
    }

    private GatewayFixture startGateway(String operatorToml, ScriptedServer server) throws Exception {
        return startGateway(operatorToml, GatewayFixture.createIdleDiscovery(),
                endpointListJson(1, true, List.of(endpointJson("s", server, "up", 0))));
    }

    private static ScriptedServer startServer(String body) throws IOException {
        return new ScriptedServer(ScriptedServer.reply("200 OK", body));
    }

    @ParameterizedTest
    @ValueSource(strings = {SHARED_LISTENER, LISTENER_PER_LOOP})
    void manyClientsAreServedByAllLoops(String operatorToml) throws Exception {
        try (ScriptedServer server = startServer("fine"); GatewayFixture f = startGateway(operatorToml, server)) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                clients.add(f.connectClient());
            }
            for (int round = 0; round < 3; round++) {
                for (int i = 0; i < clients.size(); i++) {
                    assertEquals("fine", clients.get(i).exchange(statusRequest("r" + round + "." + i, LONG_TIMEOUT_MILLIS))
                            .body());
                }
            }
            if (operatorToml.equals(SHARED_LISTENER)) {
                // Connections go to the loop with the fewest, so no loop has more than ten, and each loop has a connection to
                // the server.
                assertTrue(server.connections.size() >= 3, server.connections.size() + " connections");
            }
        }
    }

    /** One loop stalls: new clients go to the other loops, its own clients wait, and no request is lost. */
    @Test
    void aStalledLoopDoesNotAffectTheOthers() throws Exception {
        try (ScriptedServer server = startServer("fine"); GatewayFixture f = startGateway(SHARED_LISTENER, server)) {
            List<Client> earlierClients = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                earlierClients.add(f.connectClient());
                assertEquals("fine", earlierClients.get(i).exchange(statusRequest("a" + i, LONG_TIMEOUT_MILLIS)).body());
            }
            CountDownLatch resumeLoop = new CountDownLatch(1);
            CountDownLatch loopStalled = new CountDownLatch(1);
            EventExecutor loop = f.eventLoops().get(1);
            loop.execute(() -> {
                loopStalled.countDown();
                try {
                    resumeLoop.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            assertTrue(loopStalled.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            try {
                List<CompletableFuture<Message>> newAnswers = new ArrayList<>();
                for (int i = 0; i < 20; i++) {
                    newAnswers.add(exchangeAsync(f.connectClient(), statusRequest("b" + i, LONG_TIMEOUT_MILLIS)));
                }
                // The stalled loop gets a further connection only while each other loop has as many connections pending.
                await("the others' answers", () -> newAnswers.stream().filter(CompletableFuture::isDone).count() >= 12);
                List<CompletableFuture<Message>> earlierAnswers = new ArrayList<>();
                for (int i = 0; i < earlierClients.size(); i++) {
                    earlierAnswers.add(exchangeAsync(earlierClients.get(i), statusRequest("c" + i, LONG_TIMEOUT_MILLIS)));
                }
                await("those on other loops", () -> earlierAnswers.stream().filter(CompletableFuture::isDone).count() >= 6);
                resumeLoop.countDown();
                newAnswers.addAll(earlierAnswers);
                for (CompletableFuture<Message> answer : newAnswers) {
                    assertEquals("fine", answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body());
                }
            } finally {
                resumeLoop.countDown();
            }
        }
    }

    /**
     * The loop that accepts is busy while the others shut down; clients in the backlog must be answered before the process
     * ends.
     */
    @Test
    void shutdownWaitsForTheAcceptLoop() throws Exception {
        try (ScriptedServer server = startServer("fine"); GatewayFixture f = startGateway(SHARED_LISTENER, server)) {
            Runnable resume = f.stallLoop(3);
            Client client = f.connectClient();
            client.write(statusRequest("r", LONG_TIMEOUT_MILLIS));
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            long begin = System.nanoTime();
            await("the others' end", () -> System.nanoTime() - begin > TimeUnit.MILLISECONDS.toNanos(1_500));
            assertFalse(shutdownDone.isDone());
            resume.run();
            assertEquals("fine", client.read().body());
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** The loop that accepts for the others does not run any more: they end their shutdown without it. */
    @Test
    void aStalledAcceptLoopDoesNotKeepTheOthers() throws Exception {
        try (ScriptedServer server = startServer("fine"); GatewayFixture f = startGateway(SHARED_LISTENER, server)) {
            Runnable resume = f.stallLoop(3);
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            shutdownDone.get(2 * ShutdownMonitor.STALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            resume.run();
        }
    }

    private static CompletableFuture<Message> exchangeAsync(Client client, String request) {
        CompletableFuture<Message> answer = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                answer.complete(client.exchange(request));
            } catch (IOException e) {
                answer.completeExceptionally(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return answer;
    }

    /** All loops shut down together: each answers what it received exactly once, and then no loop accepts anything more. */
    @ParameterizedTest
    @ValueSource(strings = {SHARED_LISTENER, LISTENER_PER_LOOP})
    void allLoopsShutDownTogetherAndAnswerWhatTheyReceived(String operatorToml) throws Exception {
        List<Socket> requestSockets = new CopyOnWriteArrayList<>();
        // Three servers for each client: the system may assign all clients to one loop, whose limits are a third of those of the
        // process. With one server for each client the fourth request was then held.
        List<String> entries = new ArrayList<>();
        try (ScriptedServer server = new ScriptedServer((socket, request) -> requestSockets.add(socket))) {
            for (int i = 0; i < 3 * CLIENT_COUNT; i++) {
                entries.add(endpointJson("s-" + i, server, "up", 0));
            }
            shutDownWithOpenRequests(operatorToml, entries, requestSockets);
            assertEquals(CLIENT_COUNT, server.requests.size());
        }
    }

    private void shutDownWithOpenRequests(String operatorToml, List<String> entries, List<Socket> requestSockets)
            throws Exception {
        try (GatewayFixture f = startGateway(operatorToml, GatewayFixture.createIdleDiscovery(),
                endpointListJson(1, true, entries))) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < CLIENT_COUNT; i++) {
                clients.add(f.connectClient());
                clients.get(i).write(submitRequest("r" + i, LONG_TIMEOUT_MILLIS, "x"));
                int sentCount = i + 1;
                await("request " + i + " at the host", () -> requestSockets.size() == sentCount);
            }
            CompletableFuture<Void> shutdownDone = f.gateway.shutDown();
            assertTrue(f.get("/ready").firstLine().contains("503"), "the probe is told, on whichever loop");
            assertFalse(shutdownDone.isDone());
            for (Socket socket : requestSockets) {
                ScriptedServer.reply("200 OK", "late").answer(socket, null);
            }
            for (Client client : clients) {
                assertEquals("late", client.read().body());
            }
            shutdownDone.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            // A closed listener is released only at the next select of its selector.
            await("the listener's end", () -> refusesConnections(f));
        }
    }

    private static boolean refusesConnections(GatewayFixture f) {
        try {
            f.connectClient();
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** A change of the list, and a new address of discovery after a reload, reach every loop. */
    @Test
    void allLoopsFollowTheListAndAReload() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        List<Socket> newWatchSockets = new CopyOnWriteArrayList<>();
        try (ScriptedServer a = startServer("a"); ScriptedServer b = startServer("b"); ScriptedServer c = startServer("c");
                ScriptedServer newDiscovery = startDiscovery(newWatchSockets);
                GatewayFixture f = startGateway(SHARED_LISTENER, startDiscovery(watchSockets),
                        endpointListJson(1, true, List.of(endpointJson("s", a, "up", 0))))) {
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                clients.add(f.connectClient());
            }
            assertEquals(Set.of("a"), fetchBodies(clients));
            sendWatchLine(watchSockets.get(0),
                    endpointListJson(2, false, List.of(endpointJson("s", a, "draining", 0), endpointJson("t", b, "up", 0))));
            await("all on b", () -> fetchBodies(clients).equals(Set.of("b")));
            Path file = Files.writeString(folder.resolve("config.json"), "{\"discovery\":\"" + newDiscovery.addressText()
                    + "\",\"seed\":\"2a\",\"settings\":" + GatewayFixture.SETTINGS.replace("IDLE", "15000000000") + "}");
            Map<String, String> environment =
                    Map.of("LB_CONFIG", file.toString(), "LB_OPERATOR", folder.resolve("operator.toml").toString());
            new Reload(environment, GatewayConfig.readFile(environment), f.gateway).run();
            await("the second watch", () -> newWatchSockets.size() == 1);
            assertEquals(1, watchSockets.size(), "one watch for all loops");
            sendWatchLine(newWatchSockets.get(0), endpointListJson(9, true, List.of(endpointJson("u", c, "up", 0))));
            await("all on c", () -> fetchBodies(clients).equals(Set.of("c")));
        }
    }

    private static ScriptedServer startDiscovery(List<Socket> watchSockets) throws IOException {
        return new ScriptedServer((socket, request) -> {
            GatewayFixture.startWatchResponse(socket);
            sendWatchLine(socket, endpointListJson(1, false, List.of()));
            watchSockets.add(socket);
        });
    }

    private static Set<String> fetchBodies(List<Client> clients) {
        Set<String> bodies = new HashSet<>();
        try {
            for (Client client : clients) {
                bodies.add(client.exchange(statusRequest("r" + System.nanoTime(), LONG_TIMEOUT_MILLIS)).body());
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return bodies;
    }

    /** A gateway uses its subset while that serves requests, and adds servers when the whole subset fails. */
    @Test
    void aFailingSubsetIsWidened() throws Exception {
        List<ScriptedServer> servers = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            servers.add(startServer("fine"));
            entries.add(endpointJson("s-" + i, servers.get(i), "up", 0));
        }
        String operatorToml = "[subset]\nnodes = 4\ngateways = { a = 20 }\nnumber = 3\n";
        try (GatewayFixture f = startGateway(operatorToml, GatewayFixture.createIdleDiscovery(),
                endpointListJson(1, true, entries))) {
            Client client = f.connectClient();
            for (int i = 0; i < 200; i++) {
                assertEquals("fine", client.exchange(statusRequest("a" + i, LONG_TIMEOUT_MILLIS)).body());
            }
            List<ScriptedServer> subset = servers.stream().filter(server -> !server.requests.isEmpty()).toList();
            assertTrue(subset.size() >= 2 && subset.size() <= 10, subset.size() + " of 20 were asked");
            subset.forEach(server -> server.setScript(ScriptedServer.reply("500 Broken", "")));
            await("an answer from beyond the subset", () -> fetchStatusLine(f).contains(" 200 "));
        } finally {
            servers.forEach(ScriptedServer::close);
        }
    }

    private static String fetchStatusLine(GatewayFixture f) {
        try {
            return f.connectClient().exchange(statusRequest("r" + System.nanoTime(), LONG_TIMEOUT_MILLIS)).firstLine();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** A list of 10,000 servers, in one line of more than a megabyte, is sent twice, with a change in between. */
    @Test
    void aListOfTenThousandIsAppliedWholeAndSoAreItsChanges() throws Exception {
        List<Socket> watchSockets = new CopyOnWriteArrayList<>();
        try (ScriptedServer firstServer = startServer("old"); ScriptedServer sharedServer =
                startServer("many"); ScriptedServer lastServer = startServer("last");
                GatewayFixture f = startGateway("[class.status]\nattempts = 2\n", startDiscovery(watchSockets),
                        endpointListJson(1, true, List.of(endpointJson("s", firstServer, "up", 0))))) {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 10_000; i++) {
                entries.add(endpointJson("a-node-with-a-long-name-of-its-own-" + i, sharedServer, "up", 0));
            }
            String largeList = endpointListJson(2, true, entries);
            assertTrue(largeList.length() > 1 << 20, largeList.length() + " bytes");
            sendWatchLine(watchSockets.get(0), largeList);
            List<Client> clients = List.of(f.connectClient());
            await("the new list", () -> fetchBodies(clients).equals(Set.of("many")));
            List<String> lastEntries = new ArrayList<>(entries.subList(0, 1));
            lastEntries.set(0, entries.get(0).replace("\"up\"", "\"draining\""));
            lastEntries.add(endpointJson("t", lastServer, "up", 0));
            sendWatchLine(watchSockets.get(0), endpointListJson(3, true, lastEntries));
            await("the whole list replaced", () -> fetchBodies(clients).equals(Set.of("last")));
        }
    }
}
