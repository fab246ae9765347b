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

/** A process that is held up finds a client's request, and behind it an answer that tells a wait. */
class RetryAfterProcessTest extends SenderProcessFixture {
    private static final String ACCEPTED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String TOLD_WAIT = "HTTP/1.1 429 x\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n";
    private static final long WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Connections on which calls have come, in order. */
    private final BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();

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

    private Socket nextAsked() throws InterruptedException {
        return asked.poll(30, TimeUnit.SECONDS);
    }

    private static void handInOn(Socket client, InputStream answers, String id) throws IOException {
        StubServer.write(client, TestConfig.message(id, "safe", "hello"));
        assertTrue(StubServer.read(answers, 0).line().contains(" 202"));
    }

    @Test
    void theRequestGoesOutAfterTheWait() throws Exception {
        sender.start();
        script((call, socket) -> asked.add(socket));
        try (Socket client = new Socket(sender.address().getAddress(), sender.address().getPort())) {
            InputStream answers = new BufferedInputStream(client.getInputStream());
            leaveTwoConnections(client, answers);
            handInOn(client, answers, "turned-away");
            Socket out = nextAsked();
            sender.suspend();
            StubServer.write(client, TestConfig.message("late", "safe", "hello"));
            StubServer.write(out, TOLD_WAIT);
            long toldAt = System.nanoTime();
            sender.signal("CONT");
            StubServer.write(nextAsked(), ACCEPTED);
            StubServer.write(nextAsked(), ACCEPTED);
            awaitAllEnded();
            for (StubServer.Message call : calls().subList(3, 5)) {
                long after = call.atNanos() - toldAt;
                assertTrue(after >= WAIT_NANOS, ids(call) + " came " + after / 1e6 + " ms after the wait was told");
            }
        }
    }

    /** Both are kept, so the next calls need no new ones. */
    private void leaveTwoConnections(Socket client, InputStream answers) throws Exception {
        handInOn(client, answers, "first");
        handInOn(client, answers, "second");
        for (Socket socket : List.of(nextAsked(), nextAsked())) {
            StubServer.write(socket, ACCEPTED);
        }
        awaitAllEnded();
        assertEquals(2, calls().size());
    }
}
