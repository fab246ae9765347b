package starlingvalve.net;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The messages that have ended and may still be submitted again, by id. When a limit on their number or size is
 * exceeded, those that expire first are removed.
 */
final class FinishedMessages {
    /** Bounds the memory: about 4 MB with ids of the usual length. */
    private static final int MAX_MESSAGES = 16_384;

    private record Entry(FinishedMessage message, int bytes, long sequence) {
        long expiresAtMs() {
            return message.expiresAtMs();
        }
    }

    private final long maxBytes;
    private final Map<String, Entry> byId = new HashMap<>();
    private final TreeSet<Entry> byExpiry =
            new TreeSet<>(Comparator.comparingLong(Entry::expiresAtMs).thenComparingLong(Entry::sequence));
    private long bytes;
    private long sequence;

    /** {@code maxBytes} bounds the total size of the messages' records in the journal. */
    FinishedMessages(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds a message whose record in the journal has this size, and removes messages to stay within the limits. */
    void add(FinishedMessage message, int recordBytes, long nowMs) {
        Optional.ofNullable(byId.get(message.id())).ifPresent(this::remove);
        Entry entry = new Entry(message, recordBytes, sequence++);
        byId.put(message.id(), entry);
        byExpiry.add(entry);
        bytes += recordBytes;
        removeExpired(nowMs);
        while (bytes > maxBytes || byId.size() > MAX_MESSAGES) {
            remove(byExpiry.first());
        }
    }

    /** Finds the message with this id, unless it has expired. */
    Optional<FinishedMessage> find(String id, long nowMs) {
        return Optional.ofNullable(byId.get(id)).map(Entry::message).filter(message -> !message.isExpired(nowMs));
    }

    /** Returns all messages that may still be submitted again, in the order in which they expire. */
    List<FinishedMessage> unexpired(long nowMs) {
        removeExpired(nowMs);
        return byExpiry.stream().map(Entry::message).toList();
    }

    /** Total size of the records of all messages that are kept. */
    long bytes() {
        return bytes;
    }

    /** Removes the messages that can't be submitted again any more. */
    void removeExpired(long nowMs) {
        while (!byExpiry.isEmpty() && byExpiry.first().message.isExpired(nowMs)) {
            remove(byExpiry.first());
        }
    }

    private void remove(Entry entry) {
        byId.remove(entry.message.id());
        byExpiry.remove(entry);
        bytes -= entry.bytes;
    }
}
