package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PipelinedRequestCounterTest {
    @ParameterizedTest
    @CsvSource({"'', 0", "'GET / HTTP/1.1|A: b', 0", "'GET / HTTP/1.1|A: b||', 1", "'GET / HTTP/1.1||GET / HTTP/1.1||', 2",
        "'POST / HTTP/1.1|CONTENT-LENGTH: 6||a||b||GET / HTTP/1.1||', 2", "'POST / HTTP/1.1|Content-Length: 9||a', 1",
        "'||GET / HTTP/1.1||', 1", "'POST / HTTP/1.1|Transfer-Encoding: chunked||1|x|0||GET / HTTP/1.1||', 1"})
    void requestsAreCountedByTheirHeads(String lines, int count) {
        String input = lines.replace("|", "\r\n");
        assertEquals(count, PipelinedRequestCounter.count(Unpooled.copiedBuffer(input, StandardCharsets.US_ASCII)));
    }
}
