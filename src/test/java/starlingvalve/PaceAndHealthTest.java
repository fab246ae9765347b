package starlingvalve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static starlingvalve.MessageClasses.NEVER_LATE;
import static starlingvalve.MessageClasses.SAFE;
import static starlingvalve.MessageClasses.UNSAFE;

import java.util.List;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Send rates and the health of endpoints, tested through {@link DeliveryPolicy}. */
class PaceAndHealthTest {
    @Test
    void refusalLowersSendRateAndDeliveriesRaiseIt() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 5);
        for (int i = 0; i < 8; i++) {
            harness.submit(i, SAFE, 1);
        }
        harness.advanceTo(100);
        assertEquals(8, harness.sends.size(), "no pacing before the first refusal");
        harness.onSend = attempt -> { };
        harness.submit(50, SAFE, 1);
        harness.end(50, 0, Outcome.FULL);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 5);
        for (int i = 100; i < 160; i++) {
            harness.submit(i, SAFE, 1);
        }
        double start = harness.now;
        harness.advanceTo(start + 1000);
        int early = harness.sends.size() - 9;
        assertTrue(early >= 4 && early <= 16, "paced, sent " + early);
        harness.advanceTo(start + 4000);
        assertTrue(harness.sends.size() - 9 > 5 * early, "the rate grows again");
    }

    /**
     * Refusals because of a full connection table of the endpoint lowered the send rate (simulator scenario calm+mass
     * of turin-couriers).
     */
    @Test
    void fullConnectionTableDoesNotLowerSendRate() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.submit(1, SAFE, 1);
        harness.end(1, 0, Outcome.NO_CONNECTION);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 5);
        for (int i = 100; i < 160; i++) {
            harness.submit(i, SAFE, 1);
        }
        harness.advanceTo(1000);
        assertEquals(61, harness.delivered(), "all are delivered, as the table has room again");
    }

    @Test
    void connectionAttemptsBackOffWhileConnectionTableIsFull() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.submit(1000, SAFE, 1);
        harness.end(1000, 0, Outcome.DELIVERED);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.NO_CONNECTION, 5);
        for (int i = 0; i < 200; i++) {
            harness.submit(i, SAFE, 1);
            harness.advanceTo(harness.now + 10);
        }
        long moments = harness.sends.stream().map(PolicyHarness.Sent::at).distinct().count() - 1;
        assertTrue(moments >= 3, "moments at which connections were tried in 2 s: " + moments);
        assertTrue(moments <= 12, "moments at which connections were tried in 2 s: " + moments);
    }

    @Test
    void twoSimultaneousRefusalsAreNoOutageInNewProcess() {
        PolicyHarness harness = new PolicyHarness(100, 100).list(1, 10);
        harness.submitTogether(2, SAFE, 1);
        assertEquals(2, harness.sends.size());
        harness.advanceTo(harness.now + 5);
        harness.end(1, 0, Outcome.FULL);
        harness.end(2, 0, Outcome.FULL);
        assertFalse(harness.policy.isExcluded(10));
    }

    @Test
    void silentEndpointGetsProbesInsteadOfBacklog() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        for (int i = 0; i < 40; i++) {
            harness.submit(i, SAFE, 1);
            harness.advanceTo(harness.now + 100);
        }
        int before = harness.sends.size();
        harness.advanceTo(harness.now + 4000);
        assertTrue(harness.sends.size() <= before + 3, "sent " + (harness.sends.size() - before));
    }

    /** An endpoint that answers after seconds must not count as silent (incident ia7b522). */
    @Test
    void slowAnswerEndsSilence() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.submit(1, UNSAFE, 1);
        harness.submit(2, UNSAFE, 1);
        harness.advanceTo(1500);
        harness.submit(3, UNSAFE, 1);
        assertEquals(2, harness.sends.size(), "a silent endpoint gets no backlog");
        harness.end(1, 0, Outcome.DELIVERED);
        assertEquals(3, harness.sends.size());
    }

    @Test
    void returningDestinationIsNotOverloaded() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 20);
        harness.submitEvery(100, SAFE, 1, 20_000);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.UNREACHABLE, 20);
        harness.submitEvery(100, SAFE, 1, 30_000);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 20);
        harness.submitEvery(100, SAFE, 1, 45_000);
        for (double from = 30_000; from + 1500 <= 42_000; from += 250) {
            double end = from + 1500;
            double capacity = 10 * 1.5 * (0.2 + 0.8 * Math.min(1, (from - 30_000) / 12_000));
            long sent = harness.sends.stream().filter(s -> s.at() >= end - 1500 && s.at() < end).count();
            assertTrue(sent <= 2 * capacity, "sent " + sent + " from " + from);
        }
    }

    /** Single connection resets kept an endpoint in slow start for ever (incident if1c477). */
    @Test
    void occasionalLostCallsDoNotHoldBackEndpoint() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt,
                harness.sends.size() % 4 == 0 ? Outcome.BROKEN : Outcome.DELIVERED, 20);
        harness.submitEvery(200, SAFE, 1, 30_000);
        long last = harness.sends.stream().filter(s -> s.at() > 20_000).count();
        assertTrue(last >= 50, "sends in the last ten seconds: " + last);
    }

    @Test
    void oneFailedConnectCausesNoSlowStart() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt,
                harness.sends.size() == 50 ? Outcome.UNREACHABLE : Outcome.DELIVERED, 20);
        harness.submitEvery(100, SAFE, 1, 11_000);
        double failedAt = harness.sends.get(49).at();
        long soon = harness.sends.stream().filter(s -> s.at() > failedAt && s.at() < failedAt + 4000).count();
        assertTrue(soon >= 35, "sent in the 4 s after: " + soon);
    }

    /**
     * Beside a healthy route, one that had been down was never probed again (simulator scenario menu-delivery rough-2).
     */
    @Test
    void downEndpointIsProbedBesideHealthyOne() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10, 11);
        harness.onSend = attempt -> harness.endLater(attempt,
                attempt.endpoint() == 10 && harness.now < 5000 ? Outcome.UNREACHABLE
                : Outcome.DELIVERED, 20);
        harness.submitEvery(100, SAFE, 1, 40_000);
        assertTrue(harness.sends.stream().filter(s -> s.endpoint() == 10 && s.at() > 30_000).count() > 10);
    }

    /**
     * A few slow destinations held every slot (incident ia7b522). With three slots in a sender, slow destinations held
     * two each (incident i1afe34).
     */
    @Test
    void destinationHoldsOneOfThreeSlots() {
        PolicyHarness harness = new PolicyHarness(3).list(1, 10).list(2, 20);
        harness.submit(1, SAFE, 1);
        harness.submit(2, SAFE, 1);
        harness.submit(3, SAFE, 2);
        assertEquals(List.of(1L, 3L), harness.sent());
        harness.end(1, 0, Outcome.DELIVERED);
        assertEquals(List.of(1L, 3L, 2L), harness.sent());
    }

    @Test
    void destinationLeavesSlotsForOthers() {
        PolicyHarness harness = new PolicyHarness(10).list(1, 10).list(2, 20);
        for (long id = 0; id < 20; id++) {
            harness.submit(id, SAFE, 1);
        }
        assertEquals(5, harness.sends.size());
        harness.submit(50, SAFE, 2);
        assertEquals(6, harness.sends.size());
    }

    /**
     * Without deliveries before the outage, slow start allowed one call in seven seconds (incident i119abc).
     */
    @Test
    void slowStartAfterInitialOutageFollowsAcceptedMessages() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt,
                harness.now < 6000 ? Outcome.UNREACHABLE : Outcome.DELIVERED, 20);
        harness.submitEvery(200, SAFE, 1, 14_000);
        long sent = harness.sends.stream().filter(s -> s.at() > 8000).count();
        assertTrue(sent >= 10, "sent in six seconds: " + sent);
    }

    /** Between periods of Retry-After the send rate grew to forty times the actual sends (incident i8f4fa9). */
    @Test
    void sendRateSettlesNearLimitThatSendsRetryAfter() {
        PolicyHarness harness = new PolicyHarness(100).list(1, 10);
        double[] allowance = {2, 0};
        harness.onSend = attempt -> {
            allowance[0] = Math.min(2, allowance[0] + (harness.now - allowance[1]) * 5 / 1000);
            allowance[1] = harness.now;
            boolean accepted = allowance[0] >= 1;
            allowance[0] -= accepted ? 1 : 0;
            harness.at(harness.now + 20, () -> harness.end(attempt.message(), attempt.attempt(),
                    accepted ? Outcome.DELIVERED : Outcome.FULL, accepted ? 0 : 2000));
        };
        harness.submitEvery(125, SAFE, 1, 60_000);
        long delivered = harness.delivered();
        assertTrue(delivered >= 0.6 * 5 * 60, "delivered in a minute at five a second: " + delivered);
    }

    /** Eight senders kept their least send rates for long after the refusals had ended (incident i40f4ff). */
    @Test
    void sendRateAmongManySendersRecoversWhenRefusalsEnd() {
        PolicyHarness harness = new PolicyHarness(100, 8);
        harness.listedRate = 16;
        harness.list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt,
                harness.now < 8000 && harness.sends.size() % 3 > 0 ? Outcome.FULL
                : Outcome.DELIVERED, 20);
        harness.submitEvery(400, SAFE, 1, 40_000);
        long late = harness.sends.stream().filter(s -> s.at() > 20_000 && s.at() < 30_000).count();
        assertTrue(late >= 22, "sent in ten seconds: " + late);
    }

    /** A listed rate may be far off, so actual deliveries have to count more. */
    @Test
    void farTooLowListedRateDoesNotStarveDestination() {
        PolicyHarness harness = new PolicyHarness(100, 1024);
        harness.listedRate = 0.001;
        harness.list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.DELIVERED, 20);
        harness.submitEvery(1000, SAFE, 1, 60_000);
        harness.advanceTo(76_000);
        assertTrue(harness.delivered() >= 8, "delivered of 60: " + harness.delivered());
    }

    @Test
    void invalidListedRateCountsAsNone() {
        for (double rate : List.of(0.0, -3.0, Double.NaN, 1e300)) {
            PolicyHarness harness = new PolicyHarness(100, 8);
            harness.listedRate = rate;
            harness.list(1, 10);
            harness.onSend = attempt -> harness.endLater(attempt,
                    harness.sends.size() % 3 == 0 ? Outcome.FULL : Outcome.DELIVERED, 20);
            harness.submitEvery(1000, SAFE, 1, 30_000);
            harness.advanceTo(46_000);
            assertTrue(harness.delivered() >= 20,
                    "delivered of 30 at a listed rate of " + rate + ": " + harness.delivered());
        }
    }

    @Test
    void classWhoseLatencyTargetIsItsDeadlineGoesFirstBeforeDeadline() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, SAFE, 1);
        harness.end(1, 0, Outcome.FULL, 4000);
        harness.submit(2, SAFE, 1);
        harness.submit(3, NEVER_LATE, 1);
        harness.advanceTo(4900);
        assertEquals(3L, harness.sent().get(1));
    }

    /** Eleven senders each kept a least send rate to a destination that refused all calls (incident ie9f35c). */
    @Test
    void leastSendRateFollowsSendersShareOfLoad() {
        PolicyHarness harness = new PolicyHarness(100, 11).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.FULL, 5);
        harness.submitEvery(500, SAFE, 1, 10_000);
        long sent = harness.sends.stream().filter(s -> s.at() > 2000).count();
        assertTrue(sent <= 8, "sent in eight seconds: " + sent);
    }

    /**
     * After refusals the rates of few senders fell far below their even shares of a listed rate (simulator scenario
     * akl-order-route).
     */
    @Test
    void listedRateKeepsSendRateNearEvenShare() {
        PolicyHarness harness = new PolicyHarness(100, 2);
        harness.listedRate = 8;
        harness.list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt,
                harness.sends.size() % 3 > 0 ? Outcome.FULL : Outcome.DELIVERED, 20);
        harness.submitEvery(500, SAFE, 1, 20_000);
        long sent = harness.sends.stream().filter(s -> s.at() > 5000 && s.at() < 15_000).count();
        assertTrue(sent >= 15, "sent in ten seconds: " + sent);
    }

    /**
     * With two hundred senders, a least send rate divided among them was one call a minute (simulator scenario
     * menu-delivery-later).
     */
    @Test
    void refusedMessageOfSmallSenderIsRetriedWithinOneSecond() {
        PolicyHarness harness = new PolicyHarness(3, 200).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt,
                attempt.attempt() == 0 ? Outcome.FULL : Outcome.DELIVERED, 5);
        for (int id = 1; id <= 3; id++) {
            harness.submit(id, SAFE, 1);
            harness.advanceTo(id * 15_000 + 1000);
            assertEquals(id, harness.delivered());
            harness.advanceTo(id * 15_000 + 15_000);
        }
    }

    /**
     * Senders whose Retry-After ended at the same moment all sent again at that moment (simulator scenario
     * menu-delivery-later).
     */
    @Test
    void sendersDoNotAllReturnAtEndOfCommonRetryAfter() {
        int early = 0;
        for (int seed = 0; seed < 40; seed++) {
            PolicyHarness harness = new PolicyHarness(3, 200, seed).list(1, 10);
            harness.submit(1, SAFE, 1);
            harness.end(1, 0, Outcome.FULL, 8000);
            harness.advanceTo(9000);
            early += harness.sends.size() - 1;
        }
        assertTrue(early <= 8, "calls of forty senders within a second after Retry-After: " + early);
    }

    /**
     * An endpoint that hung and refused most calls was sent further calls until it failed altogether (simulator
     * scenario menu-delivery-later).
     */
    @Test
    void refusalsAndLostCallsTogetherMarkEndpointDown() {
        PolicyHarness harness = new PolicyHarness(3, 200).list(1, 10);
        harness.onSend = attempt -> harness.endLater(attempt,
                harness.sends.size() % 3 > 0 ? Outcome.FULL : Outcome.ERROR, 300);
        harness.submitEvery(2000, SAFE, 1, 20_000);
        long late = harness.sends.stream().filter(s -> s.at() > 6000).count();
        assertTrue(late <= 2, "sent to an endpoint that never delivers: " + late);
    }

    /**
     * At one call in ten seconds, three bad ends over 2.5 s are rare, however long an outage lasts; so after a long
     * time without a delivery two in a row have to suffice.
     */
    @Test
    void twoBadEndsMarkEndpointDownAfterLongTimeWithoutDelivery() {
        for (double quietMs : new double[] {1000, 11_000}) {
            PolicyHarness harness = new PolicyHarness().list(1, 10);
            harness.submit(1, SAFE, 1);
            harness.end(1, 0, Outcome.DELIVERED);
            harness.advanceTo(quietMs);
            harness.submit(2, UNSAFE, 1);
            harness.end(2, 0, Outcome.ERROR);
            assertFalse(harness.policy.isExcluded(10), "one bad end must not mark the endpoint down");
            harness.submit(3, UNSAFE, 1);
            harness.end(3, 0, Outcome.ERROR);
            assertEquals(quietMs > 10_000, harness.policy.isExcluded(10), "after " + quietMs + " ms");
        }
    }

    /**
     * Refused calls counted towards a limit, and retries used it up for good (simulator scenario menu-delivery-later).
     */
    @Test
    void retriesOfRefusedMessagesAreBoundedByShareOfFirstSends() {
        PolicyHarness harness = new PolicyHarness(100, 50);
        for (long destination = 0; destination < 100; destination++) {
            harness.list(destination, destination);
        }
        harness.onSend = attempt -> harness.endLater(attempt, Outcome.FULL, 5);
        for (long id = 0; id < 100; id++) {
            harness.submit(id, SAFE, id);
            harness.advanceTo(harness.now + 100);
        }
        assertTrue(harness.sends.size() <= 132, "sends of a hundred messages: " + harness.sends.size());
        assertTrue(harness.sends.size() >= 120, "sends of a hundred messages: " + harness.sends.size());
    }

    @Test
    void messagesOfOneTurnShareCallAndSlot() {
        PolicyHarness harness = new PolicyHarness(1).entry(10, 1, 1, 0, true);
        harness.submitTogether(5, SAFE, 1);
        assertEquals(5, harness.sends.size());
    }

    @Test
    void cheaperRouteIsPreferred() {
        PolicyHarness harness = new PolicyHarness().entry(10, 1, 2, 1, true).entry(11, 1, 2, 0, true);
        harness.submit(1, SAFE, 1);
        assertEquals(11, harness.sends.get(0).endpoint());
    }

    /** Senders kept using a route that hung beside one that delivered (simulator scenario menu-delivery-later). */
    @Test
    void endpointWithoutRecentDeliveryYieldsToSibling() {
        PolicyHarness harness = new PolicyHarness().entry(10, 1, 2, 0, true).entry(11, 1, 2, 1, true);
        harness.submit(1, UNSAFE, 1);
        harness.end(1, 0, Outcome.DELIVERED);
        harness.submit(2, UNSAFE, 1);
        assertEquals(10, harness.sends.get(1).endpoint());
        harness.end(2, 0, Outcome.FULL);
        harness.advanceTo(2000);
        harness.submit(3, UNSAFE, 1);
        assertEquals(List.of(11L, 11L), harness.sends.stream().skip(2).map(PolicyHarness.Sent::endpoint).toList());
    }

    /**
     * Idle connections were dropped without being closed visibly (simulator scenarios ensemble-bokning-later and
     * menu-delivery-later).
     */
    @Test
    void idleConnectionsAreClosedBeforeUseAfterLossesAtTwoDestinations() {
        PolicyHarness harness = new PolicyHarness().list(1, 10).list(2, 20).list(3, 30);
        for (long id = 1; id <= 3; id++) {
            harness.submit(id, UNSAFE, id);
            harness.end(id, 0, Outcome.DELIVERED);
        }
        harness.advanceTo(4000);
        for (long id = 4; id <= 5; id++) {
            harness.submit(id, UNSAFE, id - 3);
            harness.end(id, 0, Outcome.BROKEN);
            assertTrue(harness.idleCloses.isEmpty());
        }
        harness.submit(6, UNSAFE, 3);
        assertEquals(List.of(30L), harness.idleCloses);
        assertEquals(6, harness.sends.size());
    }

    @Test
    void newInstanceSendsAtOnce() {
        PolicyHarness harness = new PolicyHarness().list(1, 10);
        harness.submit(1, UNSAFE, 1);
        assertEquals(1, harness.sends.size());
    }
}
