package cinderhollow.daemon;

import cinderhollow.ledger.JournalFrame;
import cinderhollow.ledger.JournalRecovery;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.RequestEnd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Measures the time and memory for reading a journal back: {@code JournalMeasurement FOLDER MEGABYTES OPEN}. */
final class JournalMeasurement {
    private static final int FRAME_BYTES = 1 << 15;

    private JournalMeasurement() { }

    /** Writes MEGABYTES of records, with OPEN requests open at any time, and reads them back. */
    public static void main(String[] args) throws IOException {
        Path file = Path.of(args[0], "measured.journal");
        write(file, Long.parseLong(args[1]) << 20, Integer.parseInt(args[2]));
        for (int round = 0; round < 3; round++) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            long usedBytesBefore = runtime.totalMemory() - runtime.freeMemory();
            long begin = System.nanoTime();
            JournalRecovery recovery = new JournalRecovery();
            String problem = JournalFiles.read(file, recovery);
            double seconds = (System.nanoTime() - begin) / 1e9;
            System.gc();
            long retainedBytes = runtime.totalMemory() - runtime.freeMemory() - usedBytesBefore;
            System.out.printf(Locale.ROOT, "%d MB in %.2f s, %.0f MB a second, %d open, %.1f MB kept, %s%n",
                    Files.size(file) >> 20,
                    seconds, (Files.size(file) >> 20) / seconds, recovery.orphans().size(), retainedBytes / 1e6,
                    problem == null ? "sound" : problem);
        }
        Files.delete(file);
    }

    private static void write(Path file, long bytes, int openCount) throws IOException {
        ByteBuffer frameHeader = ByteBuffer.allocate(JournalFiles.FRAME_HEADER_BYTES);
        JournalFrame frame = new JournalFrame(FRAME_BYTES);
        try (Journal.Output out = Journal.FILE_OUTPUTS.create(file)) {
            frame.writeHeader(1, 1, 0);
            frame.writeCheckpoint(new Ledger(List.of("class status", "class submit")), List.of());
            long requestNumber = 0;
            for (long writtenBytes = 0; writtenBytes < bytes;) {
                while (frame.length() < FRAME_BYTES) {
                    requestNumber++;
                    frame.writeOpened(requestNumber, (int) (requestNumber % 2), "0f8fad5b-d9cb-469f-a165-" + requestNumber);
                    if (requestNumber > openCount) {
                        frame.writeEnded(requestNumber - openCount, RequestEnd.SERVED);
                    }
                }
                JournalFiles.writeFrameHeader(frame.bytes(), frame.length(), frameHeader);
                out.write(frameHeader);
                out.write(ByteBuffer.wrap(frame.bytes(), 0, frame.length()));
                writtenBytes += JournalFiles.FRAME_HEADER_BYTES + frame.length();
                frame.clear();
            }
        }
    }
}
