package starlingvalve.net;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * What falls due by time, after what has come in by then. The loop reads, then runs what is due; while it read, the
 * time of a call or a wait may have passed, and an answer come that lies unread. So what is due waits for one more
 * reading: a task that is scheduled while tasks run is looked at only after it.
 */
final class AfterPendingReads {
    private AfterPendingReads() {
    }

    /** Cancelled too late, the task still runs: it has to see for itself that it is of no more use. */
    static Future<?> schedule(EventExecutor loop, long delay, TimeUnit unit, Runnable task) {
        return loop.schedule(() -> execute(loop, task), delay, unit);
    }

    /** Runs a task once the loop has read what has come by now. */
    static void execute(EventExecutor loop, Runnable task) {
        loop.schedule(task, 0, TimeUnit.NANOSECONDS);
    }
}
