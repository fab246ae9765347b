package starlingvalve;

/** Estimated latency of an endpoint: moving averages of the answer time and its deviation, in milliseconds. */
final class LatencyEstimate {
    /** Weight of a new answer time in the mean, and of its distance from the mean in the deviation. */
    private static final double WEIGHT = 0.15;

    private double mean;
    private double deviation;

    /** Starts with an assumed mean, and half of it as the deviation. */
    LatencyEstimate(double assumedMs) {
        set(assumedMs, assumedMs / 2);
    }

    /** Replaces the estimate by one from elsewhere. */
    void set(double meanMs, double deviationMs) {
        mean = meanMs;
        deviation = deviationMs;
    }

    /** Adds the answer time of a call. */
    void add(double tookMs) {
        deviation += WEIGHT * (Math.abs(tookMs - mean) - deviation);
        mean += WEIGHT * (tookMs - mean);
    }

    /** Sets the mean to a single answer time; the deviation stays. */
    void restart(double tookMs) {
        mean = tookMs;
    }

    double mean() {
        return mean;
    }

    double deviation() {
        return deviation;
    }

    /** The mean plus the given number of deviations. */
    double meanPlus(double deviations) {
        return mean + deviations * deviation;
    }
}
