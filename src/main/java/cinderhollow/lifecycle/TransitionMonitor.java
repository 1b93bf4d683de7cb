package cinderhollow.lifecycle;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/** Counts and logs what the state machines forbid, and the attempts that were withheld. Of one event loop. */
public final class TransitionMonitor {
    /** Set in tests, where a forbidden transition has to fail. */
    public static final String STRICT_PROPERTY = "cinderhollow.strict";
    private static final boolean STRICT = Boolean.getBoolean(STRICT_PROPERTY);
    /** After so many lines of one kind only each so many-th is logged: guards against a log that grows with the traffic. */
    private static final long LOGGED_EACH = 20, LOGGED_SELDOM = 100;

    private final Consumer<String> log;
    private final Map<SendDecision, Long> withheld = new EnumMap<>(SendDecision.class);
    private long forbidden;

    /** Logs to this. */
    public TransitionMonitor(Consumer<String> log) {
        this.log = log;
    }

    /** A transition that the table does not have; {@code subject} names the request or the attempt. */
    void forbidden(String subject, Enum<?> from, Enum<?> to) {
        forbidden++;
        String line = "forbidden transition of " + subject + ": " + from + " to " + to;
        if (isLogged(forbidden)) {
            log.accept(line);
        }
        if (STRICT) {
            throw new IllegalStateException(line);
        }
    }

    /** An attempt that is not sent, and why. */
    void withheld(String request, SendDecision decision) {
        long count = withheld.merge(decision, 1L, Long::sum);
        if (isLogged(count)) {
            log.accept("attempt of request " + request + " is not sent: " + decision.reason() + " (" + count + " so far)");
        }
    }

    private static boolean isLogged(long count) {
        return count <= LOGGED_EACH || count % LOGGED_SELDOM == 0;
    }

    /** How many transitions were asked for that the tables forbid. */
    public long forbidden() {
        return forbidden;
    }

    /** How many attempts were withheld for this reason. */
    public long withheld(SendDecision decision) {
        return withheld.getOrDefault(decision, 0L);
    }
}
