package cinderhollow.http1;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.LongPredicate;

/**
 * Header fields of a request that is being received. Each field is stored only if the connection may hold it beside those before
 * it. With the first one that may not be held, the headers are truncated: all fields are dropped but those that tell where the
 * request ends and whether the connection is kept, and further ones are not stored. A truncated request can only be refused.
 */
final class RequestHeaders extends DefaultHttpHeaders {
    private static final List<AsciiString> FRAMING_FIELDS =
            List.of(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.EXPECT);
    /** Two different values of a framing field are enough to tell that they contradict each other. */
    private static final int MAX_FRAMING_VALUES = 2;

    private final LongPredicate mayHold;
    private long heldBytes;
    /** What the request would have cost with the first field that was dropped, in bytes. */
    private long refusedBytes;
    private boolean truncated;

    /**
     * Creates the headers of one request. {@code mayHold} is asked with the heap that the request would cost with one more field,
     * in bytes, and counts it if it returns true.
     */
    RequestHeaders(LongPredicate mayHold) {
        this.mayHold = mayHold;
        hold(ClientHeapBudget.REQUEST_BYTES);
    }

    /** Counts characters of the request that are not in a field. */
    void holdCharacters(int characters) {
        hold(characters);
    }

    /** Returns what the request costs in the heap, in bytes. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns what the request would have cost with the first field that was dropped, in bytes; 0 if there is none. */
    long refusedBytes() {
        return refusedBytes;
    }

    /** Returns whether fields are missing. */
    boolean isTruncated() {
        return truncated;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return hold(fieldBytes(name, value)) || mayKeepTruncated(name, value) ? super.add(name, value) : this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    private static long fieldBytes(CharSequence name, Object value) {
        return ClientHeapBudget.FIELD_BYTES + name.length() + (value instanceof CharSequence text ? text.length() : 0);
    }

    /** Returns whether so many further bytes may be held; if not, the headers are truncated from now on. */
    private boolean hold(long bytes) {
        if (truncated) {
            return false;
        }
        if (!mayHold.test(heldBytes + bytes)) {
            refusedBytes = heldBytes + bytes;
            truncate();
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    private boolean mayKeepTruncated(CharSequence name, Object value) {
        return FRAMING_FIELDS.stream().anyMatch(field -> field.contentEqualsIgnoreCase(name))
                && getAll(name).size() < MAX_FRAMING_VALUES && !containsValue(name, value.toString(), false);
    }

    /** Drops all fields that are not needed for a refusal, and stores no further ones. */
    void truncate() {
        if (truncated) {
            return;
        }
        truncated = true;
        heldBytes = 0;
        DefaultHttpHeaders framing = new DefaultHttpHeaders();
        for (AsciiString field : FRAMING_FIELDS) {
            getAll(field).stream().distinct().limit(MAX_FRAMING_VALUES).forEach(value -> framing.add(field, value));
        }
        clear();
        framing.forEach(field -> super.add(field.getKey(), field.getValue()));
    }
}
