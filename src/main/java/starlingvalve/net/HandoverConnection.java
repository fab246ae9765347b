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
 * A connection between two processes of one sender during an upgrade: lines of JSON over a Unix domain socket, whose
 * field {@code do} names the kind of line. All callbacks run on the event loop, and the closing is reported once.
 */
final class HandoverConnection {
    /** The longest line is the state, whose size stays far below this because the journal's size is limited. */
    private static final int MAX_LINE_BYTES = 8 << 20;

    /** Kind of the line in which either process reports a reload of its configuration. */
    static final String RELOADED = "reloaded";

    /** Ignores unknown fields, which a later version may have added. */
    static final JsonMapper JSON = JsonMapper.builder().addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final Channel channel;
    private final Consumer<JsonNode> lineListener;
    private final Runnable closeListener;
    private boolean closeReported;

    /** Serves a new channel. */
    HandoverConnection(Channel channel, Consumer<JsonNode> lineListener, Runnable closeListener) {
        this.channel = channel;
        this.lineListener = lineListener;
        this.closeListener = closeListener;
        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), new LineHandler());
    }

    /** Returns a new line of a kind. */
    static ObjectNode line(String kind) {
        return JSON.createObjectNode().put("do", kind);
    }

    /** Sends a line; if that fails, the connection is closed. */
    void send(ObjectNode node) {
        byte[] bytes = (node + "\n").getBytes(StandardCharsets.UTF_8);
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener(written -> {
            if (!written.isSuccess()) {
                channel.close();
            }
        });
    }

    void close() {
        channel.close();
    }

    private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) throws IOException {
            JsonNode node = JSON.readTree(bytes.toString(StandardCharsets.UTF_8));
            FaultIsolation.run(() -> lineListener.accept(node));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!closeReported) {
                closeReported = true;
                closeListener.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            OutOfMemoryExit.exitIfExhausted(cause);
            Log.line("the other process can't be understood: " + cause);
            ctx.close();
        }
    }
}
