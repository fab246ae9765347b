package kestreldeal.net;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Since when the loop has been at work without a pause. While it works it reads nothing, so what it reads next
 * may have come at any time since then, and its time has run from that moment on.
 */
final class Busy {
    /** Time between two rounds of the loop that counts as no pause: it looks for what has come. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final Executor loop;
    private final LongSupplier nanos;
    private boolean working;
    private boolean worked;
    private long since;
    private long until;

    Busy(Executor loop, LongSupplier nanos) {
        this.loop = loop;
        this.nanos = nanos;
    }

    /** Something begins in the loop's round, which is over when the loop comes to what is queued now. */
    void work() {
        if (working) {
            return;
        }
        working = true;
        long now = nanos.getAsLong();
        if (!worked || now - until > PAUSE_NANOS) {
            since = now;
        }
        worked = true;
        loop.execute(() -> {
            working = false;
            until = nanos.getAsLong();
        });
    }

    /** For how long it has been at work, with the round that is on. */
    double ms() {
        work();
        return (nanos.getAsLong() - since) / 1e6;
    }
}
