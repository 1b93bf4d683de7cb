package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Consumer;

/**
 * Assembles the requests of one client connection: a body of up to 64 KiB is buffered whole, one that is larger, or larger than
 * the memory budget allows, becomes a head and an {@link Upload}. Netty's own aggregator would write responses of its own (413,
 * 417 and 100), which would overtake the pending response to an earlier request and be taken for it. Unreadable input is passed
 * on as one request with a decoder failure, in its order among the requests.
 */
final class RequestAssembler extends ChannelInboundHandlerAdapter {
    /** A request: whole, or with the rest of its body still to come, in which case {@code upload} is not null. */
    record AssembledRequest(FullHttpRequest request, Upload upload) { }

    /** Initial size of the buffer of a body; it grows with what has been received. */
    private static final int INITIAL_BODY_BYTES = 256;

    private final Consumer<Boolean> readControl;
    private final Consumer<Upload> uploadReceivedHandler;
    private final Runnable uploadBrokenHandler;
    private final BodyMemoryBudget budget;
    private ChannelHandlerContext context;
    private HttpRequest head;
    /** Body buffered so far; null once the body has become an upload. */
    private ByteBuf body;
    private Upload upload;
    /** Number of body bytes received of the current request. */
    private long receivedBytes;
    /** Whether the client waits for {@code 100 Continue}. */
    private boolean continuePending;
    private boolean failed;

    /**
     * Creates an assembler. It must be given the next request only once the earlier ones are answered. {@code readControl} pauses
     * and resumes reading from the client; {@code uploadReceivedHandler} ends an upload whose last byte has been received;
     * {@code uploadBrokenHandler} runs when the rest of an upload cannot be read. {@code budget} bounds what is buffered.
     */
    RequestAssembler(Consumer<Boolean> readControl, Consumer<Upload> uploadReceivedHandler, Runnable uploadBrokenHandler,
            BodyMemoryBudget budget) {
        this.budget = budget;
        this.uploadReceivedHandler = uploadReceivedHandler;
        this.readControl = readControl;
        this.uploadBrokenHandler = uploadBrokenHandler;
    }

    /** Returns whether the head of a request has been received and the end of its body has not. */
    boolean isReceiving() {
        return head != null;
    }

    /** Returns the number of body bytes received of the current request. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Notes that more input lies unread in the client's socket. */
    void noteUnreadInput() {
        if (upload != null) {
            upload.noteUnreadInput();
        }
    }

    /** Sends {@code 100 Continue} if the client waits for it. */
    void sendPendingContinue() {
        if (continuePending && receivedBytes == 0) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        continuePending = false;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!failed && message instanceof HttpObject part) {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject part) {
        if (part instanceof HttpRequest request) {
            head = request;
            receivedBytes = 0;
            body = context.alloc().buffer(INITIAL_BODY_BYTES);
            request.setUri(toOriginForm(request.uri()));
        }
        String fault = part.decoderResult().isFailure() ? "malformed request" : part instanceof HttpRequest ? findFault(head)
                : null;
        if (fault != null) {
            fail(fault);
            return;
        }
        if (part instanceof HttpRequest) {
            continuePending = HttpUtil.is100ContinueExpected(head);
            if (HttpUtil.getContentLength(head, 0L) > ResponseAssembler.MAX_BUFFERED_BODY_BYTES) {
                startUpload(HttpUtil.getContentLength(head, 0L));
            } else {
                sendPendingContinue();
            }
        }
        if (part instanceof HttpContent content) {
            add(content.content());
        }
        if (part instanceof LastHttpContent) {
            endRequest();
        }
    }

    private void add(ByteBuf bytes) {
        receivedBytes += bytes.readableBytes();
        if (upload == null && receivedBytes > Math.min(ResponseAssembler.MAX_BUFFERED_BODY_BYTES, budget.allowanceBytes())) {
            startUpload(HttpUtil.getContentLength(head, -1L));
        }
        if (upload != null) {
            upload.add(bytes.retain());
        } else {
            // Copied, since a body in thousands of pieces would cost many times its size as a list of them.
            body.writeBytes(bytes);
        }
    }

    /** Changes over from buffering the body to an upload, which is forwarded as it arrives. */
    private void startUpload(long length) {
        Upload newUpload = new Upload(length, readControl, budget);
        ByteBuf buffered = body;
        upload = newUpload;
        body = null;
        context.fireChannelRead(new AssembledRequest(createRequest(Unpooled.EMPTY_BUFFER), newUpload));
        newUpload.add(buffered);
    }

    private void endRequest() {
        if (upload != null) {
            Upload finishedUpload = upload;
            reset();
            uploadReceivedHandler.accept(finishedUpload);
        } else {
            FullHttpRequest completeRequest = createRequest(body);
            body = null;
            reset();
            context.fireChannelRead(new AssembledRequest(completeRequest, null));
        }
    }

    private FullHttpRequest createRequest(ByteBuf content) {
        return new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), content, head.headers(),
                EmptyHttpHeaders.INSTANCE);
    }

    private void fail(String fault) {
        failed = true;
        boolean uploadActive = upload != null;
        HttpMethod method = head == null ? HttpMethod.GET : head.method();
        reset();
        if (uploadActive) {
            uploadBrokenHandler.run();
        } else {
            DefaultFullHttpRequest invalidRequest =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER);
            invalidRequest.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
            context.fireChannelRead(new AssembledRequest(invalidRequest, null));
        }
    }

    /**
     * Returns what is wrong with the request's transfer coding, or null. A body that two readers would end at two different
     * places is rejected (RFC 9112, section 6.3).
     */
    private static String findFault(HttpRequest request) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean coded = !codings.isEmpty();
        if (coded && (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip()))) {
            return "unsupported transfer coding: only chunked is accepted";
        }
        return coded && !request.protocolVersion().equals(HttpVersion.HTTP_1_1) ? "chunked coding requires HTTP/1.1" : null;
    }

    /**
     * Returns the origin form of a request target: clients that take the gateway for a proxy send the absolute form (RFC 9112,
     * section 3.2.2).
     */
    private static String toOriginForm(String target) {
        int scheme = target.regionMatches(true, 0, "http://", 0, "http://".length()) ? "http://".length()
                : target.regionMatches(true, 0, "https://", 0, "https://".length()) ? "https://".length() : 0;
        if (scheme == 0) {
            return target;
        }
        int path = target.indexOf('/', scheme);
        int query = target.indexOf('?', scheme);
        return path >= 0 && (query < 0 || path < query) ? target.substring(path)
                : query < 0 ? "/" : "/" + target.substring(query);
    }

    private void reset() {
        if (body != null) {
            body.release();
        }
        head = null;
        body = null;
        upload = null;
        continuePending = false;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (upload != null) {
            upload.discard();
        }
        reset();
        ctx.fireChannelInactive();
    }
}
