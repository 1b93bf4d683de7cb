package cinderhollow.daemon;

import cinderhollow.daemon.JournalFiles.Segment;
import cinderhollow.ledger.Life;
import cinderhollow.ledger.Recovery;
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
 * @param read segments covered by this, which may be deleted once it has been written to a new segment
 */
record EarlierRuns(List<Life> totals, List<Recovery.Orphan> orphans, List<String> logLines, List<Path> read) {
    /** Name of the file that lists the orphans: a list longer than a screen is of no use in a log. */
    static final String ORPHANS_FILE = "orphans.txt";
    private static final int MOST_NAMED = 20;

    /** Reads what the loops of these numbers have left. A file that cannot be read is logged and does not fail the start. */
    static EarlierRuns read(Path directory, List<Integer> loops) throws IOException {
        Map<String, Life> lives = new TreeMap<>();
        List<Recovery.Orphan> orphans = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        List<Path> read = new ArrayList<>();
        for (int loop : loops) {
            Recovery last = last(JournalFiles.listSegments(directory, loop), lines, read);
            if (last != null) {
                for (Life life : last.lives()) {
                    lives.merge(life.account(), life, Life::plus);
                }
                orphans.addAll(last.orphans());
                if (last.lost() > 0) {
                    lines.add("the last run could not write " + last.lost() + " entries to disk, and wrote a checkpoint later");
                }
            }
        }
        if (!orphans.isEmpty()) {
            lines.add(orphans.size() + " requests were open when the last run ended, and may have run: "
                    + String.join(", ", orphans.stream().limit(MOST_NAMED)
                    .map(orphan -> orphan.id() + " (" + orphan.account() + ")").toList())
                    + (orphans.size() > MOST_NAMED ? ", ...: all are in " + directory.resolve(ORPHANS_FILE) : ""));
        }
        return new EarlierRuns(List.copyOf(lives.values()), List.copyOf(orphans), List.copyOf(lines), List.copyOf(read));
    }

    /** Reads the newest segment with a checkpoint, which covers all earlier ones. Returns null where there is none. */
    private static Recovery last(List<Segment> segments, List<String> lines, List<Path> read) {
        Recovery found = null;
        for (Segment segment : segments) {
            if (found == null) {
                Recovery recovery = new Recovery();
                String wrong;
                try {
                    wrong = JournalFiles.read(segment.path(), recovery);
                } catch (IOException e) {
                    wrong = "can't be read: " + e.getMessage();
                }
                if (wrong != null) {
                    lines.add(segment.path().getFileName() + ": " + wrong);
                }
                if (recovery.file() < 0) {
                    continue; // kept: another version may be able to read it
                }
                found = recovery.isWhole() ? recovery : null;
            }
            read.add(segment.path());
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
