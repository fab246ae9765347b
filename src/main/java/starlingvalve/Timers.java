package starlingvalve;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.DoubleConsumer;

/** Actions that are due later, and a single requested wake for the earliest of them. */
final class Timers {
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::dueAt).thenComparingLong(Timer::sequence));
    private final double marginMs;
    private final DoubleConsumer requestWake;
    private long added;
    private double requestedAt = Double.POSITIVE_INFINITY;

    private record Timer(double dueAt, long sequence, Runnable action) {
    }

    /** A wake up to {@code marginMs} early counts as the requested one, because clocks are rounded. */
    Timers(double marginMs, DoubleConsumer requestWake) {
        this.marginMs = marginMs;
        this.requestWake = requestWake;
    }

    /** Time in milliseconds by which a wake may come early. */
    double marginMs() {
        return marginMs;
    }

    /** Schedules an action; actions of the same time run in the order in which they were added. */
    void add(double dueAt, Runnable action) {
        timers.add(new Timer(dueAt, added++, action));
    }

    /** Runs all actions that are due, even if some throw; the first exception is rethrown at the end. */
    void run(double now) {
        FaultCollector faults = new FaultCollector();
        while (!timers.isEmpty() && timers.peek().dueAt() <= now) {
            faults.collect(timers.remove().action());
        }
        faults.rethrow();
    }

    /** Requests a wake for the earliest action, or for {@code latest} if that is earlier. */
    void requestNextWake(double now, double latest) {
        double next = Math.min(latest, timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().dueAt());
        if (requestedAt <= now + marginMs || next < requestedAt) {
            requestedAt = next;
            if (next < Double.POSITIVE_INFINITY) {
                requestWake.accept(next);
            }
        }
    }
}
