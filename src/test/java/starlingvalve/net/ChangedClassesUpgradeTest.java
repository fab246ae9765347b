package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

/** An upgrade to a configuration with another class, so that the new module can't use the old one's memory. */
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

    /** The old process still has its call out, and reports that it was delivered. */
    @Test
    void aMessageThatTheOldProcessDeliversAfterTheHandoverIsNotGivenUp() throws Exception {
        List<Socket> late = new CopyOnWriteArrayList<>();
        script((request, socket) -> late.add(socket));
        start();
        submit("m", "once");
        StubServer.await("the call", () -> late.size() == 1);
        Sender old = sender;
        listenAddress = "127.0.0.1:" + address.getPort();
        moreClasses = true;
        start();
        try {
            StubServer.write(late.get(0), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            awaitEmptyJournal();
            assertEquals(List.of(), notices);
        } finally {
            old.kill();
        }
    }
}
