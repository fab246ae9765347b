package starlingvalve.net;

import java.util.Arrays;

/**
 * Keeps a fault of the program in one task from breaking off what others wait for: it is logged with its place, and the
 * caller goes on.
 */
final class FaultIsolation {
    /** So many frames of a fault's stack are logged. */
    private static final int LOGGED_FRAMES = 8;

    private FaultIsolation() {
    }

    /** Runs a task; whether it ended without a fault. */
    static boolean run(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            report(e);
            return false;
        }
    }

    /** Logs a fault that the caller deals with. */
    static void report(RuntimeException fault) {
        EventLog.ofThisProcess().add("fault", "cause", fault, "at",
                Arrays.stream(fault.getStackTrace()).limit(LOGGED_FRAMES).toList());
    }
}
