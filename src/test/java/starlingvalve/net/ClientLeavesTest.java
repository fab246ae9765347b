package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A client closes its connection before this sender has read or answered its requests. It has stopped waiting and may
 * have handed its messages in elsewhere, or hand them in here again.
 */
class ClientLeavesTest extends SenderFixture {
    private static final int SHORT_BODY = 5;
    private static final int LONG_BODY = 60_000;

    private final CountDownLatch loopHeld = new CountDownLatch(1);
    private final CountDownLatch clientHasLeft = new CountDownLatch(1);
    private final CountDownLatch callMayBeAnswered = new CountDownLatch(1);

    /** Holds the event loop at the next call of this method of the policy, until {@link #clientHasLeft}. */
    private void holdLoopAt(String policyMethod) {
        beforeEvent = (event, arguments) -> {
            if (event.equals(policyMethod) && loopHeld.getCount() > 0) {
                loopHeld.countDown();
                awaitLatch(clientHasLeft);
            }
        };
    }

    private void holdLoop() throws Exception {
        holdLoopAt("messageAccepted");
        submit("holder", "plain");
        awaitLatch(loopHeld);
    }

    /** Returns a connection that the sender has accepted. */
    private Socket connectedClient() throws IOException {
        Socket client = client();
        assertEquals("HTTP/1.1 200 OK", exchange(client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        return client;
    }

    /** While the loop is held, a client sends these requests and closes its connection. */
    private void sendAndLeave(Socket client, int requests, int bodyBytes, boolean reset) throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            text.append(message("left-" + i, "plain", "x".repeat(bodyBytes)));
        }
        StubServer.write(client, text.toString());
        if (reset) {
            client.setSoLinger(true, 0);
        }
        client.close();
    }

    /** The ids of the messages that were sent, once all are done that the sender had read. */
    private List<String> sentIds() throws Exception {
        awaitEmptyJournal();
        submit("last", "plain");
        awaitEmptyJournal();
        return calls().stream().map(call -> call.header("X-Call-Id")).sorted().toList();
    }

    /** A message was sent on although its client had closed the connection before it was read. */
    @ParameterizedTest
    @CsvSource({"1,false", "3,false", "1,true", "3,true"})
    void requestsOfClientThatHasLeftAreNotSentOn(int requests, boolean reset) throws Exception {
        start();
        Socket client = connectedClient();
        holdLoop();
        sendAndLeave(client, requests, SHORT_BODY, reset);
        clientHasLeft.countDown();
        assertEquals(List.of("holder", "last"), sentIds());
    }

    /**
     * With more input behind a request than is read ahead, the close behind it is found out by the first answer, so
     * that no further request has an effect.
     */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void atMostOneRequestIsSentOnIfMuchIsUnreadBehindIt(boolean reset) throws Exception {
        start();
        Socket client = connectedClient();
        holdLoop();
        sendAndLeave(client, 5, LONG_BODY, reset);
        clientHasLeft.countDown();
        List<String> sent = sentIds();
        assertTrue(List.of(List.of("holder", "last"), List.of("holder", "last", "left-0")).contains(sent), "" + sent);
    }

    @Test
    void messageOfClientThatHasLeftRunsOnceIfItComesAgain() throws Exception {
        start();
        Socket client = connectedClient();
        holdLoop();
        sendAndLeave(client, 1, SHORT_BODY, false);
        clientHasLeft.countDown();
        submit("left-0", "plain");
        assertEquals(List.of("holder", "last", "left-0"), sentIds());
    }

    /** Starts the sender, which sends a message whose call is not answered until {@link #callMayBeAnswered}. */
    private void submitWithoutAnswer() throws Exception {
        script((call, socket) -> {
            awaitLatch(callMayBeAnswered);
            StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        start();
        StubServer.write(client(), message("again", "plain", "hello"));
        StubServer.await("it is in flight", () -> calls().size() == 1);
    }

    private void assertRunsOnceIfItComesAgainNowAndAfterwards() throws Exception {
        submit("again", "plain");
        callMayBeAnswered.countDown();
        awaitEmptyJournal();
        submit("again", "plain");
        assertEquals(List.of("again", "last"), sentIds());
    }

    @Test
    void messageRunsOnceIfItComesAgainWhileItIsInFlightAndAfterwards() throws Exception {
        submitWithoutAnswer();
        clients.get(0).close();
        assertRunsOnceIfItComesAgainNowAndAfterwards();
    }

    @Test
    void messageRunsOnceIfItComesAgainAtSuccessor() throws Exception {
        submitWithoutAnswer();
        Sender predecessor = startSuccessor();
        try {
            ListeningSockets.awaitSingle(address.getPort());
            clients.get(0).close();
            assertRunsOnceIfItComesAgainNowAndAfterwards();
        } finally {
            predecessor.kill();
        }
    }

    /** The client of the old process leaves while the new one decides on its message. */
    @Test
    void forwardedMessageRunsOnceIfItComesAgainAtSuccessor() throws Exception {
        start();
        Socket client = connectedClient();
        Sender predecessor = startSuccessor();
        try {
            ListeningSockets.awaitSingle(address.getPort());
            holdLoopAt("admissionRetryAfter");
            StubServer.write(client, message("again", "plain", "hello"));
            awaitLatch(loopHeld);
            client.close();
            clientHasLeft.countDown();
            submit("again", "plain");
            awaitEmptyJournal();
            submit("again", "plain");
            assertEquals(List.of("again", "last"), sentIds());
        } finally {
            predecessor.kill();
        }
    }
}
