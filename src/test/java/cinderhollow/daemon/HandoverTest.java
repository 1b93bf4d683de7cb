package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.statusRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.handover.Snapshot;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Handover between two gateways over a socket, whose other side may also be a different or a faulty process. */
class HandoverTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> log = new CopyOnWriteArrayList<>();
    private Path folder;

    @BeforeEach
    void createFolder() throws IOException {
        // Not the temporary folder of the test runner: the path of a Unix socket may have at most about a hundred characters.
        folder = Files.createTempDirectory("ho");
    }

    @AfterEach
    void cleanUp() throws IOException {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(TIMEOUT_MILLIS);
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private void offerHandover(GatewayFixture f) throws Exception {
        Handover.offer(group.next(), folder, f.gateway, log::add).sync();
        await("the offer", () -> Files.exists(folder.resolve("handover")));
    }

    private Runnable takeOver(GatewayFixture f) {
        return Handover.takeOver(group.next(), folder, f.gateway, log::add);
    }

    private static Snapshot snapshot(GatewayFixture f) throws Exception {
        return f.gateway.snapshot().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean hasLogged(String words) {
        return log.stream().anyMatch(line -> line.contains(words));
    }

    @Test
    void aSuccessorKnowsWhatItsPredecessorLearnt() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture predecessor = GatewayFixture.withServers(server); GatewayFixture successor =
                        GatewayFixture.withServers(server)) {
            for (int i = 0; i < 20; i++) {
                predecessor.connectClient().exchange(statusRequest("r" + i, LONG_TIMEOUT_MILLIS));
            }
            predecessor.gateway.setStandby(true).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            offerHandover(predecessor);
            Runnable notifyServing = takeOver(successor);
            assertTrue(hasLogged("took over"), log.toString());
            assertEquals(20, snapshot(successor).learnedState().classes().get(0).servedCount());
            assertEquals(snapshot(predecessor).endpoints(), snapshot(successor).endpoints());
            assertTrue(successor.get("/ready").firstLine().contains(" 503 "), "a gateway in standby stays in standby");
            assertTrue(!hasLogged("a successor process serves"));
            notifyServing.run();
            await("the word that it serves", () -> hasLogged("a successor process serves"));
        }
    }

    /** The second successor takes over from the first one: the newest offer is found, and there is an offer at any time. */
    @Test
    void aThirdProcessTakesOverFromTheSecond() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture first = GatewayFixture.withServers(server); GatewayFixture second =
                        GatewayFixture.withServers(server);
                GatewayFixture third = GatewayFixture.withServers(server)) {
            first.connectClient().exchange(statusRequest("a", LONG_TIMEOUT_MILLIS));
            offerHandover(first);
            takeOver(second).run();
            second.connectClient().exchange(statusRequest("b", LONG_TIMEOUT_MILLIS));
            offerHandover(second);
            await("the second's offer", () -> folder.toFile().list().length == 1);
            takeOver(third);
            assertEquals(2, snapshot(third).learnedState().classes().get(0).servedCount());
        }
    }

    @Test
    void aSuccessorThatGoesBeforeItServesChangesNothing() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture predecessor = GatewayFixture.withServers(server)) {
            offerHandover(predecessor);
            for (int i = 0; i < 3; i++) {
                try (SocketChannel closingSuccessor =
                        SocketChannel.open(UnixDomainSocketAddress.of(folder.resolve("handover")))) {
                    assertTrue(closingSuccessor.read(ByteBuffer.allocate(1)) > 0);
                }
            }
            await("three that went", () -> log.stream().filter(line -> line.contains("went before")).count() == 3);
            assertEquals("fine", predecessor.connectClient().exchange(statusRequest("r", LONG_TIMEOUT_MILLIS)).body());
        }
    }

    /**
     * The other side is no gateway of this build, or one that hangs or dies: the gateway must start without handover, and
     * soon.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "nonsense without an end to the line and far longer than any first line of ours would be",
        "kestrelpier-handover 2 5 00000000\nabcde", "kestrelpier-handover 1 5 00000000\nabcde",
        "kestrelpier-handover 1 500 00000000\nabcde", "kestrelpier-handover 1 99999999 00000000\n",
        "kestrelpier-handover 1 2 d8a7bf05\n{}"})
    void anUnusablePredecessorLeadsToAPlainStart(String predecessorBytes) throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture successor = GatewayFixture.withServers(server);
                ServerSocketChannel listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            listener.bind(UnixDomainSocketAddress.of(folder.resolve("handover")));
            for (boolean keepsOpen : new boolean[] {false, true}) {
                Thread predecessorThread = new Thread(() -> {
                    try {
                        SocketChannel channel = listener.accept();
                        channel.write(ByteBuffer.wrap(predecessorBytes.getBytes(StandardCharsets.US_ASCII)));
                        if (!keepsOpen) {
                            channel.close();
                        }
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
                predecessorThread.start();
                log.clear();
                takeOver(successor).run();
                predecessorThread.join(TIMEOUT_MILLIS);
                assertTrue(hasLogged("no handover, starting without the predecessor's snapshot"), log.toString());
                assertEquals("fine", successor.connectClient().exchange(statusRequest("r" + keepsOpen, LONG_TIMEOUT_MILLIS))
                        .body());
            }
        }
    }

    /** A process that was killed leaves a socket file on which no process listens. */
    @Test
    void aStaleSocketLeadsToAPlainStart() throws Exception {
        ServerSocketChannel staleListener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        staleListener.bind(UnixDomainSocketAddress.of(folder.resolve("handover")));
        staleListener.close();
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "fine"));
                GatewayFixture successor = GatewayFixture.withServers(server)) {
            takeOver(successor).run();
            assertTrue(hasLogged("no handover, starting without the predecessor's snapshot"), log.toString());
            offerHandover(successor);
        }
    }
}
