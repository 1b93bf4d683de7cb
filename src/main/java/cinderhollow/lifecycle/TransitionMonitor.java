package cinderhollow.lifecycle;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Counts and logs forbidden state transitions, attempts that were not sent, and connections that could not be opened. Used by the
 * thread of one event loop only.
 */
public final class TransitionMonitor {
    /** System property that makes a forbidden transition throw an exception; set in tests. */
    public static final String STRICT_PROPERTY = "cinderhollow.strict";
    private static final boolean STRICT = Boolean.getBoolean(STRICT_PROPERTY);

    private final Map<SendDecision, SampledLog> withheld = new EnumMap<>(SendDecision.class);
    private final SampledLog forbidden;
    private final SampledLog connectFailures;

    /** Creates a monitor that passes its log lines, sampled by {@link SampledLog}, to {@code log}. */
    public TransitionMonitor(Consumer<String> log) {
        forbidden = new SampledLog(log);
        connectFailures = new SampledLog(log);
        for (SendDecision decision : SendDecision.values()) {
            withheld.put(decision, new SampledLog(log));
        }
    }

    /** Records a transition that the table of states does not allow; {@code subject} names the request or the attempt. */
    void reportForbidden(String subject, Enum<?> from, Enum<?> to) {
        String line = "forbidden transition of " + subject + ": " + from + " to " + to;
        forbidden.logSampled(() -> line);
        if (STRICT) {
            throw new IllegalStateException(line);
        }
    }

    /** Records that an attempt of the request with this id is not sent, and why. */
    void reportWithheld(String request, SendDecision decision) {
        withheld.get(decision).logSampled(() -> "attempt of request " + request + " not sent: " + decision.reason());
    }

    /** Records that no connection to this server could be opened, so that the attempts waiting for one were not sent. */
    public void connectFailed(String server, Throwable cause) {
        connectFailures.logSampled(() -> "can't connect to server " + server + ": " + cause);
    }

    /** Returns how many forbidden transitions were requested so far. */
    public long forbidden() {
        return forbidden.count();
    }

    /** Returns how many attempts were not sent for this reason so far. */
    public long withheld(SendDecision decision) {
        return withheld.get(decision).count();
    }
}
