package starlingvalve.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Tells when the event loop was held up: a system call that does not return, or a long task, delays every deadline,
 * time-out and answer of the process alike.
 */
final class LoopMonitor {
    private static final long PERIOD_MS = 100;
    /** A lateness that no rule's slack is used up by is no event. */
    private static final long LOGGED_MS = 100;

    private final EventLoop loop;
    private final EventLog events;
    private long expectedNanos;

    LoopMonitor(EventLoop loop, EventLog events) {
        this.loop = loop;
        this.events = events;
    }

    void start() {
        expectedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PERIOD_MS);
        loop.schedule(this::check, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long lateMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - expectedNanos);
        if (lateMs >= LOGGED_MS) {
            events.add("loop-held-up", "late_ms", lateMs);
        }
        start();
    }
}
