package cinderhollow.http1;

import io.netty.buffer.ByteBuf;

/** Where a large answer goes as it comes: the client's side, told by the host's. Of one event loop. */
public interface Passage {
    /** The host's side of it. */
    interface Source {
        /** Whether to read on from the host: not while the client's side is full. */
        void reading(boolean on);

        /** The client has gone: nothing more is wanted. */
        void cancel();
    }

    /** A part, which is the callee's to release. */
    void part(ByteBuf bytes);

    /** That was the whole answer. */
    void end();

    /** The host broke off, or fell silent: the answer will never be whole, and the client must see that. */
    void broken();
}
