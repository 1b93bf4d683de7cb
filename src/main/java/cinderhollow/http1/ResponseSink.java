package cinderhollow.http1;

import io.netty.buffer.ByteBuf;

/** Receives a streamed response on the side of the client; called by the upstream side. Belongs to one event loop. */
public interface ResponseSink {
    /** Upstream side of the streamed response. */
    interface Source {
        /** Sets whether to read on from the server; reading stops while the client's side is full. */
        void setReading(boolean enabled);

        /** Cancels the response because the client has gone. */
        void cancel();
    }

    /** Receives body bytes, and releases them. */
    void onData(ByteBuf bytes);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the response can never be completed because the connection to the server broke or stalled. The client must be
     * able to tell.
     */
    void onAborted();
}
