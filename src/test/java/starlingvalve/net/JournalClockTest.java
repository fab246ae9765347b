package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** How much time is left in a later process, whatever becomes of the wall clock between the two. */
class JournalClockTest {
    private static final long HOUR_MS = TimeUnit.HOURS.toMillis(1);
    private static final long LEFT_MS = 20_000;

    @TempDir
    private Path folder;
    private final Clocks clocks = new Clocks();

    /** Clocks that a test moves. */
    private static final class Clocks implements TimeSource {
        private long wallMs = 1_700_000_000_000L;
        private long monotonicMs = 5_000_000;
        private String bootId = "first";

        void pass(long ms) {
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

    /** A first process takes a message, and another one that is delivered. */
    private void firstLife() throws IOException {
        try (Journal journal = open()) {
            take(journal, "held");
            journal.ended(take(journal, "delivered"), FinishedMessage.Result.DELIVERED);
        }
    }

    private static AcceptedMessage take(Journal journal, String id) throws IOException {
        AcceptedMessage held =
                new AcceptedMessage(journal.nextNumber(), id, "order", "desk", Optional.of("key"), Optional.empty(), 7,
                        journal.clock().nowMs() + LEFT_MS, new byte[10]);
        journal.accepted(held);
        return held;
    }

    private static long leftMs(Journal journal) {
        return journal.held().iterator().next().deadlineMs - journal.clock().nowMs();
    }

    @Test
    void aStepOfTheWallClockMovesNothing() throws Exception {
        firstLife();
        for (long step : new long[] {HOUR_MS, -2 * HOUR_MS, 3000, HOUR_MS}) {
            clocks.wallMs += step;
            clocks.pass(1000);
            try (Journal journal = open()) {
                long passed = clocks.monotonicMs - 5_000_000;
                assertEquals(LEFT_MS - passed, leftMs(journal));
                clocks.wallMs += step;
                assertEquals(LEFT_MS - passed, leftMs(journal), "a step while it runs");
                assertTrue(journal.finished("delivered").isPresent());
            }
        }
        clocks.pass(LEFT_MS + FinishedMessage.REPEAT_GRACE_MS);
        try (Journal journal = open()) {
            assertTrue(journal.finished("delivered").isEmpty(), "its time is over");
        }
    }

    @Test
    void theBaseOfTheClockOutlastsCompaction() throws Exception {
        firstLife();
        clocks.wallMs += HOUR_MS;
        try (Journal journal = open()) {
            for (long size = 0; journal.size() >= size;) {
                size = journal.size();
                journal.ended(take(journal, "filler" + size));
            }
        }
        clocks.wallMs -= 3 * HOUR_MS;
        try (Journal journal = open()) {
            assertEquals(LEFT_MS, leftMs(journal));
        }
    }

    @Test
    void afterAnotherBootTheWallClockCounts() throws Exception {
        firstLife();
        clocks.bootId = "second";
        clocks.monotonicMs = 9_000_000;
        clocks.wallMs += 7000;
        try (Journal journal = open()) {
            assertEquals(LEFT_MS - 7000, leftMs(journal));
        }
    }

    /** Where the boots can't be told apart, a monotonic clock that is behind its base is another boot's. */
    @Test
    void aMonotonicClockThatBeganAnewIsAnotherBoots() throws Exception {
        firstLife();
        clocks.monotonicMs = 100;
        clocks.wallMs += 7000;
        try (Journal journal = open()) {
            assertEquals(LEFT_MS - 7000, leftMs(journal));
        }
    }
}
