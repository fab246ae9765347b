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

/** What the module goes on with from an earlier life, or from another process in an upgrade. */
class ModuleRestartTest {
    // ---- across lives ----

    private static PolicyHarness recovered(int type, double leftMs, DeliveryPolicy.EarlierAttempt... earlier) {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.advanceTo(20_000);
        b.recover(1, type, 1, leftMs, List.of(earlier));
        return b;
    }

    private static DeliveryPolicy.EarlierAttempt earlier(double agoMs, boolean mayHaveRun) {
        return new DeliveryPolicy.EarlierAttempt(10, 20_000 - agoMs, mayHaveRun);
    }

    @Test
    void anEarlierLifesAttemptHoldsNoSlotAndIsNumberedOnFrom() {
        PolicyHarness b = recovered(SAFE, 9000, earlier(500, true), earlier(100, false));
        assertEquals(List.of(1L), b.sent());
        b.end(1, 2, Outcome.DELIVERED);
        assertTrue(b.answers.isEmpty());
        for (long id = 2; id <= 6; id++) {
            b.submit(id, SAFE, 1);
        }
        assertTrue(b.sends.size() >= 5, "no slot is lost to what was out at the death");
    }

    @Test
    void aKeyedMessageIsRepeatedAfterARestartOnlyWithinItsWindow() {
        assertEquals(List.of(1L), recovered(KEYED, 9000, earlier(1000, true)).sent());
        PolicyHarness late = recovered(KEYED, 9000, earlier(4000, true));
        assertTrue(late.sends.isEmpty());
        assertEquals(List.of("refuse 1"), late.answers, "given up at once, not at its deadline");
        assertEquals(List.of(1L), recovered(KEYED, 9000, earlier(4000, false)).sent());
    }

