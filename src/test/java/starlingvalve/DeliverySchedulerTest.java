package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static starlingvalve.MessageClasses.BY_ZONE;
import static starlingvalve.MessageClasses.KEYED;
import static starlingvalve.MessageClasses.SAFE;
import static starlingvalve.MessageClasses.UNSAFE;

import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** The scheduler through its interface: cost of a turn, rounds, rules, misuse, maintenance and faults. */
class DeliverySchedulerTest {
    // ---- the cost of a turn ----

    /** Measures work by allocated bytes: they don't depend on time, and each message that is examined adds some. */
    private static long bytesAllocatedByTurn(int queued) {
        PolicyHarness harness = new PolicyHarness().list(1, 10).list(2, 20);
        harness.submit(1, SAFE, 1);
        harness.end(1, 0, Outcome.FULL, 9000);
        for (int id = 2; id < queued; id++) {
            harness.submit(id, SAFE, 1);
        }
        assertEquals(1, harness.sends.size(), "all other messages are queued");
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        harness.policy.endTurn(harness.now);
        long before = threads.getCurrentThreadAllocatedBytes();
        harness.policy.endTurn(harness.now);
        return threads.getCurrentThreadAllocatedBytes() - before;
    }

    @Test
    void turnWithoutEligibleMessageCostsNoMoreForALongQueue() {
        bytesAllocatedByTurn(10);
        long few = bytesAllocatedByTurn(10);
        long many = bytesAllocatedByTurn(1000);
        assertTrue(many <= few + 1000, few + " bytes with 10 messages, " + many + " with 1000");
    }

    // ---- rounds ----

    @Test
    void earlyWakeIsRequestedAgain() {
        PolicyHarness harness = new PolicyHarness();
        harness.submit(1, SAFE, 1);
        harness.advanceTo(15_990);
        int requested = harness.wakes.size();
        harness.now = harness.wakes.get(requested - 1) - 0.0004;
        harness.policy.wake(harness.now);
        harness.policy.endTurn(harness.now);
        assertEquals(requested + 1, harness.wakes.size());
    }

