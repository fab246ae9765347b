package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class JournalTest {
    private static final long DISK = 200_000;

    @TempDir
    private Path folder;

    private Journal open() throws IOException {
        return new Journal(folder, DISK, 12);
    }

    private static AcceptedMessage held(Journal journal, int body) {
        long number = journal.nextNumber();
        return new AcceptedMessage(number, "id-" + number, "order", "desk", Optional.of("key"),
                Optional.of("thread"), 7, 12_345, new byte[body]);
    }

    /** An attempt is made, with no connection to wait for. */
    static void attempt(Journal journal, AcceptedMessage held, AcceptedMessage.Attempt attempt) throws IOException {
        held.attempts.add(attempt);
        journal.begins(held, held.attempts.size() - 1);
    }

    @Test
    void endpointsThatTakeNoNewWorkAreKnownToTheNextLife() throws Exception {
        try (Journal journal = open()) {
            journal.withdrawn("s-1", true);
            journal.withdrawn("s-2", true);
            journal.withdrawn("s-1", false);
            journal.withdrawn("s-3", false);
        }
        try (Journal journal = open()) {
            assertEquals(List.of("s-2"), List.copyOf(journal.withdrawn()));
        }
    }

    /** A list that changes for ever leaves a bounded record, over compactions too, with what was told last. */
    @Test
    void endpointsThatTakeNoNewWorkTakeUpABoundedShare() throws Exception {
        try (Journal journal = open()) {
            for (int i = 0; i < 20_000; i++) {
                journal.withdrawn("s-" + i, true);
                assertTrue(journal.size() <= DISK);
            }
            journal.accepted(held(journal, 3));
        }
        try (Journal journal = open()) {
            List<String> known = List.copyOf(journal.withdrawn());
            assertEquals("s-19999", known.get(known.size() - 1));
            assertTrue(known.size() > 50 && known.size() < 1000, "endpoints: " + known.size());
            assertEquals(1, journal.held().size());
        }
    }

    @Test
    void whatWasHeldComesBackWithAllThatHappenedToIt() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage a = held(journal, 3);
            AcceptedMessage b = held(journal, 3);
            AcceptedMessage c = held(journal, 3);
            for (AcceptedMessage h : List.of(a, b, c)) {
                journal.accepted(h);
            }
            attempt(journal, a, new AcceptedMessage.Attempt("s-1", 100));
            attempt(journal, a, new AcceptedMessage.Attempt("s-2", 200));
            journal.neverRan(a, 0);
            journal.owed(b, new AcceptedMessage.Notice(true, 500));
            journal.ended(c);
        }
        try (Journal journal = open()) {
            List<AcceptedMessage> held = List.copyOf(journal.held());
            assertEquals(2, held.size());
            AcceptedMessage a = held.get(0);
            assertEquals("id-0", a.id);
            assertEquals(Optional.of("key"), a.key);
            assertEquals(Optional.of("thread"), a.thread);
            assertEquals(12_345, a.deadlineMs);
            assertArrayEquals(new byte[3], a.body);
            assertEquals(List.of("s-1", "s-2"), a.attempts.stream().map(x -> x.endpoint).toList());
            assertEquals(List.of(true, false), a.attempts.stream().map(x -> x.neverRan).toList());
            assertEquals(200, a.attempts.get(1).sentAtMs);
            assertEquals(Optional.of(new AcceptedMessage.Notice(true, 500)), held.get(1).owed);
            assertEquals(3, journal.nextNumber(), "numbers are not used again");
        }
    }

    /** One that has not begun was marked by its number, which a later one had in the file. */
    @Test
    void anAttemptThatHasNotBegunKeepsItsPlaceAndHasNotRun() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage held = held(journal, 3);
            journal.accepted(held);
            held.attempts.add(new AcceptedMessage.Attempt("s-0", 100));
            attempt(journal, held, new AcceptedMessage.Attempt("s-1", 200));
            journal.neverRan(held, 0);
            attempt(journal, held, new AcceptedMessage.Attempt("s-2", 300));
            journal.neverRan(held, 2);
            held.attempts.add(new AcceptedMessage.Attempt("s-3", 400));
            attempt(journal, held, new AcceptedMessage.Attempt("s-4", 500));
            journal.begins(held, 3);
            journal.neverRan(held, 4);
            held.attempts.add(new AcceptedMessage.Attempt("s-5", 600));
            journal.neverRan(held, 5);
            held.attempts.add(new AcceptedMessage.Attempt("s-6", 700));
        }
        for (int life = 0; life < 2; life++) {
            try (Journal journal = open()) {
                AcceptedMessage held = journal.held().iterator().next();
                assertEquals(List.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5"),
                        held.attempts.stream().map(a -> a.endpoint).toList());
                assertEquals(List.of(true, false, true, false, true, true),
                        held.attempts.stream().map(a -> a.neverRan).toList(),
                        "what may have run must not be taken for what never did");
                // Over the bound of the file, so that it is compacted meanwhile.
                for (int i = 0; i < 60; i++) {
                    AcceptedMessage other = held(journal, 4000);
                    journal.accepted(other);
                    journal.ended(other);
                }
            }
        }
    }

    @Test
    void aWholeRecordThatMeansNothingHereHidesNoneBehindIt() throws Exception {
        Path file = folder.resolve("journal");
        try (Journal journal = open()) {
            journal.accepted(held(journal, 3));
        }
        byte[] first = Files.readAllBytes(file);
        try (Journal journal = open()) {
            journal.accepted(held(journal, 3));
        }
        byte[] both = Files.readAllBytes(file);
        for (byte[] body : List.of(new byte[] {99, 0, 0, 0, 0, 0, 0, 0, 0}, new byte[] {99},
                new byte[] {3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 42})) {
            CRC32 crc = new CRC32();
            crc.update(body);
            byte[] foreign = ByteBuffer.allocate(12 + body.length).putInt(body.length).putLong(crc.getValue())
                    .put(body).array();
            ByteBuffer mixed = ByteBuffer.allocate(both.length + foreign.length).put(first).put(foreign)
                    .put(both, first.length, both.length - first.length);
            Files.write(file, mixed.array());
            try (Journal journal = open()) {
                assertEquals(2, journal.held().size());
            }
        }
    }

    @Test
    void aTornTailIsDroppedAndWrittenOver() throws Exception {
        long first;
        try (Journal journal = open()) {
            journal.accepted(held(journal, 10));
            first = journal.size();
            journal.accepted(held(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        for (int cut = whole.length - 1; cut > first; cut -= 7) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(1, journal.held().size());
                journal.accepted(held(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.held().size(), "what follows a torn tail must be found again");
            }
        }
        Files.write(file, whole);
        Files.write(file, new byte[700], StandardOpenOption.APPEND);
        try (Journal journal = open()) {
            assertEquals(2, journal.held().size());
        }
    }

    @Test
    void aChangedByteEndsTheReplay() throws Exception {
        try (Journal journal = open()) {
            journal.accepted(held(journal, 10));
            journal.accepted(held(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 2] ^= 1;
        Files.write(file, bytes);
        try (Journal journal = open()) {
            assertEquals(1, journal.held().size());
        }
    }

    @Test
    void theFolderStaysUnderItsBoundAtEveryMomentAndLosesNothing() throws Exception {
        Random random = new Random(5);
        Deque<AcceptedMessage> live = new ArrayDeque<>();
        int refused = 0;
        int compactions = 0;
        try (Journal journal = open()) {
            for (int i = 0; i < 4000; i++) {
                long before = journal.size();
                AcceptedMessage h = held(journal, random.nextInt(4000));
                try {
                    journal.accepted(h);
                    live.add(h);
                    attempt(journal, h, new AcceptedMessage.Attempt("s-" + i, i));
                    journal.neverRan(h, 0);
                } catch (IOException full) {
                    refused++;
                }
                if (random.nextInt(100) < 48 || live.size() > 60) {
                    AcceptedMessage over = live.remove();
                    journal.owed(over, new AcceptedMessage.Notice(false, 0));
                    journal.ended(over);
                }
                compactions += journal.size() < before ? 1 : 0;
                // A compaction begun now would stand beside the file with all that is live.
                long liveBytes = live.stream().mapToLong(x -> x.bytes).sum();
                assertTrue(journal.size() + liveBytes + 1024 <= DISK, "at step " + i);
            }
        }
        assertTrue(refused > 0, "live bytes that leave no room refuse new messages");
        assertTrue(compactions > 10);
        try (Journal journal = open()) {
            assertEquals(live.stream().map(h -> h.id).toList(), journal.held().stream().map(h -> h.id).toList());
        }
    }

    @Test
    void thereIsRoomForEveryLaterRecordOfWhatWasTaken() throws Exception {
        try (Journal journal = open()) {
            Deque<AcceptedMessage> accepted = new ArrayDeque<>();
            assertThrows(IOException.class, () -> {
                while (true) {
                    AcceptedMessage h = held(journal, 500);
                    journal.accepted(h);
                    accepted.add(h);
                }
            });
            for (AcceptedMessage h : accepted) {
                for (int i = 0; i < 12; i++) {
                    attempt(journal, h, new AcceptedMessage.Attempt("s-5be2a07c5be2a07c", i));
                    journal.neverRan(h, i);
                }
                journal.owed(h, new AcceptedMessage.Notice(true, 1));
            }
            for (AcceptedMessage h : accepted) {
                journal.ended(h);
            }
            journal.accepted(held(journal, 500));
        }
    }

    @Test
    void anUnfinishedCompactionIsRemoved() throws Exception {
        Files.write(folder.resolve("journal.next"), new byte[5000]);
        try (Journal journal = open()) {
            assertTrue(Files.notExists(folder.resolve("journal.next")));
            assertEquals(0, journal.size());
        }
    }

    // ---- messages that have ended ----

    private static AcceptedMessage accepted(Journal journal, String id, long deadlineMs) throws IOException {
        AcceptedMessage held =
                new AcceptedMessage(journal.nextNumber(), id, "order", "desk", Optional.of("key"), Optional.empty(), 7,
                        deadlineMs, new byte[10]);
        journal.accepted(held);
        return held;
    }

    private static Optional<FinishedMessage.Result> result(Journal journal, String id) {
        return journal.finished(id).map(FinishedMessage::result);
    }

    @Test
    void howAMessageEndedOutlastsTheProcessAndCompaction() throws Exception {
        long deadline = System.currentTimeMillis() + 60_000;
        try (Journal journal = open()) {
            journal.ended(accepted(journal, "delivered", deadline), FinishedMessage.Result.DELIVERED);
            AcceptedMessage heard = accepted(journal, "heard", deadline);
            journal.owed(heard, new AcceptedMessage.Notice(true, 700));
            journal.ended(heard);
            journal.owed(accepted(journal, "unheard", deadline), new AcceptedMessage.Notice(false, 0));
            journal.ended(accepted(journal, "nobody's", deadline));
        }
        for (int life = 0; life < 3; life++) {
            try (Journal journal = open()) {
                assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, "delivered"));
                assertEquals(Optional.of(FinishedMessage.Result.REFUSED), result(journal, "heard"));
                assertEquals(700, journal.finished("heard").orElseThrow().waitMs());
                assertEquals(Optional.of(FinishedMessage.Result.FAILED), result(journal, "unheard"));
                assertEquals(Optional.empty(), result(journal, "nobody's"));
                assertEquals(1, journal.held().size());
                long before = journal.size();
                for (int i = 0; journal.size() >= before; i++) {
                    before = journal.size();
                    journal.ended(accepted(journal, "filler-" + i, 0), FinishedMessage.Result.DELIVERED);
                }
            }
        }
    }

    /** The notice alone would have told a later life that the message was given up. */
    @Test
    void aDeliveryThatANoticeConfirmsStaysOneOverRestartsAndCompaction() throws Exception {
        long deadline = System.currentTimeMillis() + 60_000;
        try (Journal journal = open()) {
            journal.confirming(accepted(journal, "heard", deadline));
            journal.confirming(accepted(journal, "unheard", deadline));
            journal.ended(journal.held().iterator().next());
        }
        for (int life = 0; life < 3; life++) {
            try (Journal journal = open()) {
                for (String id : List.of("heard", "unheard")) {
                    assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, id));
                }
                assertEquals(List.of("unheard"), journal.held().stream().map(held -> held.id).toList());
                assertEquals(AcceptedMessage.Notice.CONFIRMATION, journal.held().iterator().next().owed.orElseThrow());
                for (long before = 0; journal.size() >= before;) {
                    before = journal.size();
                    journal.ended(accepted(journal, "filler-" + before, 0), FinishedMessage.Result.DELIVERED);
                }
            }
        }
    }

    @Test
    void endedMessagesAreForgottenOnceTheirIdsCantComeAgain() throws Exception {
        long now = System.currentTimeMillis();
        try (Journal journal = open()) {
            journal.ended(accepted(journal, "late", now - FinishedMessage.REPEAT_GRACE_MS),
                    FinishedMessage.Result.FAILED);
            assertEquals(Optional.empty(), result(journal, "late"));
        }
    }

    @Test
    void endedMessagesTakeUpABoundedShareAndTheOldestGiveWay() throws Exception {
        long deadline = System.currentTimeMillis() + 60_000;
        try (Journal journal = open()) {
            for (int i = 0; i < 5000; i++) {
                journal.ended(accepted(journal, "id-" + i, deadline), FinishedMessage.Result.DELIVERED);
                assertTrue(Files.size(folder.resolve("journal")) <= DISK);
            }
            assertEquals(Optional.empty(), result(journal, "id-0"));
            assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, "id-4999"));
            assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, "id-4800"));
        }
    }

    @Test
    void endedMessagesCostTheSameHoweverManyThereAre() {
        FinishedMessages messages = new FinishedMessages(Long.MAX_VALUE);
        for (int i = 0; i < 100_000; i++) {
            messages.add(new FinishedMessage("id-" + i, FinishedMessage.Result.DELIVERED, 0, Long.MAX_VALUE), 50, 0);
        }
        assertTrue(messages.bytes() <= 50 * 16_384, "the heap is bounded as well as the disk");
        assertEquals(Optional.empty(), messages.find("id-0", 0));
        assertTrue(messages.find("id-99999", 0).isPresent());
    }
}
