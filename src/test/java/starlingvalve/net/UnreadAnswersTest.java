package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests what the server holds for a client that sends many requests and takes off no answer. */
class UnreadAnswersTest extends SubmissionServerFixture {
    private static final String REQUEST = "GET /nothing-here HTTP/1.1\r\n\r\n";
    /** Together, the answers are many times as long as all buffers of the sockets. */
    private static final int REQUESTS = 20_000;
    /** More than the length of one answer. */
    private static final int MAX_ANSWER_BYTES = 1024;

    /** Sends all requests at once, on a thread of its own; the future is completed when all are sent. */
    private static CompletableFuture<Void> sendRequests(Socket client) {
        return CompletableFuture.runAsync(() -> {
            try {
                StubServer.write(client, REQUEST.repeat(REQUESTS));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    private Channel awaitUnwrittenAnswer() throws InterruptedException {
        StubServer.await("an answer can't be written",
                () -> !accepted.isEmpty() && unwrittenBytes(accepted.get(0)) > 0);
        return accepted.get(0);
    }

    /** Guards against a full heap: the answers to pipelined requests of a peer that reads none were all kept. */
    @Test
    void unreadAnswersOfPipelinedRequestsAreNotPiledUp() throws Exception {
        Socket client = connect();
        CompletableFuture<Void> sent = sendRequests(client);
        awaitUnwrittenAnswer();
        InputStream answers = new BufferedInputStream(client.getInputStream());
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals("HTTP/1.1 404 Not Found", StubServer.read(answers, 0).line());
        }
        sent.join();
        assertTrue(maxUnwrittenBytes <= MAX_ANSWER_BYTES, "held at once: " + maxUnwrittenBytes + " bytes");
    }

    /** Guards against descriptors held forever: a connection with an unread answer is closed after a time limit. */
    @Test
    void connectionWhoseAnswerIsNotReadIsClosedAndOthersAreServed() throws Exception {
        sendRequests(connect());
        Channel unread = awaitUnwrittenAnswer();
        StubServer.Message answer = SenderFixture.exchange(connect(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals("HTTP/1.1 200 OK", answer.line());
        StubServer.await("the connection is closed", () -> !unread.isOpen());
    }
}
