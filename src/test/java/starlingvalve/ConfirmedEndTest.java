package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static starlingvalve.MessageClasses.UNSAFE;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Messages whose delivery a response has reported, until the notice that confirms their end is acknowledged. */
class ConfirmedEndTest {
    private static PolicyHarness twoMessagesOfOneKey() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        for (long id = 1; id <= 2; id++) {
            harness.policy.messageAccepted(harness.now,
                    new DeliveryPolicy.Message(id, UNSAFE, 0, Optional.of("key"), 20_000, 1));
        }
        harness.policy.endTurn(harness.now);
        assertEquals(List.of(1L), harness.sent());
        return harness;
    }

    @Test
    void nextMessageOfKeyWaitsUntilNoticeIsAcknowledged() {
        PolicyHarness harness = twoMessagesOfOneKey();
        harness.policy.endConfirmationPending(harness.now, 1);
        harness.policy.attemptEnded(harness.now,
                new DeliveryPolicy.AttemptEnd(1, 0, Outcome.DELIVERED, 10, true, 0, false));
        harness.policy.endTurn(harness.now);
        harness.advanceTo(harness.now + 3000);
        assertEquals(List.of(1L), harness.sent(), "the end is not acknowledged yet");
        harness.policy.endAcknowledged(harness.now, 1);
        harness.policy.endTurn(harness.now);
        harness.advanceTo(harness.now + 3000);
        assertEquals(List.of(1L, 2L), harness.sent());
        assertEquals(List.of(), harness.answers, "the response has ended the message");
    }

    @Test
    void messageWithPendingEndIsNotSentAgain() {
        PolicyHarness harness = twoMessagesOfOneKey();
        harness.policy.attemptEnded(harness.now,
                new DeliveryPolicy.AttemptEnd(1, 0, Outcome.NOT_SENT, 10, false, 0, true));
        harness.policy.endConfirmationPending(harness.now, 1);
        harness.policy.endTurn(harness.now);
        harness.advanceTo(harness.now + 3000);
        assertEquals(List.of(1L), harness.sent());
        harness.policy.callEnded(harness.now, 1);
        harness.policy.endTurn(harness.now);
        harness.advanceTo(harness.now + 3000);
        assertEquals(List.of(1L), harness.sent(), "the notice is not acknowledged yet");
        harness.policy.endAcknowledged(harness.now, 1);
        harness.policy.endTurn(harness.now);
        harness.advanceTo(harness.now + 3000);
        assertEquals(List.of(1L, 2L), harness.sent());
        assertEquals(List.of(), harness.answers);
    }

    @Test
    void unknownOrWithdrawnMessageIsIgnored() {
        PolicyHarness harness = twoMessagesOfOneKey();
        harness.policy.endConfirmationPending(harness.now, 7);
        harness.policy.messageWithdrawn(harness.now, 1);
        harness.policy.endConfirmationPending(harness.now, 1);
        harness.policy.endTurn(harness.now);
        assertEquals(List.of(1L), harness.sent());
    }
}
