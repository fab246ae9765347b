package starlingvalve;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/** Times of events within a period before now, for counts over a sliding window. */
final class RecentEvents {
    private final DoubleSupplier clock;
    private final double periodMs;
    private final Deque<Double> times = new ArrayDeque<>();

    RecentEvents(DoubleSupplier clock, double periodMs) {
        this.clock = clock;
        this.periodMs = periodMs;
    }

    /** Counts an event now, and forgets those that the period has left behind. */
    void add() {
        times.add(clock.getAsDouble());
        forget();
    }

    /** Starts from a count taken elsewhere, as if all of its events had come at one time. */
    void restore(int count, double at) {
        times.clear();
        times.addAll(Collections.nCopies(count, at));
    }

    /** Events within the period that ends now. */
    int count() {
        forget();
        return times.size();
    }

    /** Events within the period that ended with the latest one. */
    int countUntilLatest() {
        return times.size();
    }

    /** Time of the latest event, if one is known; not a number otherwise, which compares as false. */
    double latestAt() {
        return times.isEmpty() ? Double.NaN : times.peekLast();
    }

    private void forget() {
        double from = clock.getAsDouble() - periodMs;
        while (!times.isEmpty() && times.peek() < from) {
            times.remove();
        }
    }
}
