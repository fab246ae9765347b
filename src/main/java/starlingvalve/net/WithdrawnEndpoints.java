package starlingvalve.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Endpoints that take no new work according to discovery, since they drain or are deleted. The size of their journal
 * records is bounded; the endpoints added first are removed to keep within the bound.
 */
final class WithdrawnEndpoints {
    private final long maxBytes;
    private final Set<String> ids = new LinkedHashSet<>();
    private long bytes;

    WithdrawnEndpoints(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds an endpoint that takes no new work, or removes one that takes work again.
     *
     * @return whether this changed the set
     */
    boolean set(String id, boolean withdrawn) {
        boolean changed = withdrawn ? ids.add(id) : ids.remove(id);
        if (changed) {
            bytes += (withdrawn ? 1 : -1) * recordBytes(id);
            removeOldest();
        }
        return changed;
    }

    private void removeOldest() {
        Iterator<String> oldest = ids.iterator();
        while (bytes > maxBytes && oldest.hasNext()) {
            bytes -= recordBytes(oldest.next());
            oldest.remove();
        }
    }

    private static int recordBytes(String id) {
        return JournalRecord.withdrawn(id, true).length;
    }

    /** The ids of all withdrawn endpoints, in the order in which they were added. */
    Set<String> ids() {
        return new LinkedHashSet<>(ids);
    }

    /** The total size of their journal records. */
    long bytes() {
        return bytes;
    }
}
