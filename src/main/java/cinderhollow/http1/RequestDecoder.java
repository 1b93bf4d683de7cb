package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Supplier;

/**
 * Netty's request decoder, made stricter. It decodes only while its connection can take what it decodes; until then the input waits
 * undecoded. It can change over to discarding its input.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** The connection whose input is decoded. */
    interface Connection {
        /** Returns whether the connection can take a further part of a request now. Asked before each of them. */
        boolean canTakeInput();

        /** Called when input has been added to what waits; may pause reading. */
        void onInputQueued();

        /** Called before input that has been read is handled. */
        void beginHandling();

        /** Called once input that has been read is handled or queued. */
        void endHandling();

        /** Called when a part of a request has been decoded from this many bytes. */
        void onPartDecoded(int bytes);

        /** Returns the earliest time at which input that is read now may have arrived. */
        long earliestArrival();

        /** Returns whether the head that is being received may cost so many bytes of heap, which then count. */
        boolean mayHoldHead(long bytes);
    }

    /** Creates headers of one kind, and empty ones as the library does. */
    private record HeadersFactory(Supplier<HttpHeaders> constructor) implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            return constructor.get();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return DefaultHttpHeadersFactory.headersFactory().newEmptyHeaders();
        }
    }

    /** Value of the budget while input is decoded and not discarded. */
    private static final long NOT_DISCARDING = -1;

    private final Connection connection;
    private final InputQueue waiting = new InputQueue();
    private ChannelHandlerContext context;
    /** Number of input bytes that may still be discarded. */
    private long discardBudgetBytes = NOT_DISCARDING;
    private boolean decoding;
    /** Whether input is left that was passed to the superclass and must wait. */
    private boolean stopped;
    /** When the input that was decoded last arrived. */
    private long decodedInputArrivedAt;
    /** The fields of the request that is being received, from its first line on; null if there is none. */
    private RequestHeaders headers;

    RequestDecoder(Connection connection) {
        super(new HttpDecoderConfig().setAllowDuplicateContentLengths(true)
                .setHeadersFactory(new HeadersFactory(() -> new RequestHeaders(connection::mayHoldHead)))
                .setTrailersFactory(new HeadersFactory(LastFieldHeaders::new)));
        this.connection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /**
     * Rejects a request with both a length and chunks, against request smuggling: two readers would find two different ends
     * of it (RFC 9112, section 6.3).
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        HttpMessage message = super.createMessage(initialLine);
        headers = (RequestHeaders) message.headers();
        headers.holdCharacters(((HttpRequest) message).uri().length());
        return message;
    }

    /** Returns whether a part of the next request has been received that does not make a message yet. */
    boolean hasPartialRequest() {
        return actualReadableBytes() > 0 || headers != null;
    }

    /** Returns the fields of the request that is being received, as far as they have been; null if there is none. */
    RequestHeaders partialHead() {
        return headers;
    }

    /** Returns whether input waits because the connection could not take it. */
    boolean hasWaitingInput() {
        return stopped || !waiting.isEmpty();
    }

    /**
     * Returns the earliest time at which input that waits may have arrived. Must be called only while there is such input.
     */
    long waitingInputArrivedAt() {
        return stopped ? decodedInputArrivedAt : waiting.peek().arrivedAt();
    }

    /** Returns the number of requests that begin in the input that waits; for figures only. */
    int countWaitingRequests() {
        return hasWaitingInput() ? PipelinedRequestCounter.count(waiting.view(internalBuffer())) : 0;
    }

    /** Returns the number of bytes of input that wait, or are left of the input that was decoded last. */
    long undecodedBytes() {
        return waiting.readableBytes() + actualReadableBytes();
    }

    /** Returns when the last byte of the part that was decoded last arrived. */
    long decodedInputArrivedAt() {
        return decodedInputArrivedAt;
    }

    /** Returns what the input that waits costs in the heap, in bytes. */
    long waitingBytes() {
        return waiting.sizeBytes() + actualReadableBytes();
    }

    /** Returns what a request that is being received costs in the heap, in bytes. */
    long unfinishedHeadBytes() {
        return headers == null ? 0 : headers.heldBytes();
    }

    /** Notes that the request that was being received has been passed on, so that its fields count elsewhere. */
    void onRequestPassedOn() {
        headers = null;
    }

    /**
     * Discards all input from now on, up to the given number of bytes; then stops reading. Reading on makes the end of the
     * connection visible. What has been received of a head is dropped.
     */
    void startDiscarding(long maxBytes) {
        if (headers != null) {
            headers.truncate();
        }
        waiting.clear();
        stopped = false;
        if (discardBudgetBytes == NOT_DISCARDING) {
            discardBudgetBytes = maxBytes;
        }
    }

    private boolean isDiscarding() {
        return discardBudgetBytes != NOT_DISCARDING;
    }

    /** Returns whether as much input has been discarded as is allowed, so that no more is read. */
    boolean hasUsedUpDiscardBudget() {
        return discardBudgetBytes == 0;
    }

    /** Returns whether input is being decoded now; its channel must not be read meanwhile. */
    boolean isDecoding() {
        return decoding;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        connection.beginHandling();
        try {
            handleInput((ByteBuf) message);
        } finally {
            connection.endHandling();
        }
    }

    private void handleInput(ByteBuf input) throws Exception {
        if (isDiscarding()) {
            discard(input);
        } else if (decoding || hasWaitingInput() || !connection.canTakeInput()) {
            waiting.add(input, connection.earliestArrival());
            input.release();
            connection.onInputQueued();
        } else {
            decode(input, connection.earliestArrival());
        }
    }

    private void discard(ByteBuf input) {
        discardBudgetBytes = Math.max(0, discardBudgetBytes - input.readableBytes());
        ReferenceCountUtil.release(input);
        if (discardBudgetBytes == 0) {
            context.channel().config().setAutoRead(false);
        }
    }

    /** Decodes input that waits, as far as the connection can take it. */
    void decodeWaitingInput() throws Exception {
        while (!decoding && !isDiscarding() && hasWaitingInput() && connection.canTakeInput()) {
            if (stopped) {
                stopped = false;
                decode(Unpooled.EMPTY_BUFFER, decodedInputArrivedAt);
            } else {
                InputQueue.Part part = waiting.poll();
                decode(part.bytes(), part.arrivedAt());
            }
        }
    }

    private void decode(ByteBuf input, long arrivedAt) throws Exception {
        decodedInputArrivedAt = arrivedAt;
        decoding = true;
        try {
            super.channelRead(context, input);
        } finally {
            decoding = false;
        }
    }

    /** Decodes one part of a message, unless the connection cannot take it; then all that is left stays undecoded. */
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (isDiscarding() || !ctx.channel().isActive()) {
            return;
        }
        if (connection.canTakeInput()) {
            int before = buffer.readableBytes();
            super.decode(ctx, buffer, out);
            connection.onPartDecoded(before - buffer.readableBytes());
        } else if (buffer.isDirect()) {
            // What waits must not hold the direct memory that other connections are read into.
            waiting.addFirst(buffer, decodedInputArrivedAt);
            buffer.skipBytes(buffer.readableBytes());
        } else {
            stopped = true;
        }
    }

    /** Unlike the superclass, never requests a read: whether the connection is read is decided by the connection alone. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        waiting.clear();
        stopped = false;
        super.channelInactive(ctx);
    }
}
