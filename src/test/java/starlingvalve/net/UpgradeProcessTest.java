package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The sender as a process, from which a second process takes over while messages wait and calls are in flight. */
class UpgradeProcessTest extends SenderProcessFixture {
    private static final String CLASSES = """
            {"name":"hedged","aim_ms":8000,"give_up_ms":24000,"repeat":"safe"},
            {"name":"ordered","aim_ms":8000,"give_up_ms":24000,"repeat":"unsafe","sequential":true}""";

    private final CountDownLatch answers = new CountDownLatch(1);
    private SenderProcess successor;

    @Override
    Path configure() throws IOException {
        return new TestConfig(agent.hostPort()).classes(CLASSES).workers(6).hedging(true).known(agent.list())
                .write(folder);
    }

    @AfterEach
    void closeSuccessor() throws Exception {
        if (successor != null) {
            successor.close();
        }
    }

    private void submitOrdered(String id) throws IOException {
        String request = TestConfig.message(id, "ordered", "hello").replace("/ordered", "/ordered?thread=one");
        assertEquals("202", sendRequest(sender.address(), request).line().split(" ")[1]);
    }

    @Test
    void messagesAcceptedAfterOneWhoseHedgeEndedFirstAreDeliveredBySuccessor() throws Exception {
        script((call, socket) -> {
            String id = ids(call).get(0);
            if (id.equals("hedged") && callCount(id) == 2) {
                StubServer.write(socket, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
            } else {
                answers.await();
                accept(call, socket);
            }
        });
        sender.start();
        submit("hedged", "hedged");
        sender.awaitEvent("attempt-ended", "id=hedged", "attempt=1", "outcome=FULL");
        submitOrdered("first");
        StubServer.await("the first message of the ordering key is in flight", () -> callCount("first") == 1);
        submitOrdered("second");
        successor = sender.successor().start();
        successor.awaitEvent("takeover", "open=3", "calls=2");
        sender.signal("TERM");
        answers.countDown();
        sender.awaitExit();
        StubServer.await("the second message of the ordering key is delivered", () -> callCount("second") == 1);
        sender = successor;
        awaitAllEnded();
    }
}
