package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the connection to the platform's agent, and the watch of discovery on it, over loopback sockets. */
class AgentConnectionTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Creates a watch over a connection to the agent, without a lease on the list. */
    private Discovery discovery(StubServer agent, Random random, EndpointList.Listener listener) {
        return new Discovery(loop, new AgentConnection(loop, agent.address()), random,
                new EndpointList(listener, EventLog.shared()), Optional.empty(), System::nanoTime);
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/v1/servers");
    }

    private static String list(int generation, String id) {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[{\"instanceId\":\"" + id
                + "\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":7,"
                + "\"lifecycle\":\"SERVING\",\"weight\":1.0,\"startedAtMs\":0}]}";
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Waits until the event loop has read all input that has arrived at its sockets by now. */
    private void awaitRead() throws Exception {
        CompletableFuture<Void> read = new CompletableFuture<>();
        loop.execute(() -> AfterPendingReads.execute(loop, () -> read.complete(null)));
        read.get(30, TimeUnit.SECONDS);
    }

    @Test
    void requestWithoutSocketFailsAtOnceOnEventLoop() throws Exception {
        AgentConnection agent =
                new AgentConnection(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), () -> {
            throw new ChannelException("no file descriptors are left");
        });
        CompletableFuture<Boolean> failedOnLoop = new CompletableFuture<>();
        loop.submit(() -> agent.sendRequest(request(), TimeUnit.MINUTES.toMillis(10),
                answer -> failedOnLoop.complete(answer.isEmpty() && loop.inEventLoop()))).syncUninterruptibly();
        assertTrue(failedOnLoop.get(10, TimeUnit.SECONDS));
    }

    /**
     * While the event loop reads from one connection, the answer arrives on the other and its time limit passes. Guards
     * against the time-out being handled before the answer is read.
     */
    @Test
    void arrivedAnswerIsHandledBeforeItsTimeOut() throws Exception {
        long limitMs = 2000;
        CountDownLatch writeAllowed = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        StubServer.Script delayed = (request, socket) -> {
            writeAllowed.await();
            StubServer.write(socket, answer("late"));
            written.countDown();
        };
        try (StubServer slow = new StubServer(delayed);
                StubServer quick = new StubServer((request, socket) -> StubServer.write(socket, answer("")))) {
            CompletableFuture<Boolean> answered = new CompletableFuture<>();
            loop.execute(() -> new AgentConnection(loop, slow.address()).sendRequest(request(), limitMs,
                    answer -> answered.complete(answer.isPresent())));
            StubServer.await("the request has arrived", () -> slow.requests.size() == 1);
            long sentNanos = System.nanoTime();
            loop.execute(() -> new AgentConnection(loop, quick.address()).sendRequest(request(), limitMs, answer -> {
                writeAllowed.countDown();
                try {
                    assertTrue(written.await(30, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    throw new AssertionError(e);
                }
                while (System.nanoTime() < sentNanos + (limitMs + 5) * 1_000_000) {
                    Thread.onSpinWait();
                }
            }));
            assertTrue(answered.get(30, TimeUnit.SECONDS));
        }
    }

    /**
     * The address of discovery changes while half of an answer from the old address is read: the rest of it is ignored,
     * and the full list is requested at the new address.
     */
    @Test
    void addressChangeDuringPartialAnswerUsesOnlyNewList() throws Exception {
        List<String> listedIds = new CopyOnWriteArrayList<>();
        List<Socket> halfAnswered = new CopyOnWriteArrayList<>();
        String stale = answer(list(9, "stale"));
        StubServer.Script answersHalf = (request, socket) -> {
            StubServer.write(socket, stale.substring(0, stale.length() / 2));
            halfAnswered.add(socket);
        };
        StubServer.Script answers = (request, socket) -> {
            if (!request.line().contains("after=")) {
                StubServer.write(socket, answer(list(3, "fresh")));
            }
        };
        try (StubServer former = new StubServer(answersHalf); StubServer current = new StubServer(answers)) {
            Discovery discovery = discovery(former, new Random(1),
                    (full, entries) -> entries.forEach(e -> listedIds.add(e.id())));
            loop.execute(() -> discovery.start(Optional.empty()));
            StubServer.await("half of the answer is written", () -> halfAnswered.size() == 1);
            awaitRead();
            loop.execute(() -> {
                try {
                    StubServer.write(halfAnswered.get(0), stale.substring(stale.length() / 2));
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
                discovery.changeAddress(current.address());
            });
            StubServer.await("the new address is watched", () -> current.requests.stream()
                    .anyMatch(r -> r.line().contains("after=3")));
            awaitRead();
            assertEquals(List.of("fresh"), listedIds);
            assertEquals("GET /v1/servers HTTP/1.1", current.requests.get(0).line());
        }
    }

    /** The time limit applies to the complete response: bytes that keep arriving do not extend it. */
    @Test
    void endlessTrickledResponseEndsAtItsTimeLimit() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        StubServer.Script trickles = (request, socket) -> {
            try {
                StubServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
                while (true) {
                    StubServer.write(socket, "x");
                    Thread.sleep(5);
                }
            } finally {
                closed.countDown();
            }
        };
        try (StubServer stub = new StubServer(trickles)) {
            assertFalse(isAnswered(new AgentConnection(loop, stub.address()), 300));
            assertTrue(closed.await(30, TimeUnit.SECONDS), "the connection is closed");
        }
    }

    /** A listener whose queue of new connections is full drops further connection requests. */
    @Test
    void hangingConnectFailsLongBeforeRequestLimit() throws Exception {
        List<SocketChannel> waiting = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
            for (int i = 0; i < 8; i++) {
                SocketChannel channel = SocketChannel.open();
                waiting.add(channel);
                channel.configureBlocking(false);
                channel.connect(address);
            }
            long started = System.nanoTime();
            assertFalse(isAnswered(new AgentConnection(loop, address), 25_000));
            assertTrue(System.nanoTime() - started < 20_000_000_000L, "connecting has its own time limit");
        } finally {
            for (SocketChannel channel : waiting) {
                channel.close();
            }
        }
    }

    /** A connection that stays open during the retry pause may break unnoticed, which would lose the next request. */
    @Test
    void requestAfterErrorStatusUsesNewConnection() throws Exception {
        try (StubServer stub = new StubServer(StubServer.status(503, ""))) {
            Discovery discovery = discovery(stub, new Random(1), (full, entries) -> { });
            loop.execute(() -> discovery.start(Optional.empty()));
            StubServer.await("the second request has arrived", () -> stub.requests.size() == 2);
            assertEquals(1, stub.requests.get(1).connection());
        }
    }

    /** Error statuses come first, so that the pauses have grown, and that after the lost request is the longest. */
    @Test
    void changeIsReceivedInTimeAfterErrorStatusesAndLostRequest() throws Exception {
        int errorStatuses = 4;
        AtomicBoolean recovered = new AtomicBoolean();
        AtomicLong recoveredNanos = new AtomicLong();
        CompletableFuture<Long> receivedNanos = new CompletableFuture<>();
        Random random = new Random() {
            @Override
            public double nextDouble() {
                return recovered.get() ? Math.nextDown(1.0) : 0;
            }
        };
        AtomicInteger requests = new AtomicInteger();
        StubServer.Script script = (request, socket) -> {
            int number = requests.incrementAndGet();
            if (number == 1) {
                StubServer.write(socket, answer(list(1, "before")));
            } else if (number <= 1 + errorStatuses) {
                StubServer.status(503, "").onRequest(request, socket);
            } else if (number == 2 + errorStatuses) {
                recoveredNanos.set(System.nanoTime());
                recovered.set(true);
            } else {
                StubServer.write(socket, answer(list(2, "after")));
            }
        };
        try (StubServer stub = new StubServer(script)) {
            Discovery discovery = discovery(stub, random, (full, entries) -> {
                if (entries.get(0).id().equals("after")) {
                    receivedNanos.complete(System.nanoTime());
                }
            });
            loop.execute(() -> discovery.start(Optional.empty()));
            long tookMs = TimeUnit.NANOSECONDS.toMillis(receivedNanos.get(30, TimeUnit.SECONDS) - recoveredNanos.get());
            assertTrue(tookMs <= 5500, "change received after ms: " + tookMs);
        }
    }

    private static final String ERROR_STATUS = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
    private static final String SUCCESS = "HTTP/1.1 204 x\r\n\r\n";
    private static final String PARTIAL_SUCCESS = "HTTP/1.1 204 N";

    /** Writes the given bytes to the first request, and an error status to each later one. */
    private static StubServer.Script firstThenErrorStatuses(String first) {
        AtomicInteger requests = new AtomicInteger();
        return (request, socket) -> StubServer.write(socket, requests.getAndIncrement() == 0 ? first : ERROR_STATUS);
    }

    @Test
    void partialLineOnIdleConnectionIsNotPartOfNextAnswer() throws Exception {
        try (StubServer stub = new StubServer(firstThenErrorStatuses(SUCCESS))) {
            AgentConnection agent = new AgentConnection(loop, stub.address());
            assertEquals(204, status(agent));
            stub.writeToAll(PARTIAL_SUCCESS);
            awaitRead();
            assertEquals(503, status(agent));
            assertEquals(1, stub.requests.get(1).connection(), "a new connection is used");
        }
    }

    /** The event loop is blocked from before the bytes arrive until the next request is written. */
    @Test
    void unreadPartialLineIsNotPartOfNextAnswer() throws Exception {
        try (StubServer stub = new StubServer(firstThenErrorStatuses(SUCCESS))) {
            AgentConnection agent = new AgentConnection(loop, stub.address());
            assertEquals(204, status(agent));
            CompletableFuture<Integer> status = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    stub.writeToAll(PARTIAL_SUCCESS);
                    requestStatus(agent, status);
                } catch (Exception e) {
                    status.completeExceptionally(e);
                }
            });
            assertEquals(503, status.get(30, TimeUnit.SECONDS));
            assertEquals(1, stub.requests.get(1).connection(), "a new connection is used");
        }
    }

    @Test
    void bytesAfterAnswerAreNotPartOfNextAnswer() throws Exception {
        for (String bytesAfter : List.of(PARTIAL_SUCCESS, SUCCESS)) {
            try (StubServer stub = new StubServer(firstThenErrorStatuses(SUCCESS + bytesAfter))) {
                AgentConnection agent = new AgentConnection(loop, stub.address());
                CompletableFuture<Integer> second = new CompletableFuture<>();
                loop.execute(() -> agent.sendRequest(request(), 25_000, first -> requestStatus(agent, second)));
                assertEquals(503, second.get(30, TimeUnit.SECONDS));
                assertEquals(1, stub.requests.get(1).connection(), "a new connection is used");
            }
        }
    }

    /** The event loop is blocked until an unsolicited answer has arrived on the new connection. */
    @Test
    void connectionWithInputBeforeRequestIsNotUsed() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            AgentConnection agent = new AgentConnection(loop, (InetSocketAddress) listener.getLocalSocketAddress());
            CompletableFuture<Boolean> answered = new CompletableFuture<>();
            loop.execute(() -> {
                agent.sendRequest(request(), 25_000, response -> answered.complete(response.isPresent()));
                // The connect is an earlier task of the event loop, so it runs before this one.
                loop.execute(() -> {
                    try {
                        StubServer.write(listener.accept(), SUCCESS);
                    } catch (Exception e) {
                        answered.completeExceptionally(e);
                    }
                });
            });
            assertFalse(answered.get(30, TimeUnit.SECONDS));
        }
    }

    private static void requestStatus(AgentConnection agent, CompletableFuture<Integer> status) {
        agent.sendRequest(request(), 25_000,
                response -> status.complete(response.map(r -> r.status().code()).orElse(0)));
    }

    private int status(AgentConnection agent) throws Exception {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(() -> requestStatus(agent, status));
        return status.get(30, TimeUnit.SECONDS);
    }

    private boolean isAnswered(AgentConnection agent, long limitMs) throws Exception {
        CompletableFuture<Boolean> answered = new CompletableFuture<>();
        loop.execute(() -> agent.sendRequest(request(), limitMs, response -> answered.complete(response.isPresent())));
        return answered.get(30, TimeUnit.SECONDS);
    }

    /** Guards against a full heap: each answer had a limit, and those of all connections together had none. */
    @Test
    void oldestUnfinishedAnswerIsGivenUpWhenAllTogetherHoldTooMuch() throws Exception {
        int partBytes = 60_000;
        InputMemory memory = new InputMemory(2 * partBytes);
        StubServer.Script unfinished = (request, socket) -> StubServer.write(socket,
                "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(partBytes));
        try (StubServer stub = new StubServer(unfinished)) {
            List<CompletableFuture<Boolean>> answered = new ArrayList<>();
            for (int i = 1; i <= 2; i++) {
                answered.add(sendRequest(stub, memory));
                long heldBytes = (long) i * partBytes;
                if (i == 1) {
                    StubServer.await("a part of the answer is read",
                            () -> loop.submit(memory::totalBytes).syncUninterruptibly().getNow() >= heldBytes);
                }
            }
            assertFalse(answered.get(0).get(30, TimeUnit.SECONDS));
            assertFalse(answered.get(1).isDone());
        }
    }

    private CompletableFuture<Boolean> sendRequest(StubServer stub, InputMemory memory) {
        CompletableFuture<Boolean> answered = new CompletableFuture<>();
        loop.execute(() -> new AgentConnection(loop, stub.address(), UnreadInputChannel::new,
                EndpointList.MAX_ANSWER_BYTES, memory)
                .sendRequest(request(), 60_000, answer -> answered.complete(answer.isPresent())));
        return answered;
    }
}
