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
 * A whole fleet before one destination that fails for ten seconds and comes back cold. What counts is the sum of all
 * senders' calls, as they share nothing.
 */
class ColdFleetTest {
    private static final DeliveryPolicy.ColdStart COLD = new DeliveryPolicy.ColdStart(0.14, 11_000, 2.5, 3000);
    private static final double TICK = 5;
    private static final double FAILS_AT = 12_000;
    private static final double RETURNS_AT = 22_000;
    private static final double WARM_AT = RETURNS_AT + COLD.warmMs();
    /** The span after the warm-up in which service has to be back. */
    private static final double MARGIN_MS = COLD.overloadMs();
    private static final double ENDS_AT = WARM_AT + MARGIN_MS;
    /** Share of what the destination can take that is asked of it. */
    private static final double ASKED_SHARE = 0.7;
    private static final long[] SEEDS = {1, 2, 3};
    /** Calls a second that the destination takes from all senders, when it is warm. */
    private static final double[] FULL_RATES = {12, 25, 40};
    /** Share served of what is asked for right after the warm-up, by which service counts as back. */
    private static final double NEAR = 0.8;
    private static final double FEW = 4;

    /** How a destination shows that it is out. */
    private enum Outage { REFUSES_CONNECTIONS, SILENT, ANSWERS_ERRORS, ANSWERS_FULL }

    /** One play; the listed rate is a multiple of the true one, 0 if none is listed. */
    private record Play(int senders, Outage outage, double fullRate, double listed, long seed) {
    }

    /** A destination with a limit on calls a second; calls above it are refused and use up nothing. */
    private static final class Destination {
        private final Play play;
        private final List<Double> calls = new ArrayList<>();
        private final List<Double> servedAt = new ArrayList<>();
        private double room;
        private double at;

        Destination(Play play) {
            this.play = play;
        }

        /** Calls a millisecond that it can take at a time after its return. */
        double capacity(double time) {
            double warm = Math.min(1, Math.max(0, time - RETURNS_AT) / COLD.warmMs());
            return play.fullRate / 1000 * (COLD.startCapacity() + (1 - COLD.startCapacity()) * warm);
        }

        void call(PolicyHarness b, PolicyHarness.Sent s) {
            if (s.at() >= FAILS_AT && s.at() < RETURNS_AT) {
                fail(b, s);
                return;
            }
            calls.add(s.at());
            double perMs = s.at() < FAILS_AT ? play.fullRate / 1000 : capacity(s.at());
            room = Math.min(Math.max(1, 500 * perMs), room + (s.at() - at) * perMs);
            at = s.at();
            boolean taken = room >= 1;
            if (taken) {
                room--;
                servedAt.add(s.at());
            }
            b.endLater(s, taken ? Outcome.DELIVERED : Outcome.FULL, 50);
        }

        private void fail(PolicyHarness b, PolicyHarness.Sent s) {
            switch (play.outage) {
                case REFUSES_CONNECTIONS -> b.endLater(s, Outcome.UNREACHABLE, 20);
                case ANSWERS_ERRORS -> b.endLater(s, Outcome.ERROR, 50);
                case ANSWERS_FULL -> b.endLater(s, Outcome.FULL, 20);
                default -> b.endLater(s, Outcome.TIMED_OUT, s.timeout());
            }
        }

        /** Calls above what it bears, in the worst span that ends with a call while it is cold; none if negative. */
        double worstExcess() {
            double worst = Double.NEGATIVE_INFINITY;
            int first = 0;
            for (int last = 0; last < calls.size(); last++) {
                double end = calls.get(last);
                if (end < RETURNS_AT || end >= WARM_AT) {
                    continue;
                }
                double begin = Math.max(RETURNS_AT, end - COLD.overloadMs());
                while (calls.get(first) < begin) {
                    first++;
                }
                double meanCapacity = (capacity(begin) + capacity(end)) / 2;
                double allowed = COLD.overloadMultiple() * meanCapacity * COLD.overloadMs();
                worst = Math.max(worst, last - first + 1 - (allowed + 2 * Math.sqrt(allowed) + 2));
            }
            return worst;
        }
    }

    /** One fleet in one play. */
    private static final class Fleet {
        private final Play play;
        private final Destination destination;
        private final List<PolicyHarness> senders = new ArrayList<>();
        private final List<Double> takenAt = new ArrayList<>();
        private final Random random;

        Fleet(Play play) {
            this.play = play;
            this.destination = new Destination(play);
            this.random = new Random(play.seed);
            for (int i = 0; i < play.senders; i++) {
                PolicyHarness b = new PolicyHarness(100, play.senders, 1000 * play.seed + i, COLD);
                b.listedRate = play.listed * play.fullRate;
                b.list(1, 10);
                b.onSend = s -> destination.call(b, s);
                senders.add(b);
            }
        }

