package cinderhollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cinderhollow.testing.Await;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Long work on an event loop is done in steps, between which the loop reads its sockets. */
class IncrementalTaskTest {
    private static final int STEP_COUNT = 40;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicInteger stepsDone = new AtomicInteger();
    private final AtomicInteger stepsDoneAtFirstRead = new AtomicInteger(STEP_COUNT);

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void whatComesFromASocketIsReadBetweenTheSteps() throws Exception {
        InetSocketAddress address = (InetSocketAddress) new ServerBootstrap().group(loop)
                .channel(NioServerSocketChannel.class).childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) {
                        stepsDoneAtFirstRead.accumulateAndGet(stepsDone.get(), Math::min);
                        ReferenceCountUtil.release(message);
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel().localAddress();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            IncrementalTask task = new IncrementalTask(loop, () -> stepsDone.get() < STEP_COUNT, () -> {
                if (stepsDone.getAndIncrement() == 0) {
                    write(client);
                }
            });
            loop.execute(task::resume);
            Await.until("all steps", () -> stepsDone.get() == STEP_COUNT);
            assertTrue(stepsDoneAtFirstRead.get() < STEP_COUNT, "read after all steps");
        }
    }

    @Test
    void aStepThatFailsIsNotTheEndOfTheOthersAndNoneIsDoneTwice() throws Exception {
        IncrementalTask task = new IncrementalTask(loop, () -> stepsDone.get() < STEP_COUNT, () -> {
            if (stepsDone.getAndIncrement() % 2 == 0) {
                throw new IllegalStateException("made up");
            }
        });
        for (int i = 0; i < 3; i++) {
            loop.execute(task::resume);
        }
        Await.until("all steps", () -> stepsDone.get() == STEP_COUNT);
        loop.submit(() -> { }).sync();
        assertEquals(STEP_COUNT, stepsDone.get());
    }

    private static void write(Socket socket) {
        try {
            socket.getOutputStream().write('x');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
