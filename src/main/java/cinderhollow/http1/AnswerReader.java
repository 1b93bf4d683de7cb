package cinderhollow.http1;

import cinderhollow.core.GatewayClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
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
import java.util.concurrent.TimeUnit;

/**
 * Collects a host's answer whole and within bounds, and tells of it once all that came with it has been looked
 * at: only then is it known whether the connection can carry another request. A 200 that is larger than the bound, or that
 * comes slowly and without its length, is passed on as it comes.
 */
final class AnswerReader extends ChannelDuplexHandler {
    /** What waits for the answer. */
    interface Listener {
        /** Whether a request is out on the connection. */
        boolean waits();

        /**
         * The answer has come whole; {@code framed} says that its head told where it ends, {@code clean} that
         * nothing came behind it. The body is the listener's for the call's length.
         */
        void answered(HttpResponse head, ByteBuf body, boolean framed, boolean clean);

        /** What came is no answer, or none that this gateway takes. The connection is of no further use. */
        void spoilt();

        /** A 200 has begun that is passed on as it comes; its length is -1 where only its end tells. False: nobody wants it. */
        boolean begun(HttpResponse head, long length);

        /** More of it, which is the listener's to release. */
        void part(ByteBuf bytes);

        /** That was the whole of it; {@code reusable} says that nothing came behind it and its head told where it ends. */
        void ended(HttpResponse head, boolean reusable);

        /** The connection takes more again. */
        void writable();
    }

    /** The longest body that is held whole. */
    static final int LARGEST_BODY = 64 * 1024;
    /** So long after its head an answer of unknown length is passed on: it may be a large one that comes slowly. */
    private static final long GATHER_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Decoder decoder = new Decoder();
    private final Listener listener;
    private final GatewayClock clock;
    private HttpResponse head;
    private CompositeByteBuf body;
    private long headAt;
    private long length;
    private boolean framed;
    private boolean whole;
    private boolean surplus;
    private boolean spoilt;
    private boolean passing;
    /** The connection broke, or is closed from here: what comes now is no end that the host meant. */
    private boolean broken;

    AnswerReader(Listener listener, GatewayClock clock) {
        this.listener = listener;
        this.clock = clock;
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
            begin(ctx, response);
        }
        if (part instanceof HttpContent content && !spoilt) {
            add(content.content());
        }
        if (part instanceof LastHttpContent && !spoilt) {
            // Guards against taking what a host says ahead of its answer for the answer itself.
            whole = !informational();
            if (!whole) {
                forget();
            } else if (!framed && broken) {
                // Guards against a break that passes for the end of a body that only its connection's end would tell.
                spoilt = true;
            }
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpResponse response) {
        head = response;
        headAt = clock.nanos();
        length = HttpUtil.getContentLength(response, -1L);
        boolean ok = response.status().equals(HttpResponseStatus.OK);
        // Guards against gathering what is said to have gigabytes, and against a switch that nobody asked for.
        spoilt = !response.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !response.protocolVersion().equals(HttpVersion.HTTP_1_0)
                || length > LARGEST_BODY && !ok
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        boolean chunked = HttpUtil.isTransferEncodingChunked(response);
        framed = length >= 0 || chunked;
        length = chunked ? -1 : length;
        // Guards against waiting for the end of an error that only the end of its connection would tell.
        whole = !framed && !ok && !informational();
        body = ctx.alloc().compositeBuffer();
    }

    private void add(ByteBuf bytes) {
        if (passing) {
            listener.part(bytes.retain());
            return;
        }
        body.addComponent(true, bytes.retain());
        // Not before there is something to pass on: a connection that breaks behind the head leaves an attempt that can be
        // made good, and no client with a connection that ended without a word.
        if (body.readableBytes() > LARGEST_BODY || length > LARGEST_BODY && body.isReadable()) {
            if (head.status().equals(HttpResponseStatus.OK)) {
                pass();
            } else {
                spoilt = true;
            }
        }
    }

    private void pass() {
        passing = true;
        CompositeByteBuf begun = body;
        body = null;
        if (!listener.begun(head, length)) {
            spoilt = true;
            begun.release();
        } else {
            listener.part(begun);
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
            boolean hasEnd = framed;
            boolean passed = passing;
            body = null;
            forget();
            if (passed) {
                listener.ended(answer, clean && hasEnd);
                return;
            }
            try {
                listener.answered(answer, bytes, hasEnd, clean);
            } finally {
                bytes.release();
            }
        } else if (head != null && !passing && length < 0 && head.status().equals(HttpResponseStatus.OK)
                && body.isReadable() && clock.nanos() - headAt >= GATHER_NANOS) {
            pass();
            if (spoilt) {
                forget();
                listener.spoilt();
            }
        }
    }

    /** An answer that its connection's end ends comes out of the decoder only now. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (whole || spoilt) {
            channelReadComplete(ctx);
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (ctx.channel().isWritable()) {
            listener.writable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken = true;
        ctx.close();
    }

    /** Guards against an end of this side's own making, as of a host that fell silent, which would pass for the body's. */
    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        broken = true;
        ctx.close(promise);
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
        passing = false;
    }

    /** Netty's decoder, made strict where it is lenient with hosts. */
    private final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setAllowDuplicateContentLengths(true));
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
