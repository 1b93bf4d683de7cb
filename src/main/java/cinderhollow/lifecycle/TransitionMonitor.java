package cinderhollow.lifecycle;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/** Counts and logs what the state machines forbid, what was withheld, and what could not connect. Of one event loop. */
public final class TransitionMonitor {
    /** Set in tests, where a forbidden transition has to fail. */
    public static final String STRICT_PROPERTY = "cinderhollow.strict";
    private static final boolean STRICT = Boolean.getBoolean(STRICT_PROPERTY);

    private final Map<SendDecision, SampledLog> withheld = new EnumMap<>(SendDecision.class);
    private final SampledLog forbidden;
    private final SampledLog connectFailures;

    /** Logs to this. */
    public TransitionMonitor(Consumer<String> log) {
        forbidden = new SampledLog(log);
        connectFailures = new SampledLog(log);
        for (SendDecision decision : SendDecision.values()) {
            withheld.put(decision, new SampledLog(log));
        }
    }

    /** A transition that the table does not have; {@code subject} names the request or the attempt. */
    void forbidden(String subject, Enum<?> from, Enum<?> to) {
        String line = "forbidden transition of " + subject + ": " + from + " to " + to;
        forbidden.add(() -> line);
        if (STRICT) {
            throw new IllegalStateException(line);
        }
    }

    /** An attempt that is not sent, and why. */
    void withheld(String request, SendDecision decision) {
        withheld.get(decision).add(() -> "attempt of request " + request + " is not sent: " + decision.reason());
    }

    /** No connection to this server came up, for this cause, so that what waited for it was not sent. */
    public void connectFailed(String server, Throwable cause) {
        connectFailures.add(() -> "can't connect to server " + server + ": " + cause);
    }

    /** How many transitions were asked for that the tables forbid. */
    public long forbidden() {
        return forbidden.count();
    }

    /** How many attempts were withheld for this reason. */
    public long withheld(SendDecision decision) {
        return withheld.get(decision).count();
    }
}
