package starlingvalve;

/** The usual answer time of an endpoint: a running mean with its mean deviation, in milliseconds. */
final class LatencyEstimate {
    /** Weight of a new answer time in the mean, and of its distance in the deviation. */
    private static final double WEIGHT = 0.15;

    private double mean;
    private double deviation;

    /** Assumes a mean, and half of it as its deviation, until answers come. */
    LatencyEstimate(double assumedMs) {
        set(assumedMs, assumedMs / 2);
    }

    /** Takes over what was estimated elsewhere. */
    void set(double meanMs, double deviationMs) {
        mean = meanMs;
        deviation = deviationMs;
    }

    /** An answer took so long. */
    void add(double tookMs) {
        deviation += WEIGHT * (Math.abs(tookMs - mean) - deviation);
        mean += WEIGHT * (tookMs - mean);
    }

    /** Begins again with one answer time; the deviation stays. */
    void restart(double tookMs) {
        mean = tookMs;
    }

    double mean() {
        return mean;
    }

    double deviation() {
        return deviation;
    }

    /** The mean and so many deviations. */
    double bound(double deviations) {
        return mean + deviations * deviation;
    }
}
