package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A message that was taken on gets its end in time, whichever call of the decision module fails on its way. */
class ModuleFaultTest extends SenderFixture {
    private static final long BUDGET_MS = 2000;
    /** After its time a message counts as lost, by the protocol. */
    private static final long LATEST_MS = BUDGET_MS + 350;

    private final AtomicInteger faults = new AtomicInteger();

    /** The next calls of the module with this event fail, so many of them. */
    private void failNext(String failing, int times) {
        faults.set(times);
        beforeEvent = (event, arguments) -> {
            if (event.equals(failing) && faults.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IllegalStateException("a fault that the test has put in " + event);
            }
        };
    }

    /** Hands a message in that has little time; tells when. */
    private long handInBrief(String id) throws Exception {
        long at = System.nanoTime();
        String request = message(id, "plain", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BUDGET_MS);
        assertEquals("HTTP/1.1 202 Accepted", ask(client(), request).line());
        return at;
    }

    private static void assertInTime(long handedInAt) {
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - handedInAt);
        assertTrue(tookMs <= LATEST_MS, "ended after " + tookMs + " ms");
    }

    @Test
    void aMessageThatTheModuleWasNotToldOfIsHandedBackInTime() throws Exception {
        start();
        failNext("messageAccepted", 1);
        long at = handInBrief("forgotten");
        StubServer.await("the notice", () -> !notices.isEmpty());
        assertInTime(at);
        awaitNotice("{\"ref\":\"forgotten\",\"result\":\"bounced\",\"wait_ms\":");
        assertEquals(0, calls().size());
    }

    @Test
    void aMessageWhoseLastAnswerTheModuleWasNotToldOfIsEndedInTime() throws Exception {
        script(StubServer.status(503, ""));
        start();
        failNext("attemptEnded", 1);
        long at = handInBrief("unanswered");
        StubServer.await("the notice", () -> !notices.isEmpty());
        assertInTime(at);
        awaitNotice("{\"ref\":\"unanswered\",\"result\":\"bounced\",\"wait_ms\":");
    }

    @Test
    void aTurnThatFailsIsFollowedByAnother() throws Exception {
        start();
        failNext("endTurn", 1);
        long at = handInBrief("held-up");
        StubServer.await("the call", () -> calls().size() == 1);
        assertInTime(at);
        awaitNothingHeld();
    }

    @Test
    void whatTheModuleOfTheNextProcessDoesNotRestoreGoesOnFromTheJournal() throws Exception {
        states = "DRAINING DRAINING";
        start();
        handIn("waiting", "plain");
        handIn("behind", "plain");
        failNext("restore", 1);
        Sender old = sender;
        listen = "127.0.0.1:" + address.getPort();
        start();
        try {
            states = "SERVING SERVING";
            StubServer.await("both are called for", () -> calls().size() == 2);
            awaitNothingHeld();
            assertEquals(0, notices.size());
        } finally {
            old.kill();
        }
    }

    @Test
    void aProcessWhoseStateCanNotBeHandedOverGoesOnAndIsAskedAgain() throws Exception {
        start();
        Socket kept = client();
        failNext("snapshot", 2);
        Sender old = sender;
        listen = "127.0.0.1:" + address.getPort();
        start();
        try {
            assertEquals("HTTP/1.1 202 Accepted", ask(kept, message("kept", "plain", "hello")).line());
            handIn("new", "plain");
            awaitNothingHeld();
            assertEquals(2, calls().size());
        } finally {
            old.kill();
        }
    }
}
