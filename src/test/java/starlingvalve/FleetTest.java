package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Many senders that share nothing but a destination: what counts is their sum. */
class FleetTest {
    private static final int SENDERS = 14;
    private static final double TICK = 5;

    private final List<PolicyHarness> fleet = new ArrayList<>();
    private double now;

    private void senders(double listedRate, int kind, long... endpoints) {
        for (int i = 0; i < SENDERS; i++) {
            PolicyHarness b = new PolicyHarness(100, SENDERS, 100 + i);
            b.listedRate = listedRate;
            for (long endpoint : endpoints) {
                b.entry(endpoint, 1, kind, 0, true);
            }
            fleet.add(b);
        }
    }

    private void answers(BiConsumer<PolicyHarness, PolicyHarness.Sent> answer) {
        fleet.forEach(b -> b.onSend = s -> answer.accept(b, s));
    }

    /** All senders go on side by side; each takes a message so often, not all at the same moment. */
    private void advanceTo(double end, double gap) {
        while (now < end) {
            for (int i = 0; i < SENDERS; i++) {
                PolicyHarness b = fleet.get(i);
                b.advanceTo(now + TICK);
                double shifted = now + gap * i / SENDERS;
                if (Math.floor((shifted + TICK) / gap) > Math.floor(shifted / gap)) {
                    b.submit((long) (shifted / gap), 0, 1);
                }
            }
            now += TICK;
        }
    }

    private long delivered() {
        return fleet.stream().mapToLong(PolicyHarness::delivered).sum();
    }

    /** So many calls a second, which refused ones use up too; room is kept for half a second. */
    private final class UsedUpByRefusals {
        private final double perMs;
        private double room;
        private double at;

        UsedUpByRefusals(double perSecond) {
            this.perMs = perSecond / 1000;
        }

        void call(PolicyHarness b, PolicyHarness.Sent s) {
            room = Math.min(500 * perMs, room + (now - at) * perMs) - 1;
            at = now;
            boolean taken = room >= 0;
            room = Math.max(room, -1000 * perMs);
            b.endLater(s, taken ? Outcome.DELIVERED : Outcome.FULL, 50);
        }
    }

    /** Seen on zone+vast: a route refused every call for 15 s, as the floors of all senders kept it full. */
    @Test
    void theSendersTogetherLetALimitBreatheThatRefusedCallsUseUp() {
        senders(0, 0, 10);
        UsedUpByRefusals limit = new UsedUpByRefusals(4);
        answers(limit::call);
        advanceTo(20_000, 1000);
        long before = delivered();
        advanceTo(50_000, 1000);
        long taken = delivered() - before;
        assertTrue(taken >= 0.4 * 4 * 30, "delivered in 30 s at four a second: " + taken);
    }

    /** Seen on herd+vast: after a mass restart each sender began unbounded, with all that had waited for it. */
    @Test
    void theSendersTogetherBeginNearTheListedRate() {
        senders(20, 0, 10);
        UsedUpByRefusals limit = new UsedUpByRefusals(20);
        answers(limit::call);
        fleet.forEach(b -> b.submitTogether(10, 0, 1));
        advanceTo(5000, 60_000);
        long sent = sent();
        assertTrue(sent <= 20 * 5 * 1.5, "sent in the first 5 s at twenty a second: " + sent);
        assertTrue(delivered() >= 20 * 5 * 0.4, "delivered of them: " + delivered());
    }

    /** Seen on calm+mass: each sender had at least two calls a second, so all together kept a listed limit full. */
    @Test
    void theSendersTogetherKeepToAListedRateThatRefusedCallsUseUp() {
        senders(4, 0, 10);
        UsedUpByRefusals limit = new UsedUpByRefusals(4);
        answers(limit::call);
        advanceTo(10_000, 2000);
        long before = delivered();
        long sent = sent();
        advanceTo(50_000, 2000);
        long taken = delivered() - before;
        assertTrue(taken >= 0.45 * 4 * 40, "delivered in 40 s at four a second: " + taken);
        assertTrue(sent() - sent <= 1.2 * 4 * 40, "calls in 40 s at four a second: " + (sent() - sent));
    }

