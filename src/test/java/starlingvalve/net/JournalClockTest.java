package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The time that is left to a message after a restart doesn't depend on steps of the wall clock. */
class JournalClockTest {
    private static final long HOUR_MS = TimeUnit.HOURS.toMillis(1);
    private static final long LEFT_MS = 20_000;

    @TempDir
    private Path folder;
    private final Clocks clocks = new Clocks();

    /** Clocks that the test sets. */
    private static final class Clocks implements TimeSource {
        private long wallMs = 1_700_000_000_000L;
        private long monotonicMs = 5_000_000;
        private String bootId = "first";

        void advance(long ms) {
            wallMs += ms;
            monotonicMs += ms;
        }

        @Override
        public long wallMs() {
            return wallMs;
        }

        @Override
        public long monotonicMs() {
            return monotonicMs;
        }

        @Override
        public String bootId() {
            return bootId;
        }
    }

    private Journal open() throws IOException {
        return new Journal(folder, 200_000, 12, JournalFile.Disk.REAL, clocks);
    }

    /** Writes the journal of a first process: one open message, and one that was delivered. */
    private void writeFirstJournal() throws IOException {
        try (Journal journal = open()) {
            accept(journal, "held");
            journal.ended(accept(journal, "delivered"), FinishedMessage.Result.DELIVERED);
        }
    }

    private static AcceptedMessage accept(Journal journal, String id) throws IOException {
        AcceptedMessage message =
                new AcceptedMessage(journal.nextNumber(), id, "order", "desk", Optional.of("key"), Optional.empty(), 7,
                        journal.clock().nowMs() + LEFT_MS, new byte[10]);
        journal.accepted(message);
        return message;
    }

    private static long leftMs(Journal journal) {
        return journal.liveMessages().iterator().next().deadlineMs - journal.clock().nowMs();
    }

    @Test
    void wallClockStepsDoNotChangeTheTimeLeft() throws Exception {
        writeFirstJournal();
        for (long stepMs : new long[] {HOUR_MS, -2 * HOUR_MS, 3000, HOUR_MS}) {
            clocks.wallMs += stepMs;
            clocks.advance(1000);
            try (Journal journal = open()) {
                long elapsedMs = clocks.monotonicMs - 5_000_000;
                assertEquals(LEFT_MS - elapsedMs, leftMs(journal));
                clocks.wallMs += stepMs;
                assertEquals(LEFT_MS - elapsedMs, leftMs(journal), "a step while the process runs");
                assertTrue(journal.finished("delivered").isPresent());
            }
        }
        clocks.advance(LEFT_MS + FinishedMessage.REPEAT_GRACE_MS);
        try (Journal journal = open()) {
            assertTrue(journal.finished("delivered").isEmpty(), "the result has expired");
        }
    }

    @Test
    void clockBaseSurvivesCompaction() throws Exception {
        writeFirstJournal();
        clocks.wallMs += HOUR_MS;
        try (Journal journal = open()) {
            for (long size = 0; journal.size() >= size;) {
                size = journal.size();
                journal.ended(accept(journal, "filler" + size));
            }
        }
        clocks.wallMs -= 3 * HOUR_MS;
        try (Journal journal = open()) {
            assertEquals(LEFT_MS, leftMs(journal));
        }
    }

    @Test
    void wallClockIsUsedAfterAnotherBoot() throws Exception {
        writeFirstJournal();
        clocks.bootId = "second";
        clocks.monotonicMs = 9_000_000;
        clocks.wallMs += 7000;
        try (Journal journal = open()) {
            assertEquals(LEFT_MS - 7000, leftMs(journal));
        }
    }

    /** Even under the same boot id, a monotonic clock that is behind the recorded base belongs to another boot. */
    @Test
    void monotonicClockBehindTheBaseMeansAnotherBoot() throws Exception {
        writeFirstJournal();
        clocks.monotonicMs = 100;
        clocks.wallMs += 7000;
        try (Journal journal = open()) {
            assertEquals(LEFT_MS - 7000, leftMs(journal));
        }
    }
}
