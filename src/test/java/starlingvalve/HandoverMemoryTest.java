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

/**
 * Hands the state of a policy to that of the next process in an upgrade, with messages in each state in which they may
 * be at that moment. The next policy has to end each of them by its deadline.
 */
class HandoverMemoryTest {
    private static final JsonMapper JSON = JsonMapper.builder().addModule(new Jdk8Module()).build();

    /** Passes a snapshot through JSON, as between two processes. */
    private static DeliveryPolicy.Snapshot transferred(DeliveryPolicy.Snapshot snapshot) {
        try {
            return JSON.readValue(JSON.valueToTree(snapshot).toString(), DeliveryPolicy.Snapshot.class);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Lists two endpoints of destination 1, and a draining one of destination 2, whose messages wait. */
    private static PolicyHarness withEndpoints(PolicyHarness harness) {
        return harness.list(1, 10, 11).entry(20, 2, 0, 0, false);
    }

    private static PolicyHarness successor(PolicyHarness predecessor) {
        PolicyHarness harness = withEndpoints(new PolicyHarness());
        harness.takeOver(predecessor, 0, HandoverMemoryTest::transferred);
        return harness;
    }

    private static PolicyHarness withHedgeInFlight() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, SAFE, 1);
        predecessor.advanceTo(1100);
        assertEquals(List.of(1L, 1L), predecessor.sent(), "the hedge is in flight");
        return predecessor;
    }

    private static void assertEndsBeforeDeadline(PolicyHarness harness, long message, double leftMs) {
        harness.advanceTo(harness.now + leftMs + 300);
        assertTrue(harness.answers.contains("refuse " + message),
                "message " + message + " has no end: " + harness.answers);
    }

    @Test
    void messageWaitingBehindOneWithEndedHedgeIsRestored() {
        PolicyHarness predecessor = withHedgeInFlight();
        predecessor.end(1, 1, Outcome.FULL);
        predecessor.submit(2, SAFE, 2);
        assertEndsBeforeDeadline(successor(predecessor), 2, 16_000);
    }

