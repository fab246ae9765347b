package starlingvalve.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the bytes that all connections together hold of requests that are not complete. When the limit is exceeded,
 * the request that has been incomplete for longest is refused: a proper client completes its request soon after it
 * began, while one that stops in the middle would hold its bytes until its time limit.
 */
final class RequestMemory {
    /**
     * The limit is the heap's size divided by this. A body takes up to twice its bytes while it grows, so that unfinished
     * requests never take more than a third of the heap.
     */
    private static final int HEAP_DIVISOR = 6;

    /** A connection that holds bytes of a request. */
    interface Holder {
        /** Whether its request can be refused: it is incomplete, and no earlier one waits for its answer. */
        boolean isRefusable();

        /** Refuses the request, and frees its bytes. */
        void refuseForMemory();
    }

    private final long maxBytes;
    /** Bytes by connection; the request that began first comes first. */
    private final Map<Holder, Long> bytesByHolder = new LinkedHashMap<>();
    private long totalBytes;

    RequestMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** A limit for the heap of this process. */
    static RequestMemory forHeap() {
        return new RequestMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Sets how many bytes a connection holds, and refuses requests until all together are within the limit. */
    void update(Holder holder, long bytes) {
        if (bytes == 0) {
            release(holder);
            return;
        }
        Long previous = bytesByHolder.put(holder, bytes);
        totalBytes += bytes - (previous == null ? 0 : previous);
        while (totalBytes > maxBytes) {
            Optional<Holder> oldest = bytesByHolder.keySet().stream().filter(Holder::isRefusable).findFirst();
            if (oldest.isEmpty()) {
                return;
            }
            release(oldest.get());
            oldest.get().refuseForMemory();
        }
    }

    /** Called when the connection's request is complete, refused or given up. */
    void release(Holder holder) {
        Long bytes = bytesByHolder.remove(holder);
        totalBytes -= bytes == null ? 0 : bytes;
    }

    /** Bytes that all connections together hold. */
    long totalBytes() {
        return totalBytes;
    }
}
