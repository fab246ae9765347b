package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the module does while calls may not go out, as the list of endpoints may be out of date. */
class ListLeaseGateTest {
    private static final int SAFE = MessageClasses.SAFE;

    private final PolicyHarness bench = new PolicyHarness().list(1, 10, 11);

    @Test
    void nothingIsSentUntilCallsMayGoOutAndThenByTheListOfThen() {
        bench.mayStartCalls = false;
        bench.submit(1, SAFE, 1);
        assertEquals(List.of(), bench.sends);
        assertEquals(1, bench.callsHeldBack);
        bench.entry(10, 1, 0, 0, false);
        bench.mayStartCalls = true;
        bench.policy.endTurn(bench.now);
        assertEquals(List.of(11L), bench.sends.stream().map(PolicyHarness.Sent::endpoint).toList());
    }

    @Test
    void nobodyIsAskedWhereNothingWaits() {
        bench.mayStartCalls = false;
        bench.policy.endTurn(bench.now);
        assertEquals(0, bench.callsHeldBack);
    }

    /** A message whose time is up is answered all the same. */
    @Test
    void finalAnswersDoNotWait() {
        bench.mayStartCalls = false;
        bench.submit(1, SAFE, 1);
        bench.advanceTo(bench.now + MessageClasses.CLASSES.get(SAFE).deadlineMs());
        assertEquals(1, bench.answers.size());
        assertEquals(List.of(), bench.sends);
    }

    @Test
    void aCopyThatIsDueIsSentOnceCallsMayGoOut() {
        bench.submit(1, SAFE, 1);
        bench.mayStartCalls = false;
        double due = bench.now + MessageClasses.CLASSES.get(SAFE).latencyTargetMs() / 2;
        bench.advanceTo(due + 50);
        assertEquals(1, bench.sends.size());
        assertTrue(bench.callsHeldBack > 0);
        bench.mayStartCalls = true;
        bench.advanceTo(due + 100);
        assertEquals(2, bench.sends.size());
    }
}
