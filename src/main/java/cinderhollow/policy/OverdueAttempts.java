package cinderhollow.policy;

import cinderhollow.policy.State.Attempt;
import cinderhollow.policy.State.Server;
import java.util.Iterator;

/**
 * Finds attempts whose answers are overdue, and servers that are silent. An answer that has begun is neither overdue nor lost.
 * Single-threaded; all times are nanoseconds of the module's clock.
 */
final class OverdueAttempts {
    /** Receives what has been found. */
    interface Listener {
        /** Called when the answer of an attempt seems lost, since later attempts at its server were answered. */
        void onLost(Attempt attempt);

        /** Called when a server has become silent: so many of its attempts are overdue, and none was answered since. */
        void onSilent(Server server, int overdueAttempts);
    }

    /** An answer that takes longer than this fraction of the aim is late: before it, a retry still fits into the rest. */
    static final double LATE_AIM_FRACTION = 0.5;
    /** Fraction of its aim after which an attempt counts as lost if a later one was answered: a retry may still be in time. */
    private static final double OVERTAKEN_AIM_FRACTION = 0.6;

    private final Listener listener;

    OverdueAttempts(Listener listener) {
        this.listener = listener;
    }

    /**
     * Checks the attempts at a server before they time out. {@code slowdown}: by what factor answers take longer than they should
     * at present, at least 1; {@code silentFrom}: how many overdue attempts make a server silent.
     */
    void check(Server s, long now, double slowdown, int silentFrom) {
        int overdue = 0;
        for (Iterator<Attempt> i = s.awaitedAttempts.iterator(); i.hasNext();) {
            Attempt a = i.next();
            if (a.hasEnded()) {
                i.remove();
                continue;
            }
            double aimFraction = (now - a.sentAt()) / (slowdown * a.request().classState.requestClass.aimNanos());
            if (aimFraction > OVERTAKEN_AIM_FRACTION && a.sentAt() < s.newestAnsweredSentAt) {
                i.remove();
                listener.onLost(a);
            } else if (aimFraction > LATE_AIM_FRACTION && a.sentAt() >= s.lastAnswerAt) {
                overdue++;
            }
        }
        if (overdue >= silentFrom && !s.silent) {
            s.silent = true;
            listener.onSilent(s, overdue);
        }
    }

    /** Records that the answer of an attempt has begun, and the rest of it is still to come. */
    void onResponseBegun(Attempt a, long now) {
        if (!a.hasEnded() && !a.isLost()) {
            a.server().awaitedAttempts.remove(a);
            recordAnswer(a, now);
        }
    }

    /** Records that the server of this attempt has answered it, or begun to. */
    static void recordAnswer(Attempt a, long now) {
        Server s = a.server();
        s.lastAnswerAt = now;
        s.newestAnsweredSentAt = Math.max(s.newestAnsweredSentAt, a.sentAt());
        s.silent = false;
    }
}
