package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import starlingvalve.DeliveryPolicy.Outcome;
import starlingvalve.net.EndpointClient.End;

/** Valid answers with surplus bytes: the answer counts, and the surplus is not taken as an answer to another call. */
class SurplusAnswerTest {
    private static final double LONG_TIMEOUT_MS = 20_000;
    /** Shorter than the quiet period of a kept connection. */
    private static final double SHORT_TIMEOUT_MS = 5;
    private static final long END_TIMEOUT_MS = 30_000;
    /** The copy is written this long after the answer was read, or as soon as the next request has arrived. */
    private static final long COPY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** A run is repeated if the machine stalled so that the copy was written later than this. */
    private static final long MAX_COPY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(15);
    private static final int MAX_RUNS = 50;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static List<String> surplusOf(String answer) {
        return List.of(answer, answer + answer, answer.substring(0, answer.length() - 1), "noise", "\r\n", "\0\1\2");
    }

    /** Starts one exchange with these messages and returns their ends. */
    private List<End> ends(StubServer stub, List<String> ids) throws Exception {
        EndpointClient client = new EndpointClient(loop, stub.address());
        client.inLoop(() -> {
            client.start(ids, LONG_TIMEOUT_MS);
            return null;
        });
        return client.ends(ids.size(), END_TIMEOUT_MS);
    }

    @Test
    void batchAnswerWithSurplusCounts() throws Exception {
        String answer = TestConfig.answer("a accepted\r\nb deferred\r\nc expired\r\n");
        for (String surplus : surplusOf(answer)) {
            try (StubServer stub = new StubServer((request, socket) -> StubServer.write(socket, answer + surplus))) {
                assertEquals(List.of(new End("a", Outcome.DELIVERED, false, 0), new End("b", Outcome.FULL, false, 0),
                        new End("c", Outcome.NOT_SENT, true, 0)), ends(stub, List.of("a", "b", "c")),
                        "with " + surplus);
            }
        }
    }

    @Test
    void refusalWithSurplusCounts() throws Exception {
        String refusal = "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
        for (String surplus : surplusOf(refusal)) {
            try (StubServer stub = new StubServer((request, socket) -> StubServer.write(socket, refusal + surplus))) {
                assertEquals(List.of(new End("a", Outcome.FULL, false, 1500)), ends(stub, List.of("a")),
                        "with " + surplus);
            }
        }
    }

    /** Such an answer belongs to another call. */
    @Test
    void answerThatNamesNoMessageOfItsCallProvesNothingAndClosesTheConnection() throws Exception {
        String answer = TestConfig.answer("x accepted\r\ny accepted\r\n");
        try (StubServer stub = new StubServer((request, socket) -> StubServer.write(socket, answer))) {
            EndpointClient client = new EndpointClient(loop, stub.address());
            for (int connection = 0; connection < 2; connection++) {
                client.inLoop(() -> {
                    client.start(List.of("a", "b"), LONG_TIMEOUT_MS);
                    return null;
                });
                assertEquals(List.of(new End("a", Outcome.BROKEN, false, 0), new End("b", Outcome.BROKEN, false, 0)),
                        client.ends(2, END_TIMEOUT_MS));
                assertEquals(connection, stub.requests.get(connection).connection());
            }
        }
    }

    /**
     * Writes a first answer and, a few milliseconds later, a copy of it, when the next request may already be on its
     * way. Answers all later requests with a refusal.
     */
    private static final class LateCopy implements StubServer.Script {
        private final String answer;
        private final String refusal;
        private final CountDownLatch firstRead = new CountDownLatch(1);
        private boolean copied;
        private volatile long copyDelayNanos;

        LateCopy(String answer, String refusal) {
            this.answer = answer;
            this.refusal = refusal;
        }

        /** To be called when the other side has just read the first answer. */
        void firstIsRead() {
            firstRead.countDown();
        }

        @Override
        public synchronized void onRequest(StubServer.Message request, Socket socket) throws Exception {
            if (copied) {
                StubServer.write(socket, refusal);
                return;
            }
            copied = true;
            StubServer.write(socket, answer);
            firstRead.await();
            long startNanos = System.nanoTime();
            while (socket.getInputStream().available() == 0 && System.nanoTime() - startNanos < COPY_DELAY_NANOS) {
                Thread.onSpinWait();
            }
            StubServer.write(socket, answer);
            copyDelayNanos = System.nanoTime() - startNanos;
        }

        /** Whether the copy was written early enough for the run to be meaningful. */
        boolean isValid() {
            return copyDelayNanos < MAX_COPY_DELAY_NANOS;
        }
    }

    private interface TestRun {
        void run(StubServer stub, LateCopy script) throws Exception;
    }

    /** Repeats a run until one is valid; its assertions must hold. */
    private static void repeatUntilValid(String answer, String refusal, TestRun run) throws Exception {
        LateCopy script;
        int runs = 0;
        do {
            assertTrue(runs++ < MAX_RUNS, "the machine stalls too often");
            script = new LateCopy(answer, refusal);
            try (StubServer stub = new StubServer(script)) {
                run.run(stub, script);
            } catch (AssertionError e) {
                if (script.isValid()) {
                    throw e;
                }
            }
        } while (!script.isValid());
    }

    @Test
    void lateCopyOfAnAnswerDoesNotAnswerTheNextCall() throws Exception {
        String accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        repeatUntilValid(accepted, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", (stub, script) -> {
            EndpointClient client = new EndpointClient(loop, stub.address());
            for (String id : List.of("first", "second")) {
                client.inLoop(() -> {
                    client.start(List.of(id), LONG_TIMEOUT_MS);
                    return null;
                });
                Outcome expected = id.equals("first") ? Outcome.DELIVERED : Outcome.FULL;
                assertEquals(List.of(new End(id, expected, false, 0)), client.ends(1, END_TIMEOUT_MS));
                script.firstIsRead();
            }
        });
    }

    /** The outcome of such a call must not say anything about the endpoint. */
    @Test
    void callThatTimesOutInTheQuietPeriodOfItsConnectionIsNotSent() throws Exception {
        try (StubServer stub = new StubServer(StubServer.status(200, ""))) {
            EndpointClient client = new EndpointClient(loop, stub.address());
            client.inLoop(() -> {
                client.afterNextEnd(() -> client.start(List.of("hasty"), SHORT_TIMEOUT_MS));
                client.start(List.of("first"), LONG_TIMEOUT_MS);
                return null;
            });
            assertEquals(List.of(new End("first", Outcome.DELIVERED, false, 0),
                    new End("hasty", Outcome.NOT_SENT, false, 0)), client.ends(2, END_TIMEOUT_MS));
            assertEquals(1, stub.requests.size());
        }
    }

    @Test
    void lateCopyOfAnAnswerDoesNotAnswerTheNextNotice() throws Exception {
        repeatUntilValid("HTTP/1.1 204 x\r\n\r\n", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", (stub, script) -> {
            AgentConnection agent = new AgentConnection(loop, stub.address());
            CompletableFuture<Integer> second = new CompletableFuture<>();
            loop.execute(() -> sendRequest(agent, new CompletableFuture<>(), () -> {
                sendRequest(agent, second, () -> { });
                script.firstIsRead();
            }));
            assertEquals(503, second.get(END_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        });
    }

    private static void sendRequest(AgentConnection agent, CompletableFuture<Integer> status, Runnable onAnswer) {
        agent.sendRequest(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/reports"),
                (long) LONG_TIMEOUT_MS, answer -> {
                    status.complete(answer.map(response -> response.status().code()).orElse(0));
                    onAnswer.run();
                });
    }
}
