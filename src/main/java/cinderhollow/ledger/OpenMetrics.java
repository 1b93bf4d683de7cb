package cinderhollow.ledger;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/** Writes ledger metrics in the text format of OpenMetrics 1.0.0: one metric family after the other, then {@code # EOF}. */
public final class OpenMetrics {
    /** Media type of the text, for the Content-Type header. */
    public static final String CONTENT_TYPE = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    private static final List<Double> LATENCY_BOUNDS_SECONDS =
            List.of(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
            5.0, 10.0);
    private static final Predicate<LedgerPlace> COUNTS_REQUESTS = place -> place == LedgerPlace.CLIENTS
            || place == LedgerPlace.CORE;

    private final StringBuilder text = new StringBuilder();
    private final List<LedgerMetrics> loopMetrics;

    private OpenMetrics(List<LedgerMetrics> loopMetrics) {
        this.loopMetrics = loopMetrics;
    }

    /**
     * Returns the metrics as text.
     *
     * @param loopMetrics metrics of each event loop; the index in the list is the value of the label {@code loop}
     * @param epoch identifies this run of the process, as the label {@code epoch} of {@code cinderhollow_ledger_info}
     */
    public static String write(List<LedgerMetrics> loopMetrics, String epoch) {
        OpenMetrics writer = new OpenMetrics(loopMetrics);
        writer.writeFamily("cinderhollow_ledger", "info", "This life of the process.");
        writer.writeSample("cinderhollow_ledger_info", "epoch", epoch, "1");
        writer.writeFamily("cinderhollow_ledger_breaches", "gauge", "Sums found broken and not acknowledged.");
        for (int loop = 0; loop < loopMetrics.size(); loop++) {
            writer.writeSample("cinderhollow_ledger_breaches", "loop", String.valueOf(loop),
                    String.valueOf(loopMetrics.get(loop).breachCount()));
        }
        writer.writeCounts("requests", "taken", "Requests", COUNTS_REQUESTS);
        writer.writeCounts("attempts", "sent", "Attempts", COUNTS_REQUESTS.negate());
        writer.writeLatencies();
        writer.writeEarlierRuns();
        return writer.text.append("# EOF\n").toString();
    }

    /** Returns the value of the label {@code place}. */
    static String toLabelValue(LedgerPlace place) {
        return place.name().toLowerCase(Locale.ROOT);
    }

    private void writeCounts(String subject, String openedWord, String helpSubject, Predicate<LedgerPlace> places) {
        String name = "cinderhollow_" + subject;
        writeFamily(name + "_" + openedWord, "counter", helpSubject + " " + openedWord + ", as counted at a place.");
        writeSamples(places, name + "_" + openedWord + "_total", LedgerMetrics.PlaceCounts::opened);
        writeFamily(name + "_ended", "counter", helpSubject + " by how they ended, as counted at a place.");
        for (int loop = 0; loop < loopMetrics.size(); loop++) {
            for (LedgerMetrics.PlaceCounts counts : loopMetrics.get(loop).placeCounts()) {
                for (int end = 0; places.test(counts.place()) && end < counts.endedCounts().size(); end++) {
                    writeSample(name + "_ended_total", "account", counts.account(), "place", toLabelValue(counts.place()), "loop",
                            String.valueOf(loop), "end", counts.place().endNames().get(end),
                            Long.toUnsignedString(counts.endedCounts().get(end)));
                }
            }
        }
        writeFamily(name + "_open", "gauge", helpSubject + " open, found by looking at a place.");
        writeSamples(places, name + "_open", LedgerMetrics.PlaceCounts::open);
    }

    private void writeSamples(Predicate<LedgerPlace> places, String name, ToLongFunction<LedgerMetrics.PlaceCounts> value) {
        for (int loop = 0; loop < loopMetrics.size(); loop++) {
            for (LedgerMetrics.PlaceCounts counts : loopMetrics.get(loop).placeCounts()) {
                if (places.test(counts.place())) {
                    writeSample(name, "account", counts.account(), "place", toLabelValue(counts.place()), "loop",
                            String.valueOf(loop),
                            Long.toUnsignedString(value.applyAsLong(counts)));
                }
            }
        }
    }

