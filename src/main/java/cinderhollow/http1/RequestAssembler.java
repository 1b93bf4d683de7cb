package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.function.BooleanSupplier;

/**
 * Collects a client's request whole and within bounds. Guards against the answers that Netty's own collector
 * writes past the connection (413, 417 and 100): they would overtake the answer that an earlier request is
 * still owed, and pass for it. Here a request that is too long comes out as one that can't be read, in its turn.
 */
final class RequestAssembler extends HttpObjectAggregator {
    private final BooleanSupplier free;
    private boolean amidst;

    /** Tells clients to go on with a body only while {@code free}: while no earlier request waits. */
    RequestAssembler(BooleanSupplier free) {
        super(AnswerReader.LARGEST_BODY);
        this.free = free;
    }

    /** Whether the head of a request has come and the end of its body has not. */
    boolean amidst() {
        return amidst;
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int most, ChannelPipeline pipeline) {
        boolean usual = !isContentLengthInvalid(start, most) && free.getAsBoolean();
        return usual && start.headers().contains("Expect", "100-continue", true)
                ? super.newContinueResponse(start, most, pipeline) : null;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        amidst = true;
        return super.beginAggregation(start, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        amidst = false;
        super.finishAggregation(aggregated);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        amidst = false;
        HttpRequest request = (HttpRequest) oversized;
        DefaultFullHttpRequest told = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
                request.uri(), Unpooled.EMPTY_BUFFER);
        told.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("body too long")));
        ctx.fireChannelRead(told);
    }
}
