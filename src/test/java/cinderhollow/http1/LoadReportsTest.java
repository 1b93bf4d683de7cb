package cinderhollow.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which load reports of a server are accepted. */
class LoadReportsTest {
    @ParameterizedTest
    @ValueSource(strings = {"", "=,=", "TEXT ?", "tps=NaN", "tps=Infinity", "load_share=-1", "err_ps=1e300",
        "tps=1,load_share=x", "tps=1,load_share"})
    void aReportThatCannotBeReadIsNone(String report) {
        assertNull(LoadReports.read(List.of(report)));
    }

    @Test
    void aReportIsReadByEitherNameAndTwoAreNone() {
        assertEquals(LoadReports.read(List.of("qps=140,util=0.62,eps=0.5")),
                LoadReports.read(List.of("tps=140,load_share=0.62,err_ps=0.5")));
        assertEquals(0.62, LoadReports.read(List.of("tps=140, load_share=0.62")).utilisation());
        assertNotNull(LoadReports.read(List.of("other=3")));
        assertNull(LoadReports.read(List.of("tps=1", "tps=2")));
        assertNull(LoadReports.read(List.of()));
    }
}
