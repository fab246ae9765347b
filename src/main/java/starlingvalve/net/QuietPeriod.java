package starlingvalve.net;

import java.util.concurrent.TimeUnit;

/**
 * How long a kept connection stays quiet behind an answer before it carries the next request. What a peer sends straight
 * behind its answer has come by then, and ends the connection; a request that was already under way would take it for
 * its own answer.
 */
final class QuietPeriod {
    private static final long NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private long beginNanos = System.nanoTime();
    private boolean begun;

    /** An answer has come whole: the period begins. */
    void begin() {
        begun = true;
        beginNanos = System.nanoTime();
    }

    /** How long ago the last answer came whole; before the first one, how long there was none. */
    long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
    }

    /** How long it lasts still; 0 once it is over, and before the first answer. */
    long remainingNanos() {
        return begun ? Math.max(0, beginNanos + NANOS - System.nanoTime()) : 0;
    }
}
