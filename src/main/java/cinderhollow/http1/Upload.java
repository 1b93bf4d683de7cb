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
    /**
     * Bound of the bytes of one body that wait for a server; only the read that crosses it may exceed it. The memory budget
     * bounds these bytes together with those that the server's socket has not accepted yet.
     */
    private static final int MAX_BUFFERED_BYTES = 32 * 1024;

    /** Upstream side: the connection to a server that the body is forwarded to. */
    interface Sink {
        /** Returns whether the sink accepts more now. When it does again, it calls {@link Upload#forwardBuffered}. */
        boolean isWritable();

        /** Forwards body bytes, and releases them. Runs {@code onWritten} once the socket has accepted them, or never will. */
        void forward(ByteBuf bytes, Runnable onWritten);

        /** Called when the body is complete. */
        void onEnd();
    }

    /** Receives the progress of the upload. */
    public interface Listener {
        /** Called when the first byte is sent to a server: no other server can receive the whole body any more. */
        void onFirstByteSent();

        /**
         * Called when the last byte has been received from the client, which it sent at the given time, in nanoseconds of the
         * gateway's clock, or later.
         */
        void onFullyReceived(long lastByteAt);

        /**
         * Called when parts of the body are not read for now, so that its last byte may be among them and may have arrived at the
         * given time or later. Repeated from time to time while that holds.
         */
        void onUnread(long lastByteMayHaveArrivedAt);

        /** Called when everything that the client has sent has been read again, and its last byte was not among it. */
        void onCaughtUp();

        /** Called when the server has accepted nothing of the body for a while though bytes wait for it, and when it does again. */
        void onServerBlocked(boolean blocked);
    }

    private final long length;
    private final Consumer<Boolean> readControl;
    private final BodyMemoryBudget budget;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private int bufferedBytes;
    /** Number of bytes that were forwarded and that the server's socket has not accepted yet. */
    private int unsentBytes;
    /** Number of bytes that servers' sockets have accepted, now and at the last check. */
    private long acceptedBytes;
    private long acceptedBytesAtCheck;
    /** Whether the server had accepted nothing at the last check though bytes waited for it. */
    private boolean serverBlocked;
    private Listener listener;
    private Sink sink;
    private boolean firstByteSent;
    private boolean received;
    /** When the last byte may have arrived at the earliest; set once it has been received. */
    private long lastByteAt;
    /** Whether more is read from the client at present. */
    private boolean reading = true;
    private boolean fullyReceived;
    private boolean discarded;
    private boolean readLate;

    /**
     * Creates an upload. {@code length} is its length in bytes, or -1 if it is known only once the body ends; {@code readControl}
     * pauses and resumes reading from the client; {@code budget} bounds what is held of the body.
     */
    Upload(long length, Consumer<Boolean> readControl, BodyMemoryBudget budget) {
        this.budget = budget;
        this.length = length;
        this.readControl = readControl;
    }

    /** Returns the length in bytes, or -1 if it is known only once the body ends. */
    long length() {
        return length;
    }

    /** Returns whether the last byte has been received from the client. */
    public boolean isFullyReceived() {
        return fullyReceived;
    }

    /** Returns whether more is being read from the client now; if not, the upload waits for the server. */
    boolean isReading() {
        return reading && !fullyReceived;
    }

    private boolean hasRoom() {
        int waitingBytes = bufferedBytes - withheldBytes();
        return waitingBytes < MAX_BUFFERED_BYTES && waitingBytes + unsentBytes < budget.allowanceBytes();
    }

    /** Reports that parts of the body are unread, so that its last byte may have arrived at this time or later. */
    void reportUnread(long lastByteMayHaveArrivedAt) {
        if (listener != null) {
            listener.onUnread(lastByteMayHaveArrivedAt);
        }
    }

    /** Checks whether the server has accepted anything since the last check. Called at regular intervals. */
    void checkServerProgress() {
        boolean blocked = sink != null && unsentBytes > 0 && acceptedBytes == acceptedBytesAtCheck;
        acceptedBytesAtCheck = acceptedBytes;
        if (blocked != serverBlocked && listener != null) {
            serverBlocked = blocked;
            listener.onServerBlocked(blocked);
        }
    }

    /** Reports that no part of the body that has arrived is unread. */
    void reportCaughtUp() {
        if (listener != null) {
            listener.onCaughtUp();
        }
    }

    /** Sets the listener. If the body has been fully received, notifies the listener at once. */
    public void setListener(Listener newListener) {
        listener = newListener;
        if (fullyReceived) {
            newListener.onFullyReceived(lastByteAt);
        }
    }

    /** Adds body bytes, and takes ownership of them. */
    void add(ByteBuf part) {
        if (discarded || !part.isReadable()) {
            part.release();
            return;
        }
        bufferedBytes += part.readableBytes();
        if (!buffered.isEmpty() && SmallParts.fits(buffered.peekLast(), part)) {
            SmallParts.merge(buffered.peekLast(), part);
        } else {
            buffered.add(SmallParts.mergeable(part));
        }
        forwardBuffered();
    }

    /** Notes that the last byte, which arrived at the given time or later, has been received; {@link #end} forwards it. */
    void markReceived(long arrivedAt) {
        lastByteAt = arrivedAt;
        received = true;
        updateReading();
    }

    /** Returns whether the last byte has been received from the client, though the end may not have been reported yet. */
    boolean isReceived() {
        return received;
    }

    /** Marks the body as fully received from the client. */
    void end() {
        fullyReceived = true;
        if (listener != null && !discarded) {
            listener.onFullyReceived(lastByteAt);
        }
        forwardBuffered();
    }

    /** Sets the connection that the body is forwarded to from now on; null for none. */
    void setSink(Sink newSink) {
        sink = newSink;
        forwardBuffered();
    }

    /** Forwards what the sink accepts, and pauses or resumes reading from the client. */
    void forwardBuffered() {
        while (sink != null && bufferedBytes > withheldBytes() && sink.isWritable()) {
            if (!firstByteSent) {
                firstByteSent = true;
                listener.onFirstByteSent();
            }
            ByteBuf part = buffered.poll();
            int length = part.readableBytes();
            bufferedBytes -= length;
            unsentBytes += length;
            sink.forward(part, () -> onWritten(length));
        }
        if (sink != null && fullyReceived && buffered.isEmpty()) {
            Sink finishedSink = sink;
            sink = null;
            finishedSink.onEnd();
        }
        updateReading();
    }

    private void onWritten(int bytes) {
        unsentBytes -= bytes;
        acceptedBytes += bytes;
        if (!received && !discarded) {
            updateReading();
        }
    }

    private void updateReading() {
        reading = discarded || received || hasRoom();
        readLate |= !reading;
        readControl.accept(reading);
    }

    /**
     * Returns the number of bytes of the last buffered part that must wait for the end of the body. If a part of the body lay
     * unread in the client's socket at some time, the client may have left meanwhile, which shows only right behind the last part; that part
     * therefore waits until the body is known to be complete, so that a server does not receive a whole request that its client
     * has abandoned.
     */
    private int withheldBytes() {
        return readLate && !fullyReceived && !buffered.isEmpty() ? buffered.peekLast().readableBytes() : 0;
    }

    /** Notes that a part of the body lies unread in the client's socket. */
    void noteUnreadInput() {
        readLate = true;
    }

    /** Returns whether a part of the body lay unread in the client's socket at some time. */
    boolean wasReadLate() {
        return readLate;
    }

    /** Discards what is buffered and all that is still to come, which is still read from the client. */
    void discard() {
        discarded = true;
        sink = null;
        buffered.forEach(ByteBuf::release);
        buffered.clear();
        bufferedBytes = 0;
        readControl.accept(true);
    }
}
