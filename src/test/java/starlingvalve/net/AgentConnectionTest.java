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

/** The platform's agent over loopback sockets, and the watch over it, where events cross. */
class AgentConnectionTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Watches through an agent, with no lease beside it. */
    private Discovery discovery(StubServer agent, Random random, EndpointList.Listener listener) {
        return new Discovery(loop, new AgentConnection(loop, agent.address()), random,
                new EndpointList(listener, EventLog.ofThisProcess()), Optional.empty(), System::nanoTime);
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

    /** Waits until the loop has read all that had come to its sockets by now. */
    private void awaitRead() throws Exception {
        CompletableFuture<Void> read = new CompletableFuture<>();
        loop.execute(() -> AfterPendingReads.execute(loop, () -> read.complete(null)));
        read.get(30, TimeUnit.SECONDS);
    }

    @Test
    void aRequestForWhichThereIsNoSocketFailsAtOnceAndOnTheLoop() throws Exception {
        AgentConnection agent =
                new AgentConnection(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), () -> {
            throw new ChannelException("no descriptor is left");
        });
        CompletableFuture<Boolean> failedOnLoop = new CompletableFuture<>();
        loop.submit(() -> agent.ask(request(), TimeUnit.MINUTES.toMillis(10),
                answer -> failedOnLoop.complete(answer.isEmpty() && loop.inEventLoop()))).syncUninterruptibly();
        assertTrue(failedOnLoop.get(10, TimeUnit.SECONDS));
    }

    /** While the loop reads from one, the other's answer comes and its time passes: the time-out went first. */
    @Test
    void anAnswerThatHasComeGoesBeforeItsTimeOut() throws Exception {
        long limitMs = 2000;
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        StubServer.Script held = (request, socket) -> {
            go.await();
            StubServer.write(socket, answer("late"));
            written.countDown();
        };
        try (StubServer slow = new StubServer(held);
                StubServer quick = new StubServer((request, socket) -> StubServer.write(socket, answer("")))) {
            CompletableFuture<Boolean> came = new CompletableFuture<>();
            loop.execute(() -> new AgentConnection(loop, slow.address()).ask(request(), limitMs,
                    answer -> came.complete(answer.isPresent())));
            StubServer.await("it is asked", () -> slow.requests.size() == 1);
            long asked = System.nanoTime();
            loop.execute(() -> new AgentConnection(loop, quick.address()).ask(request(), limitMs, answer -> {
                go.countDown();
                try {
                    assertTrue(written.await(30, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    throw new AssertionError(e);
                }
                while (System.nanoTime() < asked + (limitMs + 5) * 1_000_000) {
                    Thread.onSpinWait();
                }
            }));
            assertTrue(came.get(30, TimeUnit.SECONDS));
        }
    }

    /** Discovery moves while half of the old one's answer is read: its rest is nobody's, and the new one is asked. */
    @Test
    void aMoveThatCrossesHalfAnAnswerLeavesOnlyTheNewOnesList() throws Exception {
        List<String> told = new CopyOnWriteArrayList<>();
        List<Socket> half = new CopyOnWriteArrayList<>();
        String stale = answer(list(9, "stale"));
        StubServer.Script halves = (request, socket) -> {
            StubServer.write(socket, stale.substring(0, stale.length() / 2));
            half.add(socket);
        };
        StubServer.Script answers = (request, socket) -> {
            if (!request.line().contains("after=")) {
                StubServer.write(socket, answer(list(3, "fresh")));
            }
        };
        try (StubServer old = new StubServer(halves); StubServer fresh = new StubServer(answers)) {
            Discovery discovery = discovery(old, new Random(1),
                    (whole, entries) -> entries.forEach(e -> told.add(e.id())));
            loop.execute(() -> discovery.start(Optional.empty()));
            StubServer.await("half is written", () -> half.size() == 1);
            awaitRead();
            loop.execute(() -> {
                try {
                    StubServer.write(half.get(0), stale.substring(stale.length() / 2));
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
                discovery.moved(fresh.address());
            });
            StubServer.await("the new one is watched", () -> fresh.requests.stream()
                    .anyMatch(r -> r.line().contains("after=3")));
            awaitRead();
            assertEquals(List.of("fresh"), told);
            assertEquals("GET /v1/servers HTTP/1.1", fresh.requests.get(0).line());
        }
    }

    /** The limit is one for the whole response: bytes that keep coming do not prolong it. */
    @Test
    void anEndlessTrickledResponseIsGivenUpAtItsLimit() throws Exception {
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
            assertFalse(responseCame(new AgentConnection(loop, stub.address()), 300));
            assertTrue(closed.await(30, TimeUnit.SECONDS), "the connection is closed");
        }
    }

    /** With its queue of new connections full, a listener drops what asks for one more. */
    @Test
    void aConnectThatHangsFailsLongBeforeTheRequestsLimit() throws Exception {
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
            assertFalse(responseCame(new AgentConnection(loop, address), 25_000));
            assertTrue(System.nanoTime() - started < 20_000_000_000L, "the connect has a limit of its own");
        } finally {
            for (SocketChannel channel : waiting) {
                channel.close();
            }
        }
    }

    /** A kept connection may die in the pause without a sign, and would take the next request with it. */
    @Test
    void afterARefusedRequestTheNextOneOpensAnotherConnection() throws Exception {
        try (StubServer stub = new StubServer(StubServer.status(503, ""))) {
            Discovery discovery = discovery(stub, new Random(1), (whole, entries) -> { });
            loop.execute(() -> discovery.start(Optional.empty()));
            StubServer.await("it is asked again", () -> stub.requests.size() == 2);
            assertEquals(1, stub.requests.get(1).connection());
        }
    }

    /** Refused several times before, as pauses have grown, and with the longest pause after the silence. */
    @Test
    void aChangeIsToldInTimeThoughTheRequestBeforeItWasLostAfterSeveralRefusedOnes() throws Exception {
        int refusals = 4;
        AtomicBoolean back = new AtomicBoolean();
        AtomicLong backNanos = new AtomicLong();
        CompletableFuture<Long> told = new CompletableFuture<>();
        Random draws = new Random() {
            @Override
            public double nextDouble() {
                return back.get() ? Math.nextDown(1.0) : 0;
            }
        };
        AtomicInteger requests = new AtomicInteger();
        StubServer.Script script = (request, socket) -> {
            int number = requests.incrementAndGet();
            if (number == 1) {
                StubServer.write(socket, answer(list(1, "before")));
            } else if (number <= 1 + refusals) {
                StubServer.status(503, "").onRequest(request, socket);
            } else if (number == 2 + refusals) {
                backNanos.set(System.nanoTime());
                back.set(true);
            } else {
                StubServer.write(socket, answer(list(2, "after")));
            }
        };
        try (StubServer stub = new StubServer(script)) {
            Discovery discovery = discovery(stub, draws, (whole, entries) -> {
                if (entries.get(0).id().equals("after")) {
                    told.complete(System.nanoTime());
                }
            });
            loop.execute(() -> discovery.start(Optional.empty()));
            long tookMs = TimeUnit.NANOSECONDS.toMillis(told.get(30, TimeUnit.SECONDS) - backNanos.get());
            assertTrue(tookMs <= 5500, "told after ms: " + tookMs);
        }
    }

    private static final String REFUSAL = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
    private static final String SUCCESS = "HTTP/1.1 204 x\r\n\r\n";
    private static final String HALF_A_SUCCESS = "HTTP/1.1 204 N";

    /** Writes the first answer with what comes behind it, and a refusal from then on. */
    private static StubServer.Script firstThenRefusals(String first) {
        AtomicInteger requests = new AtomicInteger();
        return (request, socket) -> StubServer.write(socket, requests.getAndIncrement() == 0 ? first : REFUSAL);
    }

    @Test
    void halfALineOnARestingConnectionIsNoPartOfTheNextAnswer() throws Exception {
        try (StubServer stub = new StubServer(firstThenRefusals(SUCCESS))) {
            AgentConnection agent = new AgentConnection(loop, stub.address());
            assertEquals(204, status(agent));
            stub.answerAll(HALF_A_SUCCESS);
            awaitRead();
            assertEquals(503, status(agent));
            assertEquals(1, stub.requests.get(1).connection(), "the connection is of no more use");
        }
    }

    /** The loop is held from before the bytes come until the next request is written. */
    @Test
    void halfALineThatLiesUnreadIsNoPartOfTheNextAnswer() throws Exception {
        try (StubServer stub = new StubServer(firstThenRefusals(SUCCESS))) {
            AgentConnection agent = new AgentConnection(loop, stub.address());
            assertEquals(204, status(agent));
            CompletableFuture<Integer> status = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    stub.answerAll(HALF_A_SUCCESS);
                    askForStatus(agent, status);
                } catch (Exception e) {
                    status.completeExceptionally(e);
                }
            });
            assertEquals(503, status.get(30, TimeUnit.SECONDS));
            assertEquals(1, stub.requests.get(1).connection(), "the connection is of no more use");
        }
    }

    @Test
    void whatComesBehindAnAnswerIsNoPartOfTheNextOne() throws Exception {
        for (String behind : List.of(HALF_A_SUCCESS, SUCCESS)) {
            try (StubServer stub = new StubServer(firstThenRefusals(SUCCESS + behind))) {
                AgentConnection agent = new AgentConnection(loop, stub.address());
                CompletableFuture<Integer> second = new CompletableFuture<>();
                loop.execute(() -> agent.ask(request(), 25_000, first -> askForStatus(agent, second)));
                assertEquals(503, second.get(30, TimeUnit.SECONDS));
                assertEquals(1, stub.requests.get(1).connection(), "the connection is of no more use");
            }
        }
    }

    /** The loop is held until the answer to nothing has come over the new connection. */
    @Test
    void aConnectionThatSpeaksBeforeItIsAskedIsNotUsed() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            AgentConnection agent = new AgentConnection(loop, (InetSocketAddress) listener.getLocalSocketAddress());
            CompletableFuture<Boolean> came = new CompletableFuture<>();
            loop.execute(() -> {
                agent.ask(request(), 25_000, response -> came.complete(response.isPresent()));
                // The connect is a task of the loop too, and comes before this one.
                loop.execute(() -> {
                    try {
                        StubServer.write(listener.accept(), SUCCESS);
                    } catch (Exception e) {
                        came.completeExceptionally(e);
                    }
                });
            });
            assertFalse(came.get(30, TimeUnit.SECONDS));
        }
    }

    private static void askForStatus(AgentConnection agent, CompletableFuture<Integer> status) {
        agent.ask(request(), 25_000, response -> status.complete(response.map(r -> r.status().code()).orElse(0)));
    }

    private int status(AgentConnection agent) throws Exception {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(() -> askForStatus(agent, status));
        return status.get(30, TimeUnit.SECONDS);
    }

    private boolean responseCame(AgentConnection agent, long limitMs) throws Exception {
        CompletableFuture<Boolean> came = new CompletableFuture<>();
        loop.execute(() -> agent.ask(request(), limitMs, response -> came.complete(response.isPresent())));
        return came.get(30, TimeUnit.SECONDS);
    }
}
