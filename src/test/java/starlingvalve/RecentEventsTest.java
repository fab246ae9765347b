package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

/** Counts of events in a sliding window. */
class RecentEventsTest {
    private static final double PERIOD_MS = 1000;

    private double now;
    private final RecentEvents events = new RecentEvents(() -> now, PERIOD_MS);

    @Test
    void eventCountsUntilThePeriodHasPassed() {
        events.add();
        now = 400;
        events.add();
        now = PERIOD_MS;
        assertEquals(2, events.count());
        now = PERIOD_MS + 1;
        assertEquals(1, events.count());
        assertEquals(400, events.latestAt());
    }

    @Test
    void countUntilLatestDoesNotChangeAsTimePasses() {
        events.add();
        events.add();
        now = 5 * PERIOD_MS;
        assertEquals(2, events.countUntilLatest());
        events.add();
        assertEquals(1, events.countUntilLatest());
    }

    @Test
    void restoredCountReplacesEarlierEvents() {
        events.add();
        events.restore(3, now);
        assertEquals(3, events.count());
        now = PERIOD_MS + 1;
        assertEquals(0, events.count());
    }

    @Test
    void latestTimeWithoutEventsComparesAsFalse() {
        assertFalse(events.latestAt() < Double.POSITIVE_INFINITY);
    }
}
