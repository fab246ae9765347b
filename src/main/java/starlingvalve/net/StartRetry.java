package starlingvalve.net;

import io.netty.channel.ChannelException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Repeats what a starting process can't do without while the system refuses it: what an earlier life has taken on is
 * owed, so a disk or a descriptor that is missing for a moment must not end the process.
 */
final class StartRetry {
    /** A sender has 30 s to be ready, of which the rest of the start takes a few. */
    static final long RETRY_LIMIT_MS = 25_000;

    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A step of the start that the system may refuse. */
    interface Step<T> {
        T take() throws IOException;
    }

    private final long patienceNanos;
    private boolean failing;
    private long failingSince;

    /** For so long from the first of several failures in a row. */
    StartRetry(long patienceMs) {
        patienceNanos = TimeUnit.MILLISECONDS.toNanos(patienceMs);
    }

    /** Whether a step that failed just now may be taken again after a pause; tells of the first failure in a line. */
    synchronized boolean mayRetry(String what, Exception cause) {
        if (!failing) {
            failing = true;
            failingSince = System.nanoTime();
            Log.line(what + " fails, and is tried again for a while: " + cause.getMessage());
        }
        return System.nanoTime() - failingSince < patienceNanos;
    }

    /** A step has succeeded. */
    synchronized void succeeded() {
        failing = false;
    }

    /** Takes a step until it succeeds; waits between its tries, so it is not called on an event loop. */
    <T> T runWithRetries(String what, Step<T> step) throws IOException {
        while (true) {
            try {
                T taken = step.take();
                succeeded();
                return taken;
            } catch (IOException | ChannelException | IllegalStateException e) {
                if (!mayRetry(what, e)) {
                    throw new IOException(e.getMessage(), e);
                }
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        }
    }
}
