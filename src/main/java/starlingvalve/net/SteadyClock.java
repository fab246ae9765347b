package starlingvalve.net;

/**
 * The clock of deadlines, windows and waits that must still hold in a later process. It advances with the machine's
 * monotonic clock, so that no step of the wall clock changes it. Its base is taken once from the wall clock and
 * recorded in the journal as a {@link Base}; each later process of the same boot uses the same base.
 *
 * <p>After another boot the monotonic clock can't be compared with that of the base. Then, and also if no base is
 * recorded, a new base is taken from the wall clock.
 */
final class SteadyClock {
    /**
     * The time of this clock at one reading of the monotonic clock.
     *
     * @param bootId the boot of the machine to which {@code monotonicMs} refers
     * @param monotonicMs the reading of the monotonic clock when the base was taken
     * @param steadyMs the time of this clock at that moment
     */
    record Base(String bootId, long monotonicMs, long steadyMs) {
    }

    private final TimeSource source;
    private final Base base;

    private SteadyClock(TimeSource source, Base base) {
        this.source = source;
        this.base = base;
    }

    /** Returns a clock with a new base, taken from the wall clock. */
    static SteadyClock fromWallClock(TimeSource source) {
        return new SteadyClock(source, new Base(source.bootId(), source.monotonicMs(), source.wallMs()));
    }

    /** Returns a clock with the base of an earlier process if it is of the same boot, otherwise one with a new base. */
    static SteadyClock resume(TimeSource source, Base earlier) {
        boolean sameBoot = earlier.bootId().equals(source.bootId()) && earlier.monotonicMs() <= source.monotonicMs();
        return sameBoot ? new SteadyClock(source, earlier) : fromWallClock(source);
    }

    Base base() {
        return base;
    }

    long nowMs() {
        return base.steadyMs() + source.monotonicMs() - base.monotonicMs();
    }
}
