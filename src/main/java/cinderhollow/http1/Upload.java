package cinderhollow.http1;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Body of a request that is too large to be buffered, forwarded from a client to a server as it arrives. What is buffered here is
 * bounded: over the bound, reading from the client is paused. Belongs to one event loop.
 *
 * <p>Until its first byte has been sent to a server, the whole body can still be sent to another one.
 */
public final class Upload {
    /** Bound of the bytes of one body that are buffered; only the read that crosses it may exceed it. */
    private static final int MOST_WAITING = 32 * 1024;

    /** Upstream side: the connection to a server that the body is forwarded to. */
    interface Sink {
        /** Returns whether the sink accepts more now. When it does again, it calls {@link Upload#flow}. */
        boolean roomy();

        /** Forwards body bytes, and releases them. */
        void part(ByteBuf bytes);

        /** Called when the body is complete. */
        void last();
    }

    /** Receives the progress of the upload. */
    public interface Listener {
        /** Called when the first byte is sent to a server: no other server can receive the whole body any more. */
        void onFirstByteSent();

        /** Called when the last byte has been received from the client. */
        void onFullyReceived();
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

    /**
     * Creates an upload. {@code length} is its length in bytes, or -1 if it is known only once the body ends; {@code readControl}
     * pauses and resumes reading from the client.
     */
    Upload(long length, Consumer<Boolean> reading) {
        this.length = length;
        this.reading = reading;
    }

    /** Returns the length in bytes, or -1 if it is known only once the body ends. */
    long length() {
        return length;
    }

    /** Returns whether the last byte has been received from the client. */
    public boolean isFullyReceived() {
        return whole;
    }

    /** Returns whether more is being read from the client now; if not, the upload waits for the server. */
    boolean isRead() {
        return !whole && bytes - keptBack() < MOST_WAITING;
    }

    /** Sets the listener. If the body has been fully received, notifies the listener at once. */
    public void setListener(Listener told) {
        listener = told;
        if (whole) {
            told.onFullyReceived();
        }
    }

    /** Adds body bytes, and takes ownership of them. */
    void add(ByteBuf part) {
        if (dropped || !part.isReadable()) {
            part.release();
            return;
        }
        waiting.add(part);
        bytes += part.readableBytes();
        flow();
    }

    /** Marks the body as fully received from the client. */
    void end() {
        whole = true;
        if (listener != null && !dropped) {
            listener.onFullyReceived();
        }
        flow();
    }

    /** Sets the connection that the body is forwarded to from now on; null for none. */
    void to(Sink next) {
        sink = next;
        flow();
    }

    /** Forwards what the sink accepts, and pauses or resumes reading from the client. */
    void flow() {
        while (sink != null && bytes > keptBack() && sink.roomy()) {
            if (!spent) {
                spent = true;
                listener.onFirstByteSent();
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
     * Returns the number of bytes of the last buffered part that must wait for the end of the body. If reading from the client
     * was paused at some time, the client may have left meanwhile, which shows only right behind the last part; that part
     * therefore waits until the body is known to be complete, so that a server does not receive a whole request that its client
     * has abandoned.
     */
    private int keptBack() {
        return held && !whole && !waiting.isEmpty() ? waiting.peekLast().readableBytes() : 0;
    }

    /** Returns whether reading from the client was paused at some time. */
    boolean wasHeld() {
        return held;
    }

    /** Discards what is buffered and all that is still to come, which is still read from the client. */
    void drop() {
        dropped = true;
        sink = null;
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        bytes = 0;
        reading.accept(true);
    }
}
