package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static starlingvalve.MessageClasses.BY_ZONE;
import static starlingvalve.MessageClasses.KEYED;
import static starlingvalve.MessageClasses.SAFE;
import static starlingvalve.MessageClasses.UNSAFE;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** The policy after a restart, with messages recovered from the journal, and after an upgrade, with a snapshot. */
class ModuleRestartTest {
    // ---- after a restart ----

    private static PolicyHarness withRecoveredMessage(int type, double leftMs,
            DeliveryPolicy.EarlierAttempt... attempts) {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.advanceTo(20_000);
        harness.recover(1, type, 1, leftMs, List.of(attempts));
        return harness;
    }

    private static DeliveryPolicy.EarlierAttempt earlierAttempt(double agoMs, boolean mayHaveRun) {
        return new DeliveryPolicy.EarlierAttempt(10, 20_000 - agoMs, mayHaveRun);
    }

    @Test
    void attemptFromBeforeRestartHoldsNoSlotButCountsInNumbering() {
        PolicyHarness harness = withRecoveredMessage(SAFE, 9000, earlierAttempt(500, true), earlierAttempt(100, false));
        assertEquals(List.of(1L), harness.sent());
        harness.end(1, 2, Outcome.DELIVERED);
        assertTrue(harness.answers.isEmpty());
        for (long id = 2; id <= 6; id++) {
            harness.submit(id, SAFE, 1);
        }
        assertTrue(harness.sends.size() >= 5, "attempts in flight at the restart hold no slot");
    }

    @Test
    void keyedMessageIsRepeatedAfterRestartOnlyWithinDedupWindow() {
        assertEquals(List.of(1L), withRecoveredMessage(KEYED, 9000, earlierAttempt(1000, true)).sent());
        PolicyHarness late = withRecoveredMessage(KEYED, 9000, earlierAttempt(4000, true));
        assertTrue(late.sends.isEmpty());
        assertEquals(List.of("refuse 1"), late.answers, "given up at once, not at the deadline");
        assertEquals(List.of(1L), withRecoveredMessage(KEYED, 9000, earlierAttempt(4000, false)).sent());
    }

