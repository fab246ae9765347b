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

/** Each row of the protocol's table of outcomes, and the connections that calls go over. */
class EndpointsTest {
    private static final double LONG_MS = 20_000;
    private static final long HELD_UP_MS = 10;
    /** Longer than a kept connection is left quiet. */
    private static final double SHORT_MS = 300;
    /** So many that where tables are full no connection may idle at all. */
    private static final int SENDERS = Integer.MAX_VALUE;

    private record End(Outcome outcome, boolean gone, double waitMs, boolean open) {
        End(Outcome outcome, boolean gone, double waitMs) {
            this(outcome, gone, waitMs, false);
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private final Set<String> barred = ConcurrentHashMap.newKeySet();
    private volatile Runnable beforeStart = () -> { };
    /** Done before a call goes to look for a connection, and while the loop reads that a new one is up. */
    private volatile Runnable whenListNeeded = () -> { };
    private volatile Runnable beforeWrite = () -> { };
    private volatile boolean slow;
    private final BlockingQueue<UnreadInputChannel> dialled = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> over = new LinkedBlockingQueue<>();
    private volatile int written;
    private volatile boolean full;
    private final BlockingQueue<String> waits = new LinkedBlockingQueue<>();
    /** Where a test moves the clock of idle connections itself. */
    private final AtomicLong nanos = new AtomicLong();
    private Endpoints endpoints;
    private StubServer stub;

    private final Endpoints.Callbacks told = new Endpoints.Callbacks() {
        @Override
        public void retryAfterReceived(long endpoint, double waitMs) {
            waits.add(endpoint + " " + waitMs);
        }

        @Override
        public void written(int messages) {
            written += messages;
        }

        @Override
        public boolean mayBeginAttempt(Endpoints.Call call) {
            beforeStart.run();
            return !barred.contains(call.held.id);
        }

        @Override
        public void whenListIsCurrent(Runnable task) {
            whenListNeeded.run();
            task.run();
        }

        @Override
        public boolean begins(Endpoints.Call call) {
            beforeWrite.run();
            return !full;
        }

        @Override
        public void ended(Endpoints.Call call, Outcome outcome, boolean gone, double waitMs,
                boolean open) {
            ends.add(new End(outcome, gone, waitMs, open));
        }

        @Override
        public void overAfterEnd(Endpoints.Call call, boolean delivered) {
            over.add(call.held.id + " " + delivered);
        }

        @Override
        public void closed(Endpoints.Call call) {
            closed.add(call.held.id);
        }
    };

    @BeforeEach
    void open() throws Exception {
        stub = new StubServer(StubServer.status(200, ""));
        endpoints = new Endpoints(loop, 1000, 15_000, SENDERS, 4, told);
        at(stub.address());
    }

    @AfterEach
    void close() throws Exception {
        stub.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void at(InetSocketAddress address) {
        loop.submit(() -> endpoints.at(1, address, true, 2, 3)).syncUninterruptibly();
    }

    private Endpoints.Call start(byte[] body, double timeoutMs) throws Exception {
        AcceptedMessage held =
                new AcceptedMessage(1, "id-1", "order", "t", Optional.of("key-1"), Optional.empty(), 7, 0, body);
        return loop.submit(() -> {
            Endpoints.Call call = endpoints.call(held, 0, 1, timeoutMs);
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

    private void expect(Outcome outcome, StubServer.Script script) throws Exception {
        assertEquals(new End(outcome, false, 0), call(script));
    }

    @Test
    void idKeyBodyAndBudgetGoOn() throws Exception {
        long begun = System.nanoTime();
        beforeStart = () -> {
            beforeStart = () -> { };
            spinFor(HELD_UP_MS);
        };
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        StubServer.Message m = stub.requests.get(0);
        assertEquals("POST /v1/messages HTTP/1.1", m.line());
        assertEquals("id-1", m.header("X-Call-Id"));
        assertEquals("key-1", m.header("Idempotency-Key"));
        long tookMs = 1 + TimeUnit.NANOSECONDS.toMillis(m.atNanos() - begun);
        long budgetMs = Long.parseLong(m.header("X-Budget-Ms"));
        assertTrue(budgetMs <= LONG_MS - HELD_UP_MS, "the time that is left, not what there was: " + budgetMs);
        assertTrue(budgetMs >= LONG_MS - tookMs, "no less than what is left: " + budgetMs);
        assertEquals("body", m.body());
    }

    private static void spinFor(long ms) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
    }

    @Test
    void statusesMeanWhatTheTableSays() throws Exception {
        expect(Outcome.ERROR, StubServer.status(500, ""));
        assertEquals(new End(Outcome.FULL, false, 1250), call(StubServer.status(429, "Retry-After: 1.25\r\n")));
        expect(Outcome.FULL, StubServer.status(503, ""));
        expect(Outcome.NOT_SENT, StubServer.status(503, "X-No-Slot: 1\r\n"));
        expect(Outcome.NOT_SENT, StubServer.status(504, ""));
        assertEquals(new End(Outcome.NOT_SENT, true, 0), call(StubServer.status(410, "")));
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteIsBroken() throws Exception {
        expect(Outcome.BROKEN, (request, socket) -> socket.close());
        expect(Outcome.BROKEN, (request, socket) -> socket.shutdownOutput());
        expect(Outcome.BROKEN, (request, socket) -> StubServer.write(socket, "not HTTP at all\r\n\r\n"));
        assertEquals(3, stub.requests.size(), "each was sent once");
    }

    /** The journal can't take it, so it must not go out, over a new connection or a kept one. */
    @Test
    void whatMayNotBeginIsNotSentAndItsConnectionIsKept() throws Exception {
        full = true;
        expect(Outcome.NOT_SENT, StubServer.status(200, ""));
        expect(Outcome.NOT_SENT, StubServer.status(200, ""));
        full = false;
        awaitKept();
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
        assertEquals(0, stub.requests.get(0).connection());
    }

    @Test
    void aRefusedConnectionIsUnreachable() throws Exception {
        ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        InetSocketAddress address = (InetSocketAddress) unused.getLocalSocketAddress();
        unused.close();
        at(address);
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
    }

    /** It held its descriptor until the dial timed out, though its slot was free for the next one. */
    @Test
    void aDialThatNobodyWaitsForIsGivenUp() throws Exception {
        // A backlog that is full leaves further connections coming up.
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            List<Socket> queue = new ArrayList<>();
            try {
                for (int i = 0; i < 2; i++) {
                    queue.add(new Socket(address.getAddress(), address.getPort()));
                }
                endpoints = new Endpoints(loop, System::nanoTime, NotedChannel::new, LONG_MS, 15_000, SENDERS, 4, told);
                at(address);
                start(new byte[1], 50);
                assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
                assertTrue(dialled.poll(30, TimeUnit.SECONDS).closeFuture().await(5, TimeUnit.SECONDS), "closed");
            } finally {
                for (Socket socket : queue) {
                    socket.close();
                }
            }
        }
    }

    private final class NotedChannel extends UnreadInputChannel {
        NotedChannel() {
            dialled.add(this);
        }
    }

    @Test
    void aConnectionThatBreaksBeforeTheLastByteIsUnreachable() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at((InetSocketAddress) full.getLocalSocketAddress());
            start(new byte[64 << 20], LONG_MS);
            try (Socket socket = full.accept()) {
                socket.getInputStream().read();
                socket.setSoLinger(true, 0);
            }
            assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
        }
    }

    @Test
    void silenceIsATimeOutAndClosesTheConnection() throws Exception {
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitKept();
        stub.script(StubServer.silent());
        start(new byte[1], SHORT_MS);
        assertEquals(new End(Outcome.TIMED_OUT, false, 0), end());
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(stub.requests.size() - 1).connection(), "a late answer must not meet the next call");
    }

    @Test
    void aCancelledCallEndsOnceAndClosesTheConnection() throws Exception {
        stub.script(StubServer.silent());
        Endpoints.Call call = start(new byte[1], LONG_MS);
        StubServer.await("the call arrives", () -> !stub.requests.isEmpty());
        loop.submit(() -> endpoints.cancel(call)).syncUninterruptibly();
        assertEquals(new End(Outcome.CANCELLED, false, 0), end());
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    /** Ends of calls that share an exchange, in the order of their ids. */
    private List<End> together(int many, StubServer.Script script) throws Exception {
        stub.script(script);
        startTogether(many);
        List<End> in = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            in.add(end());
        }
        return in;
    }

    private List<Endpoints.Call> startTogether(int many) throws Exception {
        return loop.submit(() -> {
            List<Endpoints.Call> calls = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                AcceptedMessage held = new AcceptedMessage(i, "id-" + i, "order", "t",
                        i == 1 ? Optional.empty() : Optional.of("key-" + i),
                        Optional.empty(), 7, 0, ("body\r\n" + i).getBytes(StandardCharsets.ISO_8859_1));
                calls.add(endpoints.call(held, 0, 1, LONG_MS));
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
    void callsOfOneTurnToOneEndpointTravelAsOneAsFarAsItsKindAllows() throws Exception {
        List<End> in = together(3, answer("Retry-After: 0.5\r\n",
                "id-2 fault\r\nid-0 accepted\r\nid-1 deferred\r\n"));
        assertEquals(List.of(new End(Outcome.DELIVERED, false, 0), new End(Outcome.FULL, false, 500),
                new End(Outcome.ERROR, false, 500)), in);
        assertEquals(1, stub.requests.size());
        assertEquals("POST /v1/messages:batch HTTP/1.1", stub.requests.get(0).line());
        assertEquals("id-0 key-0 7\r\nbody\r\n0\r\nid-1 - 7\r\nbody\r\n1\r\nid-2 key-2 7\r\nbody\r\n2\r\n",
                stub.requests.get(0).body());
        startTogether(4);
        StubServer.await("three as one, and the fourth", () -> stub.requests.size() == 3);
        assertEquals(1, stub.requests.stream().filter(r -> r.line().startsWith("POST /v1/messages ")).count());
    }

    @Test
    void anExchangeThatFailsWholeEndsAllItsCallsAlike() throws Exception {
        End full = new End(Outcome.FULL, false, 1250);
        assertEquals(List.of(full, full), together(2, StubServer.status(429, "Retry-After: 1.25\r\n")));
        End never = new End(Outcome.NOT_SENT, false, 0);
        assertEquals(List.of(never, never), together(2, StubServer.status(413, "")));
        assertEquals(List.of(never, new End(Outcome.NOT_SENT, true, 0)),
                together(2, answer("", "id-0 no_more\r\nid-1 expired\r\n")));
        End unknown = new End(Outcome.ERROR, false, 0);
        assertEquals(List.of(new End(Outcome.DELIVERED, false, 0), unknown),
                together(2, answer("", "id-0 accepted\r\nrubbish\r\nid-1 perhaps\r\n")));
        End broken = new End(Outcome.BROKEN, false, 0);
        assertEquals(List.of(broken, broken), together(2, (request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nid-0 accepted\r\n");
            socket.close();
        }));
    }

    @Test
    void whatMayNotGoAnyMoreWhenItsConnectionIsUpIsNotSent() throws Exception {
        barOnceConnectionIsUp("id-1", 3);
        End sent = new End(Outcome.DELIVERED, false, 0);
        stub.script(answer("", "id-0 accepted\r\nid-2 accepted\r\n"));
        startTogether(3);
        assertEquals(new End(Outcome.NOT_SENT, false, 0), end());
        assertEquals(List.of(sent, sent), List.of(end(), end()));
        assertFalse(stub.requests.get(0).body().contains("id-1"));
    }

    /** Of each call it is asked whether it may start before its connection is made, and again once that is up. */
    private void barOnceConnectionIsUp(String id, int calls) {
        AtomicInteger asked = new AtomicInteger();
        beforeStart = () -> {
            if (asked.incrementAndGet() > calls) {
                barred.add(id);
            }
        };
    }

    @Test
    void whatMayNotGoAnyMoreBeforeItsConnectionIsMadeIsNotSent() throws Exception {
        barred.add("id-1");
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.NOT_SENT, false, 0), end());
        barred.clear();
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
    }

    @Test
    void aConnectionThatComesUpForNothingIsKept() throws Exception {
        barOnceConnectionIsUp("id-1", 1);
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.NOT_SENT, false, 0), end());
        awaitKept();
        beforeStart = () -> { };
        barred.clear();
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
        assertEquals(0, stub.requests.get(0).connection());
    }

