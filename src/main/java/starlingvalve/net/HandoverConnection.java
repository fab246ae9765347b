package starlingvalve.net;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * What an old and a new process of one sender say to each other: lines of JSON over a Unix socket, each with the
 * field {@code do}. Both sides run on their event loops; the end is told once.
 */
final class HandoverConnection {
    /** The longest line is the state, which the journal's bound keeps far below this. */
    private static final int LONGEST_LINE = 8 << 20;

    /** Reads what a later version may have added to. */
    static final JsonMapper JSON = JsonMapper.builder().addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final Channel channel;
    private final Consumer<JsonNode> line;
    private final Runnable closed;
    private boolean over;

    /** Takes a fresh connection over. */
    HandoverConnection(Channel channel, Consumer<JsonNode> line, Runnable closed) {
        this.channel = channel;
        this.line = line;
        this.closed = closed;
        channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE), new Lines());
    }

    static ObjectNode line(String what) {
        return JSON.createObjectNode().put("do", what);
    }

    /** Sends a line; one that can't be sent is followed by the end. */
    void send(ObjectNode node) {
        byte[] text = (node + "\n").getBytes(StandardCharsets.UTF_8);
        channel.writeAndFlush(Unpooled.wrappedBuffer(text)).addListener(f -> {
            if (!f.isSuccess()) {
                channel.close();
            }
        });
    }

    void close() {
        channel.close();
    }

    private final class Lines extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf text) throws IOException {
            JsonNode node = JSON.readTree(text.toString(StandardCharsets.UTF_8));
            FaultIsolation.run(() -> line.accept(node));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!over) {
                over = true;
                closed.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Log.line("the other process can't be understood: " + cause);
            ctx.close();
        }
    }
}
