package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what the server holds of the incomplete requests of all clients together. */
class InputMemoryTest extends SubmissionServerFixture {
    private static final int BODY_BYTES = 50_000;
    private static final int FIRST_PART_BYTES = 30_000;
    /** Room for the first parts of three requests, but not of four. */
    private static final int MAX_BYTES = 100_000;

    private final InputMemory memory = new InputMemory(MAX_BYTES);

    @Override
    SubmissionServer createServer() {
        return new SubmissionServer(loop, MAX_CLIENTS, memory, handler);
    }

    private static String head(String id) {
        return "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: order\r\n"
                + "X-Budget-Ms: 900\r\nX-Envelope: dest=7\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
    }

    private long heldBytes() {
        return loop.submit(memory::totalBytes).syncUninterruptibly().getNow();
    }

    /** Connects a client that sends the first part of a request, and waits until the server has read it. */
    private Socket beginRequest(String id, long heldBytes) throws Exception {
        Socket client = connect();
        StubServer.write(client, head(id) + "x".repeat(FIRST_PART_BYTES));
        StubServer.await("the first part is read", () -> heldBytes() >= heldBytes);
        return client;
    }

    private static String finish(Socket client) throws IOException {
        StubServer.Message answer = SenderFixture.exchange(client, "x".repeat(BODY_BYTES - FIRST_PART_BYTES));
        return answer.line();
    }

    /** Guards against memory that unfinished requests of many peers fill: it had a limit for each of them alone. */
    @Test
    void oldestUnfinishedRequestIsRefusedWhenAllTogetherHoldTooMuch() throws Exception {
        Socket oldest = beginRequest("oldest", FIRST_PART_BYTES);
        Socket second = beginRequest("second", 2 * FIRST_PART_BYTES);
        Socket third = beginRequest("third", 3 * FIRST_PART_BYTES);
        Socket newest = connect();
        StubServer.write(newest, head("newest") + "x".repeat(FIRST_PART_BYTES));
        InputStream answers = new BufferedInputStream(oldest.getInputStream());
        assertEquals("HTTP/1.1 503 Service Unavailable", StubServer.read(answers, 0).line());
        assertNull(StubServer.read(answers, 0), "the connection goes on behind a refused request");
        assertEquals("HTTP/1.1 202 Accepted", finish(newest));
        assertEquals("HTTP/1.1 202 Accepted", finish(third));
        assertEquals("HTTP/1.1 202 Accepted", finish(second));
        assertEquals(List.of("newest", "third", "second"), handler.ids);
        assertEquals(0, heldBytes());
    }

    @Test
    void bytesOfClosedConnectionsAreFreed() throws Exception {
        beginRequest("gone", FIRST_PART_BYTES).close();
        StubServer.await("the bytes are freed", () -> heldBytes() == 0);
    }
}
