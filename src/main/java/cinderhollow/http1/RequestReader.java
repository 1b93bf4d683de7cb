package cinderhollow.http1;

import cinderhollow.http1.DownstreamConnectionManager.BadRequest;
import cinderhollow.policy.Protocol.Effect;
import cinderhollow.policy.Protocol.RequestArrived;
import cinderhollow.policy.Protocol.RequestClass;
import cinderhollow.routes.Paths;
import cinderhollow.routes.Routing;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Converts a client's request to the event that the decision module handles, and creates the request that is sent to a server.
 */
public final class RequestReader {
    private static final String REQUEST_ID_HEADER = "X-Request-ID", TIMEOUT_HEADER = "X-Timeout", IDEMPOTENCY_KEY_HEADER =
            "Idempotency-Key";
    /** Maximum number of digits of a number; longer timeouts are longer than any client waits. */
    private static final int MAX_DIGITS = 12;
    /** Headers that are not forwarded because they concern a single connection (hop-by-hop), or are set anew for the server. */
    private static final List<AsciiString> NOT_FORWARDED_HEADERS = List.of(HttpHeaderNames.CONNECTION,
            AsciiString.cached("keep-alive"), AsciiString.cached("proxy-connection"), HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT,
            HttpHeaderNames.CONTENT_LENGTH, AsciiString.cached("x-timeout"));
    /**
     * Factory of the same kind of headers that the decoder creates: headers of one kind are copied without being hashed or
     * validated again.
     */
    private static final HttpHeadersFactory HEADERS_FACTORY = DefaultHttpHeadersFactory.headersFactory();
    /** Maximum length of a header value or a path that is checked here, in characters. */
    private static final int MAX_VALUE_LENGTH = 4_000;

    private RequestReader() { }

    /**
     * Converts a request to an event.
     *
     * @param request the request, with its whole body or without one
     * @param classes classes of requests by name
     * @param routing the operator's routes, or null if there are none; then the first segment of the path names the class
     * @param hasBody whether the request has a body
     * @param waitedNanos how long ago the request's last byte was received; that much of its time has passed
     * @throws BadRequest if the request is invalid, or its time has run out
     */
    public static RequestArrived read(FullHttpRequest request, Map<String, RequestClass> classes, Routing routing,
                                      boolean hasBody, long waitedNanos) throws BadRequest {
        HttpHeaders headers = request.headers();
        // Checked before the path is used: a path must not mean one class here and another at a server.
        String fault = Paths.findProblem(request.uri());
        if (fault != null) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, fault);
        }
        Routing.Match match = routing == null ? null : routing.find(request.method().name(), request.uri());
        RequestClass requestClass = classes.get(routing == null ? Paths.firstSegment(request.uri())
                : match == null ? "" : match.requestClass());
        if (requestClass == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such class of requests");
        }
        checkMethod(request, requestClass.effect(), hasBody);
        if (!isVisibleAscii(request.uri())) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read the path");
        }
        String id = requireSingleValue(headers, REQUEST_ID_HEADER);
        String timeout = headers.contains(TIMEOUT_HEADER) ? requireSingleValue(headers, TIMEOUT_HEADER) : null;
        long remainingNanos = (timeout == null ? requestClass.deadlineNanos() : parseTimeoutNanos(timeout)) - waitedNanos;
        if (remainingNanos <= 0) {
            throw new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "its time ran out before its turn");
        }
        return new RequestArrived(id, requestClass.name(), headers.get("X-Tenant-Id"), headers.get("X-Route-Key"),
                remainingNanos, parseWorkNanos(headers.get("X-Cost")), "1".equals(headers.get("X-Retried")),
                match == null ? null : match.routePolicy());
    }

    /**
     * Checks that the method, the idempotency key and the body fit the effect of the class: a server must not be sent what it
     * rejects, and an unsafe request must not be treated as a safe one.
     */
    private static void checkMethod(FullHttpRequest request, Effect effect, boolean hasBody) throws BadRequest {
        boolean keyed = request.headers().contains(IDEMPOTENCY_KEY_HEADER);
        if (!request.method().equals(effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST)) {
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "not the method of its class");
        }
        if (keyed != (effect == Effect.KEYED) || effect == Effect.SAFE && hasBody) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "a key or a body that its class has not, or no key");
        }
        if (keyed) {
            requireSingleValue(request.headers(), IDEMPOTENCY_KEY_HEADER);
        }
    }

    /**
     * Returns the only value of a header. Rejects several values, which two readers could interpret differently, and values that
     * would not reach a server unchanged.
     */
    private static String requireSingleValue(HttpHeaders headers, String name) throws BadRequest {
        Iterator<String> values = headers.valueStringIterator(name);
        String value = values.hasNext() ? values.next() : "";
        if (values.hasNext() || !isVisibleAscii(value)) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "no readable " + name + ", or more than one");
        }
        return value;
    }

    /** Returns whether the text is visible ASCII of a usual length, which every parser passes on unchanged. */
    private static boolean isVisibleAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= MAX_VALUE_LENGTH;
    }

    /** Parses {@code X-Timeout}, a number and a unit: {@code 480m} milliseconds or {@code 480000u} microseconds. */
    private static long parseTimeoutNanos(String text) throws BadRequest {
        int digits = text.length() - 1;
        TimeUnit unit = text.endsWith("m") ? TimeUnit.MILLISECONDS : text.endsWith("u") ? TimeUnit.MICROSECONDS : null;
        long value = unit == null ? 0 : parsePositive(text.substring(0, digits));
        if (value <= 0) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read " + TIMEOUT_HEADER);
        }
        return unit.toNanos(value);
    }

    /**
     * Parses {@code X-Cost}, in microseconds. It is an estimate of the work, so one that cannot be parsed is treated as absent.
     */
    private static long parseWorkNanos(String micros) {
        return micros == null ? 0 : TimeUnit.MICROSECONDS.toNanos(parsePositive(micros));
    }

    /** Returns the number, or 0 if the text is not a number of a usual size. */
    private static long parsePositive(String text) {
        boolean valid = !text.isEmpty() && text.length() <= MAX_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return valid ? Long.parseLong(text) : 0;
    }

    /** Returns the request as it is sent to a server, with the time that is left of it, in nanoseconds. */
    public static FullHttpRequest toUpstreamRequest(FullHttpRequest request, long timeoutNanos) {
        FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
                request.content().retainedDuplicate(), HEADERS_FACTORY, HEADERS_FACTORY);
        copyHeaders(request, copy, timeoutNanos);
        copy.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return copy;
    }

    /** Returns the head of the request as it is sent to a server; the body follows from the upload. */
    public static HttpRequest toUpstreamRequest(FullHttpRequest request, Upload upload, long timeoutNanos) {
        HttpRequest copy = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), HEADERS_FACTORY);
        copyHeaders(request, copy, timeoutNanos);
        if (upload.length() < 0) {
            copy.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, upload.length());
        }
        return copy;
    }

    /** Copies the headers that are forwarded, and sets {@code X-Timeout}. */
    private static void copyHeaders(HttpRequest request, HttpRequest copy, long timeoutNanos) {
        copy.headers().add(request.headers());
        NOT_FORWARDED_HEADERS.forEach(copy.headers()::remove);
        setTimeoutHeader(copy, timeoutNanos);
    }

    /** Sets {@code X-Timeout}, which tells a server how long its response is waited for, in nanoseconds from now. */
    static void setTimeoutHeader(HttpRequest request, long timeoutNanos) {
        request.headers().set(TIMEOUT_HEADER, Math.max(1, TimeUnit.NANOSECONDS.toMicros(timeoutNanos)) + "u");
    }
}
