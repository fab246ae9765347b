package starlingvalve;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.DoubleConsumer;

/** What is due later, and the one wake that is asked for it. It decides nothing. */
final class Timers {
    private final PriorityQueue<Timer> due =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::number));
    private final double marginMs;
    private final DoubleConsumer wakeAt;
    private long count;
    private double asked = Double.POSITIVE_INFINITY;

    private record Timer(double at, long number, Runnable action) {
    }

    /** A wake that comes so early counts as come: clocks are rounded. */
    Timers(double marginMs, DoubleConsumer wakeAt) {
        this.marginMs = marginMs;
        this.wakeAt = wakeAt;
    }

    /** So early a wake may come. */
    double marginMs() {
        return marginMs;
    }

    void add(double at, Runnable action) {
        due.add(new Timer(at, count++, action));
    }

    /** Runs all that is due. One that fails does not hold back the others; its fault is thrown at the end. */
    void run(double now) {
        FaultCollector faults = new FaultCollector();
        while (!due.isEmpty() && due.peek().at() <= now) {
            faults.collect(due.remove().action());
        }
        faults.rethrow();
    }

    /** Asks for a wake at what is due first, or at the given time if that comes before. */
    void ask(double now, double opening) {
        double next = Math.min(opening, due.isEmpty() ? Double.POSITIVE_INFINITY : due.peek().at());
        if (asked <= now + marginMs || next < asked) {
            asked = next;
            if (next < Double.POSITIVE_INFINITY) {
                wakeAt.accept(next);
            }
        }
    }
}
