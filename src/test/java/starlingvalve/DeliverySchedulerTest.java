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

/** The module's behaviour, through its interface: what it costs, waves, rules, misuse and what operators order. */
class DeliverySchedulerTest {
    // ---- the cost of a turn ----

    /** Bytes allocated stand for work here: they hang on no clock, and a look at each message takes some. */
    private static long bytesOfATurnWith(int waiting) {
        PolicyHarness b = new PolicyHarness().list(1, 10).list(2, 20);
        b.submit(1, SAFE, 1);
        b.end(1, 0, Outcome.FULL, 9000);
        for (int id = 2; id < waiting; id++) {
            b.submit(id, SAFE, 1);
        }
        assertEquals(1, b.sends.size(), "all wait");
        var thread = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        b.policy.endTurn(b.now);
        long before = thread.getCurrentThreadAllocatedBytes();
        b.policy.endTurn(b.now);
        return thread.getCurrentThreadAllocatedBytes() - before;
    }

    @Test
    void aTurnInWhichNothingMayGoCostsNoMoreForALongQueue() {
        bytesOfATurnWith(10);
        long few = bytesOfATurnWith(10);
        long many = bytesOfATurnWith(1000);
        assertTrue(many <= few + 1000, few + " bytes with 10 messages, " + many + " with 1000");
    }

    // ---- the wave ----

    @Test
    void aWakeThatComesAMomentEarlyIsAskedForAgain() {
        PolicyHarness b = new PolicyHarness();
        b.submit(1, SAFE, 1);
        b.advanceTo(15_990);
        int asked = b.wakes.size();
        b.now = b.wakes.get(asked - 1) - 0.0004;
        b.policy.wake(b.now);
        b.policy.endTurn(b.now);
        assertEquals(asked + 1, b.wakes.size());
    }

