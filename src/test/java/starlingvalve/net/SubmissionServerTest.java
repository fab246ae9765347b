package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests {@link SubmissionServer} alone, mostly with embedded channels whose clock the test advances. */
class SubmissionServerTest {
    private final RecordingSubmissionHandler handler = new RecordingSubmissionHandler();

    private EmbeddedChannel client() {
        return client(new SubmissionServer(new DefaultEventLoop(), 10, handler));
    }

    private static EmbeddedChannel client(SubmissionServer server) {
        EmbeddedChannel client = new EmbeddedChannel();
        client.freezeTime();
        client.pipeline().addLast(server.pipeline());
        client.pipeline().fireChannelActive();
        return client;
    }

    private static void send(EmbeddedChannel client, String text) {
        client.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private static void advanceTime(EmbeddedChannel client, long ms) {
        client.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        client.runPendingTasks();
    }

    private static String request(String id, int length) {
        return "POST /order HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: order\r\n"
                + "X-Budget-Ms: 900\r\nX-Envelope: dest=7\r\nContent-Length: " + length + "\r\n\r\n";
    }

    @Test
    void connectionWithoutInputIsClosedAtRequestTimeout() {
        EmbeddedChannel silent = client();
        advanceTime(silent, 1900);
        assertTrue(silent.isOpen());
        advanceTime(silent, 200);
        assertFalse(silent.isOpen());
    }

    @Test
    void incompleteRequestIsClosedAtRequestTimeoutDespiteFurtherBytes() {
        EmbeddedChannel slow = client();
        for (char c : (request("slow", 10) + "five").substring(0, 20).toCharArray()) {
            assertTrue(slow.isOpen());
            send(slow, String.valueOf(c));
            advanceTime(slow, 100);
        }
        assertFalse(slow.isOpen());
        EmbeddedChannel half = client();
        send(half, request("half", 10) + "five");
        advanceTime(half, 2100);
        assertFalse(half.isOpen());
        assertEquals(List.of(), handler.ids);
    }

    @Test
    void requestTimeoutOfLaterRequestsStartsAtTheirFirstByte() {
        EmbeddedChannel keptAlive = client();
        for (int i = 0; i < 3; i++) {
            send(keptAlive, request("id-" + i, 0));
            advanceTime(keptAlive, 5000);
            assertTrue(keptAlive.isOpen(), "closed though no request was pending");
        }
        send(keptAlive, request("half", 10));
        advanceTime(keptAlive, 1900);
        assertTrue(keptAlive.isOpen());
        advanceTime(keptAlive, 200);
        assertFalse(keptAlive.isOpen());
        assertEquals(List.of("id-0", "id-1", "id-2"), handler.ids);
    }

    /** A request may have been unread for almost the 400 ms for which its client waits. */
    @Test
    void budgetIsReducedByClientTimeout() {
        send(client(), request("long", 0));
        send(client(), request("short", 0).replace("Budget-Ms: 900", "Budget-Ms: 80"));
        assertEquals(List.of("long", "short"), handler.ids);
        assertTrue(handler.budgets.get(0) + 400 <= 900, "ended late: " + handler.budgets.get(0));
        assertEquals(1, handler.budgets.get(1), "accepted with the least budget");
    }

    /** Sends an incomplete request. */
    private static void sendHalfRequest(EmbeddedChannel client) {
        send(client, request("half", 10) + "five");
    }

    @Test
    void newConnectionIsClosedIfNoneIsIdle() {
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 3, handler);
        List<EmbeddedChannel> busy = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            busy.add(client(server));
            sendHalfRequest(busy.get(i));
        }
        EmbeddedChannel newest = client(server);
        assertFalse(newest.isOpen());
        newest.checkException();
        busy.forEach(client -> assertTrue(client.isOpen()));
        newest.runPendingTasks();
        assertEquals(3, server.clients());
    }

    @Test
    void longestIdleConnectionIsClosedForNewOne() {
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 3, handler);
        EmbeddedChannel busy = client(server);
        sendHalfRequest(busy);
        EmbeddedChannel first = client(server);
        EmbeddedChannel second = client(server);
        send(first, request("one", 0));
        EmbeddedChannel newest = client(server);
        assertFalse(second.isOpen(), "the first client has been idle only since its request");
        assertTrue(busy.isOpen() && first.isOpen() && newest.isOpen());
    }

    @Test
    void connectionClosedBeforeItsVerdictIsNotKeptAsIdle() {
        DelayedVerdictHandler delayed = new DelayedVerdictHandler();
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 1, delayed);
        EmbeddedChannel gone = client(server);
        send(gone, request("one", 0));
        gone.close();
        gone.runPendingTasks();
        delayed.callbacks.get(0).accept(SubmissionServer.Verdict.refused("late"));
        EmbeddedChannel idle = client(server);
        EmbeddedChannel newest = client(server);
        assertFalse(idle.isOpen());
        assertTrue(newest.isOpen());
    }

    /** Guards against a fault in the verdict's callback: the handlers of a closed connection are gone. */
    @Test
    void lastAnswerOfClosedConnectionIsDropped() {
        DelayedVerdictHandler delayed = new DelayedVerdictHandler();
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 1, delayed);
        EmbeddedChannel gone = client(server);
        send(gone, request("one", 0).replace("Host: x", "Host: x\r\nConnection: close"));
        gone.close();
        gone.runPendingTasks();
        delayed.callbacks.get(0).accept(SubmissionServer.Verdict.refused("late"));
        gone.checkException();
        assertEquals(0, server.clients());
    }

    /** Keeps the callbacks, so that a test can pass verdicts later. */
    private static final class DelayedVerdictHandler extends RecordingSubmissionHandler {
        final List<Consumer<SubmissionServer.Verdict>> callbacks = new ArrayList<>();

        @Override
        public void submit(SubmissionServer.Submission submission, Consumer<SubmissionServer.Verdict> callback) {
            callbacks.add(callback);
        }
    }

    @Test
    void connectionWithUnansweredRequestIsNotClosedAsIdle() {
        DelayedVerdictHandler delayed = new DelayedVerdictHandler();
        EmbeddedChannel client = client(new SubmissionServer(new DefaultEventLoop(), 1, delayed));
        send(client, request("one", 0));
        for (int i = 0; i < 3; i++) {
            advanceTime(client, 10_100);
            assertTrue(client.isOpen(), "closed without an answer");
        }
        delayed.callbacks.forEach(callback -> callback.accept(SubmissionServer.Verdict.refused("not now")));
        client.runPendingTasks();
        assertTrue(client.<ByteBuf>readOutbound().toString(StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 503 "));
        advanceTime(client, 10_100);
        assertFalse(client.isOpen(), "not closed though idle");
    }

    private static String readAnswers(EmbeddedChannel client) {
        StringBuilder answers = new StringBuilder();
        for (ByteBuf part = client.readOutbound(); part != null; part = client.readOutbound()) {
            answers.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return answers.toString();
    }

    /** Guards against messages that no client has submitted: the body of a refused request was read as requests. */
    @Test
    void bodyOfRefusedRequestIsNotReadAsRequests() {
        String hidden = request("hidden", 0);
        for (String expectation : List.of("", "Expect: 100-continue\r\n", "Expect: wonders\r\n")) {
            for (String framing : List.of("Content-Length: 70000", "Transfer-Encoding: chunked")) {
                EmbeddedChannel client = client();
                String head = request("refused", 0).replace("Content-Length: 0", expectation + framing);
                boolean chunked = framing.startsWith("Transfer");
                String chunk = chunked ? "11170\r\n" + "x".repeat(0x11170) + "\r\n0\r\n\r\n" : "";
                send(client, head + chunk + hidden);
                send(client, hidden.repeat(700));
                advanceTime(client, LingeringClose.LINGER_MS - 1);
                String answers = readAnswers(client);
                String status = expectation.contains("wonders") ? "417" : "413";
                assertTrue(answers.replace("HTTP/1.1 100 Continue\r\n\r\n", "").startsWith("HTTP/1.1 " + status + " "),
                        answers);
                assertTrue(client.isOpen(), "closed while its answer is on its way");
                advanceTime(client, 2);
                assertFalse(client.isOpen(), expectation + framing);
            }
        }
        assertEquals(List.of(), handler.ids);
    }

    @Test
    void expectedContinueIsSentBeforeTheBody() {
        EmbeddedChannel client = client();
        send(client, request("waits", 5).replace("Host: x", "Host: x\r\nExpect: 100-continue"));
        assertEquals("HTTP/1.1 100 Continue\r\n\r\n", readAnswers(client));
        send(client, "hello");
        assertTrue(readAnswers(client).startsWith("HTTP/1.1 202 "));
        assertEquals(List.of("waits"), handler.ids);
        assertTrue(client.isOpen());
    }

    @Test
    void answerToHeadRequestHasNoBody() {
        EmbeddedChannel client = client();
        send(client, "HEAD /nothing-here HTTP/1.1\r\nHost: x\r\n\r\n");
        String answer = readAnswers(client);
        assertTrue(answer.startsWith("HTTP/1.1 404 ") && answer.endsWith("\r\n\r\n"), answer);
    }

    /** Guards against submissions without bound that one client sends at once while a handover delays the verdicts. */
    @Test
    void nextPipelinedRequestIsSubmittedOnceTheOneBeforeIsAnswered() {
        DelayedVerdictHandler delayed = new DelayedVerdictHandler();
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 1, delayed);
        EmbeddedChannel client = client(server);
        send(client, request("one", 5) + "hello" + request("two", 5) + "hello" + request("three", 5) + "he");
        assertEquals(1, delayed.callbacks.size());
        assertFalse(client.config().isAutoRead(), "reads on though requests are waiting");
        delayed.callbacks.get(0).accept(SubmissionServer.Verdict.refused("not now"));
        client.runPendingTasks();
        assertEquals(2, delayed.callbacks.size());
        delayed.callbacks.get(1).accept(SubmissionServer.Verdict.refused("not now"));
        client.runPendingTasks();
        assertTrue(client.config().isAutoRead(), "does not read the rest of the last request");
        send(client, "llo");
        assertEquals(3, delayed.callbacks.size());
        assertTrue(client.isOpen());
    }

    /** Guards against a request that is closed unanswered since the time of a waiting one behind it is up. */
    @Test
    void requestTimeoutDoesNotRunWhileAnEarlierRequestAwaitsItsVerdict() {
        DelayedVerdictHandler delayed = new DelayedVerdictHandler();
        EmbeddedChannel client = client(new SubmissionServer(new DefaultEventLoop(), 1, delayed));
        send(client, request("one", 0));
        send(client, request("two", 0));
        advanceTime(client, 5000);
        assertTrue(client.isOpen(), "closed without an answer");
        delayed.callbacks.get(0).accept(SubmissionServer.Verdict.refused("not now"));
        client.runPendingTasks();
        assertEquals(2, delayed.callbacks.size());
        advanceTime(client, 5000);
        assertTrue(client.isOpen(), "closed without an answer");
    }

    /** Guards against a request that was read and is closed unanswered: its connection is not between requests. */
    @Test
    void connectionWithWaitingRequestIsNotClosedForNewOne() {
        DelayedVerdictHandler delayed = new DelayedVerdictHandler();
        SubmissionServer server = new SubmissionServer(new DefaultEventLoop(), 1, delayed);
        EmbeddedChannel client = client(server);
        send(client, request("one", 0) + request("two", 0));
        delayed.callbacks.get(0).accept(SubmissionServer.Verdict.refused("not now"));
        EmbeddedChannel newest = client(server);
        assertTrue(client.isOpen());
        assertFalse(newest.isOpen());
    }

    /** Guards against a stalled request without a time limit: its first bytes arrived together with another request. */
    @Test
    void requestTimeoutAppliesToRequestThatBeganBehindAnother() {
        EmbeddedChannel client = client();
        send(client, request("whole", 0) + request("half", 10));
        client.runPendingTasks();
        assertEquals(List.of("whole"), handler.ids);
        advanceTime(client, 1900);
        assertTrue(client.isOpen());
        advanceTime(client, 200);
        assertFalse(client.isOpen());
    }

    /** The event loop is blocked while more clients connect than are allowed; then all are accepted at once. */
    @Test
    void closeAcceptsBacklogUpToLimitAndClosesTheRestUnread() throws Exception {
        int maxClients = 4;
        int waiting = 100;
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        List<Socket> sockets = new ArrayList<>();
        try {
            SubmissionServer server = new SubmissionServer(loop, maxClients, handler);
            server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly();
            InetSocketAddress address = server.address();
            CountDownLatch connected = new CountDownLatch(1);
            CompletableFuture<Integer> accepted = new CompletableFuture<>();
            loop.submit(() -> {
                connected.await();
                server.close();
                // Runs right after the accepts, before channelInactive of the connections closed for newer ones.
                loop.execute(() -> accepted.complete(server.clients()));
                return null;
            });
            for (int i = 0; i < waiting; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
            }
            connected.countDown();
            assertTrue(accepted.get() > 0, "no connection was admitted");
            assertTrue(accepted.get() <= maxClients + DescriptorBudget.ACCEPT_BURST,
                    "accepted at once: " + accepted.get());
            StubServer.await("the listener is closed", () -> connect(address).isEmpty());
            // Runs after channelInactive of the closed connections, which is called in a task of its own.
            loop.submit(() -> { }).get();
            int open = loop.submit(server::clients).get();
            assertTrue(open <= maxClients, "open afterwards: " + open);
            assertTrue(open > 0, "no connection was admitted");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** If the close of the listener took effect late, clients that connect until then would be reset. */
    @Test
    void connectionDuringListenerCloseIsAnsweredOrRefused() throws Exception {
        for (Consumer<SubmissionServer> stop : List.<Consumer<SubmissionServer>>of(SubmissionServer::close,
                SubmissionServer::closeForSuccessor, SubmissionServer::stopListening)) {
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            EventLoop loop = group.next();
            try {
                SubmissionServer server = new SubmissionServer(loop, 10, handler);
                server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).syncUninterruptibly();
                InetSocketAddress address = server.address();
                Optional<Socket> concurrentClient = loop.submit(() -> {
                    stop.accept(server);
                    return connect(address);
                }).get();
                if (concurrentClient.isPresent()) {
                    try (Socket client = concurrentClient.get()) {
                        StubServer.Message answer =
                                SenderFixture.exchange(client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                        assertEquals("HTTP/1.1 200 OK", answer.line());
                    }
                }
                StubServer.await("the listener is closed", () -> connect(address).isEmpty());
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            }
        }
    }

    /** Connects to an address; empty if the connection is refused. */
    private static Optional<Socket> connect(InetSocketAddress address) {
        try {
            return Optional.of(new Socket(address.getAddress(), address.getPort()));
        } catch (IOException refused) {
            return Optional.empty();
        }
    }
}
