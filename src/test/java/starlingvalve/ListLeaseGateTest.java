package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The policy while no calls may be started because the list of endpoints may be out of date. */
class ListLeaseGateTest {
    private static final int SAFE = MessageClasses.SAFE;

    private final PolicyHarness harness = new PolicyHarness().list(1, 10, 11);

    @Test
    void nothingIsSentUntilCallsMayStartAndThenByTheCurrentList() {
        harness.mayStartCalls = false;
        harness.submit(1, SAFE, 1);
        assertEquals(List.of(), harness.sends);
        assertEquals(1, harness.callsHeldBack);
        harness.entry(10, 1, 0, 0, false);
        harness.mayStartCalls = true;
        harness.policy.endTurn(harness.now);
        assertEquals(List.of(11L), harness.sends.stream().map(PolicyHarness.Sent::endpoint).toList());
    }

    @Test
    void permissionIsNotRequestedWhenNoMessageWaits() {
        harness.mayStartCalls = false;
        harness.policy.endTurn(harness.now);
        assertEquals(0, harness.callsHeldBack);
    }

    /** A message whose deadline passes gets its final answer although no calls may be started. */
    @Test
    void finalAnswerIsGivenWhileCallsMayNotStart() {
        harness.mayStartCalls = false;
        harness.submit(1, SAFE, 1);
        harness.advanceTo(harness.now + MessageClasses.CLASSES.get(SAFE).deadlineMs());
        assertEquals(1, harness.answers.size());
        assertEquals(List.of(), harness.sends);
    }

    @Test
    void dueHedgeIsSentOnceCallsMayStart() {
        harness.submit(1, SAFE, 1);
        harness.mayStartCalls = false;
        double hedgeAt = harness.now + MessageClasses.CLASSES.get(SAFE).latencyTargetMs() / 2;
        harness.advanceTo(hedgeAt + 50);
        assertEquals(1, harness.sends.size());
        assertTrue(harness.callsHeldBack > 0);
        harness.mayStartCalls = true;
        harness.advanceTo(hedgeAt + 100);
        assertEquals(2, harness.sends.size());
    }
}
