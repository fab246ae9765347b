package starlingvalve;

import java.util.function.DoubleSupplier;

/** Events a millisecond over the last stretch of time in which they were watched, weighed by age. */
final class Rate {
    private final DoubleSupplier clock;
    private final double periodMs;
    private final double leastMs;
    private double events;
    private double over;
    private double at;

    /** Averages over about the period; a shorter time than the least counts as the least. */
    Rate(DoubleSupplier clock, double periodMs, double leastMs) {
        this.clock = clock;
        this.periodMs = periodMs;
        this.leastMs = leastMs;
        this.at = clock.getAsDouble();
    }

    void count() {
        age();
        events++;
    }

    /** Watches again after a time that does not count. */
    void resume() {
        at = clock.getAsDouble();
    }

    double perMs() {
        return events / Math.max(over, leastMs);
    }

    DeliveryPolicy.RateSnapshot snapshot() {
        return new DeliveryPolicy.RateSnapshot(events, over);
    }

    void restore(DeliveryPolicy.RateSnapshot m) {
        events = m.events();
        over = m.over();
        resume();
    }

    private void age() {
        double now = clock.getAsDouble();
        double kept = Math.exp((at - now) / periodMs);
        events *= kept;
        over = over * kept + periodMs * (1 - kept);
        at = now;
    }
}
