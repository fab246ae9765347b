package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/**
 * A fleet of senders and one destination that fails for ten seconds and returns cold. The tests check the sum of the
 * calls of all senders, which share no state.
 */
class ColdFleetTest {
    private static final DeliveryPolicy.ColdStart COLD = new DeliveryPolicy.ColdStart(0.14, 11_000, 2.5, 3000);
    private static final double TICK_MS = 5;
    private static final double FAILS_AT_MS = 12_000;
    private static final double RETURNS_AT_MS = 22_000;
    private static final double WARM_AT_MS = RETURNS_AT_MS + COLD.warmMs();
    /** The period after the warm-up over which the share of served messages is measured. */
    private static final double MARGIN_MS = COLD.overloadMs();
    private static final double ENDS_AT_MS = WARM_AT_MS + MARGIN_MS;
    /** The demand, as a share of the capacity of the warm destination. */
    private static final double DEMAND_SHARE = 0.7;
    private static final long[] SEEDS = {1, 2, 3};
    /** Capacities of the warm destination, in calls a second of all senders. */
    private static final double[] FULL_RATES = {12, 25, 40};
    /** The share of the demand right after the warm-up that has to be served. */
    private static final double RECOVERED_SHARE = 0.8;
    /** The capacity of a small destination, in calls a second. */
    private static final double SMALL_RATE = 4;

    /** How a destination behaves during its outage. */
    private enum Outage { REFUSES_CONNECTIONS, SILENT, ANSWERS_ERRORS, ANSWERS_FULL }

    /** The parameters of a run; {@code listed} is the listed rate as a multiple of the true one, 0 for none. */
    private record Scenario(int senders, Outage outage, double fullRate, double listed, long seed) {
    }

    /** A destination with a limit of calls a second; refused calls do not count towards it. */
    private static final class Destination {
        private final Scenario scenario;
        private final List<Double> calledAt = new ArrayList<>();
        private final List<Double> servedAt = new ArrayList<>();
        private double allowance;
        private double updatedAt;

        Destination(Scenario scenario) {
            this.scenario = scenario;
        }

        /** The capacity at a time after the return, in calls a millisecond. */
        double capacity(double time) {
            double warm = Math.min(1, Math.max(0, time - RETURNS_AT_MS) / COLD.warmMs());
            return scenario.fullRate / 1000 * (COLD.startCapacity() + (1 - COLD.startCapacity()) * warm);
        }

        void call(PolicyHarness harness, PolicyHarness.Sent attempt) {
            if (attempt.at() >= FAILS_AT_MS && attempt.at() < RETURNS_AT_MS) {
                endInOutage(harness, attempt);
                return;
            }
            calledAt.add(attempt.at());
            double perMs = attempt.at() < FAILS_AT_MS ? scenario.fullRate / 1000 : capacity(attempt.at());
            allowance = Math.min(Math.max(1, 500 * perMs), allowance + (attempt.at() - updatedAt) * perMs);
            updatedAt = attempt.at();
            boolean accepted = allowance >= 1;
            if (accepted) {
                allowance--;
                servedAt.add(attempt.at());
            }
            harness.endLater(attempt, accepted ? Outcome.DELIVERED : Outcome.FULL, 50);
        }

        private void endInOutage(PolicyHarness harness, PolicyHarness.Sent attempt) {
            switch (scenario.outage) {
                case REFUSES_CONNECTIONS -> harness.endLater(attempt, Outcome.UNREACHABLE, 20);
                case ANSWERS_ERRORS -> harness.endLater(attempt, Outcome.ERROR, 50);
                case ANSWERS_FULL -> harness.endLater(attempt, Outcome.FULL, 20);
                default -> harness.endLater(attempt, Outcome.TIMED_OUT, attempt.timeout());
            }
        }

        /**
         * The most calls above the allowed number in any period that ends with a call while the destination is cold;
         * negative if the allowed number is never reached.
         */
        double worstExcess() {
            double worst = Double.NEGATIVE_INFINITY;
            int first = 0;
            for (int last = 0; last < calledAt.size(); last++) {
                double end = calledAt.get(last);
                if (end < RETURNS_AT_MS || end >= WARM_AT_MS) {
                    continue;
                }
                double begin = Math.max(RETURNS_AT_MS, end - COLD.overloadMs());
                while (calledAt.get(first) < begin) {
                    first++;
                }
                double meanCapacity = (capacity(begin) + capacity(end)) / 2;
                double allowed = COLD.overloadMultiple() * meanCapacity * COLD.overloadMs();
                worst = Math.max(worst, last - first + 1 - (allowed + 2 * Math.sqrt(allowed) + 2));
            }
            return worst;
        }
    }

    /** A fleet of senders in one scenario. */
    private static final class Fleet {
        private final Scenario scenario;
        private final Destination destination;
        private final List<PolicyHarness> senders = new ArrayList<>();
        private final List<Double> submittedAt = new ArrayList<>();
        private final Random random;

        Fleet(Scenario scenario) {
            this.scenario = scenario;
            this.destination = new Destination(scenario);
            this.random = new Random(scenario.seed);
            for (int i = 0; i < scenario.senders; i++) {
                PolicyHarness harness = new PolicyHarness(100, scenario.senders, 1000 * scenario.seed + i, COLD);
                harness.listedRate = scenario.listed * scenario.fullRate;
                harness.list(1, 10);
                harness.onSend = attempt -> destination.call(harness, attempt);
                senders.add(harness);
            }
        }

