package starlingvalve.net;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongBinaryOperator;

/**
 * What a client, the endpoints and the platform saw of one message, judged by the rule on lost messages: a message that
 * was answered 202 is delivered, or its notice is heard, within its budget and the tolerance. All times are {@link
 * System#nanoTime}.
 */
final class DeadlineRecord {
    /** The rule's 300 ms, and the 50 ms by which each time limit is longer on sockets. */
    static final long TOLERANCE_MS = 300 + 50;

    /** A sender ends what nobody delivers so long before its client's time is up. */
    private static final long MARGIN_MS = 400;

    /** From the signal of a plain restart until some time after it is ready no notice is overdue. */
    record Restart(long fromNanos, long untilNanos) {
        private boolean covers(long nanos) {
            return fromNanos <= nanos && nanos < untilNanos;
        }
    }

    private final String id;
    private final Instant sent = Instant.now();
    private final long sentNanos;
    private final long dueNanos;
    private final List<String> events = new ArrayList<>();
    private boolean taken;
    private OptionalLong endedNanos = OptionalLong.empty();

    DeadlineRecord(String id, long sentNanos, long budgetMs) {
        this.id = id;
        this.sentNanos = sentNanos;
        this.dueNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(budgetMs + TOLERANCE_MS);
    }

    synchronized void taken(long nanos) {
        taken = true;
        seen(nanos, "taken on");
    }

    /** Its delivery was written, or its notice was heard. */
    synchronized void ended(long nanos, String how) {
        if (endedNanos.isEmpty()) {
            endedNanos = OptionalLong.of(nanos);
        }
        seen(nanos, how);
    }

    /** Tells nothing of its end, but helps to trace it. */
    synchronized void seen(long nanos, String what) {
        events.add(what + "@" + TimeUnit.NANOSECONDS.toMillis(nanos - sentNanos) + "ms");
    }

    synchronized boolean isTaken() {
        return taken;
    }

    synchronized boolean isEnded() {
        return endedNanos.isPresent();
    }

    /** When its end is overdue, with these restarts. */
    synchronized long overdueNanos(List<Restart> restarts) {
        long overdue = dueNanos;
        for (Restart restart : restarts) {
            overdue = restart.covers(overdue) ? restart.untilNanos() : overdue;
        }
        return overdue;
    }

    /** How it breaks the rule, if it does by more than the machine stood still between the sender's deadline and its end. */
    synchronized Optional<String> violation(List<Restart> restarts, LongBinaryOperator stalls) {
        if (!taken) {
            return Optional.empty();
        }
        if (endedNanos.isEmpty()) {
            return Optional.of("taken on and never ended");
        }
        long ended = endedNanos.getAsLong();
        long overdue = overdueNanos(restarts);
        long deadline = overdue - TimeUnit.MILLISECONDS.toNanos(TOLERANCE_MS + MARGIN_MS);
        long late = ended - overdue;
        return late > 0 && late > stalls.applyAsLong(deadline, ended)
                ? Optional.of("ended " + TimeUnit.NANOSECONDS.toMillis(late) + " ms too late") : Optional.empty();
    }

    @Override
    public synchronized String toString() {
        return id + " (sent " + sent + ", due at " + TimeUnit.NANOSECONDS.toMillis(dueNanos - sentNanos) + "ms): "
                + events;
    }
}
