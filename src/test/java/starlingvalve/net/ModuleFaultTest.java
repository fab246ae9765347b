package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Each accepted message ends in time, whichever call of the delivery policy fails on its way. */
class ModuleFaultTest extends SenderFixture {
    private static final long BUDGET_MS = 2000;
    /** By the protocol, a message counts as lost if it has not ended 350 ms after its deadline. */
    private static final long LATEST_END_MS = BUDGET_MS + 350;

    private final AtomicInteger faults = new AtomicInteger();

    /** Makes the next {@code times} calls of this event fail in the policy. */
    private void failNext(String failingEvent, int times) {
        faults.set(times);
        beforeEvent = (event, arguments) -> {
            if (event.equals(failingEvent) && faults.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IllegalStateException("fault injected by the test in " + event);
            }
        };
    }

    /** Submits a message with a short budget; returns the time of submission in nanoseconds. */
    private long submitWithShortBudget(String id) throws Exception {
        long submittedNanos = System.nanoTime();
        String request = message(id, "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BUDGET_MS);
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), request).line());
        return submittedNanos;
    }

    private static void assertInTime(long submittedNanos) {
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedNanos);
        assertTrue(tookMs <= LATEST_END_MS, "ended after " + tookMs + " ms");
    }

    @Test
    void messageUnknownToThePolicyIsReturnedInTime() throws Exception {
        start();
        failNext("messageAccepted", 1);
        long submittedNanos = submitWithShortBudget("forgotten");
        StubServer.await("the notice arrives", () -> !notices.isEmpty());
        assertInTime(submittedNanos);
        awaitNotice("{\"ref\":\"forgotten\",\"result\":\"bounced\",\"wait_ms\":");
        assertEquals(0, calls().size());
    }

    @Test
    void messageEndsInTimeWhenThePolicyMissesItsLastAnswer() throws Exception {
        script(StubServer.status(503, ""));
        start();
        failNext("attemptEnded", 1);
        long submittedNanos = submitWithShortBudget("unanswered");
        StubServer.await("the notice arrives", () -> !notices.isEmpty());
        assertInTime(submittedNanos);
        awaitNotice("{\"ref\":\"unanswered\",\"result\":\"bounced\",\"wait_ms\":");
    }

    @Test
    void failedTurnIsFollowedByAnother() throws Exception {
        start();
        failNext("endTurn", 1);
        long submittedNanos = submitWithShortBudget("held-up");
        StubServer.await("the call arrives", () -> calls().size() == 1);
        assertInTime(submittedNanos);
        awaitEmptyJournal();
    }

    @Test
    void messagesThatTheSuccessorDoesNotRestoreAreRecoveredFromTheJournal() throws Exception {
        endpointStates = "DRAINING DRAINING";
        start();
        submit("waiting", "plain");
        submit("behind", "plain");
        failNext("restore", 1);
        Sender predecessor = sender;
        listenAddress = "127.0.0.1:" + address.getPort();
        start();
        try {
            endpointStates = "SERVING SERVING";
            StubServer.await("both are sent", () -> calls().size() == 2);
            awaitEmptyJournal();
            assertEquals(0, notices.size());
        } finally {
            predecessor.kill();
        }
    }

    @Test
    void processContinuesWhenItsStateCannotBeHandedOverAndIsAskedAgain() throws Exception {
        start();
        Socket keptAlive = client();
        failNext("snapshot", 2);
        Sender predecessor = sender;
        listenAddress = "127.0.0.1:" + address.getPort();
        start();
        try {
            assertEquals("HTTP/1.1 202 Accepted", exchange(keptAlive, message("kept", "plain", "hello")).line());
            submit("new", "plain");
            awaitEmptyJournal();
            assertEquals(2, calls().size());
        } finally {
            predecessor.kill();
        }
    }
}