    @Test
    void keyedMessageIsAnsweredWhenDedupWindowHasPassed() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, KEYED, 1);
        harness.end(1, 0, Outcome.ERROR);
        harness.entry(10, 1, 0, 0, false);
        harness.advanceTo(3650);
        assertTrue(harness.answers.isEmpty());
        harness.advanceTo(3750);
        assertEquals(List.of("refuse 1"), harness.answers, "before the deadline");
    }

    @Test
    void backlogFromOutageBeforeRestartStartsWithProbes() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.advanceTo(20_000);
        for (long id = 1; id <= 12; id++) {
            harness.recoverInTurn(id, SAFE, 1, 9000, List.of(earlierAttempt(1000, false)));
        }
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 100);
        harness.policy.endTurn(harness.now);
        harness.advanceTo(23_000);
        assertTrue(harness.sends.size() >= 1 && harness.sends.size() <= 4, "sent in 3 s: " + harness.sends.size());
        harness.advanceTo(29_100);
        harness.assertAllAnswered();
    }

    /** Guards against accepting a message without time left, which is then answered at once without an attempt. */
    @Test
    void messageWithoutTimeToBeSentIsRejectedAtAdmission() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        assertTrue(harness.policy.admissionRetryAfter(harness.now,
                new DeliveryPolicy.Message(1, SAFE, 0, Optional.of("k"), 1, 1)).isPresent());
        assertFalse(harness.policy.admissionRetryAfter(harness.now,
                new DeliveryPolicy.Message(1, SAFE, 0, Optional.of("k"), 9, 1)).isPresent());
    }

    /**
     * After a restart, unattempted messages must not wait for this sender's even share of the listed rate: a third of
     * them then expired without a call (simulator scenario herd+mass).
     */
    @Test
    void unattemptedMessagesAreSentAheadOfPacingAndSpreadOverTime() {
        PolicyHarness harness = new PolicyHarness(40, 100, 7);
        harness.listedRate = 10;
        harness.list(1, 10);
        harness.advanceTo(20_000);
        for (long id = 1; id <= 8; id++) {
            harness.recoverInTurn(id, SAFE, 1, 4000, List.of());
        }
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 50);
        harness.policy.endTurn(harness.now);
        assertTrue(harness.sends.size() <= 2, "sent at once: " + harness.sends.size());
        harness.advanceTo(22_100);
        assertEquals(8, harness.sends.size(), "paced at one call in ten seconds, they would have expired");
        harness.submit(9, SAFE, 1);
        harness.advanceTo(23_000);
        assertEquals(8, harness.sends.size(), "new messages are paced");
    }

    @Test
    void unattemptedMessagesObserveRetryAfterAndKeyOrder() {
        PolicyHarness harness = new PolicyHarness(40, 100, 7);
        harness.listedRate = 10;
        harness.list(1, 10);
        harness.advanceTo(20_000);
        for (long id = 1; id <= 3; id++) {
            DeliveryPolicy.Message message = new DeliveryPolicy.Message(id, UNSAFE, 0, Optional.of("key"), 6000, 1);
            harness.policy.messageRecovered(harness.now, message, List.of());
        }
        harness.policy.endTurn(harness.now);
        harness.policy.retryAfterReceived(harness.now, 10, 1500);
        harness.advanceTo(21_490);
        List<Long> before = harness.sent();
        assertTrue(before.size() <= 1, "Retry-After is observed: " + before);
        harness.advanceTo(24_000);
        assertEquals(List.of(1L), harness.sent(), "one message of the key at a time");
        harness.policy.attemptEnded(harness.now,
                new DeliveryPolicy.AttemptEnd(1, 0, Outcome.DELIVERED, 10, true, 0, false));
        harness.policy.endTurn(harness.now);
        harness.advanceTo(24_300);
        assertEquals(List.of(1L, 2L), harness.sent(), "the next message once the first has ended");
    }

    /** Recovered messages with attempts come first; the first three alone must not count as an outage. */
    @Test
    void fewRefusedMessagesAmongManyUnattemptedAreNoOutage() {
        PolicyHarness harness = new PolicyHarness(40, 100, 7).list(1, 10);
        harness.advanceTo(20_000);
        for (long id = 1; id <= 11; id++) {
            harness.recoverInTurn(id, SAFE, 1, 9000, id <= 4 ? List.of(earlierAttempt(1000, false)) : List.of());
        }
        harness.policy.endTurn(harness.now);
        assertFalse(harness.policy.isExcluded(10));
    }

    @Test
    void refusedMessageWaitsForDestinationNotListedYet() {
        for (int type : List.of(SAFE, KEYED, UNSAFE)) {
            PolicyHarness harness = new PolicyHarness();
            harness.advanceTo(20_000);
            harness.recover(1, type, 1, 9000, List.of(earlierAttempt(1000, false)));
            assertEquals(List.of(), harness.answers, "it can't have run, and its deadline is far off");
            harness.list(1, 10);
            harness.advanceTo(20_400);
            assertEquals(List.of(1L), harness.sent());
        }
        PolicyHarness harness = new PolicyHarness();
        harness.advanceTo(20_000);
        harness.recover(1, UNSAFE, 1, 9000, List.of(earlierAttempt(1000, true)));
        assertEquals(List.of("fail 1"), harness.answers, "it must not be repeated, whatever is listed");
    }

    @Test
    void oneRefusalAndMessagesDelayedByRestartAreNoOutage() {
        PolicyHarness harness = new PolicyHarness(40).list(1, 10);
        harness.now = 20_000;
        harness.recoverInTurn(1, SAFE, 1, 9000, List.of(earlierAttempt(1000, false)));
        for (int id = 2; id <= 8; id++) {
            harness.recoverInTurn(id, SAFE, 1, 9000, id % 2 == 0 ? List.of() : List.of(earlierAttempt(1000, true)));
        }
        harness.policy.endTurn(harness.now);
        assertEquals(8, harness.sends.size());
    }

    @Test
    void callsInFlightAtRestartAreNoOutage() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.advanceTo(20_000);
        for (long id = 1; id <= 4; id++) {
            harness.recoverInTurn(id, SAFE, 1, 15_000, List.of(earlierAttempt(1000, true)));
        }
        harness.policy.endTurn(harness.now);
        assertEquals(List.of(1L, 2L, 3L, 4L), harness.sent());
    }

    @Test
    void refusalCarriesTimeUntilDestinationAcceptsAgain() {
        PolicyHarness harness = new PolicyHarness().list(1, 10).list(2, 20);
        harness.submit(1, SAFE, 1);
        harness.end(1, 0, Outcome.FULL, 5000);
        harness.recover(2, SAFE, 1, -1, List.of());
        harness.recover(3, SAFE, 2, -1, List.of());
        assertEquals(List.of("refuse 2", "refuse 3"), harness.answers);
        assertTrue(harness.retryAfters.get(0) >= 5000, "at least the Retry-After received");
        assertEquals(0, harness.retryAfters.get(1));
    }

    @Test
    void repeatsStayInZoneAfterRestart() {
        PolicyHarness harness = new PolicyHarness().entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        harness.advanceTo(20_000);
        harness.recover(1, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.EarlierAttempt(11, 19_900, true)));
        assertEquals(11, harness.sends.get(0).endpoint());
        harness.recover(2, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.EarlierAttempt(99, 19_900, true)));
        assertEquals(List.of("fail 2"), harness.answers, "the zone of an endpoint that is no longer listed is unknown");
    }

    @Test
    void unsafeMessageThatMayHaveRunFailsAfterRestart() {
        PolicyHarness harness = withRecoveredMessage(UNSAFE, 9000, earlierAttempt(100, true));
        assertTrue(harness.sends.isEmpty());
        assertEquals(List.of("fail 1"), harness.answers);
        assertEquals(List.of(1L), withRecoveredMessage(UNSAFE, 9000, earlierAttempt(100, false)).sent());
    }

    @Test
    void attemptsBeforeAndAfterRestartCountTogether() {
        DeliveryPolicy.EarlierAttempt[] twelve = new DeliveryPolicy.EarlierAttempt[12];
        java.util.Arrays.fill(twelve, earlierAttempt(100, false));
        PolicyHarness harness = withRecoveredMessage(SAFE, 9000, twelve);
        assertTrue(harness.sends.isEmpty());
        assertEquals(List.of("refuse 1"), harness.answers);
    }

    @Test
    void overdueMessageIsAnsweredAtOnce() {
        PolicyHarness harness = withRecoveredMessage(SAFE, -100);
        assertTrue(harness.sends.isEmpty());
        assertEquals(List.of("refuse 1"), harness.answers);
    }

    @Test
    void attemptWaitingForConnectionObservesLaterRetryAfterAndDrain() {
        PolicyHarness harness = new PolicyHarness().list(1, 10).entry(20, 2, 0, 0, true);
        harness.submit(1, SAFE, 1);
        harness.submit(2, SAFE, 1);
        harness.submit(3, SAFE, 2);
        assertEquals(3, harness.sends.size());
        assertTrue(harness.policy.mayBeginAttempt(harness.now, 2, 0));
        harness.end(1, 0, Outcome.FULL, 700);
        assertFalse(harness.policy.mayBeginAttempt(harness.now, 2, 0));
        assertTrue(harness.policy.mayBeginAttempt(harness.now, 3, 0));
        harness.advanceTo(750);
        assertTrue(harness.policy.mayBeginAttempt(harness.now, 2, 0));
        harness.entry(20, 2, 0, 0, false);
        assertFalse(harness.policy.mayBeginAttempt(harness.now, 3, 0), "the endpoint drains");
    }

    /**
     * A repeat that was decided within the deduplication window, but whose connection is established only after it,
     * would run a second time.
     */
    @Test
    void repeatDoesNotBeginOnceDedupWindowHasPassed() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, KEYED, 1);
        assertTrue(harness.policy.mayBeginAttempt(harness.now, 1, 0), "no window applies to the first attempt");
        harness.advanceTo(100);
        harness.end(1, 0, Outcome.BROKEN);
        harness.advanceTo(1000);
        assertEquals(2, harness.sends.size());
        assertTrue(harness.policy.mayBeginAttempt(harness.now, 1, 1));
        harness.advanceTo(MessageClasses.CLASSES.get(KEYED).dedupWindowMs() + 10);
        assertFalse(harness.policy.mayBeginAttempt(harness.now, 1, 1),
                "the first attempt may have run, and is " + harness.now + " ms old");
    }

    @Test
    void orderedKeyWaitsUntilEndOfPreviousMessageIsAcknowledged() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.acknowledgesAtOnce = false;
        harness.policy.endedUnacknowledged(harness.now,
                new DeliveryPolicy.Message(9, UNSAFE, 0, Optional.of("key"), 100, 1));
        harness.submit(1, UNSAFE, 1, "key");
        harness.submit(2, UNSAFE, 1, "key");
        assertEquals(List.of(), harness.sent(), "the end of a message from before the restart is not acknowledged yet");
        harness.policy.endAcknowledged(harness.now, 9);
        harness.policy.endTurn(harness.now);
        assertEquals(List.of(1L), harness.sent());
        harness.end(1, 0, Outcome.ERROR);
        assertEquals(List.of("fail 1"), harness.answers);
        harness.advanceTo(5000);
        assertEquals(List.of(1L), harness.sent());
        harness.policy.endAcknowledged(harness.now, 1);
        harness.policy.endTurn(harness.now);
        assertEquals(List.of(1L, 2L), harness.sent());
    }

    @Test
    void orderedKeyWaitsForCallStillInFlightForOtherMessages() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, UNSAFE, 1, "key");
        harness.submit(2, UNSAFE, 1, "key");
        harness.policy.attemptEnded(harness.now,
                new DeliveryPolicy.AttemptEnd(1, 0, Outcome.TIMED_OUT, 10, false, 0, true));
        harness.policy.endTurn(harness.now);
        assertEquals(List.of("fail 1"), harness.answers, "the answer of the message itself is not delayed");
        harness.advanceTo(5000);
        assertEquals(List.of(1L), harness.sent());
        harness.policy.callEnded(harness.now, 1);
        harness.policy.endTurn(harness.now);
        harness.advanceTo(6000);
        assertEquals(List.of(1L, 2L), harness.sent());
    }

    @Test
    void orderedKeyIsQuarantinedAfterRestartIfAttemptMayStillRun() {
        PolicyHarness harness = withRecoveredMessage(UNSAFE, 9000, earlierAttempt(100, true));
        harness.submit(2, UNSAFE, 1, "key 1");
        harness.advanceTo(20_490);
        assertTrue(harness.sends.isEmpty());
        harness.advanceTo(20_510);
        assertEquals(List.of(2L), harness.sent());
    }

    @Test
    void noCallStartsThatIsNotExpectedToEndBeforeShutdown() {
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.policy.shutdownScheduled(harness.now, 3000);
        harness.submit(1, SAFE, 1);
        assertEquals(List.of(1L), harness.sent());
        harness.submit(2, UNSAFE, 1);
        assertEquals(List.of(1L), harness.sent(), "an unsafe message needs its whole time-out before the shutdown");
        harness.advanceTo(2500);
        harness.submit(3, SAFE, 1);
        harness.advanceTo(6000);
        assertFalse(harness.sent().contains(3L));
    }

    // ---- after an upgrade ----

    private static PolicyHarness successorOf(PolicyHarness predecessor, int slots) {
        PolicyHarness harness = new PolicyHarness(slots);
        harness.advanceTo(77_000);
        harness.list(1, 10);
        harness.takeOver(predecessor, 100);
        return harness;
    }

    @Test
    void retryAfterContinuesInNextProcess() {
        PolicyHarness predecessor = new PolicyHarness().list(1, 10);
        predecessor.submit(1, SAFE, 1);
        predecessor.end(1, 0, Outcome.FULL, 3000);
        PolicyHarness harness = successorOf(predecessor, 10);
        harness.submit(2, SAFE, 1);
        harness.advanceTo(77_000 + 2850);
        assertEquals(List.of(), harness.sends);
        harness.advanceTo(77_000 + 6000);
        assertFalse(harness.sends.isEmpty());
    }

    @Test
    void attemptInFlightHoldsSlotAndKeyInNextProcessAndIsNotRepeated() {
        PolicyHarness predecessor = new PolicyHarness(2).list(1, 10);
        predecessor.submit(1, UNSAFE, 1, "k");
        predecessor.submit(2, UNSAFE, 1, "k");
        PolicyHarness harness = successorOf(predecessor, 2);
        harness.submit(3, UNSAFE, 1, "k");
        harness.advanceTo(78_000);
        assertEquals(List.of(), harness.sends, "the key waits for the call in flight");
        harness.end(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(2L), harness.sent(), "the order is kept");
        harness.end(2, 0, Outcome.DELIVERED);
        assertEquals(List.of(2L, 3L), harness.sent());
        assertEquals(List.of(), harness.answers);
        PolicyHarness predecessorWithOneSlot = new PolicyHarness(1).list(1, 10);
        predecessorWithOneSlot.submit(1, SAFE, 1);
        predecessorWithOneSlot.submit(2, SAFE, 1);
        PolicyHarness successor = successorOf(predecessorWithOneSlot, 1);
        assertEquals(List.of(), successor.sends, "the only slot is in use");
        successor.end(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(2L), successor.sent());
    }

    @Test
    void downEndpointStaysDownInNextProcess() {
        PolicyHarness predecessor = new PolicyHarness().list(1, 10, 11);
        for (long id = 1; id <= 2; id++) {
            predecessor.submit(id, SAFE, 1);
            predecessor.end(id, 0, Outcome.UNREACHABLE);
        }
        assertTrue(predecessor.policy.isExcluded(10));
        assertTrue(successorOf(predecessor, 10).policy.isExcluded(10));
    }

    @Test
    void messageIsAnsweredByDeadlineInNextProcess() {
        PolicyHarness predecessor = new PolicyHarness().entry(10, 1, 0, 0, false);
        predecessor.submit(1, SAFE, 1);
        predecessor.advanceTo(10_000);
        PolicyHarness harness = new PolicyHarness();
        harness.entry(10, 1, 0, 0, false);
        harness.takeOver(predecessor, 0);
        harness.advanceTo(5900);
        assertEquals(List.of(), harness.answers);
        harness.advanceTo(6005);
        assertEquals(List.of("refuse 1"), harness.answers);
    }

    @Test
    void messagesAcceptedAfterOneWhoseHedgeEndedFirstAreKnownToNextProcess() {
        PolicyHarness predecessor = new PolicyHarness().list(1, 10, 11);
        predecessor.submit(1, SAFE, 1);
        predecessor.advanceTo(1100);
        assertEquals(List.of(1L, 1L), predecessor.sent(), "a hedge is in flight beside the first attempt");
        predecessor.end(1, 1, Outcome.ERROR);
        predecessor.entry(20, 2, 0, 0, false);
        predecessor.submit(2, SAFE, 2);
        PolicyHarness harness = new PolicyHarness().list(1, 10, 11);
        harness.entry(20, 2, 0, 0, false);
        harness.takeOver(predecessor, 0);
        harness.advanceTo(16_000);
        assertTrue(harness.answers.contains("refuse 2"), "answered: " + harness.answers);
    }
}
