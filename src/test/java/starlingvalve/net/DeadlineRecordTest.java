package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The judge of the upgrade soak, on records of a message that is sent at 0 ms with a budget of 1,000 ms. */
class DeadlineRecordTest {
    private static final long DUE_MS = 1000 + DeadlineRecord.TOLERANCE_MS;

    private final DeadlineRecord record = new DeadlineRecord("m", 0, 1000);

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private Optional<String> violation(DeadlineRecord.Restart... restarts) {
        return record.violation(List.of(restarts), (from, to) -> 0);
    }

    @Test
    void whatWasNotTakenOnIsOwedNothing() {
        assertEquals(Optional.empty(), violation());
    }

    @Test
    void anEndInTimeIsNoViolation() {
        record.taken(nanos(1));
        record.ended(nanos(DUE_MS), "notice bounced");
        assertEquals(Optional.empty(), violation());
    }

    @Test
    void aLaterEndIsOneThoughAnotherFollows() {
        record.taken(nanos(1));
        record.ended(nanos(DUE_MS + 1), "notice bounced");
        record.ended(nanos(DUE_MS + 9), "notice bounced");
        assertEquals(Optional.of("ended 1 ms too late"), violation());
    }

    @Test
    void aStallOfTheMachineExcusesNoMoreThanItLasted() {
        record.taken(nanos(1));
        record.ended(nanos(DUE_MS + 100), "notice bounced");
        assertEquals(Optional.empty(), record.violation(List.of(), (from, to) -> nanos(100)));
        assertEquals(Optional.of("ended 100 ms too late"), record.violation(List.of(), (from, to) -> nanos(99)));
    }

    @Test
    void noEndIsOne() {
        record.taken(nanos(1));
        assertEquals(Optional.of("taken on and never ended"), violation());
    }

    @Test
    void nothingIsOverdueAroundAPlainRestartAndAllIsAfter() {
        DeadlineRecord.Restart restart = new DeadlineRecord.Restart(nanos(DUE_MS - 500), nanos(DUE_MS + 500));
        record.taken(nanos(1));
        record.ended(nanos(DUE_MS + 501), "notice bounced");
        assertEquals(Optional.of("ended 1 ms too late"), violation(restart));
        assertEquals(Optional.of("ended 501 ms too late"),
                violation(new DeadlineRecord.Restart(nanos(DUE_MS + 1), nanos(DUE_MS + 900))));
    }
}
