package starlingvalve;

import java.util.function.DoubleSupplier;

/** Events per millisecond, as an average over the observed time in which older events and times weigh less. */
final class Rate {
    private final DoubleSupplier clock;
    private final double periodMs;
    private final double minMs;
    private double events;
    private double observedMs;
    private double updatedAt;

    /** Averages over about {@code periodMs}; an observed time shorter than {@code minMs} counts as {@code minMs}. */
    Rate(DoubleSupplier clock, double periodMs, double minMs) {
        this.clock = clock;
        this.periodMs = periodMs;
        this.minMs = minMs;
        this.updatedAt = clock.getAsDouble();
    }

    /** Counts an event that occurs now. */
    void add() {
        advance();
        events++;
    }

    /** Resumes observation; the time since the last event does not count. */
    void resume() {
        updatedAt = clock.getAsDouble();
    }

    double perMs() {
        return events / Math.max(observedMs, minMs);
    }

    DeliveryPolicy.RateSnapshot snapshot() {
        return new DeliveryPolicy.RateSnapshot(events, observedMs);
    }

    void restore(DeliveryPolicy.RateSnapshot snapshot) {
        events = snapshot.events();
        observedMs = snapshot.over();
        resume();
    }

    private void advance() {
        double now = clock.getAsDouble();
        double retainedShare = Math.exp((updatedAt - now) / periodMs);
        events *= retainedShare;
        observedMs = observedMs * retainedShare + periodMs * (1 - retainedShare);
        updatedAt = now;
    }
}
