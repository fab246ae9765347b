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
        submit("delivered", "safe");
        StubServer.await("it is called for", () -> callCount("delivered") == 1);
        faults.fillDisk();
        failing.countDown();
        awaitAllEnded();
        assertEquals("503", submissionStatus("unrecorded", "safe"), "what can't be recorded is refused");
        faults.clearDiskFaults();
        script(SenderProcessFixture::accept);
        submit("recorded", "safe");
        awaitAllEnded();
        restart();
        submit("delivered", "safe");
        submit("next", "safe");
        awaitAllEnded();
        assertEquals(1, callCount("delivered"), "sent on after its end");
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void whatIsTakenBehindATornRecordIsStillOwedAfterAKill() throws Exception {
        script(StubServer.silent());
        faults.failWritesAfter(50);
        assertEquals("503", submissionStatus("torn", "safe"));
        faults.clearDiskFaults();
        submit("owed", "safe");
        StubServer.await("it is called for", () -> callCount("owed") == 1);
        script(SenderProcessFixture::accept);
        restart();
        awaitAllEnded();
        assertEquals(2, callCount("owed"), "it was lost with the torn record before it");
        assertEquals(0, callCount("torn"));
    }

    // ---- clocks ----

    @Test
    void whatWasDeliveredBeforeAStepOfTheClockIsNotSentAgain() throws Exception {
        submit("once", "unsafe");
        awaitAllEnded();
        sender.kill();
        faults.setClockOffset(HOUR_MS);
        sender.start();
        submit("once", "unsafe");
        submit("next", "safe");
        awaitAllEnded();
        assertEquals(1, callCount("once"), "its id was forgotten too soon");
        faults.setClockOffset(2 * HOUR_MS);
        submit("once", "unsafe");
        submit("last", "safe");
        awaitAllEnded();
        assertEquals(1, callCount("once"), "its id was forgotten too soon");
    }

    @Test
    void whatWasNotTriedBeforeAKillIsStillTriedThoughTheClockWasSetForward() throws Exception {
        script(StubServer.silent());
        submit("opener", "safe");
        StubServer.await("the only slot is taken", () -> callCount("opener") == 1);
        submit("untried", "unsafe");
        sender.kill();
        faults.setClockOffset(HOUR_MS);
        script(SenderProcessFixture::accept);
        sender.start();
        awaitAllEnded();
        assertEquals(1, callCount("untried"), "given up with no call");
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void aMessageEndsInItsTimeThoughTheClockWasSetBack() throws Exception {
        script(StubServer.silent());
        long handedIn = System.nanoTime();
        String request = TestConfig.message("brief", "brief", "hello").replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BRIEF_MS);
        assertEquals("HTTP/1.1 202 Accepted", sendRequest(sender.address(), request).line());
        StubServer.await("it is called for", () -> callCount("brief") == 1);
        // Most of its time is gone; a test can't step the monotonic clock, by which that is meant to count.
        TimeUnit.MILLISECONDS.sleep(BRIEF_MS * 2 / 3);
        sender.kill();
        faults.setClockOffset(-HOUR_MS);
        sender.start();
        StubServer.await("its notice", () -> !agent.notices.isEmpty());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - handedIn);
        assertTrue(tookMs <= BRIEF_MS + LATEST_MS, "its end came after " + tookMs + " ms of " + BRIEF_MS);
    }
}
