package cinderhollow.http1;

import cinderhollow.http1.ClientServer.BadRequest;
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

/** Reads a client's request as the module's event, and makes the request that goes on to a host. */
public final class RequestReader {
    private static final String ID = "X-Request-ID", TIMEOUT = "X-Timeout", KEY = "Idempotency-Key";
    /** Longer figures of a time-out are no time-out that anyone waits for. */
    private static final int MOST_DIGITS = 12;
    /** Headers that are between two neighbours only, or are made anew for the host. */
    private static final List<AsciiString> NOT_PASSED_ON = List.of(HttpHeaderNames.CONNECTION,
            AsciiString.cached("keep-alive"), AsciiString.cached("proxy-connection"), HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT,
            HttpHeaderNames.CONTENT_LENGTH, AsciiString.cached("x-timeout"));
    /** The kind that the decoder makes: headers of one kind are copied without being hashed or checked again. */
    private static final HttpHeadersFactory AS_READ = DefaultHttpHeadersFactory.headersFactory();
    private static final int LONGEST_VALUE = 4_000;

    private RequestReader() { }

    /**
     * Reads a request as one of the classes; {@code routing} is null where no operator has set routes, and then the
     * path's first part names the class. {@code body} says that it has one. {@code waitedNanos} is how long ago the request's last byte came: that much of its
     * time has passed.
     */
    public static RequestArrived read(FullHttpRequest request, Map<String, RequestClass> classes, Routing routing,
                                      boolean body, long waitedNanos) throws BadRequest {
        HttpHeaders headers = request.headers();
        // Before anything is read from the path: guards against a path that means one class here and another at a node.
        String fault = Paths.fault(request.uri());
        if (fault != null) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, fault);
        }
        Routing.Match match = routing == null ? null : routing.find(request.method().name(), request.uri());
        RequestClass requestClass = classes.get(routing == null ? Paths.firstPart(request.uri())
                : match == null ? "" : match.requestClass());
        if (requestClass == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such class of requests");
        }
        checkMethod(request, requestClass.effect(), body);
        if (!isUnchanged(request.uri())) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read the path");
        }
        String id = only(headers, ID);
        String timeout = headers.contains(TIMEOUT) ? only(headers, TIMEOUT) : null;
        long left = (timeout == null ? requestClass.deadlineNanos() : timeoutNanos(timeout)) - waitedNanos;
        if (left <= 0) {
            throw new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "its time ran out before its turn");
        }
        return new RequestArrived(id, requestClass.name(), headers.get("X-Tenant-Id"), headers.get("X-Route-Key"),
                left, workNanos(headers.get("X-Cost")), "1".equals(headers.get("X-Retried")),
                match == null ? null : match.course());
    }

    /** Guards against asking a host for what it turns away, and against passing an unsafe request for a safe one. */
    private static void checkMethod(FullHttpRequest request, Effect effect, boolean body) throws BadRequest {
        boolean keyed = request.headers().contains(KEY);
        if (!request.method().equals(effect == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST)) {
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "not the method of its class");
        }
        if (keyed != (effect == Effect.KEYED) || effect == Effect.SAFE && body) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "a key or a body that its class has not, or no key");
        }
        if (keyed) {
            only(request.headers(), KEY);
        }
    }

    /**
     * The only value of the header. Guards against two readings of a request, and against values that would not
     * reach a host as they came.
     */
    private static String only(HttpHeaders headers, String name) throws BadRequest {
        Iterator<String> values = headers.valueStringIterator(name);
        String value = values.hasNext() ? values.next() : "";
        if (values.hasNext() || !isUnchanged(value)) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "no readable " + name + ", or more than one");
        }
        return value;
    }

    /** Visible ASCII of a usual length, which passes through every reader as it is. */
    private static boolean isUnchanged(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= LONGEST_VALUE;
    }

    /** A number and a unit: {@code 480m} milliseconds or {@code 480000u} microseconds. */
    private static long timeoutNanos(String text) throws BadRequest {
        int digits = text.length() - 1;
        TimeUnit unit = text.endsWith("m") ? TimeUnit.MILLISECONDS : text.endsWith("u") ? TimeUnit.MICROSECONDS : null;
        long figure = unit == null ? 0 : positive(text.substring(0, digits));
        if (figure <= 0) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read " + TIMEOUT);
        }
        return unit.toNanos(figure);
    }

    /** A guess at the work, so one that can't be read is as good as none. */
    private static long workNanos(String micros) {
        return micros == null ? 0 : TimeUnit.MICROSECONDS.toNanos(positive(micros));
    }

    /** The number, or 0 where the text is not one of a usual size. */
    private static long positive(String text) {
        boolean plain = !text.isEmpty() && text.length() <= MOST_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return plain ? Long.parseLong(text) : 0;
    }

    /** The same request with what is left of its time. */
    public static FullHttpRequest forHost(FullHttpRequest request, long timeoutNanos) {
        FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
                request.content().retainedDuplicate(), AS_READ, AS_READ);
        passOn(request, copy, timeoutNanos);
        copy.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return copy;
    }

    /** The head of the same request, whose body comes behind it. */
    public static HttpRequest forHost(FullHttpRequest request, Upload upload, long timeoutNanos) {
        HttpRequest copy = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), AS_READ);
        passOn(request, copy, timeoutNanos);
        if (upload.length() < 0) {
            copy.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, upload.length());
        }
        return copy;
    }

    private static void passOn(HttpRequest request, HttpRequest copy, long timeoutNanos) {
        copy.headers().add(request.headers());
        NOT_PASSED_ON.forEach(copy.headers()::remove);
        setTimeout(copy, timeoutNanos);
    }

    /** Tells a server how long its answer is waited for, in nanoseconds from now. */
    static void setTimeout(HttpRequest request, long timeoutNanos) {
        request.headers().set(TIMEOUT, Math.max(1, TimeUnit.NANOSECONDS.toMicros(timeoutNanos)) + "u");
    }
}
