package starlingvalve.net;

/**
 * Ends the process when it has run out of memory. A process that goes on may have lost any of its tasks, and serves
 * nobody while nothing restarts it; one that ends is restarted, and finds all accepted messages in its journal.
 *
 * <p>The option {@code ExitOnOutOfMemoryError} does this for the heap, wherever the error is thrown. It does not for
 * direct memory, whose errors the class library throws: reads and writes of connections fail with them.
 */
final class OutOfMemoryExit {
    /** The exit code that the JVM uses for the option. */
    static final int EXIT_CODE = 3;

    private OutOfMemoryExit() {
    }

    /** Ends the process at once if a connection failed for want of memory. */
    static void exitIfExhausted(Throwable cause) {
        if (cause instanceof OutOfMemoryError) {
            Log.line("ends, as it has run out of memory: " + cause.getMessage());
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
