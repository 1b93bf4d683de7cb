package cinderhollow.policy;

import cinderhollow.policy.Protocol.RequestBodyAwaited;
import cinderhollow.policy.Protocol.RequestBodyBlocked;
import cinderhollow.policy.Protocol.RequestBodyReceived;
import cinderhollow.policy.Protocol.RequestBodyUnread;
import cinderhollow.policy.Protocol.UploadEvent;
import cinderhollow.policy.State.Attempt;
import cinderhollow.policy.State.Request;
import java.util.List;

/**
 * Follows requests whose bodies are still being received: whether their deadlines run, and whether their attempts count as in
 * flight. Single-threaded; all times are nanoseconds of the module's clock.
 */
final class UploadProgress {
    /** The places that attempts in flight take at their servers. */
    interface Places {
        /** Counts an attempt as in flight at its server. */
        void take(Attempt attempt);

        /** Ends counting an attempt as in flight at its server. */
        void release(Attempt attempt);
    }

    private final Places places;

    UploadProgress(Places places) {
        this.places = places;
    }

    /** Handles an event of this request, whose answer is due at {@code latestDeadline} at the latest. */
    void handle(UploadEvent event, Request r, long now, long latestDeadline) {
        if (!r.receivingBody) {
            return;
        }
        if (event instanceof RequestBodyReceived e) {
            onReceived(r, now, Math.min(now + e.expiresInNanos(), latestDeadline));
        } else if (event instanceof RequestBodyUnread e) {
            r.deadline = Math.min(now + e.expiresInNanos(), latestDeadline);
        } else if (event instanceof RequestBodyAwaited) {
            r.deadline = Request.NO_DEADLINE_NANOS;
        } else if (event instanceof RequestBodyBlocked e) {
            setBlocked(r, e.blocked(), now);
        }
    }

    /** The end of the body has come: the time limits start, and an attempt chosen meanwhile counts as in flight. */
    private void onReceived(Request r, long now, long deadline) {
        setBlocked(r, false, now);
        r.receivingBody = false;
        r.aimStartedAt = now;
        r.deadline = deadline;
        takePlaces(r, now);
    }

    /**
     * Sets whether a server accepts nothing of a request's body. While it does not, the attempt counts as in flight, so that it
     * becomes overdue as one does whose answer is missing.
     */
    private void setBlocked(Request r, boolean blocked, long now) {
        if (r.bodyBlocked == blocked) {
            return;
        }
        r.bodyBlocked = blocked;
        if (blocked) {
            takePlaces(r, now);
        } else {
            r.attempts.stream().filter(a -> !a.hasEnded()).forEach(this::returnPlace);
        }
    }

    /** Counts the attempts that have not ended as in flight, and as sent now. */
    private void takePlaces(Request r, long now) {
        for (Attempt a : List.copyOf(r.attempts)) {
            if (!a.hasEnded()) {
                Attempt begun = new Attempt(r, a.server(), a.number(), now);
                r.attempts.set(a.number(), begun);
                places.take(begun);
            }
        }
    }

    private void returnPlace(Attempt a) {
        a.server().awaitedAttempts.remove(a);
        if (!a.isLost()) {
            places.release(a);
        }
        a.request().lostMask &= ~(1L << a.number());
    }
}
