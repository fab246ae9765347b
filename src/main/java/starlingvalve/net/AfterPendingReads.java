package starlingvalve.net;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs timed tasks only after the event loop has read all input that had arrived by their due time. The loop reads
 * first and then runs the tasks that are due. During a long read phase a call's time-out may pass while its answer
 * arrives and stays unread. Therefore a task that is due is scheduled once more: a task that is scheduled while the
 * loop runs tasks has its turn only after the next read phase.
 */
final class AfterPendingReads {
    private AfterPendingReads() {
    }

    /**
     * Runs a task after a delay and one more read phase. The task still runs if it is cancelled after the delay, so it
     * has to check itself whether it is still needed.
     */
    static Future<?> schedule(EventExecutor loop, long delay, TimeUnit unit, Runnable task) {
        return loop.schedule(() -> execute(loop, task), delay, unit);
    }

    /** Runs a task once the loop has read the input that has arrived by now. */
    static void execute(EventExecutor loop, Runnable task) {
        loop.schedule(task, 0, TimeUnit.NANOSECONDS);
    }
}
