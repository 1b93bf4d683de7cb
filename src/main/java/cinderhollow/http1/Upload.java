package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The body of a request that is too large to be held, on its way from a client to a host. What waits here is bounded: over
 * the bound the client is not read from. Of one event loop.
 *
 * <p>Until its first byte has gone to a host the whole of it can still go to another one.
 */
public final class Upload {
    /** What of a body waits at the most, but for the read that went over it. */
    private static final int MOST_WAITING = 32 * 1024;

    /** The host's side. */
    interface Sink {
        /** Whether it takes more now; {@link Upload#flow} is due when it does again. */
        boolean roomy();

        /** A part, which is the sink's to release. */
        void part(ByteBuf bytes);

        /** That was all. */
        void last();
    }

    /** What the gateway makes of its course. */
    public interface Listener {
        /** The first byte has gone to a host: no other host can have the whole any more. */
        void spent();

        /** The client's last byte has come. */
        void whole();
    }

    private final long length;
    private final Consumer<Boolean> reading;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private int bytes;
    private Listener listener;
    private Sink sink;
    private boolean spent;
    private boolean whole;
    private boolean dropped;
    private boolean held;

    /** Of so many bytes, or -1 where only its end will tell; {@code reading} stops and starts what comes from the client. */
    Upload(long length, Consumer<Boolean> reading) {
        this.length = length;
        this.reading = reading;
    }

    /** So many bytes, or -1 where only its end will tell. */
    long length() {
        return length;
    }

    /** Whether the client's last byte has come. */
    public boolean isWhole() {
        return whole;
    }

    /** Whether more is read of it now: if not, it is the host that is waited for. */
    boolean isRead() {
        return !whole && bytes - keptBack() < MOST_WAITING;
    }

    /** Tells of its course from now on, and at once of what has been. */
    public void tell(Listener told) {
        listener = told;
        if (whole) {
            told.whole();
        }
    }

    /** A part, which is this one's to release. */
    void add(ByteBuf part) {
        if (dropped || !part.isReadable()) {
            part.release();
            return;
        }
        waiting.add(part);
        bytes += part.readableBytes();
        flow();
    }

    /** The client's last byte has come. */
    void end() {
        whole = true;
        if (listener != null && !dropped) {
            listener.whole();
        }
        flow();
    }

    /** Goes to this host from now on, or, with null, to none. */
    void to(Sink next) {
        sink = next;
        flow();
    }

    /** Passes on what can be. */
    void flow() {
        while (sink != null && bytes > keptBack() && sink.roomy()) {
            if (!spent) {
                spent = true;
                listener.spent();
            }
            ByteBuf part = waiting.poll();
            bytes -= part.readableBytes();
            sink.part(part);
        }
        if (sink != null && whole && waiting.isEmpty()) {
            Sink last = sink;
            sink = null;
            last.last();
        }
        boolean reads = dropped || whole || isRead();
        held |= !reads;
        reading.accept(reads);
    }

    /**
     * Guards against completing at a host what its client has left behind while it was not read from: that shows right behind the
     * last part, which therefore waits for the word that it is whole.
     */
    private int keptBack() {
        return held && !whole && !waiting.isEmpty() ? waiting.peekLast().readableBytes() : 0;
    }

    /** Whether its client was not read from at some time. */
    boolean wasHeld() {
        return held;
    }

    /** Nobody wants it any more: the rest is read and forgotten. */
    void drop() {
        dropped = true;
        sink = null;
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        bytes = 0;
        reading.accept(true);
    }
}
