package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Builds the requests that carry one message or several to an endpoint. */
final class EndpointRequests {
    private static final String SINGLE_PATH = "/v1/messages";
    private static final String BATCH_PATH = "/v1/messages:batch";
    private static final String LINE_END = "\r\n";
    private static final String NO_KEY = "-";

    private EndpointRequests() {
    }

    /** A request with one message; {@code budgetMs} is how long the caller waits for its answer. */
    static FullHttpRequest single(InetSocketAddress endpoint, AcceptedMessage message, long budgetMs) {
        FullHttpRequest request = request(endpoint, SINGLE_PATH, Unpooled.wrappedBuffer(message.body), budgetMs);
        request.headers().set("X-Call-Id", message.id);
        message.idempotencyKey.ifPresent(idempotencyKey -> request.headers().set("Idempotency-Key", idempotencyKey));
        return request;
    }

    /** A request with several messages: for each a line with id, key and length of its body, then the body. */
    static FullHttpRequest batch(InetSocketAddress endpoint, List<AcceptedMessage> messages, long budgetMs) {
        ByteBuf body = Unpooled.buffer(messages.stream().mapToInt(EndpointRequests::batchSize).sum());
        for (AcceptedMessage message : messages) {
            body.writeBytes(headLine(message)).writeBytes(message.body);
            body.writeCharSequence(LINE_END, StandardCharsets.ISO_8859_1);
        }
        return request(endpoint, BATCH_PATH, body, budgetMs);
    }

    /** Number of bytes that a message takes up in the body of a request with several messages. */
    static int batchSize(AcceptedMessage message) {
        return headLine(message).length + message.body.length + LINE_END.length();
    }

    private static byte[] headLine(AcceptedMessage message) {
        String line = message.id + " " + message.idempotencyKey.orElse(NO_KEY) + " " + message.body.length + LINE_END;
        return line.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static FullHttpRequest request(InetSocketAddress endpoint, String path, ByteBuf body, long budgetMs) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, body);
        request.headers().set(HttpHeaderNames.HOST, Endpoints.hostPort(endpoint))
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set("X-Budget-Ms", Math.max(1, budgetMs));
        return request;
    }
}
