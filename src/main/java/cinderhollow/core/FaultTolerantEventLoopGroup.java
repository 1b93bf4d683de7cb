package cinderhollow.core;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Event loops that go on after a fault that nobody has handled, such as an {@link OutOfMemoryError} thrown for one connection: all
 * other connections of the loop would end with it. A loop that meets faults without a pause ends.
 */
public final class FaultTolerantEventLoopGroup extends MultiThreadIoEventLoopGroup {
    /** Is told of the faults of the loops, on the thread of the loop. */
    public interface Listener {
        /** Called after a fault that the loop goes on after. */
        void onFault(Throwable fault);

        /** Called when a loop is about to end because of its faults, of which this is the last one. */
        void onLoopEnding(EventExecutor loop, Throwable fault);
    }

    /** A loop ends with the first fault beyond so many within one interval. */
    static final int MAX_FAULTS_PER_INTERVAL = 20;
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Creates so many loops. */
    public FaultTolerantEventLoopGroup(int loops, IoHandlerFactory handlers, Listener listener) {
        super(loops, (Executor) null, handlers, listener);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... arguments) {
        return new FaultTolerantEventLoop(this, executor, handlers, (Listener) arguments[0]);
    }

    private static final class FaultTolerantEventLoop extends SingleThreadIoEventLoop {
        private final Listener listener;
        private int faults;
        private long intervalStartedAt;

        FaultTolerantEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory handlers, Listener listener) {
            super(parent, executor, handlers);
            this.listener = listener;
        }

        @Override
        protected void run() {
            boolean ended = false;
            while (!ended) {
                ended = runUntilFault();
            }
        }

        /** Runs the loop. Returns true if it has ended in order, and false if it is to go on after a fault. */
        private boolean runUntilFault() {
            try {
                super.run();
                return true;
            } catch (RuntimeException | Error fault) {
                if (!mayGoOn()) {
                    listener.onLoopEnding(this, fault);
                    throw fault;
                }
                listener.onFault(fault);
                return false;
            }
        }

        private boolean mayGoOn() {
            long now = System.nanoTime();
            if (faults == 0 || now - intervalStartedAt > INTERVAL_NANOS) {
                intervalStartedAt = now;
                faults = 0;
            }
            faults++;
            return faults <= MAX_FAULTS_PER_INTERVAL && !isShuttingDown();
        }
    }
}
