package cinderhollow.http1;

import cinderhollow.core.GatewayClock;
import cinderhollow.core.LagAwareTimers;
import cinderhollow.core.LoopActivity;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Collects a server's response into a bounded buffer, and reports it once everything read together with it has been examined:
 * only then is it known whether the connection can carry another request. A 200 response that is larger than the bound or than
 * the memory budget allows, or that comes slowly and without a length, is streamed instead. What comes slowly is decided by a
 * timer, since the next bytes may come only after the client's time.
 */
final class ResponseAssembler extends ChannelDuplexHandler {
    /** Receives the response. */
    interface Listener {
        /** Returns whether a request is in flight on the connection. */
        boolean expectsResponse();

        /** Called with the head of a response; {@code announcesLength} tells whether it says how long the body is. */
        void onHeadReceived(boolean announcesLength);

        /** Called once when the head of a response that may be streamed has been received, and the rest is still to come. */
        void onResponseBegun();

        /** Called when a part of the body has been received that is not forwarded yet. */
        void onBodyBuffered();

        /**
         * Called when the whole response has been received. {@code framed}: its head said where it ends; {@code noExtraData}:
         * nothing followed it. The body is valid only during the call.
         */
        void onResponse(HttpResponse head, ByteBuf body, boolean framed, boolean noExtraData);

        /**
         * Called when the input is no valid response, or none that this gateway accepts. The connection cannot be used any more.
         */
        void onInvalidResponse();

        /**
         * Called when a 200 response begins that is streamed. {@code length} is the length of the body in bytes, or -1 if it is
         * known only once the body ends. Returns false if the response is not wanted any more.
         */
        boolean onStreamStarted(HttpResponse head, long length);

        /** Called with body bytes of a streamed response; the listener releases them. */
        void onData(ByteBuf bytes);

        /**
         * Called when a streamed response is complete. {@code reusable} tells that nothing followed it and that its head said
         * where it ends.
         */
        void onStreamEnded(HttpResponse head, boolean reusable);

        /** Called when the connection accepts outbound data again. */
        void onWritable();
    }

    /** Length in bytes of the longest body that is buffered whole. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** Initial size of the buffer of a body; it grows with what has been received. */
    private static final int INITIAL_BODY_BYTES = 256;
    /** Time after the head at which a response of unknown length is streamed: it may be a large one that comes slowly. */
    private static final long MAX_BUFFERING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Decoder decoder = new Decoder();
    private final Listener listener;
    private final LagAwareTimers timers;
    private final GatewayClock clock;
    private final LoopActivity activity;
    private final BodyMemoryBudget budget;
    private HttpResponse head;
    private ByteBuf body;
    /** Parts of the streamed body that the current read has brought and that are not forwarded yet; null if there are none. */
    private ByteBuf merged;
    /** When the head was received. */
    private long headReceivedAt;
    /** Content-Length in bytes, or -1 if unknown. */
    private long contentLength;
    /** Whether the head says where the body ends, by a length or by chunks. */
    private boolean framed;
    /** Whether the listener knows that the response has begun. */
    private boolean beginReported;
    /** Whether the last content has been received. */
    private boolean complete;
    /** Whether something was received behind the response. */
    private boolean extraDataReceived;
    /** Whether the response cannot be accepted. */
    private boolean invalid;
    /** Whether the body is forwarded as it arrives. */
    private boolean streaming;
    /** Ends the buffering of a response of unknown length; null if it is not running. */
    private Future<?> bufferingTimer;
    /** Whether the connection failed or is being closed from this side: what comes now is no end that the server intended. */
    private boolean connectionAborted;

    ResponseAssembler(Listener listener, LagAwareTimers timers, LoopActivity activity, BodyMemoryBudget budget) {
        this.listener = listener;
        this.timers = timers;
        clock = timers.clock();
        this.activity = activity;
        this.budget = budget;
    }

    /** Returns the decoder that precedes this handler in the pipeline. */
    HttpResponseDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (complete || invalid) {
                extraDataReceived = true;
            } else if (!(message instanceof HttpObject part) || part.decoderResult().isFailure()) {
                invalid = true;
            } else {
                read(ctx, part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof HttpResponse response) {
            startResponse(ctx, response);
        }
        if (part instanceof HttpContent content && !invalid) {
            add(content.content());
        }
        if (part instanceof LastHttpContent && !invalid) {
            // An informational (1xx) response precedes the actual response and must not be taken for it.
            complete = !isInformational();
            if (!complete) {
                reset();
            } else if (!framed && connectionAborted) {
                // A body that is delimited by the end of the connection is not complete if the connection broke.
                invalid = true;
            }
        }
    }

    private void startResponse(ChannelHandlerContext ctx, HttpResponse response) {
        head = response;
        headReceivedAt = clock.nanos();
        contentLength = HttpUtil.getContentLength(response, -1L);
        boolean ok = response.status().equals(HttpResponseStatus.OK);
        // Rejects unknown versions, a switch of protocols that nobody requested, and responses other than 200 that announce a
        // body over the bound, which may have gigabytes.
        invalid = !response.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !response.protocolVersion().equals(HttpVersion.HTTP_1_0)
                || contentLength > MAX_BUFFERED_BODY_BYTES && !ok
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        boolean chunked = HttpUtil.isTransferEncodingChunked(response);
        framed = contentLength >= 0 || chunked;
        contentLength = chunked ? -1 : contentLength;
        // The body of an error response that is delimited by the end of the connection is not waited for.
        complete = !framed && !ok && !isInformational();
        body = ctx.alloc().buffer(INITIAL_BODY_BYTES);
        if (!isInformational()) {
            listener.onHeadReceived(contentLength >= 0);
        }
    }

