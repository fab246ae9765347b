package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Tests a call that times out while the request that it shares is only partly written to the socket. */
class EndpointUnflushedCallTest {
    private static final long ENDPOINT = 1;
    private static final double SHORT_MS = 300;
    private static final double LONG_MS = 20_000;
    private static final int BODY_LENGTH = 30_000;
    /** More requests than the buffers of any socket hold. */
    private static final int MAX_EXCHANGES = 2000;

    private record End(String id, Outcome outcome) {
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    /** Number of messages that were written completely; used on the event loop. */
    private int writtenMessages;
    /** Number of calls that have begun, which are written in the same task; used on the event loop. */
    private int begunCalls;

    private final Endpoints.Callbacks callbacks = new PermissiveEndpointCallbacks() {
        @Override
        public void ended(Endpoints.Call call, Outcome outcome, boolean messageEnded, double retryAfterMs,
                boolean exchangeOpen) {
            ends.add(new End(call.message.id, outcome));
        }

        @Override
        public boolean callStarting(Endpoints.Call call) {
            begunCalls++;
            return true;
        }

        @Override
        public void written(int messages) {
            writtenMessages += messages;
        }
    };

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * The endpoint reads nothing, and answers each request that the socket accepted completely. In the first exchange
     * whose request it did not accept, one of the calls times out. Then the endpoint reads on: if it receives that
     * request completely, the call must have ended as one that may have run.
     */
    @Test
    void callTimedOutInUnwrittenExchangeMayHaveRunOnceItIsSent() throws Exception {
        Endpoints endpoints = new Endpoints(loop, 1000, 15_000, 1, 4, callbacks);
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4096);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            loop.submit(() -> endpoints.updateEndpoint(ENDPOINT, address, true, 0, 2)).sync();
            int number = 0;
            Socket socket = null;
            while (startIsWrittenCompletely(endpoints, number)) {
                socket = socket == null ? server.accept() : socket;
                answerAccepted(socket, number);
                assertEquals(Outcome.DELIVERED, ends.poll(30, TimeUnit.SECONDS).outcome());
                assertEquals(Outcome.DELIVERED, ends.poll(30, TimeUnit.SECONDS).outcome());
                number++;
                assertTrue(number < MAX_EXCHANGES, "the socket accepts everything");
            }
            End first = ends.poll(30, TimeUnit.SECONDS);
            assertEquals("a" + number, first.id());
            boolean arrived = arrives(socket, "b" + number + " - ");
            assertTrue(!arrived || first.outcome().mayHaveRun(),
                    "it was sent completely, and ended as " + first.outcome());
        }
    }

    /** Starts an exchange with a short and a long call; returns whether the socket accepted it completely at once. */
    private boolean startIsWrittenCompletely(Endpoints endpoints, int number) throws Exception {
        int before = loop.submit(() -> writtenMessages).get();
        loop.submit(() -> {
            endpoints.call(message("a" + number), 0, ENDPOINT, number == 0 ? LONG_MS : SHORT_MS);
            endpoints.call(message("b" + number), 0, ENDPOINT, LONG_MS);
            endpoints.flush();
        }).sync();
        int expected = 2 * (number + 1);
        StubServer.await("both calls begin",
                () -> loop.submit(() -> begunCalls).syncUninterruptibly().getNow() == expected);
        return loop.submit(() -> writtenMessages).get() > before;
    }

    private static AcceptedMessage message(String id) {
        return new AcceptedMessage(0, id, "order", "t", Optional.empty(), Optional.empty(), 7, 0,
                new byte[BODY_LENGTH]);
    }

    private static void answerAccepted(Socket socket, int number) throws Exception {
        String body = String.join("", List.of("a" + number + " accepted\r\n", "b" + number + " accepted\r\n"));
        StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Reads up to the end of the message with this line, the last one; false if the connection ends before that. */
    private static boolean arrives(Socket socket, String line) throws Exception {
        StringBuilder tail = new StringBuilder();
        byte[] buffer = new byte[65_536];
        int bodyLeft = -1;
        for (int n = socket.getInputStream().read(buffer); n >= 0; n = socket.getInputStream().read(buffer)) {
            String text = new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
            if (bodyLeft < 0) {
                tail.append(text);
                int lineStart = tail.indexOf(line);
                if (lineStart >= 0) {
                    bodyLeft = BODY_LENGTH - (tail.length() - tail.indexOf("\r\n", lineStart) - 2);
                } else {
                    tail.delete(0, Math.max(0, tail.length() - line.length() - 64));
                }
            } else {
                bodyLeft -= n;
            }
            if (bodyLeft <= 0 && tail.indexOf(line) >= 0) {
                return true;
            }
        }
        return false;
    }
}
