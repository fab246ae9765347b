package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Many senders that share only a destination; the tests check the sum of their calls and deliveries. */
class FleetTest {
    private static final int SENDERS = 14;
    private static final double TICK_MS = 5;

    private final List<PolicyHarness> fleet = new ArrayList<>();
    private double now;

    private void startSenders(double listedRate, int kind, long... endpoints) {
        for (int i = 0; i < SENDERS; i++) {
            PolicyHarness harness = new PolicyHarness(100, SENDERS, 100 + i);
            harness.listedRate = listedRate;
            for (long endpoint : endpoints) {
                harness.entry(endpoint, 1, kind, 0, true);
            }
            fleet.add(harness);
        }
    }

    private void answerCalls(BiConsumer<PolicyHarness, PolicyHarness.Sent> answer) {
        fleet.forEach(harness -> harness.onSend = attempt -> answer.accept(harness, attempt));
    }

    /** Advances all senders together; each accepts a message every {@code gapMs}, at evenly shifted times. */
    private void advanceTo(double time, double gapMs) {
        while (now < time) {
            for (int i = 0; i < SENDERS; i++) {
                PolicyHarness harness = fleet.get(i);
                harness.advanceTo(now + TICK_MS);
                double shifted = now + gapMs * i / SENDERS;
                if (Math.floor((shifted + TICK_MS) / gapMs) > Math.floor(shifted / gapMs)) {
                    harness.submit((long) (shifted / gapMs), 0, 1);
                }
            }
            now += TICK_MS;
        }
    }

    private long delivered() {
        return fleet.stream().mapToLong(PolicyHarness::delivered).sum();
    }

    /** A rate limit of calls a second that refused calls use up too, with a burst allowance of half a second. */
    private final class LimitUsedUpByRefusals {
        private final double perMs;
        private double allowance;
        private double updatedAt;

        LimitUsedUpByRefusals(double perSecond) {
            this.perMs = perSecond / 1000;
        }

        void call(PolicyHarness harness, PolicyHarness.Sent attempt) {
            allowance = Math.min(500 * perMs, allowance + (now - updatedAt) * perMs) - 1;
            updatedAt = now;
            boolean accepted = allowance >= 0;
            allowance = Math.max(allowance, -1000 * perMs);
            harness.endLater(attempt, accepted ? Outcome.DELIVERED : Outcome.FULL, 50);
        }
    }

    /**
     * A route refused every call for 15 s because the least send rates of all senders together used up its limit
     * (simulator scenario zone+vast).
     */
    @Test
    void sendersLeaveRoomInLimitThatRefusedCallsUseUp() {
        startSenders(0, 0, 10);
        LimitUsedUpByRefusals limit = new LimitUsedUpByRefusals(4);
        answerCalls(limit::call);
        advanceTo(20_000, 1000);
        long before = delivered();
        advanceTo(50_000, 1000);
        long delivered = delivered() - before;
        assertTrue(delivered >= 0.4 * 4 * 30, "delivered in 30 s at four a second: " + delivered);
    }

    /**
     * After a restart of all senders each began without a rate, with all messages that had waited for it (simulator
     * scenario herd+vast).
     */
    @Test
    void sendersTogetherStartNearListedRate() {
        startSenders(20, 0, 10);
        LimitUsedUpByRefusals limit = new LimitUsedUpByRefusals(20);
        answerCalls(limit::call);
        fleet.forEach(harness -> harness.submitTogether(10, 0, 1));
        advanceTo(5000, 60_000);
        long sent = sent();
        assertTrue(sent <= 20 * 5 * 1.5, "sent in the first 5 s at twenty a second: " + sent);
        assertTrue(delivered() >= 20 * 5 * 0.4, "delivered of them: " + delivered());
    }

    /**
     * Each sender made at least two calls a second, so that all together used up a listed limit (simulator scenario
     * calm+mass).
     */
    @Test
    void sendersTogetherKeepToListedRateThatRefusedCallsUseUp() {
        startSenders(4, 0, 10);
        LimitUsedUpByRefusals limit = new LimitUsedUpByRefusals(4);
        answerCalls(limit::call);
        advanceTo(10_000, 2000);
        long before = delivered();
        long sent = sent();
        advanceTo(50_000, 2000);
        long delivered = delivered() - before;
        assertTrue(delivered >= 0.45 * 4 * 40, "delivered in 40 s at four a second: " + delivered);
        assertTrue(sent() - sent <= 1.2 * 4 * 40, "calls in 40 s at four a second: " + (sent() - sent));
    }

