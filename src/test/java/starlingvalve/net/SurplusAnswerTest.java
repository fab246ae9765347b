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

/** Good answers that bring more than belongs to them: they count, and what came with them answers nothing else. */
class SurplusAnswerTest {
    private static final double LONG_MS = 20_000;
    /** Shorter than a kept connection is left quiet. */
    private static final double HASTY_MS = 5;
    private static final long END_MS = 30_000;
    /** A copy comes so long after the answer was read, or as soon as the next request has come. */
    private static final long MOMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Played again where the machine stood still for longer than that in between. */
    private static final long LONGEST_MOMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(15);
    private static final int MOST_PLAYS = 50;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static List<String> surplusOf(String answer) {
        return List.of(answer, answer + answer, answer.substring(0, answer.length() - 1), "noise", "\r\n", "\0\1\2");
    }

    private List<End> ends(StubServer stub, List<String> ids) throws Exception {
        EndpointClient client = new EndpointClient(loop, stub.address());
        client.inLoop(() -> {
            client.start(ids, LONG_MS);
            return null;
        });
        return client.ends(ids.size(), END_MS);
    }

    @Test
    void anAnswerToSeveralMessagesCountsThoughMoreComesWithIt() throws Exception {
        String answer = TestConfig.answer("a accepted\r\nb deferred\r\nc expired\r\n");
        for (String surplus : surplusOf(answer)) {
            try (StubServer stub = new StubServer((request, socket) -> StubServer.write(socket, answer + surplus))) {
                assertEquals(List.of(new End("a", Outcome.DELIVERED, false, 0), new End("b", Outcome.FULL, false, 0),
                        new End("c", Outcome.NOT_SENT, true, 0)), ends(stub, List.of("a", "b", "c")), "with " + surplus);
            }
        }
    }

    @Test
    void aRefusalCountsThoughMoreComesWithIt() throws Exception {
        String refusal = "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
        for (String surplus : surplusOf(refusal)) {
            try (StubServer stub = new StubServer((request, socket) -> StubServer.write(socket, refusal + surplus))) {
                assertEquals(List.of(new End("a", Outcome.FULL, false, 1500)), ends(stub, List.of("a")),
                        "with " + surplus);
            }
        }
    }

    @Test
    void anAnswerThatNamesNoneOfItsMessagesIsThatOfAnotherCallAndEndsItsConnection() throws Exception {
        String answer = TestConfig.answer("x accepted\r\ny accepted\r\n");
        try (StubServer stub = new StubServer((request, socket) -> StubServer.write(socket, answer))) {
            EndpointClient client = new EndpointClient(loop, stub.address());
            for (int connection = 0; connection < 2; connection++) {
                client.inLoop(() -> {
                    client.start(List.of("a", "b"), LONG_MS);
                    return null;
                });
                assertEquals(List.of(new End("a", Outcome.BROKEN, false, 0), new End("b", Outcome.BROKEN, false, 0)),
                        client.ends(2, END_MS));
                assertEquals(connection, stub.requests.get(connection).connection());
            }
        }
    }

    /** A first answer, and its copy a moment later: by then the next request may be on its way. Then refusals. */
    private static final class LateCopy implements StubServer.Script {
        private final String answer;
        private final String refusal;
        private final CountDownLatch firstRead = new CountDownLatch(1);
        private boolean copied;
        private volatile long tookNanos;

        LateCopy(String answer, String refusal) {
            this.answer = answer;
            this.refusal = refusal;
        }

        /** The other side has just read the first answer. */
        void firstIsRead() {
            firstRead.countDown();
        }

        @Override
        public synchronized void come(StubServer.Message request, Socket socket) throws Exception {
            if (copied) {
                StubServer.write(socket, refusal);
                return;
            }
            copied = true;
            StubServer.write(socket, answer);
            firstRead.await();
            long begun = System.nanoTime();
            while (socket.getInputStream().available() == 0 && System.nanoTime() - begun < MOMENT_NANOS) {
                Thread.onSpinWait();
            }
            StubServer.write(socket, answer);
            tookNanos = System.nanoTime() - begun;
        }

        boolean isValid() {
            return tookNanos < LONGEST_MOMENT_NANOS;
        }
    }

    private interface Play {
        void with(StubServer stub, LateCopy script) throws Exception;
    }

    private static void untilValid(String answer, String refusal, Play play) throws Exception {
        LateCopy script;
        int plays = 0;
        do {
            assertTrue(plays++ < MOST_PLAYS, "the machine stands still too often");
            script = new LateCopy(answer, refusal);
            try (StubServer stub = new StubServer(script)) {
                play.with(stub, script);
            } catch (AssertionError e) {
                if (script.isValid()) {
                    throw e;
                }
            }
        } while (!script.isValid());
    }

    @Test
    void aSecondCopyThatComesAMomentLaterIsNoAnswerToTheNextCall() throws Exception {
        String accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        untilValid(accepted, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", (stub, script) -> {
            EndpointClient client = new EndpointClient(loop, stub.address());
            for (String id : List.of("first", "second")) {
                client.inLoop(() -> {
                    client.start(List.of(id), LONG_MS);
                    return null;
                });
                Outcome expected = id.equals("first") ? Outcome.DELIVERED : Outcome.FULL;
                assertEquals(List.of(new End(id, expected, false, 0)), client.ends(1, END_MS));
                script.firstIsRead();
            }
        });
    }

    @Test
    void aCallWhoseTimeIsUpWhileItsConnectionIsQuietTellsNothingOfTheEndpoint() throws Exception {
        try (StubServer stub = new StubServer(StubServer.status(200, ""))) {
            EndpointClient client = new EndpointClient(loop, stub.address());
            client.inLoop(() -> {
                client.whenNextEnds(() -> client.start(List.of("hasty"), HASTY_MS));
                client.start(List.of("first"), LONG_MS);
                return null;
            });
            assertEquals(List.of(new End("first", Outcome.DELIVERED, false, 0),
                    new End("hasty", Outcome.NOT_SENT, false, 0)), client.ends(2, END_MS));
            assertEquals(1, stub.requests.size());
        }
    }

    @Test
    void aSecondCopyThatComesAMomentLaterIsNoAnswerToTheNextNotice() throws Exception {
        untilValid("HTTP/1.1 204 x\r\n\r\n", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", (stub, script) -> {
            AgentConnection agent = new AgentConnection(loop, stub.address());
            CompletableFuture<Integer> second = new CompletableFuture<>();
            loop.execute(() -> sendRequest(agent, new CompletableFuture<>(), () -> {
                sendRequest(agent, second, () -> { });
                script.firstIsRead();
            }));
            assertEquals(503, second.get(END_MS, TimeUnit.MILLISECONDS));
        });
    }

    private static void sendRequest(AgentConnection agent, CompletableFuture<Integer> status, Runnable then) {
        agent.sendRequest(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/reports"), (long) LONG_MS,
                answer -> {
                    status.complete(answer.map(a -> a.status().code()).orElse(0));
                    then.run();
                });
    }
}
