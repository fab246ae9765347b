package starlingvalve.net;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import starlingvalve.DeliveryPolicy;

/**
 * The final check, made just before a message is sent or ended or a client's connection is closed, whether that is
 * allowed. It decides by the state of the message alone, independently of what the delivery policy and the connections
 * have decided. Anything that it forbids is due to a fault in one of those, and is logged and counted.
 */
final class MessageRules {
    /** A violation that was prevented, or, for {@link #ENDED_LATE}, observed. */
    enum Violation {
        /** A message was to be sent after its end. */
        SENT_AFTER_END,
        /** A message that may be processed only once, and may have been, was to be sent again. */
        REPEATED_ONCE_ONLY,
        /** A message was to be sent again after the window within which the endpoints discard duplicates. */
        REPEATED_AFTER_WINDOW,
        /** A message was to be ended a second time. */
        ENDED_TWICE,
        /** The platform acknowledged the end of a message too late. */
        ENDED_LATE
    }

    /**
     * Whether and when messages of a class may be sent again.
     *
     * @param dedupWindowMs the time after the first attempt within which endpoints discard duplicates of a keyed
     *     message
     */
    record RepeatPolicy(DeliveryPolicy.Effect effect, double dedupWindowMs) {
    }

    /** The end of a message may be acknowledged this long after its deadline. */
    private static final long MAX_LATENESS_MS = 300;

    private final LongSupplier clockMs;
    private final Function<String, Optional<RepeatPolicy>> classes;
    private final EventLog events;
    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);

    /** {@code clockMs} is the journal's clock; {@code classes} looks up the message classes of the configuration. */
    MessageRules(LongSupplier clockMs, Function<String, Optional<RepeatPolicy>> classes, EventLog events) {
        this.clockMs = clockMs;
        this.classes = classes;
        this.events = events;
    }

    /** Whether the first byte of this attempt may be written now; {@code attempt} is its index. */
    boolean maySend(AcceptedMessage message, int attempt) {
        if (message.ended || message.endReceived) {
            return reportViolation(Violation.SENT_AFTER_END, message);
        }
        Optional<RepeatPolicy> policy = classes.apply(message.messageClass);
        long firstSentMs = Long.MAX_VALUE;
        for (int i = 0; i < message.attempts.size(); i++) {
            AcceptedMessage.Attempt earlier = message.attempts.get(i);
            if (i != attempt && !earlier.neverRan) {
                firstSentMs = Math.min(firstSentMs, earlier.sentAtMs);
            }
        }
        if (firstSentMs == Long.MAX_VALUE || policy.isEmpty()) {
            return true;
        }
        return switch (policy.get().effect()) {
            case UNSAFE -> reportViolation(Violation.REPEATED_ONCE_ONLY, message);
            case KEYED -> clockMs.getAsLong() - firstSentMs <= policy.get().dedupWindowMs()
                    || reportViolation(Violation.REPEATED_AFTER_WINDOW, message);
            case SAFE -> true;
        };
    }

    /** Whether the message may end now; each message ends only once. */
    boolean mayEnd(AcceptedMessage message) {
        return !message.ended || reportViolation(Violation.ENDED_TWICE, message);
    }

    /** Checks that the platform, which has just answered the notice of a message's end, did so in time. */
    void endAcknowledged(AcceptedMessage message) {
        if (clockMs.getAsLong() - message.deadlineMs > MAX_LATENESS_MS) {
            reportViolation(Violation.ENDED_LATE, message);
        }
    }

    /**
     * Whether this sender may close a client's connection for the given reason. During a request only the client's own
     * behaviour is a valid reason.
     */
    static boolean mayClose(SubmissionServer.CloseReason reason, boolean underRequest) {
        return !underRequest || switch (reason) {
            case REQUEST_NOT_WHOLE, ANSWER_NOT_READ, BROKEN, PEER -> true;
            case IDLE, MAKES_ROOM, NO_ROOM, SENT_AWAY -> false;
        };
    }

    /** How often this violation was prevented or observed. */
    long count(Violation violation) {
        return counts.getOrDefault(violation, 0L);
    }

    private boolean reportViolation(Violation violation, AcceptedMessage message) {
        counts.merge(violation, 1L, Long::sum);
        events.add("rule-violated", "rule", violation, "id", message.id, "class", message.messageClass, "attempts",
                message.attempts.size(), "left_ms", message.deadlineMs - clockMs.getAsLong());
        return false;
    }
}
