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
class InTurnTest {
    private static final int STEPS = 40;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicInteger steps = new AtomicInteger();
    private final AtomicInteger stepsAtRead = new AtomicInteger(STEPS);

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void whatComesFromASocketIsReadBetweenTheSteps() throws Exception {
        InetSocketAddress address = (InetSocketAddress) new ServerBootstrap().group(loop)
                .channel(NioServerSocketChannel.class).childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) {
                        stepsAtRead.accumulateAndGet(steps.get(), Math::min);
                        ReferenceCountUtil.release(message);
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel().localAddress();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            IncrementalTask work = new IncrementalTask(loop, () -> steps.get() < STEPS, () -> {
                if (steps.getAndIncrement() == 0) {
                    write(client);
                }
            });
            loop.execute(work::resume);
            Await.until("all steps", () -> steps.get() == STEPS);
            assertTrue(stepsAtRead.get() < STEPS, "read after all steps");
        }
    }

    @Test
    void aStepThatFailsIsNotTheEndOfTheOthersAndNoneIsDoneTwice() throws Exception {
        IncrementalTask work = new IncrementalTask(loop, () -> steps.get() < STEPS, () -> {
            if (steps.getAndIncrement() % 2 == 0) {
                throw new IllegalStateException("made up");
            }
        });
        for (int i = 0; i < 3; i++) {
            loop.execute(work::resume);
        }
        Await.until("all steps", () -> steps.get() == STEPS);
        loop.submit(() -> { }).sync();
        assertEquals(STEPS, steps.get());
    }

    private static void write(Socket socket) {
        try {
            socket.getOutputStream().write('x');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