        /**
         * Advances all senders together; messages arrive at random, for some senders at several times the mean rate.
         */
        void run() {
            double[] nextAt = new double[scenario.senders];
            for (int i = 0; i < scenario.senders; i++) {
                nextAt[i] = gapMs(i);
            }
            for (double now = 0; now < ENDS_AT_MS; now += TICK_MS) {
                for (int i = 0; i < scenario.senders; i++) {
                    PolicyHarness harness = senders.get(i);
                    harness.advanceTo(now + TICK_MS);
                    while (nextAt[i] <= now) {
                        // Every other message has a short deadline.
                        harness.submit(submittedAt.size(), submittedAt.size() % 2 == 0 ? 0 : 4, 1);
                        submittedAt.add(now);
                        nextAt[i] += gapMs(i);
                    }
                }
            }
        }

        /** The random time to the next message of a sender, in milliseconds, with a mean that depends on the sender. */
        private double gapMs(int sender) {
            double perMs = DEMAND_SHARE * scenario.fullRate / 1000 * weight(sender) / weights();
            return -Math.log(1 - random.nextDouble()) / perMs;
        }

        private static double weight(int sender) {
            return 1.0 / (sender % 5 + 1);
        }

        private double weights() {
            return IntStream.range(0, scenario.senders).mapToDouble(Fleet::weight).sum();
        }

        /** The number of messages served in a period, as a share of those submitted in it. */
        double servedShare(double from, double to) {
            long served = destination.servedAt.stream().filter(at -> at >= from && at < to).count();
            return (double) served / submittedAt.stream().filter(at -> at >= from && at < to).count();
        }
    }

    private static void assertNotOverloaded(int senders, double listed, double... fullRates) {
        forEach(senders, listed, fullRates, fleet -> {
            double excess = fleet.destination.worstExcess();
            assertTrue(excess <= 0, fleet.scenario + ": calls above the capacity of the cold destination: " + excess);
        });
    }

    private static void assertServiceRecovers(int senders, double listed, double... fullRates) {
        forEach(senders, listed, fullRates, fleet -> {
            double served = fleet.servedShare(WARM_AT_MS, WARM_AT_MS + MARGIN_MS);
            assertTrue(served >= RECOVERED_SHARE,
                    fleet.scenario + ": share of the demand served after the warm-up: " + served);
        });
    }

    private static void forEach(int senders, double listed, double[] fullRates, Consumer<Fleet> check) {
        for (double fullRate : fullRates) {
            for (Outage outage : Outage.values()) {
                for (long seed : SEEDS) {
                    Fleet fleet = new Fleet(new Scenario(senders, outage, fullRate, listed, seed));
                    fleet.run();
                    check.accept(fleet);
                }
            }
        }
    }

    @Test
    void thirtySendersDoNotOverloadListedDestination() {
        assertNotOverloaded(30, 1, FULL_RATES);
    }

    @Test
    void thirtySendersDoNotOverloadDestinationListedHalfTooHigh() {
        assertNotOverloaded(30, 1.5, FULL_RATES);
    }

    @Test
    void thirtySendersDoNotOverloadDestinationListedHalfTooLow() {
        assertNotOverloaded(30, 0.5, FULL_RATES);
    }

    @Test
    void thirtySendersDoNotOverloadUnlistedDestination() {
        assertNotOverloaded(30, 0, FULL_RATES);
    }

    @Test
    void twentySendersDoNotOverloadListedDestination() {
        assertNotOverloaded(20, 1, FULL_RATES);
    }

    @Test
    void twentySendersDoNotOverloadDestinationListedHalfTooHigh() {
        assertNotOverloaded(20, 1.5, FULL_RATES);
    }

    @Test
    void twentySendersDoNotOverloadDestinationListedHalfTooLow() {
        assertNotOverloaded(20, 0.5, FULL_RATES);
    }

    @Test
    void twentySendersDoNotOverloadUnlistedDestination() {
        assertNotOverloaded(20, 0, FULL_RATES);
    }

    @Test
    void serviceRecoversWithinWarmUp() {
        assertServiceRecovers(30, 1, FULL_RATES);
        assertServiceRecovers(20, 1, FULL_RATES);
    }

    @Test
    void serviceRecoversWithinWarmUpIfListedHalfTooHigh() {
        assertServiceRecovers(30, 1.5, FULL_RATES);
        assertServiceRecovers(20, 1.5, FULL_RATES);
    }

    @Test
    void serviceRecoversWithinWarmUpIfListedHalfTooLow() {
        assertServiceRecovers(30, 0.5, 25, 40);
        assertServiceRecovers(20, 0.5, 25, 40);
    }

    @Test
    void serviceRecoversWithinWarmUpIfNotListed() {
        assertServiceRecovers(30, 0, 25, 40);
        assertServiceRecovers(20, 0, 25, 40);
    }

    /**
     * Each of thirty senders has one message in 11 s for this destination, far less than one a second, and the overload
     * rule allows few calls.
     */
    @Test
    void sendersDoNotOverloadSmallListedDestination() {
        for (int senders : new int[] {20, 30}) {
            for (double listed : new double[] {0.5, 1, 1.5}) {
                assertNotOverloaded(senders, listed, SMALL_RATE);
            }
        }
    }

    @Test
    void twentySendersDoNotOverloadSmallUnlistedDestination() {
        assertNotOverloaded(20, 0, SMALL_RATE);
    }
}