    private void writeEarlierRuns() {
        String name = "cinderhollow_earlier_requests";
        writeFamily(name + "_taken", "gauge", "Requests taken in earlier lives of the process.");
        forEachEarlierTotals((totals, loop) -> writeSample(name + "_taken", "account", totals.account(), "loop", loop,
                Long.toUnsignedString(totals.taken())));
        writeFamily(name + "_ended", "gauge", "Requests of earlier lives by how they ended; orphaned are those cut off.");
        forEachEarlierTotals((totals, loop) -> {
            for (RequestEnd end : RequestEnd.values()) {
                writeSample(name + "_ended", "account", totals.account(), "loop", loop, "end",
                        LedgerPlace.CORE.endNames().get(end.ordinal()),
                        Long.toUnsignedString(totals.endedCounts().get(end.ordinal())));
            }
            writeSample(name + "_ended", "account", totals.account(), "loop", loop, "end", "orphaned",
                    Long.toUnsignedString(totals.orphaned()));
        });
        writeFamily("cinderhollow_ledger_lost_entries", "counter", "Entries of the journal that never reached its disk.");
        for (int loop = 0; loop < loopMetrics.size(); loop++) {
            writeSample("cinderhollow_ledger_lost_entries_total", "loop", String.valueOf(loop),
                    String.valueOf(loopMetrics.get(loop).lostEntries()));
        }
    }

    private void forEachEarlierTotals(BiConsumer<EarlierRunTotals, String> consumer) {
        for (int loop = 0; loop < loopMetrics.size(); loop++) {
            for (EarlierRunTotals totals : loopMetrics.get(loop).earlierTotals()) {
                consumer.accept(totals, String.valueOf(loop));
            }
        }
    }

    private void writeLatencies() {
        String name = "cinderhollow_request_seconds";
        writeFamily(name, "histogram", "Time from a request's arrival to its end.");
        text.append("# UNIT ").append(name).append(" seconds\n");
        for (int loop = 0; loop < loopMetrics.size(); loop++) {
            for (LedgerMetrics.AccountLatency accountLatency : loopMetrics.get(loop).latencies()) {
                Histogram micros = accountLatency.latencyMicros();
                String loopLabel = String.valueOf(loop);
                for (double bound : LATENCY_BOUNDS_SECONDS) {
                    writeSample(name + "_bucket", "account", accountLatency.account(), "loop", loopLabel, "le",
                            String.valueOf(bound),
                            String.valueOf(micros.getCountBetweenValues(0, Math.round(bound * TimeUnit.SECONDS.toMicros(1)))));
                }
                String count = String.valueOf(micros.getTotalCount());
                writeSample(name + "_bucket", "account", accountLatency.account(), "loop", loopLabel, "le", "+Inf", count);
                writeSample(name + "_count", "account", accountLatency.account(), "loop", loopLabel, count);
                writeSample(name + "_sum", "account", accountLatency.account(), "loop", loopLabel, String.valueOf(
                        micros.getMean() * micros.getTotalCount() / TimeUnit.SECONDS.toMicros(1)));
            }
        }
    }

    private void writeFamily(String name, String type, String help) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append("# HELP ").append(name).append(' ').append(help).append('\n');
    }

    /** Writes a sample; {@code labelsAndValue} has alternating names and values of labels, and the sample's value last. */
    private void writeSample(String name, String... labelsAndValue) {
        text.append(name).append('{');
        for (int i = 0; i + 1 < labelsAndValue.length; i += 2) {
            text.append(i == 0 ? "" : ",").append(labelsAndValue[i]).append("=\"").append(escape(labelsAndValue[i + 1]))
                    .append('"');
        }
        text.append("} ").append(labelsAndValue[labelsAndValue.length - 1]).append('\n');
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
