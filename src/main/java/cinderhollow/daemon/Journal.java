package cinderhollow.daemon;

import cinderhollow.ledger.EarlierRunTotals;
import cinderhollow.ledger.JournalFrame;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.RequestEnd;
import io.netty.channel.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.SpscArrayQueue;

/**
 * The journal of one event loop's ledger. The loop collects entries in frames and passes them, without locks, to a thread
 * that writes them and syncs them in groups. A disk that is slow, full or missing costs entries and never delays the loop.
 * Lost entries are counted, and a checkpoint frame with the complete state is written as soon as there is room again.
 */
final class Journal {
    /** Output for frames; tests use slow and failing ones. */
    interface Output extends Closeable {
        /** Writes all remaining bytes. */
        void write(ByteBuffer bytes) throws IOException;

        /** Forces what was written to the disk. */
        void sync() throws IOException;
    }

    /** Creates journal files. */
    interface OutputFactory {
        /** Creates a file; fails if it exists. */
        Output create(Path file) throws IOException;
    }

    /** Creates files on disk; fails if the file exists. */
    static final OutputFactory FILE_OUTPUTS = file -> {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        return new Output() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }

            @Override
            public void sync() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    };

    /** Source of the requests that are open on the loop, for a checkpoint frame. */
    interface OpenRequestSource {
        /** Writes each open request to the frame. */
        void writeTo(JournalFrame frame);
    }

    /** Frames in each queue, usual size of a frame, and size from which a frame is not reused, in bytes. */
    private static final int MAX_QUEUED_FRAMES = 64, FRAME_CAPACITY_BYTES = 1 << 15, MAX_REUSED_FRAME_BYTES = 1 << 18;
    /** Longest time, in milliseconds, for which an entry stays on the loop; a killed process loses these entries. */
    private static final long FLUSH_INTERVAL_MILLIS = 5;
    /** Pause of the writer thread when there is nothing to write. */
    private static final long WRITER_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** Time after a write failure before the disk is tried again. */
    private static final long RETRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final LoopLedgerConfig config;
    private final OutputFactory outputFactory;
    private final Ledger ledger;
    private final OpenRequestSource openRequests;
    private final Consumer<String> log;
    private final List<EarlierRunTotals> earlierTotals;
    private final long epochMillis = System.currentTimeMillis();
    private final long epochNumber = System.nanoTime();
    private final SpscArrayQueue<JournalFrame> filledFrames = new SpscArrayQueue<>(MAX_QUEUED_FRAMES);
    private final SpscArrayQueue<JournalFrame> freeFrames = new SpscArrayQueue<>(MAX_QUEUED_FRAMES);
    private final CompletableFuture<Void> writerDone = new CompletableFuture<>();
    private final Thread writerThread;
    private final FileChannel lock;

    // Used only by the event loop.
    private JournalFrame currentFrame = new JournalFrame(FRAME_CAPACITY_BYTES);
    private boolean flushScheduled;
    /** Entries were lost: a checkpoint must be written before any further entry makes sense. */
    private boolean checkpointRequired = true;
    private long lostOnLoop;

    // Used by the writer thread; the volatile fields are also used by the event loop.
    private Output output;
    private long segmentBytes;
    private long nextSegmentNumber;
    private long syncedAtNanos;
    private boolean dirty;
    private long retryAtNanos;
    private boolean failing;
    private final List<Path> segments = new ArrayList<>();
    private volatile boolean writerNeedsCheckpoint;
    private volatile boolean closing;
    private volatile long lostInWriter;

    private Journal(EventLoop loop, LoopLedgerConfig config, OutputFactory outputFactory, Ledger ledger,
            EarlierRuns earlierRuns, OpenRequestSource openRequests,
                    Consumer<String> log, FileChannel lock) {
        this.lock = lock;
        this.loop = loop;
        this.config = config;
        this.outputFactory = outputFactory;
        this.ledger = ledger;
        this.openRequests = openRequests;
        this.log = log;
        earlierTotals = earlierRuns.totals();
        segments.addAll(earlierRuns.segmentsRead());
        writerThread = new Thread(this::runWriter, "ledger-" + config.loopNumber());
        writerThread.setDaemon(true);
    }

    /**
     * Reads the journals of earlier runs and opens a new one. Returns null, with a log line, if the directory cannot be used.
     */
    static Journal open(EventLoop loop, LoopLedgerConfig config, OutputFactory outputFactory, Ledger ledger,
            OpenRequestSource openRequests, Consumer<String> log) {
        FileChannel lock = null;
        try {
            lock = lock(config);
            List<Integer> ownLoops = JournalFiles.listLoops(config.directory()).stream()
                    .filter(number -> number % config.loopCount() == config.loopNumber()).toList();
            EarlierRuns earlierRuns = EarlierRuns.read(config.directory(), ownLoops);
            earlierRuns.logLines().forEach(line -> log.accept("ledger's journal: " + line));
            earlierRuns.writeOrphans(config.directory());
            Journal journal = new Journal(loop, config, outputFactory, ledger, earlierRuns, openRequests, log, lock);
            journal.writerThread.start();
            journal.flush();
            return journal;
        } catch (IOException | OverlappingFileLockException e) {
            log.accept("ledger's journal: not written, directory " + config.directory() + " can't be used: "
                    + (e instanceof IOException ? e.getMessage() : "this process already writes a journal there"));
            release(lock);
            return null;
        }
    }

    /**
     * Locks the journal of this loop until the process ends. Otherwise two processes could take each other's files for those
     * of an earlier run.
     */
    private static FileChannel lock(LoopLedgerConfig config) throws IOException {
        FileChannel channel = FileChannel.open(config.directory().resolve("ledger-" + config.loopNumber() + ".lock"),
                StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            release(channel);
            throw e;
        }
        release(channel);
        throw new IOException("another process writes its journal there");
    }

    private static void release(FileChannel lock) {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            // The end of the process closes it; until then, no other process may use the directory.
            return;
        }
    }

    /** Returns the sums of earlier runs by account. */
    List<EarlierRunTotals> earlierTotals() {
        return earlierTotals;
    }

    /** Returns the number of entries that never reached the disk. */
    long lostEntries() {
        return lostOnLoop + lostInWriter;
    }

    /** Records that a request has opened. Called on the event loop. */
    void recordOpened(long request, int account, String id) {
        if (checkpointRequired) {
            lostOnLoop++;
            return;
        }
        currentFrame.writeOpened(request, account, id);
        scheduleWrite();
    }

    /** Records that a request has ended. Called on the event loop. */
    void recordEnded(long request, RequestEnd end) {
        if (checkpointRequired) {
            lostOnLoop++;
            return;
        }
        currentFrame.writeEnded(request, end);
        scheduleWrite();
    }

    private void scheduleWrite() {
        if (currentFrame.length() >= FRAME_CAPACITY_BYTES) {
            enqueueCurrentFrame();
        }
        scheduleFlush();
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            loop.schedule(this::flush, FLUSH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void enqueueCurrentFrame() {
        if (currentFrame.length() == 0) {
            return;
        }
        if (filledFrames.offer(currentFrame)) {
            JournalFrame nextFrame = freeFrames.poll();
            currentFrame = nextFrame == null ? new JournalFrame(FRAME_CAPACITY_BYTES) : nextFrame;
        } else {
            lostOnLoop += currentFrame.entryCount();
            currentFrame.clear();
            checkpointRequired = true;
        }
    }

    /**
     * Passes the current frame to the writer, and a checkpoint where one is needed. Runs between events, when the open
     * requests agree with the sums.
     */
    private void flush() {
        flushScheduled = false;
        enqueueCurrentFrame();
        if (checkpointRequired || writerNeedsCheckpoint) {
            if (filledFrames.size() < MAX_QUEUED_FRAMES / 2) {
                writerNeedsCheckpoint = false;
                checkpointRequired = false;
                currentFrame.writeCheckpoint(ledger, earlierTotals);
                if (lostEntries() > 0) {
                    currentFrame.writeLostEntries(lostEntries());
                }
                openRequests.writeTo(currentFrame);
                enqueueCurrentFrame();
            } else {
                scheduleFlush();
            }
        }
    }

    /** Closes the journal; the future completes once everything is on disk. Called on the event loop. */
    CompletableFuture<Void> shutDown() {
        if (!checkpointRequired) {
            currentFrame.writeCleanEnd();
            enqueueCurrentFrame();
        }
        closing = true;
        LockSupport.unpark(writerThread);
        return writerDone;
    }

    private void runWriter() {
        try {
            while (true) {
                boolean lastPass = closing;
                JournalFrame frame = filledFrames.poll();
                if (frame != null) {
                    writeFrame(frame);
                    if (frame.bytes().length < MAX_REUSED_FRAME_BYTES) {
                        frame.clear();
                        freeFrames.offer(frame);
                    }
                } else if (lastPass) {
                    break;
                } else {
                    LockSupport.parkNanos(WRITER_PARK_NANOS);
                }
                if (dirty && System.nanoTime() - syncedAtNanos >= config.syncIntervalNanos()) {
                    sync();
                }
            }
            sync();
            closeOutput();
        } finally {
            release(lock);
            writerDone.complete(null);
        }
    }

    private void writeFrame(JournalFrame frame) {
        boolean startsSegment = frame.isCheckpoint() && (output == null || segmentBytes >= config.maxSegmentBytes());
        if (output == null && (!startsSegment || System.nanoTime() < retryAtNanos)) {
            lostInWriter += frame.entryCount();
            // Not immediately: a failing disk is tried again once a second.
            writerNeedsCheckpoint = System.nanoTime() >= retryAtNanos;
            return;
        }
        try {
            if (startsSegment) {
                startSegment();
            }
            appendFrame(frame);
            if (startsSegment) {
                // Only once the checkpoint is on disk are the older files no longer needed.
                output.sync();
                deleteOldSegments();
            }
            dirty = true;
            if (segmentBytes >= config.maxSegmentBytes()) {
                writerNeedsCheckpoint = true;
            }
            if (failing) {
                failing = false;
                log.accept("ledger's journal: writing again");
            }
        } catch (IOException e) {
            lostInWriter += frame.entryCount();
            handleWriteFailure(e);
        }
    }

    private void startSegment() throws IOException {
        Path file = JournalFiles.segmentPath(config.directory(), config.loopNumber(), epochMillis, nextSegmentNumber);
        closeOutput();
        output = outputFactory.create(file);
        JournalFrame header = new JournalFrame(FRAME_CAPACITY_BYTES);
        header.writeHeader(epochMillis, epochNumber, nextSegmentNumber);
        nextSegmentNumber++;
        segmentBytes = 0;
        appendFrame(header);
        segments.add(file);
    }

    private void appendFrame(JournalFrame frame) throws IOException {
        ByteBuffer frameHeader = ByteBuffer.allocate(JournalFiles.FRAME_HEADER_BYTES);
        JournalFiles.writeFrameHeader(frame.bytes(), frame.length(), frameHeader);
        output.write(frameHeader);
        output.write(ByteBuffer.wrap(frame.bytes(), 0, frame.length()));
        segmentBytes += JournalFiles.FRAME_HEADER_BYTES + frame.length();
    }

    /** Deletes all segments but the one that is being written. */
    private void deleteOldSegments() throws IOException {
        while (segments.size() > 1) {
            Files.deleteIfExists(segments.remove(0));
        }
    }

    private void sync() {
        try {
            if (output != null) {
                output.sync();
            }
            dirty = false;
            syncedAtNanos = System.nanoTime();
        } catch (IOException e) {
            handleWriteFailure(e);
        }
    }

    private void handleWriteFailure(IOException e) {
        dirty = false;
        closeOutput();
        retryAtNanos = System.nanoTime() + RETRY_INTERVAL_NANOS;
        if (!failing) {
            failing = true;
            log.accept("ledger's journal: write failed (" + e.getMessage() + "); requests are served without it");
        }
    }

    private void closeOutput() {
        try {
            if (output != null) {
                output.close();
            }
        } catch (IOException e) {
            log.accept("ledger's journal: closing a segment failed: " + e.getMessage());
        } finally {
            output = null;
        }
    }
}
