package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A process that was suspended finds a client's request and, received after it, a response with {@code Retry-After}.
 * Both must be read before anything is sent: a sender that dispatches the request first calls the endpoint before the
 * requested delay has passed.
 */
class RetryAfterProcessTest extends SenderProcessFixture {
    private static final String ACCEPTED_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String RETRY_AFTER_RESPONSE =
            "HTTP/1.1 429 x\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n";
    private static final long RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** The connections of calls that were received, in the order of the calls. */
    private final BlockingQueue<Socket> callSockets = new LinkedBlockingQueue<>();

    @Override
    int endpointCount() {
        return 1;
    }

    @Override
    int workers() {
        return 4;
    }

    @Override
    int batch() {
        return 1;
    }

    private Socket nextCallSocket() throws InterruptedException {
        return callSockets.poll(30, TimeUnit.SECONDS);
    }

    private static void submitOn(Socket client, InputStream answers, String id) throws IOException {
        StubServer.write(client, TestConfig.message(id, "safe", "hello"));
        assertTrue(StubServer.read(answers, 0).line().contains(" 202"));
    }

    @Test
    void retryAfterDelaysRequestReceivedBeforeIt() throws Exception {
        sender.start();
        script((call, socket) -> callSockets.add(socket));
        try (Socket client = new Socket(sender.address().getAddress(), sender.address().getPort())) {
            InputStream answers = new BufferedInputStream(client.getInputStream());
            openTwoEndpointConnections(client, answers);
            submitOn(client, answers, "turned-away");
            Socket rejectedCall = nextCallSocket();
            sender.suspend();
            StubServer.write(client, TestConfig.message("late", "safe", "hello"));
            StubServer.write(rejectedCall, RETRY_AFTER_RESPONSE);
            long rejectedAtNanos = System.nanoTime();
            sender.signal("CONT");
            StubServer.write(nextCallSocket(), ACCEPTED_RESPONSE);
            StubServer.write(nextCallSocket(), ACCEPTED_RESPONSE);
            awaitAllEnded();
            for (StubServer.Message call : calls().subList(3, 5)) {
                long delayNanos = call.atNanos() - rejectedAtNanos;
                assertTrue(delayNanos >= RETRY_AFTER_NANOS,
                        ids(call) + " called " + delayNanos / 1e6 + " ms after Retry-After");
            }
        }
    }

    /** Has two calls answered on connections that are kept alive, so that the next calls need no new connections. */
    private void openTwoEndpointConnections(Socket client, InputStream answers) throws Exception {
        submitOn(client, answers, "first");
        submitOn(client, answers, "second");
        for (Socket socket : List.of(nextCallSocket(), nextCallSocket())) {
            StubServer.write(socket, ACCEPTED_RESPONSE);
        }
        awaitAllEnded();
        assertEquals(2, calls().size());
    }
}
