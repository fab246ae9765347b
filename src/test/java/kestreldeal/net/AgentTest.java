package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The platform's agent over loopback sockets, and the watch over it, where events cross. */
class AgentTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
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
        loop.execute(() -> Due.next(loop, () -> read.complete(null)));
        read.get(30, TimeUnit.SECONDS);
    }

    /** While the loop reads from one, the other's answer comes and its time passes: the time-out went first. */
    @Test
    void anAnswerThatHasComeGoesBeforeItsTimeOut() throws Exception {
        long limitMs = 2000;
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        Stub.Script held = (request, socket) -> {
            go.await();
            Stub.write(socket, answer("late"));
            written.countDown();
        };
        try (Stub slow = new Stub(held); Stub quick = new Stub((request, socket) -> Stub.write(socket, answer("")))) {
            CompletableFuture<Boolean> came = new CompletableFuture<>();
            loop.execute(() -> new Agent(loop, slow.address()).ask(request(), limitMs,
                    answer -> came.complete(answer.isPresent())));
            Stub.await("it is asked", () -> slow.requests.size() == 1);
            long asked = System.nanoTime();
            loop.execute(() -> new Agent(loop, quick.address()).ask(request(), limitMs, answer -> {
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
        Stub.Script halves = (request, socket) -> {
            Stub.write(socket, stale.substring(0, stale.length() / 2));
            half.add(socket);
        };
        Stub.Script answers = (request, socket) -> {
            if (!request.line().contains("after=")) {
                Stub.write(socket, answer(list(3, "fresh")));
            }
        };
        try (Stub old = new Stub(halves); Stub fresh = new Stub(answers)) {
            Discovery discovery = new Discovery(loop, new Agent(loop, old.address()), new Random(1),
                    (whole, entries) -> entries.forEach(e -> told.add(e.id())));
            loop.execute(() -> discovery.start(Optional.empty()));
            Stub.await("half is written", () -> half.size() == 1);
            awaitRead();
            loop.execute(() -> {
                try {
                    Stub.write(half.get(0), stale.substring(stale.length() / 2));
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
                discovery.moved(fresh.address());
            });
            Stub.await("the new one is watched", () -> fresh.requests.stream()
                    .anyMatch(r -> r.line().contains("after=3")));
            awaitRead();
            assertEquals(List.of("fresh"), told);
            assertEquals("GET /v1/servers HTTP/1.1", fresh.requests.get(0).line());
        }
    }
}
