package starlingvalve.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Logs delays of the event loop: a system call that does not return, or a long task, delays every deadline, time-out
 * and answer of the process.
 */
final class LoopMonitor {
    private static final long PERIOD_MS = 100;
    /** Shorter delays are not logged, as they are within the tolerance of every rule. */
    private static final long MIN_LOGGED_DELAY_MS = 100;

    private final EventLoop loop;
    private final EventLog events;
    private long expectedNanos;

    LoopMonitor(EventLoop loop, EventLog events) {
        this.loop = loop;
        this.events = events;
    }

    /** Schedules the next check. */
    void start() {
        expectedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PERIOD_MS);
        loop.schedule(this::check, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long lateMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - expectedNanos);
        if (lateMs >= MIN_LOGGED_DELAY_MS) {
            events.add("loop-held-up", "late_ms", lateMs);
        }
        start();
    }
}
