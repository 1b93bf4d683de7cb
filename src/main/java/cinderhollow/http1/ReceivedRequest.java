package cinderhollow.http1;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A client's request, or what stands for one that was unreadable.
 *
 * @param request the request, with its whole body or without one
 * @param upload carries the body if it was not received whole; otherwise null
 * @param receivedAt when its last byte, or that of its upload's head, was received, in nanoseconds of the gateway's clock
 */
record ReceivedRequest(FullHttpRequest request, Upload upload, long receivedAt) {
    /** Returns what it costs in the heap, in bytes. A body is held outside the heap. */
    long heapBytes() {
        return request.headers() instanceof RequestHeaders headers ? headers.heldBytes() : ClientHeapBudget.REQUEST_BYTES;
    }

    /** Returns whether fields of its head were dropped, since its connection may not hold them. */
    boolean isTruncated() {
        return request.headers() instanceof RequestHeaders headers && headers.isTruncated();
    }

    /** Returns what it would have cost in the heap with the first field that was dropped, in bytes; 0 if there is none. */
    long refusedBytes() {
        return request.headers() instanceof RequestHeaders headers ? headers.refusedBytes() : 0;
    }

    /** Returns whether parts of the body may not have been read. */
    boolean isBodyUnread() {
        return upload != null && !upload.isFullyReceived();
    }

    /** Releases the request, which will not be handled. */
    void release() {
        request.release();
        if (upload != null) {
            upload.discard();
        }
    }
}
