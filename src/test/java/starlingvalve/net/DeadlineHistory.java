package starlingvalve.net;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongBinaryOperator;

/**
 * The observed history of one message, checked against the rule on lost messages: a message that was answered with 202
 * is delivered, or a notice of its end is acknowledged, within its budget plus the tolerance. It holds what the client,
 * the endpoints and the platform observed. All times are {@link System#nanoTime}.
 */
final class DeadlineHistory {
    /** The rule's tolerance of 300 ms, plus the 50 ms by which each time limit is extended on sockets. */
    static final long TOLERANCE_MS = 300 + 50;

    /** A sender ends an undelivered message this long before the client's budget is used up. */
    private static final long SENDER_MARGIN_MS = 400;

    /**
     * A restart without a successor process. No notice is overdue from its signal ({@code fromNanos}) until some time
     * after the new process is ready ({@code untilNanos}).
     */
    record Restart(long fromNanos, long untilNanos) {
        private boolean covers(long nanos) {
            return fromNanos <= nanos && nanos < untilNanos;
        }
    }

    private final String id;
    private final Instant sentAt = Instant.now();
    private final long sentNanos;
    private final long dueNanos;
    private final List<String> events = new ArrayList<>();
    private boolean accepted;
    private OptionalLong firstEndNanos = OptionalLong.empty();

    DeadlineHistory(String id, long sentNanos, long budgetMs) {
        this.id = id;
        this.sentNanos = sentNanos;
        this.dueNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(budgetMs + TOLERANCE_MS);
    }

    /** Records that the client has received the 202 for the message. */
    synchronized void accepted(long nanos) {
        accepted = true;
        addEvent(nanos, "accepted");
    }

    /** Records that an answer which delivers the message was written, or that a notice of its end was acknowledged. */
    synchronized void ended(long nanos, String outcome) {
        if (firstEndNanos.isEmpty()) {
            firstEndNanos = OptionalLong.of(nanos);
        }
        addEvent(nanos, outcome);
    }

    /** Adds an event that is no end of the message, for the description in a failure. */
    synchronized void addEvent(long nanos, String event) {
        events.add(event + "@" + TimeUnit.NANOSECONDS.toMillis(nanos - sentNanos) + "ms");
    }

    synchronized boolean isAccepted() {
        return accepted;
    }

    synchronized boolean isEnded() {
        return firstEndNanos.isPresent();
    }

    /** The time after which the end of the message is overdue, given these restarts. */
    synchronized long overdueNanos(List<Restart> restarts) {
        long overdueFromNanos = dueNanos;
        for (Restart restart : restarts) {
            overdueFromNanos = restart.covers(overdueFromNanos) ? restart.untilNanos() : overdueFromNanos;
        }
        return overdueFromNanos;
    }

    /**
     * Describes how the message breaks the rule, or is empty. A message that ended late breaks it only if the lateness
     * exceeds {@code stalledNanos}, the time for which the machine stalled between the sender's deadline and the end.
     */
    synchronized Optional<String> violation(List<Restart> restarts, LongBinaryOperator stalledNanos) {
        if (!accepted) {
            return Optional.empty();
        }
        if (firstEndNanos.isEmpty()) {
            return Optional.of("accepted and never ended");
        }
        long endNanos = firstEndNanos.getAsLong();
        long overdueFromNanos = overdueNanos(restarts);
        long senderDeadlineNanos = overdueFromNanos - TimeUnit.MILLISECONDS.toNanos(TOLERANCE_MS + SENDER_MARGIN_MS);
        long lateNanos = endNanos - overdueFromNanos;
        return lateNanos > 0 && lateNanos > stalledNanos.applyAsLong(senderDeadlineNanos, endNanos)
                ? Optional.of("ended " + TimeUnit.NANOSECONDS.toMillis(lateNanos) + " ms too late") : Optional.empty();
    }

    @Override
    public synchronized String toString() {
        return id + " (sent " + sentAt + ", due at " + TimeUnit.NANOSECONDS.toMillis(dueNanos - sentNanos) + "ms): "
                + events;
    }
}
