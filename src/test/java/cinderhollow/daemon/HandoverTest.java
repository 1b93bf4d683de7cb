package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.LONG_MILLIS;
import static cinderhollow.daemon.GatewayFixture.PATIENCE_MILLIS;
import static cinderhollow.daemon.GatewayFixture.await;
import static cinderhollow.daemon.GatewayFixture.status;
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
    void folder() throws IOException {
        // Not the temporary folder of the test runner: the path of a Unix socket may have at most about a hundred characters.
        folder = Files.createTempDirectory("ho");
    }

    @AfterEach
    void end() throws IOException {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly(PATIENCE_MILLIS);
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private void offer(GatewayFixture f) throws Exception {
        Handover.offer(group.next(), folder, f.gateway, log::add).sync();
        await("the offer", () -> Files.exists(folder.resolve("handover")));
    }

    private Runnable takeOver(GatewayFixture f) {
        return Handover.takeOver(group.next(), folder, f.gateway, log::add);
    }

    private static Snapshot snapshot(GatewayFixture f) throws Exception {
        return f.gateway.snapshot().get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean logged(String words) {
        return log.stream().anyMatch(line -> line.contains(words));
    }

    @Test
    void aSuccessorKnowsWhatItsPredecessorLearnt() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture old = GatewayFixture.knowing(host); GatewayFixture next = GatewayFixture.knowing(host)) {
            for (int i = 0; i < 20; i++) {
                old.client().ask(status("r" + i, LONG_MILLIS));
            }
            old.gateway.setStandby(true).get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            offer(old);
            Runnable serves = takeOver(next);
            assertTrue(logged("took over"), log.toString());
            assertEquals(20, snapshot(next).learnedState().classes().get(0).servedCount());
            assertEquals(snapshot(old).endpoints(), snapshot(next).endpoints());
            assertTrue(next.get("/ready").firstLine().contains(" 503 "), "a gateway in standby stays in standby");
            assertTrue(!logged("a successor process serves"));
            serves.run();
            await("the word that it serves", () -> logged("a successor process serves"));
        }
    }

    /** The second successor takes over from the first one: the newest offer is found, and there is an offer at any time. */
    @Test
    void aThirdProcessTakesOverFromTheSecond() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture first = GatewayFixture.knowing(host); GatewayFixture second = GatewayFixture.knowing(host);
                GatewayFixture third = GatewayFixture.knowing(host)) {
            first.client().ask(status("a", LONG_MILLIS));
            offer(first);
            takeOver(second).run();
            second.client().ask(status("b", LONG_MILLIS));
            offer(second);
            await("the second's offer", () -> folder.toFile().list().length == 1);
            takeOver(third);
            assertEquals(2, snapshot(third).learnedState().classes().get(0).servedCount());
        }
    }

    @Test
    void aSuccessorThatGoesBeforeItServesChangesNothing() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture old = GatewayFixture.knowing(host)) {
            offer(old);
            for (int i = 0; i < 3; i++) {
                try (SocketChannel died = SocketChannel.open(UnixDomainSocketAddress.of(folder.resolve("handover")))) {
                    assertTrue(died.read(ByteBuffer.allocate(1)) > 0);
                }
            }
            await("three that went", () -> log.stream().filter(line -> line.contains("went before")).count() == 3);
            assertEquals("fine", old.client().ask(status("r", LONG_MILLIS)).body());
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
    void aFarSideThatIsOfNoUseIsAPlainStart(String says) throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture next = GatewayFixture.knowing(host);
                ServerSocketChannel far = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            far.bind(UnixDomainSocketAddress.of(folder.resolve("handover")));
            for (boolean stuck : new boolean[] {false, true}) {
                Thread answers = new Thread(() -> {
                    try {
                        SocketChannel channel = far.accept();
                        channel.write(ByteBuffer.wrap(says.getBytes(StandardCharsets.US_ASCII)));
                        if (!stuck) {
                            channel.close();
                        }
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
                answers.start();
                log.clear();
                takeOver(next).run();
                answers.join(PATIENCE_MILLIS);
                assertTrue(logged("no handover, starting without the predecessor's snapshot"), log.toString());
                assertEquals("fine", next.client().ask(status("r" + stuck, LONG_MILLIS)).body());
            }
        }
    }

    /** A process that was killed leaves a socket file on which no process listens. */
    @Test
    void aNameThatNobodyAnswersAtIsAPlainStart() throws Exception {
        ServerSocketChannel killed = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        killed.bind(UnixDomainSocketAddress.of(folder.resolve("handover")));
        killed.close();
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"));
                GatewayFixture next = GatewayFixture.knowing(host)) {
            takeOver(next).run();
            assertTrue(logged("no handover, starting without the predecessor's snapshot"), log.toString());
            offer(next);
        }
    }
}
