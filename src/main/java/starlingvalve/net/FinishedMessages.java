package starlingvalve.net;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The messages that have ended and may still be handed in again, by id. Where there are too many, those that expire
 * first give way.
 */
final class FinishedMessages {
    /** Bounds the memory: some 4 MB with usual ids. */
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

    /** Keeps as many as their records in the journal take up so many bytes. */
    FinishedMessages(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Keeps a message, whose record takes up so many bytes. */
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

    Optional<FinishedMessage> find(String id, long nowMs) {
        return Optional.ofNullable(byId.get(id)).map(Entry::message).filter(message -> !message.isExpired(nowMs));
    }

    /** All that can still come again. */
    List<FinishedMessage> unexpired(long nowMs) {
        removeExpired(nowMs);
        return byExpiry.stream().map(Entry::message).toList();
    }

    /** Bytes of the records of all that are kept. */
    long bytes() {
        return bytes;
    }

    /** Forgets what can't come again. */
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
