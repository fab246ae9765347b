package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What a sender knows of the end of a message, and what it owes, over disks that fail for a while and wall clocks that
 * are stepped, with a kill and a restart.
 */
class SystemFaultsProcessTest extends SenderProcessFixture {
    private static final long HOUR_MS = TimeUnit.HOURS.toMillis(1);
    /** Of class {@code brief}. */
    private static final long BRIEF_MS = 6000;
    /** So much later than its time may a notice be heard here, on a busy machine. */
    private static final long LATEST_MS = 2000;

    private SystemFaults faults;

    @BeforeEach
    void preload() throws Exception {
        faults = new SystemFaults(folder, sender);
        sender.start();
    }

    private void restart() throws Exception {
        sender.kill();
        sender.start();
    }

    // ---- disks ----

    @Test
    void whatWasDeliveredWhileTheDiskFailedIsNotSentAgainAfterAKill() throws Exception {
        CountDownLatch failing = new CountDownLatch(1);
        script((call, socket) -> {
            SenderFixture.awaitLatch(failing);
            accept(call, socket);
        });
        handIn("delivered", "safe");
        StubServer.await("it is called for", () -> callsWith("delivered") == 1);
        faults.diskFull();
        failing.countDown();
        awaitAllEnded();
        assertEquals("503", answerTo("unrecorded", "safe"), "what can't be recorded is refused");
        faults.diskMended();
        script(SenderProcessFixture::accept);
        handIn("recorded", "safe");
        awaitAllEnded();
        restart();
        handIn("delivered", "safe");
        handIn("next", "safe");
        awaitAllEnded();
        assertEquals(1, callsWith("delivered"), "sent on after its end");
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void whatIsTakenBehindATornRecordIsStillOwedAfterAKill() throws Exception {
        script(StubServer.silent());
        faults.diskTears(50);
        assertEquals("503", answerTo("torn", "safe"));
        faults.diskMended();
        handIn("owed", "safe");
        StubServer.await("it is called for", () -> callsWith("owed") == 1);
        script(SenderProcessFixture::accept);
        restart();
        awaitAllEnded();
        assertEquals(2, callsWith("owed"), "it was lost with the torn record before it");
        assertEquals(0, callsWith("torn"));
    }

    // ---- clocks ----

    @Test
    void whatWasDeliveredBeforeAStepOfTheClockIsNotSentAgain() throws Exception {
        handIn("once", "unsafe");
        awaitAllEnded();
        sender.kill();
        faults.clockAhead(HOUR_MS);
        sender.start();
        handIn("once", "unsafe");
        handIn("next", "safe");
        awaitAllEnded();
        assertEquals(1, callsWith("once"), "its id was forgotten too soon");
        faults.clockAhead(2 * HOUR_MS);
        handIn("once", "unsafe");
        handIn("last", "safe");
        awaitAllEnded();
        assertEquals(1, callsWith("once"), "its id was forgotten too soon");
    }

    @Test
    void whatWasNotTriedBeforeAKillIsStillTriedThoughTheClockWasSetForward() throws Exception {
        script(StubServer.silent());
        handIn("opener", "safe");
        StubServer.await("the only slot is taken", () -> callsWith("opener") == 1);
        handIn("untried", "unsafe");
        sender.kill();
        faults.clockAhead(HOUR_MS);
        script(SenderProcessFixture::accept);
        sender.start();
        awaitAllEnded();
        assertEquals(1, callsWith("untried"), "given up with no call");
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void aMessageEndsInItsTimeThoughTheClockWasSetBack() throws Exception {
        script(StubServer.silent());
        long handedIn = System.nanoTime();
        String request = TestConfig.message("brief", "brief", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BRIEF_MS);
        assertEquals("HTTP/1.1 202 Accepted", ask(sender.address(), request).line());
        StubServer.await("it is called for", () -> callsWith("brief") == 1);
        // Most of its time is gone; a test can't step the monotonic clock, by which that is meant to count.
        TimeUnit.MILLISECONDS.sleep(BRIEF_MS * 2 / 3);
        sender.kill();
        faults.clockAhead(-HOUR_MS);
        sender.start();
        StubServer.await("its notice", () -> !agent.notices.isEmpty());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - handedIn);
        assertTrue(tookMs <= BRIEF_MS + LATEST_MS, "its end came after " + tookMs + " ms of " + BRIEF_MS);
    }
}
