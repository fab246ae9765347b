package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A journal that one process has let go of and another has taken up. */
class JournalHandoverTest {
    private static final long BYTES = 40_000;

    @TempDir
    private Path folder;

    private static AcceptedMessage held(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "plain", "acme", Optional.empty(), Optional.empty(), 7,
                journal.clock().nowMs() + 10_000, "hello".getBytes(StandardCharsets.ISO_8859_1));
    }

    private List<String> inFile() throws Exception {
        try (Journal read = new Journal(folder, BYTES, 12)) {
            return read.held().stream().map(held -> held.id).toList();
        }
    }

    /** The old process still hears of the list until it knows that the new one owns. */
    @Test
    void whatTheNewProcessTakesOnOutlivesWhatTheOldOneStillRecords() throws Exception {
        try (Journal old = new Journal(folder, BYTES, 12)) {
            // Close to where it is compacted.
            for (int i = 0; old.size() < BYTES - 3 * 512 - 600; i++) {
                old.withdrawn("s-1", i % 2 == 0);
            }
            old.pause();
            try (Journal next = new Journal(folder, BYTES, 12)) {
                next.accepted(held(next, "taken"));
                for (int i = 0; i < 20; i++) {
                    old.withdrawn("s-1", i % 2 == 0);
                }
                next.accepted(held(next, "later"));
            }
        }
        assertEquals(List.of("taken", "later"), inFile());
    }

    /** What the disk did not take while it was let go of is known to the old process alone. */
    @Test
    void whatIsNotInTheFileWhenItIsLetGoOfIsInItOnceTheNewProcessReadsIt() throws Exception {
        FailingDisk disk = new FailingDisk();
        try (Journal old = new Journal(folder, BYTES, 12, disk, TimeSource.SYSTEM)) {
            AcceptedMessage held = held(old, "ended");
            old.accepted(held);
            disk.writableBytes = 0;
            old.ended(held);
            disk.repair();
            old.pause();
        }
        assertEquals(List.of(), inFile());
    }
}
