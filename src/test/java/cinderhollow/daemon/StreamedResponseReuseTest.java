package cinderhollow.daemon;

import static cinderhollow.daemon.GatewayFixture.TIMEOUT_MILLIS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cinderhollow.core.DirectMemory;
import cinderhollow.core.GatewayClock;
import cinderhollow.core.LoopActivity;
import cinderhollow.core.Transport;
import cinderhollow.http1.BodyMemoryBudget;
import cinderhollow.http1.ResponseSink;
import cinderhollow.http1.UpstreamPool;
import cinderhollow.membership.EndpointList;
import cinderhollow.membership.EndpointList.Endpoint;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Readiness;
import cinderhollow.policy.Protocol.ServerInfo;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Reuse of a server's connection after a streamed response. */
class StreamedResponseReuseTest {
    private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int LARGE_BODY_BYTES = 200_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() throws InterruptedException {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(TIMEOUT_MILLIS);
    }

    /** Receives a streamed response as a slow client does: the last bytes fill its buffer, so that reading is paused. */
    private static final class PausingResult extends AttemptResult {
        private int receivedBytes;

        @Override
        public ResponseSink onStreamStarted(UpstreamPool.Attempt attempt, long atNanos, LoadReport load, long length,
                ResponseSink.Source source) {
            return new ResponseSink() {
                @Override
                public void onData(ByteBuf bytes) {
                    receivedBytes += bytes.readableBytes();
                    bytes.release();
                    source.setReading(receivedBytes < LARGE_BODY_BYTES);
                }

                @Override
                public void onEnd() {
                    complete("streamed");
                }

                @Override
                public void onAborted() {
                    complete("aborted");
                }
            };
        }
    }

    private String send(UpstreamPool pool, AttemptResult result) throws Exception {
        loop.execute(() -> pool.send("h", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/status",
                Unpooled.EMPTY_BUFFER), LONG_TIMEOUT_NANOS, result));
        return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against a kept connection that stays unread, whose next request timed out though the server had answered it. */
    @Test
    void aConnectionWhoseStreamedResponseEndedWhileReadingWasPausedIsReadAgain() throws Exception {
        try (ScriptedServer server = new ScriptedServer(ScriptedServer.reply("200 OK", "x".repeat(LARGE_BODY_BYTES)))) {
            UpstreamPool pool = new UpstreamPool(loop, Transport.TCP, new GatewayClock(), new LoopActivity(), LONG_TIMEOUT_NANOS, LONG_TIMEOUT_NANOS,
                    10, new BodyMemoryBudget(DirectMemory.limitBytes(), 10, DirectMemory::inUseBytes), null, 0);
            loop.execute(() -> pool.update(new EndpointList(1, true, List.of(new Endpoint(
                    new ServerInfo("h", "a", "std", 0, Readiness.READY, 1, 0), server.address())))));
            assertEquals("streamed", send(pool, new PausingResult()));
            server.setScript(ScriptedServer.reply("200 OK", "small"));
            assertEquals("small", send(pool, new AttemptResult()));
            assertEquals(1, server.connections.size(), "both on the kept connection");
        }
    }
}
