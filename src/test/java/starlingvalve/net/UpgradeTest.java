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

/** A successor process takes over from a sender that still serves. */
class UpgradeTest extends SenderFixture {
    @Test
    void successorTakesOverCallsInFlightAndClients() throws Exception {
        start();
        Socket client = client();
        assertEquals("HTTP/1.1 202 Accepted", exchange(client, message("before", "order", "hello")).line());
        awaitEmptyJournal();
        script(StubServer.silent());
        submit("in-flight", "once");
        StubServer.await("the call is in flight", () -> calls().size() == 2);
        assertEquals("200 ok\n", operatorRequest("POST", "/endpoints/s-1/maint"));
        Sender predecessor = startSuccessor();
        try {
            assertEquals("200 ok\n", operatorRequest("GET", "/healthcheck"));
            assertEquals(1, metric("in_flight"));
            assertEquals(1, metric("endpoints_excluded"));
            assertEquals(0, metric("served.order"), "counters start at zero in each process");
            StubServer.Message forwarded = exchange(client, message("passed", "order", "hello"));
            assertEquals("HTTP/1.1 202 Accepted", forwarded.line());
            assertEquals("close", forwarded.header("Connection"));
            submit("after", "order");
            StubServer.await("both calls are in flight", () -> calls().size() == 4);
            for (StubServer endpoint : endpoints) {
                endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            awaitEmptyJournal();
            assertEquals(List.of(1, 2), List.of(metric("served.once"), metric("served.order")));
            assertEquals(4, calls().size(), "nothing is sent twice");
            assertEquals(List.of(), notices);
        } finally {
            predecessor.kill();
        }
    }

    @Test
    void callsInFlightMayHaveRunIfPredecessorIsKilled() throws Exception {
        script(StubServer.silent());
        start();
        submit("once", "once");
        StubServer.await("the call is in flight", () -> calls().size() == 1);
        startSuccessor().kill();
        awaitNotice("{\"ref\":\"once\",\"result\":\"dead\"}");
        assertEquals(1, calls().size());
    }

    @Test
    void predecessorContinuesIfSuccessorFailsBeforeItOwns() throws Exception {
        start();
        Socket client = client();
        try (SocketChannel failingSuccessor = SocketChannel.open(UnixDomainSocketAddress.of(config().handover()))) {
            failingSuccessor.write(ByteBuffer.wrap("{\"do\":\"handover\"}\n".getBytes(StandardCharsets.UTF_8)));
            ByteBuffer state = ByteBuffer.allocate(1 << 16);
            while (state.position() == 0 || state.get(state.position() - 1) != '\n') {
                failingSuccessor.read(state);
            }
            StubServer.write(client, message("meanwhile", "order", "hello"));
        }
        assertEquals("HTTP/1.1 202 Accepted",
                StubServer.read(new BufferedInputStream(client.getInputStream()), 0).line());
        awaitEmptyJournal();
        assertEquals(1, calls().size());
        Sender predecessor = startSuccessor();
        try {
            submit("after", "order");
            awaitEmptyJournal();
        } finally {
            predecessor.kill();
        }
    }

    @Test
    void socketWithoutListenerDoesNotDelayStart() throws Exception {
        Files.createFile(config().handover());
        start();
        submit("one", "order");
        awaitEmptyJournal();
    }

    @Test
    void clientDrainPersistsAcrossUpgrade() throws Exception {
        start();
        assertEquals("200 ok\n", operatorRequest("POST", "/healthcheck/fail"));
        Sender predecessor = startSuccessor();
        try {
            // Until then a new connection may reach the predecessor, which stays drained.
            ListeningSockets.awaitSingle(address.getPort());
            assertEquals("503", healthStatus());
            assertEquals("200 ok\n", operatorRequest("POST", "/healthcheck/ok"));
            assertEquals("200", healthStatus());
        } finally {
            predecessor.kill();
        }
    }
}
