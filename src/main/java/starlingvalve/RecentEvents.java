package starlingvalve;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/** Counts events in a sliding window: the period that ends now. */
final class RecentEvents {
    private final DoubleSupplier clock;
    private final double periodMs;
    private final Deque<Double> times = new ArrayDeque<>();

    RecentEvents(DoubleSupplier clock, double periodMs) {
        this.clock = clock;
        this.periodMs = periodMs;
    }

    /** Adds an event that occurs now, and removes those that have left the period. */
    void add() {
        times.add(clock.getAsDouble());
        removeExpired();
    }

    /** Replaces the events by a count from elsewhere, as if all of them had occurred at the given time. */
    void restore(int count, double time) {
        times.clear();
        times.addAll(Collections.nCopies(count, time));
    }

    /** Number of events within the period that ends now. */
    int count() {
        removeExpired();
        return times.size();
    }

    /** Number of events within the period that ended with the latest event. */
    int countUntilLatest() {
        return times.size();
    }

    /** Time of the latest event; {@code NaN} without one, so that every comparison with it is false. */
    double latestAt() {
        return times.isEmpty() ? Double.NaN : times.peekLast();
    }

    private void removeExpired() {
        double start = clock.getAsDouble() - periodMs;
        while (!times.isEmpty() && times.peek() < start) {
            times.remove();
        }
    }
}
