package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A new process of a sender takes over from an old one that still serves. */
class UpgradeTest extends SenderFixture {
    /** Starts a new version beside the one that runs, and returns the old one. */
    private Sender upgrade() throws Exception {
        Sender old = sender;
        listenAddress = "127.0.0.1:" + address.getPort();
        start();
        return old;
    }

    @Test
    void aNewVersionTakesOverWithWhatIsOutAndWithTheOldOnesClients() throws Exception {
        start();
        Socket kept = client();
        assertEquals("HTTP/1.1 202 Accepted", exchange(kept, message("before", "order", "hello")).line());
        awaitEmptyJournal();
        script(StubServer.silent());
        submit("out", "once");
        StubServer.await("it is out", () -> calls().size() == 2);
        assertEquals("200 ok\n", operatorRequest("POST", "/endpoints/s-1/maint"));
        Sender old = upgrade();
        try {
            assertEquals("200 ok\n", operatorRequest("GET", "/healthcheck"));
            assertEquals(1, metric("in_flight"));
            assertEquals(1, metric("endpoints_excluded"));
            assertEquals(0, metric("served.order"), "counts start with the process");
            StubServer.Message passed = exchange(kept, message("passed", "order", "hello"));
            assertEquals("HTTP/1.1 202 Accepted", passed.line());
            assertEquals("close", passed.header("Connection"));
            submit("after", "order");
            StubServer.await("both are out", () -> calls().size() == 4);
            for (StubServer endpoint : endpoints) {
                endpoint.answerAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            awaitEmptyJournal();
            assertEquals(List.of(1, 2), List.of(metric("served.once"), metric("served.order")));
            assertEquals(4, calls().size(), "nothing is sent twice");
            assertEquals(List.of(), notices);
        } finally {
            old.kill();
        }
    }

    @Test
    void whatTheOldProcessHadOutMayHaveRunIfItIsKilled() throws Exception {
        script(StubServer.silent());
        start();
        submit("once", "once");
        StubServer.await("it is out", () -> calls().size() == 1);
        upgrade().kill();
        awaitNotice("{\"ref\":\"once\",\"result\":\"dead\"}");
        assertEquals(1, calls().size());
    }

    @Test
    void ifTheNewProcessFailsBeforeItOwnsTheOldOneGoesOn() throws Exception {
        start();
        Socket kept = client();
        try (SocketChannel fails = SocketChannel.open(UnixDomainSocketAddress.of(config().handover()))) {
            fails.write(ByteBuffer.wrap("{\"do\":\"handover\"}\n".getBytes(StandardCharsets.UTF_8)));
            ByteBuffer state = ByteBuffer.allocate(1 << 16);
            while (state.position() == 0 || state.get(state.position() - 1) != '\n') {
                fails.read(state);
            }
            StubServer.write(kept, message("meanwhile", "order", "hello"));
        }
        assertEquals("HTTP/1.1 202 Accepted",
                StubServer.read(new BufferedInputStream(kept.getInputStream()), 0).line());
        awaitEmptyJournal();
        assertEquals(1, calls().size());
        Sender old = upgrade();
        try {
            submit("after", "order");
            awaitEmptyJournal();
        } finally {
            old.kill();
        }
    }

    @Test
    void aSocketThatNobodyListensAtHoldsNoStartUp() throws Exception {
        Files.createFile(config().handover());
        start();
        submit("one", "order");
        awaitEmptyJournal();
    }

    @Test
    void clientsStaySentAwayOverAnUpgrade() throws Exception {
        start();
        assertEquals("200 ok\n", operatorRequest("POST", "/healthcheck/fail"));
        Sender old = upgrade();
        try {
            assertEquals("503", healthStatus());
            assertEquals("200 ok\n", operatorRequest("POST", "/healthcheck/ok"));
            assertEquals("200", healthStatus());
        } finally {
            old.kill();
        }
    }
}
