package starlingvalve.net;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A destination of a soak test, whose endpoints change their behaviour from time to time. */
final class FaultyDestination {
    /** The behaviour of an endpoint towards a call; it refuses with 503 and throttles with 429 and Retry-After. */
    enum Mode { ACCEPTS, REFUSES, THROTTLES, FAILS, SLOW, HANGS, RESETS }

    /** The behaviour of all endpoints of a destination for a period. */
    enum Phase {
        /** All endpoints accept. */
        HEALTHY,
        /** Each endpoint has its own fault, or none, for the whole period. */
        FAULTS,
        /**
         * One endpoint is slow or hangs and the others reject calls at once, so that a hedge ends before the attempt
         * that it hedges.
         */
        ONE_SLOW,
        /** Each call gets a random fault, or none. */
        ANY_FAULT
    }

    private static final List<Mode> IMMEDIATE_REJECTIONS = List.of(Mode.REFUSES, Mode.THROTTLES, Mode.FAILS);

    private final int number;
    private final Random random;
    private final BooleanSupplier faultsEnded;
    private final Mode[] modes;
    private Phase phase = Phase.HEALTHY;
    private long phaseEndNanos = System.nanoTime();

    FaultyDestination(int number, int endpointCount, Random random, BooleanSupplier faultsEnded) {
        this.faultsEnded = faultsEnded;
        this.number = number;
        this.random = random;
        this.modes = new Mode[endpointCount];
    }

    int number() {
        return number;
    }

    /**
     * Returns the current behaviour of an endpoint towards a call. {@code healthyPercent} is the probability, in
     * percent, that a new phase is a healthy one.
     */
    synchronized Mode mode(int endpoint, int healthyPercent) {
        if (faultsEnded.getAsBoolean()) {
            return Mode.ACCEPTS;
        }
        if (System.nanoTime() - phaseEndNanos >= 0) {
            nextPhase(healthyPercent);
        }
        return phase == Phase.ANY_FAULT ? pickMode(List.of(Mode.values())) : modes[endpoint];
    }

    private void nextPhase(int healthyPercent) {
        phaseEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300 + random.nextInt(3000));
        phase = random.nextInt(100) < healthyPercent ? Phase.HEALTHY
                : Phase.values()[1 + random.nextInt(Phase.values().length - 1)];
        int slowEndpoint = random.nextInt(modes.length);
        for (int i = 0; i < modes.length; i++) {
            modes[i] = switch (phase) {
                case HEALTHY -> Mode.ACCEPTS;
                case ONE_SLOW -> i == slowEndpoint ? pickMode(List.of(Mode.SLOW, Mode.HANGS))
                        : pickMode(IMMEDIATE_REJECTIONS);
                default -> pickMode(List.of(Mode.values()));
            };
        }
    }

    private Mode pickMode(List<Mode> choices) {
        return choices.get(random.nextInt(choices.size()));
    }
}
