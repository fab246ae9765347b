package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which calls to draining servers {@link DrainChecker} reports and which it excuses. */
class DrainCheckerTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long GRACE_NANOS = DrainChecker.GRACE_NANOS;

    private final DrainChecker checker = new DrainChecker();

    private List<String> violations() {
        return checker.violations((from, to) -> 0);
    }

    @Test
    void onlyCallsAfterTheGracePeriodAreViolations() {
        checker.withdrawn("s", 1000 * NANOS_PER_MS);
        checker.called("s", 1000 * NANOS_PER_MS + GRACE_NANOS);
        checker.called("other", 9000 * NANOS_PER_MS);
        assertEquals(List.of(), violations());
        checker.called("s", 1000 * NANOS_PER_MS + GRACE_NANOS + 1);
        assertEquals(List.of("called s 300 ms after the notification of its drain"), violations());
    }

    @Test
    void changeDuringOutageIsNotifiedAtItsEnd() {
        checker.outage(500 * NANOS_PER_MS, 3000 * NANOS_PER_MS);
        checker.withdrawn("s", 1000 * NANOS_PER_MS);
        checker.called("s", 3000 * NANOS_PER_MS + GRACE_NANOS);
        assertEquals(List.of(), violations());
        checker.called("s", 3000 * NANOS_PER_MS + GRACE_NANOS + 1);
        assertEquals(1, violations().size());
    }

    @Test
    void changeBeforeOutageIsNotifiedAtOnce() {
        checker.outage(1001 * NANOS_PER_MS, 3000 * NANOS_PER_MS);
        checker.withdrawn("s", 1000 * NANOS_PER_MS);
        checker.called("s", 1000 * NANOS_PER_MS + GRACE_NANOS + 1);
        assertEquals(1, violations().size());
    }

    @Test
    void changeAfterSighupIsNotifiedFourSecondsAfterTheSignal() {
        checker.moved(900 * NANOS_PER_MS);
        checker.withdrawn("s", 1000 * NANOS_PER_MS);
        checker.called("s", 4900 * NANOS_PER_MS + GRACE_NANOS);
        assertEquals(List.of(), violations());
        checker.called("s", 4900 * NANOS_PER_MS + GRACE_NANOS + 1);
        assertEquals(1, violations().size());
    }

    @Test
    void firstWithdrawalOfServerCounts() {
        checker.withdrawn("s", 1000 * NANOS_PER_MS);
        checker.withdrawn("s", 5000 * NANOS_PER_MS);
        checker.called("s", 2000 * NANOS_PER_MS);
        assertEquals(1, violations().size());
    }

    @Test
    void machineStallExcusesLatenessUpToItsLength() {
        checker.withdrawn("s", 1000 * NANOS_PER_MS);
        checker.called("s", 1000 * NANOS_PER_MS + GRACE_NANOS + 40 * NANOS_PER_MS);
        assertEquals(List.of(), checker.violations((from, to) -> 40 * NANOS_PER_MS));
        assertEquals(1, checker.violations((from, to) -> 39 * NANOS_PER_MS).size());
    }
}
