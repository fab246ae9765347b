package starlingvalve.net;

/**
 * The time by which deadlines, windows and waits are kept that must hold in a later process: it runs with the machine's
 * monotonic clock, so that no step of the wall clock moves it. Its zero is chosen once, from the wall clock, and kept
 * with the journal as a {@link Base}; each later process of the same boot goes on from there.
 *
 * <p>After another boot, or where no base is known, the monotonic clocks can't be compared: the wall clock is then all
 * there is, and a new base is taken from it.
 */
final class SteadyClock {
    /**
     * Where the zero lies.
     *
     * @param bootId the boot to whose monotonic clock it refers
     * @param monotonicMs the monotonic clock when the base was chosen
     * @param steadyMs the time of this clock then
     */
    record Base(String bootId, long monotonicMs, long steadyMs) {
    }

    private final TimeSource source;
    private final Base base;

    private SteadyClock(TimeSource source, Base base) {
        this.source = source;
        this.base = base;
    }

    /** A clock with a base of its own. */
    static SteadyClock fromWallClock(TimeSource source) {
        return new SteadyClock(source, new Base(source.bootId(), source.monotonicMs(), source.wallMs()));
    }

    /** Goes on with a base of an earlier process, where that means something now. */
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
