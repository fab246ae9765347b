package starlingvalve.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the bytes that several connections together hold of messages, requests or answers, that are not complete. When
 * the limit is exceeded, the message that has been incomplete for longest is given up: a proper peer completes its
 * message soon after it began, while one that stops in the middle would hold its bytes until its time limit.
 */
final class InputMemory {
    /**
     * Shares of the heap, as divisors of its size. A message takes up to twice its bytes while it grows, so that all
     * incomplete messages take at most seven tenths of the heap.
     */
    static final int REQUESTS_HEAP_DIVISOR = 8;
    static final int LISTS_HEAP_DIVISOR = 6;
    static final int ENDPOINT_ANSWERS_HEAP_DIVISOR = 16;

    /** A message that is not complete. */
    interface Holder {
        /** Whether it can be given up now. */
        boolean canBeGivenUp();

        /** Gives the message up, and frees its bytes. */
        void giveUp();
    }

    private final long maxBytes;
    /** Bytes by message; the one that began first comes first. */
    private final Map<Holder, Long> bytesByHolder = new LinkedHashMap<>();
    private long totalBytes;

    InputMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** A limit to a share of the heap of this process. */
    static InputMemory ofHeap(int divisor) {
        return new InputMemory(Runtime.getRuntime().maxMemory() / divisor);
    }

    /** Sets how many bytes a message takes, and gives messages up until all together are within the limit. */
    void update(Holder holder, long bytes) {
        if (bytes == 0) {
            release(holder);
            return;
        }
        Long previous = bytesByHolder.put(holder, bytes);
        totalBytes += bytes - (previous == null ? 0 : previous);
        while (totalBytes > maxBytes) {
            Optional<Holder> oldest = bytesByHolder.keySet().stream().filter(Holder::canBeGivenUp).findFirst();
            if (oldest.isEmpty()) {
                return;
            }
            release(oldest.get());
            oldest.get().giveUp();
        }
    }

    /** Called when the message is complete or no longer kept. */
    void release(Holder holder) {
        Long bytes = bytesByHolder.remove(holder);
        totalBytes -= bytes == null ? 0 : bytes;
    }

    /** Bytes of all messages together. */
    long totalBytes() {
        return totalBytes;
    }
}
