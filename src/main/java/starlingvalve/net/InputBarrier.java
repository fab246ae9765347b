package starlingvalve.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Delays writes until the event loop has read all input that arrived before. Input on one connection may trigger a
 * write that input already waiting on another connection forbids, and the order in which the loop reads connections is
 * not the order in which the input arrived. If the loop is delayed between reading and writing, it reads once more.
 */
final class InputBarrier {
    /** Maximum age of the last read of all input when a write is sent. */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Number of loop passes after which the tasks run even if each pass takes longer than {@link #MAX_AGE_NANOS}. */
    private static final int MAX_PASSES = 4;

    private final EventExecutor loop;
    private final LongSupplier nanoClock;
    private List<Runnable> waitingTasks = new ArrayList<>();
    /** The time up to which all arrived input is read. */
    private long readUntilNanos;
    private int passes;

    InputBarrier(EventExecutor loop, LongSupplier nanoClock) {
        this.loop = loop;
        this.nanoClock = nanoClock;
    }

    /** Runs a task, never synchronously, once all input that has arrived by now is read. */
    void runAfterPendingInput(Runnable task) {
        waitingTasks.add(task);
        if (waitingTasks.size() == 1) {
            passes = 0;
            // Not synchronously: the loop may be in the middle of reading.
            loop.execute(this::readOnce);
        }
    }

    /**
     * Whether all input was read recently enough for a write to be sent now; if not, the write has to be passed to
     * {@link #runAfterPendingInput}.
     */
    boolean isInputRecent() {
        return nanoClock.getAsLong() - readUntilNanos <= MAX_AGE_NANOS;
    }

    private void readOnce() {
        long nowNanos = nanoClock.getAsLong();
        passes++;
        AfterPendingReads.execute(loop, () -> allRead(nowNanos));
    }

    private void allRead(long untilNanos) {
        readUntilNanos = untilNanos;
        if (!isInputRecent()) {
            if (passes < MAX_PASSES) {
                readOnce();
                return;
            }
            readUntilNanos = nanoClock.getAsLong();
        }
        List<Runnable> tasks = waitingTasks;
        waitingTasks = new ArrayList<>();
        tasks.forEach(FaultIsolation::run);
    }
}