    /**
     * Seen on herd+mass: where more is asked than a limit takes, what lives short went first, and the class worth
     * most waited until its deadline.
     */
    @Test
    void noClassWaitsUntilItsDeadlineForOneThatIsWorthLess() {
        senders(7, 0, 10);
        UsedUpByRefusals limit = new UsedUpByRefusals(7);
        answers(limit::call);
        for (int i = 0; i < SENDERS; i++) {
            fleet.get(i).at(i * 70, takeOn(fleet.get(i), 0));
        }
        advanceTo(90_000, Double.POSITIVE_INFINITY);
        long dear = served(2);
        assertTrue(dear >= 0.7 * SENDERS * 60 / 4, "delivered of " + SENDERS * 60 / 4 + ": " + dear);
        assertTrue(served(4) >= 0.1 * SENDERS * 60, "delivered of " + SENDERS * 60 + ": " + served(4));
    }

    /** For a minute a short-lived message a second, and one that is worth more and lives longer with each fourth. */
    private static Runnable takeOn(PolicyHarness b, int second) {
        return () -> {
            b.submit(second, 4, 1);
            if (second % 4 == 0) {
                b.submit(1000 + second, 2, 1);
            }
            if (second < 59) {
                b.at(b.now + 1000, takeOn(b, second + 1));
            }
        };
    }

    /** Seen on herd+mass: what a sender with much traffic had no calls for waited there, and died, unsent. */
    @Test
    void aSenderSendsAwayAtOnceWhatItsPaceHasNoTimeFor() {
        senders(7, 0, 10);
        UsedUpByRefusals limit = new UsedUpByRefusals(7);
        answers(limit::call);
        PolicyHarness busy = fleet.get(0);
        busy.submit(1000, 0, 1);
        busy.submitTogether(30, 0, 1);
        int atOnce = busy.answers.size();
        assertTrue(atOnce >= 12, "of 30 at a call in two seconds, within 16 s, sent away: " + atOnce);
        advanceTo(17_000, Double.POSITIVE_INFINITY);
        assertTrue(busy.delivered() >= 8, "delivered: " + busy.delivered());
        assertTrue(busy.answers.size() - atOnce <= 30 - atOnce - 8, "given up late: " + busy.answers.size());
    }

    /** Seen on calm+mass of turin-couriers: what a busy sender had no pace for was refused, and nobody used it. */
    @Test
    void aSenderWithMostOfTheMessagesIsNotHeldToTheEvenPart() {
        senders(7, 0, 10);
        UsedUpByRefusals limit = new UsedUpByRefusals(7);
        answers(limit::call);
        PolicyHarness busy = fleet.get(0);
        advanceTo(1000, Double.POSITIVE_INFINITY);
        for (int message = 0; message < 30; message++) {
            busy.submit(message, MessageClasses.NEVER_LATE, 1);
            now = busy.now + 333;
            busy.advanceTo(now);
        }
        assertTrue(busy.delivered() >= 20, "delivered of 30 in 10 s, where the even part is 5: " + busy.delivered());
    }

    private long served(int type) {
        return fleet.stream().mapToLong(b -> b.delivered(type)).sum();
    }

    private long sent() {
        return fleet.stream().mapToLong(b -> b.sends.size()).sum();
    }

    /** Seen on zone+vast: where a call takes several messages, the floor was a call for each fifth of them. */
    @Test
    void theFloorCountsTheCallsThatTheMessagesNeed() {
        senders(0, 1, 10);
        answers((b, s) -> b.endLater(s, calls(b) % 4 == 0 ? Outcome.DELIVERED : Outcome.FULL, 20));
        advanceTo(10_000, 100);
        long before = fleet.stream().mapToLong(FleetTest::calls).sum();
        advanceTo(20_000, 100);
        double perSecond = (fleet.stream().mapToLong(FleetTest::calls).sum() - before) / 10.0;
        assertTrue(perSecond <= 14, "calls a second, of which most are refused: " + perSecond);
    }

    private static long calls(PolicyHarness b) {
        return b.sends.stream().map(PolicyHarness.Sent::at).distinct().count();
    }
}
