package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.DirectMemory;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LoopActivity;
import cinderhollow.core.Transport;
import cinderhollow.http1.BodyMemoryBudget;
import cinderhollow.http1.UpstreamPool;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A request that was sent in part to a server that stopped reading. It is larger than the system's buffers, so its last byte
 * can't have been sent.
 */
class PartiallySentRequestTest {
    private static final int BODY_BYTES = 24 * 1024 * 1024;
    private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AttemptResult attemptResult = new AttemptResult();
    private ServerSocket listener;
    private Socket serverSocket;
    private UpstreamPool upstreamPool;

    @BeforeEach
    void start() throws Exception {
        listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        upstreamPool = new UpstreamPool(loop, Transport.TCP, new GatewayClock(), new LoopActivity(), LONG_TIMEOUT_NANOS, LONG_TIMEOUT_NANOS, 10,
                new BodyMemoryBudget(DirectMemory.limitBytes(), 10, DirectMemory::inUseBytes), null, 0);
        loop.submit(() -> upstreamPool.update(new EndpointList(1, true, List.of(new Endpoint(new ServerInfo("h", "a", "std", 0,
                Readiness.READY, 1, 0), (InetSocketAddress) listener.getLocalSocketAddress()))))).get();
    }

    @AfterEach
    void stop() throws Exception {
        serverSocket.close();
        listener.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(TIMEOUT_MILLIS);
    }

    /** Starts the attempt and waits until the server has received its first bytes. */
    private UpstreamPool.Attempt startAttempt(long timeoutNanos) throws Exception {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/submit",
                Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        request.headers().setInt("Content-Length", BODY_BYTES);
        UpstreamPool.Attempt attempt = loop.submit(() -> upstreamPool.send("h", request, timeoutNanos, attemptResult)).get();
        serverSocket = listener.accept();
        serverSocket.setSoTimeout(TIMEOUT_MILLIS);
        assertEquals('P', serverSocket.getInputStream().read());
        return attempt;
    }

    private String awaitOutcome() throws Exception {
        return attemptResult.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * The client has disconnected; cancelling the attempt cancels no work of the server, so it is done even where cancels are
     * forbidden.
     */
    @Test
    void isCancelledAndNeverArrivesComplete() throws Exception {
        UpstreamPool.Attempt attempt = startAttempt(LONG_TIMEOUT_NANOS);
        loop.submit(attempt::cancelIfUnsent).get();
        assertEquals("CANCELLED", awaitOutcome());
        assertTrue(attempt.isUnsent());
        assertTrue(serverSocket.getInputStream().readAllBytes().length < BODY_BYTES);
    }

    @Test
    void isConnectFailedWhenItTimesOut() throws Exception {
        startAttempt(TimeUnit.SECONDS.toNanos(1));
        assertEquals("CONNECT_FAILED", awaitOutcome());
        assertTrue(serverSocket.getInputStream().readAllBytes().length < BODY_BYTES);
    }

    /** A server can't have served a request that it received in part, so these bytes must not be taken for the answer. */
    @Test
    void isNotServedByAResponseBeforeItsEnd() throws Exception {
        startAttempt(LONG_TIMEOUT_NANOS);
        serverSocket.getOutputStream()
                .write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse".getBytes(StandardCharsets.US_ASCII));
        assertEquals("ERROR", awaitOutcome());
    }
}
