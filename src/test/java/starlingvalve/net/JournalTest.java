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
    private static final long MAX_BYTES = 200_000;

    @TempDir
    private Path folder;

    private Journal open() throws IOException {
        return new Journal(folder, MAX_BYTES, 12);
    }

    private static AcceptedMessage newMessage(Journal journal, int bodyBytes) {
        long number = journal.nextNumber();
        return new AcceptedMessage(number, "id-" + number, "order", "desk", Optional.of("key"),
                Optional.of("thread"), 7, 12_345, new byte[bodyBytes]);
    }

    /** Adds an attempt to a message and records that it starts at once. */
    static void attempt(Journal journal, AcceptedMessage message, AcceptedMessage.Attempt attempt) throws IOException {
        message.attempts.add(attempt);
        journal.attemptStarting(message, message.attempts.size() - 1);
    }

    @Test
    void withdrawnEndpointsAreKnownAfterRestart() throws Exception {
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

    /** However often the list changes, its records stay bounded, also over compactions, and hold the latest change. */
    @Test
    void recordsOfWithdrawnEndpointsAreBounded() throws Exception {
        try (Journal journal = open()) {
            for (int i = 0; i < 20_000; i++) {
                journal.withdrawn("s-" + i, true);
                assertTrue(journal.size() <= MAX_BYTES);
            }
            journal.accepted(newMessage(journal, 3));
        }
        try (Journal journal = open()) {
            List<String> known = List.copyOf(journal.withdrawn());
            assertEquals("s-19999", known.get(known.size() - 1));
            assertTrue(known.size() > 50 && known.size() < 1000, "endpoints: " + known.size());
            assertEquals(1, journal.liveMessages().size());
        }
    }

    @Test
    void openMessagesAreRestoredWithTheirAttemptsAndNotices() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage open = newMessage(journal, 3);
            AcceptedMessage withNotice = newMessage(journal, 3);
            AcceptedMessage ended = newMessage(journal, 3);
            for (AcceptedMessage message : List.of(open, withNotice, ended)) {
                journal.accepted(message);
            }
            attempt(journal, open, new AcceptedMessage.Attempt("s-1", 100));
            attempt(journal, open, new AcceptedMessage.Attempt("s-2", 200));
            journal.neverRan(open, 0);
            journal.noticePending(withNotice, new AcceptedMessage.Notice(true, 500));
            journal.ended(ended);
        }
        try (Journal journal = open()) {
            List<AcceptedMessage> messages = List.copyOf(journal.liveMessages());
            assertEquals(2, messages.size());
            AcceptedMessage open = messages.get(0);
            assertEquals("id-0", open.id);
            assertEquals(Optional.of("key"), open.idempotencyKey);
            assertEquals(Optional.of("thread"), open.orderingKey);
            assertEquals(12_345, open.deadlineMs);
            assertArrayEquals(new byte[3], open.body);
            assertEquals(List.of("s-1", "s-2"), open.attempts.stream().map(attempt -> attempt.endpoint).toList());
            assertEquals(List.of(true, false), open.attempts.stream().map(attempt -> attempt.neverRan).toList());
            assertEquals(200, open.attempts.get(1).sentAtMs);
            assertEquals(Optional.of(new AcceptedMessage.Notice(true, 500)), messages.get(1).pendingNotice);
            assertEquals(3, journal.nextNumber(), "numbers are not reused");
        }
    }

    /**
     * Records refer to an attempt by its index. An attempt that has not started and has no record must not shift the
     * indexes of later attempts.
     */
    @Test
    void unstartedAttemptsKeepTheirIndexAndCountAsNeverRan() throws Exception {
        try (Journal journal = open()) {
            AcceptedMessage message = newMessage(journal, 3);
            journal.accepted(message);
            message.attempts.add(new AcceptedMessage.Attempt("s-0", 100));
            attempt(journal, message, new AcceptedMessage.Attempt("s-1", 200));
            journal.neverRan(message, 0);
            attempt(journal, message, new AcceptedMessage.Attempt("s-2", 300));
            journal.neverRan(message, 2);
            message.attempts.add(new AcceptedMessage.Attempt("s-3", 400));
            attempt(journal, message, new AcceptedMessage.Attempt("s-4", 500));
            journal.attemptStarting(message, 3);
            journal.neverRan(message, 4);
            message.attempts.add(new AcceptedMessage.Attempt("s-5", 600));
            journal.neverRan(message, 5);
            message.attempts.add(new AcceptedMessage.Attempt("s-6", 700));
        }
        for (int restart = 0; restart < 2; restart++) {
            try (Journal journal = open()) {
                AcceptedMessage message = journal.liveMessages().iterator().next();
                assertEquals(List.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5"),
                        message.attempts.stream().map(attempt -> attempt.endpoint).toList());
                assertEquals(List.of(true, false, true, false, true, true),
                        message.attempts.stream().map(attempt -> attempt.neverRan).toList(),
                        "an attempt that may have run must not count as one that never ran");
                // Writes more than the file may hold, so that it is compacted in between.
                for (int i = 0; i < 60; i++) {
                    AcceptedMessage other = newMessage(journal, 4000);
                    journal.accepted(other);
                    journal.ended(other);
                }
            }
        }
    }

    @Test
    void completeButUnknownRecordDoesNotHideLaterRecords() throws Exception {
        Path file = folder.resolve("journal");
        try (Journal journal = open()) {
            journal.accepted(newMessage(journal, 3));
        }
        byte[] first = Files.readAllBytes(file);
        try (Journal journal = open()) {
            journal.accepted(newMessage(journal, 3));
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
                assertEquals(2, journal.liveMessages().size());
            }
        }
    }

    @Test
    void tornTailIsDroppedAndOverwritten() throws Exception {
        long first;
        try (Journal journal = open()) {
            journal.accepted(newMessage(journal, 10));
            first = journal.size();
            journal.accepted(newMessage(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] whole = Files.readAllBytes(file);
        for (int cut = whole.length - 1; cut > first; cut -= 7) {
            Files.write(file, java.util.Arrays.copyOf(whole, cut));
            try (Journal journal = open()) {
                assertEquals(1, journal.liveMessages().size());
                journal.accepted(newMessage(journal, 10));
            }
            try (Journal journal = open()) {
                assertEquals(2, journal.liveMessages().size(),
                        "a record appended after a torn tail must be read again");
            }
        }
        Files.write(file, whole);
        Files.write(file, new byte[700], StandardOpenOption.APPEND);
        try (Journal journal = open()) {
            assertEquals(2, journal.liveMessages().size());
        }
    }

    @Test
    void corruptedByteEndsReplay() throws Exception {
        try (Journal journal = open()) {
            journal.accepted(newMessage(journal, 10));
            journal.accepted(newMessage(journal, 10));
        }
        Path file = folder.resolve("journal");
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length - 2] ^= 1;
        Files.write(file, bytes);
        try (Journal journal = open()) {
            assertEquals(1, journal.liveMessages().size());
        }
    }

    @Test
    void filesNeverExceedTheLimitAndNoMessageIsLost() throws Exception {
        Random random = new Random(5);
        Deque<AcceptedMessage> live = new ArrayDeque<>();
        int rejected = 0;
        int compactions = 0;
        try (Journal journal = open()) {
            for (int i = 0; i < 4000; i++) {
                long before = journal.size();
                AcceptedMessage message = newMessage(journal, random.nextInt(4000));
                try {
                    journal.accepted(message);
                    live.add(message);
                    attempt(journal, message, new AcceptedMessage.Attempt("s-" + i, i));
                    journal.neverRan(message, 0);
                } catch (IOException full) {
                    rejected++;
                }
                if (random.nextInt(100) < 48 || live.size() > 60) {
                    AcceptedMessage ended = live.remove();
                    journal.noticePending(ended, new AcceptedMessage.Notice(false, 0));
                    journal.ended(ended);
                }
                compactions += journal.size() < before ? 1 : 0;
                // A compacted copy with all live records must fit beside the file at any time.
                long liveBytes = live.stream().mapToLong(open -> open.bytes).sum();
                assertTrue(journal.size() + liveBytes + 1024 <= MAX_BYTES, "at step " + i);
            }
        }
        assertTrue(rejected > 0, "new messages are rejected while live records leave no room");
        assertTrue(compactions > 10);
        try (Journal journal = open()) {
            assertEquals(live.stream().map(message -> message.id).toList(),
                    journal.liveMessages().stream().map(message -> message.id).toList());
        }
    }

    @Test
    void roomIsReservedForAllLaterRecordsOfAcceptedMessages() throws Exception {
        try (Journal journal = open()) {
            Deque<AcceptedMessage> accepted = new ArrayDeque<>();
            assertThrows(IOException.class, () -> {
                while (true) {
                    AcceptedMessage message = newMessage(journal, 500);
                    journal.accepted(message);
                    accepted.add(message);
                }
            });
            for (AcceptedMessage message : accepted) {
                for (int i = 0; i < 12; i++) {
                    attempt(journal, message, new AcceptedMessage.Attempt("s-5be2a07c5be2a07c", i));
                    journal.neverRan(message, i);
                }
                journal.noticePending(message, new AcceptedMessage.Notice(true, 1));
            }
            for (AcceptedMessage message : accepted) {
                journal.ended(message);
            }
            journal.accepted(newMessage(journal, 500));
        }
    }

    @Test
    void unfinishedCompactedCopyIsDeleted() throws Exception {
        Files.write(folder.resolve("journal.next"), new byte[5000]);
        try (Journal journal = open()) {
            assertTrue(Files.notExists(folder.resolve("journal.next")));
            assertEquals(0, journal.size());
        }
    }

    // ---- ended messages ----

    private static AcceptedMessage accept(Journal journal, String id, long deadlineMs) throws IOException {
        AcceptedMessage message =
                new AcceptedMessage(journal.nextNumber(), id, "order", "desk", Optional.of("key"), Optional.empty(), 7,
                        deadlineMs, new byte[10]);
        journal.accepted(message);
        return message;
    }

    private static Optional<FinishedMessage.Result> result(Journal journal, String id) {
        return journal.finished(id).map(FinishedMessage::result);
    }

    @Test
    void resultsSurviveRestartAndCompaction() throws Exception {
        long deadlineMs = System.currentTimeMillis() + 60_000;
        try (Journal journal = open()) {
            journal.ended(accept(journal, "delivered", deadlineMs), FinishedMessage.Result.DELIVERED);
            AcceptedMessage acknowledged = accept(journal, "heard", deadlineMs);
            journal.noticePending(acknowledged, new AcceptedMessage.Notice(true, 700));
            journal.ended(acknowledged);
            journal.noticePending(accept(journal, "unheard", deadlineMs), new AcceptedMessage.Notice(false, 0));
            journal.ended(accept(journal, "nobody's", deadlineMs));
        }
        for (int restart = 0; restart < 3; restart++) {
            try (Journal journal = open()) {
                assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, "delivered"));
                assertEquals(Optional.of(FinishedMessage.Result.REFUSED), result(journal, "heard"));
                assertEquals(700, journal.finished("heard").orElseThrow().waitMs());
                assertEquals(Optional.of(FinishedMessage.Result.FAILED), result(journal, "unheard"));
                assertEquals(Optional.empty(), result(journal, "nobody's"));
                assertEquals(1, journal.liveMessages().size());
                long before = journal.size();
                for (int i = 0; journal.size() >= before; i++) {
                    before = journal.size();
                    journal.ended(accept(journal, "filler-" + i, 0), FinishedMessage.Result.DELIVERED);
                }
            }
        }
    }

    /** After a restart the record of the notice alone would mean that the message was given up. */
    @Test
    void deliveryWithConfirmingNoticeStaysDeliveredAfterRestartAndCompaction() throws Exception {
        long deadlineMs = System.currentTimeMillis() + 60_000;
        try (Journal journal = open()) {
            journal.endConfirmationPending(accept(journal, "heard", deadlineMs));
            journal.endConfirmationPending(accept(journal, "unheard", deadlineMs));
            journal.ended(journal.liveMessages().iterator().next());
        }
        for (int restart = 0; restart < 3; restart++) {
            try (Journal journal = open()) {
                for (String id : List.of("heard", "unheard")) {
                    assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, id));
                }
                assertEquals(List.of("unheard"), journal.liveMessages().stream().map(message -> message.id).toList());
                assertEquals(AcceptedMessage.Notice.CONFIRMATION,
                        journal.liveMessages().iterator().next().pendingNotice.orElseThrow());
                for (long before = 0; journal.size() >= before;) {
                    before = journal.size();
                    journal.ended(accept(journal, "filler-" + before, 0), FinishedMessage.Result.DELIVERED);
                }
            }
        }
    }

    @Test
    void endedMessagesAreForgottenOnceTheirIdsExpire() throws Exception {
        long nowMs = System.currentTimeMillis();
        try (Journal journal = open()) {
            journal.ended(accept(journal, "late", nowMs - FinishedMessage.REPEAT_GRACE_MS),
                    FinishedMessage.Result.FAILED);
            assertEquals(Optional.empty(), result(journal, "late"));
        }
    }

    @Test
    void recordsOfEndedMessagesAreBoundedAndTheOldestAreDropped() throws Exception {
        long deadlineMs = System.currentTimeMillis() + 60_000;
        try (Journal journal = open()) {
            for (int i = 0; i < 5000; i++) {
                journal.ended(accept(journal, "id-" + i, deadlineMs), FinishedMessage.Result.DELIVERED);
                assertTrue(Files.size(folder.resolve("journal")) <= MAX_BYTES);
            }
            assertEquals(Optional.empty(), result(journal, "id-0"));
            assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, "id-4999"));
            assertEquals(Optional.of(FinishedMessage.Result.DELIVERED), result(journal, "id-4800"));
        }
    }

    @Test
    void memoryOfEndedMessagesIsBounded() {
        FinishedMessages messages = new FinishedMessages(Long.MAX_VALUE);
        for (int i = 0; i < 100_000; i++) {
            messages.add(new FinishedMessage("id-" + i, FinishedMessage.Result.DELIVERED, 0, Long.MAX_VALUE), 50, 0);
        }
        assertTrue(messages.bytes() <= 50 * 16_384, "the heap is bounded as well as the disk");
        assertEquals(Optional.empty(), messages.find("id-0", 0));
        assertTrue(messages.find("id-99999", 0).isPresent());
    }
}
