package cinderhollow.daemon;

import cinderhollow.core.FaultTolerantEventLoopGroup;
import cinderhollow.core.Json;
import cinderhollow.core.Transport;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The process that runs a {@link Gateway}: its event loops, start, signal handling and shutdown. */
public final class GatewayDaemon {
    /** Exit code of a process that ends because of an internal error. */
    public static final int EXIT_INTERNAL_ERROR = 70;

    /** Bound on stopping the event loops once the gateway has shut down, in milliseconds. */
    private static final long LOOP_SHUTDOWN_MILLIS = 100;

    private GatewayDaemon() { }

    /**
     * Starts the gateway that the environment describes and returns once it listens; it then runs until the process is asked
     * to stop. An invalid environment or configuration causes an {@link IllegalArgumentException}.
     */
    public static void serve(Map<String, String> environment) {
        serve(environment, NioIoHandler.newFactory());
    }

    /** Does the same with event loops whose sockets are handled as given. */
    static void serve(Map<String, String> environment, IoHandlerFactory sockets) {
        // Avoids Netty's search for logging libraries that are not on the class path: it takes as long as fetching an
        // endpoint list.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        CompletableFuture<Reload> started = new CompletableFuture<>();
        onHangUp(() -> started.thenAccept(Reload::run));
        Json file = GatewayConfig.readFile(environment);
        start(GatewayConfig.read(environment, file), sockets,
                gateway -> started.complete(new Reload(environment, file, gateway)));
    }

    /** Starts a gateway whose configuration is given entirely on the command line; otherwise like {@link #serve(Map)}. */
    public static void serve(CommandLineConfig config) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        onHangUp(() -> System.err.println("cinderhollow: SIGHUP has no effect: there is no configuration file to reload"));
        start(config.toGatewayConfig(), NioIoHandler.newFactory(), gateway -> { });
        System.out.println("ready: " + config);
    }

    private static void start(GatewayConfig config, IoHandlerFactory sockets, Consumer<GatewayService> started) {
        EventLoopFaults faults = new EventLoopFaults(System.err::println, () -> System.exit(EXIT_INTERNAL_ERROR));
        EventLoopGroup group = new FaultTolerantEventLoopGroup(threadCount(config), sockets, faults);
        GatewayService gateway = open(group, config, System.out::println).join();
        started.accept(gateway);
        // Opened before the warm-up: operators may ask from the start, and are answered that the gateway does not serve yet.
        Runnable closeOpsSocket = config.opsAddress() == null ? null
                : OpsSocketLauncher.open(group, config.opsAddress(), gateway);
        // The warm-up runs while discovery's first answer is awaited.
        WarmUp.run(config, WarmUp.MAX_DURATION_MILLIS);
        boolean handoverEnabled = config.inheritedListener() != null && config.inheritedListener().handoverDirectory() != null;
        // As late as possible, so that the predecessor's snapshot is as recent as possible.
        Runnable notifyPredecessor = handoverEnabled
                ? Handover.takeOver(group.next(), config.inheritedListener().handoverDirectory(), gateway,
                System.out::println) : null;
        try {
            // Before the clients' listener: an address that cannot be bound must fail the start before any client has
            // connected.
            Runnable closeAdmin = config.adminAddress() == null ? null : Admin.start(config.adminAddress(), gateway);
            listen(gateway, new Thread(() -> {
                try {
                    shutDown(gateway, group, closeAdmin, closeOpsSocket);
                } finally {
                    if (faults.hasLoopEnded()) {
                        // With the last event loop the runtime ends by itself, as if nothing had failed.
                        Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
                    }
                }
            }));
            if (handoverEnabled) {
                notifyPredecessor.run();
                Handover.offer(group.next(), config.inheritedListener().handoverDirectory(), gateway, System.out::println);
            }
        } catch (CompletionException e) {
            group.shutdownGracefully();
            throw new IllegalArgumentException("can't listen on " + config.listenAddress() + ": "
                    + e.getCause().getMessage(), e);
        }
    }

    private static void listen(GatewayService gateway, Thread shutdownHook) {
        // Registered before clients can connect: otherwise a SIGTERM right after listening would end the process with
        // requests unanswered.
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            gateway.listen().join();
        } catch (CompletionException e) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            throw e;
        }
    }

    /**
     * Returns the number of event loop threads: one, or for several gateway loops one more, which accepts connections for
     * them.
     */
    static int threadCount(GatewayConfig config) {
        return config.eventLoops() == null || config.eventLoops().loopCount() == 1 ? 1 : config.eventLoops().loopCount() + 1;
    }

    /** Opens one gateway, or one per event loop. They follow discovery and do not accept clients yet. */
    static CompletableFuture<? extends GatewayService> open(EventLoopGroup group, GatewayConfig config, Consumer<String> log) {
        return threadCount(config) == 1 ? Gateway.open(group.next(), config, Transport.TCP, log)
                : MultiLoopGateway.open(group, config, Transport.TCP, log);
    }

    /**
     * Installs a SIGHUP handler in place of the Java runtime's, which ends the process. Each signal arrives on a thread of
     * its own, so the work is passed to a single thread: otherwise an older file could be applied after a newer one. If the
     * process was started with SIGHUP ignored, this is logged, since nothing else would show that reloads have no effect.
     */
    private static void onHangUp(Runnable work) {
        sun.misc.SignalHandler previousHandler = sun.misc.Signal.handle(new sun.misc.Signal("HUP"),
                signal -> GlobalEventExecutor.INSTANCE.execute(work));
        if (previousHandler == sun.misc.SignalHandler.SIG_IGN) {
            // The Java runtime leaves a signal ignored that was ignored at the start of the process, and Java code cannot
            // change that.
            System.err.println("cinderhollow: SIGHUP is ignored by whoever started this program (nohup does so): "
                    + "a new configuration will not be read");
        }
    }

    /**
     * Shuts the gateway down and returns when the process may end: once nothing is pending any more, however long answers that
     * have begun take, or once only event loops are left that do not run.
     */
    private static void shutDown(GatewayService gateway, EventLoopGroup group, Runnable closeAdmin, Runnable closeOpsSocket) {
        try {
            gateway.shutDown();
            if (!ShutdownMonitor.awaitEnd(gateway::loopStates)) {
                System.err.println("cinderhollow: shutdown did not complete, requests may be unanswered: an event loop has not run for "
                        + ShutdownMonitor.STALL_TIMEOUT_MILLIS + " ms");
                return;
            }
            if (closeAdmin != null) {
                closeAdmin.run();
            }
            if (closeOpsSocket != null) {
                closeOpsSocket.run();
            }
            // At exit, the Java runtime waits 0.3 s for a thread that is inside a system call.
            group.shutdownGracefully(0, LOOP_SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).await(LOOP_SHUTDOWN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
