package starlingvalve.net;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A fake discovery that is silent until {@link #up} is set, then answers with a list of one endpoint or none. */
final class SwitchableDiscovery implements AutoCloseable {
    final StubServer endpoint;
    final StubServer agent;
    /** The number of lists sent. */
    final AtomicInteger answers = new AtomicInteger();
    volatile boolean up;
    volatile boolean listIsEmpty;

    SwitchableDiscovery() throws IOException {
        endpoint = new StubServer(StubServer.status(200, ""));
        agent = new StubServer(this::answer);
    }

    /** Answers only requests for the full list; there are no changes for a watch to report. */
    private void answer(StubServer.Message request, Socket socket) throws IOException {
        if (!up || !request.line().equals("GET /v1/servers HTTP/1.1")) {
            return;
        }
        answers.incrementAndGet();
        if (listIsEmpty) {
            TestConfig.answer(socket, "{\"generation\":1,\"reset\":true,\"instances\":[]}");
        } else {
            TestConfig.answerList(socket, endpoint);
        }
    }

    @Override
    public void close() throws IOException {
        agent.close();
        endpoint.close();
    }
}
