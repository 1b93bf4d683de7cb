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
    private static final List<Double> BOUNDS = List.of(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
            5.0, 10.0);
    private static final Predicate<LedgerPlace> OF_REQUESTS = place -> place == LedgerPlace.CLIENTS || place == LedgerPlace.CORE;

    private final StringBuilder text = new StringBuilder();
    private final List<LedgerMetrics> loops;

    private OpenMetrics(List<LedgerMetrics> loops) {
        this.loops = loops;
    }

    /**
     * Returns the metrics as text.
     *
     * @param loops metrics of each event loop; the index in the list is the value of the label {@code loop}
     * @param epoch identifies this run of the process, as the label {@code epoch} of {@code cinderhollow_ledger_info}
     */
    public static String write(List<LedgerMetrics> loops, String epoch) {
        OpenMetrics writing = new OpenMetrics(loops);
        writing.family("cinderhollow_ledger", "info", "This life of the process.");
        writing.sample("cinderhollow_ledger_info", "epoch", epoch, "1");
        writing.family("cinderhollow_ledger_breaches", "gauge", "Sums found broken and not acknowledged.");
        for (int loop = 0; loop < loops.size(); loop++) {
            writing.sample("cinderhollow_ledger_breaches", "loop", String.valueOf(loop),
                    String.valueOf(loops.get(loop).breaches()));
        }
        writing.things("requests", "taken", "Requests", OF_REQUESTS);
        writing.things("attempts", "sent", "Attempts", OF_REQUESTS.negate());
        writing.times();
        writing.earlier();
        return writing.text.append("# EOF\n").toString();
    }

    /** Returns the value of the label {@code place}. */
    static String word(LedgerPlace place) {
        return place.name().toLowerCase(Locale.ROOT);
    }

    private void things(String things, String opened, String words, Predicate<LedgerPlace> places) {
        String name = "cinderhollow_" + things;
        family(name + "_" + opened, "counter", words + " " + opened + ", as counted at a place.");
        each(places, name + "_" + opened + "_total", LedgerMetrics.Line::opened);
        family(name + "_ended", "counter", words + " by how they ended, as counted at a place.");
        for (int loop = 0; loop < loops.size(); loop++) {
            for (LedgerMetrics.Line line : loops.get(loop).lines()) {
                for (int end = 0; places.test(line.place()) && end < line.ended().size(); end++) {
                    sample(name + "_ended_total", "account", line.account(), "place", word(line.place()), "loop",
                            String.valueOf(loop), "end", line.place().ends().get(end),
                            Long.toUnsignedString(line.ended().get(end)));
                }
            }
        }
        family(name + "_open", "gauge", words + " open, found by looking at a place.");
        each(places, name + "_open", LedgerMetrics.Line::open);
    }

    private void each(Predicate<LedgerPlace> places, String name, ToLongFunction<LedgerMetrics.Line> figure) {
        for (int loop = 0; loop < loops.size(); loop++) {
            for (LedgerMetrics.Line line : loops.get(loop).lines()) {
                if (places.test(line.place())) {
                    sample(name, "account", line.account(), "place", word(line.place()), "loop", String.valueOf(loop),
                            Long.toUnsignedString(figure.applyAsLong(line)));
                }
            }
        }
    }

    private void earlier() {
        String name = "cinderhollow_earlier_requests";
        family(name + "_taken", "gauge", "Requests taken in earlier lives of the process.");
        eachLife((life, loop) -> sample(name + "_taken", "account", life.account(), "loop", loop,
                Long.toUnsignedString(life.taken())));
        family(name + "_ended", "gauge", "Requests of earlier lives by how they ended; orphaned are those cut off.");
        eachLife((life, loop) -> {
            for (RequestEnd end : RequestEnd.values()) {
                sample(name + "_ended", "account", life.account(), "loop", loop, "end",
                        LedgerPlace.CORE.ends().get(end.ordinal()), Long.toUnsignedString(life.ended().get(end.ordinal())));
            }
            sample(name + "_ended", "account", life.account(), "loop", loop, "end", "orphaned",
                    Long.toUnsignedString(life.orphaned()));
        });
        family("cinderhollow_ledger_lost_entries", "counter", "Entries of the journal that never reached its disk.");
        for (int loop = 0; loop < loops.size(); loop++) {
            sample("cinderhollow_ledger_lost_entries_total", "loop", String.valueOf(loop),
                    String.valueOf(loops.get(loop).lost()));
        }
    }

    private void eachLife(BiConsumer<EarlierRunTotals, String> told) {
        for (int loop = 0; loop < loops.size(); loop++) {
            for (EarlierRunTotals life : loops.get(loop).earlier()) {
                told.accept(life, String.valueOf(loop));
            }
        }
    }

    private void times() {
        String name = "cinderhollow_request_seconds";
        family(name, "histogram", "Time from a request's arrival to its end.");
        text.append("# UNIT ").append(name).append(" seconds\n");
        for (int loop = 0; loop < loops.size(); loop++) {
            for (LedgerMetrics.Times times : loops.get(loop).times()) {
                Histogram micros = times.micros();
                String number = String.valueOf(loop);
                for (double bound : BOUNDS) {
                    sample(name + "_bucket", "account", times.account(), "loop", number, "le", String.valueOf(bound),
                            String.valueOf(micros.getCountBetweenValues(0, Math.round(bound * TimeUnit.SECONDS.toMicros(1)))));
                }
                String count = String.valueOf(micros.getTotalCount());
                sample(name + "_bucket", "account", times.account(), "loop", number, "le", "+Inf", count);
                sample(name + "_count", "account", times.account(), "loop", number, count);
                sample(name + "_sum", "account", times.account(), "loop", number, String.valueOf(
                        micros.getMean() * micros.getTotalCount() / TimeUnit.SECONDS.toMicros(1)));
            }
        }
    }

    private void family(String name, String type, String help) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append("# HELP ").append(name).append(' ').append(help).append('\n');
    }

    /** Writes a sample; {@code labelsAndValue} has alternating names and values of labels, and the sample's value last. */
    private void sample(String name, String... labels) {
        text.append(name).append('{');
        for (int i = 0; i + 1 < labels.length; i += 2) {
            text.append(i == 0 ? "" : ",").append(labels[i]).append("=\"").append(escaped(labels[i + 1])).append('"');
        }
        text.append("} ").append(labels[labels.length - 1]).append('\n');
    }

    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
