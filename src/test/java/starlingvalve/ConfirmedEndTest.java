package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static starlingvalve.MessageClasses.UNSAFE;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** A message that an answer calls delivered, until the notice that confirms it is heard. */
class ConfirmedEndTest {
    private static PolicyHarness twoOfOneKey() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        for (long id = 1; id <= 2; id++) {
            b.policy.messageAccepted(b.now, new DeliveryPolicy.Message(id, UNSAFE, 0, Optional.of("key"), 20_000, 1));
        }
        b.policy.endTurn(b.now);
        assertEquals(List.of(1L), b.sent());
        return b;
    }

    @Test
    void theNextOfItsKeyWaitsUntilTheNoticeIsHeard() {
        PolicyHarness b = twoOfOneKey();
        b.policy.endConfirmationPending(b.now, 1);
        b.policy.attemptEnded(b.now, new DeliveryPolicy.AttemptEnd(1, 0, Outcome.DELIVERED, 10, true, 0, false));
        b.policy.endTurn(b.now);
        b.advanceTo(b.now + 3000);
        assertEquals(List.of(1L), b.sent(), "its end is not heard yet");
        b.policy.endAcknowledged(b.now, 1);
        b.policy.endTurn(b.now);
        b.advanceTo(b.now + 3000);
        assertEquals(List.of(1L, 2L), b.sent());
        assertEquals(List.of(), b.answers, "an answer has ended it");
    }

    @Test
    void whatHasLeftItsCallIsNotSentAgain() {
        PolicyHarness b = twoOfOneKey();
        b.policy.attemptEnded(b.now, new DeliveryPolicy.AttemptEnd(1, 0, Outcome.NOT_SENT, 10, false, 0, true));
        b.policy.endConfirmationPending(b.now, 1);
        b.policy.endTurn(b.now);
        b.advanceTo(b.now + 3000);
        assertEquals(List.of(1L), b.sent());
        b.policy.callEnded(b.now, 1);
        b.policy.endTurn(b.now);
        b.advanceTo(b.now + 3000);
        assertEquals(List.of(1L), b.sent(), "its notice is still to be heard");
        b.policy.endAcknowledged(b.now, 1);
        b.policy.endTurn(b.now);
        b.advanceTo(b.now + 3000);
        assertEquals(List.of(1L, 2L), b.sent());
        assertEquals(List.of(), b.answers);
    }

    @Test
    void aMessageThatIsNotKnownIsPassedOver() {
        PolicyHarness b = twoOfOneKey();
        b.policy.endConfirmationPending(b.now, 7);
        b.policy.messageWithdrawn(b.now, 1);
        b.policy.endConfirmationPending(b.now, 1);
        b.policy.endTurn(b.now);
        assertEquals(List.of(1L), b.sent());
    }
}
