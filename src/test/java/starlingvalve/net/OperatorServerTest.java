package starlingvalve.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the operators' HTTP server alone, on a simulated clock. */
class OperatorServerTest {
    private final List<String> commands = new ArrayList<>();
    private final OperatorServer server =
            new OperatorServer(new DefaultEventLoop(), new OperatorServer.OperatorCommands() {
        @Override
        public boolean isServing() {
            return commands.isEmpty();
        }

        @Override
        public String statsText() {
            return "svc.in_flight:0|g\n";
        }

        @Override
        public void setMaintenance(String endpoint, boolean inMaintenance, Consumer<OperatorServer.Answer> callback) {
            commands.add((inMaintenance ? "maint " : "ready ") + endpoint);
            callback.accept(OperatorServer.Answer.SUCCESS);
        }

        @Override
        public void drain(boolean on, Consumer<OperatorServer.Answer> callback) {
            commands.add("drain " + on);
            callback.accept(OperatorServer.Answer.SUCCESS);
        }
    });

    /** Opens a client's connection. */
    private EmbeddedChannel connect() {
        EmbeddedChannel client = new EmbeddedChannel();
        client.freezeTime();
        client.pipeline().addLast(server.pipeline());
        client.pipeline().fireChannelActive();
        return client;
    }

    private static void send(EmbeddedChannel client, String text) {
        client.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Sends a request and returns the status code of its answer. */
    private String request(String line) {
        EmbeddedChannel client = connect();
        send(client, line + " HTTP/1.1\r\nHost: x\r\n\r\n");
        StringBuilder answer = new StringBuilder();
        for (ByteBuf part = client.readOutbound(); part != null; part = client.readOutbound()) {
            answer.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        assertFalse(client.isOpen(), "one request per connection");
        return answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
    }

    @Test
    void pathAndMethodSelectTheCommand() {
        assertEquals("200", request("GET /healthcheck"));
        assertEquals("200", request("GET /stats"));
        assertEquals("200", request("POST /endpoints/s-1/maint"));
        assertEquals("503", request("GET /healthcheck"));
        assertEquals("200", request("POST /endpoints/s%2D1/ready"));
        assertEquals("200", request("POST /healthcheck/fail"));
        assertEquals("200", request("POST /healthcheck/ok"));
        assertEquals("404", request("GET /"));
        assertEquals("404", request("POST /endpoints/s-1/away"));
        assertEquals("404", request("POST /endpoints//maint"));
        assertEquals("405", request("GET /endpoints/s-1/maint"));
        assertEquals("405", request("POST /stats"));
        assertEquals("405", request("GET /healthcheck/fail"));
        assertEquals("400", request("POST /endpoints/%zz/maint"));
        assertEquals(List.of("maint s-1", "ready s-1", "drain true", "drain false"), commands);
    }

    @Test
    void incompleteRequestTimesOutWithoutDelayingOthers() {
        EmbeddedChannel incomplete = connect();
        send(incomplete, "POST /healthcheck/fail HTTP/1.1\r\nHos");
        EmbeddedChannel silent = connect();
        incomplete.advanceTimeBy(2400, TimeUnit.MILLISECONDS);
        incomplete.runPendingTasks();
        assertTrue(incomplete.isOpen());
        assertEquals("200", request("GET /stats"));
        incomplete.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        incomplete.runPendingTasks();
        assertFalse(incomplete.isOpen());
        for (int i = 0; i < OperatorServer.MAX_CONNECTIONS; i++) {
            assertTrue(silent.isOpen());
            connect();
        }
        assertFalse(silent.isOpen(), "the oldest connection is closed");
        assertEquals(List.of(), commands);
    }

    /** Guards against commands that no operator has sent: the body of a refused request was read as a request. */
    @Test
    void bodyOfRefusedRequestIsNotReadAsCommand() {
        for (String expectation : List.of("100-continue", "wonders")) {
            EmbeddedChannel client = connect();
            send(client, "POST /endpoints/s-1/maint HTTP/1.1\r\nHost: x\r\nExpect: " + expectation
                    + "\r\nContent-Length: 5000\r\n\r\nPOST /healthcheck/fail HTTP/1.1\r\nHost: x\r\n\r\n");
            client.advanceTimeBy(LingeringClose.LINGER_MS, TimeUnit.MILLISECONDS);
            client.runPendingTasks();
            assertFalse(client.isOpen());
        }
        assertEquals(List.of(), commands);
    }

    @Test
    void onlyTheFirstOfSeveralRequestsIsAnswered() {
        EmbeddedChannel client = connect();
        send(client, "POST /healthcheck/fail HTTP/1.1\r\nHost: x\r\n\r\n".repeat(3));
        client.advanceTimeBy(LingeringClose.LINGER_MS, TimeUnit.MILLISECONDS);
        client.runPendingTasks();
        assertFalse(client.isOpen());
        assertEquals(List.of("drain true"), commands);
    }
}
