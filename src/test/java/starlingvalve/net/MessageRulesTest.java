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

/** For each rule a message that breaks it, and one that only looks like it. */
class MessageRulesTest {
    private static final long WINDOW_MS = 1000;
    private static final long DEADLINE_MS = 5000;
    private static final long LATE_MS = 300;
    private static final Map<String, RepeatPolicy> CLASSES = Map.of("safe", new RepeatPolicy(Effect.SAFE, 0), "keyed",
            new RepeatPolicy(Effect.KEYED, WINDOW_MS), "unsafe", new RepeatPolicy(Effect.UNSAFE, 0));

    private long nowMs;
    private final MessageRules rules = new MessageRules(() -> nowMs,
            name -> Optional.ofNullable(CLASSES.get(name)), EventLog.ofThisProcess());

    /** A message with one attempt that has begun, and one that is about to. */
    private static AcceptedMessage repeated(String messageClass) {
        AcceptedMessage held = new AcceptedMessage(1, "id", messageClass, "", Optional.empty(), Optional.empty(), 7,
                DEADLINE_MS, new byte[0]);
        held.attempts.add(new AcceptedMessage.Attempt("s-0", 0));
        held.attempts.get(0).neverRan = false;
        held.attempts.add(new AcceptedMessage.Attempt("s-1", 0));
        return held;
    }

    private void assertForbidden(boolean allowed, Violation violation) {
        assertFalse(allowed);
        assertEquals(1, rules.count(violation));
    }

    @Test
    void aMessageThatIsOverIsNotSent() {
        AcceptedMessage over = repeated("safe");
        assertTrue(rules.maySend(over, 1));
        over.ended = true;
        assertForbidden(rules.maySend(over, 1), Violation.SENT_AFTER_END);
    }

    @Test
    void aMessageWhoseEndIsReadIsNotSent() {
        AcceptedMessage read = repeated("safe");
        read.endReceived = true;
        assertForbidden(rules.maySend(read, 1), Violation.SENT_AFTER_END);
    }

    @Test
    void whatMayRunOnlyOnceIsNotSentAgainUnlessItNeverRan() {
        AcceptedMessage once = repeated("unsafe");
        assertTrue(rules.maySend(once, 0), "the attempt itself is no repeat");
        assertForbidden(rules.maySend(once, 1), Violation.REPEATED_ONCE_ONLY);
        once.attempts.get(0).neverRan = true;
        assertTrue(rules.maySend(once, 1));
    }

    @Test
    void whatIsKeyedIsSentAgainInItsWindowOnly() {
        AcceptedMessage keyed = repeated("keyed");
        nowMs = WINDOW_MS;
        assertTrue(rules.maySend(keyed, 1));
        nowMs = WINDOW_MS + 1;
        assertForbidden(rules.maySend(keyed, 1), Violation.REPEATED_AFTER_WINDOW);
        keyed.attempts.get(0).neverRan = true;
        assertTrue(rules.maySend(keyed, 1));
    }

    @Test
    void aMessageEndsOnce() {
        AcceptedMessage held = repeated("safe");
        assertTrue(rules.mayEnd(held));
        held.ended = true;
        assertForbidden(rules.mayEnd(held), Violation.ENDED_TWICE);
    }

    @Test
    void anEndThatIsHeardLateIsCounted() {
        nowMs = DEADLINE_MS + LATE_MS;
        rules.endAcknowledged(repeated("safe"));
        assertEquals(0, rules.count(Violation.ENDED_LATE));
        nowMs++;
        rules.endAcknowledged(repeated("safe"));
        assertEquals(1, rules.count(Violation.ENDED_LATE));
    }

    @Test
    void aConnectionUnderARequestIsClosedOnlyForWhatItsClientDid() {
        for (SubmissionServer.CloseReason reason : SubmissionServer.CloseReason.values()) {
            assertTrue(MessageRules.mayClose(reason, false));
            boolean clients = switch (reason) {
                case REQUEST_NOT_WHOLE, BROKEN, PEER -> true;
                case IDLE, MAKES_ROOM, NO_ROOM, SENT_AWAY -> false;
            };
            assertEquals(clients, MessageRules.mayClose(reason, true), reason.name());
        }
    }
}
