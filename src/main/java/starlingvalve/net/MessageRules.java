package starlingvalve.net;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import starlingvalve.DeliveryPolicy;

/**
 * The last word on whether a message may be sent or ended, or a client's connection closed, now. It decides by the record
 * of the message alone, whatever the decision module and the connections made of their part of the story. What it
 * has to forbid is a fault of theirs, which is logged and counted.
 */
final class MessageRules {
    /** What was about to happen, or has happened. */
    enum Violation {
        /** Sent on after its end. */
        SENT_AFTER_END,
        /** Sent again though it may run only once and may have run. */
        REPEATED_ONCE_ONLY,
        /** Sent again after the time in which its repeats are dropped. */
        REPEATED_AFTER_WINDOW,
        /** Ended a second time. */
        ENDED_TWICE,
        /** Its final answer was heard too late. */
        ENDED_LATE
    }

    /** A class of messages, as far as its repeats go. */
    record Repeats(DeliveryPolicy.Effect effect, double dedupWindowMs) {
    }

    /** The final answer may come so long after the deadline. */
    private static final long LATE_MS = 300;

    private final LongSupplier clockMs;
    private final Function<String, Optional<Repeats>> classes;
    private final EventLog events;
    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);

    /** By the clock of the journal; {@code classes} knows those of the configuration. */
    MessageRules(LongSupplier clockMs, Function<String, Optional<Repeats>> classes, EventLog events) {
        this.clockMs = clockMs;
        this.classes = classes;
        this.events = events;
    }

    /** Whether the first byte of this attempt may be written now. */
    boolean maySend(AcceptedMessage held, int attempt) {
        if (held.over || held.endRead) {
            return forbid(Violation.SENT_AFTER_END, held);
        }
        Optional<Repeats> repeats = classes.apply(held.messageClass);
        long firstMs = Long.MAX_VALUE;
        for (int i = 0; i < held.attempts.size(); i++) {
            AcceptedMessage.Attempt earlier = held.attempts.get(i);
            if (i != attempt && !earlier.neverRan) {
                firstMs = Math.min(firstMs, earlier.sentAtMs);
            }
        }
        if (firstMs == Long.MAX_VALUE || repeats.isEmpty()) {
            return true;
        }
        return switch (repeats.get().effect()) {
            case UNSAFE -> forbid(Violation.REPEATED_ONCE_ONLY, held);
            case KEYED -> clockMs.getAsLong() - firstMs <= repeats.get().dedupWindowMs()
                    || forbid(Violation.REPEATED_AFTER_WINDOW, held);
            case SAFE -> true;
        };
    }

    /** Whether the message may end now: once. */
    boolean mayEnd(AcceptedMessage held) {
        return !held.over || forbid(Violation.ENDED_TWICE, held);
    }

    /** The platform has answered the notice of its end. */
    void heard(AcceptedMessage held) {
        if (clockMs.getAsLong() - held.deadlineMs > LATE_MS) {
            forbid(Violation.ENDED_LATE, held);
        }
    }

    /** Whether this side may close a client's connection for such a reason. */
    static boolean mayClose(SubmissionServer.CloseReason reason, boolean underRequest) {
        return !underRequest || reason == SubmissionServer.CloseReason.REQUEST_NOT_WHOLE
                || reason == SubmissionServer.CloseReason.BROKEN || reason == SubmissionServer.CloseReason.PEER;
    }

    /** How often this was forbidden, or seen too late. */
    long count(Violation violation) {
        return counts.getOrDefault(violation, 0L);
    }

    private boolean forbid(Violation violation, AcceptedMessage held) {
        counts.merge(violation, 1L, Long::sum);
        events.add("rule-violated", "rule", violation, "id", held.id, "class", held.messageClass, "attempts",
                held.attempts.size(), "left_ms", held.deadlineMs - clockMs.getAsLong());
        return false;
    }
}
