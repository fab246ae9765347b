package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import starlingvalve.net.MessageHistory.Kind;

/** Checks that {@link MessageHistory} reports histories that break a rule, and no history that only resembles one. */
class MessageHistoryTest {
    private static final long BEYOND_GRACE_NANOS = 2 * MessageHistory.GRACE_NANOS;

    private static List<String> violations(boolean atMostOnce, Kind... kinds) {
        MessageHistory history = new MessageHistory("id", atMostOnce);
        for (int i = 0; i < kinds.length; i++) {
            history.add(i * BEYOND_GRACE_NANOS, kinds[i]);
        }
        return history.violations();
    }

    @Test
    void violationOfEachRuleIsReported() {
        assertEquals(List.of("accepted and never ended"), violations(false, Kind.ACCEPTED, Kind.CALLED));
        assertEquals(List.of("called after an answer had accepted it"),
                violations(false, Kind.ACCEPTED, Kind.CALLED, Kind.DELIVERED, Kind.CALLED));
        assertEquals(List.of("called after its notice was acknowledged"),
                violations(false, Kind.ACCEPTED, Kind.NOTICE_ACKNOWLEDGED, Kind.KILLED, Kind.CALLED));
        assertEquals(List.of("called after an answer had accepted it"),
                violations(false, Kind.ACCEPTED, Kind.CALLED, Kind.DELIVERED, Kind.KILLED, Kind.CALLED),
                "killed long after the answer");
        assertEquals(List.of("called again though it may have been executed"),
                violations(true, Kind.ACCEPTED, Kind.CALLED, Kind.DELIVERED_LATE, Kind.CALLED));
        assertEquals(List.of("called again though it may have been executed"),
                violations(true, Kind.ACCEPTED, Kind.CALLED, Kind.KILLED, Kind.CALLED, Kind.NOTICE_ACKNOWLEDGED));
    }

    @Test
    void permittedHistoriesAreNotReported() {
        assertEquals(List.of(), violations(false, Kind.CALLED), "its client never received the 202");
        assertEquals(List.of(), violations(false, Kind.ACCEPTED, Kind.CALLED, Kind.CALLED, Kind.DELIVERED),
                "a repeat of a safe message");
        assertEquals(List.of(),
                violations(true, Kind.ACCEPTED, Kind.CALLED, Kind.NOT_EXECUTED, Kind.CALLED, Kind.DELIVERED));
        MessageHistory killed = new MessageHistory("id", false);
        killed.add(0, Kind.ACCEPTED);
        killed.add(1, Kind.DELIVERED);
        killed.add(2, Kind.KILLED);
        killed.add(BEYOND_GRACE_NANOS, Kind.CALLED);
        assertEquals(List.of(), killed.violations(), "the kill may have come before the answer was read");
        assertEquals(List.of(), violations(false, Kind.ACCEPTED, Kind.CALLED, Kind.DELIVERED_LATE),
                "delivered, though late");
        assertEquals(List.of(), violations(false, Kind.ACCEPTED, Kind.CALLED, Kind.DELIVERED_LATE, Kind.CALLED),
                "the late answer may not have been read");
        MessageHistory callInFlight = new MessageHistory("id", false);
        callInFlight.add(0, Kind.ACCEPTED);
        callInFlight.add(1, Kind.DELIVERED);
        callInFlight.add(1 + MessageHistory.GRACE_NANOS, Kind.CALLED);
        assertEquals(List.of(), callInFlight.violations(), "the call was already in flight");
    }
}
