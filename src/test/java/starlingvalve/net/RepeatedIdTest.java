package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A client that did not get the answer submits its message again with the same id: what it gets, and what is sent. */
class RepeatedIdTest extends SenderFixture {
    private StubServer.Message submitAgain(String id, String type) throws IOException {
        return exchange(client(), message(id, type, "hello"));
    }

    private void assertDeliveredOnce(String id, String type) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", submitAgain(id, type).line());
        // This message is delivered after anything that the repeated request could have caused.
        submit("after-" + id, type);
        awaitEmptyJournal();
        assertEquals(1, callsWith(id));
        assertEquals(List.of(), notices);
    }

    private long callsWith(String id) {
        return calls().stream().filter(call -> id.equals(call.header("X-Call-Id"))).count();
    }

    @Test
    void repeatOfADeliveredMessageIsAcceptedAndNotSent() throws Exception {
        start();
        for (String type : List.of("once", "order", "plain")) {
            submit("id-" + type, type);
            awaitEmptyJournal();
            assertDeliveredOnce("id-" + type, type);
        }
    }

    @Test
    void messageDeliveredBeforeAKillIsNotSentAgain() throws Exception {
        start();
        submit("id", "once");
        awaitEmptyJournal();
        killAndRestart();
        assertDeliveredOnce("id", "once");
        killAndRestart();
        assertDeliveredOnce("id", "once");
    }

    @Test
    void repeatOfAFailedMessageIsAnsweredWithItsFailure() throws Exception {
        script(StubServer.status(500, ""));
        start();
        submit("id", "once");
        awaitNotice("dead");
        assertEquals("HTTP/1.1 410 Gone", submitAgain("id", "once").line());
        killAndRestart();
        assertEquals("HTTP/1.1 410 Gone", submitAgain("id", "once").line());
        assertEquals(1, callsWith("id"));
        assertEquals(1, notices.size(), "the platform is notified once");
    }

    /** The message has ended, though the platform has not acknowledged the notice of its end yet. */
    @Test
    void messageWithAPendingNoticeIsNotAcceptedAgain() throws Exception {
        noticeStatus = 500;
        script(StubServer.status(500, ""));
        start();
        submit("id", "once");
        StubServer.await("the notice is journalled",
                () -> journalledMessages().stream().anyMatch(message -> message.pendingNotice.isPresent()));
        assertEquals("HTTP/1.1 410 Gone", submitAgain("id", "once").line());
        killAndRestart();
        assertEquals("HTTP/1.1 410 Gone", submitAgain("id", "once").line());
        noticeStatus = 204;
        awaitNotice("dead");
        assertEquals(1, callsWith("id"));
    }

    @Test
    void repeatOfAReturnedMessageIsRefused() throws Exception {
        writeEarlierJournal("order", 0, 24_000, true);
        start();
        awaitNotice("bounced");
        StubServer.Message answer = submitAgain("old", "order");
        assertEquals("HTTP/1.1 503 Service Unavailable", answer.line());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertEquals(0, callsWith("old"));
    }

    /** A message whose acceptance no client has received is dropped, so its id counts as new when submitted again. */
    @Test
    void messageWithoutAcknowledgedAcceptanceIsAcceptedWhenSubmittedAgain() throws Exception {
        start();
        Socket lostConnection = client();
        beforeEvent = (event, arguments) -> {
            if (event.equals("admissionRetryAfter")) {
                reset(lostConnection);
            }
        };
        StubServer.write(lostConnection, message("id", "once", "hello"));
        StubServer.await("the message is dropped", () -> journalledMessages().isEmpty() && lostConnection.isClosed());
        beforeEvent = (event, arguments) -> { };
        submit("id", "once");
        awaitEmptyJournal();
        assertEquals(1, callsWith("id"));
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Of two requests with the same id one loses its answer, and the other one gets it. */
    @Test
    void acceptanceIsPendingWhileAnAnswerMayStillBeWritten() {
        AcceptedMessage message = new AcceptedMessage(1, "id", "once", "acme", Optional.empty(), Optional.empty(), 7, 0,
                new byte[0]);
        message.addPendingAnswer();
        message.addPendingAnswer();
        assertEquals(AcceptedMessage.Acknowledgement.PENDING, message.answerCompleted(false));
        assertEquals(AcceptedMessage.Acknowledgement.ACKNOWLEDGED, message.answerCompleted(true));
        message.addPendingAnswer();
        message.addPendingAnswer();
        assertEquals(AcceptedMessage.Acknowledgement.PENDING, message.answerCompleted(false));
        assertEquals(AcceptedMessage.Acknowledgement.UNACKNOWLEDGED, message.answerCompleted(false));
    }
}
