package starlingvalve.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Collects the parts of a request, and passes it on as a {@link FullHttpRequest} when it is complete. A request that
 * can't be read, whose body is too long or whose expectation is not met is refused by a {@link RequestRefused} event
 * before it is complete. Its rest, and all that follows, is dropped: the client may send the body without waiting, and
 * a body must not be decoded as requests.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
    private static final String CONTINUE = "100-continue";
    private static final int INITIAL_BODY_BYTES = 256;

    private final RequestDecoder decoder;
    private final int maxBodyBytes;
    /** The request whose body is being received, or null. */
    private HttpRequest head;
    private ByteBuf body;

    /** {@code maxBodyBytes} is the length of the longest body that is accepted. */
    RequestAssembler(RequestDecoder decoder, int maxBodyBytes) {
        super(HttpObject.class);
        this.decoder = decoder;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            decoder.refuse(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(ctx, request);
        }
        if (part instanceof HttpContent content && head != null) {
            append(ctx, content);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        String expectation = expectation(request);
        if (!expectation.isEmpty() && !expectation.equalsIgnoreCase(CONTINUE)) {
            decoder.refuse(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        } else if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            refuseLongBody();
        } else {
            head = request;
            body = Unpooled.buffer(INITIAL_BODY_BYTES, maxBodyBytes);
            if (!expectation.isEmpty()) {
                ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
                        Unpooled.EMPTY_BUFFER));
            }
        }
    }

    /** What the client expects before it sends the body; empty without such a header, which HTTP/1.0 does not have. */
    private static String expectation(HttpRequest request) {
        return request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0 ? ""
                : request.headers().get(HttpHeaderNames.EXPECT, "");
    }

    private void append(ChannelHandlerContext ctx, HttpContent content) {
        if (content.content().readableBytes() > body.maxWritableBytes()) {
            refuseLongBody();
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent last) {
            FullHttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
                    body, head.headers(), last.trailingHeaders());
            forgetRequest();
            ctx.fireChannelRead(request);
        }
    }

    private void refuseLongBody() {
        decoder.refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over " + maxBodyBytes + " bytes");
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof RequestRefused) {
            forgetRequest();
        }
        ctx.fireUserEventTriggered(event);
    }

    private void forgetRequest() {
        head = null;
        body = null;
    }
}
