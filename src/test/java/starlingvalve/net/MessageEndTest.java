package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Tests that an answer which ends a message counts whatever else happens: nothing is sent for the message after it. */
class MessageEndTest {
    private static final long FIRST = 1;
    private static final long SECOND = 2;
    private static final double SHORT_MS = 200;
    private static final double LONG_MS = 20_000;
    /** Two bodies of this size fit into one request, and are more than small socket buffers hold. */
    private static final int LARGE_BODY = 30_000;

    /** A callback that was received for a call. */
    private sealed interface Callback {
        record Ended(String id, int attempt, Outcome outcome, boolean messageEnded, boolean exchangeOpen)
                implements Callback {
        }

        record EndedAfterCall(String id, int attempt, boolean delivered) implements Callback {
        }

        record Closed(String id) implements Callback {
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Callback> received = new LinkedBlockingQueue<>();
    private StubServer first;
    private StubServer second;
    private Endpoints endpoints;

    private final Endpoints.Callbacks callbacks = new PermissiveEndpointCallbacks() {
        @Override
        public void ended(Endpoints.Call call, Outcome outcome, boolean messageEnded, double retryAfterMs,
                boolean exchangeOpen) {
            received.add(new Callback.Ended(call.message.id, call.attempt, outcome, messageEnded, exchangeOpen));
        }

        @Override
        public void messageEndedAfterCall(Endpoints.Call call, boolean delivered) {
            received.add(new Callback.EndedAfterCall(call.message.id, call.attempt, delivered));
        }

        @Override
        public void exchangeEnded(Endpoints.Call call) {
            received.add(new Callback.Closed(call.message.id));
        }
    };

    @BeforeEach
    void open() throws Exception {
        first = new StubServer(StubServer.silent());
        second = new StubServer(StubServer.status(200, ""));
        open(UnreadInputChannel::new, first.address());
    }

    private void open(ChannelFactory<UnreadInputChannel> channels, InetSocketAddress firstAddress) {
        open(System::nanoTime, channels, firstAddress);
    }

    private void open(LongSupplier nanos, ChannelFactory<UnreadInputChannel> channels, InetSocketAddress firstAddress) {
        endpoints = new Endpoints(loop, nanos, channels, 1000, 15_000, 1, 4, callbacks);
        runInLoop(() -> {
            endpoints.updateEndpoint(FIRST, firstAddress, true, 0, 3);
            endpoints.updateEndpoint(SECOND, second.address(), true, 0, 3);
            return null;
        });
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        first.close();
        second.close();
    }