    private void add(ByteBuf bytes) {
        if (streaming) {
            stream(bytes.retain());
            return;
        }
        // Copied, since a body in thousands of pieces would cost many times its size as a list of them.
        if (bytes.isReadable()) {
            body.writeBytes(bytes);
            listener.onBodyBuffered();
        }
        // Within the attempt's time, streaming does not start before there is body data: if the connection breaks right behind the
        // head, the attempt can still be retried, and the client does not get a response that ends without any data.
        boolean ok = head.status().equals(HttpResponseStatus.OK);
        if (ok && (body.readableBytes() > Math.min(MAX_BUFFERED_BODY_BYTES, budget.allowanceBytes())
                || contentLength > MAX_BUFFERED_BODY_BYTES && body.isReadable())) {
            startStreaming();
        } else if (body.readableBytes() > MAX_BUFFERED_BODY_BYTES) {
            invalid = true;
        }
    }

    /** Forwards body bytes, small parts of one read together. */
    private void stream(ByteBuf part) {
        if (merged != null && SmallParts.fits(merged, part)) {
            SmallParts.merge(merged, part);
            return;
        }
        forwardMerged();
        merged = SmallParts.mergeable(part);
    }

    private void forwardMerged() {
        if (merged != null) {
            ByteBuf parts = merged;
            merged = null;
            listener.onData(parts);
        }
    }

    /** Changes over from buffering the response to streaming it. */
    private void startStreaming() {
        streaming = true;
        ByteBuf buffered = body;
        body = null;
        if (!listener.onStreamStarted(head, contentLength)) {
            invalid = true;
            buffered.release();
        } else {
            listener.onData(buffered);
        }
    }

    private boolean isInformational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /**
     * Reports the response once everything of the same read has been examined. If the connection were used again before, the rest
     * of that read, such as a second copy or garbage, would be taken for the response to the next request.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        forwardMerged();
        if (invalid) {
            reset();
            listener.onInvalidResponse();
        } else if (complete) {
            HttpResponse response = head;
            ByteBuf bytes = body;
            boolean noExtraData = !extraDataReceived && !decoder.hasBufferedBytes();
            boolean wasFramed = framed;
            boolean wasStreaming = streaming;
            body = null;
            reset();
            if (wasStreaming) {
                listener.onStreamEnded(response, noExtraData && wasFramed);
                return;
            }
            try {
                listener.onResponse(response, bytes, wasFramed, noExtraData);
            } finally {
                bytes.release();
            }
        } else if (isBufferingLongResponse()) {
            reportBegin();
            limitBuffering();
        }
    }

    /** Returns whether a 200 response is being buffered that has no length, or one beyond the bound, and of which more is to come. */
    private boolean isBufferingLongResponse() {
        return head != null && !streaming && !complete && !invalid && head.status().equals(HttpResponseStatus.OK)
                && (contentLength < 0 || contentLength > MAX_BUFFERED_BODY_BYTES);
    }

    private void reportBegin() {
        if (!beginReported) {
            beginReported = true;
            listener.onResponseBegun();
        }
    }

    /** Streams a response from now on if it has been buffered for long enough, or else once it has been. */
    private void limitBuffering() {
        long remainingNanos = headReceivedAt + MAX_BUFFERING_NANOS - clock.nanos();
        if (remainingNanos > 0) {
            if (bufferingTimer == null) {
                bufferingTimer = timers.schedule(remainingNanos, this::onBufferingTimeout);
            }
        } else if (body.isReadable()) {
            startStreaming();
            if (invalid) {
                reset();
                listener.onInvalidResponse();
            }
        }
    }

    private void onBufferingTimeout() {
        bufferingTimer = null;
        if (isBufferingLongResponse()) {
            limitBuffering();
        }
    }

    /**
     * Starts to stream a response that the client's time does not suffice to buffer: one of unknown length, or one that is larger
     * than the bound. Its body may not have begun. Returns false if there is no such response, or it is not wanted any more.
     */
    boolean streamUnfinishedResponse() {
        if (!isBufferingLongResponse()) {
            return false;
        }
        startStreaming();
        return !invalid;
    }

    /** Reports a response that is delimited by the end of the connection, which the decoder completes only now. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (complete || invalid) {
            channelReadComplete(ctx);
        }
        forwardMerged();
        ctx.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable()) {
            listener.onWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        connectionAborted = true;
        ctx.close();
    }

    /**
     * Notes that this side closes the connection, for instance because the server stalled; the end that follows must not be taken
     * for the end of the body.
     */
    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        connectionAborted = true;
        ctx.close(promise);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        reset();
    }

    private void reset() {
        if (body != null) {
            body.release();
        }
        if (merged != null) {
            merged.release();
        }
        if (bufferingTimer != null) {
            bufferingTimer.cancel(false);
        }
        bufferingTimer = null;
        merged = null;
        head = null;
        body = null;
        complete = false;
        extraDataReceived = false;
        streaming = false;
        beginReported = false;
    }

    /** Netty's response decoder, made strict where it is lenient with servers. */
    private final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setAllowDuplicateContentLengths(true));
        }

        /** Rejects input while no request is in flight: it would be taken for the start of the next response. */
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (listener.expectsResponse()) {
                long startedAt = clock.nanos();
                super.channelRead(ctx, message);
                activity.recordHandler(LoopActivity.Handler.SERVER_READ, clock.nanos() - startedAt);
            } else {
                ReferenceCountUtil.release(message);
                listener.onInvalidResponse();
            }
        }

        /** Rejects a line without a colon in a head, which Netty would accept as a header without a value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("response header line has no colon after the header name");
            }
            return super.splitHeaderName(line, start, length);
        }

        boolean hasBufferedBytes() {
            return actualReadableBytes() > 0;
        }
    }
}
