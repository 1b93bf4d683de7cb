package cinderhollow.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;

/** Starts gateways: real processes, or scripted gateways in tests. */
public interface GatewayLauncher {
    /**
     * What a gateway is started with.
     *
     * @param number number of the gateway
     * @param environment environment variables that the platform sets
     * @param folder folder for its log and temporary files
     */
    record Spec(int number, Map<String, String> environment, Path folder) { }

    /** A gateway that was started. */
    interface RunningGateway {
        /** Returns whether it has not exited yet. */
        boolean isAlive();

        /** Asks it to shut down in an orderly way (SIGTERM). */
        void terminate();

        /** Ends it at once (SIGKILL). */
        void kill();

        /** Asks it to reload its configuration (SIGHUP). */
        void reload();

        /** Pauses it (SIGSTOP) or resumes it (SIGCONT), without any notification to it. */
        void setPaused(boolean paused);

        /** Returns the CPU time that it has used so far. */
        Duration cpuTime();

        /** Waits for its exit; returns false if it has not exited within this time. */
        boolean awaitExit(Duration timeout) throws InterruptedException;

        /** Returns the last lines of its log, to report how it ended. */
        String logTail();
    }

    /** Starts a gateway and returns it; it need not be ready yet. */
    RunningGateway start(Spec spec) throws IOException;
}
