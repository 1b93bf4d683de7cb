package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
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

/**
 * Collects a host's answer whole and within bounds, and tells of it once all that came with it has been looked
 * at: only then is it known whether the connection can carry another request.
 */
final class AnswerReader extends ChannelInboundHandlerAdapter {
    /** What waits for the answer. */
    interface Listener {
        /** Whether a request is out on the connection. */
        boolean waits();

        /**
         * The answer has come whole; {@code framed} says that its head told its length, {@code clean} that
         * nothing came behind it. The body is the listener's for the call's length.
         */
        void answered(HttpResponse head, ByteBuf body, boolean framed, boolean clean);

        /** What came is no answer, or none that this gateway takes. The connection is of no further use. */
        void spoilt();
    }

    /** The longest body that the protocol knows. */
    static final int LARGEST_BODY = 64 * 1024;

    private final Decoder decoder = new Decoder();
    private final Listener listener;
    private HttpResponse head;
    private CompositeByteBuf body;
    private boolean framed;
    private boolean whole;
    private boolean surplus;
    private boolean spoilt;

    AnswerReader(Listener listener) {
        this.listener = listener;
    }

    /** What stands before this reader on the connection. */
    HttpResponseDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (whole || spoilt) {
                surplus = true;
            } else if (!(message instanceof HttpObject part) || part.decoderResult().isFailure()) {
                spoilt = true;
            } else {
                read(ctx, part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof HttpResponse response) {
            head = response;
            // Guards against gathering what is said to have gigabytes, and against a switch that nobody asked for.
            spoilt = !response.protocolVersion().equals(HttpVersion.HTTP_1_1)
                    && !response.protocolVersion().equals(HttpVersion.HTTP_1_0)
                    || HttpUtil.getContentLength(response, 0L) > LARGEST_BODY
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            framed = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    || HttpUtil.isTransferEncodingChunked(response);
            // Guards against waiting for the end of a body that only the end of its connection would tell.
            whole = !framed && !informational();
            body = ctx.alloc().compositeBuffer();
        }
        if (part instanceof HttpContent content) {
            spoilt = body.readableBytes() + content.content().readableBytes() > LARGEST_BODY;
            if (!spoilt) {
                body.addComponent(true, content.content().retain());
            }
        }
        if (part instanceof LastHttpContent) {
            // Guards against taking what a host says ahead of its answer for the answer itself.
            whole = !informational();
            if (!whole) {
                forget();
            }
        }
    }

    private boolean informational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /**
     * Guards against using the connection again while more of the same read is to come: a second copy, or
     * noise, would pass for the answer to the next request.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (spoilt) {
            forget();
            listener.spoilt();
        } else if (whole) {
            HttpResponse answer = head;
            CompositeByteBuf bytes = body;
            boolean clean = !surplus && !decoder.holdsBytes();
            boolean hasLength = framed;
            body = null;
            forget();
            try {
                listener.answered(answer, bytes, hasLength, clean);
            } finally {
                bytes.release();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        forget();
    }

    private void forget() {
        if (body != null) {
            body.release();
        }
        head = null;
        body = null;
        whole = false;
        surplus = false;
    }

    /** Netty's decoder, made strict where it is lenient with hosts. */
    private final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig());
        }

        /** Guards against bytes that nobody asked for: they would be taken for the start of the next answer. */
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (listener.waits()) {
                super.channelRead(ctx, message);
            } else {
                ReferenceCountUtil.release(message);
                listener.spoilt();
            }
        }

        /** Guards against a line without a colon in a head, which would pass for a header of no value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("no colon behind the name of a header");
            }
            return super.splitHeaderName(line, start, length);
        }

        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }
    }
}
