package cinderhollow.daemon;

import cinderhollow.http1.ResponseSink;
import cinderhollow.http1.UpstreamPool;
import cinderhollow.lifecycle.SendDecision;
import cinderhollow.lifecycle.TransitionMonitor;
import cinderhollow.policy.Protocol.LoadReport;
import cinderhollow.policy.Protocol.Outcome;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Result of one attempt: the body of its answer, or the outcome with which it ended without one. */
class AttemptResult extends CompletableFuture<String> implements UpstreamPool.Listener {
    @Override
    public void onAttemptEnded(UpstreamPool.Attempt attempt, Outcome outcome, long atNanos, LoadReport load, ByteBuf body) {
        complete(outcome == Outcome.SERVED ? body.toString(StandardCharsets.US_ASCII) : outcome.toString());
    }

    @Override
    public void onResponseBegun(UpstreamPool.Attempt attempt) { }

    @Override
    public void onRequestWritten() { }

    @Override
    public SendDecision decideSend(BooleanSupplier serverAvailable) {
        return SendDecision.SEND;
    }

    @Override
    public TransitionMonitor monitor() {
        return new TransitionMonitor(System.out::println);
    }

    @Override
    public ResponseSink onStreamStarted(UpstreamPool.Attempt attempt, long atNanos, LoadReport load, long length,
            ResponseSink.Source source) {
        return null;
    }

    @Override
    public int account() {
        return 0;
    }

    @Override
    public String id() {
        return "any";
    }
}
