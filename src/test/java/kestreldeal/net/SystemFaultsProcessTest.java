package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What a sender knows of the end of a message, and what it owes, over disks that fail for a while, with a kill and a
 * restart.
 */
class SystemFaultsProcessTest extends SenderProcessFixture {
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
        Stub.await("it is called for", () -> callsWith("delivered") == 1);
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
        assertEquals(List.of(), notices);
    }

    @Test
    void whatIsTakenBehindATornRecordIsStillOwedAfterAKill() throws Exception {
        script(Stub.silent());
        faults.diskTears(50);
        assertEquals("503", answerTo("torn", "safe"));
        faults.diskMended();
        handIn("owed", "safe");
        Stub.await("it is called for", () -> callsWith("owed") == 1);
        script(SenderProcessFixture::accept);
        restart();
        awaitAllEnded();
        assertEquals(2, callsWith("owed"), "it was lost with the torn record before it");
        assertEquals(0, callsWith("torn"));
    }
}