    private <T> T runInLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    private static AcceptedMessage message(String id, int bodyLength) {
        return new AcceptedMessage(0, id, "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[bodyLength]);
    }

    private Endpoints.Call call(AcceptedMessage message, int attempt, long endpoint, double timeoutMs) {
        return endpoints.call(message, attempt, endpoint, timeoutMs);
    }

    private Callback next() throws InterruptedException {
        return received.poll(30, TimeUnit.SECONDS);
    }

    private static String accepted(String... ids) {
        return answer(String.join(" accepted\r\n", ids) + " accepted\r\n");
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends three messages in one request; the first is cancelled and the second times out before the answer. */
    private void abandonTwoOfThree() throws Exception {
        Endpoints.Call cancelled = runInLoop(() -> {
            Endpoints.Call call = call(message("cancelled", 5), 0, FIRST, LONG_MS);
            call(message("hasty", 5), 0, FIRST, SHORT_MS);
            call(message("waiting", 5), 0, FIRST, LONG_MS);
            endpoints.flush();
            return call;
        });
        StubServer.await("the call arrives", () -> first.requests.size() == 1);
        runInLoop(() -> {
            endpoints.cancel(cancelled);
            return null;
        });
        assertEquals(new Callback.Ended("cancelled", 0, Outcome.CANCELLED, false, true), next());
        assertEquals(new Callback.Ended("hasty", 0, Outcome.TIMED_OUT, false, true), next());
    }

    /**
     * By the protocol a message is delivered once the whole answer that accepts it is written. An earlier version of
     * this test expected instead that the call that still waits always counts as possibly run.
     */
    @Test
    void completeAnswerCountsForAllMessagesIncludingAbandonedOnes() throws Exception {
        abandonTwoOfThree();
        assertTrue(received.isEmpty(), "their request is still in flight");
        first.writeToAll(accepted("cancelled", "hasty", "waiting"));
        assertEquals(List.of(new Callback.EndedAfterCall("cancelled", 0, true),
                new Callback.EndedAfterCall("hasty", 0, true),
                new Callback.Ended("waiting", 0, Outcome.DELIVERED, false, false), new Callback.Closed("cancelled"),
                new Callback.Closed("hasty")), List.of(next(), next(), next(), next(), next()));
    }

    @Test
    void eachResultOfTheAnswerCountsForItsOwnMessage() throws Exception {
        abandonTwoOfThree();
        first.writeToAll(answer("cancelled deferred\r\nhasty expired\r\nwaiting deferred\r\n"));
        assertEquals(List.of(new Callback.EndedAfterCall("hasty", 0, false),
                new Callback.Ended("waiting", 0, Outcome.FULL, false, false), new Callback.Closed("cancelled"),
                new Callback.Closed("hasty")), List.of(next(), next(), next(), next()));
    }

    @Test
    void incompleteAnswerEndsNoMessage() throws Exception {
        abandonTwoOfThree();
        String whole = accepted("cancelled", "hasty", "waiting");
        first.writeToAll(whole.substring(0, whole.length() - 3));
        first.close();
        assertEquals(List.of(new Callback.Ended("waiting", 0, Outcome.BROKEN, false, false),
                new Callback.Closed("cancelled"), new Callback.Closed("hasty")), List.of(next(), next(), next()));
    }

    /** The answer was read, but the policy not notified yet, when the connection for a hedge came up. */
    @Test
    void nothingIsSentForMessageWhoseEndHasBeenRead() throws Exception {
        AcceptedMessage message = message("raced", 5);
        runInLoop(() -> {
            call(message, 0, FIRST, LONG_MS);
            endpoints.flush();
            return null;
        });
        StubServer.await("the first attempt arrives", () -> first.requests.size() == 1);
        runInLoop(() -> {
            // The loop reads nothing now: the answer is in the socket before the second connect starts.
            first.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            call(message, 1, SECOND, LONG_MS);
            endpoints.flush();
            return null;
        });
        assertEquals(List.of(new Callback.Ended("raced", 0, Outcome.DELIVERED, false, false),
                new Callback.Ended("raced", 1, Outcome.NOT_SENT, false, false)), List.of(next(), next()));
        assertEquals(0, second.requests.size());
    }

    /** A socket that accepts only part of a large request while its peer does not read. */
    private static final class SmallBufferChannel extends UnreadInputChannel {
        SmallBufferChannel() {
            config().setSendBufferSize(4096);
        }
    }

    /** Guards against a cancelled message that arrives after its end because the rest of its request is written. */
    @Test
    void lastByteOfRequestWithCancelledMessageIsNotWritten() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4096);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            open(SmallBufferChannel::new, (InetSocketAddress) server.getLocalSocketAddress());
            Endpoints.Call cancelled = runInLoop(() -> {
                Endpoints.Call call = call(message("over", LARGE_BODY), 0, FIRST, LONG_MS);
                call(message("other", LARGE_BODY), 0, FIRST, LONG_MS);
                endpoints.flush();
                return call;
            });
            try (Socket socket = server.accept()) {
                // The connection is up, and the request has begun.
                int arrivedBytes = socket.getInputStream().read() < 0 ? 0 : 1;
                runInLoop(() -> {
                    endpoints.cancel(cancelled);
                    return null;
                });
                assertEquals(List.of(new Callback.Ended("over", 0, Outcome.CANCELLED, false, false),
                        new Callback.Ended("other", 0, Outcome.UNREACHABLE, false, false)), List.of(next(), next()));
                byte[] buffer = new byte[1 << 16];
                for (int n = socket.getInputStream().read(buffer); n >= 0; n = socket.getInputStream().read(buffer)) {
                    arrivedBytes += n;
                }
                assertTrue(arrivedBytes < 2 * LARGE_BODY, "the request arrived completely");
            }
        }
    }

    /** A socket that returns one byte per read, as sockets may. */
    private static final class ByteByByteChannel extends UnreadInputChannel {
        @Override
        protected int doReadBytes(ByteBuf bytes) throws Exception {
            return bytes.writeBytes(javaChannel(), 1);
        }
    }

    /**
     * The time-out passes while the answer is in the socket and the loop reads nothing; then the loop reads one byte at
     * a time.
     *
     * @param lateMs how long after the time-out the loop goes on, by the clock of the endpoints
     */
    private Callback endOfCallWithAnswerReadByteByByte(double lateMs) throws Exception {
        AtomicLong clock = new AtomicLong();
        open(clock::get, ByteByByteChannel::new, first.address());
        CountDownLatch loopHeld = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        first.script((request, socket) -> {
            SenderFixture.awaitLatch(loopHeld);
            StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            answered.countDown();
        });
        runInLoop(() -> {
            call(message("late", 5), 0, FIRST, SHORT_MS);
            endpoints.flush();
            return null;
        });
        StubServer.await("the call arrives", () -> first.requests.size() == 1);
        runInLoop(() -> {
            loopHeld.countDown();
            SenderFixture.awaitLatch(answered);
            TimeUnit.MILLISECONDS.sleep((long) SHORT_MS);
            clock.set((long) ((SHORT_MS + lateMs) * 1e6));
            return null;
        });
        return next();
    }

    /** Guards against a time-out that closes the connection while the answer is read one byte at a time. */
    @Test
    void answerBeingReadAtTimeOutIsReadToItsEnd() throws Exception {
        assertEquals(new Callback.Ended("late", 0, Outcome.DELIVERED, false, false),
                endOfCallWithAnswerReadByteByByte(9));
        assertEquals(1, first.requests.size());
    }

    /** A time-out is put off for a few milliseconds at most. */
    @Test
    void answerThatIsStillReadLongAfterTimeOutIsNotAwaited() throws Exception {
        assertEquals(new Callback.Ended("late", 0, Outcome.TIMED_OUT, false, false),
                endOfCallWithAnswerReadByteByByte(11));
    }
}
