package cinderhollow.http1;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Trailer fields of a chunked body, which are validated and not forwarded. Only the last one is stored, which the decoder may
 * continue.
 */
final class LastFieldHeaders extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        clear();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        clear();
        return super.add(name, value);
    }
}
