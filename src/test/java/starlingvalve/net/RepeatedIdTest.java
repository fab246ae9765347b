package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A client that lost the answer hands its message in once more, with the id that it had: what is owed then. */
class RepeatedIdTest extends SenderFixture {
    private StubServer.Message handInAgain(String id, String type) throws IOException {
        return ask(client(), message(id, type, "hello"));
    }

    private void assertDeliveredOnce(String id, String type) throws Exception {
        assertEquals("HTTP/1.1 202 Accepted", handInAgain(id, type).line());
        // Its own delivery comes after anything that the repeat could have led to.
        handIn("after-" + id, type);
        awaitNothingHeld();
        assertEquals(1, callsWith(id));
        assertEquals(List.of(), notices);
    }

    private long callsWith(String id) {
        return calls().stream().filter(call -> id.equals(call.header("X-Call-Id"))).count();
    }

    @Test
    void aDeliveredMessageIsAcceptedAgainAndNotSent() throws Exception {
        start();
        for (String type : List.of("once", "order", "plain")) {
            handIn("id-" + type, type);
            awaitNothingHeld();
            assertDeliveredOnce("id-" + type, type);
        }
    }

    @Test
    void aMessageThatWasDeliveredBeforeAKillIsNotSentAgain() throws Exception {
        start();
        handIn("id", "once");
        awaitNothingHeld();
        killAndStart();
        assertDeliveredOnce("id", "once");
        killAndStart();
        assertDeliveredOnce("id", "once");
    }

    @Test
    void aMessageThatWasGivenUpStaysSo() throws Exception {
        script(StubServer.status(500, ""));
        start();
        handIn("id", "once");
        awaitNotice("dead");
        assertEquals("HTTP/1.1 410 Gone", handInAgain("id", "once").line());
        killAndStart();
        assertEquals("HTTP/1.1 410 Gone", handInAgain("id", "once").line());
        assertEquals(1, callsWith("id"));
        assertEquals(1, notices.size(), "its end is told once");
    }

    /** Its notice is not heard yet, so it is over but for the telling. */
    @Test
    void aMessageWhoseNoticeIsStillOwedIsNotTakenAgain() throws Exception {
        reportStatus = 500;
        script(StubServer.status(500, ""));
        start();
        handIn("id", "once");
        StubServer.await("the notice is owed", () -> journalled().stream().anyMatch(held -> held.owed.isPresent()));
        assertEquals("HTTP/1.1 410 Gone", handInAgain("id", "once").line());
        killAndStart();
        assertEquals("HTTP/1.1 410 Gone", handInAgain("id", "once").line());
        reportStatus = 204;
        awaitNotice("dead");
        assertEquals(1, callsWith("id"));
    }

    @Test
    void aMessageThatWasHandedBackIsRefusedAgain() throws Exception {
        earlierLife("order", 0, 24_000, true);
        start();
        awaitNotice("bounced");
        StubServer.Message answer = handInAgain("old", "order");
        assertEquals("HTTP/1.1 503 Service Unavailable", answer.line());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertEquals(0, callsWith("old"));
    }

    /** What nobody heard was taken is forgotten: the id is new when it comes again. */
    @Test
    void aMessageThatNobodyHeardWasTakenIsTakenWhenItComesAgain() throws Exception {
        start();
        Socket lost = client();
        beforeEvent = (event, arguments) -> {
            if (event.equals("admissionRetryAfter")) {
                reset(lost);
            }
        };
        StubServer.write(lost, message("id", "once", "hello"));
        StubServer.await("it is let go", () -> journalled().isEmpty() && lost.isClosed());
        beforeEvent = (event, arguments) -> { };
        handIn("id", "once");
        awaitNothingHeld();
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

    /** One of two requests with an id loses its answer, the other is told that the message was taken. */
    @Test
    void aMessageIsKeptAsLongAsOneOfItsAnswersMayBeHeard() {
        AcceptedMessage held = new AcceptedMessage(1, "id", "once", "acme", Optional.empty(), Optional.empty(), 7, 0,
                new byte[0]);
        held.answers();
        held.answers();
        assertEquals(AcceptedMessage.Acknowledgement.OPEN, held.answered(false));
        assertEquals(AcceptedMessage.Acknowledgement.HEARD, held.answered(true));
        held.answers();
        held.answers();
        assertEquals(AcceptedMessage.Acknowledgement.OPEN, held.answered(false));
        assertEquals(AcceptedMessage.Acknowledgement.UNHEARD, held.answered(false));
    }
}
