package starlingvalve.net;

import java.util.concurrent.TimeUnit;

/**
 * The time for which a connection must be quiet after an answer before it may carry the next request. Bytes that a peer
 * sends right after its answer arrive within this period, and the connection is closed; with the next request already
 * in flight they would be taken for its answer.
 */
final class QuietPeriod {
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private long startNanos = System.nanoTime();
    private boolean started;

    /** Starts the period; called when a complete answer has been read. */
    void begin() {
        started = true;
        startNanos = System.nanoTime();
    }

    /** Time since the last complete answer was read; before the first one, since this object was created. */
    long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Time until the period ends; 0 once it has ended, and before the first answer. */
    long remainingNanos() {
        return started ? Math.max(0, startNanos + PERIOD_NANOS - System.nanoTime()) : 0;
    }
}
