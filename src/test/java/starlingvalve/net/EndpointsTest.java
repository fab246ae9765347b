package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;

/** Tests each row of the protocol's table of outcomes, and how connections are opened, reused and closed. */
class EndpointsTest {
    private static final double LONG_MS = 20_000;
    private static final long STALL_MS = 10;
    /** Longer than the {@link QuietPeriod} of a connection. */
    private static final double SHORT_MS = 300;
    /** With this many senders, no connection may stay idle where connection tables are full. */
    private static final int SENDERS = Integer.MAX_VALUE;

    private record End(Outcome outcome, boolean messageEnded, double retryAfterMs, boolean exchangeOpen) {
        End(Outcome outcome, boolean messageEnded, double retryAfterMs) {
            this(outcome, messageEnded, retryAfterMs, false);
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final Set<String> withheldIds = ConcurrentHashMap.newKeySet();
    private volatile Runnable beforeStart = () -> { };
    /** Runs before a call looks for a connection, and again in the read in which a new connection is up. */
    private volatile Runnable beforeListCheck = () -> { };
    private volatile Runnable beforeWrite = () -> { };
    private volatile boolean writesBlocked;
    private final BlockingQueue<UnreadInputChannel> createdChannels = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closedIds = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> endedAfterCall = new LinkedBlockingQueue<>();
    private volatile int written;
    private volatile boolean journalFull;
    private final BlockingQueue<String> retryAfters = new LinkedBlockingQueue<>();
    /** The clock for idle connections, in tests that move it themselves. */
    private final AtomicLong idleClockNanos = new AtomicLong();
    private Endpoints endpoints;
    private StubServer stub;

    private final Endpoints.Callbacks callbacks = new Endpoints.Callbacks() {
        @Override
        public void retryAfterReceived(long endpoint, double retryAfterMs) {
            retryAfters.add(endpoint + " " + retryAfterMs);
        }

        @Override
        public void written(int messages) {
            written += messages;
        }

        @Override
        public boolean mayBeginAttempt(Endpoints.Call call) {
            beforeStart.run();
            return !withheldIds.contains(call.message.id);
        }

        @Override
        public void runWhenListIsCurrent(Runnable task) {
            beforeListCheck.run();
            task.run();
        }

        @Override
        public boolean callStarting(Endpoints.Call call) {
            beforeWrite.run();
            return !journalFull;
        }

        @Override
        public void ended(Endpoints.Call call, Outcome outcome, boolean messageEnded, double retryAfterMs,
                boolean exchangeOpen) {
            ends.add(new End(outcome, messageEnded, retryAfterMs, exchangeOpen));
        }

        @Override
        public void messageEndedAfterCall(Endpoints.Call call, boolean delivered) {
            endedAfterCall.add(call.message.id + " " + delivered);
        }

        @Override
        public void exchangeEnded(Endpoints.Call call) {
            closedIds.add(call.message.id);
        }
    };

    @BeforeEach
    void open() throws Exception {
        stub = new StubServer(StubServer.status(200, ""));
        endpoints = new Endpoints(loop, 1000, 15_000, SENDERS, 4, callbacks);
        updateEndpoint(stub.address());
    }

    @AfterEach
    void close() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void updateEndpoint(InetSocketAddress address) {
        loop.submit(() -> endpoints.updateEndpoint(1, address, true, 2, 3)).syncUninterruptibly();
    }

    private Endpoints.Call start(byte[] body, double timeoutMs) throws Exception {
        AcceptedMessage message =
                new AcceptedMessage(1, "id-1", "order", "t", Optional.of("key-1"), Optional.empty(), 7, 0, body);
        return loop.submit(() -> {
            Endpoints.Call call = endpoints.call(message, 0, 1, timeoutMs);
            endpoints.flush();
            return call;
        }).get();
    }

    private End end() throws Exception {
        return ends.poll(30, TimeUnit.SECONDS);
    }

    private End call(StubServer.Script script) throws Exception {
        stub.script(script);
        start(new byte[] {'b', 'o', 'd', 'y'}, LONG_MS);
        return end();
    }

    private void assertOutcome(Outcome outcome, StubServer.Script script) throws Exception {
        assertEquals(new End(outcome, false, 0), call(script));
    }

    @Test
    void requestCarriesIdKeyBodyAndRemainingBudget() throws Exception {
        long begun = System.nanoTime();
        beforeStart = () -> {
            beforeStart = () -> { };
            spinFor(STALL_MS);
        };
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        StubServer.Message request = stub.requests.get(0);
        assertEquals("POST /v1/messages HTTP/1.1", request.line());
        assertEquals("id-1", request.header("X-Call-Id"));
        assertEquals("key-1", request.header("Idempotency-Key"));
        long elapsedMs = 1 + TimeUnit.NANOSECONDS.toMillis(request.atNanos() - begun);
        long budgetMs = Long.parseLong(request.header("X-Budget-Ms"));
        assertTrue(budgetMs <= LONG_MS - STALL_MS, "at most the remaining time, not the initial one: " + budgetMs);
        assertTrue(budgetMs >= LONG_MS - elapsedMs, "at least the remaining time: " + budgetMs);
        assertEquals("body", request.body());
    }

    private static void spinFor(long ms) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    @Test
    void statusesMapToOutcomes() throws Exception {
        assertOutcome(Outcome.ERROR, StubServer.status(500, ""));
        assertEquals(new End(Outcome.FULL, false, 1250), call(StubServer.status(429, "Retry-After: 1.25\r\n")));
        assertOutcome(Outcome.FULL, StubServer.status(503, ""));
        assertOutcome(Outcome.NOT_SENT, StubServer.status(503, "X-No-Slot: 1\r\n"));
        assertOutcome(Outcome.NOT_SENT, StubServer.status(504, ""));
        assertEquals(new End(Outcome.NOT_SENT, true, 0), call(StubServer.status(410, "")));
    }

    @Test
    void connectionLossAfterLastByteIsBroken() throws Exception {
        assertOutcome(Outcome.BROKEN, (request, socket) -> socket.close());
        assertOutcome(Outcome.BROKEN, (request, socket) -> socket.shutdownOutput());
        assertOutcome(Outcome.BROKEN, (request, socket) -> StubServer.write(socket, "not HTTP at all\r\n\r\n"));
        assertEquals(3, stub.requests.size(), "each request was sent once");
    }

    /** A call that the journal can't record must not be sent, neither over a new connection nor over an idle one. */
    @Test
    void callThatMayNotBeginIsNotSentAndItsConnectionIsKept() throws Exception {
        journalFull = true;
        assertOutcome(Outcome.NOT_SENT, StubServer.status(200, ""));
        assertOutcome(Outcome.NOT_SENT, StubServer.status(200, ""));
        journalFull = false;
        awaitIdleConnection();
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
        assertEquals(0, stub.requests.get(0).connection());
    }

    @Test
    void refusedConnectionIsUnreachable() throws Exception {
        ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = (InetSocketAddress) unused.getLocalSocketAddress();
        unused.close();
        updateEndpoint(address);
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
    }

    /** Guards against a socket that holds a file descriptor until the connect times out, although its slot is free. */
    @Test
    void abandonedConnectIsClosed() throws Exception {
        // With the backlog full, the system leaves further connects pending.
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            List<Socket> queue = new ArrayList<>();
            try {
                for (int i = 0; i < 2; i++) {
                    queue.add(new Socket(address.getAddress(), address.getPort()));
                }
                endpoints = new Endpoints(loop, System::nanoTime, RecordedChannel::new, LONG_MS, 15_000, SENDERS, 4,
                        callbacks);
                updateEndpoint(address);
                start(new byte[1], 50);
                assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
                assertTrue(createdChannels.poll(30, TimeUnit.SECONDS).closeFuture().await(5, TimeUnit.SECONDS),
                        "closed");
            } finally {
                for (Socket socket : queue) {
                    socket.close();
                }
            }
        }
    }

