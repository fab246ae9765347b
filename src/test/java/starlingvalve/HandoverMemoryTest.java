package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static starlingvalve.MessageClasses.KEYED;
import static starlingvalve.MessageClasses.SAFE;
import static starlingvalve.MessageClasses.UNSAFE;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Each state in which a message may be handed over: the module of the next process ends it in its time. */
class HandoverMemoryTest {
    private static final JsonMapper JSON = JsonMapper.builder().addModule(new Jdk8Module()).build();

    /** As it passes between two processes. */
    private static DeliveryPolicy.Snapshot passed(DeliveryPolicy.Snapshot snapshot) {
        try {
            return JSON.readValue(JSON.valueToTree(snapshot).toString(), DeliveryPolicy.Snapshot.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Two endpoints of one destination, and one that takes nothing: what is sent to the latter waits. */
    private static PolicyHarness world(PolicyHarness b) {
        return b.list(1, 10, 11).entry(20, 2, 0, 0, false);
    }

    private static PolicyHarness successor(PolicyHarness old) {
        PolicyHarness b = world(new PolicyHarness());
        b.takeOver(old, 0, HandoverMemoryTest::passed);
        return b;
    }

    private static PolicyHarness withCopyOut() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, SAFE, 1);
        old.advanceTo(1100);
        assertEquals(List.of(1L, 1L), old.sent(), "its copy is out");
        return old;
    }

    private static void isEndedInTime(PolicyHarness b, long message, double leftMs) {
        b.advanceTo(b.now + leftMs + 300);
        assertTrue(b.answers.contains("refuse " + message), "message " + message + " has no end: " + b.answers);
    }

    @Test
    void whatWaitsBehindAMessageWhoseCopyHasEndedIsNotForgottenByTheNextProcess() {
        PolicyHarness old = withCopyOut();
        old.end(1, 1, Outcome.FULL);
        old.submit(2, SAFE, 2);
        isEndedInTime(successor(old), 2, 16_000);
    }

    @Test
    void aMessageWhoseCopyHasEndedEndsInTheNextProcess() {
        PolicyHarness old = withCopyOut();
        old.end(1, 1, Outcome.NOT_SENT);
        PolicyHarness b = successor(old);
        b.advanceTo(5000);
        b.onSend = s -> b.endLater(s, Outcome.DELIVERED, 10);
        b.end(1, 0, Outcome.TIMED_OUT);
        b.advanceTo(b.now + 5000);
        b.assertAllAnswered();
    }

    @Test
    void whatWaitsBehindAMessageWhoseFirstAttemptHasEndedIsNotForgottenByTheNextProcess() {
        PolicyHarness old = withCopyOut();
        old.end(1, 0, Outcome.FULL);
        old.submit(2, SAFE, 2);
        isEndedInTime(successor(old), 2, 16_000);
    }

    @Test
    void whatWaitsBehindAMessageWithBothAttemptsOutIsNotForgottenByTheNextProcess() {
        PolicyHarness old = withCopyOut();
        old.submit(2, SAFE, 2);
        isEndedInTime(successor(old), 2, 16_000);
    }

    @Test
    void whatWaitsBehindADeliveredMessageWhoseCopyIsStillOutIsNotForgottenByTheNextProcess() {
        PolicyHarness old = withCopyOut();
        old.end(1, 0, Outcome.DELIVERED);
        old.submit(2, SAFE, 2);
        isEndedInTime(successor(old), 2, 16_000);
    }

    @Test
    void whatWaitsForItsBackoffIsNotForgottenByTheNextProcess() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, SAFE, 1);
        old.end(1, 0, Outcome.FULL, 300);
        PolicyHarness b = successor(old);
        b.onSend = s -> b.endLater(s, Outcome.DELIVERED, 10);
        b.advanceTo(16_300);
        b.assertAllAnswered();
    }

    @Test
    void whatIsOverdueAtTheHandoverIsEndedByTheNextProcess() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, UNSAFE, 1);
        old.advanceTo(16_010);
        old.submit(2, SAFE, 2);
        PolicyHarness b = successor(old);
        b.end(1, 0, Outcome.NOT_SENT);
        assertEquals(List.of("refuse 1"), b.answers);
        isEndedInTime(b, 2, 16_000);
    }

    @Test
    void whatTheOldProcessLeftInAnOpenCallIsEndedByTheNextProcess() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, KEYED, 1);
        old.policy.attemptEnded(old.now, new DeliveryPolicy.AttemptEnd(1, 0, Outcome.TIMED_OUT, 10, false, 0, true));
        old.policy.endTurn(old.now);
        PolicyHarness b = successor(old);
        b.onSend = s -> b.endLater(s, Outcome.DELIVERED, 10);
        b.advanceTo(3000);
        b.assertAllAnswered();
        b.policy.callEnded(b.now, 1);
    }

    @Test
    void aKeyInOrderGoesOnWhenItsEndedMessageWasInAnOpenCallAtTheHandover() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, UNSAFE, 1, "k");
        old.policy.attemptEnded(old.now, new DeliveryPolicy.AttemptEnd(1, 0, Outcome.TIMED_OUT, 10, false, 0, true));
        old.policy.endTurn(old.now);
        assertEquals(List.of("fail 1"), old.answers);
        old.submit(2, UNSAFE, 1, "k");
        assertEquals(List.of(1L), old.sent(), "the key waits for the open call");
        PolicyHarness b = successor(old);
        b.advanceTo(2000);
        assertEquals(List.of(), b.sent(), "the key waits for the open call here too");
        b.policy.callEnded(b.now, 1);
        b.policy.endTurn(b.now);
        b.advanceTo(3000);
        assertEquals(List.of(2L), b.sent(), "the key goes on once the call is closed");
    }

    @Test
    void aKeyInOrderGoesOnWhenItsWithdrawnMessageWasOutAtTheHandover() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, UNSAFE, 1, "k");
        old.withdraw(1);
        old.submit(2, UNSAFE, 1, "k");
        assertEquals(List.of(1L), old.sent(), "the key waits for the attempt that is out");
        PolicyHarness b = successor(old);
        b.advanceTo(1000);
        assertEquals(List.of(), b.sent(), "the key waits for the attempt here too");
        b.end(1, 0, Outcome.NOT_SENT);
        b.advanceTo(2000);
        assertEquals(List.of(2L), b.sent(), "the key goes on once the attempt has ended");
    }

    @Test
    void aKeyInOrderIsNotStuckAfterAnEndedMessageOfItWasOutAtTheHandover() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, UNSAFE, 1, "k");
        old.withdraw(1);
        PolicyHarness b = successor(old);
        b.submit(2, UNSAFE, 2, "k");
        b.end(1, 0, Outcome.NOT_SENT);
        b.advanceTo(17_000);
        assertEquals(List.of("refuse 2"), b.answers);
        b.submit(3, UNSAFE, 1, "k");
        b.advanceTo(18_000);
        assertEquals(List.of(3L), b.sent(), "nothing of its key is out or waits before it");
    }

    /** Without other events: nothing but time lets it go. */
    @Test
    void aNewTryThatTheThrottleHoldsBackAtTheHandoverIsMadeByTheNextProcessOnceThereIsRoom() {
        PolicyHarness old = world(new PolicyHarness());
        for (long id = 1; id <= 2; id++) {
            old.submit(id, SAFE, 1);
        }
        old.onSend = s -> old.endLater(s, Outcome.FULL, 10);
        old.end(1, 0, Outcome.FULL);
        old.end(2, 0, Outcome.FULL);
        old.advanceTo(3000);
        PolicyHarness b = successor(old);
        b.onSend = s -> b.endLater(s, Outcome.DELIVERED, 10);
        b.advanceTo(12_900);
        assertFalse(b.sends.isEmpty(), "the period is over after 10 s, and there are 3 s left");
    }

    @Test
    void aMessageWhoseEndFailsDoesNotKeepThoseAtItsSideFromTheirs() {
        PolicyHarness b = world(new PolicyHarness());
        b.failsToAnswer = 1;
        b.submit(1, SAFE, 2);
        b.submit(2, SAFE, 2);
        untilPastFaults(b, 16_300);
        assertEquals(List.of("refuse 2"), b.answers);
    }

    @Test
    void aMessageWhoseEndFailsInTheNextProcessDoesNotKeepThoseBehindItFromTheirs() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, SAFE, 2);
        old.advanceTo(16_000);
        old.submit(2, SAFE, 2);
        old.answers.clear();
        DeliveryPolicy.Snapshot snapshot = passed(old.policy.snapshot(old.now));
        DeliveryPolicy.MessageSnapshot second = snapshot.messages().get(snapshot.messages().size() - 1);
        DeliveryPolicy.MessageSnapshot overdue =
                new DeliveryPolicy.MessageSnapshot(new DeliveryPolicy.Message(1, SAFE, 0, second.message().key(), -10,
                        2), 0, 0, false, false, false, 0, List.of());
        PolicyHarness b = world(new PolicyHarness());
        b.failsToAnswer = 1;
        try {
            b.takeOver(old, 0, m -> new DeliveryPolicy.Snapshot(m.endpoints(), List.of(overdue, second), m.keyRests(),
                    m.firstSends(), m.copies(), m.retries()));
        } catch (IllegalStateException fault) {
            b.at(b.now, () -> b.policy.endTurn(b.now));
        }
        untilPastFaults(b, 16_300);
        assertEquals(List.of("refuse 2"), b.answers);
    }

    @Test
    void aMessageThatCanNotBeRememberedIsNotOpenInTheNextProcess() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, SAFE, 2);
        old.advanceTo(15_990);
        PolicyHarness b = world(new PolicyHarness());
        b.advanceTo(100);
        b.failsToAnswer = 1;
        try {
            b.takeOver(old, 50, HandoverMemoryTest::passed);
        } catch (IllegalStateException fault) {
            // It is overdue, and its end fails.
        }
        assertEquals(Set.of(), b.policy.openMessages(), "it would count as looked after");
    }

    @Test
    void whatWaitsAndWouldRunOutOfTimeInTheHandoverIsAnsweredBeforeIt() {
        PolicyHarness old = world(new PolicyHarness());
        old.submit(1, SAFE, 2);
        old.advanceTo(1000);
        old.submit(2, SAFE, 2);
        old.advanceTo(15_500);
        old.policy.handoverStarting(old.now, 1000);
        assertEquals(List.of("refuse 1"), old.answers);
        assertEquals(Set.of(2L), old.policy.openMessages());
    }

    /** As the sender does: what the module throws ends its turn, and is noted. */
    private static void untilPastFaults(PolicyHarness b, double end) {
        while (b.now < end - 10) {
            try {
                b.advanceTo(end);
            } catch (IllegalStateException fault) {
                // The next turn is asked for by the module alone.
            }
        }
    }

    @Test
    void atWhateverMomentAModuleIsHandedOverEachMessageEndsInItsTime() {
        List<String> failed = new ArrayList<>();
        for (long seed = 1; seed <= 300; seed++) {
            try {
                handedOverAtRandom(seed);
            } catch (RuntimeException | AssertionError e) {
                failed.add("seed " + seed + ": " + e);
            }
        }
        assertEquals(List.of(), failed, failed.size() + " of 300 moments");
    }

    private static void handedOverAtRandom(long seed) {
        Random random = new Random(seed);
        PolicyHarness old = world(new PolicyHarness());
        old.onSend = s -> endAtRandom(old, s, random);
        double end = 500 + random.nextInt(6000);
        for (long id = 1; old.now < end; id++) {
            old.submit(id, random.nextInt(4), random.nextInt(8) == 0 ? 2 : 1, "key " + random.nextInt(6));
            old.advanceTo(old.now + 20 + random.nextInt(300));
        }
        PolicyHarness b = world(new PolicyHarness());
        b.onSend = s -> endAtRandom(b, s, random);
        DeliveryPolicy.Snapshot snapshot = passed(old.policy.snapshot(old.now));
        b.takeOver(old, 0, m -> snapshot);
        for (DeliveryPolicy.MessageSnapshot m : snapshot.messages()) {
            for (int i = 0; i < m.attempts().size(); i++) {
                if (m.attempts().get(i).out()) {
                    endAtRandom(b, new PolicyHarness.Sent(m.message().id(), i, 0, 0,
                            Math.max(1, Math.min(5000, m.message().timeLeftMs()))), random);
                }
            }
        }
        b.advanceTo(16_300);
        for (DeliveryPolicy.MessageSnapshot m : snapshot.messages()) {
            assertTrue(m.ended() || b.hasEnded(m.message().id()), "message " + m.message().id() + " has no end");
        }
    }

    private static void endAtRandom(PolicyHarness b, PolicyHarness.Sent s, Random random) {
        Outcome[] outcomes = {Outcome.DELIVERED, Outcome.DELIVERED, Outcome.FULL, Outcome.ERROR, Outcome.TIMED_OUT,
            Outcome.NO_CONNECTION, Outcome.UNREACHABLE, Outcome.NOT_SENT};
        Outcome outcome = outcomes[random.nextInt(outcomes.length)];
        double took = outcome == Outcome.TIMED_OUT ? s.timeout() : 1 + random.nextInt(1500);
        b.endLater(s, took >= s.timeout() ? Outcome.TIMED_OUT : outcome, Math.min(took, s.timeout()));
    }
}
