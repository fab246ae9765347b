package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static starlingvalve.MessageClasses.KEYED;
import static starlingvalve.MessageClasses.NEVER_LATE;
import static starlingvalve.MessageClasses.SAFE;

import java.util.List;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.AttemptEnd;
import starlingvalve.DeliveryPolicy.Outcome;

/**
 * Where second copies are forbidden, a message must not be sent again while a call that carries it is in flight, even if
 * only other messages still wait for that call.
 */
class SecondCopyTest {
    private static final int BATCHED_KIND = 1;

    private final PolicyHarness harness = PolicyHarness.withoutHedging()
            .entry(10, 1, BATCHED_KIND, 0, true).entry(11, 1, BATCHED_KIND, 0, true);

    /** The attempt of message 1 ends while message 2 still waits for the call that carries both. */
    private void leaveSharedCall(Outcome outcome) {
        harness.policy.attemptEnded(harness.now, new AttemptEnd(1, 0, outcome, 10, false, 0, true));
        harness.policy.endTurn(harness.now);
    }

    private void endSharedCall() {
        harness.policy.callEnded(harness.now, 1);
        harness.policy.endTurn(harness.now);
    }

    @Test
    void messageThatLeftSharedCallIsSentAgainOnlyOnceThatCallHasEnded() {
        harness.submitTogether(2, SAFE, 1);
        leaveSharedCall(Outcome.TIMED_OUT);
        harness.advanceTo(4000);
        assertEquals(List.of(1L, 2L), harness.sent());
        assertEquals(List.of(), harness.answers, "it may still be delivered, by its call or a later one");
        endSharedCall();
        assertEquals(List.of(1L, 2L, 1L), harness.sent());
    }

    @Test
    void messageThatWaitsForItsCallUntilItsDeadlineIsAnsweredThen() {
        harness.submitTogether(2, NEVER_LATE, 1);
        leaveSharedCall(Outcome.TIMED_OUT);
        harness.advanceTo(5000);
        assertEquals(List.of(1L, 2L), harness.sent());
        assertEquals("refuse 1", harness.answers.get(0));
    }

    @Test
    void keyedMessageThatWaitsForItsCallIsAnsweredOnceItsWindowHasPassed() {
        harness.submitTogether(2, KEYED, 1);
        leaveSharedCall(Outcome.TIMED_OUT);
        harness.advanceTo(3600);
        assertEquals(List.of(), harness.answers);
        harness.advanceTo(3800);
        assertEquals(List.of("refuse 1"), harness.answers);
        endSharedCall();
        harness.advanceTo(6000);
        assertEquals(List.of(1L, 2L), harness.sent());
    }

    /** The next process must not send it either while the call is in flight in this one. */
    @Test
    void messageWaitsInNextProcessForCallOfThisOne() {
        harness.submitTogether(2, SAFE, 1);
        leaveSharedCall(Outcome.TIMED_OUT);
        PolicyHarness next = PolicyHarness.withoutHedging()
                .entry(10, 1, BATCHED_KIND, 0, true).entry(11, 1, BATCHED_KIND, 0, true);
        next.policy.restore(next.now, next.now, harness.policy.snapshot(harness.now));
        next.policy.endTurn(next.now);
        next.advanceTo(4000);
        assertEquals(List.of(), next.sent());
        next.policy.callEnded(next.now, 1);
        next.policy.endTurn(next.now);
        assertEquals(List.of(1L), next.sent());
    }
}
