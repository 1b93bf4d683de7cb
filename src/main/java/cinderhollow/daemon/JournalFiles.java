package cinderhollow.daemon;

import cinderhollow.ledger.JournalRecovery;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

/**
 * The segment files of a ledger's journal, in a persistent directory. Each consists of frames: a length, a checksum of the
 * frame (CRC-32C, RFC 3720, section 12.1) and its bytes. Each segment begins with a frame that identifies the run of the
 * process, followed by a checkpoint frame with the complete state.
 */
final class JournalFiles {
    /** Longest valid frame, in bytes: a longer one would hold more than a million open requests. */
    static final int MAX_FRAME_BYTES = 1 << 26;
    static final int FRAME_HEADER_BYTES = 8;
    private static final Pattern NAME_PATTERN = Pattern.compile("ledger-([0-9]{1,3})-([0-9]{16})-([0-9]{8})\\.journal");
    private static final int BUFFER_BYTES = 1 << 16;

    /** A segment file, as described by its name. */
    record Segment(Path path, int loopNumber, long epochMillis, long number) { }

    private JournalFiles() { }

    static Path segmentPath(Path directory, int loop, long epochMillis, long number) {
        return directory.resolve(String.format("ledger-%d-%016d-%08d.journal", loop, epochMillis, number));
    }

    /** Lists a loop's segments, the newest first. */
    static List<Segment> listSegments(Path directory, int loop) throws IOException {
        List<Segment> found = new ArrayList<>();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path path : (Iterable<Path>) files::iterator) {
                Matcher matcher = NAME_PATTERN.matcher(path.getFileName().toString());
                if (matcher.matches() && Integer.parseInt(matcher.group(1)) == loop) {
                    found.add(new Segment(path, loop, Long.parseLong(matcher.group(2)), Long.parseLong(matcher.group(3))));
                }
            }
        }
        found.sort(Comparator.comparingLong(Segment::epochMillis).thenComparingLong(Segment::number).reversed());
        return found;
    }

    /** Returns the numbers of the loops that have segments. */
    static List<Integer> listLoops(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(path -> NAME_PATTERN.matcher(path.getFileName().toString())).filter(Matcher::matches)
                    .map(matcher -> Integer.parseInt(matcher.group(1))).distinct().sorted().toList();
        }
    }

    /** Writes the header of a frame, its length and checksum. */
    static void writeFrameHeader(byte[] frame, int length, ByteBuffer header) {
        CRC32C checksum = new CRC32C();
        checksum.update(frame, 0, length);
        header.clear().putInt(length).putInt((int) checksum.getValue()).flip();
    }

    /**
     * Reads a segment to its end, or to the first byte that is not valid.
     *
     * @return what was wrong, or null
     */
    static String read(Path file, JournalRecovery recovery) throws IOException {
        byte[] frame = new byte[BUFFER_BYTES];
        CRC32C checksum = new CRC32C();
        long validBytes = 0;
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES))) {
            while (true) {
                int length;
                try {
                    length = in.readInt();
                } catch (EOFException e) {
                    long tornBytes = Files.size(file) - validBytes;
                    return tornBytes == 0 ? null : "its last " + tornBytes + " bytes are an incomplete frame";
                }
                if (length <= 0 || length > MAX_FRAME_BYTES) {
                    return "invalid frame length " + length + " at byte " + validBytes + "; the rest is ignored";
                }
                int expectedChecksum;
                try {
                    expectedChecksum = in.readInt();
                    frame = length > frame.length ? new byte[Math.max(length, 2 * frame.length)] : frame;
                    in.readFully(frame, 0, length);
                } catch (EOFException e) {
                    return "its last " + (Files.size(file) - validBytes) + " bytes are an incomplete frame";
                }
                checksum.reset();
                checksum.update(frame, 0, length);
                if ((int) checksum.getValue() != expectedChecksum) {
                    return "wrong checksum at byte " + validBytes + "; the rest is ignored";
                }
                try {
                    recovery.readFrame(frame, length);
                } catch (IllegalArgumentException e) {
                    return e.getMessage() + " at byte " + validBytes + "; the rest is ignored";
                }
                validBytes += FRAME_HEADER_BYTES + length;
            }
        }
    }
}
