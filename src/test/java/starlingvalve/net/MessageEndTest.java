package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** An answer that tells the end of a message binds whatever else is known or under way: nothing goes out for it then. */
class MessageEndTest {
    private static final long FIRST = 1;
    private static final long SECOND = 2;
    private static final double SHORT_MS = 200;
    private static final double LONG_MS = 20_000;
    /** Two of them fill a call, and are more than small buffers of sockets hold. */
    private static final int LARGE_BODY = 30_000;

    /** What was told of a call. */
    private sealed interface Told {
        record Ended(String id, int attempt, Outcome outcome, boolean gone, boolean open) implements Told {
        }

        record OverAfterEnd(String id, int attempt, boolean delivered) implements Told {
        }

        record Closed(String id) implements Told {
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
    private StubServer first;
    private StubServer second;
    private Endpoints endpoints;

    private final Endpoints.Callbacks ends = new PermissiveEndpointCallbacks() {
        @Override
        public void ended(Endpoints.Call call, Outcome outcome, boolean gone, double waitMs, boolean open) {
            told.add(new Told.Ended(call.held.id, call.attempt, outcome, gone, open));
        }

        @Override
        public void messageEndedAfterCall(Endpoints.Call call, boolean delivered) {
            told.add(new Told.OverAfterEnd(call.held.id, call.attempt, delivered));
        }

        @Override
        public void closed(Endpoints.Call call) {
            told.add(new Told.Closed(call.held.id));
        }
    };

    @BeforeEach
    void open() throws Exception {
        first = new StubServer(StubServer.silent());
        second = new StubServer(StubServer.status(200, ""));
        open(UnreadInputChannel::new, first.address());
    }

