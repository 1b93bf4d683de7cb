package cinderhollow.daemon;

import cinderhollow.core.Json;
import cinderhollow.core.Transport;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** The process round a {@link Gateway}: its thread, its start, its signals and its end. */
public final class Server {
    /** The platform kills no sooner than 3.7 s after it asked for an end, where a deadline is 3 s. */
    private static final long LONGEST_END_MILLIS = 3_600, LOOP_END_MILLIS = 100;

    private Server() { }

    /**
     * Starts the gateway that the environment describes and returns when it listens; it runs until the
     * process is asked to end. A bad environment or configuration is an {@link IllegalArgumentException}.
     */
    public static void serve(Map<String, String> environment) {
        // Guards against a search for logging libraries that aren't there, which costs a start as much as a list.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        CompletableFuture<Reload> started = new CompletableFuture<>();
        onHangUp(() -> started.thenAccept(Reload::run));
        Json file = GatewayConfig.file(environment);
        start(GatewayConfig.read(environment, file), gateway -> started.complete(new Reload(environment, file, gateway)));
    }

    /** Starts a gateway of a small site, whose settings are all on its command line, in the same way. */
    public static void serve(SmallSite site) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        onHangUp(() -> System.err.println("cinderhollow: there is no file to read anew; all stays as it is"));
        start(site.config(), gateway -> { });
        System.out.println("ready: " + site);
    }

    private static void start(GatewayConfig config, Consumer<Serving> started) {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(threads(config), NioIoHandler.newFactory());
        Serving gateway = open(group, config, System.out::println).join();
        started.accept(gateway);
        // Before the rehearsal: operators ask from the start on, and are told that it does not serve yet.
        Runnable endOfDoor = config.door() == null ? null : Operations.open(group, config.door(), gateway);
        // While discovery thinks about its first answer.
        Rehearsal.run(config, Rehearsal.LONGEST_MILLIS);
        boolean upgrades = config.inherited() != null && config.inherited().folder() != null;
        // As late as can be: what the process before knows is newest then.
        Runnable tellServes = upgrades ? Handover.takeOver(group.next(), config.inherited().folder(), gateway,
                System.out::println) : null;
        try {
            // First: what can't be had must end the start before a client has come.
            Runnable endOfAdmin = config.admin() == null ? null : Admin.start(config.admin(), gateway);
            listen(gateway, new Thread(() -> end(gateway, group, endOfAdmin, endOfDoor)));
            if (upgrades) {
                tellServes.run();
                Handover.offer(group.next(), config.inherited().folder(), gateway, System.out::println);
            }
        } catch (CompletionException e) {
            group.shutdownGracefully();
            throw new IllegalArgumentException("can't listen on " + config.listen() + ": "
                    + e.getCause().getMessage(), e);
        }
    }

    private static void listen(Serving gateway, Thread ends) {
        // Before a client can come: guards against an end in the next instant that leaves what it has asked unanswered.
        Runtime.getRuntime().addShutdownHook(ends);
        try {
            gateway.listen().join();
        } catch (CompletionException e) {
            Runtime.getRuntime().removeShutdownHook(ends);
            throw e;
        }
    }

    /** With several event loops one thread more, which accepts for the others. */
    static int threads(GatewayConfig config) {
        return config.scale() == null || config.scale().loops() == 1 ? 1 : config.scale().loops() + 1;
    }

    /** A gateway, or several on so many threads, that follow discovery and take no clients yet. */
    static CompletableFuture<? extends Serving> open(EventLoopGroup group, GatewayConfig config, Consumer<String> log) {
        return threads(config) == 1 ? Gateway.open(group.next(), config, Transport.TCP, log)
                : Loops.open(group, config, Transport.TCP, log);
    }

    /**
     * Guards against the runtime's own answer to SIGHUP, which is to end. Each signal comes on a thread of its
     * own, so the work is handed to one thread: an older file must not be applied after a newer one. A start that ignores
     * the signal is told of, since nothing else would show that reloads are without effect.
     */
    private static void onHangUp(Runnable work) {
        sun.misc.SignalHandler before = sun.misc.Signal.handle(new sun.misc.Signal("HUP"),
                signal -> GlobalEventExecutor.INSTANCE.execute(work));
        if (before == sun.misc.SignalHandler.SIG_IGN) {
            // What was ignored at the start stays so, by the runtime's rule, and nothing in Java can undo it.
            System.err.println("cinderhollow: SIGHUP is ignored by whoever started this program (nohup does so): "
                    + "a new configuration will not be read");
        }
    }

    private static void end(Serving gateway, EventLoopGroup group, Runnable endOfAdmin, Runnable endOfDoor) {
        try {
            gateway.end().get(LONGEST_END_MILLIS, TimeUnit.MILLISECONDS);
            if (endOfAdmin != null) {
                endOfAdmin.run();
            }
            if (endOfDoor != null) {
                endOfDoor.run();
            }
            // The Java runtime waits 0.3 s at its exit for a thread that stands in a system call.
            group.shutdownGracefully(0, LOOP_END_MILLIS, TimeUnit.MILLISECONDS).await(LOOP_END_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("cinderhollow: ended with requests open: " + e);
        }
    }
}
