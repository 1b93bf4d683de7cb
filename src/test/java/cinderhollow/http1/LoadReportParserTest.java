package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which load reports of a server are accepted. */
class LoadReportParserTest {
    @ParameterizedTest
    @ValueSource(strings = {"", "=,=", "TEXT ?", "tps=NaN", "tps=Infinity", "load_share=-1", "err_ps=1e300",
        "tps=1,load_share=x", "tps=1,load_share"})
    void unreadableReportIsRejected(String report) {
        assertNull(LoadReportParser.parse(List.of(report)));
    }

    @Test
    void reportIsReadByEitherFieldNameAndTwoReportsAreRejected() {
        assertEquals(LoadReportParser.parse(List.of("qps=140,util=0.62,eps=0.5")),
                LoadReportParser.parse(List.of("tps=140,load_share=0.62,err_ps=0.5")));
        assertEquals(0.62, LoadReportParser.parse(List.of("tps=140, load_share=0.62")).utilisation());
        assertNotNull(LoadReportParser.parse(List.of("other=3")));
        assertNull(LoadReportParser.parse(List.of("tps=1", "tps=2")));
        assertNull(LoadReportParser.parse(List.of()));
    }
}
