package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the answers of a sender to valid, invalid, split and incomplete requests of clients. */
class ClientConnectionTest extends SenderFixture {
    @Test
    void invalidRequestsAreAnsweredAndNothingIsAccepted() throws Exception {
        start();
        String valid = message("id", "order", "hello");
        Map<String, String> answers = Map.ofEntries(
                Map.entry("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "404"),
                Map.entry("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "404"),
                Map.entry("GET /order HTTP/1.1\r\nHost: x\r\n\r\n", "405"),
                Map.entry("\u0001\u0002 rubbish\r\n\r\n", "400"),
                Map.entry(valid.replace("X-Call-Id: id\r\n", ""), "400"),
                Map.entry(valid.replace("X-Budget-Ms: 24000", "X-Budget-Ms: soon"), "400"),
                Map.entry(valid.replace("X-Budget-Ms: 24000", "X-Budget-Ms: -1"), "400"),
                Map.entry(valid.replace("dest=7", "dest=x"), "400"),
                Map.entry(valid.replace("dest=7", "nothing"), "400"),
                Map.entry(valid.replace("dest=7", "dest=70000"), "503"),
                Map.entry(valid.replace("X-Caller: acme", "X-Caller: nobody"), "400"),
                Map.entry(valid.replace("Idempotency-Key: key-id\r\n", ""), "400"),
                Map.entry(valid.replace("X-Call-Class: order", "X-Call-Class: once"), "400"),
                Map.entry(valid.replace("Content-Length: 5", "Content-Length: five"), "400"));
        for (Map.Entry<String, String> e : answers.entrySet()) {
            StubServer.Message answer = exchange(client(), e.getKey());
            assertEquals(e.getValue(), answer.line().split(" ")[1], e.getKey());
        }
        assertTrue(journalledMessages().isEmpty());
        submit("good", "order");
    }

    @Test
    void bodyMayHave64KibOfAnyBytes() throws Exception {
        start();
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < 64 * 1024; i++) {
            body.append((char) (i % 256));
        }
        assertEquals("202", exchange(client(), message("big", "order", body.toString())).line().split(" ")[1]);
        awaitEmptyJournal();
        assertEquals(body.toString(), calls().get(0).body());
        String tooLong = message("long", "order", body + "x");
        assertEquals("413", exchange(client(), tooLong).line().split(" ")[1]);
        assertEquals(1, calls().size());
    }

    @Test
    void chunkedBodyInSingleBytesIsAccepted() throws Exception {
        start();
        Socket client = client();
        for (char c : message("one", "order", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                .toCharArray()) {
            StubServer.write(client, String.valueOf(c));
        }
        assertEquals("202", exchange(client, "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n").line().split(" ")[1]);
        awaitEmptyJournal();
        assertEquals("hello", calls().get(0).body());
    }

    @Test
    void fullSenderRefusesSubmissions() throws Exception {
        script(StubServer.silent());
        start();
        for (int i = 0; i < MAX_OPEN; i++) {
            submit("m" + i, "order");
        }
        assertEquals("503", exchange(client(), message("more", "order", "hello")).line().split(" ")[1]);
        assertEquals(MAX_OPEN, journalledMessages().size());
    }

    @Test
    void sameIdIsAcceptedOnce() throws Exception {
        script(StubServer.silent());
        start();
        submit("one", "order");
        submit("one", "order");
        assertEquals(1, journalledMessages().size());
    }

    @Test
    void incompleteRequestOfClosedConnectionIsNotAccepted() throws Exception {
        start();
        Socket closedClient = client();
        String request = message("gone", "order", "hello");
        StubServer.write(closedClient, request.substring(0, request.length() - 2));
        closedClient.close();
        submit("one", "order");
        awaitEmptyJournal();
        assertEquals(List.of("one"), calls().stream().map(c -> c.header("X-Call-Id")).toList());
    }

    @Test
    void silentClientsDoNotExhaustDescriptors() throws Exception {
        start();
        for (int i = 0; i < 150; i++) {
            client();
        }
        // Of 256 descriptors, requests of clients may take a third.
        StubServer.await("silent clients hold a third of the descriptors", () -> openClients() == 86);
    }

    private long openClients() {
        return clients.stream().filter(client -> {
            try {
                client.setSoTimeout(1);
                return client.getInputStream().read() >= 0;
            } catch (SocketTimeoutException open) {
                return true;
            } catch (IOException closed) {
                return false;
            }
        }).count();
    }
}
