package starlingvalve.net;

import io.netty.channel.ChannelException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Retries steps that a process start can't do without, while the system refuses them. Messages that were accepted
 * before the restart must still be delivered, so a disk or file descriptor that is briefly unavailable must not end the
 * process.
 */
final class StartRetry {
    /** A sender must be ready within 30 s, and the rest of the start takes a few of them. */
    static final long RETRY_LIMIT_MS = 25_000;

    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A step of the start that the system may refuse. */
    interface Step<T> {
        /** Performs the step, and returns its result. */
        T run() throws IOException;
    }

    private final long retryLimitNanos;
    private boolean failing;
    private long failingSinceNanos;

    /** Allows retries for {@code retryLimitMs} from the first of several failures in a row. */
    StartRetry(long retryLimitMs) {
        retryLimitNanos = TimeUnit.MILLISECONDS.toNanos(retryLimitMs);
    }

    /** Whether a step that has just failed may be retried after a pause; logs the first of the failures in a row. */
    synchronized boolean mayRetry(String action, Exception cause) {
        if (!failing) {
            failing = true;
            failingSinceNanos = System.nanoTime();
            Log.line(action + " fails, and is tried again for a while: " + cause.getMessage());
        }
        return System.nanoTime() - failingSinceNanos < retryLimitNanos;
    }

    /** Notes that a step has succeeded, so the time for retries starts anew with the next failure. */
    synchronized void succeeded() {
        failing = false;
    }

    /**
     * Performs a step until it succeeds or the time for retries has passed. It sleeps between the tries, so it must not
     * be called on an event loop.
     */
    <T> T runWithRetries(String action, Step<T> step) throws IOException {
        while (true) {
            try {
                T result = step.run();
                succeeded();
                return result;
            } catch (IOException | ChannelException | IllegalStateException e) {
                if (!mayRetry(action, e)) {
                    throw new IOException(e.getMessage(), e);
                }
                LockSupport.parkNanos(RETRY_DELAY_NANOS);
            }
        }
    }
}
