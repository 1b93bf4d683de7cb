package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Counts the requests in input that has not been decoded, for figures only: it finds the ends of heads and skips bodies of a known
 * length. What stands behind a chunked body is not counted, nor is a request whose head is not complete.
 */
final class PipelinedRequestCounter {
    private static final String CONTENT_LENGTH = "content-length:", TRANSFER_ENCODING = "transfer-encoding:";

    private final ByteBuf input;
    /** Length of the body behind the head that was read last, in bytes; -1 if it is not known. */
    private long bodyBytes;

    private PipelinedRequestCounter(ByteBuf input) {
        this.input = input;
    }

    /** Returns the number of requests that begin in the input, which is left as it is. */
    static int count(ByteBuf input) {
        PipelinedRequestCounter counter = new PipelinedRequestCounter(input.duplicate());
        int count = 0;
        while (counter.readHead()) {
            count++;
            if (!counter.skipBody()) {
                break;
            }
        }
        return count;
    }

    /** Reads up to the end of a head, and returns whether there is one. */
    private boolean readHead() {
        bodyBytes = 0;
        boolean started = false;
        while (true) {
            int lineEnd = input.forEachByte(ByteProcessor.FIND_LF);
            if (lineEnd < 0) {
                return false;
            }
            int length = lineEnd - input.readerIndex();
            boolean empty = length == 0 || length == 1 && input.getByte(input.readerIndex()) == '\r';
            if (empty && started) {
                input.readerIndex(lineEnd + 1);
                return true;
            }
            started |= !empty;
            readField(input.toString(input.readerIndex(), Math.min(length, CONTENT_LENGTH.length() + TRANSFER_ENCODING.length()),
                    StandardCharsets.US_ASCII));
            input.readerIndex(lineEnd + 1);
        }
    }

    private void readField(String line) {
        if (AsciiString.regionMatches(line, true, 0, CONTENT_LENGTH, 0, CONTENT_LENGTH.length())) {
            bodyBytes = parseLength(line.substring(CONTENT_LENGTH.length()).strip());
        } else if (AsciiString.regionMatches(line, true, 0, TRANSFER_ENCODING, 0, TRANSFER_ENCODING.length())) {
            bodyBytes = -1;
        }
    }

    private static long parseLength(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1; // The request will be rejected.
        }
    }

    /** Skips the body, and returns whether its end is in the input. */
    private boolean skipBody() {
        if (bodyBytes < 0 || bodyBytes > input.readableBytes()) {
            return false;
        }
        input.skipBytes((int) bodyBytes);
        return true;
    }
}