    @Test
    void aKeyedMessageIsAnsweredWhenItsWindowHasPassed() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, KEYED, 1);
        b.end(1, 0, Outcome.ERROR);
        b.entry(10, 1, 0, 0, false);
        b.advanceTo(3650);
        assertTrue(b.answers.isEmpty());
        b.advanceTo(3750);
        assertEquals(List.of("refuse 1"), b.answers, "not only at its deadline");
    }

    @Test
    void aBacklogFromAnOutageBeforeTheRestartStartsWithTrials() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.advanceTo(20_000);
        for (long id = 1; id <= 12; id++) {
            b.recoverInTurn(id, SAFE, 1, 9000, List.of(earlier(1000, false)));
        }
        b.onSend = s -> b.endLater(s, Outcome.DELIVERED, 100);
        b.policy.endTurn(b.now);
        b.advanceTo(23_000);
        assertTrue(b.sends.size() >= 1 && b.sends.size() <= 4, "sent in 3 s: " + b.sends.size());
        b.advanceTo(29_100);
        b.assertAllAnswered();
    }

    /** What was taken with no time left was answered at once all the same, as if it had been wanted. */
    @Test
    void whatHasNoTimeToBeSentIsNotTaken() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        assertTrue(b.policy.admissionRetryAfter(b.now, new DeliveryPolicy.Message(1, SAFE, 0, Optional.of("k"), 1, 1))
                .isPresent());
        assertFalse(b.policy.admissionRetryAfter(b.now, new DeliveryPolicy.Message(1, SAFE, 0, Optional.of("k"), 9, 1))
                .isPresent());
    }

    /** Seen on herd+mass: of what a kill left untried a third had no call, as each waited for an even share's pace. */
    @Test
    void whatAnEarlierLifeNeverCalledForIsCalledForInTimeAheadOfThePaceAndNotAllAtOnce() {
        PolicyHarness b = new PolicyHarness(40, 100, 7);
        b.listedRate = 10;
        b.list(1, 10);
        b.advanceTo(20_000);
        for (long id = 1; id <= 8; id++) {
            b.recoverInTurn(id, SAFE, 1, 4000, List.of());
        }
        b.onSend = s -> b.endLater(s, Outcome.DELIVERED, 50);
        b.policy.endTurn(b.now);
        assertTrue(b.sends.size() <= 2, "at once: " + b.sends.size());
        b.advanceTo(22_100);
        assertEquals(8, b.sends.size(), "at a call in ten seconds they would all have died here");
        b.submit(9, SAFE, 1);
        b.advanceTo(23_000);
        assertEquals(8, b.sends.size(), "what is new keeps the pace");
    }

    @Test
    void whatAnEarlierLifeNeverCalledForHeedsAWaitAndItsKeysOrder() {
        PolicyHarness b = new PolicyHarness(40, 100, 7);
        b.listedRate = 10;
        b.list(1, 10);
        b.advanceTo(20_000);
        for (long id = 1; id <= 3; id++) {
            DeliveryPolicy.Message m = new DeliveryPolicy.Message(id, UNSAFE, 0, Optional.of("key"), 6000, 1);
            b.policy.messageRecovered(b.now, m, List.of());
        }
        b.policy.endTurn(b.now);
        b.policy.retryAfterReceived(b.now, 10, 1500);
        b.advanceTo(21_490);
        List<Long> before = b.sent();
        assertTrue(before.size() <= 1, "the wait is heeded: " + before);
        b.advanceTo(24_000);
        assertEquals(List.of(1L), b.sent(), "one at a time");
        b.policy.attemptEnded(b.now, new DeliveryPolicy.AttemptEnd(1, 0, Outcome.DELIVERED, 10, true, 0, false));
        b.policy.endTurn(b.now);
        b.advanceTo(24_300);
        assertEquals(List.of(1L, 2L), b.sent(), "the next once it may");
    }

    /** The older ones had calls, and come first: three of them must not speak for all that follow. */
    @Test
    void aFewWithTroubleAmongManyUntriedAreNoOutage() {
        PolicyHarness b = new PolicyHarness(40, 100, 7).list(1, 10);
        b.advanceTo(20_000);
        for (long id = 1; id <= 11; id++) {
            b.recoverInTurn(id, SAFE, 1, 9000, id <= 4 ? List.of(earlier(1000, false)) : List.of());
        }
        b.policy.endTurn(b.now);
        assertFalse(b.policy.isExcluded(10));
    }

    @Test
    void whatWasRefusedWaitsForADestinationThatIsNotListedYet() {
        for (int type : List.of(SAFE, KEYED, UNSAFE)) {
            PolicyHarness b = new PolicyHarness();
            b.advanceTo(20_000);
            b.recover(1, type, 1, 9000, List.of(earlier(1000, false)));
            assertEquals(List.of(), b.answers, "it surely has not run, and has time");
            b.list(1, 10);
            b.advanceTo(20_400);
            assertEquals(List.of(1L), b.sent());
        }
        PolicyHarness b = new PolicyHarness();
        b.advanceTo(20_000);
        b.recover(1, UNSAFE, 1, 9000, List.of(earlier(1000, true)));
        assertEquals(List.of("fail 1"), b.answers, "no list makes it repeatable");
    }

    @Test
    void oneRefusalAndMessagesThatTheRestartMadeLateAreNoOutage() {
        PolicyHarness b = new PolicyHarness(40).list(1, 10);
        b.now = 20_000;
        b.recoverInTurn(1, SAFE, 1, 9000, List.of(earlier(1000, false)));
        for (int id = 2; id <= 8; id++) {
            b.recoverInTurn(id, SAFE, 1, 9000, id % 2 == 0 ? List.of() : List.of(earlier(1000, true)));
        }
        b.policy.endTurn(b.now);
        assertEquals(8, b.sends.size());
    }

    @Test
    void callsThatWereOutAtTheRestartAreNoBacklogInTrouble() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.advanceTo(20_000);
        for (long id = 1; id <= 4; id++) {
            b.recoverInTurn(id, SAFE, 1, 15_000, List.of(earlier(1000, true)));
        }
        b.policy.endTurn(b.now);
        assertEquals(List.of(1L, 2L, 3L, 4L), b.sent());
    }

    @Test
    void aRefusalTellsWhenTheDestinationOpensAgain() {
        PolicyHarness b = new PolicyHarness().list(1, 10).list(2, 20);
        b.submit(1, SAFE, 1);
        b.end(1, 0, Outcome.FULL, 5000);
        b.recover(2, SAFE, 1, -1, List.of());
        b.recover(3, SAFE, 2, -1, List.of());
        assertEquals(List.of("refuse 2", "refuse 3"), b.answers);
        assertTrue(b.retryAfters.get(0) >= 5000, "the told wait at least");
        assertEquals(0, b.retryAfters.get(1));
    }

    @Test
    void aZonesRepeatsStayInTheZoneAcrossLives() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        b.advanceTo(20_000);
        b.recover(1, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.EarlierAttempt(11, 19_900, true)));
        assertEquals(11, b.sends.get(0).endpoint());
        b.recover(2, BY_ZONE, 1, 9000, List.of(new DeliveryPolicy.EarlierAttempt(99, 19_900, true)));
        assertEquals(List.of("fail 2"), b.answers, "an endpoint that has left is of no known zone");
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsGivenUpAfterARestart() {
        PolicyHarness b = recovered(UNSAFE, 9000, earlier(100, true));
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("fail 1"), b.answers);
        assertEquals(List.of(1L), recovered(UNSAFE, 9000, earlier(100, false)).sent());
    }

    @Test
    void attemptsOfAllLivesCountTogether() {
        DeliveryPolicy.EarlierAttempt[] twelve = new DeliveryPolicy.EarlierAttempt[12];
        java.util.Arrays.fill(twelve, earlier(100, false));
        PolicyHarness b = recovered(SAFE, 9000, twelve);
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("refuse 1"), b.answers);
    }

    @Test
    void anOverdueMessageIsAnsweredAtOnce() {
        PolicyHarness b = recovered(SAFE, -100);
        assertTrue(b.sends.isEmpty());
        assertEquals(List.of("refuse 1"), b.answers);
    }

    @Test
    void anAttemptThatStillWaitsForItsConnectionHeedsAWaitToldMeanwhile() {
        PolicyHarness b = new PolicyHarness().list(1, 10).entry(20, 2, 0, 0, true);
        b.submit(1, SAFE, 1);
        b.submit(2, SAFE, 1);
        b.submit(3, SAFE, 2);
        assertEquals(3, b.sends.size());
        assertTrue(b.policy.mayBeginAttempt(b.now, 2, 0));
        b.end(1, 0, Outcome.FULL, 700);
        assertFalse(b.policy.mayBeginAttempt(b.now, 2, 0));
        assertTrue(b.policy.mayBeginAttempt(b.now, 3, 0));
        b.advanceTo(750);
        assertTrue(b.policy.mayBeginAttempt(b.now, 2, 0));
        b.entry(20, 2, 0, 0, false);
        assertFalse(b.policy.mayBeginAttempt(b.now, 3, 0), "it drains");
    }

    /** Decided inside its window, it waits for a connection that comes up late: it would run a second time. */
    @Test
    void aRepeatDoesNotStartOnceItsWindowHasPassed() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, KEYED, 1);
        assertTrue(b.policy.mayBeginAttempt(b.now, 1, 0), "the first of them has no window");
        b.advanceTo(100);
        b.end(1, 0, Outcome.BROKEN);
        b.advanceTo(1000);
        assertEquals(2, b.sends.size());
        assertTrue(b.policy.mayBeginAttempt(b.now, 1, 1));
        b.advanceTo(MessageClasses.CLASSES.get(KEYED).dedupWindowMs() + 10);
        assertFalse(b.policy.mayBeginAttempt(b.now, 1, 1), "what may have run is " + b.now + " ms old");
    }

    @Test
    void aKeyInOrderWaitsUntilTheAnswerOfTheOneBeforeIsHeard() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.acknowledgesAtOnce = false;
        b.policy.endedUnacknowledged(b.now, new DeliveryPolicy.Message(9, UNSAFE, 0, Optional.of("key"), 100, 1));
        b.submit(1, UNSAFE, 1, "key");
        b.submit(2, UNSAFE, 1, "key");
        assertEquals(List.of(), b.sent(), "what an earlier life ended is not heard yet");
        b.policy.endAcknowledged(b.now, 9);
        b.policy.endTurn(b.now);
        assertEquals(List.of(1L), b.sent());
        b.end(1, 0, Outcome.ERROR);
        assertEquals(List.of("fail 1"), b.answers);
        b.advanceTo(5000);
        assertEquals(List.of(1L), b.sent());
        b.policy.endAcknowledged(b.now, 1);
        b.policy.endTurn(b.now);
        assertEquals(List.of(1L, 2L), b.sent());
    }

    @Test
    void aKeyInOrderWaitsForACallThatIsStillOutForOthers() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, UNSAFE, 1, "key");
        b.submit(2, UNSAFE, 1, "key");
        b.policy.attemptEnded(b.now, new DeliveryPolicy.AttemptEnd(1, 0, Outcome.TIMED_OUT, 10, false, 0, true));
        b.policy.endTurn(b.now);
        assertEquals(List.of("fail 1"), b.answers, "its own answer is not held back");
        b.advanceTo(5000);
        assertEquals(List.of(1L), b.sent());
        b.policy.callEnded(b.now, 1);
        b.policy.endTurn(b.now);
        b.advanceTo(6000);
        assertEquals(List.of(1L, 2L), b.sent());
    }

    @Test
    void aKeyInOrderRestsAfterARestartWhereAnAttemptMayRunOn() {
        PolicyHarness b = recovered(UNSAFE, 9000, earlier(100, true));
        b.submit(2, UNSAFE, 1, "key 1");
        b.advanceTo(20_490);
        assertTrue(b.sends.isEmpty());
        b.advanceTo(20_510);
        assertEquals(List.of(2L), b.sent());
    }

    @Test
    void noCallStartsThatIsNotExpectedToEndBeforeTheClose() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.policy.shutdownScheduled(b.now, 3000);
        b.submit(1, SAFE, 1);
        assertEquals(List.of(1L), b.sent());
        b.submit(2, UNSAFE, 1);
        assertEquals(List.of(1L), b.sent(), "what can't be repeated has its whole time-out or none");
        b.advanceTo(2500);
        b.submit(3, SAFE, 1);
        b.advanceTo(6000);
        assertFalse(b.sent().contains(3L));
    }

    // ---- an upgrade ----

    private static PolicyHarness takenOver(PolicyHarness old, int slots) {
        PolicyHarness b = new PolicyHarness(slots);
        b.advanceTo(77_000);
        b.list(1, 10);
        b.takeOver(old, 100);
        return b;
    }

    @Test
    void aToldWaitRunsOnInTheNextProcess() {
        PolicyHarness old = new PolicyHarness().list(1, 10);
        old.submit(1, SAFE, 1);
        old.end(1, 0, Outcome.FULL, 3000);
        PolicyHarness b = takenOver(old, 10);
        b.submit(2, SAFE, 1);
        b.advanceTo(77_000 + 2850);
        assertEquals(List.of(), b.sends);
        b.advanceTo(77_000 + 6000);
        assertFalse(b.sends.isEmpty());
    }

    @Test
    void whatIsOutHoldsItsSlotAndKeyInTheNextProcessAndIsNotRepeated() {
        PolicyHarness old = new PolicyHarness(2).list(1, 10);
        old.submit(1, UNSAFE, 1, "k");
        old.submit(2, UNSAFE, 1, "k");
        PolicyHarness b = takenOver(old, 2);
        b.submit(3, UNSAFE, 1, "k");
        b.advanceTo(78_000);
        assertEquals(List.of(), b.sends, "the key waits for the call that is out");
        b.end(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(2L), b.sent(), "the order is kept");
        b.end(2, 0, Outcome.DELIVERED);
        assertEquals(List.of(2L, 3L), b.sent());
        assertEquals(List.of(), b.answers);
        PolicyHarness full = new PolicyHarness(1).list(1, 10);
        full.submit(1, SAFE, 1);
        full.submit(2, SAFE, 1);
        PolicyHarness c = takenOver(full, 1);
        assertEquals(List.of(), c.sends, "the only slot is taken");
        c.end(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(2L), c.sent());
    }

    @Test
    void whatIsDownStaysDownInTheNextProcess() {
        PolicyHarness old = new PolicyHarness().list(1, 10, 11);
        for (long id = 1; id <= 2; id++) {
            old.submit(id, SAFE, 1);
            old.end(id, 0, Outcome.UNREACHABLE);
        }
        assertTrue(old.policy.isExcluded(10));
        assertTrue(takenOver(old, 10).policy.isExcluded(10));
    }

    @Test
    void aMessageIsAnsweredByItsDeadlineInTheNextProcess() {
        PolicyHarness old = new PolicyHarness().entry(10, 1, 0, 0, false);
        old.submit(1, SAFE, 1);
        old.advanceTo(10_000);
        PolicyHarness b = new PolicyHarness();
        b.entry(10, 1, 0, 0, false);
        b.takeOver(old, 0);
        b.advanceTo(5900);
        assertEquals(List.of(), b.answers);
        b.advanceTo(6005);
        assertEquals(List.of("refuse 1"), b.answers);
    }

    @Test
    void messagesTakenAfterOneWhoseCopyEndedFirstAreKnownToTheNextProcess() {
        PolicyHarness old = new PolicyHarness().list(1, 10, 11);
        old.submit(1, SAFE, 1);
        old.advanceTo(1100);
        assertEquals(List.of(1L, 1L), old.sent(), "a copy is out beside the first attempt");
        old.end(1, 1, Outcome.ERROR);
        old.entry(20, 2, 0, 0, false);
        old.submit(2, SAFE, 2);
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.entry(20, 2, 0, 0, false);
        b.takeOver(old, 0);
        b.advanceTo(16_000);
        assertTrue(b.answers.contains("refuse 2"), "answered: " + b.answers);
    }
}