    private final class RecordedChannel extends UnreadInputChannel {
        RecordedChannel() {
            createdChannels.add(this);
        }
    }

    @Test
    void connectionLossBeforeLastByteIsUnreachable() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            updateEndpoint((InetSocketAddress) server.getLocalSocketAddress());
            start(new byte[64 << 20], LONG_MS);
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                socket.setSoLinger(true, 0);
            }
            assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
        }
    }

    @Test
    void silenceTimesOutAndClosesConnection() throws Exception {
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitIdleConnection();
        stub.script(StubServer.silent());
        start(new byte[1], SHORT_MS);
        assertEquals(new End(Outcome.TIMED_OUT, false, 0), end());
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(stub.requests.size() - 1).connection(),
                "a late answer must not be read for the next call");
    }

    @Test
    void cancelledCallEndsOnceAndClosesConnection() throws Exception {
        stub.script(StubServer.silent());
        Endpoints.Call call = start(new byte[1], LONG_MS);
        StubServer.await("the call arrives", () -> !stub.requests.isEmpty());
        loop.submit(() -> endpoints.cancel(call)).syncUninterruptibly();
        assertEquals(new End(Outcome.CANCELLED, false, 0), end());
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    /** Sends calls that share an exchange; returns their ends in the order of their ids. */
    private List<End> callTogether(int many, StubServer.Script script) throws Exception {
        stub.script(script);
        startTogether(many);
        List<End> results = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            results.add(end());
        }
        return results;
    }

    private List<Endpoints.Call> startTogether(int many) throws Exception {
        return loop.submit(() -> {
            List<Endpoints.Call> calls = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                AcceptedMessage message = new AcceptedMessage(i, "id-" + i, "order", "t",
                        i == 1 ? Optional.empty() : Optional.of("key-" + i),
                        Optional.empty(), 7, 0, ("body\r\n" + i).getBytes(StandardCharsets.ISO_8859_1));
                calls.add(endpoints.call(message, 0, 1, LONG_MS));
            }
            endpoints.flush();
            return calls;
        }).get();
    }

    private static StubServer.Script answer(String headers, String body) {
        return (request, socket) -> StubServer.write(socket, "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body);
    }

    @Test
    void callsOfOneTurnShareRequestUpToBatchSize() throws Exception {
        List<End> results = callTogether(3, answer("Retry-After: 0.5\r\n",
                "id-2 fault\r\nid-0 accepted\r\nid-1 deferred\r\n"));
        assertEquals(List.of(new End(Outcome.DELIVERED, false, 0), new End(Outcome.FULL, false, 500),
                new End(Outcome.ERROR, false, 500)), results);
        assertEquals(1, stub.requests.size());
        assertEquals("POST /v1/messages:batch HTTP/1.1", stub.requests.get(0).line());
        assertEquals("id-0 key-0 7\r\nbody\r\n0\r\nid-1 - 7\r\nbody\r\n1\r\nid-2 key-2 7\r\nbody\r\n2\r\n",
                stub.requests.get(0).body());
        startTogether(4);
        StubServer.await("one request with three messages, and the fourth", () -> stub.requests.size() == 3);
        assertEquals(1, stub.requests.stream().filter(r -> r.line().startsWith("POST /v1/messages ")).count());
    }

    @Test
    void failedExchangeEndsAllItsCallsAlike() throws Exception {
        End full = new End(Outcome.FULL, false, 1250);
        assertEquals(List.of(full, full), callTogether(2, StubServer.status(429, "Retry-After: 1.25\r\n")));
        End never = new End(Outcome.NOT_SENT, false, 0);
        assertEquals(List.of(never, never), callTogether(2, StubServer.status(413, "")));
        assertEquals(List.of(never, new End(Outcome.NOT_SENT, true, 0)),
                callTogether(2, answer("", "id-0 no_more\r\nid-1 expired\r\n")));
        End unknown = new End(Outcome.ERROR, false, 0);
        assertEquals(List.of(new End(Outcome.DELIVERED, false, 0), unknown),
                callTogether(2, answer("", "id-0 accepted\r\nrubbish\r\nid-1 perhaps\r\n")));
        End broken = new End(Outcome.BROKEN, false, 0);
        assertEquals(List.of(broken, broken), callTogether(2, (request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nid-0 accepted\r\n");
            socket.close();
        }));
    }

    /** Guards against a full heap: each answer had a limit, and those of all endpoints together had none. */
    @Test
    void oldestUnfinishedAnswerIsGivenUpWhenAllTogetherHoldTooMuch() throws Exception {
        int partBytes = 40_000;
        endpoints = new Endpoints(loop, System::nanoTime, UnreadInputChannel::new, 1000, 15_000, SENDERS, 4,
                new InputMemory(partBytes + partBytes / 2), callbacks);
        updateEndpoint(stub.address());
        stub.script((request, socket) -> StubServer.write(socket,
                "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(partBytes)));
        startTogether(6);
        End broken = new End(Outcome.BROKEN, false, 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(broken, end());
        }
        assertTrue(ends.isEmpty(), "the newer answer is given up too: " + ends);
    }

    @Test
    void callWithheldOnceConnectedIsNotSent() throws Exception {
        withholdOnceConnected("id-1", 3);
        End sent = new End(Outcome.DELIVERED, false, 0);
        stub.script(answer("", "id-0 accepted\r\nid-2 accepted\r\n"));
        startTogether(3);
        assertEquals(new End(Outcome.NOT_SENT, false, 0), end());
        assertEquals(List.of(sent, sent), List.of(end(), end()));
        assertFalse(stub.requests.get(0).body().contains("id-1"));
    }

    /** Withholds a message once its connection is up: mayStart is asked before the connect and again after it. */
    private void withholdOnceConnected(String id, int calls) {
        AtomicInteger asked = new AtomicInteger();
        beforeStart = () -> {
            if (asked.incrementAndGet() > calls) {
                withheldIds.add(id);
            }
        };
    }

    @Test
    void callWithheldBeforeConnectIsNotSent() throws Exception {
        withheldIds.add("id-1");
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.NOT_SENT, false, 0), end());
        withheldIds.clear();
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
    }

    @Test
    void unneededNewConnectionIsKept() throws Exception {
        withholdOnceConnected("id-1", 1);
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.NOT_SENT, false, 0), end());
        awaitIdleConnection();
        beforeStart = () -> { };
        withheldIds.clear();
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
        assertEquals(0, stub.requests.get(0).connection());
    }

    /** Retry-After takes effect with the head, but the call may have run until the last byte is read. */
    @Test
    void retryAfterIsReportedWithHeadAndAgainWithLastByte() throws Exception {
        stub.script((request, socket) -> StubServer.write(socket, request.connection() == 0
                ? "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 4\r\n\r\nfu"
                : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"));
        start(new byte[1], LONG_MS);
        StubServer.await("the first call", () -> stub.requests.size() == 1);
        assertEquals("1 1500.0", retryAfters.poll(30, TimeUnit.SECONDS));
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.DELIVERED, false, 0), end());
        // Input that arrived before this answer has been read by now, and the tasks it led to have run.
        loop.submit(() -> { }).sync();
        assertTrue(ends.isEmpty() && retryAfters.isEmpty(), "the first answer is not complete yet");
        stub.writeToAll("ll");
        assertEquals(new End(Outcome.FULL, false, 1500), end());
        assertEquals("1 1500.0", retryAfters.poll(30, TimeUnit.SECONDS));
    }

    // ---- which answers prove that a call never ran ----

    /** Asserts that a call counts as possibly run, whose endpoint sends this answer and closes the connection. */
    private void assertMayHaveRun(String answer) throws Exception {
        End end = call((request, socket) -> {
            StubServer.write(socket, answer);
            socket.close();
        });
        assertTrue(end.outcome().mayHaveRun(), end + " after " + answer);
        assertFalse(end.messageEnded(), "the message has not ended: " + answer);
    }

    /** Guards against trusting the head of a refusal whose body is truncated or invalid, and repeating the call. */
    @Test
    void truncatedOrInvalidRefusalProvesNothing() throws Exception {
        for (String status : List.of("429 x", "503 x", "503 x\r\nX-No-Slot: 1", "504 x", "410 x")) {
            assertMayHaveRun("HTTP/1.1 " + status + "\r\nContent-Length: 40\r\n\r\nbusy");
            assertMayHaveRun("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbusy\r\n");
            assertMayHaveRun("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n");
            assertMayHaveRun("HTTP/1.1 " + status + "\r\n\r\nno length, so its end is not known");
            assertMayHaveRun("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbusy");
            assertMayHaveRun("HTTP/1.1 " + status + "\r\nTransfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbusy");
        }
    }

    @Test
    void retryAfterOfTruncatedRefusalIsReported() throws Exception {
        End end = call((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 4\r\n\r\nfu");
            socket.close();
        });
        assertEquals(new End(Outcome.BROKEN, false, 1500), end);
    }

    @Test
    void bodyThatNeverEndsProvesNothing() throws Exception {
        stub.script((request, socket) -> StubServer.write(socket, "HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nbu"));
        start(new byte[1], 100);
        assertEquals(new End(Outcome.TIMED_OUT, false, 0), end());
    }

    @Test
    void statusLineWith200IsDeliveredWhateverFollows() throws Exception {
        for (String rest : List.of("", "Content-Length: x\r\n\r\n", "Content-Length: 9\r\n\r\nhalf", "no header\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n")) {
            assertOutcome(Outcome.DELIVERED, (request, socket) -> {
                StubServer.write(socket, "HTTP/1.1 200 OK\r\n" + rest);
                socket.close();
            });
        }
        assertMayHaveRun("HTTP/1.1 200 O");
    }

    @Test
    void twoMixedAnswersProveNothing() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (String before : List.of("HTTP/1.1 503 Serv", "HTTP/1.1 503 x\r\nX-Left: ",
                "HTTP/1.1 503 x\r\nContent-Length: " + whole.length() + "\r\n\r\n",
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) {
            assertMayHaveRun(before + whole);
        }
    }

    /** Stray bytes on an idle connection came before the next answer, so that a delivery was read as a refusal. */
    @Test
    void bytesOnIdleConnectionMakeItUnusable() throws Exception {
        // The clock stands still, so no connection is closed for its age.
        endpoints = new Endpoints(loop, idleClockNanos::get, 1000, 15_000, 2, 4, callbacks);
        updateEndpoint(stub.address());
        for (String stray : List.of("HTTP/1.1 503 Serv", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "\r\n", "x")) {
            assertOutcome(Outcome.DELIVERED, this::answerAndRecordSocket);
            awaitIdleConnection();
            StubServer.write(serverSockets.get(serverSockets.size() - 1), stray);
            StubServer.await("its connection is closed", () -> idleConnections() == 0);
            assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
            awaitIdleConnection();
            closeIdleConnections();
        }
    }

    /** The same, with the bytes still unread in the socket when the next call takes the connection. */
    @Test
    void unreadBytesMakeConnectionUnusable() throws Exception {
        for (String stray : List.of("HTTP/1.1 503 Serv", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "\r\n")) {
            AcceptedMessage message = new AcceptedMessage(2, "id-2", "order", "t", Optional.empty(),
                    Optional.empty(), 7, 0, new byte[1]);
            assertOutcome(Outcome.DELIVERED, this::answerAndRecordSocket);
            awaitIdleConnection();
            int used = stub.requests.get(stub.requests.size() - 1).connection();
            loop.submit(() -> {
                // The loop reads nothing until this returns; on loopback, written bytes have arrived at once.
                StubServer.write(serverSockets.get(serverSockets.size() - 1), stray);
                endpoints.call(message, 0, 1, LONG_MS);
                endpoints.flush();
                return null;
            }).sync();
            assertEquals(new End(Outcome.DELIVERED, false, 0), end());
            assertTrue(stub.requests.get(stub.requests.size() - 1).connection() > used,
                    "the call must use a new connection");
            awaitIdleConnection();
            closeIdleConnections();
        }
    }

    /** Half a status line right after a complete answer, in the same read, stayed in the codec for the next answer. */
    @Test
    void bytesAfterAnswerMakeConnectionUnusable() throws Exception {
        assertOutcome(Outcome.DELIVERED, (request, socket) -> StubServer.write(socket,
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Serv"));
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    /** Bytes that arrive before the last byte of the request is written can't answer it. */
    @Test
    void bytesBeforeLastByteOfRequestProveNothing() throws Exception {
        try (ServerSocket early = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            updateEndpoint((InetSocketAddress) early.getLocalSocketAddress());
            start(new byte[64 << 20], LONG_MS);
            try (Socket socket = early.accept()) {
                socket.getInputStream().read();
                StubServer.write(socket, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
                assertEquals(new End(Outcome.BROKEN, false, 0), end());
            }
        }
    }

    /** A connection that writes nothing until a test allows it. */
    private final class BlockableChannel extends UnreadInputChannel {
        @Override
        protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
            if (writesBlocked) {
                loop.schedule(this::flush, 1, TimeUnit.MILLISECONDS);
            } else {
                super.doWrite(pending);
            }
        }
    }

    /** One call of an exchange times out while the request, which the other call still needs, is being written. */
    @Test
    void callTimedOutBeforeRequestIsWrittenMayRunWithTheOthers() throws Exception {
        endpoints = new Endpoints(loop, System::nanoTime, BlockableChannel::new, 1000, 15_000, SENDERS, 4, callbacks);
        updateEndpoint(stub.address());
        writesBlocked = true;
        AcceptedMessage other =
                new AcceptedMessage(2, "id-2", "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[1]);
        stub.script(answer("", "id-1 accepted\r\nid-2 accepted\r\n"));
        loop.submit(() -> {
            endpoints.call(other, 0, 1, LONG_MS);
            return null;
        }).sync();
        start(new byte[1], 50);
        assertEquals(new End(Outcome.TIMED_OUT, false, 0, true), end());
        writesBlocked = false;
        assertEquals(new End(Outcome.DELIVERED, false, 0), end(),
                "the answer names it, although the other call was abandoned");
        assertEquals("id-1 true", endedAfterCall.poll(30, TimeUnit.SECONDS), "the answer names the abandoned one too");
        assertTrue(stub.requests.get(0).body().contains("id-1"), "it was sent all the same");
        assertEquals("id-1", closedIds.poll(30, TimeUnit.SECONDS));
    }

    /** The connection of a single call is closed with it, so the last byte is never sent. */
    @Test
    void singleCallTimedOutBeforeRequestIsWrittenNeverRan() throws Exception {
        endpoints = new Endpoints(loop, System::nanoTime, BlockableChannel::new, 1000, 15_000, SENDERS, 4, callbacks);
        updateEndpoint(stub.address());
        writesBlocked = true;
        start(new byte[1], 50);
        assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
        writesBlocked = false;
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
    }

    @Test
    void lastAbandonedCallClosesExchange() throws Exception {
        stub.script(StubServer.silent());
        List<Endpoints.Call> calls = startTogether(2);
        StubServer.await("the exchange arrives", () -> !stub.requests.isEmpty());
        loop.submit(() -> calls.forEach(endpoints::cancel)).syncUninterruptibly();
        assertEquals(new End(Outcome.CANCELLED, false, 0, true), end());
        assertEquals(new End(Outcome.CANCELLED, false, 0, false), end());
        assertEquals("id-0", closedIds.poll(30, TimeUnit.SECONDS));
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    @Test
    void connectionIsReusedAfterAnyCompleteAnswer() throws Exception {
        assertOutcome(Outcome.DELIVERED, (request, socket) -> {
            for (char c : "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .toCharArray()) {
                StubServer.write(socket, String.valueOf(c));
            }
            StubServer.write(socket, "3\r\nabc\r\n0\r\n\r\n");
        });
        awaitIdleConnection();
        assertOutcome(Outcome.ERROR, StubServer.status(500, ""));
        awaitIdleConnection();
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(0, stub.requests.get(2).connection());
    }

    @Test
    void connectionClosedByEndpointIsNotReused() throws Exception {
        assertOutcome(Outcome.DELIVERED, (request, socket) -> {
            StubServer.status(200, "").onRequest(request, socket);
            socket.close();
        });
        StubServer.await("the close is noticed", () -> idleConnections() == 0);
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, "Connection: close\r\n"));
        StubServer.await("the announced close is carried out", () -> idleConnections() == 0);
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
    }

    // ---- events that cross each other ----

    /** The endpoint's socket for each request, in the order in which it read them. */
    private final List<Socket> serverSockets = new CopyOnWriteArrayList<>();

    private Endpoints.Call callInFlight(double timeoutMs) throws Exception {
        stub.script((request, socket) -> serverSockets.add(socket));
        Endpoints.Call call = start(new byte[1], timeoutMs);
        StubServer.await("the call arrives", () -> serverSockets.size() == 1);
        return call;
    }

    private void answerAndRecordSocket(StubServer.Message request, Socket socket) {
        serverSockets.add(socket);
        answer(socket);
    }

    private static void answer(Socket socket) {
        try {
            StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * While the loop reads, an answer arrives on another connection and the time-out of its call passes. When the
     * time-out was handled first, a delivered message was sent again or failed.
     */
    @Test
    void unreadAnswerPrecedesDueTimeOut() throws Exception {
        double timeoutMs = 4000;
        Endpoints.Call first = callInFlight(timeoutMs);
        stub.script(StubServer.status(200, ""));
        // Runs while the loop reads that the second connection is up; nothing else is read until this returns.
        AtomicInteger listChecks = new AtomicInteger();
        beforeListCheck = () -> {
            if (listChecks.incrementAndGet() != 2) {
                return;
            }
            answer(serverSockets.get(0));
            while (System.nanoTime() < first.startedNanos + (timeoutMs + 5) * 1e6) {
                Thread.onSpinWait();
            }
        };
        start(new byte[1], LONG_MS);
        End delivered = new End(Outcome.DELIVERED, false, 0);
        assertEquals(List.of(delivered, delivered), List.of(end(), end()));
    }

    @Test
    void cancelBeforeUnreadAnswerIsTheOnlyEnd() throws Exception {
        Endpoints.Call call = callInFlight(LONG_MS);
        loop.submit(() -> {
            answer(serverSockets.get(0));
            endpoints.cancel(call);
        }).sync();
        assertEquals(new End(Outcome.CANCELLED, false, 0), end());
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection(), "the late answer must not be read for the next call");
        assertTrue(ends.isEmpty());
    }

    @Test
    void cancelAfterAnswerChangesNothing() throws Exception {
        Endpoints.Call call = callInFlight(LONG_MS);
        answer(serverSockets.get(0));
        assertEquals(new End(Outcome.DELIVERED, false, 0), end());
        awaitIdleConnection();
        loop.submit(() -> endpoints.cancel(call)).sync();
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(0, stub.requests.get(1).connection(), "its connection serves other calls by now");
        assertTrue(ends.isEmpty());
    }

    /** The close arrives after the next call has chosen the connection, just before its request is written. */
    @Test
    void callThatCrossesCloseMayHaveRunAndItsConnectionCountsOnce() throws Exception {
        CountDownLatch chosen = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        closeOnceConnectionIsChosen(chosen, closed);
        beforeWrite = () -> {
            chosen.countDown();
            awaitQuietly(closed);
        };
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.BROKEN, false, 0), end());
        beforeWrite = () -> { };
        assertEquals(1, stub.requests.size(), "the endpoint never read it");
        assertEquals(0, idleConnections());
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitIdleConnection();
        assertTrue(ends.isEmpty());
    }

    /** The close is still unread in the socket when the next call chooses a connection: the call uses a new one. */
    @Test
    void unreadCloseDoesNotAffectNextCall() throws Exception {
        CountDownLatch chosen = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        closeOnceConnectionIsChosen(chosen, closed);
        AcceptedMessage message =
                new AcceptedMessage(2, "id-2", "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[1]);
        loop.submit(() -> {
            chosen.countDown();
            closed.await();
            stub.script(StubServer.status(200, ""));
            endpoints.call(message, 0, 1, LONG_MS);
            endpoints.flush();
            return null;
        }).sync();
        assertEquals(new End(Outcome.DELIVERED, false, 0), end());
        assertEquals(List.of(0, 1), stub.requests.stream().map(StubServer.Message::connection).toList());
        assertTrue(ends.isEmpty());
    }

    /** Closed by the thread that reads from the socket: a thread blocked in a read might still receive the request. */
    private void closeOnceConnectionIsChosen(CountDownLatch chosen, CountDownLatch closed) throws Exception {
        assertOutcome(Outcome.DELIVERED, (request, socket) -> {
            answer(socket);
            chosen.await();
            socket.close();
            closed.countDown();
        });
        awaitIdleConnection();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void idleConnectionsOfDrainingEndpointAreClosed() throws Exception {
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitIdleConnection();
        loop.submit(() -> endpoints.updateEndpoint(1, stub.address(), false, 2, 3)).syncUninterruptibly();
        assertEquals(0, idleConnections());
    }

    /**
     * Idle connections of a few of 60 senders filled the connection tables, so that the other senders could not connect
     * for a whole day (simulator scenario calm+mass).
     */
    @Test
    void idleConnectionsAreClosedSoonWhereTablesAreFull() throws Exception {
        assertOutcome(Outcome.NO_CONNECTION, StubServer.status(503, "Connection: close\r\n"));
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(List.of(0, 1, 2), stub.requests.stream().map(StubServer.Message::connection).toList());
        StubServer.await("the idle connection is closed", () -> idleConnections() == 0);
    }

    /**
     * The next call followed a second later, and connections were idle for nearly half of their time in the connection
     * table (simulator scenario herd+mass).
     */
    @Test
    void noConnectionIsIdleWhereTablesAreFullAndNextCallUsuallyComesLater() throws Exception {
        endpoints = new Endpoints(loop, idleClockNanos::get, 1000, 15_000, 2, 4, callbacks);
        updateEndpoint(stub.address());
        assertOutcome(Outcome.NO_CONNECTION, StubServer.status(503, "Connection: close\r\n"));
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, idleConnections(), "no gap between exchanges is known yet");
        for (int call = 0; call < 2; call++) {
            idleClockNanos.addAndGet(TimeUnit.SECONDS.toNanos(20));
            assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        }
        assertEquals(0, idleConnections(), "the next call would come after the 6 s that a connection may be idle");
        for (int call = 0; call < 3; call++) {
            assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        }
        assertEquals(1, idleConnections(), "the gaps between calls are short again");
    }

    /** A refusal on a reused connection, or one that keeps a new connection open, is no sign of a full table. */
    @Test
    void refusedCallAloneDoesNotMeanFullTable() throws Exception {
        assertOutcome(Outcome.FULL, StubServer.status(503, ""));
        awaitIdleConnection();
        assertOutcome(Outcome.FULL, StubServer.status(503, "Connection: close\r\n"));
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitIdleConnection();
        assertOutcome(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(List.of(0, 0, 1, 1), stub.requests.stream().map(StubServer.Message::connection).toList());
    }

    private void closeIdleConnections() {
        loop.submit(() -> endpoints.closeIdle(1)).syncUninterruptibly();
    }

    private void awaitIdleConnection() throws Exception {
        StubServer.await("the connection is idle", () -> idleConnections() == 1);
    }

    private int idleConnections() {
        return loop.submit(() -> endpoints.idleConnections()).syncUninterruptibly().getNow();
    }
}
