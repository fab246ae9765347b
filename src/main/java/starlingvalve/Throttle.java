package starlingvalve;

import java.util.function.DoubleSupplier;

/**
 * Limits extra sends to a share of the first sends of the last period: hedges, which could double the load of a slow
 * endpoint, and retry rounds of refused messages.
 */
final class Throttle {
    private final double base;
    private final double share;
    private final double periodMs;
    private final DoubleSupplier clock;
    private final RecentEvents firstSends;
    private final RecentEvents extraSends;
    private final Timers timers;

    /**
     * @param base number of extra sends per period that are allowed regardless of the first sends
     * @param share further extra sends that are allowed, as a share of the first sends
     * @param firstSends the first sends of the last period
     * @param timers wakes the scheduler when an extra send leaves the period, as another may be allowed then
     */
    Throttle(double base, double share, double periodMs, DoubleSupplier clock, RecentEvents firstSends, Timers timers) {
        this.base = base;
        this.share = share;
        this.periodMs = periodMs;
        this.clock = clock;
        this.firstSends = firstSends;
        this.extraSends = new RecentEvents(clock, periodMs);
        this.timers = timers;
    }

    /** Counts an extra send that was made now. */
    void sent() {
        extraSends.add();
        wakeAfterPeriod(clock.getAsDouble());
    }

    private void wakeAfterPeriod(double sentAt) {
        timers.add(sentAt + periodMs + timers.marginMs(), () -> { });
    }

    /** Whether another extra send may be made now. */
    boolean allows() {
        return extraSends.count() + 1 <= base + share * firstSends.count();
    }

    /** Number of extra sends in the last period. */
    int count() {
        return extraSends.count();
    }

    /** Restores the number of extra sends that another process made in the period before the given time. */
    void restore(int count, double time) {
        extraSends.restore(count, time);
        wakeAfterPeriod(time);
    }
}
