package cinderhollow.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;

/** Starts gateways: real processes, or scripted ones in tests. */
public interface Gateways {
    /**
     * What a gateway is told.
     *
     * @param environment the variables that the platform sets
     * @param folder where it may write, and where its log goes
     */
    record Spec(int number, Map<String, String> environment, Path folder) { }

    /** A gateway that was started. */
    interface Running {
        boolean isAlive();

        /** Asks it to end in good order. */
        void terminate();

        /** Ends it at once. */
        void kill();

        /** Asks it to read its configuration anew. */
        void hangUp();

        /** Stops it where it is, or lets it go on; it is not told. */
        void pause(boolean on);

        /** The CPU time that it has used so far. */
        Duration cpu();

        /** Waits for its end; false where it did not come in time. */
        boolean awaitEnd(Duration most) throws InterruptedException;

        /** The last lines that it wrote, for a report of how it ended. */
        String lastWords();
    }

    /** Starts one. */
    Running start(Spec spec) throws IOException;
}