    /**
     * Where the demand exceeds the limit, messages with short deadlines went first, and the class of the highest worth
     * waited until its deadline (simulator scenario herd+mass).
     */
    @Test
    void classOfHigherWorthIsNotStarvedByOneOfLowerWorth() {
        startSenders(7, 0, 10);
        LimitUsedUpByRefusals limit = new LimitUsedUpByRefusals(7);
        answerCalls(limit::call);
        for (int i = 0; i < SENDERS; i++) {
            fleet.get(i).at(i * 70, submitEachSecond(fleet.get(i), 0));
        }
        advanceTo(90_000, Double.POSITIVE_INFINITY);
        long highWorth = deliveredOf(2);
        assertTrue(highWorth >= 0.7 * SENDERS * 60 / 4, "delivered of " + SENDERS * 60 / 4 + ": " + highWorth);
        assertTrue(deliveredOf(4) >= 0.1 * SENDERS * 60, "delivered of " + SENDERS * 60 + ": " + deliveredOf(4));
    }

    /**
     * Submits a message with a short deadline each second for a minute, and with every fourth of them one with a later
     * deadline and a higher worth.
     */
    private static Runnable submitEachSecond(PolicyHarness harness, int second) {
        return () -> {
            harness.submit(second, 4, 1);
            if (second % 4 == 0) {
                harness.submit(1000 + second, 2, 1);
            }
            if (second < 59) {
                harness.at(harness.now + 1000, submitEachSecond(harness, second + 1));
            }
        };
    }

    /**
     * Messages for which the send rate of a busy sender had no room waited there until they expired unsent (simulator
     * scenario herd+mass).
     */
    @Test
    void senderRejectsAtOnceMessagesThatItsSendRateLeavesNoTimeFor() {
        startSenders(7, 0, 10);
        LimitUsedUpByRefusals limit = new LimitUsedUpByRefusals(7);
        answerCalls(limit::call);
        PolicyHarness busy = fleet.get(0);
        busy.submit(1000, 0, 1);
        busy.submitTogether(30, 0, 1);
        int rejected = busy.answers.size();
        assertTrue(rejected >= 12, "rejected of 30 at a call in two seconds, within 16 s: " + rejected);
        advanceTo(17_000, Double.POSITIVE_INFINITY);
        assertTrue(busy.delivered() >= 8, "delivered: " + busy.delivered());
        assertTrue(busy.answers.size() - rejected <= 30 - rejected - 8, "rejected or given up: " + busy.answers.size());
    }

    /**
     * A busy sender limited to its even share of a listed rate refused messages while the shares of the other senders
     * were unused (simulator scenario calm+mass of turin-couriers).
     */
    @Test
    void senderWithMostMessagesIsNotLimitedToEvenShare() {
        startSenders(7, 0, 10);
        LimitUsedUpByRefusals limit = new LimitUsedUpByRefusals(7);
        answerCalls(limit::call);
        PolicyHarness busy = fleet.get(0);
        advanceTo(1000, Double.POSITIVE_INFINITY);
        for (int message = 0; message < 30; message++) {
            busy.submit(message, MessageClasses.NEVER_LATE, 1);
            now = busy.now + 333;
            busy.advanceTo(now);
        }
        assertTrue(busy.delivered() >= 20, "delivered of 30 in 10 s, where the even share is 5: " + busy.delivered());
    }

    private long deliveredOf(int type) {
        return fleet.stream().mapToLong(harness -> harness.delivered(type)).sum();
    }

    private long sent() {
        return fleet.stream().mapToLong(harness -> harness.sends.size()).sum();
    }

    /**
     * Where a call carries several messages, the least send rate was one call for each fifth message, more than a share
     * of the calls that the messages need (simulator scenario zone+vast).
     */
    @Test
    void leastSendRateCountsCallsNotMessages() {
        startSenders(0, 1, 10);
        answerCalls((harness, attempt) -> harness.endLater(attempt,
                calls(harness) % 4 == 0 ? Outcome.DELIVERED : Outcome.FULL, 20));
        advanceTo(10_000, 100);
        long before = fleet.stream().mapToLong(FleetTest::calls).sum();
        advanceTo(20_000, 100);
        double perSecond = (fleet.stream().mapToLong(FleetTest::calls).sum() - before) / 10.0;
        assertTrue(perSecond <= 14, "calls a second, of which most are refused: " + perSecond);
    }

    /** The calls of a sender: messages sent at one time share a call. */
    private static long calls(PolicyHarness harness) {
        return harness.sends.stream().map(PolicyHarness.Sent::at).distinct().count();
    }
}
