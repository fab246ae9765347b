package starlingvalve.net;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in for discovery that is silent until it is up, and then answers with a list of one endpoint, or of none. */
final class SwitchableDiscovery implements AutoCloseable {
    final StubServer endpoint;
    final StubServer agent;
    /** Lists that were answered. */
    final AtomicInteger answers = new AtomicInteger();
    volatile boolean up;
    volatile boolean listIsEmpty;

    SwitchableDiscovery() throws IOException {
        endpoint = new StubServer(StubServer.status(200, ""));
        agent = new StubServer(this::answer);
    }

    /** A watch has nothing to tell, so only the whole list is answered. */
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
