package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that a sender that is killed and restarted sends no ended message again and loses no accepted message, though
 * its disk failed for a while or its wall clock was stepped.
 */
class SystemFaultsProcessTest extends SenderProcessFixture {
    private static final long HOUR_MS = TimeUnit.HOURS.toMillis(1);
    /** Time limit of messages of class {@code brief}. */
    private static final long BRIEF_MS = 6000;
    /** Tolerated delay of a notice after its message's time limit, for a busy machine. */
    private static final long NOTICE_TOLERANCE_MS = 2000;

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
    void messageDeliveredDuringDiskFailureIsNotSentAgainAfterKill() throws Exception {
        CountDownLatch failuresBegun = new CountDownLatch(1);
        script((call, socket) -> {
            SenderFixture.awaitLatch(failuresBegun);
            accept(call, socket);
        });
        submit("delivered", "safe");
        StubServer.await("a call carries the message", () -> callCount("delivered") == 1);
        faults.fillDisk();
        failuresBegun.countDown();
        awaitAllEnded();
        assertEquals("503", submissionStatus("unrecorded", "safe"), "a message that can't be journalled is rejected");
        faults.clearDiskFaults();
        script(SenderProcessFixture::accept);
        submit("recorded", "safe");
        awaitAllEnded();
        restart();
        submit("delivered", "safe");
        submit("next", "safe");
        awaitAllEnded();
        assertEquals(1, callCount("delivered"), "sent again after its end");
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void messageAcceptedAfterTornRecordIsRecoveredAfterKill() throws Exception {
        script(StubServer.silent());
        faults.failWritesAfter(50);
        assertEquals("503", submissionStatus("torn", "safe"));
        faults.clearDiskFaults();
        submit("owed", "safe");
        StubServer.await("a call carries the message", () -> callCount("owed") == 1);
        script(SenderProcessFixture::accept);
        restart();
        awaitAllEnded();
        assertEquals(2, callCount("owed"), "lost with the torn record before it");
        assertEquals(0, callCount("torn"));
    }

    // ---- clocks ----

    @Test
    void deliveredMessageIsNotSentAgainAfterClockStep() throws Exception {
        submit("once", "unsafe");
        awaitAllEnded();
        sender.kill();
        faults.setClockOffset(HOUR_MS);
        sender.start();
        submit("once", "unsafe");
        submit("next", "safe");
        awaitAllEnded();
        assertEquals(1, callCount("once"), "sent again: the id was forgotten too soon");
        faults.setClockOffset(2 * HOUR_MS);
        submit("once", "unsafe");
        submit("last", "safe");
        awaitAllEnded();
        assertEquals(1, callCount("once"), "sent again: the id was forgotten too soon");
    }

    @Test
    void unattemptedMessageIsSentAfterKillAndForwardClockStep() throws Exception {
        script(StubServer.silent());
        submit("opener", "safe");
        StubServer.await("the only worker is busy", () -> callCount("opener") == 1);
        submit("unattempted", "unsafe");
        sender.kill();
        faults.setClockOffset(HOUR_MS);
        script(SenderProcessFixture::accept);
        sender.start();
        awaitAllEnded();
        assertEquals(1, callCount("unattempted"), "given up without a call");
        assertEquals(List.of(), agent.notices);
    }

    @Test
    void messageEndsInTimeAfterKillAndBackwardClockStep() throws Exception {
        script(StubServer.silent());
        long submittedAtNanos = System.nanoTime();
        String request = TestConfig.message("brief", "brief", "hello")
                .replace("X-Budget-Ms: 24000", "X-Budget-Ms: " + BRIEF_MS);
        assertEquals("HTTP/1.1 202 Accepted", sendRequest(sender.address(), request).line());
        StubServer.await("a call carries the message", () -> callCount("brief") == 1);
        // Lets most of the time limit pass. The limit counts by the monotonic clock, which a test can't step.
        TimeUnit.MILLISECONDS.sleep(BRIEF_MS * 2 / 3);
        sender.kill();
        faults.setClockOffset(-HOUR_MS);
        sender.start();
        StubServer.await("the message's notice arrives", () -> !agent.notices.isEmpty());
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - submittedAtNanos);
        assertTrue(tookMs <= BRIEF_MS + NOTICE_TOLERANCE_MS,
                "ended after " + tookMs + " ms, time limit in ms: " + BRIEF_MS);
    }
}
