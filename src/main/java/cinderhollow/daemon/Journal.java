package cinderhollow.daemon;

import cinderhollow.ledger.End;
import cinderhollow.ledger.Frame;
import cinderhollow.ledger.Ledger;
import cinderhollow.ledger.Life;
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
    interface Held {
        /** Writes each open request to the frame. */
        void tell(Frame frame);
    }

    /** Frames in each queue, usual size of a frame, and size from which a frame is not reused, in bytes. */
    private static final int FRAMES = 64, ROOM = 1 << 15, LARGE = 1 << 18;
    /** Longest time, in milliseconds, for which an entry stays on the loop; a killed process loses these entries. */
    private static final long FLUSH_MILLIS = 5;
    /** Pause of the writer thread when there is nothing to write. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** Time after a write failure before the disk is tried again. */
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final LoopLedgerConfig setting;
    private final OutputFactory disk;
    private final Ledger ledger;
    private final Held held;
    private final Consumer<String> log;
    private final List<Life> earlierTotals;
    private final long epochMillis = System.currentTimeMillis();
    private final long epochNumber = System.nanoTime();
    private final SpscArrayQueue<Frame> full = new SpscArrayQueue<>(FRAMES);
    private final SpscArrayQueue<Frame> empty = new SpscArrayQueue<>(FRAMES);
    private final CompletableFuture<Void> written = new CompletableFuture<>();
    private final Thread thread;
    private final FileChannel lock;

    // Used only by the event loop.
    private Frame current = new Frame(ROOM);
    private boolean due;
    /** Entries were lost: a checkpoint must be written before any further entry makes sense. */
    private boolean gap = true;
    private long lostHere;

    // Used by the writer thread; the volatile fields are also used by the event loop.
    private Output output;
    private long position;
    private long files;
    private long syncedAt;
    private boolean dirty;
    private long retryAt;
    private boolean inTrouble;
    private final List<Path> old = new ArrayList<>();
    private volatile boolean wantsAll;
    private volatile boolean ending;
    private volatile long lostThere;

    private Journal(EventLoop loop, LoopLedgerConfig setting, OutputFactory disk, Ledger ledger, EarlierRuns lives, Held held,
                    Consumer<String> log, FileChannel lock) {
        this.lock = lock;
        this.loop = loop;
        this.setting = setting;
        this.disk = disk;
        this.ledger = ledger;
        this.held = held;
        this.log = log;
        earlierTotals = lives.totals();
        old.addAll(lives.read());
        thread = new Thread(this::run, "ledger-" + setting.loop());
        thread.setDaemon(true);
    }

    /**
     * Reads the journals of earlier runs and opens a new one. Returns null, with a log line, if the directory cannot be used.
     */
    static Journal open(EventLoop loop, LoopLedgerConfig setting, OutputFactory disk, Ledger ledger, Held held, Consumer<String> log) {
        FileChannel lock = null;
        try {
            lock = lock(setting);
            List<Integer> own = JournalFiles.listLoops(setting.directory()).stream()
                    .filter(number -> number % setting.loops() == setting.loop()).toList();
            EarlierRuns lives = EarlierRuns.read(setting.directory(), own);
            lives.logLines().forEach(line -> log.accept("ledger's journal: " + line));
            lives.writeOrphans(setting.directory());
            Journal journal = new Journal(loop, setting, disk, ledger, lives, held, log, lock);
            journal.thread.start();
            journal.tick();
            return journal;
        } catch (IOException | OverlappingFileLockException e) {
            log.accept("ledger's journal: not written, directory " + setting.directory() + " can't be used: "
                    + (e instanceof IOException ? e.getMessage() : "this process already writes a journal there"));
            release(lock);
            return null;
        }
    }

    /**
     * Locks the journal of this loop until the process ends. Otherwise two processes could take each other's files for those
     * of an earlier run.
     */
    private static FileChannel lock(LoopLedgerConfig setting) throws IOException {
        FileChannel channel = FileChannel.open(setting.directory().resolve("ledger-" + setting.loop() + ".lock"),
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
    List<Life> earlierTotals() {
        return earlierTotals;
    }

    /** Returns the number of entries that never reached the disk. */
    long lostEntries() {
        return lostHere + lostThere;
    }

    /** Records that a request has opened. Called on the event loop. */
    void recordOpened(long request, int account, String id) {
        if (gap) {
            lostHere++;
            return;
        }
        current.opened(request, account, id);
        wrote();
    }

    /** Records that a request has ended. Called on the event loop. */
    void recordEnded(long request, End end) {
        if (gap) {
            lostHere++;
            return;
        }
        current.ended(request, end);
        wrote();
    }

    private void wrote() {
        if (current.length() >= ROOM) {
            handOver();
        }
        tickLater();
    }

    private void tickLater() {
        if (!due) {
            due = true;
            loop.schedule(this::tick, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void handOver() {
        if (current.length() == 0) {
            return;
        }
        if (full.offer(current)) {
            Frame next = empty.poll();
            current = next == null ? new Frame(ROOM) : next;
        } else {
            lostHere += current.entries();
            current.clear();
            gap = true;
        }
    }

    /**
     * Passes the current frame to the writer, and a checkpoint where one is needed. Runs between events, when the open
     * requests agree with the sums.
     */
    private void tick() {
        due = false;
        handOver();
        if (gap || wantsAll) {
            if (full.size() < FRAMES / 2) {
                wantsAll = false;
                gap = false;
                current.reset(ledger, earlierTotals);
                if (lostEntries() > 0) {
                    current.lost(lostEntries());
                }
                held.tell(current);
                handOver();
            } else {
                tickLater();
            }
        }
    }

    /** Closes the journal; the future completes once everything is on disk. Called on the event loop. */
    CompletableFuture<Void> shutDown() {
        if (!gap) {
            current.closed();
            handOver();
        }
        ending = true;
        LockSupport.unpark(thread);
        return written;
    }

    private void run() {
        try {
            while (true) {
                boolean last = ending;
                Frame frame = full.poll();
                if (frame != null) {
                    write(frame);
                    if (frame.bytes().length < LARGE) {
                        frame.clear();
                        empty.offer(frame);
                    }
                } else if (last) {
                    break;
                } else {
                    LockSupport.parkNanos(PAUSE_NANOS);
                }
                if (dirty && System.nanoTime() - syncedAt >= setting.syncNanos()) {
                    sync();
                }
            }
            sync();
            close();
        } finally {
            release(lock);
            written.complete(null);
        }
    }

    private void write(Frame frame) {
        boolean begins = frame.isCheckpoint() && (output == null || position >= setting.mostBytes());
        if (output == null && (!begins || System.nanoTime() < retryAt)) {
            lostThere += frame.entries();
            // Not immediately: a failing disk is tried again once a second.
            wantsAll = System.nanoTime() >= retryAt;
            return;
        }
        try {
            if (begins) {
                begin();
            }
            put(frame);
            if (begins) {
                // Only once the checkpoint is on disk are the older files no longer needed.
                output.sync();
                removeOld();
            }
            dirty = true;
            if (position >= setting.mostBytes()) {
                wantsAll = true;
            }
            if (inTrouble) {
                inTrouble = false;
                log.accept("ledger's journal: writing again");
            }
        } catch (IOException e) {
            lostThere += frame.entries();
            fails(e);
        }
    }

    private void begin() throws IOException {
        Path file = JournalFiles.segmentPath(setting.directory(), setting.loop(), epochMillis, files);
        close();
        output = disk.create(file);
        Frame header = new Frame(ROOM);
        header.header(epochMillis, epochNumber, files);
        files++;
        position = 0;
        put(header);
        old.add(file);
    }

    private void put(Frame frame) throws IOException {
        ByteBuffer head = ByteBuffer.allocate(JournalFiles.FRAME_HEADER_BYTES);
        JournalFiles.writeFrameHeader(frame.bytes(), frame.length(), head);
        output.write(head);
        output.write(ByteBuffer.wrap(frame.bytes(), 0, frame.length()));
        position += JournalFiles.FRAME_HEADER_BYTES + frame.length();
    }

    /** Deletes all segments but the one that is being written. */
    private void removeOld() throws IOException {
        while (old.size() > 1) {
            Files.deleteIfExists(old.remove(0));
        }
    }

    private void sync() {
        try {
            if (output != null) {
                output.sync();
            }
            dirty = false;
            syncedAt = System.nanoTime();
        } catch (IOException e) {
            fails(e);
        }
    }

    private void fails(IOException e) {
        dirty = false;
        close();
        retryAt = System.nanoTime() + RETRY_NANOS;
        if (!inTrouble) {
            inTrouble = true;
            log.accept("ledger's journal: write failed (" + e.getMessage() + "); requests are served without it");
        }
    }

    private void close() {
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
