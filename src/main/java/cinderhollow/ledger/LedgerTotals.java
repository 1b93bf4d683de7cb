package cinderhollow.ledger;

import java.util.ArrayList;
import java.util.Arrays;
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
    private static final class PlaceTotals {
        private final LedgerPlace place;
        private final long[] endedCounts;
        private long openedCount;
        private long openCount;

        PlaceTotals(LedgerPlace place) {
            this.place = place;
            endedCounts = new long[place.endNames().size()];
        }

        boolean isBalanced() {
            return openedCount == Arrays.stream(endedCounts).sum() + openCount;
        }

        boolean hasSameCounts(PlaceTotals other) {
            return openedCount == other.openedCount && openCount == other.openCount
                    && Arrays.equals(endedCounts, other.endedCounts);
        }
    }

    private final Map<String, PlaceTotals[]> totalsByAccount = new TreeMap<>();
    private int instanceCount;
    private long breachCount;
    private long orphanedCount;
    /** Requests taken in earlier runs minus those ended or orphaned there; 0 if the counts are balanced. */
    private long earlierImbalance;

    /**
     * Adds the metrics text of one gateway.
     *
     * @throws IllegalArgumentException if the text is truncated or is not the metrics text of a gateway
     */
    public void addInstance(String text) {
        if (!text.endsWith("# EOF\n")) {
            throw new IllegalArgumentException("metrics text is truncated or not in OpenMetrics format");
        }
        instanceCount++;
        for (String line : text.split("\n")) {
            Matcher sample = SAMPLE.matcher(line);
            if (!line.startsWith("#") && sample.matches()) {
                addSample(sample.group(1), parseLabels(sample.group(2)), sample.group(3));
            }
        }
    }

    private static Map<String, String> parseLabels(String text) {
        Map<String, String> labels = new TreeMap<>();
        Matcher label = LABEL.matcher(text);
        while (label.find()) {
            labels.put(label.group(1), label.group(2).replace("\\n", "\n").replace("\\\"", "\"").replace("\\\\", "\\"));
        }
        return labels;
    }

    private void addSample(String metricName, Map<String, String> labels, String sampleValue) {
        if (metricName.equals("cinderhollow_ledger_breaches")) {
            breachCount += Long.parseLong(sampleValue);
        } else if (metricName.equals("cinderhollow_earlier_requests_taken")) {
            earlierImbalance += Long.parseUnsignedLong(sampleValue);
        } else if (metricName.equals("cinderhollow_earlier_requests_ended")) {
            earlierImbalance -= Long.parseUnsignedLong(sampleValue);
            orphanedCount += labels.get("end").equals("orphaned") ? Long.parseUnsignedLong(sampleValue) : 0;
        } else if (labels.containsKey("place")) {
            LedgerPlace place = LedgerPlace.valueOf(labels.get("place").toUpperCase(Locale.ROOT));
            PlaceTotals[] accountTotals = totalsByAccount.computeIfAbsent(labels.get("account"),
                    account -> Arrays.stream(LedgerPlace.values()).map(PlaceTotals::new).toArray(PlaceTotals[]::new));
            PlaceTotals placeTotals = accountTotals[place.ordinal()];
            long value = Long.parseUnsignedLong(sampleValue);
            if (metricName.endsWith("_open")) {
                placeTotals.openCount += value;
            } else if (labels.containsKey("end")) {
                placeTotals.endedCounts[place.endNames().indexOf(labels.get("end"))] += value;
            } else {
                placeTotals.openedCount += value;
            }
        }
    }

    /** Returns whether all sums hold, the places agree, and no gateway reports an unacknowledged breach. */
    public boolean isBalanced() {
        return breachCount == 0 && findImbalances().isEmpty();
    }

    private List<String> findImbalances() {
        List<String> imbalances = new ArrayList<>();
        totalsByAccount.forEach((account, accountTotals) -> {
            for (PlaceTotals placeTotals : accountTotals) {
                if (!placeTotals.isBalanced()) {
                    imbalances.add(account + ": " + placeTotals.place + " don't add up");
                }
            }
            if (!accountTotals[LedgerPlace.CLIENTS.ordinal()].hasSameCounts(accountTotals[LedgerPlace.CORE.ordinal()])
                    || !accountTotals[LedgerPlace.ATTEMPTS.ordinal()].hasSameCounts(accountTotals[LedgerPlace.NODES.ordinal()])) {
                imbalances.add(account + ": two places don't agree");
            }
        });
        if (earlierImbalance != 0) {
            imbalances.add("earlier lives don't add up, by " + earlierImbalance);
        }
        return imbalances;
    }

    /** Returns a table for operators, with the overall result in its last line. */
    public String formatTable() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-36s %10s %10s %9s %9s %9s %7s %10s%n", "account",
                "taken", "served", "refused", "failed", "abandoned", "open", "attempts"));
        totalsByAccount.forEach((account, accountTotals) -> {
            PlaceTotals coreTotals = accountTotals[LedgerPlace.CORE.ordinal()];
            text.append(String.format(Locale.ROOT, "%-36s %10d %10d %9d %9d %9d %7d %10d%n", account, coreTotals.openedCount,
                    coreTotals.endedCounts[RequestEnd.SERVED.ordinal()], coreTotals.endedCounts[RequestEnd.REFUSED.ordinal()],
                    coreTotals.endedCounts[RequestEnd.FAILED.ordinal()],
                    coreTotals.endedCounts[RequestEnd.ABANDONED.ordinal()], coreTotals.openCount,
                    accountTotals[LedgerPlace.ATTEMPTS.ordinal()].openedCount));
        });
        findImbalances().forEach(imbalance -> text.append(imbalance).append('\n'));
        if (orphanedCount > 0) {
            text.append(orphanedCount).append(" requests of earlier lives were cut off and may have run\n");
        }
        return text.append(instanceCount).append(instanceCount == 1 ? " instance, " : " instances, ").append(breachCount)
                .append(" breaches not acknowledged: ").append(isBalanced() ? "all adds up" : "IT DOES NOT ADD UP").toString();
    }
}