    private void open(ChannelFactory<UnreadInputChannel> channels, InetSocketAddress firstAddress) {
        endpoints = new Endpoints(loop, System::nanoTime, channels, 1000, 15_000, 1, 4, ends);
        inLoop(() -> {
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

    private <T> T inLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    private static AcceptedMessage held(String id, int bodyLength) {
        return new AcceptedMessage(0, id, "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[bodyLength]);
    }

    private Endpoints.Call call(AcceptedMessage held, int attempt, long endpoint, double timeoutMs) {
        return endpoints.call(held, attempt, endpoint, timeoutMs);
    }

    private Told next() throws InterruptedException {
        return told.poll(30, TimeUnit.SECONDS);
    }

    private static String accepted(String... ids) {
        return answer(String.join(" accepted\r\n", ids) + " accepted\r\n");
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Three messages in one call, of which the first is cancelled and the second times out before the answer. */
    private void twoOfThreeLeave() throws Exception {
        Endpoints.Call cancelled = inLoop(() -> {
            Endpoints.Call call = call(held("cancelled", 5), 0, FIRST, LONG_MS);
            call(held("hasty", 5), 0, FIRST, SHORT_MS);
            call(held("waiting", 5), 0, FIRST, LONG_MS);
            endpoints.flush();
            return call;
        });
        StubServer.await("the call arrives", () -> first.requests.size() == 1);
        inLoop(() -> {
            endpoints.cancel(cancelled);
            return null;
        });
        assertEquals(new Told.Ended("cancelled", 0, Outcome.CANCELLED, false, true), next());
        assertEquals(new Told.Ended("hasty", 0, Outcome.TIMED_OUT, false, true), next());
    }

    /**
     * Replaces a test that had the one who waits end as maybe run, whatever the answer said: the protocol has a message
     * delivered once the whole answer that accepts it is written.
     */
    @Test
    void aWholeAnswerCountsForAllOfItsCallAlsoForThoseThatHaveLeft() throws Exception {
        twoOfThreeLeave();
        assertTrue(told.isEmpty(), "their call is still out");
        first.answerAll(accepted("cancelled", "hasty", "waiting"));
        assertEquals(List.of(new Told.OverAfterEnd("cancelled", 0, true), new Told.OverAfterEnd("hasty", 0, true),
                new Told.Ended("waiting", 0, Outcome.DELIVERED, false, false), new Told.Closed("cancelled"),
                new Told.Closed("hasty")), List.of(next(), next(), next(), next(), next()));
    }

    @Test
    void eachWordOfTheAnswerCountsForItsOwnMessage() throws Exception {
        twoOfThreeLeave();
        first.answerAll(answer("cancelled deferred\r\nhasty expired\r\nwaiting deferred\r\n"));
        assertEquals(List.of(new Told.OverAfterEnd("hasty", 0, false),
                new Told.Ended("waiting", 0, Outcome.FULL, false, false), new Told.Closed("cancelled"),
                new Told.Closed("hasty")), List.of(next(), next(), next(), next()));
    }

    @Test
    void anAnswerThatIsNotWholeEndsNothing() throws Exception {
        twoOfThreeLeave();
        String whole = accepted("cancelled", "hasty", "waiting");
        first.answerAll(whole.substring(0, whole.length() - 3));
        first.close();
        assertEquals(List.of(new Told.Ended("waiting", 0, Outcome.BROKEN, false, false), new Told.Closed("cancelled"),
                new Told.Closed("hasty")), List.of(next(), next(), next()));
    }

    /** The answer was read, but the module not told yet, when the connection for a copy came up. */
    @Test
    void nothingGoesOutForAMessageWhoseEndHasBeenRead() throws Exception {
        AcceptedMessage held = held("raced", 5);
        inLoop(() -> {
            call(held, 0, FIRST, LONG_MS);
            endpoints.flush();
            return null;
        });
        StubServer.await("the first attempt arrives", () -> first.requests.size() == 1);
        inLoop(() -> {
            // The loop reads nothing now: the answer lies in the socket before the second connection is asked for.
            first.answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            call(held, 1, SECOND, LONG_MS);
            endpoints.flush();
            return null;
        });
        assertEquals(List.of(new Told.Ended("raced", 0, Outcome.DELIVERED, false, false),
                new Told.Ended("raced", 1, Outcome.NOT_SENT, false, false)), List.of(next(), next()));
        assertEquals(0, second.requests.size());
    }

    /** A socket that takes only part of a large call while its peer does not read. */
    private static final class SmallBufferChannel extends UnreadInputChannel {
        SmallBufferChannel() {
            config().setSendBufferSize(4096);
        }
    }

    /** The others of a call that is partly written took it along, and it arrived after its end. */
    @Test
    void theLastByteOfACallWithACancelledMessageIsNotWritten() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4096);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            open(SmallBufferChannel::new, (InetSocketAddress) server.getLocalSocketAddress());
            Endpoints.Call over = inLoop(() -> {
                Endpoints.Call call = call(held("over", LARGE_BODY), 0, FIRST, LONG_MS);
                call(held("other", LARGE_BODY), 0, FIRST, LONG_MS);
                endpoints.flush();
                return call;
            });
            try (Socket socket = server.accept()) {
                // Its connection is up, and the call has begun.
                int arrived = socket.getInputStream().read() < 0 ? 0 : 1;
                inLoop(() -> {
                    endpoints.cancel(over);
                    return null;
                });
                assertEquals(List.of(new Told.Ended("over", 0, Outcome.CANCELLED, false, false),
                        new Told.Ended("other", 0, Outcome.UNREACHABLE, false, false)), List.of(next(), next()));
                byte[] buffer = new byte[1 << 16];
                for (int n = socket.getInputStream().read(buffer); n >= 0; n = socket.getInputStream().read(buffer)) {
                    arrived += n;
                }
                assertTrue(arrived < 2 * LARGE_BODY, "it arrived whole");
            }
        }
    }

    /** A socket that gives one byte a read, as one may. */
    private static final class ByteByByteChannel extends UnreadInputChannel {
        @Override
        protected int doReadBytes(ByteBuf bytes) throws Exception {
            return bytes.writeBytes(javaChannel(), 1);
        }
    }

    /** The time-out came while the answer was read, a byte at a time, and its connection was closed. */
    @Test
    void anAnswerThatIsBeingReadWhenTheTimeIsUpIsReadOn() throws Exception {
        open(ByteByByteChannel::new, first.address());
        CountDownLatch answered = new CountDownLatch(1);
        first.script((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            answered.countDown();
        });
        inLoop(() -> {
            call(held("late", 5), 0, FIRST, SHORT_MS);
            endpoints.flush();
            return null;
        });
        StubServer.await("the call arrives", () -> first.requests.size() == 1);
        inLoop(() -> {
            // The loop reads nothing until the whole answer lies in the socket and the time is up.
            SenderFixture.awaitLatch(answered);
            TimeUnit.MILLISECONDS.sleep((long) SHORT_MS);
            return null;
        });
        assertEquals(new Told.Ended("late", 0, Outcome.DELIVERED, false, false), next());
        assertFalse(first.requests.isEmpty());
    }
}
