package starlingvalve.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Holds back what is to be written until the event loop has read all input that had arrived before. What one
 * connection triggers may be forbidden by what another has already brought: the order in which the loop reads them
 * is no order of events. A loop that is held up between reading and writing reads once more.
 */
final class InputBarrier {
    /** What is written relies on input that was read at most so long ago. */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Where every pass of the loop takes longer than that, what waits goes on after so many of them. */
    private static final int MAX_PASSES = 4;

    private final EventExecutor loop;
    private final LongSupplier nanos;
    private List<Runnable> waiting = new ArrayList<>();
    /** All input that had arrived by then counts as read. */
    private long readUntil;
    private int passes;

    InputBarrier(EventExecutor loop, LongSupplier nanos) {
        this.loop = loop;
        this.nanos = nanos;
    }

    /** Runs a task, never at once, when all input that has arrived by now is read. */
    void runAfterPendingInput(Runnable task) {
        waiting.add(task);
        if (waiting.size() == 1) {
            passes = 0;
            // Not from here: the loop may be in the middle of its reading.
            loop.execute(this::readOn);
        }
    }

    /** Whether what was read last is recent enough to write by; if not, {@link #runAfterPendingInput} makes it so. */
    boolean isInputRecent() {
        return nanos.getAsLong() - readUntil <= MAX_AGE_NANOS;
    }

    private void readOn() {
        long now = nanos.getAsLong();
        passes++;
        AfterPendingReads.next(loop, () -> allRead(now));
    }

    private void allRead(long until) {
        readUntil = until;
        if (!isInputRecent()) {
            if (passes < MAX_PASSES) {
                readOn();
                return;
            }
            readUntil = nanos.getAsLong();
        }
        List<Runnable> tasks = waiting;
        waiting = new ArrayList<>();
        tasks.forEach(FaultIsolation::run);
    }
}
