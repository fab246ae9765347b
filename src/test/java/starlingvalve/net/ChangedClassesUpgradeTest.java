package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

/**
 * An upgrade to a configuration with an additional message class in front of the others, so that the class numbers in
 * the predecessor's state don't apply in the successor.
 */
class ChangedClassesUpgradeTest extends SenderFixture {
    private boolean moreClasses;

    @Override
    Config config() throws Exception {
        Config config = super.config();
        if (!moreClasses) {
            return config;
        }
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace("\"classes\":[", "\"classes\":[{\"name\":\"new\","
                + "\"aim_ms\":2000,\"give_up_ms\":24000,\"repeat\":\"safe\"},"));
        return Config.read(Map.of("GW_CONFIG", file.toString(), "GW_STATE", folder.resolve("state").toString(),
                "TMPDIR", folder.toString()));
    }

    /** The call is in flight in the predecessor, which reports its delivery after the handover. */
    @Test
    void messageDeliveredByPredecessorAfterHandoverGetsNoNotice() throws Exception {
        List<Socket> unanswered = new CopyOnWriteArrayList<>();
        script((request, socket) -> unanswered.add(socket));
        start();
        submit("m", "once");
        StubServer.await("the call arrives", () -> unanswered.size() == 1);
        Sender predecessor = sender;
        listenAddress = "127.0.0.1:" + address.getPort();
        moreClasses = true;
        start();
        try {
            StubServer.write(unanswered.get(0), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            awaitEmptyJournal();
            assertEquals(List.of(), notices);
        } finally {
            predecessor.kill();
        }
    }
}
