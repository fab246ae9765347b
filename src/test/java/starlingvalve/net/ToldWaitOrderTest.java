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
 * An answer that tells a wait arrives while another call is about to go out. What has arrived before a call is
 * written has to be read before it, however long the event loop is held up in between.
 */
class ToldWaitOrderTest {
    private static final long TELLS = 1;
    private static final long OTHER = 2;
    private static final double DIAL_MS = 15_000;
    private static final double TIMEOUT_MS = 20_000;
    private static final String TOLD_WAIT = "HTTP/1.1 429 x\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n";

    private record End(String id, Outcome outcome) {
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<End> ended = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> asked = new LinkedBlockingQueue<>();
    private final CountDownLatch loopRunsOn = new CountDownLatch(1);
    /** Used on the loop: what is done while the call with this id is recorded as begun. */
    private Runnable whileOtherBegins = () -> { };
    private boolean waitIsTold;
    /** Used on the loop: calls of which it was asked whether they may start, which is done with the answer at once. */
    private int askedToStart;
    private StubServer teller;
    private Endpoints endpoints;

    @BeforeEach
    void open() throws Exception {
        teller = new StubServer((request, socket) -> asked.add(socket));
        endpoints = new Endpoints(loop, DIAL_MS, 15_000, 1, 4, new PermissiveEndpointCallbacks() {
            @Override
            public boolean mayBeginAttempt(Endpoints.Call call) {
                askedToStart++;
                return !waitIsTold;
            }

            @Override
            public boolean begins(Endpoints.Call call) {
                if (call.held.id.equals("other")) {
                    whileOtherBegins.run();
                }
                return true;
            }

            @Override
            public void retryAfterReceived(long endpoint, double waitMs) {
                waitIsTold = true;
            }

            @Override
            public void ended(Endpoints.Call call, Outcome outcome, boolean gone, double waitMs, boolean open) {
                ended.add(new End(call.held.id, outcome));
            }
        });
        at(TELLS, teller.address());
    }

    @AfterEach
    void close() throws Exception {
        loopRunsOn.countDown();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        teller.close();
    }

    private void at(long endpoint, InetSocketAddress address) {
        loop.submit(() -> endpoints.at(endpoint, address, true, 0, 1)).syncUninterruptibly();
    }

    private void call(String id, long endpoint) {
        AcceptedMessage held =
                new AcceptedMessage(0, id, "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[5]);
        endpoints.call(held, 0, endpoint, TIMEOUT_MS);
        endpoints.flush();
    }

    /** A call that its endpoint has read and not answered yet; its connection. */
    private Socket callThatIsOut() throws InterruptedException {
        loop.execute(() -> call("teller", TELLS));
        return asked.poll(30, TimeUnit.SECONDS);
    }

    /** Holds the event loop up, from its next task on, until the test lets it run on. */
    private void holdLoop() {
        loop.execute(() -> {
            try {
                loopRunsOn.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        });
    }

    private void assertEndsUnsent(String id) throws InterruptedException {
        End end = ended.poll(30, TimeUnit.SECONDS);
        while (!end.id().equals(id)) {
            end = ended.poll(30, TimeUnit.SECONDS);
        }
        assertEquals(new End(id, Outcome.NOT_SENT), end);
    }

    /** The connection is up first, the answer is written then, and the loop finds both at once. */
    @Test
    void aCallWhoseConnectionComesUpJustBeforeIsHeldBack() throws Exception {
        Socket out = callThatIsOut();
        try (FullListener listener = new FullListener()) {
            at(OTHER, listener.address());
            int askedBefore = loop.submit(() -> askedToStart).get();
            loop.submit(() -> call("other", OTHER)).sync();
            StubServer.await("the connection is being made",
                    () -> loop.submit(() -> askedToStart).syncUninterruptibly().getNow() > askedBefore);
            holdLoop();
            listener.acceptNext();
            StubServer.write(out, TOLD_WAIT);
            loopRunsOn.countDown();
            assertEndsUnsent("other");
        }
    }

    /** The loop is held up, as by a slow disk, between the decision for a call and its first byte. */
    @Test
    void aCallOnAKeptConnectionThatIsHeldUpBeforeItsFirstByteIsHeldBack() throws Exception {
        try (StubServer other = new StubServer(StubServer.status(200, ""))) {
            at(OTHER, other.address());
            loop.submit(() -> call("first", OTHER)).sync();
            assertEquals(new End("first", Outcome.DELIVERED), ended.poll(30, TimeUnit.SECONDS));
            Socket out = callThatIsOut();
            loop.submit(() -> whileOtherBegins = () -> {
                whileOtherBegins = () -> { };
                tellWaitAndStayHeldUp(out);
            }).sync();
            loop.submit(() -> call("other", OTHER)).sync();
            assertEndsUnsent("other");
            assertEquals(1, other.requests.size());
        }
    }

    private static void tellWaitAndStayHeldUp(Socket out) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(150);
        try {
            StubServer.write(out, TOLD_WAIT);
            while (System.nanoTime() < until) {
                Thread.sleep(1);
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Has no room for further connections until it accepts: the next one comes up some time later. */
    private static final class FullListener implements AutoCloseable {
        private static final int ACCEPT_TIMEOUT_MS = 30_000;
        private static final int LEAST_BACKLOG = 1;
        /** The system queues one connection more than the backlog. */
        private static final int QUEUED = LEAST_BACKLOG + 1;

        private final ServerSocket server = new ServerSocket(0, LEAST_BACKLOG, InetAddress.getLoopbackAddress());
        private final List<Socket> sockets = new ArrayList<>();

        FullListener() throws IOException {
            server.setSoTimeout(ACCEPT_TIMEOUT_MS);
            for (int i = 0; i < QUEUED; i++) {
                sockets.add(new Socket(address().getAddress(), address().getPort()));
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        /** Makes room; returns when the connection that waited for it is up. */
        void acceptNext() throws IOException {
            for (int i = 0; i <= QUEUED; i++) {
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
