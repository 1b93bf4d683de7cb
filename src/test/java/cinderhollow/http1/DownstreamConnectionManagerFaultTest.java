package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.core.DirectMemory;
import cinderhollow.core.EventLoopLag;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LoopActivity;
import cinderhollow.core.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that a request that was read is answered although its handling fails, and that a response that ends its connection
 * arrives although the client sends more.
 */
class DownstreamConnectionManagerFaultTest {
    private static final int TIMEOUT_MILLIS = 10_000, RECEIVE_BUFFER_BYTES = 4_096;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> faults = new CopyOnWriteArrayList<>();

    private interface RequestHandler {
        void handle(DownstreamConnectionManager.Reply reply);
    }

    private Socket connect(RequestHandler handler) throws Exception {
        EventLoop loop = group.next();
        DownstreamConnectionManager server =
                loop.submit(() -> new DownstreamConnectionManager(loop, Transport.TCP, new GatewayClock(), new EventLoopLag(),
                new LoopActivity(), 100, new BodyMemoryBudget(DirectMemory.limitBytes(), 100, DirectMemory::inUseBytes), new ClientHeapBudget(1 << 20, 100),
                new DownstreamConnectionManager.Listener() {
                    @Override
                    public boolean isReady() {
                        return true;
                    }

                    @Override
                    public void onRequest(FullHttpRequest request, Upload upload, long arrivedAt,
                            DownstreamConnectionManager.Reply reply) {
                        handler.handle(reply);
                    }

                    @Override
                    public void onInternalError(Throwable fault) {
                        faults.add(fault.getMessage());
                    }

                    @Override
                    public void onMemoryRefusal(MemoryRefusal refusal) { }
                }, null)).get();
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync();
        Socket socket = new Socket();
        // Set before the connect, so that the receive window is small from the first byte on.
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(server.address());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(TIMEOUT_MILLIS);
    }

    @Test
    void aFaultInTheHandlingOfARequestIsAnswered() throws Exception {
        try (Socket client = connect(reply -> {
            throw new IllegalStateException("planted");
        })) {
            send(client, REQUEST);
            assertTrue(new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).contains(" 502"));
            assertEquals(List.of("planted"), faults);
        }
    }

    /**
     * Guards against a response that is cut off: closing with unread input resets the connection, and the kernel discards what it
     * still holds of the response.
     */
    @Test
    void anAnswerThatEndsItsConnectionArrivesThoughMoreLiesUnread() throws Exception {
        int length = 120_000;
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch moreSent = new CountDownLatch(1);
        try (Socket client = connect(reply -> {
            requestReceived.countDown();
            try {
                assertTrue(moreSent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            reply.respondPlainText(HttpResponseStatus.OK, "x".repeat(length), 0);
        })) {
            send(client, "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            assertTrue(requestReceived.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            send(client, REQUEST);
            moreSent.countDown();
            // The client reads only after the gateway has written the whole response.
            TimeUnit.MILLISECONDS.sleep(300);
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            client.getInputStream().transferTo(answer);
            assertTrue(answer.size() > length, answer.size() + " bytes of " + length);
        }
    }
}
