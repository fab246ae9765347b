package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The judge of the rule on draining servers: what breaks the rule, and what only looks like it. */
class DrainRecordTest {
    private static final long MS = 1_000_000;
    private static final long GRACE = DrainRecord.GRACE_NANOS;

    private final DrainRecord record = new DrainRecord();

    private List<String> violations() {
        return record.violations((from, to) -> 0);
    }

    @Test
    void aCallBehindTheGraceBreaksTheRuleAndOneWithinDoesNot() {
        record.withdrawn("s", 1000 * MS);
        record.called("s", 1000 * MS + GRACE);
        record.called("other", 9000 * MS);
        assertEquals(List.of(), violations());
        record.called("s", 1000 * MS + GRACE + 1);
        assertEquals(List.of("called s 300 ms after the drain was told"), violations());
    }

    @Test
    void whatChangesInAnOutageIsToldAtItsEnd() {
        record.outage(500 * MS, 3000 * MS);
        record.withdrawn("s", 1000 * MS);
        record.called("s", 3000 * MS + GRACE);
        assertEquals(List.of(), violations());
        record.called("s", 3000 * MS + GRACE + 1);
        assertEquals(1, violations().size());
    }

    @Test
    void whatChangedBeforeAnOutageWasToldThen() {
        record.outage(1001 * MS, 3000 * MS);
        record.withdrawn("s", 1000 * MS);
        record.called("s", 1000 * MS + GRACE + 1);
        assertEquals(1, violations().size());
    }

    @Test
    void whatChangesBehindASignalIsToldFourSecondsAfterTheSignal() {
        record.moved(900 * MS);
        record.withdrawn("s", 1000 * MS);
        record.called("s", 4900 * MS + GRACE);
        assertEquals(List.of(), violations());
        record.called("s", 4900 * MS + GRACE + 1);
        assertEquals(1, violations().size());
    }

    @Test
    void aServerIsWithdrawnWhenItFirstDrains() {
        record.withdrawn("s", 1000 * MS);
        record.withdrawn("s", 5000 * MS);
        record.called("s", 2000 * MS);
        assertEquals(1, violations().size());
    }

    @Test
    void aCallThatIsLateByLessThanTheMachineStoodStillBreaksNothing() {
        record.withdrawn("s", 1000 * MS);
        record.called("s", 1000 * MS + GRACE + 40 * MS);
        assertEquals(List.of(), record.violations((from, to) -> 40 * MS));
        assertEquals(1, record.violations((from, to) -> 39 * MS).size());
    }
}
