package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/**
 * Tests that an answer with Retry-After holds back a call that is about to be sent. Input that arrives before a call is
 * written must be read before that, however long the event loop is held up in between.
 */
class RetryAfterOrderTest {
    private static final long RETRY_AFTER_ENDPOINT = 1;
    private static final long OTHER_ENDPOINT = 2;
    private static final double DIAL_TIMEOUT_MS = 15_000;
    private static final double TIMEOUT_MS = 20_000;
    private static final String RETRY_AFTER_ANSWER = "HTTP/1.1 429 x\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n";

    private record End(String id, Outcome outcome) {
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> waitingSockets = new LinkedBlockingQueue<>();
    private final CountDownLatch releaseLoop = new CountDownLatch(1);
    /** Used on the event loop: runs while the call with the id "other" is recorded as begun. */
    private Runnable whileOtherBegins = () -> { };
    private boolean retryAfterReceived;
    /** Used on the event loop: how often mayStart was asked; a call that is allowed then starts in the same task. */
    private int startChecks;
    private StubServer retryAfterServer;
    private Endpoints endpoints;

    @BeforeEach
    void open() throws Exception {
        retryAfterServer = new StubServer((request, socket) -> waitingSockets.add(socket));
        endpoints = new Endpoints(loop, DIAL_TIMEOUT_MS, 15_000, 1, 4, new PermissiveEndpointCallbacks() {
            @Override
            public boolean mayBeginAttempt(Endpoints.Call call) {
                startChecks++;
                return !retryAfterReceived;
            }

            @Override
            public boolean callStarting(Endpoints.Call call) {
                if (call.message.id.equals("other")) {
                    whileOtherBegins.run();
                }
                return true;
            }

            @Override
            public void retryAfterReceived(long endpoint, double retryAfterMs) {
                retryAfterReceived = true;
            }

            @Override
            public void ended(Endpoints.Call call, Outcome outcome, boolean messageEnded, double retryAfterMs,
                    boolean exchangeOpen) {
                ends.add(new End(call.message.id, outcome));
            }
        });
        updateEndpoint(RETRY_AFTER_ENDPOINT, retryAfterServer.address());
    }

    @AfterEach
    void close() throws Exception {
        releaseLoop.countDown();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        retryAfterServer.close();
    }

    private void updateEndpoint(long endpoint, InetSocketAddress address) {
        loop.submit(() -> endpoints.updateEndpoint(endpoint, address, true, 0, 1)).syncUninterruptibly();
    }

    private void call(String id, long endpoint) {
        AcceptedMessage message =
                new AcceptedMessage(0, id, "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[5]);
        endpoints.call(message, 0, endpoint, TIMEOUT_MS);
        endpoints.flush();
    }

    /** Sends a call that its endpoint reads and does not answer; returns the endpoint's socket. */
    private Socket startUnansweredCall() throws InterruptedException {
        loop.execute(() -> call("refused", RETRY_AFTER_ENDPOINT));
        return waitingSockets.poll(30, TimeUnit.SECONDS);
    }

    /** Blocks the event loop, from its next task on, until the test releases it. */
    private void blockLoop() {
        loop.execute(() -> {
            try {
                releaseLoop.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        });
    }

    private void assertEndsUnsent(String id) throws InterruptedException {
        End end = ends.poll(30, TimeUnit.SECONDS);
        while (!end.id().equals(id)) {
            end = ends.poll(30, TimeUnit.SECONDS);
        }
        assertEquals(new End(id, Outcome.NOT_SENT), end);
    }

    /** The connection comes up first, then the answer is written; the event loop finds both at once. */
    @Test
    void callWhoseConnectionComesUpJustBeforeIsHeldBack() throws Exception {
        Socket unanswered = startUnansweredCall();
        try (FullListener listener = new FullListener()) {
            updateEndpoint(OTHER_ENDPOINT, listener.address());
            int checksBefore = loop.submit(() -> startChecks).get();
            loop.submit(() -> call("other", OTHER_ENDPOINT)).sync();
            StubServer.await("the connection is being made",
                    () -> loop.submit(() -> startChecks).syncUninterruptibly().getNow() > checksBefore);
            blockLoop();
            listener.acceptNext();
            StubServer.write(unanswered, RETRY_AFTER_ANSWER);
            releaseLoop.countDown();
            assertEndsUnsent("other");
        }
    }

    /** The event loop is held up, as by a slow disk, between the decision for a call and its first byte. */
    @Test
    void callOnIdleConnectionStalledBeforeFirstByteIsHeldBack() throws Exception {
        try (StubServer other = new StubServer(StubServer.status(200, ""))) {
            updateEndpoint(OTHER_ENDPOINT, other.address());
            loop.submit(() -> call("first", OTHER_ENDPOINT)).sync();
            assertEquals(new End("first", Outcome.DELIVERED), ends.poll(30, TimeUnit.SECONDS));
            Socket unanswered = startUnansweredCall();
            loop.submit(() -> whileOtherBegins = () -> {
                whileOtherBegins = () -> { };
                sendRetryAfterAndStall(unanswered);
            }).sync();
            loop.submit(() -> call("other", OTHER_ENDPOINT)).sync();
            assertEndsUnsent("other");
            assertEquals(1, other.requests.size());
        }
    }

    private static void sendRetryAfterAndStall(Socket unanswered) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(150);
        try {
            StubServer.write(unanswered, RETRY_AFTER_ANSWER);
            while (System.nanoTime() < endNanos) {
                Thread.sleep(1);
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** A listener whose backlog is full until it accepts, so that the next connect stays pending for some time. */
    private static final class FullListener implements AutoCloseable {
        private static final int ACCEPT_TIMEOUT_MS = 30_000;
        private static final int MIN_BACKLOG = 1;
        /** Number of connections that the system queues: one more than the backlog. */
        private static final int QUEUED_CONNECTIONS = MIN_BACKLOG + 1;

        private final ServerSocket server = new ServerSocket(0, MIN_BACKLOG, InetAddress.getLoopbackAddress());
        private final List<Socket> sockets = new ArrayList<>();

        FullListener() throws IOException {
            server.setSoTimeout(ACCEPT_TIMEOUT_MS);
            for (int i = 0; i < QUEUED_CONNECTIONS; i++) {
                sockets.add(new Socket(address().getAddress(), address().getPort()));
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        /** Accepts the queued connections and the pending one; returns when that one is up. */
        void acceptNext() throws IOException {
            for (int i = 0; i <= QUEUED_CONNECTIONS; i++) {
                sockets.add(server.accept());
            }
        }

        @Override
        public void close() throws IOException {
            for (Socket socket : sockets) {
                socket.close();
            }
            server.close();
        }
    }
}
