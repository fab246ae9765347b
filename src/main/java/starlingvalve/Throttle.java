package starlingvalve;

import java.util.function.DoubleSupplier;

/**
 * Bounds extra sends by a share of the first sends of the last period: copies, lest a slow endpoint double the load,
 * and new waves of refused messages.
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
     * @param base so many extra sends are allowed whatever else is sent
     * @param share and this share of the first sends
     * @param firstSends the first sends of the last period
     * @param timers told when an extra send leaves the period, as another may be allowed then
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

    /** An extra send has been made. */
    void sent() {
        extraSends.add();
        wakeAfterPeriod(clock.getAsDouble());
    }

    private void wakeAfterPeriod(double from) {
        timers.add(from + periodMs + timers.marginMs(), () -> { });
    }

    /** Whether another extra send may be made now. */
    boolean allows() {
        return extraSends.count() + 1 <= base + share * firstSends.count();
    }

    /** Extra sends in the last period. */
    int count() {
        return extraSends.count();
    }

    /** So many extra sends were made in the period up to this time, as another process tells. */
    void restore(int count, double at) {
        extraSends.restore(count, at);
        wakeAfterPeriod(at);
    }
}
