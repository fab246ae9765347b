package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests how long {@link StartRetry} allows retries. */
class StartRetryTest {
    private static final long RETRY_LIMIT_MS = 300;
    private static final IOException NO_SPACE = new IOException("no space");

    @Test
    void retryTimeStartsAnewAfterSuccess() throws Exception {
        StartRetry retry = new StartRetry(RETRY_LIMIT_MS);
        assertTrue(retry.mayRetry("a step", NO_SPACE));
        retry.succeeded();
        TimeUnit.MILLISECONDS.sleep(2 * RETRY_LIMIT_MS);
        assertTrue(retry.mayRetry("another", NO_SPACE));
        TimeUnit.MILLISECONDS.sleep(2 * RETRY_LIMIT_MS);
        assertFalse(retry.mayRetry("another", NO_SPACE));
    }

    @Test
    void stepIsRetriedUntilSuccessOrTimeLimit() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        assertEquals("done", new StartRetry(TimeUnit.SECONDS.toMillis(30)).runWithRetries("a step", () -> {
            if (tries.incrementAndGet() < 3) {
                throw NO_SPACE;
            }
            return "done";
        }));
        IOException last = assertThrows(IOException.class, () -> new StartRetry(RETRY_LIMIT_MS)
                .runWithRetries("a step", () -> {
                    throw NO_SPACE;
                }));
        assertEquals("no space", last.getMessage());
    }
}