    @Test
    void messageWithEndedHedgeEndsInNextProcess() {
        PolicyHarness predecessor = withHedgeInFlight();
        predecessor.end(1, 1, Outcome.NOT_SENT);
        PolicyHarness harness = successor(predecessor);
        harness.advanceTo(5000);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 10);
        harness.end(1, 0, Outcome.TIMED_OUT);
        harness.advanceTo(harness.now + 5000);
        harness.assertAllAnswered();
    }

    @Test
    void messageWaitingBehindOneWithEndedFirstAttemptIsRestored() {
        PolicyHarness predecessor = withHedgeInFlight();
        predecessor.end(1, 0, Outcome.FULL);
        predecessor.submit(2, SAFE, 2);
        assertEndsBeforeDeadline(successor(predecessor), 2, 16_000);
    }

    @Test
    void messageWaitingBehindOneWithBothAttemptsInFlightIsRestored() {
        PolicyHarness predecessor = withHedgeInFlight();
        predecessor.submit(2, SAFE, 2);
        assertEndsBeforeDeadline(successor(predecessor), 2, 16_000);
    }

    @Test
    void messageWaitingBehindDeliveredOneWithHedgeInFlightIsRestored() {
        PolicyHarness predecessor = withHedgeInFlight();
        predecessor.end(1, 0, Outcome.DELIVERED);
        predecessor.submit(2, SAFE, 2);
        assertEndsBeforeDeadline(successor(predecessor), 2, 16_000);
    }

    @Test
    void messageInBackoffIsRestored() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, SAFE, 1);
        predecessor.end(1, 0, Outcome.FULL, 300);
        PolicyHarness harness = successor(predecessor);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 10);
        harness.advanceTo(16_300);
        harness.assertAllAnswered();
    }

    @Test
    void messageOverdueAtHandoverIsEndedByNextProcess() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, UNSAFE, 1);
        predecessor.advanceTo(16_010);
        predecessor.submit(2, SAFE, 2);
        PolicyHarness harness = successor(predecessor);
        harness.end(1, 0, Outcome.NOT_SENT);
        assertEquals(List.of("refuse 1"), harness.answers);
        assertEndsBeforeDeadline(harness, 2, 16_000);
    }

    @Test
    void messageWhoseCallIsStillInFlightIsEndedByNextProcess() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, KEYED, 1);
        predecessor.policy.attemptEnded(predecessor.now,
                new DeliveryPolicy.AttemptEnd(1, 0, Outcome.TIMED_OUT, 10, false, 0, true));
        predecessor.policy.endTurn(predecessor.now);
        PolicyHarness harness = successor(predecessor);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 10);
        harness.advanceTo(3000);
        harness.assertAllAnswered();
        harness.policy.callEnded(harness.now, 1);
    }

    @Test
    void orderedKeyContinuesAfterEndedMessageWhoseCallWasInFlightAtHandover() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, UNSAFE, 1, "k");
        predecessor.policy.attemptEnded(predecessor.now,
                new DeliveryPolicy.AttemptEnd(1, 0, Outcome.TIMED_OUT, 10, false, 0, true));
        predecessor.policy.endTurn(predecessor.now);
        assertEquals(List.of("fail 1"), predecessor.answers);
        predecessor.submit(2, UNSAFE, 1, "k");
        assertEquals(List.of(1L), predecessor.sent(), "the key waits for the call in flight");
        PolicyHarness harness = successor(predecessor);
        harness.advanceTo(2000);
        assertEquals(List.of(), harness.sent(), "the key waits for the call in the next process too");
        harness.policy.callEnded(harness.now, 1);
        harness.policy.endTurn(harness.now);
        harness.advanceTo(3000);
        assertEquals(List.of(2L), harness.sent(), "the key continues once the call has ended");
    }

    @Test
    void orderedKeyContinuesAfterWithdrawnMessageInFlightAtHandover() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, UNSAFE, 1, "k");
        predecessor.withdraw(1);
        predecessor.submit(2, UNSAFE, 1, "k");
        assertEquals(List.of(1L), predecessor.sent(), "the key waits for the attempt in flight");
        PolicyHarness harness = successor(predecessor);
        harness.advanceTo(1000);
        assertEquals(List.of(), harness.sent(), "the key waits for the attempt in the next process too");
        harness.end(1, 0, Outcome.NOT_SENT);
        harness.advanceTo(2000);
        assertEquals(List.of(2L), harness.sent(), "the key continues once the attempt has ended");
    }

    @Test
    void orderedKeyIsNotBlockedByEndedMessageInFlightAtHandover() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, UNSAFE, 1, "k");
        predecessor.withdraw(1);
        PolicyHarness harness = successor(predecessor);
        harness.submit(2, UNSAFE, 2, "k");
        harness.end(1, 0, Outcome.NOT_SENT);
        harness.advanceTo(17_000);
        assertEquals(List.of("refuse 2"), harness.answers);
        harness.submit(3, UNSAFE, 1, "k");
        harness.advanceTo(18_000);
        assertEquals(List.of(3L), harness.sent(), "no earlier message of the key is in flight or waiting");
    }

    /** There are no further events, so the retry has to be triggered by a timer. */
    @Test
    void retryThrottledAtHandoverIsMadeByNextProcessOnceAllowed() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        for (long id = 1; id <= 2; id++) {
            predecessor.submit(id, SAFE, 1);
        }
        predecessor.onSend = attempt -> predecessor.endLater(attempt, Outcome.FULL, 10);
        predecessor.end(1, 0, Outcome.FULL);
        predecessor.end(2, 0, Outcome.FULL);
        predecessor.advanceTo(3000);
        PolicyHarness harness = successor(predecessor);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 10);
        harness.advanceTo(12_900);
        assertFalse(harness.sends.isEmpty(), "the throttle's period ends after 10 s, 3 s before the deadline");
    }

    @Test
    void failureToEndOneMessageDoesNotKeepOthersFromEnding() {
        PolicyHarness harness = withEndpoints(new PolicyHarness());
        harness.failsToAnswer = 1;
        harness.submit(1, SAFE, 2);
        harness.submit(2, SAFE, 2);
        advanceToDespiteFaults(harness, 16_300);
        assertEquals(List.of("refuse 2"), harness.answers);
    }

    @Test
    void failureToEndRestoredMessageDoesNotKeepOthersFromEnding() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, SAFE, 2);
        predecessor.advanceTo(16_000);
        predecessor.submit(2, SAFE, 2);
        predecessor.answers.clear();
        DeliveryPolicy.Snapshot snapshot = transferred(predecessor.policy.snapshot(predecessor.now));
        DeliveryPolicy.MessageSnapshot second = snapshot.messages().get(snapshot.messages().size() - 1);
        DeliveryPolicy.MessageSnapshot overdue =
                new DeliveryPolicy.MessageSnapshot(new DeliveryPolicy.Message(1, SAFE, 0, second.message().key(), -10,
                        2), 0, 0, false, false, false, 0, List.of());
        PolicyHarness harness = withEndpoints(new PolicyHarness());
        harness.failsToAnswer = 1;
        try {
            harness.takeOver(predecessor, 0, s -> new DeliveryPolicy.Snapshot(s.endpoints(), List.of(overdue, second),
                    s.keyRests(), s.firstSends(), s.copies(), s.retries()));
        } catch (IllegalStateException fault) {
            harness.at(harness.now, () -> harness.policy.endTurn(harness.now));
        }
        advanceToDespiteFaults(harness, 16_300);
        assertEquals(List.of("refuse 2"), harness.answers);
    }

    @Test
    void messageThatCannotBeRestoredIsNotOpenInNextProcess() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, SAFE, 2);
        predecessor.advanceTo(15_990);
        PolicyHarness harness = withEndpoints(new PolicyHarness());
        harness.advanceTo(100);
        harness.failsToAnswer = 1;
        try {
            harness.takeOver(predecessor, 50, HandoverMemoryTest::transferred);
        } catch (IllegalStateException fault) {
            // The message is overdue, and the attempt to end it fails.
        }
        assertEquals(Set.of(), harness.policy.openMessages(), "an open message would count as handled by the policy");
    }

    @Test
    void messageWhoseDeadlineIsWithinHandoverPauseIsAnsweredBeforeIt() {
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.submit(1, SAFE, 2);
        predecessor.advanceTo(1000);
        predecessor.submit(2, SAFE, 2);
        predecessor.advanceTo(15_500);
        predecessor.policy.handoverStarting(predecessor.now, 1000);
        assertEquals(List.of("refuse 1"), predecessor.answers);
        assertEquals(Set.of(2L), predecessor.policy.openMessages());
    }

    /** Handles exceptions of the policy as the sender does: each ends its turn, and the next turn follows. */
    private static void advanceToDespiteFaults(PolicyHarness harness, double time) {
        while (harness.now < time - 10) {
            try {
                harness.advanceTo(time);
            } catch (IllegalStateException fault) {
                // The next turn comes only from a wake-up that the policy requested.
            }
        }
    }

    @Test
    void eachMessageEndsBeforeDeadlineWheneverHandoverHappens() {
        List<String> failed = new ArrayList<>();
        for (long seed = 1; seed <= 300; seed++) {
            try {
                handOverAtRandomMoment(seed);
            } catch (RuntimeException | AssertionError e) {
                failed.add("seed " + seed + ": " + e);
            }
        }
        assertEquals(List.of(), failed, failed.size() + " of 300 handovers failed");
    }

    private static void handOverAtRandomMoment(long seed) {
        Random random = new Random(seed);
        PolicyHarness predecessor = withEndpoints(new PolicyHarness());
        predecessor.onSend = attempt -> endAtRandom(predecessor, attempt, random);
        double handoverAt = 500 + random.nextInt(6000);
        for (long id = 1; predecessor.now < handoverAt; id++) {
            predecessor.submit(id, random.nextInt(4), random.nextInt(8) == 0 ? 2 : 1, "key " + random.nextInt(6));
            predecessor.advanceTo(predecessor.now + 20 + random.nextInt(300));
        }
        PolicyHarness harness = withEndpoints(new PolicyHarness());
        harness.onSend = attempt -> endAtRandom(harness, attempt, random);
        DeliveryPolicy.Snapshot snapshot = transferred(predecessor.policy.snapshot(predecessor.now));
        harness.takeOver(predecessor, 0, s -> snapshot);
        for (DeliveryPolicy.MessageSnapshot restored : snapshot.messages()) {
            for (int i = 0; i < restored.attempts().size(); i++) {
                if (restored.attempts().get(i).out()) {
                    endAtRandom(harness, new PolicyHarness.Sent(restored.message().id(), i, 0, 0,
                            Math.max(1, Math.min(5000, restored.message().timeLeftMs()))), random);
                }
            }
        }
        harness.advanceTo(16_300);
        for (DeliveryPolicy.MessageSnapshot restored : snapshot.messages()) {
            assertTrue(restored.ended() || harness.hasEnded(restored.message().id()),
                    "message " + restored.message().id() + " has no end");
        }
    }

    private static void endAtRandom(PolicyHarness harness, PolicyHarness.Sent attempt, Random random) {
        Outcome[] outcomes = {Outcome.DELIVERED, Outcome.DELIVERED, Outcome.FULL, Outcome.ERROR, Outcome.TIMED_OUT,
            Outcome.NO_CONNECTION, Outcome.UNREACHABLE, Outcome.NOT_SENT};
        Outcome outcome = outcomes[random.nextInt(outcomes.length)];
        double tookMs = outcome == Outcome.TIMED_OUT ? attempt.timeout() : 1 + random.nextInt(1500);
        harness.endLater(attempt, tookMs >= attempt.timeout() ? Outcome.TIMED_OUT : outcome,
                Math.min(tookMs, attempt.timeout()));
    }
}