    @Test
    void hedgeIsSentAtHalfTheLatencyTargetToAnotherEndpoint() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.advanceTo(990);
        assertEquals(1, harness.sends.size());
        harness.advanceTo(1010);
        assertEquals(2, harness.sends.size());
        assertFalse(harness.sends.get(0).endpoint() == harness.sends.get(1).endpoint());
    }

    @Test
    void hedgeIsSentToTheSameEndpointIfThereIsNoOther() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, SAFE, 1);
        harness.advanceTo(1010);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void firstDeliveryCancelsOtherAttempts() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.advanceTo(1010);
        harness.end(1, 1, Outcome.DELIVERED);
        assertEquals(List.of("1/0"), harness.cancels);
        harness.end(1, 0, Outcome.CANCELLED);
        harness.advanceTo(20_000);
        assertEquals(2, harness.sends.size());
        assertTrue(harness.answers.isEmpty());
    }

    @Test
    void noRetryRoundWhileAnAttemptIsInFlight() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.advanceTo(1010);
        harness.end(1, 0, Outcome.ERROR);
        harness.advanceTo(1900);
        assertEquals(2, harness.sends.size());
        harness.end(1, 1, Outcome.ERROR);
        harness.advanceTo(2600);
        assertEquals(3, harness.sends.size());
    }

    @Test
    void throttleAllowsOneHedgeAndATenthOfFirstSends() {
        PolicyHarness harness = new PolicyHarness();
        for (int i = 0; i < 5; i++) {
            harness.list(i, 10 + 2 * i, 11 + 2 * i);
        }
        for (int i = 0; i < 5; i++) {
            harness.submit(i, SAFE, i);
        }
        harness.advanceTo(1900);
        assertEquals(6, harness.sends.size(), "five first sends allow 1.5 hedges, so one");
    }

    @Test
    void noHedgeWithoutAFreeSlot() {
        PolicyHarness harness = new PolicyHarness(2);
        harness.list(1, 10, 11);
        harness.list(2, 20);
        harness.submit(1, SAFE, 1);
        harness.submit(2, SAFE, 2);
        harness.advanceTo(1900);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void unsafeMessageIsNotHedged() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, UNSAFE, 1);
        harness.advanceTo(5000);
        assertEquals(1, harness.sends.size());
    }

    @Test
    void quickErrorsDoNotUseUpAllAttempts() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.onSend = s -> harness.endLater(s, Outcome.ERROR, 10);
        harness.submit(1, SAFE, 1);
        harness.advanceTo(1000);
        assertTrue(harness.sends.size() >= 2 && harness.sends.size() <= 5, "sends " + harness.sends.size());
    }

    // ---- the rules ----

    @Test
    void everyMessageIsAnsweredOnceBeforeItsDeadline() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, SAFE, 9);
        harness.submit(2, UNSAFE, 1);
        harness.advanceTo(15_990);
        assertTrue(harness.answers.isEmpty());
        harness.advanceTo(16_020);
        assertEquals(List.of("refuse 1"), harness.answers, "nothing ran; the other is still in flight");
        harness.end(2, 0, Outcome.TIMED_OUT);
        assertEquals(List.of("refuse 1", "fail 2"), harness.answers);
        harness.advanceTo(40_000);
        assertEquals(2, harness.answers.size());
        assertEquals(1, harness.sends.size());
    }

    @Test
    void unsafeMessageIsRetriedOnlyIfItCertainlyDidNotRun() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, UNSAFE, 1);
        harness.end(1, 0, Outcome.UNREACHABLE);
        harness.advanceTo(1000);
        assertEquals(2, harness.sends.size());
        harness.end(1, 1, Outcome.ERROR);
        assertEquals(List.of("fail 1"), harness.answers);
        harness.advanceTo(20_000);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void keyedMessageIsNotRepeatedOutsideItsWindow() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, KEYED, 1);
        harness.advanceTo(4000);
        int sent = harness.sends.size();
        for (int i = 0; i < sent; i++) {
            harness.end(1, i, Outcome.TIMED_OUT);
        }
        harness.advanceTo(16_100);
        assertEquals(sent, harness.sends.size());
        assertEquals(1, harness.answers.size());
    }

    @Test
    void keyedMessageStaysInTheZoneThatMayHaveRunIt() {
        PolicyHarness harness = new PolicyHarness();
        harness.entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        harness.submit(1, BY_ZONE, 1);
        long first = harness.sends.get(0).endpoint();
        harness.advanceTo(1010);
        harness.end(1, 0, Outcome.TIMED_OUT);
        harness.advanceTo(3000);
        assertTrue(harness.sends.size() >= 2);
        assertTrue(harness.sends.stream().allMatch(s -> s.endpoint() == first));
    }

    @Test
    void failedMessageOfZoneKeyedClassIsNeverRefused() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, BY_ZONE, 1);
        harness.onSend = s -> harness.endLater(s, Outcome.ERROR, 5);
        harness.end(1, 0, Outcome.ERROR);
        harness.advanceTo(16_100);
        assertEquals(List.of("fail 1"), harness.answers);
    }

    @Test
    void nothingIsSentToADrainingOrUnlistedEndpoint() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, SAFE, 1);
        harness.end(1, 0, Outcome.ERROR);
        harness.entry(10, 1, 0, 0, false);
        harness.advanceTo(5000);
        assertEquals(1, harness.sends.size());
        harness.policy.endpoints(harness.now, true, List.of());
        harness.submit(2, SAFE, 1);
        harness.advanceTo(6000);
        assertEquals(1, harness.sends.size());
    }

    @Test
    void retryAfterStopsEverySendToTheDestination() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, SAFE, 1);
        harness.end(1, 0, Outcome.FULL, 700);
        harness.submit(2, UNSAFE, 1);
        harness.submit(3, KEYED, 1);
        harness.advanceTo(700);
        assertEquals(1, harness.sends.size());
        harness.advanceTo(4000);
        assertTrue(harness.sends.size() > 1);
    }

    /** Guards against keeping only the retry-after of the first message of a shared call. */
    @Test
    void eachMessageOfACallMayHaveItsOwnRetryAfter() {
        PolicyHarness harness = new PolicyHarness().entry(10, 1, 1, 0, true);
        harness.submitTogether(2, SAFE, 1);
        harness.end(1, 0, Outcome.FULL, 0);
        harness.end(2, 0, Outcome.FULL, 3000);
        harness.advanceTo(3000);
        assertEquals(2, harness.sends.size());
    }

    @Test
    void retryAfterAppliesToOneOfSeparateRoutes() {
        PolicyHarness harness = new PolicyHarness().entry(10, 1, 2, 0, true).entry(11, 1, 2, 0, true);
        harness.submit(1, SAFE, 1);
        harness.end(1, 0, Outcome.FULL, 5000);
        harness.advanceTo(900);
        assertEquals(2, harness.sends.size());
        assertFalse(harness.sends.get(0).endpoint() == harness.sends.get(1).endpoint());
    }

    @Test
    void messagesOfOneKeyGoInOrderAndAreQuarantinedAfterAnUncertainEnd() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, UNSAFE, 1, "k");
        harness.submit(2, UNSAFE, 1, "k");
        harness.submit(3, UNSAFE, 1, "other");
        assertEquals(List.of(1L, 3L), harness.sent());
        harness.end(1, 0, Outcome.TIMED_OUT);
        harness.advanceTo(490);
        assertEquals(List.of(1L, 3L), harness.sent());
        harness.advanceTo(600);
        assertEquals(List.of(1L, 3L, 2L), harness.sent());
    }

    @Test
    void withdrawnMessageWithAnAttemptInFlightStillHoldsItsKey() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.submit(1, UNSAFE, 1, "k");
        harness.submit(2, UNSAFE, 1, "k");
        harness.policy.messageWithdrawn(harness.now, 1);
        harness.advanceTo(300);
        assertEquals(List.of(1L), harness.sent());
        harness.end(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(1L, 2L), harness.sent());
    }

    // ---- misuse ----

    @Test
    void misuseThrowsAndLateEventsAreIgnored() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, SAFE, 1);
        assertThrows(IllegalArgumentException.class, () -> harness.end(7, 0, Outcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> harness.end(1, 3, Outcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> harness.submit(1, SAFE, 1));
        assertThrows(IllegalArgumentException.class, () -> harness.submit(2, 17, 1));
        assertThrows(IllegalArgumentException.class, () -> harness.policy.wake(harness.now - 1));
        harness.policy.messageWithdrawn(harness.now, 99);
        harness.policy.wake(harness.now);
    }

    // ---- all rules under random events ----

    @Test
    void randomEventsKeepTheRules() {
        for (int seed = 0; seed < 30; seed++) {
            new RandomRun(seed).run();
        }
    }

    /** Seeded random outcomes, drains and withdrawals; the strict harness checks the rules at each action. */
    private static final class RandomRun {
        private final Random random;
        private final PolicyHarness harness;

        RandomRun(int seed) {
            random = new Random(seed);
            harness = new PolicyHarness(4 + seed % 5);
            harness.checksRules = true;
        }

        void run() {
            for (int destination = 0; destination < 4; destination++) {
                harness.entry(10 * destination, destination, destination % 3, 0, true)
                        .entry(10 * destination + 1, destination, destination % 3, 1, true);
            }
            Outcome[] outcomes = Outcome.values();
            harness.onSend = s -> {
                Outcome outcome = random.nextInt(3) > 0 ? Outcome.DELIVERED : outcomes[random.nextInt(6)];
                double tookMs = outcome == Outcome.TIMED_OUT ? s.timeout() : Math.min(s.timeout(),
                        random.nextInt(1500));
                harness.endLater(s, outcome, tookMs);
            };
            for (long id = 0; id < 300; id++) {
                int messageClass = random.nextInt(4);
                harness.submit(id, messageClass, random.nextInt(4), "k" + random.nextInt(5));
                harness.advanceTo(harness.now + random.nextInt(120));
                if (random.nextInt(40) == 0) {
                    int destination = random.nextInt(4);
                    harness.entry(10 * destination, destination, destination % 3, 0, random.nextBoolean());
                }
                if (random.nextInt(50) == 0) {
                    harness.withdraw(random.nextInt((int) id + 1));
                }
            }
            harness.advanceTo(harness.now + 40_000);
            harness.assertAllAnswered();
        }
    }

    // ---- maintenance by operators ----

    @Test
    void endpointInMaintenanceGetsNothingWhileListedAndComesBackCold() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.policy.setMaintenance(harness.now, 10, true);
        harness.policy.setMaintenance(harness.now, 10, true);
        harness.list(1, 10);
        assertTrue(harness.policy.isExcluded(10));
        assertFalse(harness.policy.isExcluded(11));
        harness.onSend = s -> harness.endLater(s, Outcome.DELIVERED, 50);
        harness.submitEvery(50, SAFE, 1, 10_000);
        assertTrue(harness.sends.stream().allMatch(s -> s.endpoint() == 11));
        harness.policy.setMaintenance(harness.now, 10, false);
        harness.submit(999, SAFE, 1);
        assertEquals(10, harness.sends.get(harness.sends.size() - 1).endpoint(),
                "one return to service undoes a repeated maintenance order");
        harness.submitEvery(50, SAFE, 1, 12_000);
        long sentToReturned = harness.sends.stream().filter(s -> s.endpoint() == 10).count();
        assertTrue(sentToReturned >= 1 && sentToReturned <= 15, "used, but in slow start: " + sentToReturned);
        int before = harness.sends.size();
        harness.policy.setMaintenance(harness.now, 10, false);
        harness.submitEvery(50, SAFE, 1, 24_000);
        assertTrue(harness.sends.stream().skip(before).filter(s -> s.endpoint() == 10).count() > 40);
    }

    @Test
    void callThatWaitsForItsConnectionDoesNotStartOnceItsEndpointIsInMaintenance() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, SAFE, 1);
        assertTrue(harness.policy.mayBeginAttempt(harness.now, 1, 0));
        harness.policy.setMaintenance(harness.now, 10, true);
        assertFalse(harness.policy.mayBeginAttempt(harness.now, 1, 0));
    }

    // ---- faults ----

    @Test
    void failingSendDoesNotHoldUpOtherMessages() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.onSend = s -> {
            if (s.message() == 1) {
                throw new IllegalStateException("an injected fault");
            }
        };
        assertThrows(IllegalStateException.class, () -> harness.submitTogether(2, SAFE, 1));
        assertEquals(List.of(1L, 2L), harness.sent());
    }

    // ---- size of the scheduler's source ----

    @Test
    void schedulerSourceStaysWithinItsSizeLimits() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/starlingvalve/DeliveryScheduler.java"));
        assertTrue(lines.stream().filter(l -> !l.isBlank()).count() <= 1200, "too many non-blank lines");
        assertTrue(lines.stream().allMatch(l -> l.length() <= 110));
    }
}
