package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A journal that one process has paused and another has opened. */
class JournalHandoverTest {
    private static final long MAX_BYTES = 40_000;

    @TempDir
    private Path folder;

    private static AcceptedMessage newMessage(Journal journal, String id) {
        return new AcceptedMessage(journal.nextNumber(), id, "plain", "acme", Optional.empty(), Optional.empty(), 7,
                journal.clock().nowMs() + 10_000, "hello".getBytes(StandardCharsets.ISO_8859_1));
    }

    private List<String> idsInFile() throws Exception {
        try (Journal journal = new Journal(folder, MAX_BYTES, 12)) {
            return journal.liveMessages().stream().map(message -> message.id).toList();
        }
    }

    /** The predecessor still receives changes of the list until it knows that the successor owns the journal. */
    @Test
    void pausedPredecessorDoesNotOverwriteTheSuccessorsRecords() throws Exception {
        try (Journal predecessor = new Journal(folder, MAX_BYTES, 12)) {
            // Fills the file almost up to the size at which it is compacted.
            for (int i = 0; predecessor.size() < MAX_BYTES - 3 * 512 - 600; i++) {
                predecessor.withdrawn("s-1", i % 2 == 0);
            }
            predecessor.pause();
            try (Journal successor = new Journal(folder, MAX_BYTES, 12)) {
                successor.accepted(newMessage(successor, "taken"));
                for (int i = 0; i < 20; i++) {
                    predecessor.withdrawn("s-1", i % 2 == 0);
                }
                successor.accepted(newMessage(successor, "later"));
            }
        }
        assertEquals(List.of("taken", "later"), idsInFile());
    }

    /** Only the predecessor knows the records that could not be written before it paused the journal. */
    @Test
    void pauseWritesDeferredRecordsBeforeTheSuccessorReadsTheFile() throws Exception {
        FailingDisk disk = new FailingDisk();
        try (Journal predecessor = new Journal(folder, MAX_BYTES, 12, disk, TimeSource.SYSTEM)) {
            AcceptedMessage message = newMessage(predecessor, "ended");
            predecessor.accepted(message);
            disk.writableBytes = 0;
            predecessor.ended(message);
            disk.repair();
            predecessor.pause();
        }
        assertEquals(List.of(), idsInFile());
    }
}
