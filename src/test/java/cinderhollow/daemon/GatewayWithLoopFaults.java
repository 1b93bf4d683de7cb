package cinderhollow.daemon;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway process whose first event loop meets as many faults as the environment says, one after the other, from SIGUSR2 on. */
final class GatewayWithLoopFaults {
    static final String FAULTS_VARIABLE = "TEST_LOOP_FAULTS";

    private static final AtomicInteger FAULTS_LEFT = new AtomicInteger();

    private GatewayWithLoopFaults() { }

    /** Starts the gateway that the environment describes. */
    public static void main(String[] arguments) {
        GatewayDaemon.serve(System.getenv(), failingFactory());
        sun.misc.Signal.handle(new sun.misc.Signal("USR2"),
                signal -> FAULTS_LEFT.set(Integer.parseInt(System.getenv(FAULTS_VARIABLE))));
    }

    private static IoHandlerFactory failingFactory() {
        IoHandlerFactory sockets = NioIoHandler.newFactory();
        AtomicInteger loops = new AtomicInteger();
        return executor -> loops.getAndIncrement() == 0 ? new FailingIoHandler(sockets.newHandler(executor))
                : sockets.newHandler(executor);
    }

    /** Handles sockets as another handler does, but for the faults. */
    private record FailingIoHandler(IoHandler sockets) implements IoHandler {
        @Override
        public void initialize() {
            sockets.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            int handled = sockets.run(context);
            if (FAULTS_LEFT.get() > 0) {
                FAULTS_LEFT.decrementAndGet();
                throw new OutOfMemoryError("planted");
            }
            return handled;
        }

        @Override
        public void prepareToDestroy() {
            sockets.prepareToDestroy();
        }

        @Override
        public void destroy() {
            sockets.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return sockets.register(handle);
        }

        @Override
        public void wakeup() {
            sockets.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return sockets.isCompatible(handleType);
        }
    }
}
