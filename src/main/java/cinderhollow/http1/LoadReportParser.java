package cinderhollow.http1;

import cinderhollow.policy.Protocol.LoadReport;
import java.util.List;

/**
 * Parses the {@code X-Server-Load} header, a server's report of its load, such as {@code tps=140,load_share=0.62,err_ps=0.5}.
 */
final class LoadReportParser {
    /** Largest credible figure: no server does more of anything in a second, nor holds more. */
    private static final double MAX_VALUE = 1e9;

    private LoadReportParser() { }

    /**
     * Returns the report, or null if there is none that can be parsed. The report is advisory, so nothing else depends on it. A
     * figure that is no number, infinite, negative or absurdly large rejects the whole report, and so do two reports in one
     * response.
     */
    static LoadReport parse(List<String> headers) {
        if (headers.size() != 1) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String part : headers.get(0).split(",")) {
            int equals = part.indexOf('=');
            if (equals < 0) {
                return null;
            }
            int index = fieldIndex(part.substring(0, equals).trim());
            double value = parseNumber(part.substring(equals + 1).trim());
            if (!(value >= 0 && value <= MAX_VALUE)) {
                return null;
            }
            if (index >= 0) {
                values[index] = value;
            }
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    /** Returns the number, or NaN if the text is none. */
    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /**
     * Returns the index of a field, or -1 if the name is unknown. Each field has two names: the one used on the network, and the
     * one that the configuration may use.
     */
    private static int fieldIndex(String name) {
        return switch (name) {
            case "qps", "tps" -> 0;
            case "util", "load_share" -> 1;
            case "eps", "err_ps" -> 2;
            case "inflight", "concurrent" -> 3;
            case "queue", "depth" -> 4;
            case "latency_ms", "mean_ms" -> 5;
            default -> -1;
        };
    }
}
