package starlingvalve.net;

import java.io.IOException;
import java.util.Set;

/**
 * The one place that knows which errors of a read or write say nothing of the connection: the machine lacks something for
 * a moment, and the same call may be made again. All others end the connection.
 */
final class TransientErrors {
    /** By the system's texts, as the JDK hands on nothing else: EINTR, EAGAIN, ENOMEM and ENOBUFS. */
    private static final Set<String> TEXTS = Set.of("Interrupted system call", "Resource temporarily unavailable",
            "Cannot allocate memory", "No buffer space available");

    private TransientErrors() {
    }

    /** Whether the call that failed so may be made again on the same connection. */
    static boolean isTransient(IOException error) {
        return error.getMessage() != null && TEXTS.contains(error.getMessage());
    }
}
