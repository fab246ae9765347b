package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the journal holds after writes to its disk have failed for a while, or one has been partial. */
class JournalDiskFailureTest {
    private static final long DISK_BYTES = 200_000;
    private static final long DEADLINE_MS = System.currentTimeMillis() + 3_600_000;

    @TempDir
    private Path folder;
    private final FailingDisk disk = new FailingDisk();

    private Journal open() throws IOException {
        return new Journal(folder, DISK_BYTES, 12, disk, TimeSource.SYSTEM);
    }

    private static AcceptedMessage accept(Journal journal, int bodyBytes) throws IOException {
        long number = journal.nextNumber();
        AcceptedMessage message = new AcceptedMessage(number, "id-" + number, "order", "desk", Optional.of("key"),
                Optional.empty(), 7, DEADLINE_MS, new byte[bodyBytes]);
        journal.accepted(message);
        return message;
    }

    private static List<String> ids(Journal journal) {
        return journal.liveMessages().stream().map(message -> message.id).toList();
    }

    @Test
    void deferredEndsAreWrittenOnceTheDiskWorksAgain() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage delivered = accept(journal, 10);
            AcceptedMessage returned = accept(journal, 10);
            disk.writableBytes = 0;
            journal.ended(delivered, FinishedMessage.Result.DELIVERED);
            journal.noticePending(returned, new AcceptedMessage.Notice(true, 500));
            assertFalse(journal.writeDeferred(), "the disk still fails");
            disk.repair();
            assertTrue(journal.writeDeferred());
        }
        try (Journal journal = open()) {
            assertEquals(List.of("id-1"), ids(journal));
            assertTrue(journal.liveMessages().iterator().next().ended, "only its notice is still due");
            assertEquals(FinishedMessage.Result.DELIVERED, journal.finished("id-0").orElseThrow().result());
            assertEquals(FinishedMessage.Result.REFUSED, journal.finished("id-1").orElseThrow().result());
        }
    }

    @Test
    void deferredRecordsAreWrittenBeforeNewOnes() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage message = accept(journal, 10);
            message.attempts.add(new AcceptedMessage.Attempt("s-0", 1));
            disk.writableBytes = 0;
            journal.neverRan(message, 0);
            assertThrows(IOException.class, () -> accept(journal, 10), "a message that can't be recorded is rejected");
            message.attempts.add(new AcceptedMessage.Attempt("s-1", 2));
            assertThrows(IOException.class, () -> journal.attemptStarting(message, 1),
                    "an attempt that can't be recorded is not made");
            disk.repair();
            journal.attemptStarting(message, 1);
        }
        try (Journal journal = open()) {
            AcceptedMessage message = journal.liveMessages().iterator().next();
            assertEquals(List.of("s-0", "s-1"), message.attempts.stream().map(attempt -> attempt.endpoint).toList());
            assertEquals(List.of(true, false), message.attempts.stream().map(attempt -> attempt.neverRan).toList());
        }
    }

    /** Guards against appending behind a torn record, since a restart can't read the records after it. */
    @Test
    void tornRecordThatCannotBeCutOffDoesNotHideLaterMessages() throws Exception {
        try (Journal journal = open()) {
            accept(journal, 10);
            disk.writableBytes = 40;
            disk.truncateSucceeds = false;
            assertThrows(IOException.class, () -> accept(journal, 100));
            disk.writableBytes = Long.MAX_VALUE;
            assertThrows(IOException.class, () -> accept(journal, 10), "the torn bytes are still there");
            disk.repair();
            accept(journal, 10);
        }
        try (Journal journal = open()) {
            assertEquals(List.of("id-0", "id-3"), ids(journal));
        }
    }

    @Test
    void compactedCopyContainsDeferredRecords() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage message = accept(journal, 10);
            message.attempts.add(new AcceptedMessage.Attempt("s-0", 1));
            disk.writableBytes = 0;
            journal.neverRan(message, 0);
            disk.repair();
            long before = journal.size();
            for (long size = 0; journal.size() >= size;) {
                size = journal.size();
                journal.ended(accept(journal, 4000));
            }
            assertTrue(journal.size() > before);
        }
        try (Journal journal = open()) {
            assertEquals(1, journal.liveMessages().iterator().next().attempts.size(), "each attempt is recorded once");
        }
    }

    /** If the compacted copy can't be written, the file stays as it was. */
    @Test
    void failedCompactionLosesNothing() throws Exception {
        List<String> accepted = new ArrayList<>();
        try (Journal journal = open()) {
            for (int i = 0; i < 400; i++) {
                disk.writableBytes = i % 3 == 0 ? 1000 : Long.MAX_VALUE;
                try {
                    AcceptedMessage message = accept(journal, 2000);
                    accepted.add(message.id);
                    if (accepted.size() > 10) {
                        journal.ended(message);
                        accepted.remove(message.id);
                    }
                } catch (IOException full) {
                    // The message is rejected.
                }
                assertTrue(folderBytes() <= DISK_BYTES, "the files stay within their limit");
            }
            disk.repair();
            assertTrue(journal.writeDeferred());
        }
        try (Journal journal = open()) {
            assertEquals(accepted, ids(journal));
        }
    }

    private long folderBytes() throws IOException {
        long bytes = 0;
        for (String name : List.of("journal", "journal.next")) {
            Path file = folder.resolve(name);
            bytes += Files.exists(file) ? Files.size(file) : 0;
        }
        return bytes;
    }

    /** After random failures, once the disk works and all records are written, a restart finds the same state. */
    @Test
    void randomFailuresLoseNothingOnceTheDiskWorksAgain() throws Exception {
        for (int seed = 0; seed < 30; seed++) {
            Random random = new Random(seed);
            List<AcceptedMessage> live = new ArrayList<>();
            try (Journal journal = open()) {
                for (AcceptedMessage message : journal.liveMessages()) {
                    journal.ended(message);
                }
                for (int step = 0; step < 300; step++) {
                    disk.writableBytes = random.nextInt(4) == 0 ? random.nextInt(3000) : Long.MAX_VALUE;
                    disk.truncateSucceeds = random.nextInt(3) > 0;
                    step(journal, live, random);
                }
                disk.repair();
                assertTrue(journal.writeDeferred());
            }
            try (Journal journal = open()) {
                assertEquals(describe(live), describe(List.copyOf(journal.liveMessages())), "seed " + seed);
            }
        }
    }

    private static void step(Journal journal, List<AcceptedMessage> live, Random random) {
        AcceptedMessage message = live.isEmpty() ? null : live.get(random.nextInt(live.size()));
        try {
            if (message == null || random.nextInt(3) == 0) {
                live.add(accept(journal, random.nextInt(2000)));
            } else if (random.nextInt(3) == 0) {
                journal.ended(message);
                live.remove(message);
            } else {
                message.attempts.add(
                        new AcceptedMessage.Attempt("s-" + message.attempts.size(), message.attempts.size()));
                journal.attemptStarting(message, message.attempts.size() - 1);
                if (random.nextBoolean()) {
                    journal.neverRan(message, message.attempts.size() - 1);
                }
            }
        } catch (IOException notWritten) {
            // What could not be recorded counts as not having happened, and is not expected after the restart.
        }
    }

    /** Returns the ids and the recorded attempts of messages, in order. */
    private static List<String> describe(List<AcceptedMessage> messages) {
        return messages.stream().map(message -> message.id
                + message.attempts.subList(0, message.journalledAttempts).stream()
                .map(attempt -> attempt.endpoint + (attempt.neverRan ? "-" : "+")).toList()).toList();
    }
}
