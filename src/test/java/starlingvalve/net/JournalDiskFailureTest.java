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

/** What the journal holds after its disk has refused writes for a while, or has taken part of one. */
class JournalDiskFailureTest {
    private static final long DISK_BYTES = 200_000;
    private static final long DEADLINE = System.currentTimeMillis() + 3_600_000;

    @TempDir
    private Path folder;
    private final FailingDisk disk = new FailingDisk();

    private Journal open() throws IOException {
        return new Journal(folder, DISK_BYTES, 12, disk, TimeSource.SYSTEM);
    }

    private static AcceptedMessage take(Journal journal, int body) throws IOException {
        long number = journal.nextNumber();
        AcceptedMessage held = new AcceptedMessage(number, "id-" + number, "order", "desk", Optional.of("key"),
                Optional.empty(), 7, DEADLINE, new byte[body]);
        journal.accepted(held);
        return held;
    }

    private static List<String> ids(Journal journal) {
        return journal.held().stream().map(held -> held.id).toList();
    }

    @Test
    void endsThatTheDiskDidNotTakeAreWrittenOnceItDoes() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage delivered = take(journal, 10);
            AcceptedMessage handedBack = take(journal, 10);
            disk.writableBytes = 0;
            journal.ended(delivered, FinishedMessage.Result.DELIVERED);
            journal.owed(handedBack, new AcceptedMessage.Notice(true, 500));
            assertFalse(journal.writeDeferred(), "the disk still fails");
            disk.repair();
            assertTrue(journal.writeDeferred());
        }
        try (Journal journal = open()) {
            assertEquals(List.of("id-1"), ids(journal));
            assertTrue(journal.held().iterator().next().over, "its notice is owed, and nothing else");
            assertEquals(FinishedMessage.Result.DELIVERED, journal.finished("id-0").orElseThrow().result());
            assertEquals(FinishedMessage.Result.REFUSED, journal.finished("id-1").orElseThrow().result());
        }
    }

    @Test
    void nothingIsWrittenBeforeWhatHappenedEarlier() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage held = take(journal, 10);
            held.attempts.add(new AcceptedMessage.Attempt("s-0", 1));
            disk.writableBytes = 0;
            journal.neverRan(held, 0);
            assertThrows(IOException.class, () -> take(journal, 10), "it can't be recorded, so it is refused");
            held.attempts.add(new AcceptedMessage.Attempt("s-1", 2));
            assertThrows(IOException.class, () -> journal.begins(held, 1), "nor may it be sent");
            disk.repair();
            journal.begins(held, 1);
        }
        try (Journal journal = open()) {
            AcceptedMessage held = journal.held().iterator().next();
            assertEquals(List.of("s-0", "s-1"), held.attempts.stream().map(a -> a.endpoint).toList());
            assertEquals(List.of(true, false), held.attempts.stream().map(a -> a.neverRan).toList());
        }
    }

    /** It stood before what was taken next, which a restart then could not read. */
    @Test
    void aTornRecordThatCantBeCutOffHidesNothingThatIsTakenLater() throws Exception {
        try (Journal journal = open()) {
            take(journal, 10);
            disk.writableBytes = 40;
            disk.truncateSucceeds = false;
            assertThrows(IOException.class, () -> take(journal, 100));
            disk.writableBytes = Long.MAX_VALUE;
            assertThrows(IOException.class, () -> take(journal, 10), "the torn bytes are still there");
            disk.repair();
            take(journal, 10);
        }
        try (Journal journal = open()) {
            assertEquals(List.of("id-0", "id-3"), ids(journal));
        }
    }

    @Test
    void aCompactedCopyHoldsWhatWaitedToBeWritten() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage held = take(journal, 10);
            held.attempts.add(new AcceptedMessage.Attempt("s-0", 1));
            disk.writableBytes = 0;
            journal.neverRan(held, 0);
            disk.repair();
            long before = journal.size();
            for (long size = 0; journal.size() >= size;) {
                size = journal.size();
                journal.ended(take(journal, 4000));
            }
            assertTrue(journal.size() > before);
        }
        try (Journal journal = open()) {
            assertEquals(1, journal.held().iterator().next().attempts.size(), "each attempt stands once");
        }
    }

    /** A copy that can't be written leaves the file as it was. */
    @Test
    void aCompactionThatFailsLosesNothing() throws Exception {
        List<String> accepted = new ArrayList<>();
        try (Journal journal = open()) {
            for (int i = 0; i < 400; i++) {
                disk.writableBytes = i % 3 == 0 ? 1000 : Long.MAX_VALUE;
                try {
                    AcceptedMessage held = take(journal, 2000);
                    accepted.add(held.id);
                    if (accepted.size() > 10) {
                        journal.ended(held);
                        accepted.remove(held.id);
                    }
                } catch (IOException full) {
                    // It is refused.
                }
                assertTrue(folderBytes() <= DISK_BYTES, "the folder stays under its bound");
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

    /** Whatever fails and whenever: once the disk is well and caught up, a restart finds what there was. */
    @Test
    void randomFailuresLoseNothingOnceTheDiskIsWell() throws Exception {
        for (int seed = 0; seed < 30; seed++) {
            Random random = new Random(seed);
            List<AcceptedMessage> live = new ArrayList<>();
            try (Journal journal = open()) {
                for (AcceptedMessage held : journal.held()) {
                    journal.ended(held);
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
                assertEquals(describe(live), describe(List.copyOf(journal.held())), "seed " + seed);
            }
        }
    }

    private static void step(Journal journal, List<AcceptedMessage> live, Random random) {
        AcceptedMessage some = live.isEmpty() ? null : live.get(random.nextInt(live.size()));
        try {
            if (some == null || random.nextInt(3) == 0) {
                live.add(take(journal, random.nextInt(2000)));
            } else if (random.nextInt(3) == 0) {
                journal.ended(some);
                live.remove(some);
            } else {
                some.attempts.add(new AcceptedMessage.Attempt("s-" + some.attempts.size(), some.attempts.size()));
                journal.begins(some, some.attempts.size() - 1);
                if (random.nextBoolean()) {
                    journal.neverRan(some, some.attempts.size() - 1);
                }
            }
        } catch (IOException refused) {
            // It did not happen.
        }
    }

    /** Ids and recorded attempts, in order. */
    private static List<String> describe(List<AcceptedMessage> held) {
        return held.stream().map(h -> h.id + h.attempts.subList(0, h.recorded).stream()
                .map(a -> a.endpoint + (a.neverRan ? "-" : "+")).toList()).toList();
    }
}
