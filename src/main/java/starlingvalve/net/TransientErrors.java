package starlingvalve.net;

import java.io.IOException;
import java.util.Set;

/**
 * Decides which errors of a read or write are transient: the connection is intact, the machine briefly lacks a resource
 * or the call was interrupted, and the same call may be repeated. All other errors end the connection.
 */
final class TransientErrors {
    /** The system's texts for EINTR, EAGAIN, ENOMEM and ENOBUFS: the JDK passes on the text only. */
    private static final Set<String> TRANSIENT_ERROR_TEXTS = Set.of("Interrupted system call",
            "Resource temporarily unavailable", "Cannot allocate memory", "No buffer space available");

    private TransientErrors() {
    }

    /** Whether the call that failed with this error may be repeated on the same connection. */
    static boolean isTransient(IOException error) {
        return error.getMessage() != null && TRANSIENT_ERROR_TEXTS.contains(error.getMessage());
    }
}
