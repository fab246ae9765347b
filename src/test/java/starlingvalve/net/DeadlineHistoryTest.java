package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks the rule on lost messages on histories of a message that is sent at 0 ms with a budget of 1,000 ms. */
class DeadlineHistoryTest {
    private static final long DUE_MS = 1000 + DeadlineHistory.TOLERANCE_MS;

    private final DeadlineHistory history = new DeadlineHistory("m", 0, 1000);

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private Optional<String> violation(DeadlineHistory.Restart... restarts) {
        return history.violation(List.of(restarts), (from, to) -> 0);
    }

    @Test
    void unacceptedMessageNeedsNoEnd() {
        assertEquals(Optional.empty(), violation());
    }

    @Test
    void endWithinTimeIsNoViolation() {
        history.accepted(nanos(1));
        history.ended(nanos(DUE_MS), "notice bounced");
        assertEquals(Optional.empty(), violation());
    }

    @Test
    void firstLateEndIsViolationDespiteFurtherEnds() {
        history.accepted(nanos(1));
        history.ended(nanos(DUE_MS + 1), "notice bounced");
        history.ended(nanos(DUE_MS + 9), "notice bounced");
        assertEquals(Optional.of("ended 1 ms too late"), violation());
    }

    @Test
    void machineStallExcusesLatenessUpToItsLength() {
        history.accepted(nanos(1));
        history.ended(nanos(DUE_MS + 100), "notice bounced");
        assertEquals(Optional.empty(), history.violation(List.of(), (from, to) -> nanos(100)));
        assertEquals(Optional.of("ended 100 ms too late"), history.violation(List.of(), (from, to) -> nanos(99)));
    }

    @Test
    void missingEndIsViolation() {
        history.accepted(nanos(1));
        assertEquals(Optional.of("accepted and never ended"), violation());
    }

    @Test
    void nothingIsOverdueDuringRestartButAfterIt() {
        DeadlineHistory.Restart restart = new DeadlineHistory.Restart(nanos(DUE_MS - 500), nanos(DUE_MS + 500));
        history.accepted(nanos(1));
        history.ended(nanos(DUE_MS + 501), "notice bounced");
        assertEquals(Optional.of("ended 1 ms too late"), violation(restart));
        assertEquals(Optional.of("ended 501 ms too late"),
                violation(new DeadlineHistory.Restart(nanos(DUE_MS + 1), nanos(DUE_MS + 900))));
    }
}