    /** Its head is heeded at once, but until its last byte is read the call may have run. */
    @Test
    void aToldWaitIsHeededFromItsHeadAndRunsFromTheLastByteOfItsAnswer() throws Exception {
        stub.script((request, socket) -> StubServer.write(socket, request.connection() == 0
                ? "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 4\r\n\r\nfu"
                : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"));
        start(new byte[1], LONG_MS);
        StubServer.await("the first call", () -> stub.requests.size() == 1);
        assertEquals("1 1500.0", waits.poll(30, TimeUnit.SECONDS));
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.DELIVERED, false, 0), end());
        // What came before this answer has been read by now, and what it led to is done.
        loop.submit(() -> { }).sync();
        assertTrue(ends.isEmpty() && waits.isEmpty(), "it is not whole yet");
        stub.answerAll("ll");
        assertEquals(new End(Outcome.FULL, false, 1500), end());
        assertEquals("1 1500.0", waits.poll(30, TimeUnit.SECONDS));
    }

    // ---- what proves that a call never ran ----

    /** An endpoint that ran the call, or may have, and whose refusal can't be read to its end. */
    private void expectMayHaveRun(String answer) throws Exception {
        End end = call((request, socket) -> {
            StubServer.write(socket, answer);
            socket.close();
        });
        assertTrue(end.outcome().mayHaveRun(), end + " after " + answer);
        assertFalse(end.gone(), "it is not over: " + answer);
    }

