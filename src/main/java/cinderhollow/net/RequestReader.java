package cinderhollow.net;

import cinderhollow.Protocol.RequestArrived;
import cinderhollow.Protocol.RequestClass;
import cinderhollow.net.ClientServer.BadRequest;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Reads a client's request as the module's event, and makes the request that goes on to a host. */
final class RequestReader {
    private static final String ID = "X-Request-ID", TIMEOUT = "X-Timeout";
    /** Longer figures of a time-out are no time-out that anyone waits for. */
    private static final int MOST_DIGITS = 12;
    /** Headers that are between two neighbours only, or are made anew for the host. */
    private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-connection", "te",
            "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "x-timeout");

    private RequestReader() { }

    static RequestArrived read(FullHttpRequest request, Map<String, RequestClass> classes) throws BadRequest {
        HttpHeaders headers = request.headers();
        RequestClass requestClass = classes.get(firstPart(request.uri()));
        if (requestClass == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such class of requests");
        }
        String id = headers.get(ID);
        if (id == null || id.isBlank()) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "no " + ID);
        }
        String timeout = headers.get(TIMEOUT);
        return new RequestArrived(id, requestClass.name(), headers.get("X-Tenant-Id"), headers.get("X-Route-Key"),
                timeout == null ? requestClass.deadlineNanos() : timeoutNanos(timeout.trim()),
                workNanos(headers.get("X-Cost")), "1".equals(headers.get("X-Retried")));
    }

    private static String firstPart(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.startsWith("/") ? uri.substring(1, end) : "";
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
    static FullHttpRequest forHost(FullHttpRequest request, long timeoutNanos) {
        FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
                request.content().retainedDuplicate());
        request.headers().forEach(header -> {
            if (!NOT_PASSED_ON.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                copy.headers().add(header.getKey(), header.getValue());
            }
        });
        copy.headers().set(TIMEOUT, Math.max(1, TimeUnit.NANOSECONDS.toMicros(timeoutNanos)) + "u");
        copy.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return copy;
    }
}
