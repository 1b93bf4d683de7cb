package cinderhollow.ledger;

import java.util.Arrays;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Adds up the ledgers of several gateways from their metrics texts, and checks the sums independently of the gateways. */
public final class LedgerTotals {
    private static final Pattern SAMPLE = Pattern.compile("([a-z_]+)\\{(.*)} ([0-9.eE+-]+|NaN)");
    private static final Pattern LABEL = Pattern.compile("([a-z]+)=\"((?:[^\"\\\\]|\\\\.)*)\"");

    /** Totals of one account at one place, over all gateways added. */
    private static final class Row {
        private final LedgerPlace place;
        private final long[] ended;
        private long opened;
        private long open;

        Row(LedgerPlace place) {
            this.place = place;
            ended = new long[place.ends().size()];
        }

        boolean addsUp() {
            return opened == Arrays.stream(ended).sum() + open;
        }

        boolean equal(Row other) {
            return opened == other.opened && open == other.open && Arrays.equals(ended, other.ended);
        }
    }

    private final Map<String, Row[]> rows = new TreeMap<>();
    private int instances;
    private long breaches;
    private long orphaned;
    /** Requests taken in earlier runs minus those ended or orphaned there; 0 if the counts are balanced. */
    private long earlierOpen;

    /**
     * Adds the metrics text of one gateway.
     *
     * @throws IllegalArgumentException if the text is truncated or is not the metrics text of a gateway
     */
    public void addInstance(String text) {
        if (!text.endsWith("# EOF\n")) {
            throw new IllegalArgumentException("metrics text is truncated or not in OpenMetrics format");
        }
        instances++;
        for (String line : text.split("\n")) {
            Matcher sample = SAMPLE.matcher(line);
            if (!line.startsWith("#") && sample.matches()) {
                add(sample.group(1), labels(sample.group(2)), sample.group(3));
            }
        }
    }

    private static Map<String, String> labels(String text) {
        Map<String, String> labels = new TreeMap<>();
        Matcher label = LABEL.matcher(text);
        while (label.find()) {
            labels.put(label.group(1), label.group(2).replace("\\n", "\n").replace("\\\"", "\"").replace("\\\\", "\\"));
        }
        return labels;
    }

    private void add(String name, Map<String, String> labels, String figure) {
        if (name.equals("cinderhollow_ledger_breaches")) {
            breaches += Long.parseLong(figure);
        } else if (name.equals("cinderhollow_earlier_requests_taken")) {
            earlierOpen += Long.parseUnsignedLong(figure);
        } else if (name.equals("cinderhollow_earlier_requests_ended")) {
            earlierOpen -= Long.parseUnsignedLong(figure);
            orphaned += labels.get("end").equals("orphaned") ? Long.parseUnsignedLong(figure) : 0;
        } else if (labels.containsKey("place")) {
            LedgerPlace place = LedgerPlace.valueOf(labels.get("place").toUpperCase(Locale.ROOT));
            Row[] all = rows.computeIfAbsent(labels.get("account"),
                    account -> Arrays.stream(LedgerPlace.values()).map(Row::new).toArray(Row[]::new));
            Row row = all[place.ordinal()];
            long value = Long.parseUnsignedLong(figure);
            if (name.endsWith("_open")) {
                row.open += value;
            } else if (labels.containsKey("end")) {
                row.ended[place.ends().indexOf(labels.get("end"))] += value;
            } else {
                row.opened += value;
            }
        }
    }

    /** Returns whether all sums hold, the places agree, and no gateway reports an unacknowledged breach. */
    public boolean isBalanced() {
        return breaches == 0 && faults().isEmpty();
    }

    private List<String> faults() {
        List<String> faults = new ArrayList<>();
        rows.forEach((account, all) -> {
            for (Row row : all) {
                if (!row.addsUp()) {
                    faults.add(account + ": " + row.place + " don't add up");
                }
            }
            if (!all[LedgerPlace.CLIENTS.ordinal()].equal(all[LedgerPlace.CORE.ordinal()])
                    || !all[LedgerPlace.ATTEMPTS.ordinal()].equal(all[LedgerPlace.NODES.ordinal()])) {
                faults.add(account + ": two places don't agree");
            }
        });
        if (earlierOpen != 0) {
            faults.add("earlier lives don't add up, by " + earlierOpen);
        }
        return faults;
    }

    /** Returns a table for operators, with the overall result in its last line. */
    public String formatTable() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-36s %10s %10s %9s %9s %9s %7s %10s%n", "account",
                "taken", "served", "refused", "failed", "abandoned", "open", "attempts"));
        rows.forEach((account, all) -> {
            Row row = all[LedgerPlace.CORE.ordinal()];
            text.append(String.format(Locale.ROOT, "%-36s %10d %10d %9d %9d %9d %7d %10d%n", account, row.opened,
                    row.ended[RequestEnd.SERVED.ordinal()], row.ended[RequestEnd.REFUSED.ordinal()], row.ended[RequestEnd.FAILED.ordinal()],
                    row.ended[RequestEnd.ABANDONED.ordinal()], row.open, all[LedgerPlace.ATTEMPTS.ordinal()].opened));
        });
        faults().forEach(fault -> text.append(fault).append('\n'));
        if (orphaned > 0) {
            text.append(orphaned).append(" requests of earlier lives were cut off and may have run\n");
        }
        return text.append(instances).append(instances == 1 ? " instance, " : " instances, ").append(breaches)
                .append(" breaches not acknowledged: ").append(isBalanced() ? "all adds up" : "IT DOES NOT ADD UP").toString();
    }
}
