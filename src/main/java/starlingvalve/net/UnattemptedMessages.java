package starlingvalve.net;

import java.util.HashSet;
import java.util.Set;

/**
 * What a restart found taken on and never called for. Its clients count on it, so how it fares is told once: when
 * each of these messages has had a call or has ended, or with the process.
 */
final class UnattemptedMessages {
    private final Set<Long> waiting = new HashSet<>();
    private int found;
    private int outOfTime;
    private int called;

    /** A message came back from the journal with no attempt. */
    void found(long message, double leftMs) {
        waiting.add(message);
        found++;
        outOfTime += leftMs <= 0 ? 1 : 0;
    }

    /** A call is made for a message. */
    void called(long message) {
        if (waiting.remove(message)) {
            called++;
            tellWhenOver();
        }
    }

    /** A message has ended; one that still waits here ends without a call. */
    void ended(long message) {
        if (waiting.remove(message)) {
            tellWhenOver();
        }
    }

    /** The process ends: what waits is the next life's. */
    void close() {
        if (!waiting.isEmpty()) {
            tell();
        }
    }

    private void tellWhenOver() {
        if (waiting.isEmpty()) {
            tell();
        }
    }

    private void tell() {
        Log.line("of " + found + " untried messages from the journal " + called + " were called for, "
                + (found - called - waiting.size()) + " ended without a call (" + outOfTime
                + " were out of time before), " + waiting.size() + " wait");
    }
}
