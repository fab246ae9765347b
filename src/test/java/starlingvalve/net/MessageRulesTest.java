package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Effect;
import starlingvalve.net.MessageRules.RepeatPolicy;
import starlingvalve.net.MessageRules.Violation;

/** Checks each rule with a case that violates it, and with a similar one that does not. */
class MessageRulesTest {
    private static final long WINDOW_MS = 1000;
    private static final long DEADLINE_MS = 5000;
    private static final long MAX_LATENESS_MS = 300;
    private static final Map<String, RepeatPolicy> CLASSES = Map.of("safe", new RepeatPolicy(Effect.SAFE, 0), "keyed",
            new RepeatPolicy(Effect.KEYED, WINDOW_MS), "unsafe", new RepeatPolicy(Effect.UNSAFE, 0));

    private long nowMs;
    private final MessageRules rules = new MessageRules(() -> nowMs,
            name -> Optional.ofNullable(CLASSES.get(name)), EventLog.shared());

    /** A message with one attempt that may have run, and one that is about to be sent. */
    private static AcceptedMessage repeated(String messageClass) {
        AcceptedMessage message = new AcceptedMessage(1, "id", messageClass, "", Optional.empty(), Optional.empty(), 7,
                DEADLINE_MS, new byte[0]);
        message.attempts.add(new AcceptedMessage.Attempt("s-0", 0));
        message.attempts.get(0).neverRan = false;
        message.attempts.add(new AcceptedMessage.Attempt("s-1", 0));
        return message;
    }

    private void assertForbidden(boolean allowed, Violation violation) {
        assertFalse(allowed);
        assertEquals(1, rules.count(violation));
    }

    @Test
    void endedMessageIsNotSent() {
        AcceptedMessage message = repeated("safe");
        assertTrue(rules.maySend(message, 1));
        message.ended = true;
        assertForbidden(rules.maySend(message, 1), Violation.SENT_AFTER_END);
    }

    @Test
    void messageWhoseEndWasReceivedIsNotSent() {
        AcceptedMessage message = repeated("safe");
        message.endReceived = true;
        assertForbidden(rules.maySend(message, 1), Violation.SENT_AFTER_END);
    }

    @Test
    void unsafeMessageIsSentAgainOnlyIfItNeverRan() {
        AcceptedMessage message = repeated("unsafe");
        assertTrue(rules.maySend(message, 0), "a first attempt is not a repeat");
        assertForbidden(rules.maySend(message, 1), Violation.REPEATED_ONCE_ONLY);
        message.attempts.get(0).neverRan = true;
        assertTrue(rules.maySend(message, 1));
    }

    @Test
    void keyedMessageIsSentAgainOnlyWithinItsWindow() {
        AcceptedMessage message = repeated("keyed");
        nowMs = WINDOW_MS;
        assertTrue(rules.maySend(message, 1));
        nowMs = WINDOW_MS + 1;
        assertForbidden(rules.maySend(message, 1), Violation.REPEATED_AFTER_WINDOW);
        message.attempts.get(0).neverRan = true;
        assertTrue(rules.maySend(message, 1));
    }

    @Test
    void messageEndsOnlyOnce() {
        AcceptedMessage message = repeated("safe");
        assertTrue(rules.mayEnd(message));
        message.ended = true;
        assertForbidden(rules.mayEnd(message), Violation.ENDED_TWICE);
    }

    @Test
    void lateAcknowledgementOfAnEndIsCounted() {
        nowMs = DEADLINE_MS + MAX_LATENESS_MS;
        rules.endAcknowledged(repeated("safe"));
        assertEquals(0, rules.count(Violation.ENDED_LATE));
        nowMs++;
        rules.endAcknowledged(repeated("safe"));
        assertEquals(1, rules.count(Violation.ENDED_LATE));
    }

    @Test
    void connectionIsClosedDuringARequestOnlyForItsClientsBehaviour() {
        for (SubmissionServer.CloseReason reason : SubmissionServer.CloseReason.values()) {
            assertTrue(MessageRules.mayClose(reason, false));
            boolean causedByClient = switch (reason) {
                case REQUEST_NOT_WHOLE, ANSWER_NOT_READ, BROKEN, PEER -> true;
                case IDLE, MAKES_ROOM, NO_ROOM, SENT_AWAY -> false;
            };
            assertEquals(causedByClient, MessageRules.mayClose(reason, true), reason.name());
        }
    }
}
