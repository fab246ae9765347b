package starlingvalve.net;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Endpoints of which discovery has told that they take no new work: they drain, or are gone. Those that were told
 * first make room for others, within a bound on the bytes that their records take up.
 */
final class WithdrawnEndpoints {
    private final long mostBytes;
    private final Set<String> ids = new LinkedHashSet<>();
    private long bytes;

    WithdrawnEndpoints(long mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** An endpoint takes no new work, or does again; whether that is news. */
    boolean set(String id, boolean withdrawn) {
        boolean changed = withdrawn ? ids.add(id) : ids.remove(id);
        if (changed) {
            bytes += (withdrawn ? 1 : -1) * recordBytes(id);
            makeRoom();
        }
        return changed;
    }

    private void makeRoom() {
        Iterator<String> oldest = ids.iterator();
        while (bytes > mostBytes && oldest.hasNext()) {
            bytes -= recordBytes(oldest.next());
            oldest.remove();
        }
    }

    private static int recordBytes(String id) {
        return JournalRecord.withdrawn(id, true).length;
    }

    /** All of them, those told first first. */
    Set<String> ids() {
        return new LinkedHashSet<>(ids);
    }

    /** What their records take up. */
    long bytes() {
        return bytes;
    }
}
