package starlingvalve.net;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A destination of a soak, whose endpoints change what they do from time to time. */
final class FaultyDestination {
    /** What an endpoint does with a call. */
    enum Mode { ACCEPTS, REFUSES, THROTTLES, FAILS, SLOW, HANGS, RESETS }

    /** How the endpoints of a destination fare for a while. */
    enum Phase {
        /** All accept. */
        HEALTHY,
        /** Each has a fault of its own, or none. */
        FAULTS,
        /** One is slow or hangs, and the others turn calls away: a copy ends before the attempt that it joined. */
        ONE_SLOW,
        /** Each call meets another fault, or none. */
        ANY_FAULT
    }

    private static final List<Mode> QUICK_REFUSALS = List.of(Mode.REFUSES, Mode.THROTTLES, Mode.FAILS);

    private final int number;
    private final Random random;
    private final BooleanSupplier faultsOver;
    private final Mode[] modes;
    private Phase phase = Phase.HEALTHY;
    private long phaseEnds = System.nanoTime();

    FaultyDestination(int number, int endpointCount, Random random, BooleanSupplier faultsOver) {
        this.faultsOver = faultsOver;
        this.number = number;
        this.random = random;
        this.modes = new Mode[endpointCount];
    }

    int number() {
        return number;
    }

    /** What an endpoint does with a call now; so often all of them accept for a while. */
    synchronized Mode mode(int endpoint, int healthyPercent) {
        if (faultsOver.getAsBoolean()) {
            return Mode.ACCEPTS;
        }
        if (System.nanoTime() - phaseEnds >= 0) {
            nextPhase(healthyPercent);
        }
        return phase == Phase.ANY_FAULT ? any(List.of(Mode.values())) : modes[endpoint];
    }

    private void nextPhase(int healthyPercent) {
        phaseEnds = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300 + random.nextInt(3000));
        phase = random.nextInt(100) < healthyPercent ? Phase.HEALTHY
                : Phase.values()[1 + random.nextInt(Phase.values().length - 1)];
        int slow = random.nextInt(modes.length);
        for (int i = 0; i < modes.length; i++) {
            modes[i] = switch (phase) {
                case HEALTHY -> Mode.ACCEPTS;
                case ONE_SLOW -> i == slow ? any(List.of(Mode.SLOW, Mode.HANGS)) : any(QUICK_REFUSALS);
                default -> any(List.of(Mode.values()));
            };
        }
    }

    private Mode any(List<Mode> choices) {
        return choices.get(random.nextInt(choices.size()));
    }
}