    /** A body that is cut short, or can't be read, was taken for a refusal at its head, and the call was repeated. */
    @Test
    void aRefusalThatIsNotReadWholeProvesNothing() throws Exception {
        for (String status : List.of("429 x", "503 x", "503 x\r\nX-No-Slot: 1", "504 x", "410 x")) {
            expectMayHaveRun("HTTP/1.1 " + status + "\r\nContent-Length: 40\r\n\r\nbusy");
            expectMayHaveRun("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbusy\r\n");
            expectMayHaveRun("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n");
            expectMayHaveRun("HTTP/1.1 " + status + "\r\n\r\nno length, so its end is not known");
            expectMayHaveRun("HTTP/1.1 " + status + "\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbusy");
            expectMayHaveRun("HTTP/1.1 " + status + "\r\nTransfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbusy");
        }
    }

    @Test
    void aWaitThatIsToldInARefusalThatIsCutShortIsHeeded() throws Exception {
        End end = call((request, socket) -> {
            StubServer.write(socket, "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 4\r\n\r\nfu");
            socket.close();
        });
        assertEquals(new End(Outcome.BROKEN, false, 1500), end);
    }

    @Test
    void aBodyThatNeverEndsProvesNothing() throws Exception {
        stub.script((request, socket) -> StubServer.write(socket, "HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nbu"));
        start(new byte[1], 100);
        assertEquals(new End(Outcome.TIMED_OUT, false, 0), end());
    }

