package starlingvalve.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where operators call: HTTP/1.1, one call a connection. It knows the calls by their paths and methods; what
 * they do is the sender's. A caller that finishes no call is ended in time and holds up no other.
 */
final class OperatorServer {
    /** Connections at once; the oldest makes room for one more. */
    static final int MOST_CONNECTIONS = 16;
    private static final long CALL_MS = 2500;
    /** A call's body means nothing, so a long one is not read. */
    private static final int LONGEST_BODY = 4096;
    private static final Pattern ENDPOINT = Pattern.compile("/endpoints/([^/]+)/(maint|ready)");

    /** How a call went: 2xx is yes, all else no; the text is for people. */
    record Answer(HttpResponseStatus status, String text) {
        static final Answer YES = new Answer(HttpResponseStatus.OK, "ok\n");

        static Answer no(HttpResponseStatus status, String why) {
            return new Answer(status, why + "\n");
        }
    }

    /** The sender's side of a call. What changes something answers once that is in force and will last. */
    interface OperatorCommands {
        /** Whether this process can serve, drained or not. */
        boolean serves();

        /** The figures, as they stand. */
        String figures();

        /** Leaves an endpoint out, or puts it back. */
        void maintain(String endpoint, boolean out, Consumer<Answer> then);

        /** Sends clients away, or takes them again. */
        void drain(boolean on, Consumer<Answer> then);
    }

    private final EventLoop acceptor;
    private final EventLoop loop;
    private final OperatorCommands desk;
    /** The oldest first. */
    private final Set<Channel> open = new LinkedHashSet<>();

    /** Accepts on the loop that also serves the connections, for tests. */
    OperatorServer(EventLoop loop, OperatorCommands desk) {
        this(loop, loop, desk);
    }

    /** {@code acceptor} accepts connections and does nothing else; {@code loop} serves them. */
    OperatorServer(EventLoop acceptor, EventLoop loop, OperatorCommands desk) {
        this.acceptor = acceptor;
        this.loop = loop;
        this.desk = desk;
    }

    /** Begins to listen, and waits until it does: so it is not called on the loop. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        return (InetSocketAddress) new ServerBootstrap().group(acceptor, loop)
                .channelFactory(() -> new TcpListener(TcpListener.Admission.ALL))
                .option(ChannelOption.SO_BACKLOG, 64)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipeline())
                .bind(address).syncUninterruptibly().channel().localAddress();
    }

    /** What each connection goes through. */
    ChannelInitializer<Channel> pipeline() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new RequestDeadline(CALL_MS), new HttpServerCodec(),
                        new HttpObjectAggregator(LONGEST_BODY, true), new Caller());
            }
        };
    }

    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean called;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(ctx.channel());
            if (open.size() > MOST_CONNECTIONS) {
                Channel oldest = open.iterator().next();
                open.remove(oldest);
                oldest.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (called) {
                return;
            }
            called = true;
            ctx.pipeline().get(RequestDeadline.class).requestComplete();
            call(request, answer -> {
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(),
                        Unpooled.copiedBuffer(answer.text(), StandardCharsets.UTF_8));
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void call(FullHttpRequest request, Consumer<Answer> then) {
        if (request.decoderResult().isFailure()) {
            then.accept(Answer.no(HttpResponseStatus.BAD_REQUEST, "not HTTP"));
            return;
        }
        String path = request.uri().split("\\?", 2)[0];
        Matcher endpoint = ENDPOINT.matcher(path);
        boolean change = endpoint.matches() || path.equals("/healthcheck/fail") || path.equals("/healthcheck/ok");
        if (!change && !path.equals("/healthcheck") && !path.equals("/stats")) {
            then.accept(Answer.no(HttpResponseStatus.NOT_FOUND, "no such call"));
        } else if (!request.method().equals(change ? HttpMethod.POST : HttpMethod.GET)) {
            then.accept(Answer.no(HttpResponseStatus.METHOD_NOT_ALLOWED,
                    path + " is called by " + (change ? "POST" : "GET")));
        } else if (path.equals("/healthcheck")) {
            then.accept(desk.serves() ? Answer.YES
                    : Answer.no(HttpResponseStatus.SERVICE_UNAVAILABLE, "does not serve"));
        } else if (path.equals("/stats")) {
            then.accept(new Answer(HttpResponseStatus.OK, desk.figures()));
        } else if (endpoint.matches()) {
            id(endpoint.group(1)).ifPresentOrElse(
                    id -> desk.maintain(id, endpoint.group(2).equals("maint"), then),
                    () -> then.accept(Answer.no(HttpResponseStatus.BAD_REQUEST, "the id can't be read")));
        } else {
            desk.drain(path.equals("/healthcheck/fail"), then);
        }
    }

    private static Optional<String> id(String inPath) {
        try {
            return Optional.of(QueryStringDecoder.decodeComponent(inPath));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