    @Test
    void aCopyJoinsAtHalfTheAimOnAnotherEndpoint() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, SAFE, 1);
        b.advanceTo(990);
        assertEquals(1, b.sends.size());
        b.advanceTo(1010);
        assertEquals(2, b.sends.size());
        assertFalse(b.sends.get(0).endpoint() == b.sends.get(1).endpoint());
    }

    @Test
    void aCopyGoesToTheOnlyEndpointWhereThereIsNoOther() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, SAFE, 1);
        b.advanceTo(1010);
        assertEquals(2, b.sends.size());
    }

    @Test
    void theFirstDeliveryCancelsTheRest() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, SAFE, 1);
        b.advanceTo(1010);
        b.end(1, 1, Outcome.DELIVERED);
        assertEquals(List.of("1/0"), b.cancels);
        b.end(1, 0, Outcome.CANCELLED);
        b.advanceTo(20_000);
        assertEquals(2, b.sends.size());
        assertTrue(b.answers.isEmpty());
    }

    @Test
    void noNewWaveWhileAnAttemptIsOut() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, SAFE, 1);
        b.advanceTo(1010);
        b.end(1, 0, Outcome.ERROR);
        b.advanceTo(1900);
        assertEquals(2, b.sends.size());
        b.end(1, 1, Outcome.ERROR);
        b.advanceTo(2600);
        assertEquals(3, b.sends.size());
    }

    @Test
    void theStarterAllowsOneCopyAndATenthOfFirstSends() {
        PolicyHarness b = new PolicyHarness();
        for (int i = 0; i < 5; i++) {
            b.list(i, 10 + 2 * i, 11 + 2 * i);
        }
        for (int i = 0; i < 5; i++) {
            b.submit(i, SAFE, i);
        }
        b.advanceTo(1900);
        assertEquals(6, b.sends.size(), "five first sends allow 1.5 copies, so one");
    }

    @Test
    void noCopyWithoutAFreeSlot() {
        PolicyHarness b = new PolicyHarness(2);
        b.list(1, 10, 11);
        b.list(2, 20);
        b.submit(1, SAFE, 1);
        b.submit(2, SAFE, 2);
        b.advanceTo(1900);
        assertEquals(2, b.sends.size());
    }

    @Test
    void anUnsafeMessageDoesNotRace() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, UNSAFE, 1);
        b.advanceTo(5000);
        assertEquals(1, b.sends.size());
    }

    @Test
    void quickErrorsDoNotBurnAllAttempts() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.onSend = s -> b.endLater(s, Outcome.ERROR, 10);
        b.submit(1, SAFE, 1);
        b.advanceTo(1000);
        assertTrue(b.sends.size() >= 2 && b.sends.size() <= 5, "sends " + b.sends.size());
    }

    // ---- the rules ----

    @Test
    void everyMessageIsAnsweredOnceBeforeItsTimeIsUp() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, SAFE, 9);
        b.submit(2, UNSAFE, 1);
        b.advanceTo(15_990);
        assertTrue(b.answers.isEmpty());
        b.advanceTo(16_020);
        assertEquals(List.of("refuse 1"), b.answers, "nothing ran; the other is still out");
        b.end(2, 0, Outcome.TIMED_OUT);
        assertEquals(List.of("refuse 1", "fail 2"), b.answers);
        b.advanceTo(40_000);
        assertEquals(2, b.answers.size());
        assertEquals(1, b.sends.size());
    }

    @Test
    void anUnsafeMessageGoesAgainOnlyWithProofThatItNeverRan() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, UNSAFE, 1);
        b.end(1, 0, Outcome.UNREACHABLE);
        b.advanceTo(1000);
        assertEquals(2, b.sends.size());
        b.end(1, 1, Outcome.ERROR);
        assertEquals(List.of("fail 1"), b.answers);
        b.advanceTo(20_000);
        assertEquals(2, b.sends.size());
    }

    @Test
    void aKeyedMessageIsNotRepeatedOutsideItsWindow() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, KEYED, 1);
        b.advanceTo(4000);
        int sent = b.sends.size();
        for (int i = 0; i < sent; i++) {
            b.end(1, i, Outcome.TIMED_OUT);
        }
        b.advanceTo(16_100);
        assertEquals(sent, b.sends.size());
        assertEquals(1, b.answers.size());
    }

    @Test
    void aKeyedMessageStaysInTheZoneThatMayHaveRunIt() {
        PolicyHarness b = new PolicyHarness();
        b.entry(10, 1, 0, 0, true).entry(11, 1, 0, 1, true);
        b.submit(1, BY_ZONE, 1);
        long first = b.sends.get(0).endpoint();
        b.advanceTo(1010);
        b.end(1, 0, Outcome.TIMED_OUT);
        b.advanceTo(3000);
        assertTrue(b.sends.size() >= 2);
        assertTrue(b.sends.stream().allMatch(s -> s.endpoint() == first));
    }

    @Test
    void aFailureByZoneIsNeverARefusal() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, BY_ZONE, 1);
        b.onSend = s -> b.endLater(s, Outcome.ERROR, 5);
        b.end(1, 0, Outcome.ERROR);
        b.advanceTo(16_100);
        assertEquals(List.of("fail 1"), b.answers);
    }

    @Test
    void nothingNewGoesToADrainingOrGoneEndpoint() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, SAFE, 1);
        b.end(1, 0, Outcome.ERROR);
        b.entry(10, 1, 0, 0, false);
        b.advanceTo(5000);
        assertEquals(1, b.sends.size());
        b.policy.endpoints(b.now, true, List.of());
        b.submit(2, SAFE, 1);
        b.advanceTo(6000);
        assertEquals(1, b.sends.size());
    }

    @Test
    void aToldWaitStopsEverySendThere() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, SAFE, 1);
        b.end(1, 0, Outcome.FULL, 700);
        b.submit(2, UNSAFE, 1);
        b.submit(3, KEYED, 1);
        b.advanceTo(700);
        assertEquals(1, b.sends.size());
        b.advanceTo(4000);
        assertTrue(b.sends.size() > 1);
    }

    /** Found on menu-delivery big-2: only the first message's wait of a shared call was kept. */
    @Test
    void eachMessageOfACallMayBeToldItsOwnWait() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 1, 0, true);
        b.submitTogether(2, SAFE, 1);
        b.end(1, 0, Outcome.FULL, 0);
        b.end(2, 0, Outcome.FULL, 3000);
        b.advanceTo(3000);
        assertEquals(2, b.sends.size());
    }

    @Test
    void aToldWaitBindsOneRouteWhereRoutesAreSeparate() {
        PolicyHarness b = new PolicyHarness().entry(10, 1, 2, 0, true).entry(11, 1, 2, 0, true);
        b.submit(1, SAFE, 1);
        b.end(1, 0, Outcome.FULL, 5000);
        b.advanceTo(900);
        assertEquals(2, b.sends.size());
        assertFalse(b.sends.get(0).endpoint() == b.sends.get(1).endpoint());
    }

    @Test
    void messagesOfOneKeyGoOneAtATimeAsTakenAndRestAfterADoubtfulEnd() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, UNSAFE, 1, "k");
        b.submit(2, UNSAFE, 1, "k");
        b.submit(3, UNSAFE, 1, "other");
        assertEquals(List.of(1L, 3L), b.sent());
        b.end(1, 0, Outcome.TIMED_OUT);
        b.advanceTo(490);
        assertEquals(List.of(1L, 3L), b.sent());
        b.advanceTo(600);
        assertEquals(List.of(1L, 3L, 2L), b.sent());
    }

    @Test
    void aWithdrawnMessageWithAnOpenAttemptStillHoldsItsKey() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.submit(1, UNSAFE, 1, "k");
        b.submit(2, UNSAFE, 1, "k");
        b.policy.messageWithdrawn(b.now, 1);
        b.advanceTo(300);
        assertEquals(List.of(1L), b.sent());
        b.end(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(1L, 2L), b.sent());
    }

    // ---- misuse ----

    @Test
    void misuseThrowsAndLateEventsAreIgnored() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, SAFE, 1);
        assertThrows(IllegalArgumentException.class, () -> b.end(7, 0, Outcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> b.end(1, 3, Outcome.DELIVERED));
        assertThrows(IllegalArgumentException.class, () -> b.submit(1, SAFE, 1));
        assertThrows(IllegalArgumentException.class, () -> b.submit(2, 17, 1));
        assertThrows(IllegalArgumentException.class, () -> b.policy.wake(b.now - 1));
        b.policy.messageWithdrawn(b.now, 99);
        b.policy.wake(b.now);
    }

    // ---- a random sequence against all rules ----

    @Test
    void randomEventsKeepTheRules() {
        for (int seed = 0; seed < 30; seed++) {
            new RandomDay(seed).run();
        }
    }

    /** A seeded day of random ends, drains and withdrawals; the recorder checks the rules at each action. */
    private static final class RandomDay {
        private final Random random;
        private final PolicyHarness b;

        RandomDay(int seed) {
            random = new Random(seed);
            b = new PolicyHarness(4 + seed % 5);
            b.checksRules = true;
        }

        void run() {
            for (int d = 0; d < 4; d++) {
                b.entry(10 * d, d, d % 3, 0, true).entry(10 * d + 1, d, d % 3, 1, true);
            }
            Outcome[] outcomes = Outcome.values();
            b.onSend = s -> {
                Outcome outcome = random.nextInt(3) > 0 ? Outcome.DELIVERED : outcomes[random.nextInt(6)];
                double took = outcome == Outcome.TIMED_OUT ? s.timeout() : Math.min(s.timeout(),
                        random.nextInt(1500));
                b.endLater(s, outcome, took);
            };
            for (long id = 0; id < 300; id++) {
                int type = random.nextInt(4);
                b.submit(id, type, random.nextInt(4), "k" + random.nextInt(5));
                b.advanceTo(b.now + random.nextInt(120));
                if (random.nextInt(40) == 0) {
                    int d = random.nextInt(4);
                    b.entry(10 * d, d, d % 3, 0, random.nextBoolean());
                }
                if (random.nextInt(50) == 0) {
                    b.withdraw(random.nextInt((int) id + 1));
                }
            }
            b.advanceTo(b.now + 40_000);
            b.assertAllAnswered();
        }
    }

    // ---- operators ----

    @Test
    void anEndpointThatIsLeftOutGetsNothingWhateverTheListSaysAndComesBackCold() {
        PolicyHarness b = new PolicyHarness().list(1, 10, 11);
        b.policy.setMaintenance(b.now, 10, true);
        b.policy.setMaintenance(b.now, 10, true);
        b.list(1, 10);
        assertTrue(b.policy.isExcluded(10));
        assertFalse(b.policy.isExcluded(11));
        b.onSend = s -> b.endLater(s, Outcome.DELIVERED, 50);
        b.submitEvery(50, SAFE, 1, 10_000);
        assertTrue(b.sends.stream().allMatch(s -> s.endpoint() == 11));
        b.policy.setMaintenance(b.now, 10, false);
        b.submit(999, SAFE, 1);
        assertEquals(10, b.sends.get(b.sends.size() - 1).endpoint(), "one call back undoes two out");
        b.submitEvery(50, SAFE, 1, 12_000);
        long early = b.sends.stream().filter(s -> s.endpoint() == 10).count();
        assertTrue(early >= 1 && early <= 15, "used, but as a cold one: " + early);
        int before = b.sends.size();
        b.policy.setMaintenance(b.now, 10, false);
        b.submitEvery(50, SAFE, 1, 24_000);
        assertTrue(b.sends.stream().skip(before).filter(s -> s.endpoint() == 10).count() > 40);
    }

    @Test
    void aCallThatWaitsForItsConnectionDoesNotStartOnceItsEndpointIsLeftOut() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.submit(1, SAFE, 1);
        assertTrue(b.policy.mayBeginAttempt(b.now, 1, 0));
        b.policy.setMaintenance(b.now, 10, true);
        assertFalse(b.policy.mayBeginAttempt(b.now, 1, 0));
    }

    // ---- faults ----

    @Test
    void aMessageThatCanNotBeSentHoldsUpNoOther() {
        PolicyHarness b = new PolicyHarness().list(1, 10);
        b.onSend = s -> {
            if (s.message() == 1) {
                throw new IllegalStateException("a fault of the test's");
            }
        };
        assertThrows(IllegalStateException.class, () -> b.submitTogether(2, SAFE, 1));
        assertEquals(List.of(1L, 2L), b.sent());
    }

    // ---- the module's size ----

    @Test
    void theModuleStaysSmall() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/starlingvalve/DeliveryScheduler.java"));
        assertTrue(lines.stream().filter(l -> !l.isBlank()).count() <= 1200, "the operators' limit");
        assertTrue(lines.stream().allMatch(l -> l.length() <= 110));
    }
}
