package starlingvalve.net;

import java.util.Arrays;

/**
 * Keeps an unexpected exception in one task from aborting work that others depend on: the exception is logged with its
 * stack trace, and the caller continues.
 */
final class FaultIsolation {
    /** Number of stack frames that are logged of an exception. */
    private static final int LOGGED_FRAMES = 8;

    private FaultIsolation() {
    }

    /** Runs a task, and returns whether it completed without an exception. */
    static boolean run(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            report(e);
            return false;
        }
    }

    /** Logs an exception that the caller handles. */
    static void report(RuntimeException fault) {
        EventLog.shared().add("fault", "cause", fault, "at",
                Arrays.stream(fault.getStackTrace()).limit(LOGGED_FRAMES).toList());
    }
}
