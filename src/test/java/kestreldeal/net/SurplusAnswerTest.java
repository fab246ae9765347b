package kestreldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import kestreldeal.Relay.Outcome;
import kestreldeal.net.EndpointClient.End;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Good answers that bring more than belongs to them: they count, and what came with them answers nothing else. */
class SurplusAnswerTest {
    private static final double LONG_MS = 20_000;
    private static final long END_MS = 30_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static List<String> surplusOf(String answer) {
        return List.of(answer, answer + answer, answer.substring(0, answer.length() - 1), "noise", "\r\n", "\0\1\2");
    }

    private List<End> ends(Stub stub, List<String> ids) throws Exception {
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
            try (Stub stub = new Stub((request, socket) -> Stub.write(socket, answer + surplus))) {
                assertEquals(List.of(new End("a", Outcome.DELIVERED, false, 0), new End("b", Outcome.FULL, false, 0),
                        new End("c", Outcome.NOT_SENT, true, 0)), ends(stub, List.of("a", "b", "c")), "with " + surplus);
            }
        }
    }

    @Test
    void aRefusalCountsThoughMoreComesWithIt() throws Exception {
        String refusal = "HTTP/1.1 429 x\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
        for (String surplus : surplusOf(refusal)) {
            try (Stub stub = new Stub((request, socket) -> Stub.write(socket, refusal + surplus))) {
                assertEquals(List.of(new End("a", Outcome.FULL, false, 1500)), ends(stub, List.of("a")),
                        "with " + surplus);
            }
        }
    }
}
