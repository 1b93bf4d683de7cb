package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;

/** Netty's request decoder, made stricter, which can change over to discarding its input. */
final class RequestDecoder extends HttpRequestDecoder {
    /** Value of the budget while input is decoded and not discarded. */
    private static final long NOT_DISCARDING = -1;
    /** Number of input bytes that may still be discarded. */
    private long discardBudgetBytes = NOT_DISCARDING;
    private boolean decoding;

    RequestDecoder() {
        super(new HttpDecoderConfig().setAllowDuplicateContentLengths(true));
    }

    /**
     * Rejects a request with both a length and chunks, against request smuggling: two readers would find two different ends
     * of it (RFC 9112, section 6.3).
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding");
    }

    /** Returns whether input of the next request has been received that does not make a message yet. */
    boolean hasBufferedBytes() {
        return actualReadableBytes() > 0;
    }

    /**
     * Discards all input from now on, up to the given number of bytes; then stops reading. Reading on makes the end of the
     * connection visible.
     */
    void startDiscarding(long maxBytes) {
        discardBudgetBytes = maxBytes;
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
        if (discardBudgetBytes == NOT_DISCARDING) {
            decoding = true;
            try {
                super.channelRead(ctx, message);
            } finally {
                decoding = false;
            }
            return;
        }
        discardBudgetBytes = Math.max(0, discardBudgetBytes - ((ByteBuf) message).readableBytes());
        ReferenceCountUtil.release(message);
        if (discardBudgetBytes == 0) {
            ctx.channel().config().setAutoRead(false);
        }
    }
}
