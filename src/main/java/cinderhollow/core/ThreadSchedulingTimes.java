package cinderhollow.core;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Reads how long the current thread has run on a core, and how long it has waited for one, from Linux's
 * {@code /proc/thread-self/schedstat}. Must be created and used on that thread.
 */
public final class ThreadSchedulingTimes {
    /** Times of the thread since its start, in nanoseconds. */
    public record Times(long runNanos, long waitNanos) { }

    /** Length in bytes of the longest content: three numbers of up to 20 digits. */
    private static final int MAX_CONTENT_BYTES = 64;

    private final ByteBuffer content = ByteBuffer.allocateDirect(MAX_CONTENT_BYTES);
    /** Null where the system has no such file. */
    private final FileChannel file;

    /** Opens the file of the current thread, which stays open for as long as the process runs. */
    public ThreadSchedulingTimes() {
        FileChannel opened = null;
        try {
            opened = FileChannel.open(Path.of("/proc/thread-self/schedstat"), StandardOpenOption.READ);
        } catch (IOException e) {
            // No Linux, or a kernel without these figures: the times are unknown.
        }
        file = opened;
    }

    /** Returns the times by now, or null where the system does not tell them. */
    public Times read() {
        if (file == null) {
            return null;
        }
        try {
            content.clear();
            int length = file.read(content, 0);
            content.flip();
            String[] numbers = length <= 0 ? new String[0] : StandardCharsets.US_ASCII.decode(content).toString().trim().split(" ");
            return numbers.length < 2 ? null : new Times(Long.parseLong(numbers[0]), Long.parseLong(numbers[1]));
        } catch (IOException | NumberFormatException e) {
            return null;
        }
    }
}
