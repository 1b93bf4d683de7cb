package cinderhollow.net;

import cinderhollow.Protocol.LoadReport;

/** Reads a host's account of its load, as {@code qps=140,util=0.62,eps=0.5}. */
final class LoadReports {
    private LoadReports() { }

    /** The report, or null where there is none that can be read; it is advice, so nothing else depends on it. */
    static LoadReport read(String header) {
        if (header == null) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String part : header.split(",")) {
            int equals = part.indexOf('=');
            int at = equals < 0 ? -1 : position(part.substring(0, equals).trim());
            if (at >= 0) {
                try {
                    values[at] = Double.parseDouble(part.substring(equals + 1).trim());
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private static int position(String name) {
        return switch (name) {
            case "qps" -> 0;
            case "util" -> 1;
            case "eps" -> 2;
            case "inflight" -> 3;
            case "queue" -> 4;
            case "latency_ms" -> 5;
            default -> -1;
        };
    }
}
