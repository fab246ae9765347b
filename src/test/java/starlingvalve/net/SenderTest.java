package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests a whole sender over loopback sockets: operators, clients, two endpoints of one destination, and the agent. */
class SenderTest extends SenderFixture {
    @Test
    void endpointInMaintenanceGetsNoCallsUntilPutBackWhateverTheListSays() throws Exception {
        start();
        assertEquals("404", operatorRequest("POST", "/endpoints/s-9/maint").split(" ")[0]);
        for (int call = 0; call < 2; call++) {
            assertEquals("200 ok\n", operatorRequest("POST", "/endpoints/s-0/maint"));
        }
        for (String list : List.of("SERVING DRAINING", "SERVING SERVING", "DELETED SERVING", "SERVING SERVING")) {
            endpointStates = list;
            String generation = generation();
            StubServer.await("the list is read", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=" + generation)));
            submit("m" + list.hashCode() + calls().size(), "order");
            if (list.endsWith("SERVING")) {
                awaitEmptyJournal();
            }
        }
        assertEquals(List.of(), endpoints.get(0).requests);
        assertEquals(1, metric("endpoints_excluded"));
        assertEquals(2, metric("endpoints_known"));
        endpointStates = "SERVING DRAINING";
        killAndRestart();
        String generation = generation();
        long before = agent.requests.size();
        StubServer.await("the list is read", () -> agent.requests.stream().skip(before)
                .anyMatch(r -> r.line().contains("after=" + generation)));
        submit("after", "order");
        assertEquals(List.of(), endpoints.get(0).requests, "it is still in maintenance after a restart");
        assertEquals("200 ok\n", operatorRequest("POST", "/endpoints/s-0/ready"));
        awaitEmptyJournal();
        assertEquals(1, endpoints.get(0).requests.size());
        assertEquals(0, metric("endpoints_excluded"));
    }

    @Test
    void thousandEndpointsAndSendersAreReadStoredAndServedAfterKill() throws Exception {
        otherDestinations = 1022;
        fleetSize = 1024;
        script(StubServer.silent());
        start();
        String last = message("last", "order", "hello").replace("dest=7", "dest=1023");
        assertEquals("HTTP/1.1 202 Accepted", exchange(client(), last).line());
        StubServer.await("the call is in flight", () -> calls().size() == 1);
        assertEquals("200 ok\n", operatorRequest("POST", "/endpoints/s-1022/maint"));
        script(StubServer.status(200, ""));
        killAndRestart();
        awaitEmptyJournal();
        assertEquals(1024, metric("endpoints_known"));
        assertEquals(1, metric("endpoints_excluded"));
        assertEquals(List.of(), notices, "it was delivered");
    }

    @Test
    void metricsCountEachEndOnce() throws Exception {
        start();
        assertEquals(0, metric("served.order"));
        assertEquals(0, metric("failed.once"));
        submit("one", "order");
        awaitEmptyJournal();
        script(StubServer.status(500, ""));
        submit("two", "once");
        awaitNotice("dead");
        String stray = message("stray", "order", "hello").replace("dest=7", "dest=8");
        assertEquals("HTTP/1.1 503 Service Unavailable", exchange(client(), stray).line());
        script(StubServer.silent());
        submit("three", "order");
        StubServer.await("the call is in flight", () -> calls().size() == 3);
        assertEquals(List.of(1, 0, 1, 0, 0, 1, 3, 1), List.of(metric("served.order"), metric("served.once"),
                metric("refused.order"), metric("refused.once"), metric("failed.order"), metric("failed.once"),
                metric("attempts"), metric("in_flight")));
    }

    @Test
    void clientsAreSentAwayAndAcceptedAgain() throws Exception {
        start();
        Socket keptAlive = client();
        assertEquals("HTTP/1.1 202 Accepted", exchange(keptAlive, message("one", "order", "hello")).line());
        Socket idle = client();
        assertEquals("HTTP/1.1 202 Accepted", exchange(idle, message("two", "order", "hello")).line());
        assertEquals("200 ok\n", operatorRequest("POST", "/healthcheck/fail"));
        assertEquals("503", healthStatus());
        assertEquals("200 ok\n", operatorRequest("GET", "/healthcheck"), "the process itself is well");
        StubServer.Message last = exchange(keptAlive, message("three", "order", "hello"));
        assertEquals("HTTP/1.1 202 Accepted", last.line());
        assertEquals("close", last.header("Connection"));
        assertEquals(-1, keptAlive.getInputStream().read());
        assertEquals(-1, idle.getInputStream().read(), "an idle connection is closed");
        killAndRestart();
        assertEquals("503", healthStatus(), "clients are still sent away after a restart");
        assertEquals("200 ok\n", operatorRequest("POST", "/healthcheck/ok"));
        assertEquals("200", healthStatus());
        StubServer.Message accepted = exchange(client(), message("four", "order", "hello"));
        assertEquals("HTTP/1.1 202 Accepted", accepted.line());
        assertEquals(null, accepted.header("Connection"));
    }

    @Test
    void messageIsAcceptedDeliveredAndForgotten() throws Exception {
        start();
        submit("one", "order");
        awaitEmptyJournal();
        assertEquals(1, calls().size());
        assertEquals("one", calls().get(0).header("X-Call-Id"));
        assertEquals("key-one", calls().get(0).header("Idempotency-Key"));
        assertEquals("hello", calls().get(0).body());
        assertTrue(notices.isEmpty());
        killAndRestart();
        submit("two", "order");
        awaitEmptyJournal();
        assertEquals(2, calls().size(), "a delivered message is not sent again after a restart");
    }

    @Test
    void messageEndedByAnswerGetsNoNotice() throws Exception {
        script(StubServer.status(410, ""));
        start();
        submit("one", "order");
        awaitEmptyJournal();
        assertTrue(notices.isEmpty());
    }

    @Test
    void unrepeatableMessageEndsWithNotice() throws Exception {
        script(StubServer.status(500, ""));
        start();
        submit("one", "once");
        awaitNotice("{\"ref\":\"one\",\"result\":\"dead\"}");
        assertEquals(1, calls().size());
    }

    @Test
    void noticeIsRepeatedUntilAcknowledged() throws Exception {
        script(StubServer.status(500, ""));
        noticeStatus = 500;
        start();
        submit("one", "once");
        StubServer.await("the notice is sent several times", () -> agent.requests.stream()
                .filter(r -> r.line().startsWith("POST")).count() > 2);
        assertEquals(1, journalledMessages().size());
        noticeStatus = 204;
        awaitNotice("dead");
    }

    @Test
    void messagesOfOneOrderingKeyGoOneAtATimeWhateverTheirIdempotencyKeys() throws Exception {
        script(StubServer.silent());
        start();
        for (String id : List.of("one", "two", "three")) {
            String query = "?thread=" + (id.equals("three") ? "other" : "same");
            assertEquals("HTTP/1.1 202 Accepted", exchange(client(), message(id, "once", query, "hello")).line());
        }
        StubServer.await("the first message of each ordering key arrives", () -> calls().size() == 2);
        assertEquals(Set.of("one", "three"), calls().stream().map(c -> c.header("X-Call-Id"))
                .collect(Collectors.toSet()));
        script(StubServer.status(200, ""));
        for (StubServer endpoint : endpoints) {
            endpoint.writeToAll("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        awaitEmptyJournal();
        assertEquals(3, calls().size());
    }

    @Test
    void retryAfterDelaysFurtherCalls() throws Exception {
        start();
        script(StubServer.status(429, "Retry-After: 0.6\r\n"));
        submit("one", "order");
        StubServer.await("Retry-After is received",
                () -> journalledMessages().get(0).attempts.stream().anyMatch(a -> a.neverRan));
        script(StubServer.status(200, ""));
        submit("two", "order");
        StubServer.await("both messages are sent", () -> calls().size() == 3);
        long first = calls().stream().mapToLong(StubServer.Message::atNanos).min().orElseThrow();
        for (StubServer.Message later : calls()) {
            assertTrue(later.atNanos() == first || later.atNanos() - first >= 600_000_000, "sent while waiting");
        }
    }

    @Test
    void drainingEndpointGetsNoNewCalls() throws Exception {
        start();
        for (int round = 0; round < 2; round++) {
            endpointStates = round == 0 ? "DRAINING SERVING" : "SERVING DELETED";
            String generation = generation();
            StubServer.await("the list is read", () -> agent.requests.stream()
                    .anyMatch(r -> r.line().contains("after=" + generation)));
            int before = endpoints.get(round).requests.size();
            for (int i = 0; i < 4; i++) {
                submit("m" + round + i, "order");
                awaitEmptyJournal();
            }
            assertEquals(before, endpoints.get(round).requests.size());
        }
        assertEquals(8, calls().size());
    }

    @Test
    void silentAgentDelaysNothing() throws Exception {
        agentUp = false;
        start();
        assertEquals("HTTP/1.1 200 OK", exchange(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line());
        submit("one", "order");
        awaitEmptyJournal();
        agentUp = true;
        StubServer.await("the list is requested again", () -> agent.requests.stream()
                .anyMatch(r -> r.line().contains("after=")));
    }

    @Test
    void nothingIsAcceptedOrGivenUpBeforeListIsKnown() throws Exception {
        AcceptedMessage recovered = writeEarlierJournal("order", 1000, 20_000, false);
        listInConfig = false;
        agentUp = false;
        start();
        assertEquals("503", exchange(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
        assertEquals("503", exchange(client(), message("one", "order", "hello")).line().split(" ")[1]);
        agentUp = true;
        awaitEmptyJournal();
        assertEquals(List.of(recovered.id), calls().stream().map(c -> c.header("X-Call-Id")).toList());
        assertEquals("200", exchange(client(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").line().split(" ")[1]);
    }
}
