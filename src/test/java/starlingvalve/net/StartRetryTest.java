package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class StartRetryTest {
    private static final long PATIENCE_MS = 300;
    private static final IOException FULL = new IOException("no space");

    @Test
    void aFailureLongAfterTheStartIsStillTriedAgain() throws Exception {
        StartRetry retry = new StartRetry(PATIENCE_MS);
        assertTrue(retry.mayRetry("a step", FULL));
        retry.succeeded();
        TimeUnit.MILLISECONDS.sleep(2 * PATIENCE_MS);
        assertTrue(retry.mayRetry("another", FULL));
        TimeUnit.MILLISECONDS.sleep(2 * PATIENCE_MS);
        assertFalse(retry.mayRetry("another", FULL));
    }

    @Test
    void aStepIsTakenUntilItSucceedsOrThePatienceIsOver() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        assertEquals("done", new StartRetry(TimeUnit.SECONDS.toMillis(30)).runWithRetries("a step", () -> {
            if (tries.incrementAndGet() < 3) {
                throw FULL;
            }
            return "done";
        }));
        IOException last = assertThrows(IOException.class, () -> new StartRetry(PATIENCE_MS).runWithRetries("a step", () -> {
            throw FULL;
        }));
        assertEquals("no space", last.getMessage());
    }
}
