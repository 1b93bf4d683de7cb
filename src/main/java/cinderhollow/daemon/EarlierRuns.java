package cinderhollow.daemon;

import cinderhollow.daemon.JournalFiles.Segment;
import cinderhollow.ledger.EarlierRunTotals;
import cinderhollow.ledger.JournalRecovery;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the journals of earlier runs of the process hold, as read at a start.
 *
 * @param totals sums of the earlier runs by account
 * @param orphans requests that were open when the last run was cut off
 * @param logLines lines for the log
 * @param segmentsRead segments covered by this, which may be deleted once it has been written to a new segment
 */
record EarlierRuns(List<EarlierRunTotals> totals, List<JournalRecovery.Orphan> orphans, List<String> logLines,
        List<Path> segmentsRead) {
    /** Name of the file that lists the orphans: a list longer than a screen is of no use in a log. */
    static final String ORPHANS_FILE = "orphans.txt";
    private static final int MAX_ORPHANS_LOGGED = 20;

    /** Reads what the loops of these numbers have left. A file that cannot be read is logged and does not fail the start. */
    static EarlierRuns read(Path directory, List<Integer> loops) throws IOException {
        Map<String, EarlierRunTotals> totals = new TreeMap<>();
        List<JournalRecovery.Orphan> orphans = new ArrayList<>();
        List<String> logLines = new ArrayList<>();
        List<Path> readFiles = new ArrayList<>();
        for (int loop : loops) {
            JournalRecovery latest = readLatest(JournalFiles.listSegments(directory, loop), logLines, readFiles);
            if (latest != null) {
                for (EarlierRunTotals life : latest.totalsIncludingThisRun()) {
                    totals.merge(life.account(), life, EarlierRunTotals::plus);
                }
                orphans.addAll(latest.orphans());
                if (latest.lostEntries() > 0) {
                    logLines.add("the last run could not write " + latest.lostEntries()
                            + " entries to disk, and wrote a checkpoint later");
                }
            }
        }
        if (!orphans.isEmpty()) {
            logLines.add(orphans.size() + " requests were open when the last run ended, and may have run: "
                    + String.join(", ", orphans.stream().limit(MAX_ORPHANS_LOGGED)
                    .map(orphan -> orphan.id() + " (" + orphan.account() + ")").toList())
                    + (orphans.size() > MAX_ORPHANS_LOGGED ? ", ...: all are in " + directory.resolve(ORPHANS_FILE) : ""));
        }
        return new EarlierRuns(List.copyOf(totals.values()), List.copyOf(orphans), List.copyOf(logLines), List.copyOf(readFiles));
    }

    /** Reads the newest segment with a checkpoint, which covers all earlier ones. Returns null where there is none. */
    private static JournalRecovery readLatest(List<Segment> segments, List<String> logLines, List<Path> readFiles) {
        JournalRecovery found = null;
        for (Segment segment : segments) {
            if (found == null) {
                JournalRecovery recovery = new JournalRecovery();
                String problem;
                try {
                    problem = JournalFiles.read(segment.path(), recovery);
                } catch (IOException e) {
                    problem = "can't be read: " + e.getMessage();
                }
                if (problem != null) {
                    logLines.add(segment.path().getFileName() + ": " + problem);
                }
                if (recovery.segmentNumber() < 0) {
                    continue; // kept: another version may be able to read it
                }
                found = recovery.hasCheckpoint() ? recovery : null;
            }
            readFiles.add(segment.path());
        }
        return found;
    }

    /** Writes the list of orphans to a file beside the journal, if there are any. */
    void writeOrphans(Path directory) throws IOException {
        if (!orphans.isEmpty()) {
            Files.write(directory.resolve(ORPHANS_FILE),
                    orphans.stream().map(orphan -> orphan.id() + "\t" + orphan.account()).toList());
        }
    }
}
