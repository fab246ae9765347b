package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against second copies where the settings forbid them. A message whose attempt timed out in a call of several
 * messages was sent again while that call was in flight for the others, and so ran twice side by side.
 */
class SecondCopyProcessTest extends SenderProcessFixture {
    private static final int WORKERS = 6;
    /** So many calls occupy all workers that one destination may have. */
    private static final int OPENERS = 3;

    private final CountDownLatch firstOpener = new CountDownLatch(1);
    private final CountDownLatch otherOpeners = new CountDownLatch(1);
    private final CountDownLatch shared = new CountDownLatch(1);
    private SenderProcess successor;

    @Override
    int workers() {
        return WORKERS;
    }

    @AfterEach
    void closeSuccessor() throws Exception {
        if (successor != null) {
            successor.close();
        }
    }

    /** Holds the calls of openers and the shared call; answers the first two calls of message "probe" with an error. */
    private void answer(StubServer.Message call, Socket socket) throws Exception {
        List<String> ids = ids(call);
        if (ids.get(0).startsWith("opener")) {
            (ids.contains("opener-0") ? firstOpener : otherOpeners).await();
        } else if (ids.contains("waiting")) {
            shared.await();
        } else if (ids.contains("probe") && callCount("probe") <= 2) {
            StubServer.write(socket, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        accept(call, socket);
    }

    /** Sends two messages in one call, which is not answered; one of them times out and leaves the call. */
    private void leaveSharedCall() throws Exception {
        script(this::answer);
        sender.start();
        for (int i = 0; i < OPENERS; i++) {
            String opener = "opener-" + i;
            submit(opener, "unsafe");
            StubServer.await("the opener is in flight", () -> callCount(opener) == 1);
        }
        submit("leaving", "hasty");
        submit("waiting", "safe");
        firstOpener.countDown();
        StubServer.await("both are sent in one call",
                () -> calls().stream().anyMatch(call -> ids(call).equals(List.of("leaving", "waiting"))));
        otherOpeners.countDown();
        sender.awaitEvent("attempt-ended", "id=leaving", "outcome=TIMED_OUT", "messages=2", "left=1");
    }

    /**
     * Returns when the back-off of a message that timed out before has certainly passed: the third call of another
     * message follows two back-offs of its own, the second of which is longer.
     */
    private void awaitBackOff() throws Exception {
        submit("probe", "safe");
        StubServer.await("a later message is sent for the third time", () -> callCount("probe") == 3);
    }

    @Test
    void messageThatTimesOutInSharedCallIsNotSentWhileThatCallIsInFlight() throws Exception {
        leaveSharedCall();
        awaitBackOff();
        assertEquals(1, callCount("leaving"), "a second copy");
        shared.countDown();
        awaitAllEnded();
        assertEquals(1, callCount("leaving"), "the answer to its first call has delivered it");
        assertEquals(1, metric("served.hasty"));
    }

    @Test
    void messageThatTimesOutInSharedCallIsSentAgainWhenThatCallBreaks() throws Exception {
        leaveSharedCall();
        awaitBackOff();
        assertEquals(1, callCount("leaving"), "a second copy");
        for (StubServer endpoint : endpoints) {
            endpoint.closeConnections();
        }
        StubServer.await("it is sent again", () -> callCount("leaving") == 2);
        shared.countDown();
        awaitAllEnded();
    }

    /** The call is in flight in the old process, and the new one decides what is sent again. */
    @Test
    void successorDoesNotSendMessageWhileCallOfPredecessorIsInFlight() throws Exception {
        leaveSharedCall();
        successor = sender.successor().start();
        SenderProcess predecessor = sender;
        sender = successor;
        try {
            ListeningSockets.awaitSingle(successor.address().getPort());
            awaitBackOff();
            assertEquals(1, callCount("leaving"), "a second copy");
            predecessor.kill();
            StubServer.await("it is sent again once the old process is gone", () -> callCount("leaving") == 2);
            shared.countDown();
            awaitAllEnded();
        } finally {
            predecessor.close();
        }
    }
}
