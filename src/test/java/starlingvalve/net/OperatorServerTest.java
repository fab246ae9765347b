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

/** The operators' listener by itself, on a clock that the test moves. */
class OperatorServerTest {
    private final List<String> orders = new ArrayList<>();
    private final OperatorServer ops =
            new OperatorServer(new DefaultEventLoop(), new OperatorServer.OperatorCommands() {
        @Override
        public boolean isServing() {
            return orders.isEmpty();
        }

        @Override
        public String statsText() {
            return "svc.in_flight:0|g\n";
        }

        @Override
        public void setMaintenance(String endpoint, boolean out, Consumer<OperatorServer.Answer> then) {
            orders.add((out ? "out " : "back ") + endpoint);
            then.accept(OperatorServer.Answer.SUCCESS);
        }

        @Override
        public void drain(boolean on, Consumer<OperatorServer.Answer> then) {
            orders.add("drain " + on);
            then.accept(OperatorServer.Answer.SUCCESS);
        }
    });

    private EmbeddedChannel caller() {
        EmbeddedChannel caller = new EmbeddedChannel();
        caller.freezeTime();
        caller.pipeline().addLast(ops.pipeline());
        caller.pipeline().fireChannelActive();
        return caller;
    }

    private static void send(EmbeddedChannel caller, String text) {
        caller.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String call(String line) {
        EmbeddedChannel caller = caller();
        send(caller, line + " HTTP/1.1\r\nHost: x\r\n\r\n");
        StringBuilder answer = new StringBuilder();
        for (ByteBuf part = caller.readOutbound(); part != null; part = caller.readOutbound()) {
            answer.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        assertFalse(caller.isOpen(), "one call a connection");
        return answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
    }

    @Test
    void eachCallIsKnownByItsPathAndMethod() {
        assertEquals("200", call("GET /healthcheck"));
        assertEquals("200", call("GET /stats"));
        assertEquals("200", call("POST /endpoints/s-1/maint"));
        assertEquals("503", call("GET /healthcheck"));
        assertEquals("200", call("POST /endpoints/s%2D1/ready"));
        assertEquals("200", call("POST /healthcheck/fail"));
        assertEquals("200", call("POST /healthcheck/ok"));
        assertEquals("404", call("GET /"));
        assertEquals("404", call("POST /endpoints/s-1/away"));
        assertEquals("404", call("POST /endpoints//maint"));
        assertEquals("405", call("GET /endpoints/s-1/maint"));
        assertEquals("405", call("POST /stats"));
        assertEquals("405", call("GET /healthcheck/fail"));
        assertEquals("400", call("POST /endpoints/%zz/maint"));
        assertEquals(List.of("out s-1", "back s-1", "drain true", "drain false"), orders);
    }

    @Test
    void aCallerThatFinishesNoCallIsEndedInTimeAndHoldsUpNoOther() {
        EmbeddedChannel half = caller();
        send(half, "POST /healthcheck/fail HTTP/1.1\r\nHos");
        EmbeddedChannel silent = caller();
        half.advanceTimeBy(2400, TimeUnit.MILLISECONDS);
        half.runPendingTasks();
        assertTrue(half.isOpen());
        assertEquals("200", call("GET /stats"));
        half.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        half.runPendingTasks();
        assertFalse(half.isOpen());
        for (int i = 0; i < OperatorServer.MAX_CONNECTIONS; i++) {
            assertTrue(silent.isOpen());
            caller();
        }
        assertFalse(silent.isOpen(), "the oldest makes room");
        assertEquals(List.of(), orders);
    }
}
