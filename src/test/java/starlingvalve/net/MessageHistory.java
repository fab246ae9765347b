package starlingvalve.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The observed history of one message: the events that clients, endpoints and the platform saw, in the order in which
 * they saw them. The rules that the message breaks are derived from this history alone.
 */
final class MessageHistory {
    /** A call that arrives at most this long after the message ended may already have been in flight. */
    static final long GRACE_NANOS = 250_000_000;

    private static final String NEVER_ENDED = "accepted and never ended";

    /** Kind of event in the history of a message. */
    enum Kind {
        /** The client has received the 202 for the message. */
        ACCEPTED,
        /** A call with the message has arrived completely at an endpoint. */
        CALLED,
        /** The answer to the last such call proves that the endpoint did not execute the message. */
        NOT_EXECUTED,
        /**
         * An answer that accepts the message was written completely while the sender still waited for it, so the sender
         * knows that the message has ended.
         */
        DELIVERED,
        /**
         * An answer that accepts the message was written, but so late that the sender may have given up the call and
         * may not know that the message has ended.
         */
        DELIVERED_LATE,
        /** The platform has answered a notice of the end of the message. */
        NOTICE_ACKNOWLEDGED,
        /** The sender process was killed, and has lost what it had read but not yet written to its journal. */
        KILLED
    }

    /** One observed event. */
    record Event(long atNanos, Kind kind) {
    }

    private final String id;
    private final boolean atMostOnce;
    private final List<Event> events = new ArrayList<>();

    MessageHistory(String id, boolean atMostOnce) {
        this.id = id;
        this.atMostOnce = atMostOnce;
    }

    synchronized void add(long atNanos, Kind kind) {
        events.add(new Event(atNanos, kind));
    }

    /** Whether the client has received the 202 for the message, and no end of the message was observed so far. */
    boolean isAwaitingEnd() {
        return violations().contains(NEVER_ENDED);
    }

    /** Describes each rule that the message breaks. */
    synchronized List<String> violations() {
        List<String> violations = new ArrayList<>();
        boolean accepted = false;
        boolean ended = false;
        boolean mayHaveExecuted = false;
        Optional<Long> noticeNanos = Optional.empty();
        Optional<Long> deliveryNanos = Optional.empty();
        for (Event event : events) {
            switch (event.kind()) {
                case ACCEPTED -> accepted = true;
                case CALLED -> {
                    if (isAfterGrace(noticeNanos, event)) {
                        violations.add("called after its notice was acknowledged");
                    }
                    if (isAfterGrace(deliveryNanos, event)) {
                        violations.add("called after an answer had accepted it");
                    }
                    if (atMostOnce && mayHaveExecuted) {
                        violations.add("called again though it may have been executed");
                    }
                    mayHaveExecuted = true;
                }
                case NOT_EXECUTED -> mayHaveExecuted = false;
                case DELIVERED -> {
                    ended = true;
                    deliveryNanos = deliveryNanos.isPresent() ? deliveryNanos : Optional.of(event.atNanos());
                }
                case DELIVERED_LATE -> ended = true;
                case NOTICE_ACKNOWLEDGED -> {
                    ended = true;
                    noticeNanos = noticeNanos.isPresent() ? noticeNanos : Optional.of(event.atNanos());
                }
                // KILLED: an answer that was written long before was read and journalled, a recent one may be lost.
                default -> deliveryNanos =
                        deliveryNanos.filter(earlierNanos -> event.atNanos() - earlierNanos > GRACE_NANOS);
            }
        }
        if (accepted && !ended) {
            violations.add(NEVER_ENDED);
        }
        return violations;
    }

    private static boolean isAfterGrace(Optional<Long> endNanos, Event event) {
        return endNanos.filter(earlierNanos -> event.atNanos() - earlierNanos > GRACE_NANOS).isPresent();
    }

    @Override
    public synchronized String toString() {
        long firstNanos = events.isEmpty() ? 0 : events.get(0).atNanos();
        return id + (atMostOnce ? " (once)" : "") + ": " + events.stream()
                .map(event -> event.kind() + "@" + (event.atNanos() - firstNanos) / 1_000_000 + "ms").toList();
    }
}