    @Test
    void aFirstLineThatSaysDeliveredIsTrueWhateverFollowsIt() throws Exception {
        for (String rest : List.of("", "Content-Length: x\r\n\r\n", "Content-Length: 9\r\n\r\nhalf", "no header\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n")) {
            expect(Outcome.DELIVERED, (request, socket) -> {
                StubServer.write(socket, "HTTP/1.1 200 OK\r\n" + rest);
                socket.close();
            });
        }
        expectMayHaveRun("HTTP/1.1 200 O");
    }

    @Test
    void twoAnswersInOneProveNothing() throws Exception {
        String whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        for (String before : List.of("HTTP/1.1 503 Serv", "HTTP/1.1 503 x\r\nX-Left: ",
                "HTTP/1.1 503 x\r\nContent-Length: " + whole.length() + "\r\n\r\n",
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")) {
            expectMayHaveRun(before + whole);
        }
    }

    /** Stray bytes on a resting connection stood before the next answer: a delivery was read as a refusal. */
    @Test
    void bytesOnARestingConnectionMakeItUnusable() throws Exception {
        // The clock stands, so nothing is closed for its age.
        endpoints = new Endpoints(loop, nanos::get, 1000, 15_000, 2, 4, told);
        at(stub.address());
        for (String stray : List.of("HTTP/1.1 503 Serv", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "\r\n", "x")) {
            expect(Outcome.DELIVERED, this::deliveredAndNoted);
            awaitKept();
            StubServer.write(sides.get(sides.size() - 1), stray);
            StubServer.await("its connection is closed", () -> kept() == 0);
            expect(Outcome.DELIVERED, StubServer.status(200, ""));
            awaitKept();
            closeKept();
        }
    }

    /** The same, while the bytes lie unread in the socket when the next call takes the connection. */
    @Test
    void bytesThatLieUnreadMakeAConnectionUnusable() throws Exception {
        for (String stray : List.of("HTTP/1.1 503 Serv", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "\r\n")) {
            AcceptedMessage held = new AcceptedMessage(2, "id-2", "order", "t", Optional.empty(), Optional.empty(), 7,
                    0, new byte[1]);
            expect(Outcome.DELIVERED, this::deliveredAndNoted);
            awaitKept();
            int used = stub.requests.get(stub.requests.size() - 1).connection();
            loop.submit(() -> {
                // The loop reads nothing until this returns; on loopback what is written has come.
                StubServer.write(sides.get(sides.size() - 1), stray);
                endpoints.call(held, 0, 1, LONG_MS);
                endpoints.flush();
                return null;
            }).sync();
            assertEquals(new End(Outcome.DELIVERED, false, 0), end());
            assertTrue(stub.requests.get(stub.requests.size() - 1).connection() > used, "over a new connection");
            awaitKept();
            closeKept();
        }
    }

    /** Half a line right behind a whole answer, in the same read, waited in the codec for the next one. */
    @Test
    void bytesBehindAnAnswerMakeItsConnectionUnusable() throws Exception {
        expect(Outcome.DELIVERED, (request, socket) -> StubServer.write(socket,
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Serv"));
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    /** An answer that comes before the request's last byte is no answer to it. */
    @Test
    void bytesBeforeTheLastByteOfTheRequestProveNothing() throws Exception {
        try (ServerSocket early = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at((InetSocketAddress) early.getLocalSocketAddress());
            start(new byte[64 << 20], LONG_MS);
            try (Socket socket = early.accept()) {
                socket.getInputStream().read();
                StubServer.write(socket, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
                assertEquals(new End(Outcome.BROKEN, false, 0), end());
            }
        }
    }

    /** A connection of which nothing goes out until a test lets it. */
    private final class SlowChannel extends UnreadInputChannel {
        @Override
        protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
            if (slow) {
                loop.schedule(this::flush, 1, TimeUnit.MILLISECONDS);
            } else {
                super.doWrite(pending);
            }
        }
    }

    /** One call of an exchange times out while the request is still being written, for the other one too. */
    @Test
    void aCallWhoseTimeIsUpBeforeTheRequestIsOutMayStillRunWithTheOthers() throws Exception {
        endpoints = new Endpoints(loop, System::nanoTime, SlowChannel::new, 1000, 15_000, SENDERS, 4, told);
        at(stub.address());
        slow = true;
        AcceptedMessage other =
                new AcceptedMessage(2, "id-2", "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[1]);
        stub.script(answer("", "id-1 accepted\r\nid-2 accepted\r\n"));
        loop.submit(() -> {
            endpoints.call(other, 0, 1, LONG_MS);
            return null;
        }).sync();
        start(new byte[1], 50);
        assertEquals(new End(Outcome.TIMED_OUT, false, 0, true), end());
        slow = false;
        assertEquals(new End(Outcome.DELIVERED, false, 0), end(), "the answer names it, whoever has left");
        assertEquals("id-1 true", over.poll(30, TimeUnit.SECONDS), "the answer names this one too");
        assertTrue(stub.requests.get(0).body().contains("id-1"), "it went out all the same");
        assertEquals("id-1", closed.poll(30, TimeUnit.SECONDS));
    }

    /** Alone, its connection is closed with it: the last byte never goes out. */
    @Test
    void aCallWhoseTimeIsUpBeforeItsRequestIsOutNeverRan() throws Exception {
        endpoints = new Endpoints(loop, System::nanoTime, SlowChannel::new, 1000, 15_000, SENDERS, 4, told);
        at(stub.address());
        slow = true;
        start(new byte[1], 50);
        assertEquals(new End(Outcome.UNREACHABLE, false, 0), end());
        slow = false;
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.size());
    }

    @Test
    void theLastToLeaveAnExchangeClosesIt() throws Exception {
        stub.script(StubServer.silent());
        List<Endpoints.Call> calls = startTogether(2);
        StubServer.await("the exchange arrives", () -> !stub.requests.isEmpty());
        loop.submit(() -> calls.forEach(endpoints::cancel)).syncUninterruptibly();
        assertEquals(new End(Outcome.CANCELLED, false, 0, true), end());
        assertEquals(new End(Outcome.CANCELLED, false, 0, false), end());
        assertEquals("id-0", closed.poll(30, TimeUnit.SECONDS));
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection());
    }

    @Test
    void aConnectionIsKeptForTheNextCallAfterAnyWholeAnswer() throws Exception {
        expect(Outcome.DELIVERED, (request, socket) -> {
            for (char c : "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .toCharArray()) {
                StubServer.write(socket, String.valueOf(c));
            }
            StubServer.write(socket, "3\r\nabc\r\n0\r\n\r\n");
        });
        awaitKept();
        expect(Outcome.ERROR, StubServer.status(500, ""));
        awaitKept();
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(0, stub.requests.get(2).connection());
    }

    @Test
    void aConnectionThatTheEndpointClosedIsNotUsedAgain() throws Exception {
        expect(Outcome.DELIVERED, (request, socket) -> {
            StubServer.status(200, "").come(request, socket);
            socket.close();
        });
        StubServer.await("the close is noticed", () -> kept() == 0);
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        expect(Outcome.DELIVERED, StubServer.status(200, "Connection: close\r\n"));
        StubServer.await("the announced close is kept", () -> kept() == 0);
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
    }

    // ---- events that cross ----

    /** The endpoint's side of each connection, in the order of the requests that it has read. */
    private final List<Socket> sides = new CopyOnWriteArrayList<>();

    private Endpoints.Call out(double timeoutMs) throws Exception {
        stub.script((request, socket) -> sides.add(socket));
        Endpoints.Call call = start(new byte[1], timeoutMs);
        StubServer.await("the call arrives", () -> sides.size() == 1);
        return call;
    }

    private void deliveredAndNoted(StubServer.Message request, Socket socket) {
        sides.add(socket);
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
     * While the loop reads, an answer comes to another connection and its call's time passes: the time-out went
     * first, and a message that was delivered was sent again or given up.
     */
    @Test
    void anAnswerThatLiesInTheSocketGoesBeforeATimeOutThatIsDue() throws Exception {
        double timeoutMs = 4000;
        Endpoints.Call first = out(timeoutMs);
        stub.script(StubServer.status(200, ""));
        // Told while the loop reads, as the second connection is up: nothing else is read until this returns.
        AtomicInteger waits = new AtomicInteger();
        whenListNeeded = () -> {
            if (waits.incrementAndGet() != 2) {
                return;
            }
            answer(sides.get(0));
            while (System.nanoTime() < first.startedNanos + (timeoutMs + 5) * 1e6) {
                Thread.onSpinWait();
            }
        };
        start(new byte[1], LONG_MS);
        End delivered = new End(Outcome.DELIVERED, false, 0);
        assertEquals(List.of(delivered, delivered), List.of(end(), end()));
    }

    @Test
    void aCancelThatCrossesTheAnswerIsTheOneEnd() throws Exception {
        Endpoints.Call call = out(LONG_MS);
        loop.submit(() -> {
            answer(sides.get(0));
            endpoints.cancel(call);
        }).sync();
        assertEquals(new End(Outcome.CANCELLED, false, 0), end());
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, stub.requests.get(1).connection(), "the late answer must not meet the next call");
        assertTrue(ends.isEmpty());
    }

    @Test
    void aCancelAfterTheAnswerWasReadChangesNothing() throws Exception {
        Endpoints.Call call = out(LONG_MS);
        answer(sides.get(0));
        assertEquals(new End(Outcome.DELIVERED, false, 0), end());
        awaitKept();
        loop.submit(() -> endpoints.cancel(call)).sync();
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(0, stub.requests.get(1).connection(), "its connection is another call's by now");
        assertTrue(ends.isEmpty());
    }

    /** The close comes once the next call has chosen the connection, just before it is written whole. */
    @Test
    void aCallThatCrossesTheEndpointsCloseMayHaveRunAndItsConnectionCountsOnce() throws Exception {
        CountDownLatch chosen = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        closeOnceChosen(chosen, closed);
        beforeWrite = () -> {
            chosen.countDown();
            awaitQuietly(closed);
        };
        start(new byte[1], LONG_MS);
        assertEquals(new End(Outcome.BROKEN, false, 0), end());
        beforeWrite = () -> { };
        assertEquals(1, stub.requests.size(), "the endpoint never read it");
        assertEquals(0, kept());
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitKept();
        assertTrue(ends.isEmpty());
    }

    /** The close lies unread in the socket when the next call chooses a connection: it takes a new one. */
    @Test
    void aCloseThatLiesUnreadCostsTheNextCallNothing() throws Exception {
        CountDownLatch chosen = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        closeOnceChosen(chosen, closed);
        AcceptedMessage held =
                new AcceptedMessage(2, "id-2", "order", "t", Optional.empty(), Optional.empty(), 7, 0, new byte[1]);
        loop.submit(() -> {
            chosen.countDown();
            closed.await();
            stub.script(StubServer.status(200, ""));
            endpoints.call(held, 0, 1, LONG_MS);
            endpoints.flush();
            return null;
        }).sync();
        assertEquals(new End(Outcome.DELIVERED, false, 0), end());
        assertEquals(List.of(0, 1), stub.requests.stream().map(StubServer.Message::connection).toList());
        assertTrue(ends.isEmpty());
    }

    /** Closed by the thread that reads it: one that stood in a read might still get the request. */
    private void closeOnceChosen(CountDownLatch chosen, CountDownLatch closed) throws Exception {
        expect(Outcome.DELIVERED, (request, socket) -> {
            answer(socket);
            chosen.await();
            socket.close();
            closed.countDown();
        });
        awaitKept();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void aDrainingOrMovedEndpointsIdleConnectionsAreClosed() throws Exception {
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitKept();
        loop.submit(() -> endpoints.at(1, stub.address(), false, 2, 3)).syncUninterruptibly();
        assertEquals(0, kept());
    }

    /** Seen on calm+mass: idle connections of a few of 60 senders kept all others out for the whole day. */
    @Test
    void whereTablesAreFullIdleConnectionsAreSoonClosed() throws Exception {
        expect(Outcome.NO_CONNECTION, StubServer.status(503, "Connection: close\r\n"));
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(List.of(0, 1, 2), stub.requests.stream().map(StubServer.Message::connection).toList());
        StubServer.await("the idle connection is closed", () -> kept() == 0);
    }

    /** Seen on herd+mass: the next call came a second later, and idling was nearly half of the time in the table. */
    @Test
    void whereTablesAreFullNoConnectionIdlesForACallThatUsuallyComesLater() throws Exception {
        endpoints = new Endpoints(loop, nanos::get, 1000, 15_000, 2, 4, told);
        at(stub.address());
        expect(Outcome.NO_CONNECTION, StubServer.status(503, "Connection: close\r\n"));
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(1, kept(), "nothing speaks against it yet");
        for (int call = 0; call < 2; call++) {
            nanos.addAndGet(TimeUnit.SECONDS.toNanos(20));
            expect(Outcome.DELIVERED, StubServer.status(200, ""));
        }
        assertEquals(0, kept(), "the next call would come after the 6 s that it may idle");
        for (int call = 0; call < 3; call++) {
            expect(Outcome.DELIVERED, StubServer.status(200, ""));
        }
        assertEquals(1, kept(), "calls follow each other closely again");
    }

    /** A refusal on a kept connection, or one that leaves a new one open, tells nothing of the table. */
    @Test
    void aRefusedCallAloneMakesNoTableFull() throws Exception {
        expect(Outcome.FULL, StubServer.status(503, ""));
        awaitKept();
        expect(Outcome.FULL, StubServer.status(503, "Connection: close\r\n"));
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        awaitKept();
        expect(Outcome.DELIVERED, StubServer.status(200, ""));
        assertEquals(List.of(0, 0, 1, 1), stub.requests.stream().map(StubServer.Message::connection).toList());
    }

    private void closeKept() {
        loop.submit(() -> endpoints.closeIdle(1)).syncUninterruptibly();
    }

    private void awaitKept() throws Exception {
        StubServer.await("the connection is kept", () -> kept() == 1);
    }

    private int kept() {
        return loop.submit(() -> endpoints.kept()).syncUninterruptibly().getNow();
    }
}
