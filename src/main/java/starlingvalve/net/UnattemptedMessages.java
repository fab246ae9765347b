package starlingvalve.net;

import java.util.HashSet;
import java.util.Set;

/**
 * The messages that were recovered from the journal without any attempt. Their clients rely on them, so one log line
 * reports what happened to them: once each of them has had a call or has ended, or when the process ends.
 */
final class UnattemptedMessages {
    private final Set<Long> waiting = new HashSet<>();
    private int found;
    private int expired;
    private int called;

    /** Records that a message without attempts was recovered from the journal, with {@code leftMs} to its deadline. */
    void found(long message, double leftMs) {
        waiting.add(message);
        found++;
        expired += leftMs <= 0 ? 1 : 0;
    }

    /** Records that a call is made with this message. */
    void called(long message) {
        if (waiting.remove(message)) {
            called++;
            logWhenComplete();
        }
    }

    /** Records that a message has ended; if it has had no call yet, it counts as ended without one. */
    void ended(long message) {
        if (waiting.remove(message)) {
            logWhenComplete();
        }
    }

    /**
     * Called when the process ends: logs the counts if messages still wait for a call. The next process run recovers
     * those messages.
     */
    void close() {
        if (!waiting.isEmpty()) {
            log();
        }
    }

    private void logWhenComplete() {
        if (waiting.isEmpty()) {
            log();
        }
    }

    private void log() {
        Log.line("of " + found + " untried messages from the journal " + called + " were called for, "
                + (found - called - waiting.size()) + " ended without a call (" + expired
                + " were out of time before), " + waiting.size() + " wait");
    }
}
