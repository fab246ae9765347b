package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** An upgrade where the path of TMPDIR is longer than the address of a Unix domain socket may be. */
class LongTemporaryFolderTest extends SenderFixture {
    @Override
    Path temporaryFolder() throws IOException {
        return Files.createDirectories(folder.resolve("f".repeat(120)));
    }

    /** The new process asked for ever, at a socket that could not exist, and was never ready. */
    @Test
    void successorTakesOver() throws Exception {
        start();
        Sender predecessor = startSuccessor();
        try {
            ListeningSockets.awaitSingle(address.getPort());
            assertEquals("200 ok\n", operatorRequest("GET", "/healthcheck"));
            submit("after", "order");
            awaitEmptyJournal();
        } finally {
            predecessor.kill();
        }
    }
}