        /** All senders go on side by side; some see several times the mean, and messages come at random. */
        void run() {
            double[] next = new double[play.senders];
            for (int i = 0; i < play.senders; i++) {
                next[i] = gap(i);
            }
            for (double now = 0; now < ENDS_AT; now += TICK) {
                for (int i = 0; i < play.senders; i++) {
                    PolicyHarness b = senders.get(i);
                    b.advanceTo(now + TICK);
                    while (next[i] <= now) {
                        // Every other message lives short.
                        b.submit(takenAt.size(), takenAt.size() % 2 == 0 ? 0 : 4, 1);
                        takenAt.add(now);
                        next[i] += gap(i);
                    }
                }
            }
        }

        /** To the next message: a mean by the sender, and chance. */
        private double gap(int sender) {
            double perMs = ASKED_SHARE * play.fullRate / 1000 * weight(sender) / weights();
            return -Math.log(1 - random.nextDouble()) / perMs;
        }

        private static double weight(int sender) {
            return 1.0 / (sender % 5 + 1);
        }

        private double weights() {
            return IntStream.range(0, play.senders).mapToDouble(Fleet::weight).sum();
        }

        /** Messages served for each one asked for in a span. */
        double servedShare(double from, double to) {
            long served = destination.servedAt.stream().filter(at -> at >= from && at < to).count();
            return (double) served / takenAt.stream().filter(at -> at >= from && at < to).count();
        }
    }

    private static void isNotPushedOver(int senders, double listed, double... fullRates) {
        forEach(senders, listed, fullRates, fleet -> {
            double excess = fleet.destination.worstExcess();
            assertTrue(excess <= 0, fleet.play + ": more calls than a cold destination bears: " + excess);
        });
    }

    private static void comesBack(int senders, double listed, double... fullRates) {
        forEach(senders, listed, fullRates, fleet -> {
            double served = fleet.servedShare(WARM_AT, WARM_AT + MARGIN_MS);
            assertTrue(served >= NEAR, fleet.play + ": served of what is asked after the warm-up: " + served);
        });
    }

    private static void forEach(int senders, double listed, double[] fullRates, Consumer<Fleet> check) {
        for (double fullRate : fullRates) {
            for (Outage outage : Outage.values()) {
                for (long seed : SEEDS) {
                    Fleet fleet = new Fleet(new Play(senders, outage, fullRate, listed, seed));
                    fleet.run();
                    check.accept(fleet);
                }
            }
        }
    }

    @Test
    void thirtySendersPushNoListedDestinationOver() {
        isNotPushedOver(30, 1, FULL_RATES);
    }

    @Test
    void thirtySendersPushNoDestinationOverThatIsListedHalfTooHigh() {
        isNotPushedOver(30, 1.5, FULL_RATES);
    }

    @Test
    void thirtySendersPushNoDestinationOverThatIsListedHalfTooLow() {
        isNotPushedOver(30, 0.5, FULL_RATES);
    }

    @Test
    void thirtySendersPushNoUnlistedDestinationOver() {
        isNotPushedOver(30, 0, FULL_RATES);
    }

    @Test
    void twentySendersPushNoListedDestinationOver() {
        isNotPushedOver(20, 1, FULL_RATES);
    }

    @Test
    void twentySendersPushNoDestinationOverThatIsListedHalfTooHigh() {
        isNotPushedOver(20, 1.5, FULL_RATES);
    }

    @Test
    void twentySendersPushNoDestinationOverThatIsListedHalfTooLow() {
        isNotPushedOver(20, 0.5, FULL_RATES);
    }

    @Test
    void twentySendersPushNoUnlistedDestinationOver() {
        isNotPushedOver(20, 0, FULL_RATES);
    }

    @Test
    void serviceIsBackWithinTheWarmUp() {
        comesBack(30, 1, FULL_RATES);
        comesBack(20, 1, FULL_RATES);
    }

    @Test
    void serviceIsBackWithinTheWarmUpThoughListedHalfTooHigh() {
        comesBack(30, 1.5, FULL_RATES);
        comesBack(20, 1.5, FULL_RATES);
    }

    @Test
    void serviceIsBackWithinTheWarmUpThoughListedHalfTooLow() {
        comesBack(30, 0.5, 25, 40);
        comesBack(20, 0.5, 25, 40);
    }

    @Test
    void serviceIsBackWithinTheWarmUpThoughNotListed() {
        comesBack(30, 0, 25, 40);
        comesBack(20, 0, 25, 40);
    }

    /** Each of thirty senders sees a message in 11 s there, far under one a second, and the rule allows few calls. */
    @Test
    void aListedDestinationOfAFewCallsASecondIsNotPushedOver() {
        for (int senders : new int[] {20, 30}) {
            for (double listed : new double[] {0.5, 1, 1.5}) {
                isNotPushedOver(senders, listed, FEW);
            }
        }
    }

    @Test
    void twentySendersPushNoUnlistedDestinationOfAFewCallsASecondOver() {
        isNotPushedOver(20, 0, FEW);
    }
}
