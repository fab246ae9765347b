package starlingvalve.net;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Log lines for operators, on standard error. There is never one line for each message: see {@link EventLog}. */
final class Log {
    private Log() {
    }

    /** Writes one line with a time stamp; line breaks in the text, which may come from a peer, become spaces. */
    static void line(String text) {
        System.err.println(Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + text.replaceAll("\\s*\\R\\s*", " "));
    }
}
